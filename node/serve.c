#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/invariant.h"
#include "berylvane/common/log.h"
#include "berylvane/core/local_retry.h"
#include "berylvane/node/broken_answer.h"
#include "berylvane/node/call.h"
#include "berylvane/node/memory.h"

#include <string.h>

/*
 * Each hop reserves HOP_MARGIN_US for the answer's way back, but at most the
 * time left divided by HOP_MARGIN_DIVISOR.
 */
#define HOP_MARGIN_US 2000
#define HOP_MARGIN_DIVISOR 20

void
bv_node_count_reason(bv_reason_t reason)
{
    bv_counter_add((bv_counter_t)(BV_COUNT_REASON_NONE + reason), 1);
}

static bv_served_t *
find_served(const bv_node_t *node, uint64_t id)
{
    return g_hash_table_lookup(node->served, &id);
}

/* Returns the route of a dispatch in the active configuration, or NULL. */
static const bv_route_t *
find_route(const bv_node_t *node, const bv_peer_message_t *dispatch)
{
    if (node->config == NULL || dispatch->method == NULL ||
        dispatch->path == NULL) {
        return NULL;
    }
    return bv_config_find_route(node->config, dispatch->host, dispatch->method,
                                dispatch->path);
}

/* Backpressure on a route from this node's admission and from downstream. */
static bv_backpressure_t
get_backpressure(const bv_node_t *node, uint32_t route_hash,
                 bool is_long_running)
{
    bv_backpressure_t local = {
        .threshold = bv_admission_route_threshold(node->admission, route_hash,
                                                  is_long_running),
        .wait_us = bv_admission_route_wait_us(node->admission, route_hash,
                                              is_long_running),
    };
    bv_backpressure_t downstream = bv_backpressure_table_get(
        node->downstream_backpressure, node->now_us, route_hash);
    return bv_backpressure_propagate(&local, &downstream);
}

static bv_peer_message_t *
create_answer(const bv_node_t *node, const bv_peer_message_t *dispatch,
              bv_outcome_t outcome, bv_reason_t reason)
{
    const bv_route_t *route = find_route(node, dispatch);
    uint32_t route_hash = route != NULL ? g_str_hash(route->name) : 0;
    bv_backpressure_t pressure =
        get_backpressure(node, route_hash, dispatch->is_long_running);
    bv_peer_message_t *answer = bv_peer_message_create(BV_PEER_ANSWER);
    answer->outcome = outcome;
    answer->reason = reason;
    answer->status = outcome == BV_OUTCOME_NOT_RUN ? 503 : 504;
    answer->threshold = pressure.threshold;
    answer->wait_us = pressure.wait_us;
    return answer;
}

/*
 * Answers a dispatch as not run. `served_state` is BV_SERVED_QUEUED if the
 * target drains and not the node, see bv_members_mark_draining(). `waited_us`
 * is the time in the queue; without it the caller would take it for latency of
 * the network.
 */
static void
refuse_dispatch(bv_node_t *node, const bv_peer_message_t *dispatch,
                bv_reason_t reason, bv_served_state_t served_state,
                int64_t waited_us)
{
    bv_decision_t decision = {
        .kind = BV_DECISION_REFUSED,
        .request = dispatch->request_id,
        .subject = dispatch->from,
        .reason = reason,
        .label = dispatch->label,
        .left_us = dispatch->remaining_us,
        .wait_us = bv_admission_route_wait_us(node->admission, 0, false),
        .attempts = bv_admission_running(node->admission),
    };
    bv_node_record_decision(node, &decision);
    bv_peer_message_t *answer =
        create_answer(node, dispatch, BV_OUTCOME_NOT_RUN, reason);
    answer->credit = dispatch->credit;
    answer->served_state = served_state;
    bv_node_count_reason(reason);
    bv_node_placement_add_report(node, dispatch, 0, waited_us, answer);
    bv_peers_answer(node, dispatch, answer);
}

static void
export_span(bv_node_t *node, const bv_served_t *served,
            const bv_peer_message_t *answer)
{
    bv_trace_t parent;
    if (!bv_trace_parse(served->dispatch->traceparent, &parent)) {
        return;
    }
    bv_span_t span = {
        .trace = served->trace,
        .kind = BV_SPAN_SERVER,
        .outcome = answer->outcome,
        .reason = answer->reason,
        .status = answer->status,
        .start_wall_us = served->arrived_wall_us,
        .duration_us = bv_clock_wall_us() - served->arrived_wall_us,
    };
    memcpy(span.parent_span_id, parent.span_id, BV_SPAN_BYTES);
    g_strlcpy(span.name, "serve", sizeof(span.name));
    g_strlcpy(span.member, node->settings->name, BV_NAME_BYTES);
    bv_exporter_add_span(node->exporter, &span);
}

