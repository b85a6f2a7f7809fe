#include "berylvane/core/outgoing_sessions.h"
#include "router_fixture.h"
#include "support.h"

#include <string.h>

/*
 * Guards against calls that are sent to a dead member until it is evicted.
 * While a call to it hangs it looks busy, but once the call has timed out it
 * looks idle, and gets the next one.
 */
#define MS 1000
#define SECOND_US 1000000
#define STEP_US (10 * MS)
#define CALL_INTERVAL_US (100 * MS)
#define CALL_TIMEOUT_US (700 * MS)
#define CALL_LATENCY_US (20 * MS)
#define SERVICE 0
#define MEMBERS 3
#define CALLS_LIMIT 1024

typedef struct {
    const char *name;
    /* Data centres of the members; the caller is in 0. */
    uint32_t centres[MEMBERS];
    /* Number of members that answer nothing between 1 s and 6 s. */
    uint32_t dead;
    /* Calls of 50 in that time that may reach a dead member. */
    uint32_t most_lost;
    /* The dead ones have started again when they answer. */
    bool is_restarted;
} silent_case_t;

static const silent_case_t silent_cases[] = {
    {"one of three", {0, 0, 0}, 1, 5, false},
    {"two of three", {0, 0, 0}, 2, 8, false},
    {"the only near one", {0, 2, 2}, 1, 5, false},
    {"one of three, restarted", {0, 0, 0}, 1, 5, true},
    /* There is nobody else to call. */
    {"all", {0, 0, 0}, 3, 50, false},
};

typedef struct {
    uint32_t member;
    int64_t ends_us;
    bool is_answered;
} call_t;

typedef struct {
    const silent_case_t *row;
    bv_router_t *router;
    bv_outgoing_sessions_t *sessions;
    int64_t now_us;
    call_t calls[CALLS_LIMIT];
    uint32_t call_count;
    uint32_t first_open;
    uint32_t sent[MEMBERS];
} fixture_t;

static bool
is_dead(const fixture_t *fixture, uint32_t member)
{
    return member < fixture->row->dead && fixture->now_us >= SECOND_US &&
           fixture->now_us < 6 * SECOND_US;
}

static void
on_progress_requested(void *context, const char *member, uint64_t incarnation,
                      uint64_t session)
{
    const fixture_t *fixture = context;
    (void)incarnation;
    for (uint32_t i = 0; i < MEMBERS; i++) {
        bv_member_t record = router_fixture_member(i, SERVICE, 0);
        if (strcmp(record.name, member) == 0 && !is_dead(fixture, i)) {
            bv_outgoing_sessions_message_received(
                fixture->sessions, fixture->now_us, member, session);
        }
    }
}

static void
ignore_replaced(void *context, const char *member, uint64_t incarnation,
                uint64_t session)
{
    (void)context;
    (void)member;
    (void)incarnation;
    (void)session;
}

static void
on_silent(void *context, const char *member, uint64_t incarnation)
{
    const fixture_t *fixture = context;
    bv_router_set_silent(fixture->router, member, incarnation, true);
}

static void
on_regained(void *context, const char *member, uint64_t incarnation)
{
    const fixture_t *fixture = context;
    bv_router_set_silent(fixture->router, member, incarnation, false);
}

static void
send_call(fixture_t *fixture)
{
    bv_pick_request_t request = {.service = "service-0", .route_hash = 1};
    bv_picked_t picked;
    bv_reason_t reason;
    ck_assert(bv_router_pick(fixture->router, fixture->now_us, &request,
                             &picked, &reason));
    uint32_t member = router_fixture_member_number(&picked);
    bv_outgoing_sessions_current(fixture->sessions, fixture->now_us,
                                 picked.name, picked.incarnation);
    bv_outgoing_sessions_attempt_sent(fixture->sessions, fixture->now_us,
                                      picked.name);
    bool is_answered = !is_dead(fixture, member);
    fixture->sent[member]++;
    fixture->calls[fixture->call_count++] = (call_t){
        member,
        fixture->now_us + (is_answered ? CALL_LATENCY_US : CALL_TIMEOUT_US),
        is_answered};
}

static void
end_call(fixture_t *fixture, const call_t *call)
{
    bv_member_t record = router_fixture_member(call->member, SERVICE, 0);
    bv_feedback_t feedback = {
        .answered = call->is_answered,
        .route_hash = 1,
        .outcome = BV_OUTCOME_RAN,
        .latency_us = CALL_LATENCY_US,
    };
    if (call->is_answered) {
        uint64_t session = bv_outgoing_sessions_current(
            fixture->sessions, fixture->now_us, record.name, 0);
        bv_outgoing_sessions_message_received(
            fixture->sessions, fixture->now_us, record.name, session);
    }
    bv_outgoing_sessions_attempt_settled(fixture->sessions, record.name);
    bv_router_settle(fixture->router, fixture->now_us, record.name, &feedback);
}

