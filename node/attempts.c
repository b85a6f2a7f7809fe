#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/node/broken_answer.h"
#include "berylvane/node/call.h"
#include "berylvane/node/memory.h"

#include <string.h>

/* Silence after which progress is queried over a session. */
#define PROGRESS_QUERY_AFTER_US (200 * BV_US_PER_MS)
/* Silence after a progress query at which the session is replaced. */
#define SESSION_REPLACE_AFTER_US (200 * BV_US_PER_MS)
/* Limit of SESSION_REPLACE_AFTER_US, which doubles with each replacement. */
#define SESSION_REPLACE_LIMIT_US (8 * BV_US_PER_S)
/* How late the return of a silent member is seen that no call waits for. */
#define SILENT_PROBE_INTERVAL_US BV_US_PER_S
#define SESSION_IDLE_LIMIT_US (600 * BV_US_PER_S)
#define SESSIONS_TICK_US (50 * BV_US_PER_MS)

static const bv_decision_kind_t decision_kinds[] = {
    [BV_FIRST_ATTEMPT] = BV_DECISION_ROUTED,
    [BV_RETRY] = BV_DECISION_RETRIED,
    [BV_REROUTE] = BV_DECISION_REROUTED,
    [BV_HEDGE] = BV_DECISION_HEDGED,
};

bv_peer_message_t *
bv_calls_create_message(const bv_node_t *node, const bv_call_state_t *state,
                        bv_peer_kind_t kind)
{
    char span[BV_TRACE_TEXT_BYTES];
    const bv_call_t *call = state->call;
    bv_peer_message_t *message = bv_peer_message_create(kind);
    message->request_id = state->id;
    message->priority = state->priority;
    message->remaining_us = state->deadline_us - node->now_us;
    message->method = g_strdup(call->method);
    message->host = g_strdup(call->host);
    message->path = g_strdup(call->path);
    message->headers = g_strdup(call->headers);
    message->idempotency_key = g_strdup(state->key);
    message->customer = g_strdup(state->customer);
    message->label = g_strdup(call->label);
    message->traceparent =
        state->is_traced ? g_strdup(bv_trace_text(&state->trace, span)) : NULL;
    message->body = g_bytes_ref(call->body);
    return message;
}

static bv_peer_message_t *
build_dispatch(const bv_node_t *node, const bv_call_state_t *state,
               bv_attempt_kind_t kind, const bv_attempt_t *attempt)
{
    bv_peer_message_t *message =
        bv_calls_create_message(node, state, BV_PEER_DISPATCH);
    message->to_incarnation = attempt->incarnation;
    message->session = attempt->session;
    message->attempt = attempt->id;
    bv_node_placement_request_report(node, message);
    message->is_long_running = state->route->is_long_running;
    message->is_idempotent = state->route->is_idempotent;
    message->bypasses_admission = state->bypasses_admission;
    message->credit = attempt->loan.amount;
    message->is_retry =
        state->is_upstream_retry || kind == BV_RETRY || kind == BV_HEDGE;
    return message;
}

static bool
on_dispatch(void *context, bv_request_t *request, bv_attempt_kind_t kind,
            bv_attempt_t *attempt, bv_reason_t *reason)
{
    bv_node_t *node = context;
    bv_call_state_t *state = bv_request_call(request);
    bv_picked_t chosen;
    if (node->drain.has_reached_limit) {
        *reason = BV_REASON_DRAINING;
        return false;
    }
    if (!bv_routing_choose_member(node, state, &chosen, reason)) {
        return false;
    }
    if (!bv_routing_charge_attempt(node, state, kind, reason)) {
        bv_routing_settle_unanswered(node, chosen.name);
        return false;
    }
    attempt->id = ++node->next_id;
    attempt->incarnation = chosen.incarnation;
    attempt->session =
        bv_outgoing_sessions_current(node->outgoing_sessions, node->now_us,
                                     chosen.name, chosen.incarnation);
    g_strlcpy(attempt->member, chosen.name, BV_NAME_BYTES);
    attempt->loan = bv_credits_lend(node->credits, &state->id);
    bv_peer_message_t *message = build_dispatch(node, state, kind, attempt);
    if (!bv_peers_send(node, chosen.name, message)) {
        bv_credits_return(node->credits, &state->id, &attempt->loan,
                          attempt->loan.amount);
        bv_routing_settle_unanswered(node, chosen.name);
        *reason = BV_REASON_RING_FULL;
        return false;
    }
    bv_counter_add(BV_COUNT_DISPATCHES, 1);
    bv_decision_t decision = {
        .kind = decision_kinds[kind],
        .request = state->id,
        .subject = chosen.name,
        .label = state->call->label,
        .attempts = bv_request_attempt_count(request),
        .left_us = state->deadline_us - node->now_us,
        .took_us = MAX(0, node->now_us - state->call->arrived_us),
        .wait_us = chosen.reported_wait_us,
        .wait_age_us = chosen.report_age_us,
    };
    bv_node_record_decision(node, &decision);
    bv_outgoing_sessions_attempt_sent(node->outgoing_sessions, node->now_us,
                                      chosen.name);
    g_hash_table_insert(node->attempts,
                        g_memdup2(&attempt->id, sizeof(attempt->id)), state);
    return true;
}

