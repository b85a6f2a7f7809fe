#include "berylvane/core/request.h"
#include "support.h"

#include <string.h>

/*
 * Guards against an idempotent call that waits for a member which answers
 * nothing until its time is over, and against one that is not idempotent and
 * is sent twice.
 */
#define DEADLINE_US 700000
#define FENCE_BEFORE_US 100000
#define INCARNATION 7

typedef struct {
    const char *name;
    /* The member that is silent, its incarnation, and when. */
    const char *silent;
    uint64_t incarnation;
    int64_t at_us;
    uint32_t attempts_limit;
    uint32_t hedges;
    bool is_idempotent;
    /* Whether the first attempt was refused, and the second one is pending. */
    bool is_rerouted;
} request_case_t;

static const request_case_t request_cases[] = {
    {"idempotent", "m0", INCARNATION, 400000, 0, 1, true, false},
    {"not idempotent", "m0", INCARNATION, 400000, 0, 0, false, false},
    {"another member", "m1", INCARNATION, 400000, 0, 0, true, false},
    {"another incarnation", "m0", INCARNATION + 1, 400000, 0, 0, true, false},
    {"too late", "m0", INCARNATION, 650000, 0, 0, true, false},
    {"limit of attempts", "m0", INCARNATION, 400000, 1, 0, true, false},
    {"no longer waits for it", "m0", INCARNATION, 400000, 0, 0, true, true},
    {"waits for the second", "m1", INCARNATION, 400000, 0, 1, true, true},
};

typedef struct {
    uint32_t attempts;
    uint32_t hedges;
    uint32_t answers;
} fixture_t;

static bool
on_dispatch(void *context, bv_request_t *request, bv_attempt_kind_t kind,
            bv_attempt_t *attempt, bv_reason_t *reason)
{
    fixture_t *fixture = context;
    (void)request;
    (void)reason;
    g_snprintf(attempt->member, BV_NAME_BYTES, "m%u", fixture->attempts);
    attempt->id = ++fixture->attempts;
    attempt->incarnation = INCARNATION;
    fixture->hedges += kind == BV_HEDGE;
    return true;
}

static void
ignore_attempt(void *context, bv_request_t *request,
               const bv_attempt_t *attempt)
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
    (void)result;
    fixture->answers++;
}

static const bv_request_ops_t ops = {
    .dispatch = on_dispatch,
    .fence = ignore_attempt,
    .cancel = ignore_attempt,
    .answer = on_answer,
};

static void
refuse_first(bv_request_t *request)
{
    bv_attempt_result_t refusal = {
        .attempt = 1,
        .member = "m0",
        .incarnation = INCARNATION,
        .outcome = BV_OUTCOME_NOT_RUN,
        .reason = BV_REASON_DRAINING,
    };
    bv_request_handle_result(request, 1000, &refusal);
}

START_TEST(test_member_silent)
{
    const request_case_t *row = &request_cases[_i];
    fixture_t fixture = {0};
    bv_request_options_t options = {
        .is_idempotent = row->is_idempotent,
        .deadline_us = DEADLINE_US,
        .fence_before_us = FENCE_BEFORE_US,
        .reroutes_limit = 1,
        .attempts_limit = row->attempts_limit,
        .ops = &ops,
        .context = &fixture,
    };
    bv_request_t *request = bv_request_create(&options);
    bv_request_start(request, 0);
    if (row->is_rerouted) {
        refuse_first(request);
    }
    /* The session is replaced again and again while the member is silent. */
    for (int i = 0; i < 2; i++) {
        bv_request_member_silent(request, row->at_us, row->silent,
                                 row->incarnation);
    }
    ck_assert_msg(fixture.hedges == row->hedges, "%s: %u hedges", row->name,
                  fixture.hedges);
    /* The silent member may still answer. */
    ck_assert_uint_eq(fixture.answers, 0);
    bv_request_destroy(request);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"member_silent", test_member_silent, G_N_ELEMENTS(request_cases)},
        {NULL}};
    return support_run("request_silent", tests);
}
