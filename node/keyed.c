#include "berylvane/node/keyed.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/headers.h"
#include "berylvane/common/log.h"
#include "berylvane/node/quotas.h"

#include <string.h>
#include <xxhash.h>

#define KEY_RETENTION_US (120 * BV_US_PER_S)
#define KEYS_LIMIT 50000
#define RESULTS_LIMIT_BYTES (16 * 1024 * 1024)
#define WRITE_RESEND_DELAY_US (100 * BV_US_PER_MS)
#define WRITE_RESEND_DELAY_LIMIT_US (5 * BV_US_PER_S)
#define OWNER_POLL_US (50 * BV_US_PER_MS)
#define KEY_LIMIT_BYTES 256

static uint64_t
extend_digest(uint64_t digest, const char *text)
{
    const char *bytes = text != NULL ? text : "";
    return XXH3_64bits_withSeed(bytes, strlen(bytes), digest);
}

static uint64_t
compute_request_digest(const bv_call_state_t *state)
{
    gsize size;
    const bv_call_t *call = state->call;
    const void *body = g_bytes_get_data(call->body, &size);
    uint64_t digest = extend_digest(0, call->method);
    digest = extend_digest(digest, call->path);
    digest = extend_digest(digest, state->customer);
    return XXH3_64bits_withSeed(body, size, digest);
}

/*
 * Returns the header lines of the reply to a call that ran, but of whose
 * answer only the status and the digest of the body are stored. The caller
 * frees them.
 */
static char *
render_ran_headers(const bv_key_result_t *result)
{
    return g_strdup_printf("%s: %u\r\n%s: %016" G_GINT64_MODIFIER "x\r\n",
                           BV_HEADER_RAN_STATUS, result->status,
                           BV_HEADER_RAN_DIGEST, (guint64)result->body_digest);
}

void
bv_keyed_reply(bv_node_t *node, bv_call_state_t *state,
               const bv_key_result_t *result)
{
    bv_reply_t reply = {
        .status = result->status,
        .outcome = result->outcome,
        .reason = result->reason,
        .headers = result->headers,
        .body = result->body,
    };
    char *header_lines = NULL;
    if (result->reason == BV_REASON_ANSWER_GONE && result->headers == NULL) {
        header_lines = render_ran_headers(result);
        reply.status = BV_STATUS_ANSWER_GONE;
        reply.headers = header_lines;
    }
    g_clear_pointer(&state->claim_key, g_free);
    bv_calls_finish(node, state, &reply);
    g_free(header_lines);
}

static void
on_write(void *context, const bv_claim_write_t *write)
{
    bv_claim_writes_add(context, write);
}

static bool
on_query_owner(void *context, const char *key, const bv_claim_row_t *row)
{
    return bv_key_peers_query_owner(context, key, row);
}

static void
on_start(void *context, const char *key, uint64_t waiter)
{
    (void)key;
    bv_node_t *node = context;
    bv_call_state_t *state = bv_calls_find(node, waiter);
    state->holds_key = true;
    bv_reply_t refused = {.status = 503, .outcome = BV_OUTCOME_NOT_RUN};
    if (!bv_routing_admit(node, state, &refused.reason)) {
        bv_keyed_settle(node, state, &refused);
        return;
    }
    bv_quotas_begin(node, state);
}

static void
on_answer(void *context, uint64_t waiter, const bv_key_result_t *result)
{
    bv_node_t *node = context;
    bv_call_state_t *state = bv_calls_find(node, waiter);
    if (!state->holds_key) {
        bv_counter_add(BV_COUNT_REPEATS, 1);
    }
    bv_keyed_reply(node, state, result);
}

static const bv_claims_ops_t claims_ops = {
    .write = on_write,
    .query_owner = on_query_owner,
    .start = on_start,
    .answer = on_answer,
};

