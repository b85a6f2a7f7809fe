#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/node/departures.h"
#include "berylvane/node/node.h"

#include <string.h>

#define SOURCE "announcement"
#define ANNOUNCEMENT_TIMEOUT_US (10 * BV_US_PER_S)

void
bv_target_create(bv_node_t *node)
{
    bv_local_target_options_t options = {
        .service = node->settings->service,
        .silence_us = ANNOUNCEMENT_TIMEOUT_US,
        .node_start_ms = node->incarnation / BV_US_PER_MS,
    };
    bv_local_target_init(&node->target, &options);
}

bool
bv_target_is_usable(const bv_node_t *node)
{
    return bv_local_target_is_usable(&node->target);
}

/*
 * Publishes the target's service and usable slots to the other nodes and to
 * the local router, and applies the slots to admission.
 */
static void
publish_capacity(bv_node_t *node)
{
    const bv_local_target_t *target = &node->target;
    uint32_t slots =
        bv_target_is_usable(node) ? target->last_announcement.slots : 0;
    bv_membership_set_self_target(node->membership,
                                  target->last_announcement.service, slots);
    bv_router_update(node->router, bv_membership_self(node->membership));
    bv_members_configure_admission(node);
}

void
bv_target_check_silence(bv_node_t *node)
{
    bv_local_target_t *target = &node->target;
    if (bv_local_target_check_silence(target, node->now_us)) {
        bv_log(BV_LOG_WARN, "target_silent", "instance",
               target->last_announcement.instance, NULL);
        publish_capacity(node);
    }
}

void
bv_target_set_unreachable(bv_node_t *node)
{
    bv_local_target_t *target = &node->target;
    if (!bv_local_target_set_unreachable(target)) {
        return;
    }
    bv_log(BV_LOG_WARN, "target_unreachable", "instance",
           target->last_announcement.instance, NULL);
    publish_capacity(node);
}

static const char *
state_name(bv_announcement_state_t state)
{
    static const char *const names[] = {"ready", "draining", "left"};
    return names[state];
}

static void
handle_change(bv_node_t *node)
{
    const bv_announcement_t *newest = &node->target.last_announcement;
    bv_log(BV_LOG_INFO, "target_announced", "instance", newest->instance,
           "service", newest->service, "port", BV_NUM(newest->port), "slots",
           BV_NUM(newest->slots), "state", state_name(newest->state), NULL);
    publish_capacity(node);
    if (bv_local_target_is_leaving(&node->target)) {
        bv_target_client_cancel_unsent(node->target_client);
    }
    /* Refuses queued work if the target leaves, starts it if it is back. */
    bv_serve_tick(node);
}

void
bv_target_recall(bv_node_t *node, const bv_departure_t *departure)
{
    if (bv_local_target_recall(&node->target, departure)) {
        handle_change(node);
    }
}

void
bv_target_end_recall(bv_node_t *node)
{
    if (bv_local_target_end_recall(&node->target)) {
        handle_change(node);
    }
}

static void
apply_announcement(bv_node_t *node, const bv_announcement_t *announcement,
                   bv_findings_t *findings)
{
    uint64_t wall_ms = (uint64_t)(bv_clock_wall_us() / BV_US_PER_MS);
    switch (bv_local_target_apply(&node->target, node->now_us, wall_ms,
                                  announcement)) {
    case BV_ANNOUNCED_RENEWED:
        return;
    case BV_ANNOUNCED_CHANGED:
        handle_change(node);
        return;
    case BV_ANNOUNCED_STALE:
        bv_log(BV_LOG_INFO, "announcement_stale", "instance",
               announcement->instance, "sequence",
               BV_NUM((gint64)announcement->sequence), NULL);
        return;
    case BV_ANNOUNCED_OTHER_SERVICE:
        bv_findings_add(findings, SOURCE, "service",
                        "expected the service of this node, \"%s\"",
                        node->settings->service);
        return;
    case BV_ANNOUNCED_CONFLICT:
        bv_findings_add(findings, SOURCE, "service",
                        "service or address changed within one start");
        return;
    }
}

static void
report_bad_announcement(bv_node_t *node, const char *problems)
{
    bv_counter_add(BV_COUNT_ANNOUNCEMENTS_BAD, 1);
    if (bv_log_budget_try_consume(&node->log_budget, node->now_us,
                                  BV_LOG_CLASS_INVALID_INPUT)) {
        bv_log(BV_LOG_WARN, "announcement_bad", "findings", problems, NULL);
    }
}

void
bv_target_handle_announcement(bv_node_t *node, bv_call_t *call)
{
    const bv_dialect_t *dialect = node->dialect;
    bv_announcement_t announcement = {0};
    bv_findings_t *findings = bv_findings_create();
    bv_reply_t reply = {.status = 200, .outcome = BV_OUTCOME_RAN};
    if (dialect->read_announcement(dialect->context, call, &announcement,
                                   findings)) {
        apply_announcement(node, &announcement, findings);
    }
    bv_departures_update(node);
    if (!bv_findings_is_empty(findings)) {
        char *problems = bv_findings_to_string(findings);
        report_bad_announcement(node, problems);
        reply.status = 400;
        reply.outcome = BV_OUTCOME_NOT_RUN;
        reply.body = g_bytes_new_take(problems, strlen(problems));
    }
    bool is_departure =
        reply.status == 200 && announcement.state != BV_ANNOUNCED_READY;
    if (!is_departure || !bv_departures_hold(node, call)) {
        bv_call_reply(call, &reply);
    }
    g_clear_pointer(&reply.body, g_bytes_unref);
    bv_findings_destroy(findings);
}
