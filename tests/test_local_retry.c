#include "berylvane/core/local_retry.h"

#include "support.h"

/*
 * Guards against retries beside the target that exceed the service's retry
 * budget or the request's credits, or that repeat work which must run once.
 */
#define NOW_US 1000
#define LATER_US 2000

typedef struct {
    const char *name;
    bv_outcome_t outcome;
    bv_reason_t reason;
    int64_t deadline_us;
    bool is_idempotent;
    bool is_retry;
    bool is_target_usable;
    bool is_permitted;
    /* Retries left in the budget, and credits of the request. */
    uint32_t budget;
    uint32_t credits;
    bv_local_retry_verdict_t verdict;
    bool is_cancelled;
} retry_case_t;

#define UNKNOWN BV_OUTCOME_UNKNOWN
#define LOST BV_REASON_CONNECTION_LOST
#define NONE BV_LOCAL_RETRY_NONE

static const retry_case_t retry_cases[] = {
    {"lost", UNKNOWN, LOST, LATER_US, true, false, true, true, 1, 1,
     BV_LOCAL_RETRY_SEND, false},
    {"not idempotent", UNKNOWN, LOST, LATER_US, false, false, true, true, 1, 1,
     NONE, false},
    {"second retry", UNKNOWN, LOST, LATER_US, true, true, true, true, 1, 1,
     NONE, false},
    {"target drains", UNKNOWN, LOST, LATER_US, true, false, false, true, 1, 1,
     NONE, false},
    {"mode without retries", UNKNOWN, LOST, LATER_US, true, false, true, false,
     1, 1, NONE, false},
    {"at the deadline", UNKNOWN, LOST, NOW_US, true, false, true, true, 1, 1,
     NONE, false},
    {"broken answer", UNKNOWN, BV_REASON_BROKEN_ANSWER, LATER_US, true, false,
     true, true, 1, 1, NONE, false},
    {"time-out", UNKNOWN, BV_REASON_TIMEOUT, LATER_US, true, false, true, true,
     1, 1, NONE, false},
    {"cancelled", UNKNOWN, BV_REASON_CANCELLED, LATER_US, true, false, true,
     true, 1, 1, NONE, false},
    {"connect", BV_OUTCOME_NOT_RUN, BV_REASON_CONNECT, LATER_US, true, false,
     true, true, 1, 1, NONE, false},
    {"answered", BV_OUTCOME_RAN, BV_REASON_NONE, LATER_US, true, false, true,
     true, 1, 1, NONE, false},
    {"no budget", UNKNOWN, LOST, LATER_US, true, false, true, true, 0, 1,
     BV_LOCAL_RETRY_NO_BUDGET, false},
    {"no credit", UNKNOWN, LOST, LATER_US, true, false, true, true, 1, 0,
     BV_LOCAL_RETRY_NO_CREDIT, false},
    {"lost and cancelled", UNKNOWN, LOST, LATER_US, true, false, true, true, 1,
     1, NONE, true},
};

static bv_local_retry_t
retry_of(const retry_case_t *row)
{
    return (bv_local_retry_t){
        .now_us = NOW_US,
        .deadline_us = row->deadline_us,
        .service = "stock",
        .priority = bv_priority(BV_CLASS_CRITICAL, 0),
        .outcome = row->outcome,
        .reason = row->reason,
        .is_idempotent = row->is_idempotent,
        .is_retry = row->is_retry,
        .is_target_usable = row->is_target_usable,
        .is_permitted = row->is_permitted,
        .is_cancelled = row->is_cancelled,
    };
}

START_TEST(test_charge)
{
    const retry_case_t *row = &retry_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    bv_credits_t *credits = bv_credits_create();
    bv_retry_reserve_t reserve = {.retries_per_node = row->budget};
    bv_local_retry_t retry = retry_of(row);
    bv_retry_budgets_set_reserve(budgets, &reserve);
    bv_credits_open(credits, &retry.request_id, row->credits);
    bv_local_retry_verdict_t verdict =
        bv_local_retry_try_charge(&retry, budgets, credits);
    ck_assert_msg(verdict == row->verdict, "%s: %d", row->name, verdict);
    bool spends_credit = verdict == BV_LOCAL_RETRY_SEND;
    bool spends_budget = spends_credit || verdict == BV_LOCAL_RETRY_NO_CREDIT;
    bool has_budget = bv_retry_budgets_try_spend(budgets, NOW_US, "stock",
                                                 BV_CLASS_CRITICAL);
    ck_assert_msg(has_budget == (row->budget > 0 && !spends_budget),
                  "%s: budget", row->name);
    bool has_credit = bv_credits_spend(credits, &retry.request_id);
    ck_assert_msg(has_credit == (row->credits > 0 && !spends_credit),
                  "%s: credit", row->name);
    bv_credits_destroy(credits);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/*
 * A target that closes all its connections. Guards against retries in
 * proportion to the requests lost.
 */
START_TEST(test_burst)
{
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    bv_credits_t *credits = bv_credits_create();
    bv_retry_reserve_t reserve = {.retries_per_node = 5};
    uint32_t sent = 0;
    bv_retry_budgets_set_reserve(budgets, &reserve);
    for (uint8_t i = 0; i < 200; i++) {
        bv_local_retry_t retry = retry_of(&retry_cases[0]);
        retry.request_id.bytes[0] = i;
        bv_credits_open(credits, &retry.request_id, 3);
        sent += bv_local_retry_try_charge(&retry, budgets, credits) ==
                BV_LOCAL_RETRY_SEND;
    }
    ck_assert_uint_eq(sent, 5);
    bv_credits_destroy(credits);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"charge", test_charge, G_N_ELEMENTS(retry_cases)},
        {"burst", test_burst, 1},
        {NULL}};
    return support_run("local_retry", tests);
}
