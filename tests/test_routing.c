#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/node/call.h"
#include "support.h"

/*
 * Tests which reason a node records for a retry or hedge that it does not
 * make. One that the route's mode suppressed must not be taken for one that
 * the request's credits forbade, since operators then look for a shortage that
 * does not exist.
 */
#define JOURNAL_ENTRIES 16
#define MEMBER "orders-1"

typedef struct {
    const char *name;
    /* NULL if the attempt is made. */
    const char *reason;
    bv_mode_t mode;
    bv_attempt_kind_t kind;
    uint32_t credits;
    bv_counter_t counter;
} charge_case_t;

static const charge_case_t charge_cases[] = {
    {"first attempt", NULL, BV_MODE_OBSERVE, BV_FIRST_ATTEMPT, 1,
     BV_COUNT_REASON_NONE},
    {"retry", NULL, BV_MODE_ENFORCE, BV_RETRY, 1, BV_COUNT_RETRIES},
    {"retry without credit", "no_credit", BV_MODE_ENFORCE, BV_RETRY, 0,
     BV_COUNT_REASON_NO_CREDIT},
    {"retry in observe mode", "mode", BV_MODE_OBSERVE, BV_RETRY, 1,
     BV_COUNT_OBSERVED_RETRIES},
    {"retry in observe mode, without credit", "mode", BV_MODE_OBSERVE,
     BV_RETRY, 0, BV_COUNT_OBSERVED_RETRIES},
    {"hedge in observe mode", "mode", BV_MODE_OBSERVE, BV_HEDGE, 1,
     BV_COUNT_OBSERVED_HEDGES},
    {"retry in bypass mode", "mode", BV_MODE_BYPASS, BV_RETRY, 1,
     BV_COUNT_REASON_MODE},
    {"hedge in bypass mode", "mode", BV_MODE_BYPASS, BV_HEDGE, 1,
     BV_COUNT_REASON_MODE},
};

typedef struct {
    bv_settings_t settings;
    bv_node_t node;
    bv_config_t config;
    bv_route_t route;
    bv_call_t call;
    bv_call_state_t state;
    /* Result of the request's answer. */
    bv_call_result_t answer;
} fixture_t;

static bool
on_dispatch(void *context, bv_request_t *request, bv_attempt_kind_t kind,
            bv_attempt_t *attempt, bv_reason_t *reason)
{
    fixture_t *fixture = context;
    (void)request;
    attempt->id = 1;
    g_strlcpy(attempt->member, MEMBER, sizeof(attempt->member));
    return bv_routing_charge_attempt(&fixture->node, &fixture->state, kind,
                                     reason);
}

static void
on_attempt(void *context, bv_request_t *request, const bv_attempt_t *attempt)
{
    (void)context;
    (void)request;
    (void)attempt;
}

static void
on_answer(void *context, bv_request_t *request, const bv_call_result_t *result)
{
    fixture_t *fixture = context;
    (void)request;
    fixture->answer = *result;
}

static const bv_request_ops_t request_ops = {
    .dispatch = on_dispatch,
    .fence = on_attempt,
    .cancel = on_attempt,
    .answer = on_answer,
};

static void
start(fixture_t *fixture, bv_mode_t mode, uint32_t credits)
{
    bv_request_options_t options = {
        .is_idempotent = true,
        .deadline_us = BV_US_PER_S,
        .ops = &request_ops,
        .context = fixture,
    };
    *fixture = (fixture_t){
        .settings = {.log_level = BV_LOG_ERROR},
        .config = {.retry_ratio_percent = 10},
        .route = {.mode = mode},
    };
    fixture->node = (bv_node_t){
        .settings = &fixture->settings,
        .journal = bv_journal_create(JOURNAL_ENTRIES),
        .retry_budgets = bv_retry_budgets_create(),
        .credits = bv_credits_create(),
        .called_backpressure = bv_backpressure_table_create(),
    };
    fixture->state = (bv_call_state_t){
        .call = &fixture->call,
        .config = &fixture->config,
        .route = &fixture->route,
        .service = "orders",
        .request = bv_request_create(&options),
    };
    bv_credits_open(fixture->node.credits, &fixture->state.id, credits);
}

static void
stop(fixture_t *fixture)
{
    bv_request_destroy(fixture->state.request);
    bv_backpressure_table_destroy(fixture->node.called_backpressure);
    bv_credits_destroy(fixture->node.credits);
    bv_retry_budgets_destroy(fixture->node.retry_budgets);
    bv_journal_destroy(fixture->node.journal);
}

/* Checks that the journal holds exactly one `not_retried`, or none. */
static void
check_journal(const fixture_t *fixture, const charge_case_t *row)
{
    json_t *counts = bv_journal_count_decisions(fixture->node.journal);
    const json_t *reasons = json_object_get(counts, "not_retried");
    size_t expected = row->reason != NULL ? 1 : 0;
    ck_assert_msg(json_object_size(reasons) == expected, "%s", row->name);
    if (row->reason != NULL) {
        json_int_t count =
            json_integer_value(json_object_get(reasons, row->reason));
        ck_assert_msg(count == 1, "%s: %s", row->name, row->reason);
    }
    json_decref(counts);
}

START_TEST(test_reason_of_attempt_not_made)
{
    const charge_case_t *row = &charge_cases[_i];
    fixture_t fixture;
    start(&fixture, row->mode, row->credits);
    bv_reason_t reason = BV_REASON_NONE;
    uint64_t before = bv_counter_get(row->counter);
    bool is_made = bv_routing_charge_attempt(&fixture.node, &fixture.state,
                                             row->kind, &reason);
    ck_assert_msg(is_made == (row->reason == NULL), "%s", row->name);
    ck_assert_str_eq(bv_reason_name(reason),
                     row->reason != NULL ? row->reason : "none");
    uint64_t expected = row->counter != BV_COUNT_REASON_NONE ? 1 : 0;
    ck_assert_uint_eq(bv_counter_get(row->counter) - before, expected);
    check_journal(&fixture, row);
    stop(&fixture);
}
END_TEST

/*
 * Nodes of earlier versions reject a peer message with a reason that they do
 * not know, and answers carry their reason to other nodes. The answer must
 * therefore have the reason of the attempt that failed.
 */
START_TEST(test_answer_has_reason_of_attempt)
{
    static const bv_mode_t modes[] = {BV_MODE_OBSERVE, BV_MODE_BYPASS};
    fixture_t fixture;
    start(&fixture, modes[_i], 1);
    bv_request_start(fixture.state.request, 0);
    bv_attempt_result_t result = {
        .attempt = 1,
        .member = MEMBER,
        .outcome = BV_OUTCOME_NOT_RUN,
        .reason = BV_REASON_QUEUE_FULL,
    };
    bv_request_handle_result(fixture.state.request, 0, &result);
    ck_assert_int_eq(fixture.answer.outcome, BV_OUTCOME_NOT_RUN);
    ck_assert_int_eq(fixture.answer.reason, BV_REASON_QUEUE_FULL);
    stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"reason_of_attempt_not_made", test_reason_of_attempt_not_made,
         G_N_ELEMENTS(charge_cases)},
        {"answer_has_reason_of_attempt", test_answer_has_reason_of_attempt, 2},
        {NULL}};
    return support_run("routing", tests);
}