static void
on_fence(void *context, bv_request_t *request, const bv_attempt_t *attempt)
{
    bv_node_t *node = context;
    bv_call_state_t *state = bv_request_call(request);
    if (!bv_memory_reserve_repeat(node, state)) {
        return;
    }
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_FENCE);
    message->to_incarnation = attempt->incarnation;
    message->attempt = attempt->id;
    message->session = bv_outgoing_sessions_newer(
        node->outgoing_sessions, node->now_us, attempt->member,
        attempt->incarnation, attempt->session, attempt->last_fence_us);
    bv_request_find_attempt(request, attempt->id)->last_fence_us =
        node->now_us;
    bv_counter_add(BV_COUNT_FENCES, 1);
    bv_decision_t decision = {
        .kind = BV_DECISION_FENCED,
        .request = state->id,
        .subject = attempt->member,
        .label = state->call->label,
        .attempts = bv_request_attempt_count(request),
        .left_us = state->deadline_us - node->now_us,
        .took_us = node->now_us - attempt->sent_us,
    };
    bv_node_record_decision(node, &decision);
    bv_peers_send(node, attempt->member, message);
}

static void
on_cancel(void *context, bv_request_t *request, const bv_attempt_t *attempt)
{
    (void)request;
    bv_node_t *node = context;
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_CANCEL);
    message->to_incarnation = attempt->incarnation;
    message->attempt = attempt->id;
    message->session = attempt->session;
    bv_peers_send(node, attempt->member, message);
}

/* Removes the attempts that are still open when the call is answered. */
static void
release_open_attempts(bv_node_t *node, bv_call_state_t *state)
{
    const bv_attempt_t *attempts;
    uint32_t count = bv_request_attempts(state->request, &attempts);
    for (uint32_t i = 0; i < count; i++) {
        if (!g_hash_table_remove(node->attempts, &attempts[i].id)) {
            continue;
        }
        bv_outgoing_sessions_attempt_settled(node->outgoing_sessions,
                                             attempts[i].member);
        bv_routing_settle_unanswered(node, attempts[i].member);
    }
}

/* Returns the HTTP status of a call without an answer from the target. */
static uint16_t
failure_status(bv_outcome_t outcome, bv_reason_t reason)
{
    if (outcome == BV_OUTCOME_UNKNOWN) {
        return 504;
    }
    return reason == BV_REASON_KEY_REUSED ? 422 : 503;
}

static void
on_answer(void *context, bv_request_t *request, const bv_call_result_t *result)
{
    bv_node_t *node = context;
    bv_call_state_t *state = bv_request_call(request);
    const bv_peer_message_t *answer = result->detail;
    bv_reply_t reply = {
        .status = failure_status(result->outcome, result->reason),
        .outcome = result->outcome,
        .reason = result->reason,
    };
    if (result->outcome == BV_OUTCOME_RAN) {
        reply.status = answer->status;
        reply.headers = answer->headers;
        reply.body = answer->body;
        reply.reason = BV_REASON_NONE;
    }
    release_open_attempts(node, state);
    if (state->key != NULL) {
        bv_keyed_settle(node, state, &reply);
        return;
    }
    bv_calls_finish(node, state, &reply);
}

static const bv_request_ops_t request_ops = {
    .dispatch = on_dispatch,
    .fence = on_fence,
    .cancel = on_cancel,
    .answer = on_answer,
};

void
bv_calls_start_attempts(bv_node_t *node, bv_call_state_t *state)
{
    bv_request_options_t options = {
        .id = state->id,
        .is_idempotent = state->route->is_idempotent,
        .deadline_us = state->deadline_us,
        .fence_before_us = MIN(state->config->fence_before_deadline_us,
                               (state->deadline_us - node->now_us) / 2),
        .reroutes_limit = state->config->reroutes_limit,
        .attempts_limit = state->route->attempts_limit,
        .ops = &request_ops,
        .context = node,
        .call = state,
    };
    options.hedge_after_us = bv_routing_hedge_after_us(node, state);
    state->request = bv_request_create(&options);
    bv_request_start(state->request, node->now_us);
    bv_calls_reschedule(node, state);
}