void
bv_keyed_create(bv_node_t *node)
{
    bv_claims_options_t options = {
        .incarnation = node->incarnation,
        .retention_us = KEY_RETENTION_US,
        .keys_limit = KEYS_LIMIT,
        .results_limit_bytes = RESULTS_LIMIT_BYTES,
        .resend_delay_us = WRITE_RESEND_DELAY_US,
        .resend_delay_limit_us = WRITE_RESEND_DELAY_LIMIT_US,
        .owner_poll_us = OWNER_POLL_US,
        .random = node->random,
        .ops = &claims_ops,
        .context = node,
    };
    bv_tickets_prepare(node);
    options.tickets = node->tickets;
    g_strlcpy(options.owner, node->settings->name, BV_NAME_BYTES);
    node->claims = bv_claims_create(&options);
    node->key_queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    bv_claim_writes_create(node);
}

void
bv_keyed_destroy(bv_node_t *node)
{
    bv_claim_writes_destroy(node);
    g_hash_table_destroy(node->key_queries);
    bv_claims_destroy(node->claims);
    bv_tickets_destroy(node->tickets);
}

static void
join_key(bv_node_t *node, bv_call_state_t *state, uint64_t ticket_serial)
{
    state->claim_key =
        g_strdup_printf("%s/%s", state->route->service, state->key);
    bv_claim_call_t call = {
        .key = state->claim_key,
        .request_digest = compute_request_digest(state),
        .waiter = state->tag,
        .ticket_serial = ticket_serial,
    };
    bv_claims_begin(node->claims, node->now_us, &call);
}

static void
refuse_key(bv_node_t *node, bv_call_state_t *state)
{
    bv_key_result_t result = {
        .outcome = BV_OUTCOME_NOT_RUN,
        .reason = BV_REASON_BAD_KEY,
        .status = 400,
    };
    bv_counter_add(BV_COUNT_KEYS_REFUSED, 1);
    g_clear_pointer(&state->key, g_free);
    bv_keyed_reply(node, state, &result);
}

static void
begin_with_ticket(bv_node_t *node, bv_call_state_t *state)
{
    bv_ticket_t ticket;
    if (!bv_ticket_parse(state->key, &node->ticket_keys, &ticket)) {
        refuse_key(node, state);
        return;
    }
    if (bv_tickets_minted_here(node, &ticket)) {
        join_key(node, state, ticket.serial);
        return;
    }
    bv_key_peers_forward(node, state, &ticket);
}

static void
begin_with_key(bv_node_t *node, bv_call_state_t *state)
{
    size_t length = strlen(state->key);
    if (length == 0 || length > KEY_LIMIT_BYTES) {
        refuse_key(node, state);
        return;
    }
    if (bv_ticket_has_prefix(state->key)) {
        begin_with_ticket(node, state);
        return;
    }
    join_key(node, state, 0);
}

void
bv_keyed_begin(bv_node_t *node, bv_call_state_t *state)
{
    state->key = state->call->idempotency_key != NULL
                     ? g_strdup(state->call->idempotency_key)
                     : bv_tickets_mint(node);
    begin_with_key(node, state);
    bv_calls_reschedule(node, state);
}

void
bv_keyed_settle(bv_node_t *node, bv_call_state_t *state,
                const bv_reply_t *reply)
{
    bv_key_result_t result = {
        .outcome = reply->outcome,
        .reason = reply->reason,
        .status = reply->status,
        .headers = (char *)reply->headers,
        .body = reply->body,
    };
    if (reply->body != NULL) {
        gsize size;
        const void *data = g_bytes_get_data(reply->body, &size);
        result.body_digest = XXH3_64bits(data, size);
    }
    bv_claims_settle(node->claims, node->now_us, state->claim_key, &result);
}

void
bv_keyed_expire(bv_node_t *node, bv_call_state_t *state)
{
    bv_key_result_t result = {
        .outcome = BV_OUTCOME_UNKNOWN,
        .reason = BV_REASON_TIMEOUT,
        .status = 504,
    };
    if (state->claim_key != NULL) {
        bv_claims_leave(node->claims, node->now_us, state->claim_key,
                        state->tag, &result);
    }
    bv_keyed_reply(node, state, &result);
}

void
bv_keyed_tick(bv_node_t *node)
{
    bv_claims_tick(node->claims, node->now_us);
    bv_claim_writes_tick(node);
    bv_key_peers_tick(node);
}

void
bv_keyed_handle_restore(bv_node_t *node)
{
    bv_claim_writes_discard(node);
    bv_claims_handle_restore(node->claims);
}