static void
end_calls(fixture_t *fixture)
{
    for (uint32_t i = 0; i < fixture->call_count; i++) {
        call_t *call = &fixture->calls[i];
        if (call->ends_us != 0 && call->ends_us <= fixture->now_us) {
            end_call(fixture, call);
            call->ends_us = 0;
        }
    }
}

static void
update_members(fixture_t *fixture, uint64_t incarnation)
{
    for (uint32_t i = 0; i < MEMBERS; i++) {
        bv_member_t record =
            router_fixture_member(i, SERVICE, fixture->row->centres[i]);
        if (i < fixture->row->dead) {
            record.incarnation = incarnation;
        }
        bv_router_update(fixture->router, &record);
    }
}

static uint32_t
count_sent_to_dead(const fixture_t *fixture)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < fixture->row->dead; i++) {
        count += fixture->sent[i];
    }
    return count;
}

static void
run_until(fixture_t *fixture, int64_t end_us)
{
    memset(fixture->sent, 0, sizeof(fixture->sent));
    for (; fixture->now_us < end_us; fixture->now_us += STEP_US) {
        end_calls(fixture);
        bv_outgoing_sessions_tick(fixture->sessions, fixture->now_us);
        if (fixture->now_us % CALL_INTERVAL_US == 0) {
            send_call(fixture);
        }
    }
}

START_TEST(test_silent_members)
{
    fixture_t fixture = {.row = &silent_cases[_i]};
    GRand *random = g_rand_new_with_seed(1);
    bv_outgoing_sessions_options_t options = {
        .request_progress_after_us = 200 * MS,
        .replace_after_us = 200 * MS,
        .replace_limit_us = 8 * SECOND_US,
        .probe_interval_us = SECOND_US,
        .idle_limit_us = 60 * SECOND_US,
        .request_progress = on_progress_requested,
        .replaced = ignore_replaced,
        .silent = on_silent,
        .regained = on_regained,
        .context = &fixture,
    };
    fixture.router = router_fixture_create(random);
    fixture.sessions = bv_outgoing_sessions_create(&options);
    update_members(&fixture, 1);
    run_until(&fixture, SECOND_US);
    ck_assert_uint_gt(count_sent_to_dead(&fixture), 0);
    run_until(&fixture, 6 * SECOND_US);
    uint32_t lost = count_sent_to_dead(&fixture);
    ck_assert_msg(lost <= fixture.row->most_lost, "%s: %u calls lost",
                  fixture.row->name, lost);
    if (fixture.row->is_restarted) {
        update_members(&fixture, 2);
    }
    run_until(&fixture, 8 * SECOND_US);
    run_until(&fixture, 12 * SECOND_US);
    ck_assert_msg(count_sent_to_dead(&fixture) > 0, "%s: not called again",
                  fixture.row->name);
    bv_outgoing_sessions_destroy(fixture.sessions);
    bv_router_destroy(fixture.router);
    g_rand_free(random);
}
END_TEST

static void
count_event(void *context, const char *member, uint64_t incarnation)
{
    uint32_t *events = context;
    (void)member;
    (void)incarnation;
    ++*events;
}

static void
count_session_event(void *context, const char *member, uint64_t incarnation,
                    uint64_t session)
{
    (void)session;
    count_event(context, member, incarnation);
}

/*
 * Guards against a member that left, with an attempt that nothing followed,
 * and is taken for silent and asked for its progress for good.
 */
START_TEST(test_member_left)
{
    uint32_t events = 0;
    bv_outgoing_sessions_options_t options = {
        .request_progress_after_us = 200 * MS,
        .replace_after_us = 200 * MS,
        .replace_limit_us = 8 * SECOND_US,
        .probe_interval_us = SECOND_US,
        .idle_limit_us = 60 * SECOND_US,
        .request_progress = count_session_event,
        .replaced = count_session_event,
        .silent = count_event,
        .regained = count_event,
        .context = &events,
    };
    bv_outgoing_sessions_t *sessions = bv_outgoing_sessions_create(&options);
    bv_outgoing_sessions_current(sessions, 0, "m", 1);
    bv_outgoing_sessions_attempt_sent(sessions, 0, "m");
    bv_outgoing_sessions_member_left(sessions, "m", 1);
    bv_outgoing_sessions_tick(sessions, 50 * MS);
    ck_assert_uint_eq(bv_outgoing_sessions_count(sessions), 1);
    bv_outgoing_sessions_attempt_settled(sessions, "m");
    for (int64_t now_us = 100 * MS; now_us < SECOND_US; now_us += 50 * MS) {
        bv_outgoing_sessions_tick(sessions, now_us);
    }
    ck_assert_uint_eq(bv_outgoing_sessions_count(sessions), 0);
    ck_assert_uint_eq(events, 0);
    bv_outgoing_sessions_destroy(sessions);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"silent_members", test_silent_members, G_N_ELEMENTS(silent_cases)},
        {"member_left", test_member_left, 1},
        {NULL}};
    return support_run("silent_members", tests);
}