void
bv_serve_remove(bv_node_t *node, bv_served_t *served)
{
    bv_parents_remove(node, served);
    g_hash_table_remove(node->served_by_attempt, &served->key);
    g_hash_table_remove(node->served, &served->id);
    bv_memory_work_removed(node, served->dispatch);
    bv_peer_message_destroy(served->dispatch);
    g_free(served);
}

static void
count_refusal(const bv_peer_message_t *dispatch, bv_reason_t reason)
{
    if (reason == BV_REASON_DRAINING) {
        bv_counter_add(BV_COUNT_TARGET_DRAINED, 1);
        return;
    }
    bv_counter_add(
        reason == BV_REASON_EXPIRED ? BV_COUNT_EXPIRED : BV_COUNT_SHED, 1);
    if (dispatch->priority >= BV_CLASS_CRITICAL * BV_PRIORITY_LEVELS) {
        bv_counter_add(BV_COUNT_SHED_CRITICAL, 1);
    }
}

/*
 * The served state of an answer to work that was accepted and not sent: the
 * reason "draining" is then that of the target, not of the node.
 */
static bv_served_state_t
refused_state(bv_reason_t reason)
{
    return reason == BV_REASON_DRAINING ? BV_SERVED_QUEUED : BV_SERVED_UNSEEN;
}

void
bv_serve_refuse(bv_node_t *node, bv_served_t *served, bv_reason_t reason)
{
    const bv_peer_message_t *dispatch = served->dispatch;
    bv_sessions_finish(node->sessions, node->now_us, &served->key, false);
    count_refusal(dispatch, reason);
    refuse_dispatch(node, dispatch, reason, refused_state(reason),
                    node->now_us - served->arrived_us);
    bv_serve_remove(node, served);
}

static void
send_to_target(bv_node_t *node, bv_served_t *served)
{
    char span[BV_TRACE_TEXT_BYTES];
    const bv_peer_message_t *dispatch = served->dispatch;
    bv_target_work_t work = {
        .id = served->id,
        .address = node->target.last_announcement.address,
        .port = node->target.last_announcement.port,
        .instance = node->target.last_announcement.instance,
        .method = dispatch->method,
        .path = dispatch->path,
        .headers = dispatch->headers,
        .idempotency_key = dispatch->idempotency_key,
        .customer = dispatch->customer,
        .traceparent = dispatch->traceparent != NULL
                           ? bv_trace_text(&served->trace, span)
                           : NULL,
        .request_id = dispatch->request_id,
        .body = dispatch->body,
        .is_idempotent = dispatch->is_idempotent,
        .needs_new_connection = served->is_local_retry,
        .timeout_us = served->deadline_us - node->now_us,
    };
    bv_target_client_send(node->target_client, &work);
}

/*
 * Starts work on the target. The work holds an admission slot, unless its
 * route bypasses admission, or is in observe mode and admission did not grant
 * a slot.
 */
static void
start_work(bv_node_t *node, bv_served_t *served)
{
    const bv_peer_message_t *dispatch = served->dispatch;
    if (!bv_sessions_start(node->sessions, &served->key)) {
        bv_invariant(false, "started_work_is_queued", "serve");
        return;
    }
    bv_decision_t decision = {
        .kind = BV_DECISION_ADMITTED,
        .request = dispatch->request_id,
        .subject = node->target.last_announcement.instance,
        .label = dispatch->label,
        .left_us = served->deadline_us - node->now_us,
        .took_us = node->now_us - served->arrived_us,
    };
    bv_node_record_decision(node, &decision);
    served->started = true;
    served->started_us = node->now_us;
    served->running_at_start = bv_admission_running(node->admission);
    bv_credits_open(node->credits, &dispatch->request_id, dispatch->credit);
    bv_parents_add(node, served);
    send_to_target(node, served);
}

static bv_attempt_key_t
attempt_key_of(const bv_peer_message_t *dispatch)
{
    return bv_attempt_key(dispatch->from, dispatch->from_incarnation,
                          dispatch->attempt);
}

