#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/node/broken_answer.h"
#include "berylvane/node/keyed.h"

#include <string.h>
#include <xxhash.h>

/*
 * Bit that is set in the tags of calls that other nodes forwarded, so that
 * they differ from the tags that the listener assigns.
 */
#define FORWARDED_CALL_TAG (UINT64_C(1) << 63)
#define QUERY_LIFETIME_US (60 * BV_US_PER_S)

/* A KEY_QUERY message that was sent and is not answered yet. */
typedef struct {
    uint64_t id;
    int64_t sent_us;
    /* Tag of the forwarded call; 0 for a query about a row. */
    uint64_t tag;
    /* The attempt that the row names; 0 for a forwarded call. */
    uint64_t attempt;
    char key[];
} key_query_t;

static uint64_t
add_query(bv_node_t *node, uint64_t tag, uint64_t attempt, const char *key)
{
    size_t size = strlen(key) + 1;
    key_query_t *query = g_malloc0(sizeof(*query) + size);
    query->id = ++node->next_id;
    query->sent_us = node->now_us;
    query->tag = tag;
    query->attempt = attempt;
    memcpy(query->key, key, size);
    g_hash_table_insert(node->key_queries, &query->id, query);
    return query->id;
}

/*
 * Whether an incarnation of the member `name` is known to have ended: the
 * membership holds a newer one, or holds this one as dead or left. For this
 * node's name, every incarnation but the present one counts as ended.
 */
static bool
has_incarnation_ended(const bv_node_t *node, const char *name,
                      uint64_t incarnation)
{
    if (strcmp(name, node->settings->name) == 0) {
        return incarnation != node->incarnation;
    }
    const bv_member_t *member = bv_membership_find(node->membership, name);
    if (member == NULL || member->incarnation < incarnation) {
        return false;
    }
    return member->incarnation > incarnation ||
           member->state == BV_MEMBER_DEAD || member->state == BV_MEMBER_LEFT;
}

bool
bv_key_peers_query_owner(bv_node_t *node, const char *key,
                         const bv_claim_row_t *row)
{
    if (has_incarnation_ended(node, row->owner, row->incarnation)) {
        return false;
    }
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_KEY_QUERY);
    message->to_incarnation = row->incarnation;
    message->attempt = add_query(node, 0, row->attempt, key);
    message->generation = row->attempt;
    message->idempotency_key = g_strdup(key);
    bv_counter_add(BV_COUNT_KEY_ASKS, 1);
    bv_peers_send(node, row->owner, message);
    return true;
}

void
bv_key_peers_forward(bv_node_t *node, bv_call_state_t *state,
                     const bv_ticket_t *ticket)
{
    bv_key_result_t orphaned = {
        .outcome = BV_OUTCOME_UNKNOWN,
        .reason = BV_REASON_TICKET_ORPHANED,
        .status = 504,
    };
    if (state->forwarded_message != NULL ||
        has_incarnation_ended(node, ticket->member, ticket->incarnation)) {
        bv_keyed_reply(node, state, &orphaned);
        return;
    }
    bv_peer_message_t *message =
        bv_calls_create_message(node, state, BV_PEER_KEY_QUERY);
    state->forward_loan = bv_credits_lend(node->credits, &state->id);
    message->credit = state->forward_loan.amount;
    message->to_incarnation = ticket->incarnation;
    message->attempt = add_query(node, state->tag, 0, state->key);
    bv_counter_add(BV_COUNT_TICKETS_FORWARDED, 1);
    if (!bv_peers_send(node, ticket->member, message)) {
        bv_credits_return(node->credits, &state->id, &state->forward_loan,
                          state->forward_loan.amount);
        bv_keyed_reply(node, state, &orphaned);
    }
}

void
bv_key_peers_reply(bv_node_t *node, bv_call_state_t *state,
                   const bv_reply_t *reply)
{
    gsize size = 0;
    bv_peer_message_t *answer = bv_peer_message_create(BV_PEER_KEY_ANSWER);
    answer->outcome = reply->outcome;
    answer->reason = reply->reason;
    answer->status = reply->status;
    answer->headers = g_strdup(reply->headers);
    answer->credit = bv_credits_close(node->credits, &state->id,
                                      state->forwarded_message->credit);
    if (reply->body != NULL) {
        const void *data = g_bytes_get_data(reply->body, &size);
        answer->body = g_bytes_ref(reply->body);
        answer->digest = XXH3_64bits(data, size);
    }
    bv_peers_answer(node, state->forwarded_message, answer);
}

