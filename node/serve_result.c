#include "serve.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/core/local_retry.h"
#include "berylvane/node/broken_answer.h"

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
    serve_send_to_target(node, served);
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
    bv_served_t *served = serve_find(node, result->id);
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
        serve_count_refusal(dispatch, result->reason);
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
        serve_create_answer(node, dispatch, result->outcome, result->reason);
    answer->credit = bv_credits_close(node->credits, &dispatch->request_id,
                                      dispatch->credit);
    answer->served_state = serve_refused_state(result->reason);
    if (result->outcome == BV_OUTCOME_RAN) {
        answer->status = result->status;
        answer->headers = g_strdup(result->headers);
        answer->body = g_bytes_ref(result->body);
    }
    bv_answer_cache_add(node->answer_cache, &served->key, answer);
    /* A stored answer has no report, which would be old when it is sent. */
    bv_node_placement_add_report(node, dispatch, served->route_hash,
                                 node->now_us - served->arrived_us, answer);
    serve_export_span(node, served, answer);
    bv_peers_answer(node, dispatch, answer);
    bv_serve_remove(node, served);
    bv_target_result_destroy(result);
    serve_process_queue(node);
}