/*
 * Returns why the record of attempts refuses a dispatch: BV_REASON_NONE if it
 * is accepted, BV_REASON_END if it must be dropped without an answer.
 */
static bv_reason_t
session_refusal(bv_node_t *node, const bv_peer_message_t *dispatch,
                const bv_attempt_key_t *key)
{
    switch (bv_sessions_dispatch(node->sessions, key, dispatch->session)) {
    case BV_DISPATCH_STALE_SESSION:
    case BV_DISPATCH_CALLERS_FULL:
        bv_counter_add(BV_COUNT_SESSION_STALE, 1);
        return BV_REASON_STALE_SESSION;
    case BV_DISPATCH_FENCED:
        return BV_REASON_FENCED;
    case BV_DISPATCH_FORGOTTEN:
        bv_counter_add(BV_COUNT_ATTEMPTS_FORGOTTEN, 1);
        return BV_REASON_END;
    case BV_DISPATCH_DUPLICATE:
        return BV_REASON_END;
    case BV_DISPATCH_ACCEPTED:
        break;
    }
    return BV_REASON_NONE;
}

static bv_reason_t
node_refusal(const bv_node_t *node, const bv_peer_message_t *dispatch)
{
    if (node->drain.phase > BV_DRAIN_NOTICE) {
        return BV_REASON_DRAINING;
    }
    if (!bv_target_is_usable(node) || dispatch->method == NULL ||
        dispatch->path == NULL) {
        return BV_REASON_NO_TARGET;
    }
    if (bv_memory_refuses(node, dispatch)) {
        return BV_REASON_NO_MEMORY;
    }
    return BV_REASON_NONE;
}

/*
 * Returns why a dispatch is refused, like session_refusal(). The record of
 * attempts is checked before the state of the node, because a duplicate of
 * running work must be dropped and not answered as refused.
 */
static bv_reason_t
dispatch_refusal(bv_node_t *node, const bv_peer_message_t *dispatch)
{
    if (dispatch->to_incarnation != node->incarnation) {
        return BV_REASON_WRONG_INCARNATION;
    }
    if (dispatch->digest != bv_peer_message_digest(dispatch)) {
        bv_counter_add(BV_COUNT_DIGEST_MISMATCH, 1);
        return BV_REASON_END;
    }
    bv_attempt_key_t key = attempt_key_of(dispatch);
    bv_reason_t reason = session_refusal(node, dispatch, &key);
    if (reason != BV_REASON_NONE) {
        return reason;
    }
    reason = node_refusal(node, dispatch);
    if (reason != BV_REASON_NONE) {
        bv_sessions_finish(node->sessions, node->now_us, &key, false);
    }
    return reason;
}

static bv_served_t *
create_served(bv_node_t *node, bv_peer_message_t *message)
{
    bv_trace_t parent;
    bv_served_t *served = g_new0(bv_served_t, 1);
    served->id = ++node->next_id;
    served->key = attempt_key_of(message);
    served->dispatch = message;
    bv_memory_work_added(node, message);
    served->deadline_us =
        node->now_us + message->remaining_us -
        MIN(HOP_MARGIN_US, message->remaining_us / HOP_MARGIN_DIVISOR);
    served->mode =
        message->bypasses_admission ? BV_MODE_BYPASS : BV_MODE_ENFORCE;
    const bv_route_t *route = find_route(node, message);
    if (route != NULL) {
        served->route_hash = g_str_hash(route->name);
        served->mode =
            message->bypasses_admission ? BV_MODE_BYPASS : route->mode;
    }
    served->arrived_wall_us = bv_clock_wall_us();
    served->arrived_us = node->now_us;
    if (bv_trace_parse(message->traceparent, &parent)) {
        served->trace = bv_trace_new_span(&parent, node->random);
    }
    g_hash_table_insert(node->served, &served->id, served);
    g_hash_table_insert(node->served_by_attempt, &served->key, served);
    return served;
}

static void
process_queue(bv_node_t *node)
{
    for (;;) {
        uint64_t id;
        bv_reason_t reason;
        bv_work_verdict_t verdict =
            bv_admission_next(node->admission, node->now_us, &id, &reason);
        if (verdict == BV_WORK_QUEUED) {
            return;
        }
        bv_served_t *served = find_served(node, id);
        if (served == NULL) {
            bv_invariant(false, "queued_work_is_served", "serve");
            continue;
        }
        if (verdict == BV_WORK_RUN) {
            served->admitted = true;
            start_work(node, served);
        }
        else {
            bv_serve_refuse(node, served, reason);
        }
    }
}

