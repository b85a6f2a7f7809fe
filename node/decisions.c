#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"

/* Interval of the lines that count the decisions not logged. */
#define SUPPRESSED_LOG_PERIOD_US (5 * BV_US_PER_S)
#define LOAD_LOG_PERIOD_US BV_US_PER_S

static bv_log_class_t
log_class_of_outcome(const bv_decision_t *decision)
{
    if (decision->outcome == BV_OUTCOME_NOT_RUN) {
        return BV_LOG_CLASS_REFUSAL;
    }
    bool is_success =
        decision->outcome == BV_OUTCOME_RAN && decision->number < 500;
    return is_success ? BV_LOG_CLASS_SUCCESS : BV_LOG_CLASS_FAILURE;
}

static bv_log_class_t
log_class_of(const bv_decision_t *decision)
{
    switch (decision->kind) {
    case BV_DECISION_ROUTED:
    case BV_DECISION_ADMITTED:
    case BV_DECISION_CHARGED:
        return BV_LOG_CLASS_SUCCESS;
    case BV_DECISION_ANSWERED:
    case BV_DECISION_SERVED:
        return log_class_of_outcome(decision);
    case BV_DECISION_FENCED:
        return BV_LOG_CLASS_FAILURE;
    default:
        return BV_LOG_CLASS_REFUSAL;
    }
}

/* Decisions about members and configurations are logged elsewhere. */
static bool
is_about_request(const bv_decision_t *decision)
{
    return decision->kind < BV_DECISION_MEMBER;
}

static void
log_decision(const bv_node_t *node, const bv_decision_t *decision)
{
    char id[BV_ID_TEXT_BYTES];
    uint64_t generation = node->config != NULL ? node->config->generation : 0;
    bv_log(BV_LOG_INFO, bv_decision_name(decision->kind), "request",
           decision->label, "id", bv_id_text(&decision->request, id),
           "subject", decision->subject, "reason",
           bv_reason_name(decision->reason), "outcome",
           bv_outcome_name(decision->outcome), "status",
           BV_NUM(decision->number), "attempts", BV_NUM(decision->attempts),
           "left_us", BV_NUM(decision->left_us), "took_us",
           BV_NUM(decision->took_us), "wait_us", BV_NUM(decision->wait_us),
           "age_us", BV_NUM(decision->wait_age_us), "config",
           BV_NUM((gint64)generation), NULL);
}

static void
log_suppressed(bv_node_t *node)
{
    bv_log_budget_t *budget = &node->log_budget;
    for (int i = 0; i < BV_LOG_CLASS_END; i++) {
        if (budget->suppressed[i] == 0) {
            continue;
        }
        bv_log(BV_LOG_INFO, "decisions_left_out", "class",
               bv_log_class_name((bv_log_class_t)i), "lines",
               BV_NUM((gint64)budget->suppressed[i]), NULL);
        budget->suppressed[i] = 0;
    }
}

/* Logs the load of the local target and the number of open calls. */
static void
log_load(const bv_node_t *node)
{
    const bv_admission_t *admission = node->admission;
    bv_log(BV_LOG_INFO, "load", "running",
           BV_NUM(bv_admission_running(admission)), "limit",
           BV_NUM(bv_admission_limit(admission)), "queued",
           BV_NUM(bv_admission_queued(admission)), "threshold",
           BV_NUM(bv_admission_threshold(admission)), "wait_us",
           BV_NUM(bv_admission_route_wait_us(admission, 0, false)), "calls",
           BV_NUM(bv_calls_count(node)), NULL);
}

void
bv_decisions_tick(bv_node_t *node)
{
    if (node->now_us >= node->load_log_due_us) {
        node->load_log_due_us = node->now_us + LOAD_LOG_PERIOD_US;
        log_load(node);
    }
    bv_node_placement_tick(node);
    if (node->now_us >= node->suppressed_log_due_us) {
        node->suppressed_log_due_us = node->now_us + SUPPRESSED_LOG_PERIOD_US;
        log_suppressed(node);
    }
}

void
bv_node_record_decision(bv_node_t *node, const bv_decision_t *decision)
{
    bv_journal_add(node->journal, bv_clock_wall_us(), decision);
    if (is_about_request(decision) && node->settings->log_level <= 1 &&
        bv_log_budget_try_consume(&node->log_budget, node->now_us,
                                  log_class_of(decision))) {
        log_decision(node, decision);
    }
}
