#include "fixture.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

/*
 * Guards against an answer whose outcome (ran, not-run or unknown) contradicts
 * what the target did. This happens when a node, a target or a link fails
 * between the dispatch of an order and its answer, and a node then guesses the
 * outcome or repeats an order that ran.
 */

#define FAULT_REPEATS 3
#define RESTART_TIMEOUT_US (20 * BV_US_PER_S)

static fixture_t *fixture;

typedef struct fault_case fault_case_t;
struct fault_case {
    const char *name;
    /*
     * Injects the fault, waits for `duration_ms` and ends the fault.
     * Connections that were made silent stay silent.
     */
    void (*inject)(const fault_case_t *fault, size_t instance);
    cluster_role_t role;
    const char *instance;
    int64_t duration_ms;
};

static void
wait_fault_duration(const fault_case_t *fault)
{
    usleep((useconds_t)(fault->duration_ms * BV_US_PER_MS));
}

static void
pause_process(const fault_case_t *fault, size_t instance)
{
    cluster_signal(fixture->cluster, fault->role, instance, SIGSTOP);
    wait_fault_duration(fault);
    cluster_signal(fixture->cluster, fault->role, instance, SIGCONT);
}

static void
kill_and_restart(const fault_case_t *fault, size_t instance)
{
    cluster_signal(fixture->cluster, fault->role, instance, SIGKILL);
    wait_fault_duration(fault);
    cluster_wait_exit(fixture->cluster, fault->role, instance,
                      RESTART_TIMEOUT_US);
    ck_assert(cluster_restart(fixture->cluster, fault->role, instance, NULL));
    ck_assert(cluster_wait_health(fixture->cluster, instance, 200,
                                  RESTART_TIMEOUT_US));
}

static void
cut_and_heal_link(const fault_case_t *fault, size_t instance)
{
    ck_assert(cluster_link_cut(fixture->cluster, instance));
    wait_fault_duration(fault);
    ck_assert(cluster_link_heal(fixture->cluster, instance));
}

/* Connections open now stay silent for ever; new connections work. */
static void
silence_connections(const fault_case_t *fault, size_t instance)
{
    ck_assert(cluster_link_silence(fixture->cluster, instance));
    wait_fault_duration(fault);
}

static const fault_case_t fault_cases[] = {
    {"open connections silent", silence_connections, CLUSTER_LINK,
     "payments-1", 500},
    {"link cut", cut_and_heal_link, CLUSTER_LINK, "payments-1", 600},
    {"node paused past the deadline", pause_process, CLUSTER_NODE, "orders-1",
     2200},
    {"node paused within the deadline", pause_process, CLUSTER_NODE,
     "payments-1", 1000},
    {"target paused", pause_process, CLUSTER_TARGET, "payments-1", 1300},
    {"node restarted", kill_and_restart, CLUSTER_NODE, "orders-2", 200},
    {"target restarted", kill_and_restart, CLUSTER_TARGET, "payments-2", 200},
};

static gpointer
run_load(gpointer data)
{
    const fault_case_t *fault = data;
    json_t *settings = json_copy(json_object_get(fixture->deployment, "load"));
    /*
     * The callers' idempotency keys are made from the seed: each case needs
     * another seed so that no key is used twice.
     */
    json_object_set_new(settings, "seed",
                        json_integer(fault - fault_cases + 1));
    int status =
        cluster_run_load(fixture->cluster, settings, fault->name, NULL);
    json_decref(settings);
    return GINT_TO_POINTER(status);
}

/*
 * The load generator compares each answer's outcome with the executions in the
 * targets' records, and exits with 0 if none contradict.
 */
START_TEST(test_outcomes_under_faults)
{
    const fault_case_t *fault = &fault_cases[_i];
    size_t instance = cluster_find_instance(fixture->cluster, fault->instance);
    GThread *load = g_thread_new("load", run_load, (gpointer)fault);
    for (int repeat = 0; repeat < FAULT_REPEATS; repeat++) {
        usleep(BV_US_PER_S);
        fault->inject(fault, instance);
    }
    int status = GPOINTER_TO_INT(g_thread_join(load));
    printf("%s: answers ran %d, not run %d, unknown %d; fences %d, answers "
           "resent %d, silent sessions replaced %d\n",
           fault->name, (int)fixture_counter_sum(fixture, "answers_ran"),
           (int)fixture_counter_sum(fixture, "answers_not_run"),
           (int)fixture_counter_sum(fixture, "answers_unknown"),
           (int)fixture_counter_sum(fixture, "fences"),
           (int)fixture_counter_sum(fixture, "answers_resent"),
           (int)fixture_counter_sum(fixture, "progress_replaced"));
    ck_assert_int_eq(status, 0);
}
END_TEST

/*
 * Guards against faults that do not trigger fences, resent answers or new
 * sessions, so that test_outcomes_under_faults would check none of them.
 */
START_TEST(test_mechanisms_were_used)
{
    ck_assert_uint_gt(fixture_counter_sum(fixture, "progress_replaced"), 0);
    ck_assert_uint_gt(fixture_counter_sum(fixture, "answers_resent"), 0);
    ck_assert_uint_gt(fixture_counter_sum(fixture, "fences"), 0);
    ck_assert_uint_gt(fixture_counter_sum(fixture, "answers_not_run"), 0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"outcomes_under_faults", test_outcomes_under_faults,
         G_N_ELEMENTS(fault_cases)},
        {"mechanisms_were_used", test_mechanisms_were_used, 1},
        {NULL}};
    return fixture_run(&fixture, "outcome.json", "outcome", tests);
}
