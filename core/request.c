#include "berylvane/core/request.h"

#include "berylvane/common/invariant.h"

#include <string.h>

/* Number of fences per attempt, from the start of fencing to the deadline. */
#define FENCES_PER_ATTEMPT 5

struct bv_request {
    bv_request_options_t options;
    bv_attempt_t attempts[BV_ATTEMPTS_LIMIT];
    uint32_t attempt_count;
    uint32_t reroute_count;
    bool hedge_tried;
    bool fencing_started;
    int64_t fence_due_us;
    bool is_done;
};

bv_request_t *
bv_request_create(const bv_request_options_t *options)
{
    bv_request_t *request = g_new0(bv_request_t, 1);
    request->options = *options;
    return request;
}

void
bv_request_destroy(bv_request_t *request)
{
    g_free(request);
}

static uint32_t
count_in_state(const bv_request_t *request, bv_attempt_state_t state)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        count += request->attempts[i].state == state;
    }
    return count;
}

static void
check_outcome(const bv_request_t *request, bv_outcome_t outcome)
{
    uint32_t not_run = count_in_state(request, BV_ATTEMPT_NOT_RUN);
    bv_invariant(outcome != BV_OUTCOME_NOT_RUN ||
                     not_run == request->attempt_count,
                 "not_run_is_proved", "verdict");
    bv_invariant(request->options.is_idempotent ||
                     request->attempt_count - not_run <= 1,
                 "one_open_attempt", "verdict");
}

static void
answer_call(bv_request_t *request, bv_outcome_t outcome, bv_reason_t reason,
            void *detail)
{
    request->is_done = true;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        bv_attempt_t *attempt = &request->attempts[i];
        if (attempt->state == BV_ATTEMPT_PENDING) {
            request->options.ops->cancel(request->options.context, request,
                                         attempt);
        }
    }
    check_outcome(request, outcome);
    bv_call_result_t result = {outcome, reason, detail};
    request->options.ops->answer(request->options.context, request, &result);
}

static void
answer_without_result(bv_request_t *request, bv_reason_t reason)
{
    bool all_not_run =
        count_in_state(request, BV_ATTEMPT_NOT_RUN) == request->attempt_count;
    answer_call(request, all_not_run ? BV_OUTCOME_NOT_RUN : BV_OUTCOME_UNKNOWN,
                reason, NULL);
}

static bool
dispatch_attempt(bv_request_t *request, int64_t now_us, bv_attempt_kind_t kind,
                 bv_reason_t *reason)
{
    if (request->attempt_count == BV_ATTEMPTS_LIMIT) {
        *reason = BV_REASON_NO_CREDIT;
        return false;
    }
    bv_attempt_t *attempt = &request->attempts[request->attempt_count];
    memset(attempt, 0, sizeof(*attempt));
    attempt->sent_us = now_us;
    attempt->is_hedge = kind == BV_HEDGE;
    request->attempt_count++;
    const bv_request_options_t *options = &request->options;
    if (!options->ops->dispatch(options->context, request, kind, attempt,
                                reason)) {
        request->attempt_count--;
        return false;
    }
    return true;
}

void
bv_request_start(bv_request_t *request, int64_t now_us)
{
    bv_reason_t reason = BV_REASON_NO_TARGET;
    if (!dispatch_attempt(request, now_us, BV_FIRST_ATTEMPT, &reason)) {
        answer_call(request, BV_OUTCOME_NOT_RUN, reason, NULL);
    }
}

bv_attempt_t *
bv_request_find_attempt(bv_request_t *request, uint64_t id)
{
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        if (request->attempts[i].id == id) {
            return &request->attempts[i];
        }
    }
    return NULL;
}

static bool
is_from_recipient(const bv_attempt_t *attempt,
                  const bv_attempt_result_t *result)
{
    if (strcmp(attempt->member, result->member) != 0) {
        return false;
    }
    return attempt->incarnation == result->incarnation ||
           (result->outcome == BV_OUTCOME_NOT_RUN &&
            result->reason == BV_REASON_WRONG_INCARNATION);
}

bool
bv_request_owns_result(const bv_request_t *request,
                       const bv_attempt_result_t *result)
{
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        if (request->attempts[i].id == result->attempt) {
            return is_from_recipient(&request->attempts[i], result);
        }
    }
    return false;
}