static bv_attempt_result_t
result_from_message(const bv_peer_message_t *message, bv_outcome_t outcome,
                    bv_reason_t reason)
{
    return (bv_attempt_result_t){
        .attempt = message->attempt,
        .member = message->from,
        .incarnation = message->from_incarnation,
        .outcome = outcome,
        .reason = reason,
    };
}

/*
 * Returns the call whose attempt a message is about. NULL when the attempt is
 * not open, or when the message is not from the member that the attempt was
 * sent to.
 */
static bv_call_state_t *
find_call_of_attempt(const bv_node_t *node, const bv_peer_message_t *message,
                     const bv_attempt_result_t *result)
{
    bv_call_state_t *state =
        g_hash_table_lookup(node->attempts, &message->attempt);
    if (state == NULL || bv_request_owns_result(state->request, result)) {
        return state;
    }
    bv_counter_add(BV_COUNT_ANSWERS_FOREIGN, 1);
    bv_log(BV_LOG_WARN, "answer_foreign", "member", message->from, NULL);
    return NULL;
}

static void
handle_result(bv_node_t *node, bv_call_state_t *state,
              const bv_attempt_result_t *result)
{
    bv_request_handle_result(state->request, node->now_us, result);
    bv_calls_reschedule(node, state);
}

static void
mark_broken(bv_peer_message_t *message, bv_attempt_result_t *result)
{
    message->outcome = BV_OUTCOME_UNKNOWN;
    message->reason = BV_REASON_BROKEN_ANSWER;
    *result = result_from_message(message, message->outcome, message->reason);
}

void
bv_calls_handle_answer(bv_node_t *node, bv_peer_message_t *message)
{
    bv_attempt_result_t result =
        result_from_message(message, message->outcome, message->reason);
    bv_call_state_t *state = find_call_of_attempt(node, message, &result);
    if (state == NULL) {
        return;
    }
    if (message->digest != bv_peer_message_digest(message)) {
        bv_counter_add(BV_COUNT_DIGEST_MISMATCH, 1);
        /*
         * A non-idempotent attempt stays open: its fence will request the
         * answer again. An idempotent attempt becomes unknown and may be
         * retried.
         */
        if (!state->route->is_idempotent) {
            return;
        }
        message->credit = 0;
        mark_broken(message, &result);
    }
    const char *error = bv_peer_message_check_answer(message);
    if (error != NULL) {
        bv_broken_answer_log_peer(node, state, message, error);
        mark_broken(message, &result);
    }
    result.detail = message;
    bv_attempt_t *attempt =
        bv_request_find_attempt(state->request, message->attempt);
    bv_credits_return(node->credits, &state->id, &attempt->loan,
                      message->credit);
    bv_outgoing_sessions_attempt_settled(node->outgoing_sessions,
                                         attempt->member);
    bv_routing_settle_answered(node, state, message);
    handle_result(node, state, &result);
}

/*
 * Returns whether the reported state proves that the attempt will never run.
 * A fence removes a queued attempt; a progress query leaves it in the queue.
 */
static bool
proves_not_run(const bv_peer_message_t *message)
{
    switch (message->served_state) {
    case BV_SERVED_UNSEEN:
    case BV_SERVED_FENCED:
        return true;
    case BV_SERVED_QUEUED:
        return message->kind == BV_PEER_FENCED;
    case BV_SERVED_STARTED:
    case BV_SERVED_FINISHED:
    case BV_SERVED_FORGOTTEN:
        break;
    }
    return false;
}

static void
settle_unanswered(bv_node_t *node, bv_call_state_t *state,
                  const bv_peer_message_t *message)
{
    bv_attempt_t *attempt =
        bv_request_find_attempt(state->request, message->attempt);
    /*
     * Unseen and queued work spent no credit, so its loan is returned. In the
     * other states the work may have spent some of its loan.
     */
    bool never_started = message->served_state == BV_SERVED_UNSEEN ||
                         message->served_state == BV_SERVED_QUEUED;
    uint32_t returned_credit = never_started ? attempt->loan.amount : 0;
    bv_credits_return(node->credits, &state->id, &attempt->loan,
                      returned_credit);
    bv_outgoing_sessions_attempt_settled(node->outgoing_sessions,
                                         attempt->member);
    bv_routing_settle_unanswered(node, attempt->member);
    g_hash_table_remove(node->attempts, &message->attempt);
}

