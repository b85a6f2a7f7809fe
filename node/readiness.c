#include "berylvane/common/clock.h"
#include "berylvane/node/node.h"

/*
 * Time after the start at which a node becomes ready even if it has found no
 * other member.
 */
#define DISCOVERY_TIMEOUT_US (2 * BV_US_PER_S)

static bool
is_discovery_complete(const bv_node_t *node)
{
    return bv_membership_count_present(node->membership) > 0 ||
           node->now_us - node->started_us >= DISCOVERY_TIMEOUT_US;
}

bool
bv_node_is_ready(const bv_node_t *node)
{
    return node->config != NULL && !node->draining &&
           is_discovery_complete(node);
}

void
bv_readiness_answer(bv_node_t *node, bv_call_t *call)
{
    if (node->draining) {
        node->drain.readiness_refusals++;
        node->drain.last_refusal_us = node->now_us;
    }
    bv_reply_t reply = {
        .status = bv_node_is_ready(node) ? 200 : 503,
        .outcome = BV_OUTCOME_RAN,
    };
    bv_call_reply(call, &reply);
}