/*
 * Starts work of a route in observe mode that admission queued or refused, and
 * counts what admission would have done.
 */
static void
run_observed(bv_node_t *node, bv_served_t *served, bv_work_verdict_t verdict,
             bv_reason_t reason)
{
    if (verdict == BV_WORK_QUEUED) {
        bv_admission_remove(node->admission, served->id);
    }
    bv_counter_add(BV_COUNT_OBSERVED_SHED, 1);
    bv_node_count_reason(reason);
    start_work(node, served);
}

static void
offer_to_admission(bv_node_t *node, bv_served_t *served)
{
    bv_work_t work = {
        .id = served->id,
        .route_hash = served->route_hash,
        .priority = served->dispatch->priority,
        .is_long_running = served->dispatch->is_long_running,
        .deadline_us = served->deadline_us,
    };
    bv_reason_t reason;
    bv_work_verdict_t verdict =
        bv_admission_offer(node->admission, node->now_us, &work, &reason);
    if (verdict == BV_WORK_RUN) {
        served->admitted = true;
        start_work(node, served);
        return;
    }
    if (served->mode == BV_MODE_OBSERVE) {
        run_observed(node, served, verdict, reason);
        return;
    }
    if (verdict == BV_WORK_REFUSED) {
        bv_serve_refuse(node, served, reason);
        return;
    }
    process_queue(node);
}

void
bv_serve_handle_dispatch(bv_node_t *node, bv_peer_message_t *message)
{
    bv_reason_t reason = dispatch_refusal(node, message);
    if (reason == BV_REASON_END) {
        bv_peer_message_destroy(message);
        return;
    }
    if (reason != BV_REASON_NONE) {
        refuse_dispatch(node, message, reason, BV_SERVED_UNSEEN, 0);
        bv_peer_message_destroy(message);
        return;
    }
    bv_served_t *served = create_served(node, message);
    if (served->mode == BV_MODE_BYPASS) {
        bv_counter_add(BV_COUNT_BYPASSED, 1);
        start_work(node, served);
        return;
    }
    offer_to_admission(node, served);
}

static void
release_slot(bv_node_t *node, const bv_served_t *served,
             const bv_target_result_t *result)
{
    bv_work_result_t work_result = {
        .latency_us = node->now_us - served->started_us,
        .downstream_us = served->children_total_us,
        .completed = result->outcome == BV_OUTCOME_RAN,
    };
    bv_admission_finish(node->admission, node->now_us, served->id,
                        &work_result);
}

static void
record_local_retry(bv_node_t *node, const bv_served_t *served,
                   bv_local_retry_verdict_t verdict)
{
    bv_reason_t reason = verdict == BV_LOCAL_RETRY_NO_BUDGET
                             ? BV_REASON_NO_BUDGET
                             : BV_REASON_NO_CREDIT;
    bool is_sent = verdict == BV_LOCAL_RETRY_SEND;
    bv_decision_t decision = {
        .kind = is_sent ? BV_DECISION_RETRIED : BV_DECISION_NOT_RETRIED,
        .request = served->dispatch->request_id,
        .subject = node->target.last_announcement.instance,
        .reason = is_sent ? BV_REASON_CONNECTION_LOST : reason,
        .label = served->dispatch->label,
        .left_us = served->deadline_us - node->now_us,
        .took_us = node->now_us - served->arrived_us,
    };
    bv_node_record_decision(node, &decision);
    if (is_sent) {
        bv_counter_add(BV_COUNT_RETRIES, 1);
        bv_counter_add(BV_COUNT_LOCAL_RETRIES, 1);
    }
    else {
        bv_node_count_reason(reason);
    }
}

