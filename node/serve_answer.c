#include "serve.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"

#include <string.h>

void
bv_node_count_reason(bv_reason_t reason)
{
    bv_counter_add((bv_counter_t)(BV_COUNT_REASON_NONE + reason), 1);
}

const bv_route_t *
serve_find_route(const bv_node_t *node, const bv_peer_message_t *dispatch)
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

bv_peer_message_t *
serve_create_answer(const bv_node_t *node, const bv_peer_message_t *dispatch,
                    bv_outcome_t outcome, bv_reason_t reason)
{
    const bv_route_t *route = serve_find_route(node, dispatch);
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

void
serve_refuse_dispatch(bv_node_t *node, const bv_peer_message_t *dispatch,
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
        serve_create_answer(node, dispatch, BV_OUTCOME_NOT_RUN, reason);
    answer->credit = dispatch->credit;
    answer->served_state = served_state;
    bv_node_count_reason(reason);
    bv_node_placement_add_report(node, dispatch, 0, waited_us, answer);
    bv_peers_answer(node, dispatch, answer);
}

void
serve_export_span(bv_node_t *node, const bv_served_t *served,
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
serve_count_refusal(const bv_peer_message_t *dispatch, bv_reason_t reason)
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

bv_served_state_t
serve_refused_state(bv_reason_t reason)
{
    return reason == BV_REASON_DRAINING ? BV_SERVED_QUEUED : BV_SERVED_UNSEEN;
}

void
bv_serve_refuse(bv_node_t *node, bv_served_t *served, bv_reason_t reason)
{
    const bv_peer_message_t *dispatch = served->dispatch;
    bv_sessions_finish(node->sessions, node->now_us, &served->key, false);
    serve_count_refusal(dispatch, reason);
    serve_refuse_dispatch(node, dispatch, reason, serve_refused_state(reason),
                          node->now_us - served->arrived_us);
    bv_serve_remove(node, served);
}