static bv_call_t *
build_call(const bv_peer_message_t *message)
{
    bv_call_t *call = g_new0(bv_call_t, 1);
    call->method = g_strdup(message->method);
    call->host = g_strdup(message->host);
    call->path = g_strdup(message->path);
    call->headers = g_strdup(message->headers);
    call->idempotency_key = g_strdup(message->idempotency_key);
    call->body = message->body != NULL ? g_bytes_ref(message->body)
                                       : g_bytes_new(NULL, 0);
    return call;
}

void
bv_key_peers_call_destroy(bv_call_t *call)
{
    bv_call_clear(call);
    g_free(call);
}

static void
send_outcome(bv_node_t *node, const bv_peer_message_t *message,
             bv_outcome_t outcome, bv_reason_t reason)
{
    bv_peer_message_t *answer = bv_peer_message_create(BV_PEER_KEY_ANSWER);
    answer->outcome = outcome;
    answer->reason = reason;
    answer->status = outcome == BV_OUTCOME_NOT_RUN ? 503 : 504;
    answer->credit = message->credit;
    bv_peers_answer(node, message, answer);
}

static const bv_route_t *
find_keyed_route(const bv_node_t *node, const bv_peer_message_t *message)
{
    if (node->config == NULL || message->path == NULL) {
        return NULL;
    }
    const bv_route_t *route = bv_config_find_route(
        node->config, message->host, message->method, message->path);
    return route != NULL && !route->is_idempotent ? route : NULL;
}

/*
 * Begins a call that another node forwarded. Returns true when the call keeps
 * `message`; false when no route takes the call, which is then answered as not
 * run.
 */
static bool
accept_forwarded_call(bv_node_t *node, bv_peer_message_t *message)
{
    const bv_route_t *route = find_keyed_route(node, message);
    if (route == NULL) {
        send_outcome(node, message, BV_OUTCOME_NOT_RUN, BV_REASON_NO_ROUTE);
        return false;
    }
    bv_call_state_t *state = g_new0(bv_call_state_t, 1);
    state->call = build_call(message);
    state->call->arrived_us = node->now_us;
    state->forwarded_message = message;
    state->tag = FORWARDED_CALL_TAG | ++node->next_id;
    state->id = message->request_id;
    state->config = bv_config_ref(node->config);
    state->route = route;
    state->service = bv_traffic_split_choose(node->traffic_split, route);
    state->route_hash = g_str_hash(route->name);
    state->bypasses_admission = route->mode == BV_MODE_BYPASS;
    state->priority = message->priority;
    state->customer = g_strdup(message->customer);
    state->start_wall_us = bv_clock_wall_us();
    state->deadline_us = node->now_us + message->remaining_us;
    state->caller_deadline_us = state->deadline_us;
    bv_credits_open(node->credits, &state->id, message->credit);
    state->is_traced = node->exporter != NULL &&
                       bv_trace_parse(message->traceparent, &state->parent);
    state->trace = bv_trace_new_span(state->is_traced ? &state->parent : NULL,
                                     node->random);
    g_hash_table_insert(node->calls, &state->tag, state);
    bv_keyed_begin(node, state);
    return true;
}

static void
answer_row_query(bv_node_t *node, const bv_peer_message_t *message)
{
    const bv_key_result_t *result = NULL;
    bv_peer_message_t *answer = bv_peer_message_create(BV_PEER_KEY_ANSWER);
    answer->outcome = BV_OUTCOME_UNKNOWN;
    switch (bv_claims_attempt_state(node->claims, message->idempotency_key,
                                    message->generation, &result)) {
    case BV_OWNER_PENDING:
        break;
    case BV_OWNER_ABANDONED:
        answer->outcome = BV_OUTCOME_NOT_RUN;
        break;
    case BV_OWNER_UNKNOWN:
        answer->reason = BV_REASON_OWNER_GONE;
        break;
    case BV_OWNER_COMPLETED:
        answer->outcome = result->outcome;
        answer->reason = result->outcome == BV_OUTCOME_UNKNOWN
                             ? BV_REASON_OWNER_GONE
                             : result->reason;
        answer->status = result->status;
        answer->headers = g_strdup(result->headers);
        answer->body = result->body != NULL ? g_bytes_ref(result->body) : NULL;
        answer->digest = result->body_digest;
        break;
    }
    bv_peers_answer(node, message, answer);
}