/* Sends work again whose kept-alive connection was lost, if it may be. */
static bool
retry_locally(bv_node_t *node, bv_served_t *served,
              const bv_target_result_t *result)
{
    const bv_peer_message_t *dispatch = served->dispatch;
    bv_local_retry_t retry = {
        .now_us = node->now_us,
        .deadline_us = served->deadline_us,
        .service = node->target.last_announcement.service,
        .request_id = dispatch->request_id,
        .priority = dispatch->priority,
        .outcome = result->outcome,
        .reason = result->reason,
        .is_idempotent = dispatch->is_idempotent,
        .is_retry = served->is_local_retry,
        /* The client of the target is stopped after a drain. */
        .is_target_usable =
            bv_target_is_usable(node) && node->drain.phase != BV_DRAIN_DONE,
        .is_permitted = served->mode == BV_MODE_ENFORCE,
        .is_cancelled = served->is_cancelled,
    };
    bv_local_retry_verdict_t verdict =
        bv_local_retry_try_charge(&retry, node->retry_budgets, node->credits);
    if (result->reason == BV_REASON_CONNECTION_LOST) {
        bv_node_count_reason(result->reason);
    }
    if (verdict != BV_LOCAL_RETRY_NONE) {
        record_local_retry(node, served, verdict);
    }
    if (verdict != BV_LOCAL_RETRY_SEND) {
        return false;
    }
    served->is_local_retry = true;
    send_to_target(node, served);
    return true;
}

/* The target is not at fault, so that its state does not change. */
static void
report_no_descriptors(bv_node_t *node)
{
    bv_node_count_reason(BV_REASON_DESCRIPTORS);
    if (bv_log_budget_try_consume(&node->log_budget, node->now_us,
                                  BV_LOG_CLASS_REFUSAL)) {
        bv_log(BV_LOG_WARN, "descriptors_exhausted", "port",
               BV_NUM(node->target.last_announcement.port), NULL);
    }
}

void
bv_serve_handle_result(bv_node_t *node, void *data)
{
    bv_target_result_t *result = data;
    bv_served_t *served = find_served(node, result->id);
    if (served == NULL || retry_locally(node, served, result)) {
        bv_target_result_destroy(result);
        return;
    }
    const bv_peer_message_t *dispatch = served->dispatch;
    bv_decision_t decision = {
        .kind = BV_DECISION_SERVED,
        .request = dispatch->request_id,
        .subject = node->target.last_announcement.instance,
        .reason = result->reason,
        .outcome = result->outcome,
        .number = result->status,
        .label = dispatch->label,
        .left_us = served->deadline_us - node->now_us,
        .took_us = node->now_us - served->arrived_us,
    };
    bv_node_record_decision(node, &decision);
    if (result->reason == BV_REASON_BROKEN_ANSWER) {
        bv_broken_answer_log_target(node, dispatch, result->error);
    }
    if (result->reason == BV_REASON_CONNECT) {
        bv_target_set_unreachable(node);
    }
    else if (result->reason == BV_REASON_DRAINING) {
        count_refusal(dispatch, result->reason);
        bv_node_count_reason(result->reason);
    }
    else if (result->reason == BV_REASON_DESCRIPTORS) {
        report_no_descriptors(node);
    }
    bv_node_placement_record(node, served, result);
    if (served->admitted) {
        release_slot(node, served, result);
    }
    if (served->started) {
        bv_backpressure_table_report(node->downstream_backpressure,
                                     node->now_us, served->route_hash,
                                     &served->downstream_backpressure);
    }
    bv_sessions_finish(node->sessions, node->now_us, &served->key,
                       result->outcome != BV_OUTCOME_NOT_RUN);
    bv_peer_message_t *answer =
        create_answer(node, dispatch, result->outcome, result->reason);
    answer->credit = bv_credits_close(node->credits, &dispatch->request_id,
                                      dispatch->credit);
    answer->served_state = refused_state(result->reason);
    if (result->outcome == BV_OUTCOME_RAN) {
        answer->status = result->status;
        answer->headers = g_strdup(result->headers);
        answer->body = g_bytes_ref(result->body);
    }
    bv_answer_cache_add(node->answer_cache, &served->key, answer);
    /* A stored answer has no report, which would be old when it is sent. */
    bv_node_placement_add_report(node, dispatch, served->route_hash,
                                 node->now_us - served->arrived_us, answer);
    export_span(node, served, answer);
    bv_peers_answer(node, dispatch, answer);
    bv_serve_remove(node, served);
    bv_target_result_destroy(result);
    process_queue(node);
}

void
bv_serve_tick(bv_node_t *node)
{
    bv_sessions_tick(node->sessions, node->now_us);
    process_queue(node);
}

uint32_t
bv_serve_count(const bv_node_t *node)
{
    return g_hash_table_size(node->served);
}
