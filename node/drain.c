#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"

#define NOTICE_REFUSALS 2
/* Time for calls on connections opened before the last denied probe. */
#define NOTICE_SETTLE_US (BV_US_PER_S / 5)
/* Time to send the last answers to callers. */
#define LINGER_US (BV_US_PER_S / 5)

static void
enter_phase(bv_node_t *node, bv_drain_phase_t phase)
{
    node->drain.phase = phase;
    node->drain.phase_started_us = node->now_us;
}

void
bv_node_start_drain(bv_node_t *node)
{
    if (node->draining) {
        return;
    }
    node->draining = true;
    node->drain.started_us = node->now_us;
    enter_phase(node, BV_DRAIN_NOTICE);
    bv_log(BV_LOG_INFO, "drain_started", "calls", BV_NUM(bv_calls_count(node)),
           "served", BV_NUM(bv_serve_count(node)), NULL);
}

bool
bv_drain_refuses_call(const bv_node_t *node, const bv_call_t *call)
{
    return node->drain.phase == BV_DRAIN_DONE ||
           (call->is_outside && node->drain.phase > BV_DRAIN_NOTICE);
}

/*
 * Stops accepting connections of outside callers and marks this node as
 * draining in the membership, so that other nodes send it no new work.
 */
static void
enter_finish(bv_node_t *node)
{
    if (node->listeners[BV_LISTENER_OUTSIDE] != NULL) {
        bv_listener_quiesce(node->listeners[BV_LISTENER_OUTSIDE]);
    }
    bv_membership_set_self_state(node->membership, BV_MEMBER_DRAINING);
    bv_router_update(node->router, bv_membership_self(node->membership));
    enter_phase(node, BV_DRAIN_FINISH);
}

/*
 * A load balancer that was denied readiness NOTICE_REFUSALS times is taken to
 * have stopped sending new callers to this node.
 */
static bool
is_notice_acknowledged(const bv_node_t *node)
{
    return node->drain.readiness_refusals >= NOTICE_REFUSALS &&
           node->now_us - node->drain.last_refusal_us >= NOTICE_SETTLE_US;
}

static bool
is_idle(const bv_node_t *node)
{
    return bv_calls_count(node) == 0 && bv_serve_count(node) == 0;
}

/* Callers may take the last answers slowly. */
static bool
is_done(const bv_node_t *node)
{
    return is_idle(node) && bv_node_answers_are_written(node);
}

static bool
is_over_limit(const bv_node_t *node)
{
    return node->now_us - node->drain.started_us >=
           node->settings->drain_limit_ms * BV_US_PER_MS;
}

/*
 * Ends the calls that are open at the limit. Work that waits at this node is
 * refused first, so that its callers, here and on other nodes, are told that
 * it has not run; the outcome of the rest is unknown.
 */
static void
end_open_calls(bv_node_t *node)
{
    node->drain.has_reached_limit = true;
    bv_members_configure_admission(node);
    bv_serve_tick(node);
    bv_loop_run_events(node);
    bv_calls_answer_unknown(node);
}

static void
enter_linger(bv_node_t *node)
{
    if (!is_idle(node)) {
        bv_log(BV_LOG_WARN, "drain_limit", "calls",
               BV_NUM(bv_calls_count(node)), "served",
               BV_NUM(bv_serve_count(node)), NULL);
        end_open_calls(node);
    }
    enter_phase(node, BV_DRAIN_LINGER);
    bv_membership_set_self_state(node->membership, BV_MEMBER_LEFT);
    bv_rendezvous_withdraw(node);
}

void
bv_drain_tick(bv_node_t *node)
{
    int64_t in_phase_us = node->now_us - node->drain.phase_started_us;
    int64_t notice_us = node->settings->drain_notice_ms * BV_US_PER_MS;
    switch (node->drain.phase) {
    case BV_DRAIN_NOTICE:
        if (in_phase_us >= notice_us || is_notice_acknowledged(node)) {
            enter_finish(node);
        }
        return;
    case BV_DRAIN_FINISH:
        if (is_idle(node) || is_over_limit(node)) {
            enter_linger(node);
        }
        return;
    case BV_DRAIN_LINGER:
        if (in_phase_us >= LINGER_US &&
            (is_done(node) || is_over_limit(node))) {
            enter_phase(node, BV_DRAIN_DONE);
            bv_log(BV_LOG_INFO, "drain_ended", NULL);
        }
        return;
    case BV_DRAIN_NONE:
    case BV_DRAIN_DONE:
        return;
    }
}