void
bv_calls_handle_fenced(bv_node_t *node, const bv_peer_message_t *message)
{
    bool not_run = proves_not_run(message);
    if (!not_run && message->served_state != BV_SERVED_FORGOTTEN) {
        return;
    }
    bv_attempt_result_t result = result_from_message(
        message, not_run ? BV_OUTCOME_NOT_RUN : BV_OUTCOME_UNKNOWN,
        message->kind == BV_PEER_PROGRESS ? BV_REASON_STALE_SESSION
                                          : BV_REASON_FENCED);
    bv_call_state_t *state = find_call_of_attempt(node, message, &result);
    if (state == NULL) {
        return;
    }
    settle_unanswered(node, state, message);
    handle_result(node, state, &result);
}

static void
send_progress_query(bv_node_t *node, const char *member, uint64_t incarnation,
                    uint64_t session, uint64_t attempt)
{
    bv_peer_message_t *message =
        bv_peer_message_create(BV_PEER_PROGRESS_QUERY);
    message->to_incarnation = incarnation;
    message->session = session;
    message->attempt = attempt;
    bv_peers_send(node, member, message);
}

static void
on_request_progress(void *context, const char *member, uint64_t incarnation,
                    uint64_t session)
{
    bv_counter_add(BV_COUNT_PROGRESS_ASKED, 1);
    send_progress_query(context, member, incarnation, session, 0);
}

/*
 * Queries, over the new session, the progress of each open attempt that was
 * sent to the member's incarnation.
 */
static void
on_session_replaced(void *context, const char *member, uint64_t incarnation,
                    uint64_t session)
{
    bv_node_t *node = context;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    bv_counter_add(BV_COUNT_PROGRESS_REPLACED, 1);
    g_hash_table_iter_init(&iterator, node->attempts);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        bv_call_state_t *state = value;
        uint64_t id = *(uint64_t *)key;
        if (bv_attempt_is_at(bv_request_find_attempt(state->request, id),
                             member, incarnation)) {
            send_progress_query(node, member, incarnation, session, id);
        }
    }
}

/* Returns the calls with an open attempt at the member's incarnation. */
static GPtrArray *
find_calls_at(const bv_node_t *node, const char *member, uint64_t incarnation)
{
    GPtrArray *calls = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, node->attempts);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        bv_call_state_t *state = value;
        if (bv_attempt_is_at(
                bv_request_find_attempt(state->request, *(uint64_t *)key),
                member, incarnation)) {
            g_ptr_array_add(calls, state);
        }
    }
    return calls;
}

/* Calls go to other members, and those that wait for this one are hedged. */
static void
on_member_silent(void *context, const char *member, uint64_t incarnation)
{
    bv_node_t *node = context;
    GPtrArray *calls = find_calls_at(node, member, incarnation);
    bv_log(BV_LOG_WARN, "peer_silent", "member", member, NULL);
    bv_router_set_silent(node->router, member, incarnation, true);
    for (guint i = 0; i < calls->len; i++) {
        bv_call_state_t *state = calls->pdata[i];
        bv_request_member_silent(state->request, node->now_us, member,
                                 incarnation);
        bv_calls_reschedule(node, state);
    }
    g_ptr_array_unref(calls);
}

static void
on_member_regained(void *context, const char *member, uint64_t incarnation)
{
    const bv_node_t *node = context;
    bv_log(BV_LOG_INFO, "peer_regained", "member", member, NULL);
    bv_router_set_silent(node->router, member, incarnation, false);
}

void
bv_calls_create_sessions(bv_node_t *node)
{
    bv_outgoing_sessions_options_t options = {
        .request_progress_after_us = PROGRESS_QUERY_AFTER_US,
        .replace_after_us = SESSION_REPLACE_AFTER_US,
        .replace_limit_us = SESSION_REPLACE_LIMIT_US,
        .probe_interval_us = SILENT_PROBE_INTERVAL_US,
        .idle_limit_us = SESSION_IDLE_LIMIT_US,
        .request_progress = on_request_progress,
        .replaced = on_session_replaced,
        .silent = on_member_silent,
        .regained = on_member_regained,
        .context = node,
    };
    node->outgoing_sessions = bv_outgoing_sessions_create(&options);
}

void
bv_calls_tick_sessions(bv_node_t *node)
{
    if (node->now_us >= node->outgoing_sessions_due_us) {
        bv_outgoing_sessions_tick(node->outgoing_sessions, node->now_us);
        node->outgoing_sessions_due_us = node->now_us + SESSIONS_TICK_US;
    }
}