static bool
may_retry(const bv_request_t *request, int64_t now_us)
{
    const bv_request_options_t *options = &request->options;
    if (now_us >= options->deadline_us - options->fence_before_us) {
        return false;
    }
    return options->is_idempotent ||
           count_in_state(request, BV_ATTEMPT_UNKNOWN) == 0;
}

static bool
is_reroute_reason(bv_reason_t reason)
{
    return reason == BV_REASON_DRAINING ||
           reason == BV_REASON_WRONG_INCARNATION ||
           reason == BV_REASON_STALE_SESSION || reason == BV_REASON_NO_TARGET;
}

/*
 * A node that answers as not run has not reached its target, except for the
 * two reasons below.
 */
static bool
is_target_unreached(const bv_attempt_result_t *result)
{
    return result->outcome == BV_OUTCOME_NOT_RUN &&
           result->reason != BV_REASON_TARGET_REFUSED &&
           result->reason != BV_REASON_WRONG_TARGET;
}

static bool
may_reach_another_target(const bv_request_t *request)
{
    uint32_t reached = request->attempt_count;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        reached -= request->attempts[i].never_reached_target;
    }
    return request->options.attempts_limit == 0 ||
           reached < request->options.attempts_limit;
}

static void
retry_or_answer(bv_request_t *request, int64_t now_us, bv_reason_t reason)
{
    if (count_in_state(request, BV_ATTEMPT_PENDING) > 0) {
        return;
    }
    if (!may_retry(request, now_us) || !may_reach_another_target(request)) {
        answer_without_result(request, reason);
        return;
    }
    bool is_reroute = is_reroute_reason(reason) &&
                      request->reroute_count < request->options.reroutes_limit;
    request->reroute_count += is_reroute;
    bv_reason_t dispatch_reason = reason;
    if (!dispatch_attempt(request, now_us, is_reroute ? BV_REROUTE : BV_RETRY,
                          &dispatch_reason)) {
        answer_without_result(request, reason);
    }
}

static bool
settle_as_ran(bv_request_t *request, bv_attempt_t *attempt,
              const bv_attempt_result_t *result)
{
    bv_invariant(attempt->state != BV_ATTEMPT_NOT_RUN, "not_run_is_proved",
                 "result");
    bv_invariant(is_from_recipient(attempt, result), "answer_is_own",
                 "result");
    attempt->state = BV_ATTEMPT_RAN;
    answer_call(request, BV_OUTCOME_RAN, result->reason, result->detail);
    return true;
}

bool
bv_request_handle_result(bv_request_t *request, int64_t now_us,
                         const bv_attempt_result_t *result)
{
    bv_attempt_t *attempt = bv_request_find_attempt(request, result->attempt);
    if (request->is_done || attempt == NULL) {
        return false;
    }
    if (result->outcome == BV_OUTCOME_RAN) {
        return settle_as_ran(request, attempt, result);
    }
    if (attempt->state != BV_ATTEMPT_PENDING) {
        return false;
    }
    attempt->state = result->outcome == BV_OUTCOME_NOT_RUN
                         ? BV_ATTEMPT_NOT_RUN
                         : BV_ATTEMPT_UNKNOWN;
    attempt->never_reached_target = is_target_unreached(result);
    retry_or_answer(request, now_us, result->reason);
    return false;
}

void
bv_request_member_gone(bv_request_t *request, int64_t now_us,
                       const char *member, uint64_t incarnation)
{
    for (uint32_t i = 0; i < request->attempt_count && !request->is_done;
         i++) {
        const bv_attempt_t *attempt = &request->attempts[i];
        if (attempt->state != BV_ATTEMPT_PENDING ||
            attempt->incarnation > incarnation ||
            strcmp(attempt->member, member) != 0) {
            continue;
        }
        bv_attempt_result_t result = {
            .attempt = attempt->id,
            .member = attempt->member,
            .incarnation = attempt->incarnation,
            .outcome = BV_OUTCOME_UNKNOWN,
            .reason = BV_REASON_OWNER_GONE,
        };
        bv_request_handle_result(request, now_us, &result);
    }
}

