#include "berylvane/node/broken_answer.h"

#include "berylvane/common/log.h"

static bool
may_log(bv_node_t *node)
{
    return bv_log_budget_try_consume(&node->log_budget, node->now_us,
                                     BV_LOG_CLASS_FAILURE);
}

void
bv_broken_answer_log_target(bv_node_t *node, const bv_peer_message_t *dispatch,
                            const char *error)
{
    char id[BV_ID_TEXT_BYTES];
    if (!may_log(node)) {
        return;
    }
    bv_log(BV_LOG_WARN, "target_answer_broken", "request", dispatch->label,
           "id", bv_id_text(&dispatch->request_id, id), "port",
           BV_NUM(node->target.last_announcement.port), "error", error, NULL);
}

void
bv_broken_answer_log_peer(bv_node_t *node, const bv_call_state_t *state,
                          const bv_peer_message_t *message, const char *error)
{
    char id[BV_ID_TEXT_BYTES] = "";
    const char *label = NULL;
    if (!may_log(node)) {
        return;
    }
    if (state != NULL) {
        label = state->call->label;
        bv_id_text(&state->id, id);
    }
    bv_log(BV_LOG_WARN, "peer_answer_broken", "request", label, "id", id,
           "member", message->from, "error", error, NULL);
}
