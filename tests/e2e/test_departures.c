#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL_US 50000
/* Rounds in which late heartbeats arrive at a node that has its routes. */
#define LATE_ROUNDS 30
#define OTHER_NODE 0
#define NODE 1

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

/* What cannot be reached, because its process is stopped. */
typedef enum {
    NONE,
    STORE,
    MEMBERS,
} unreachable_t;

typedef struct {
    const char *name;
    /* The target announces that it drains, in place of its departure. */
    bool drains;
    /* How the node's process ends. */
    int signal_number;
    unreachable_t at_departure;
    unreachable_t at_restart;
} case_t;

static const case_t cases[] = {
    {"departure", false, SIGKILL, NONE, NONE},
    {"departure, store away at the restart", false, SIGKILL, NONE, STORE},
    {"departure, members away at the restart", false, SIGKILL, NONE, MEMBERS},
    {"departure, store away before it", false, SIGKILL, STORE, NONE},
    {"departure, store away all the time", false, SIGKILL, STORE, STORE},
    {"departure, members away all the time", false, SIGKILL, MEMBERS, MEMBERS},
    {"departure, planned stop", false, SIGTERM, NONE, NONE},
    {"drain", true, SIGKILL, NONE, NONE},
    {"drain, store away at the restart", true, SIGKILL, NONE, STORE},
    {"drain, members away at the restart", true, SIGKILL, NONE, MEMBERS},
};

static void
signal_unreachable(unreachable_t unreachable, int signal_number)
{
    pid_t pids[] = {
        [NONE] = 0,
        [STORE] = fixture.store_pid,
        [MEMBERS] = fixture.nodes[OTHER_NODE].pid,
    };
    if (unreachable != NONE) {
        ck_assert_int_eq(kill(pids[unreachable], signal_number), 0);
    }
}

static void
start_deployment(void)
{
    /* A failed check leaves its processes behind. */
    platform_kill_remaining(&fixture);
    memset(&fixture, 0, sizeof(fixture));
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_config(&fixture, 1, "/a/");
    platform_wait_for_status(&fixture, OTHER_NODE, "/a/1", 200);
    platform_wait_for_status(&fixture, NODE, "/a/1", 200);
}

/* Has the target leave; returns the sequence number of its last heartbeat. */
static uint64_t
leave(const case_t *row)
{
    uint64_t sequence = fixture.nodes[NODE].sequence;
    uint16_t status = row->drains
                          ? platform_heartbeat(&fixture, NODE, "draining")
                          : platform_deregister(&fixture, NODE);
    ck_assert_msg(status == 200, "%s: answered %u", row->name, status);
    return sequence;
}

/*
 * Sends late heartbeats until the node has its routes, and some rounds more;
 * none of the node's own callers may reach the target.
 */
static void
send_late_heartbeats(const case_t *row, uint64_t sequence)
{
    platform_node_t *node = &fixture.nodes[NODE];
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    int rounds = 0;
    while (rounds < LATE_ROUNDS) {
        ck_assert_msg(bv_clock_now_us() < end_us, "%s: no routes", row->name);
        node->sequence = sequence - 1;
        platform_heartbeat(&fixture, NODE, "ready");
        platform_call(&fixture, NODE, "/a/1", "");
        ck_assert_msg(g_atomic_int_get(&node->arrived) == 0,
                      "%s: used after its departure, round %d", row->name,
                      rounds);
        bool has_routes =
            rounds > 0 || platform_call(&fixture, NODE, "/none/1", "") == 404;
        rounds += has_routes;
        usleep(POLL_US);
    }
}

/*
 * Guards against requests that reach a target after it has left or begun to
 * drain, because the node that acknowledged this was restarted and took a late
 * heartbeat for a new one (DRAIN). A later start of the same instance is used.
 */
START_TEST(test_restart_after_departure)
{
    const case_t *row = &cases[_i];
    platform_node_t *node = &fixture.nodes[NODE];
    start_deployment();
    signal_unreachable(row->at_departure, SIGSTOP);
    uint64_t sequence = leave(row);
    platform_end_node(&fixture, NODE, row->signal_number);
    signal_unreachable(row->at_departure, SIGCONT);
    signal_unreachable(row->at_restart, SIGSTOP);
    g_atomic_int_set(&node->arrived, 0);
    platform_restart_node(&fixture, NODE);
    send_late_heartbeats(row, sequence);
    node->born_ms = bv_clock_wall_us() / BV_US_PER_MS;
    node->sequence = 0;
    signal_unreachable(row->at_restart, SIGCONT);
    platform_wait_for_status(&fixture, NODE, "/a/1", 200);
    platform_stop(&fixture);
}
END_TEST

/*
 * Guards against the acknowledgement of a departure that would not outlast the
 * process, since neither the store nor a member has it. The target gets no
 * work all the same, and is acknowledged when the store is back.
 */
START_TEST(test_departure_that_nobody_keeps)
{
    platform_node_t *node = &fixture.nodes[NODE];
    start_deployment();
    signal_unreachable(STORE, SIGSTOP);
    signal_unreachable(MEMBERS, SIGSTOP);
    ck_assert_uint_eq(platform_deregister(&fixture, NODE), 503);
    g_atomic_int_set(&node->arrived, 0);
    ck_assert_uint_ne(platform_call(&fixture, NODE, "/a/1", ""), 200);
    ck_assert_int_eq(g_atomic_int_get(&node->arrived), 0);
    signal_unreachable(STORE, SIGCONT);
    signal_unreachable(MEMBERS, SIGCONT);
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (platform_deregister(&fixture, NODE) != 200) {
        ck_assert(bv_clock_now_us() < end_us);
        usleep(POLL_US);
    }
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"restart_after_departure", test_restart_after_departure,
         G_N_ELEMENTS(cases)},
        {"departure_that_nobody_keeps", test_departure_that_nobody_keeps, 1},
        {NULL}};
    bv_program_start();
    atexit(kill_remaining);
    return support_run("departures", tests);
}