bool
bv_attempt_is_at(const bv_attempt_t *attempt, const char *member,
                 uint64_t incarnation)
{
    return attempt->incarnation == incarnation &&
           strcmp(attempt->member, member) == 0;
}

/* Whether attempts are pending, all at this member. */
static bool
waits_only_for(const bv_request_t *request, const char *member,
               uint64_t incarnation)
{
    uint32_t pending = 0;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        const bv_attempt_t *attempt = &request->attempts[i];
        if (attempt->state != BV_ATTEMPT_PENDING) {
            continue;
        }
        if (!bv_attempt_is_at(attempt, member, incarnation)) {
            return false;
        }
        pending++;
    }
    return pending > 0;
}

void
bv_request_member_silent(bv_request_t *request, int64_t now_us,
                         const char *member, uint64_t incarnation)
{
    bv_reason_t reason;
    if (request->is_done || request->hedge_tried ||
        !request->options.is_idempotent || !may_retry(request, now_us) ||
        !may_reach_another_target(request) ||
        !waits_only_for(request, member, incarnation)) {
        return;
    }
    request->hedge_tried = true;
    dispatch_attempt(request, now_us, BV_HEDGE, &reason);
}

void
bv_request_caller_gone(bv_request_t *request, int64_t now_us)
{
    (void)now_us;
    if (!request->is_done) {
        answer_without_result(request, BV_REASON_CANCELLED);
    }
}

static void
fence_pending(bv_request_t *request, int64_t now_us)
{
    const bv_request_options_t *options = &request->options;
    request->fencing_started = true;
    request->fence_due_us =
        now_us + MAX(options->fence_before_us / FENCES_PER_ATTEMPT, 1);
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        const bv_attempt_t *attempt = &request->attempts[i];
        if (attempt->state == BV_ATTEMPT_PENDING) {
            options->ops->fence(options->context, request, attempt);
        }
    }
}

static int64_t
fence_due_us(const bv_request_t *request)
{
    const bv_request_options_t *options = &request->options;
    return request->fencing_started
               ? request->fence_due_us
               : options->deadline_us - options->fence_before_us;
}

static bool
is_hedge_due(const bv_request_t *request, int64_t now_us)
{
    const bv_request_options_t *options = &request->options;
    return options->hedge_after_us > 0 && options->is_idempotent &&
           !request->hedge_tried && request->attempt_count == 1 &&
           request->attempts[0].state == BV_ATTEMPT_PENDING &&
           now_us >= request->attempts[0].sent_us + options->hedge_after_us;
}

void
bv_request_tick(bv_request_t *request, int64_t now_us)
{
    const bv_request_options_t *options = &request->options;
    if (request->is_done) {
        return;
    }
    if (now_us >= options->deadline_us) {
        answer_without_result(request, BV_REASON_TIMEOUT);
        return;
    }
    if (now_us >= fence_due_us(request)) {
        fence_pending(request, now_us);
        return;
    }
    if (is_hedge_due(request, now_us)) {
        bv_reason_t reason;
        request->hedge_tried = true;
        if (may_reach_another_target(request)) {
            dispatch_attempt(request, now_us, BV_HEDGE, &reason);
        }
    }
}

int64_t
bv_request_due_us(const bv_request_t *request)
{
    const bv_request_options_t *options = &request->options;
    if (request->is_done) {
        return INT64_MAX;
    }
    int64_t due_us = MIN(options->deadline_us, fence_due_us(request));
    if (options->hedge_after_us > 0 && options->is_idempotent &&
        !request->hedge_tried && request->attempt_count == 1) {
        due_us = MIN(due_us,
                     request->attempts[0].sent_us + options->hedge_after_us);
    }
    return due_us;
}

bool
bv_request_is_done(const bv_request_t *request)
{
    return request->is_done;
}

uint32_t
bv_request_attempts(const bv_request_t *request, const bv_attempt_t **attempts)
{
    *attempts = request->attempts;
    return request->attempt_count;
}

uint32_t
bv_request_attempt_count(const bv_request_t *request)
{
    return request->attempt_count;
}

void *
bv_request_call(const bv_request_t *request)
{
    return request->options.call;
}
