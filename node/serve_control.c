#include "berylvane/common/counters.h"
#include "berylvane/node/call.h"

static bv_attempt_key_t
attempt_key_of(const bv_peer_message_t *message)
{
    return bv_attempt_key(message->from, message->from_incarnation,
                          message->attempt);
}

static bv_served_t *
find_served(const bv_node_t *node, const bv_attempt_key_t *key)
{
    return g_hash_table_lookup(node->served_by_attempt, key);
}

void
bv_serve_open_session(bv_node_t *node, const bv_peer_message_t *message)
{
    if (message->to_incarnation == node->incarnation) {
        bv_sessions_open(node->sessions, message->from,
                         message->from_incarnation, message->session);
    }
}

/*
 * Directs the answer of work that is still open to the connection over which
 * the latest fence or progress query arrived.
 */
static void
update_reply_route(bv_served_t *served, const bv_peer_message_t *message)
{
    bv_peer_message_t *dispatch = served->dispatch;
    g_clear_pointer(&dispatch->reply_identity, g_bytes_unref);
    if (message->reply_identity != NULL) {
        dispatch->reply_identity = g_bytes_ref(message->reply_identity);
    }
}

static void
resend_answer(bv_node_t *node, const bv_peer_message_t *message,
              const bv_attempt_key_t *key)
{
    bv_peer_message_t *answer = bv_answer_cache_find(node->answer_cache, key);
    if (answer != NULL) {
        bv_counter_add(BV_COUNT_ANSWERS_RESENT, 1);
        bv_peers_answer(node, message, answer);
    }
}

static void
report_state(bv_node_t *node, const bv_peer_message_t *message,
             bv_peer_kind_t kind, bv_served_state_t state)
{
    bv_attempt_key_t key = attempt_key_of(message);
    if (state == BV_SERVED_FINISHED) {
        resend_answer(node, message, &key);
    }
    if (state == BV_SERVED_FORGOTTEN) {
        bv_counter_add(BV_COUNT_ATTEMPTS_FORGOTTEN, 1);
    }
    bv_peer_message_t *answer = bv_peer_message_create(kind);
    answer->served_state = state;
    bv_peers_answer(node, message, answer);
}

void
bv_serve_handle_fence(bv_node_t *node, const bv_peer_message_t *message)
{
    if (message->to_incarnation != node->incarnation) {
        return;
    }
    bv_serve_open_session(node, message);
    bv_attempt_key_t key = attempt_key_of(message);
    bv_served_state_t previous_state =
        bv_sessions_fence(node->sessions, node->now_us, &key);
    bv_served_t *served = find_served(node, &key);
    if (served != NULL) {
        update_reply_route(served, message);
    }
    if (previous_state == BV_SERVED_QUEUED && served != NULL) {
        bv_admission_remove(node->admission, served->id);
        bv_serve_remove(node, served);
    }
    report_state(node, message, BV_PEER_FENCED, previous_state);
}

void
bv_serve_handle_progress_query(bv_node_t *node,
                               const bv_peer_message_t *message)
{
    if (message->to_incarnation != node->incarnation) {
        return;
    }
    bv_serve_open_session(node, message);
    if (message->attempt == 0) {
        /* A query without an attempt only tests whether this node answers. */
        report_state(node, message, BV_PEER_PROGRESS, BV_SERVED_STARTED);
        return;
    }
    bv_attempt_key_t key = attempt_key_of(message);
    bv_served_state_t state =
        bv_sessions_fence_unseen(node->sessions, node->now_us, &key);
    bv_served_t *served = find_served(node, &key);
    if (served != NULL) {
        update_reply_route(served, message);
    }
    report_state(node, message, BV_PEER_PROGRESS, state);
}

void
bv_serve_handle_cancel(bv_node_t *node, const bv_peer_message_t *message)
{
    bv_attempt_key_t key = attempt_key_of(message);
    bv_served_t *served = find_served(node, &key);
    if (served == NULL) {
        return;
    }
    bv_counter_add(BV_COUNT_CANCELLED, 1);
    if (served->started) {
        served->is_cancelled = true;
        bv_target_client_cancel(node->target_client, served->id);
        return;
    }
    bv_admission_remove(node->admission, served->id);
    bv_serve_refuse(node, served, BV_REASON_CANCELLED);
}
