#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"

#include <string.h>

#define ANNOUNCEMENT_TIMEOUT_US (10 * BV_US_PER_S)

bool
bv_target_is_usable(const bv_node_t *node)
{
    const bv_local_target_t *target = &node->target;
    return target->announced && !target->unreachable &&
           target->last_announcement.state == BV_ANNOUNCED_READY;
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
    if (target->announced &&
        node->now_us - target->announced_us > ANNOUNCEMENT_TIMEOUT_US) {
        target->announced = false;
        bv_log(BV_LOG_WARN, "target_silent", "instance",
               target->last_announcement.instance, NULL);
        publish_capacity(node);
    }
}

void
bv_target_set_unreachable(bv_node_t *node)
{
    bv_local_target_t *target = &node->target;
    if (!bv_target_is_usable(node)) {
        return;
    }
    target->unreachable = true;
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
apply_announcement(bv_node_t *node, const bv_announcement_t *announcement)
{
    bv_local_target_t *target = &node->target;
    bool was_usable = bv_target_is_usable(node);
    bv_announcement_result_t result =
        bv_announcement_apply(&target->last_announcement, announcement);
    if (result == BV_ANNOUNCED_STALE) {
        bv_log(BV_LOG_INFO, "announcement_stale", "instance",
               announcement->instance, "sequence",
               BV_NUM((gint64)announcement->sequence), NULL);
        return;
    }
    target->announced_us = node->now_us;
    target->announced = true;
    target->unreachable = false;
    if (result == BV_ANNOUNCED_RENEWED && was_usable) {
        return;
    }
    bv_log(BV_LOG_INFO, "target_announced", "instance",
           target->last_announcement.instance, "service",
           target->last_announcement.service, "port",
           BV_NUM(target->last_announcement.port), "slots",
           BV_NUM(target->last_announcement.slots), "state",
           state_name(target->last_announcement.state), NULL);
    publish_capacity(node);
    /* Refuses queued work if the target leaves, starts it if it is back. */
    bv_serve_tick(node);
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
        apply_announcement(node, &announcement);
    }
    else {
        char *problems = bv_findings_to_string(findings);
        bv_log(BV_LOG_WARN, "announcement_bad", "findings", problems, NULL);
        reply.status = 400;
        reply.outcome = BV_OUTCOME_NOT_RUN;
        reply.body = g_bytes_new_take(problems, strlen(problems));
    }
    bv_call_reply(call, &reply);
    g_clear_pointer(&reply.body, g_bytes_unref);
    bv_findings_destroy(findings);
}
