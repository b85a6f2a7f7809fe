#include "serve.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/invariant.h"
#include "berylvane/node/memory.h"

#include <string.h>

/*
 * Each hop reserves HOP_MARGIN_US for the answer's way back, but at most the
 * time left divided by HOP_MARGIN_DIVISOR.
 */
#define HOP_MARGIN_US 2000
#define HOP_MARGIN_DIVISOR 20

bv_served_t *
serve_find(const bv_node_t *node, uint64_t id)
{
    return g_hash_table_lookup(node->served, &id);
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

void
serve_send_to_target(bv_node_t *node, bv_served_t *served)
{
    char span[BV_TRACE_TEXT_BYTES];
    const bv_peer_message_t *dispatch = served->dispatch;
    bv_invariant(!bv_local_target_is_leaving(&node->target),
                 "no_work_for_leaving_target",
                 node->target.last_announcement.instance);
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
    serve_send_to_target(node, served);
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
    const bv_route_t *route = serve_find_route(node, message);
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

void
serve_process_queue(bv_node_t *node)
{
    for (;;) {
        uint64_t id;
        bv_reason_t reason;
        bv_work_verdict_t verdict =
            bv_admission_next(node->admission, node->now_us, &id, &reason);
        if (verdict == BV_WORK_QUEUED) {
            return;
        }
        bv_served_t *served = serve_find(node, id);
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
    serve_process_queue(node);
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
        serve_refuse_dispatch(node, message, reason, BV_SERVED_UNSEEN, 0);
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

void
bv_serve_tick(bv_node_t *node)
{
    bv_sessions_tick(node->sessions, node->now_us);
    serve_process_queue(node);
}

uint32_t
bv_serve_count(const bv_node_t *node)
{
    return g_hash_table_size(node->served);
}
