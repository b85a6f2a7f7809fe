#include "berylvane/common/counters.h"
#include "berylvane/node/configs.h"
#include "berylvane/node/node.h"
#include "berylvane/node/quotas.h"

#include <string.h>

static void
set_sender_and_digest(const bv_node_t *node, bv_peer_message_t *message)
{
    g_strlcpy(message->from, node->settings->name, BV_NAME_BYTES);
    message->from_incarnation = node->incarnation;
    if (message->kind == BV_PEER_DISPATCH || message->kind == BV_PEER_ANSWER) {
        message->digest = bv_peer_message_digest(message);
    }
}

bool
bv_peers_send(bv_node_t *node, const char *member, bv_peer_message_t *message)
{
    set_sender_and_digest(node, message);
    if (strcmp(member, node->settings->name) == 0) {
        g_queue_push_tail(&node->loopback_messages, message);
        return true;
    }
    const bv_member_t *record = bv_membership_find(node->membership, member);
    if (message->to_incarnation == 0 && record != NULL) {
        message->to_incarnation = record->incarnation;
    }
    if (record == NULL || message->to_incarnation < record->incarnation) {
        bv_peer_message_destroy(message);
        return false;
    }
    if (message->session == 0) {
        message->session =
            bv_outgoing_sessions_current(node->outgoing_sessions, node->now_us,
                                         member, message->to_incarnation);
    }
    return bv_link_send(node->link, member, record->address, record->peer_port,
                        message);
}

bool
bv_peers_answer(bv_node_t *node, const bv_peer_message_t *to,
                bv_peer_message_t *message)
{
    message->to_incarnation = to->from_incarnation;
    message->attempt = to->attempt;
    set_sender_and_digest(node, message);
    if (to->reply_identity == NULL) {
        /*
         * The link sets `link_session` to the session of the connection. A
         * loopback answer has no connection and takes the session of the
         * message that it answers.
         */
        message->link_session = to->session;
        g_queue_push_tail(&node->loopback_messages, message);
        return true;
    }
    message->reply_identity = g_bytes_ref(to->reply_identity);
    return bv_link_answer(node->link, message);
}

static bool
is_for_this_incarnation(const bv_node_t *node,
                        const bv_peer_message_t *message)
{
    return message->to_incarnation == node->incarnation;
}

void
bv_peers_handle_message(bv_node_t *node, void *data)
{
    bv_peer_message_t *message = data;
    bv_outgoing_sessions_message_received(node->outgoing_sessions,
                                          node->now_us, message->from,
                                          message->link_session);
    switch (message->kind) {
    case BV_PEER_DISPATCH:
        bv_serve_handle_dispatch(node, message);
        return;
    case BV_PEER_ANSWER:
        if (message->reason == BV_REASON_DRAINING &&
            message->served_state != BV_SERVED_QUEUED) {
            bv_members_mark_draining(node, message);
        }
        if (is_for_this_incarnation(node, message)) {
            bv_calls_handle_answer(node, message);
        }
        break;
    case BV_PEER_OPEN:
        bv_serve_open_session(node, message);
        break;
    case BV_PEER_FENCE:
        bv_serve_handle_fence(node, message);
        break;
    case BV_PEER_FENCED:
    case BV_PEER_PROGRESS:
        if (is_for_this_incarnation(node, message)) {
            bv_calls_handle_fenced(node, message);
        }
        break;
    case BV_PEER_CANCEL:
        bv_serve_handle_cancel(node, message);
        break;
    case BV_PEER_PROGRESS_QUERY:
        bv_serve_handle_progress_query(node, message);
        break;
    case BV_PEER_CONFIG_REQUEST:
        bv_configs_handle_request(node, message);
        break;
    case BV_PEER_CONFIG_BODY:
        bv_configs_handle_bundle(node, message);
        break;
    case BV_PEER_KEY_QUERY:
        if (bv_key_peers_handle_query(node, message)) {
            return;
        }
        break;
    case BV_PEER_KEY_ANSWER:
        bv_key_peers_handle_answer(node, message);
        break;
    case BV_PEER_QUOTA_REQUEST:
        bv_quotas_handle_request(node, message);
        break;
    case BV_PEER_QUOTA_REPLY:
        if (is_for_this_incarnation(node, message)) {
            bv_quotas_handle_reply(node, message);
        }
        break;
    default:
        bv_counter_add(BV_COUNT_PEER_BAD, 1);
        break;
    }
    bv_peer_message_destroy(message);
}
