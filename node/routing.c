#include "berylvane/common/counters.h"
#include "berylvane/node/fair_shares.h"

/*
 * Returns whether the downstream service sheds work of the route. A hedge
 * would then add load without a better chance of an answer.
 */
static bool
is_overloaded(const bv_node_t *node, const bv_call_state_t *state)
{
    bv_backpressure_t pressure = bv_backpressure_table_get(
        node->called_backpressure, node->now_us, state->route_hash);
    return pressure.threshold > 0;
}

static bool
may_hedge(const bv_node_t *node, const bv_call_state_t *state)
{
    return state->route->mode == BV_MODE_ENFORCE &&
           !is_overloaded(node, state);
}

/* Returns whether the downstream service admits the priority of a retry. */
static bool
may_retry(const bv_node_t *node, const bv_call_state_t *state)
{
    bv_backpressure_t pressure = bv_backpressure_table_get(
        node->called_backpressure, node->now_us, state->route_hash);
    return state->priority >= pressure.threshold;
}

/*
 * Retries and hedges are made in enforce mode only. In observe mode those that
 * would have been made are counted.
 */
static bool
is_suppressed_by_mode(const bv_call_state_t *state, bv_attempt_kind_t kind)
{
    if (state->route->mode == BV_MODE_ENFORCE) {
        return false;
    }
    if (state->route->mode == BV_MODE_OBSERVE) {
        bv_counter_add(kind == BV_HEDGE ? BV_COUNT_OBSERVED_HEDGES
                                        : BV_COUNT_OBSERVED_RETRIES,
                       1);
    }
    return true;
}

/*
 * Charges a retry or hedge to the service's retry budget and the credits,
 * unless the route's mode suppresses it.
 */
static bool
charge_retry(bv_node_t *node, const bv_call_state_t *state,
             bv_attempt_kind_t kind, bv_reason_t *reason)
{
    if (is_suppressed_by_mode(state, kind)) {
        *reason = BV_REASON_MODE;
        return false;
    }
    bool is_useful =
        kind == BV_HEDGE ? may_hedge(node, state) : may_retry(node, state);
    if (!is_useful) {
        *reason = BV_REASON_THRESHOLD;
        return false;
    }
    if (!bv_retry_budgets_try_spend(node->retry_budgets, node->now_us,
                                    state->service,
                                    bv_priority_class(state->priority))) {
        *reason = BV_REASON_NO_BUDGET;
        return false;
    }
    if (!bv_credits_spend(node->credits, &state->id)) {
        *reason = BV_REASON_NO_CREDIT;
        return false;
    }
    return true;
}

static void
record_not_retried(bv_node_t *node, const bv_call_state_t *state,
                   bv_reason_t reason)
{
    bv_decision_t decision = {
        .kind = BV_DECISION_NOT_RETRIED,
        .request = state->id,
        .subject = state->service,
        .reason = reason,
        .label = state->call->label,
        .attempts = bv_request_attempt_count(state->request),
        .left_us = state->deadline_us - node->now_us,
        .took_us = MAX(0, node->now_us - state->call->arrived_us),
    };
    bv_node_record_decision(node, &decision);
}

bool
bv_routing_charge_attempt(bv_node_t *node, const bv_call_state_t *state,
                          bv_attempt_kind_t kind, bv_reason_t *reason)
{
    if (kind == BV_FIRST_ATTEMPT && state->is_upstream_retry) {
        bv_retry_budgets_charge(node->retry_budgets, node->now_us,
                                state->service);
        return true;
    }
    if (kind == BV_FIRST_ATTEMPT) {
        bv_retry_budgets_earn(node->retry_budgets, node->now_us,
                              state->service,
                              state->config->retry_ratio_percent);
        return true;
    }
    if (kind == BV_REROUTE) {
        bv_counter_add(BV_COUNT_REROUTES, 1);
        return true;
    }
    if (!charge_retry(node, state, kind, reason)) {
        bv_node_count_reason(*reason);
        record_not_retried(node, state, *reason);
        return false;
    }
    bv_counter_add(kind == BV_HEDGE ? BV_COUNT_HEDGES : BV_COUNT_RETRIES, 1);
    return true;
}

bool
bv_routing_admit(bv_node_t *node, const bv_call_state_t *state,
                 bv_reason_t *reason)
{
    bv_mode_t mode = state->route->mode;
    if (mode == BV_MODE_BYPASS ||
        bv_backpressure_table_should_send(
            node->called_backpressure, node->now_us, state->route_hash,
            state->priority, state->deadline_us - node->now_us, node->random,
            reason)) {
        return true;
    }
    if (mode == BV_MODE_OBSERVE) {
        bv_counter_add(BV_COUNT_OBSERVED_SHED, 1);
        return true;
    }
    bv_counter_add(BV_COUNT_SHED_EARLY, 1);
    bv_node_count_reason(*reason);
    return false;
}

bool
bv_routing_choose_member(bv_node_t *node, const bv_call_state_t *state,
                         bv_picked_t *picked, bv_reason_t *reason)
{
    const bv_attempt_t *attempts;
    const char *excluded[BV_ATTEMPTS_LIMIT];
    uint32_t count = bv_request_attempts(state->request, &attempts);
    uint32_t excluded_count = 0;
    for (uint32_t i = 0; i + 1 < count; i++) {
        excluded[excluded_count++] = attempts[i].member;
    }
    bv_pick_request_t pick = {
        .service = state->service,
        .route_hash = state->route_hash,
        .priority = state->priority,
        .excluded = excluded,
        .excluded_count = excluded_count,
    };
    if (!bv_router_pick(node->router, node->now_us, &pick, picked, reason)) {
        return false;
    }
    bv_node_placement_count(node, picked);
    return true;
}

void
bv_routing_settle_unanswered(bv_node_t *node, const char *member)
{
    bv_feedback_t no_feedback = {0};
    bv_router_settle(node->router, node->now_us, member, &no_feedback);
}

void
bv_routing_settle_answered(bv_node_t *node, const bv_call_state_t *state,
                           const bv_peer_message_t *message)
{
    const bv_attempt_t *attempts;
    uint32_t count = bv_request_attempts(state->request, &attempts);
    for (uint32_t i = 0; i < count; i++) {
        if (attempts[i].id != message->attempt) {
            continue;
        }
        bv_feedback_t feedback = {
            .answered = true,
            .route_hash = state->route_hash,
            .outcome = message->outcome,
            .reason = message->reason,
            .latency_us = node->now_us - attempts[i].sent_us,
            .threshold = message->threshold,
            .wait_us = message->wait_us,
        };
        bv_node_placement_read_report(node, message, &feedback);
        bv_router_settle(node->router, node->now_us, attempts[i].member,
                         &feedback);
        bv_fair_shares_record_answer(node, state, message,
                                     feedback.latency_us);
    }
    bv_backpressure_t report = {message->threshold, message->wait_us};
    bv_backpressure_table_report(node->called_backpressure, node->now_us,
                                 state->route_hash, &report);
    g_hash_table_remove(node->attempts, &message->attempt);
}

int64_t
bv_routing_hedge_after_us(const bv_node_t *node, const bv_call_state_t *state)
{
    if (!state->route->is_hedged || state->bypasses_admission) {
        return 0;
    }
    return bv_router_hedge_after_us(node->router, state->service,
                                    state->route_hash);
}