bool
bv_key_peers_handle_query(bv_node_t *node, bv_peer_message_t *message)
{
    if (message->to_incarnation != node->incarnation) {
        send_outcome(node, message, BV_OUTCOME_UNKNOWN,
                     message->method != NULL ? BV_REASON_TICKET_ORPHANED
                                             : BV_REASON_OWNER_GONE);
        return false;
    }
    if (message->idempotency_key == NULL) {
        bv_counter_add(BV_COUNT_PEER_BAD, 1);
        return false;
    }
    if (message->method != NULL) {
        return accept_forwarded_call(node, message);
    }
    answer_row_query(node, message);
    return false;
}

static bool
digest_matches(const bv_peer_message_t *message)
{
    gsize size = 0;
    if (message->body == NULL) {
        return true;
    }
    const void *data = g_bytes_get_data(message->body, &size);
    return message->digest == XXH3_64bits(data, size);
}

/* Whether the answer of the target is the one that the target gave. */
static bool
is_sound(bv_node_t *node, const bv_call_state_t *state,
         const bv_peer_message_t *message)
{
    if (!digest_matches(message)) {
        bv_counter_add(BV_COUNT_DIGEST_MISMATCH, 1);
        return false;
    }
    const char *error = bv_peer_message_check_answer(message);
    if (error != NULL) {
        bv_broken_answer_log_peer(node, state, message, error);
    }
    return error == NULL;
}

/* `state` is the call that was forwarded; NULL if the key was queried. */
static bv_key_result_t
result_of_answer(bv_node_t *node, const bv_call_state_t *state,
                 const bv_peer_message_t *message)
{
    bv_key_result_t result = {
        .outcome = message->outcome,
        .reason = message->reason,
        .status = message->status,
        .headers = message->headers,
        .body = message->body,
        .body_digest = message->digest,
    };
    if (!is_sound(node, state, message)) {
        result = (bv_key_result_t){.outcome = BV_OUTCOME_UNKNOWN,
                                   .reason = BV_REASON_BROKEN_ANSWER,
                                   .status = 504};
    }
    return result;
}

static bv_owner_state_t
owner_state_of_result(const bv_key_result_t *result)
{
    if (result->outcome == BV_OUTCOME_RAN) {
        return BV_OWNER_COMPLETED;
    }
    if (result->outcome == BV_OUTCOME_NOT_RUN) {
        return BV_OWNER_ABANDONED;
    }
    return result->reason == BV_REASON_NONE ? BV_OWNER_PENDING
                                            : BV_OWNER_UNKNOWN;
}

static void
handle_call_answer(bv_node_t *node, bv_call_state_t *state,
                   const bv_key_result_t *result, uint32_t credit)
{
    if (state == NULL) {
        return;
    }
    bv_credits_return(node->credits, &state->id, &state->forward_loan, credit);
    bv_keyed_reply(node, state, result);
}

void
bv_key_peers_handle_answer(bv_node_t *node, const bv_peer_message_t *message)
{
    key_query_t *query =
        g_hash_table_lookup(node->key_queries, &message->attempt);
    if (query == NULL || message->to_incarnation != node->incarnation) {
        return;
    }
    g_hash_table_steal(node->key_queries, &message->attempt);
    bv_call_state_t *state =
        query->tag != 0 ? bv_calls_find(node, query->tag) : NULL;
    bv_key_result_t result = result_of_answer(node, state, message);
    if (query->tag != 0) {
        handle_call_answer(node, state, &result, message->credit);
    }
    else {
        bv_claims_owner_replied(node->claims, node->now_us, query->key,
                                query->attempt, owner_state_of_result(&result),
                                &result);
    }
    g_free(query);
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    const key_query_t *query = value;
    const bv_node_t *node = context;
    return node->now_us - query->sent_us > QUERY_LIFETIME_US;
}

void
bv_key_peers_tick(bv_node_t *node)
{
    if (node->now_us < node->key_queries_due_us) {
        return;
    }
    node->key_queries_due_us = node->now_us + BV_US_PER_S;
    g_hash_table_foreach_remove(node->key_queries, is_expired, node);
}
