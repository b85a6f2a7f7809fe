#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/node/keyed.h"

#define BATCH_WRITES_LIMIT BV_STORE_MAX_OPERATIONS
#define BATCHES_IN_FLIGHT_LIMIT 4
/* Writes of results may wait longer than claims: no call waits for them. */
#define RESULT_DELAY_US BV_US_PER_S
#define RING_FULL_RETRY_US (50 * BV_US_PER_MS)

typedef struct {
    char *key;
    uint64_t sequence;
    bv_claim_write_result_t result;
} pending_write_t;

/* A batch of writes that share one transaction. */
typedef struct {
    bv_node_t *node;
    /* Elements are pending_write_t. */
    GArray *pending_writes;
} batch_t;

struct bv_claim_writes {
    /*
     * The batch that is being filled: the store's operations and, in the same
     * order, a pending_write_t for each.
     */
    json_t *operations;
    GArray *pending_writes;
    int64_t due_us;
    int64_t last_sent_us;
    uint32_t batches_in_flight;
};

static void
clear_pending(gpointer data)
{
    pending_write_t *pending = data;
    g_free(pending->key);
}

static void
start_batch(bv_claim_writes_t *writes)
{
    writes->operations = json_array();
    writes->pending_writes = g_array_new(FALSE, TRUE, sizeof(pending_write_t));
    g_array_set_clear_func(writes->pending_writes, clear_pending);
    writes->due_us = INT64_MAX;
}

void
bv_claim_writes_create(bv_node_t *node)
{
    node->claim_writes = g_new0(bv_claim_writes_t, 1);
    start_batch(node->claim_writes);
}

void
bv_claim_writes_destroy(bv_node_t *node)
{
    json_decref(node->claim_writes->operations);
    g_array_unref(node->claim_writes->pending_writes);
    g_free(node->claim_writes);
}

static void
handle_batch_done(bv_node_t *node, void *data)
{
    batch_t *batch = data;
    node->claim_writes->batches_in_flight--;
    for (guint i = 0; i < batch->pending_writes->len; i++) {
        const pending_write_t *pending =
            &g_array_index(batch->pending_writes, pending_write_t, i);
        if (pending->result.status == BV_CLAIM_NO_REPLY) {
            bv_counter_add(BV_COUNT_CLAIM_FAILURES, 1);
        }
        bv_claims_write_done(node->claims, node->now_us, pending->key,
                             pending->sequence, &pending->result);
    }
    g_array_unref(batch->pending_writes);
    g_free(batch);
}

static void
parse_result(const json_t *json, bv_claim_write_result_t *result)
{
    if (!json_is_object(json)) {
        result->status = BV_CLAIM_NO_REPLY;
        return;
    }
    const json_t *value = json_object_get(json, "value");
    result->revision = json_integer_value(json_object_get(json, "revision"));
    result->status = json_is_true(json_object_get(json, "ok"))
                         ? BV_CLAIM_WRITTEN
                         : BV_CLAIM_CONFLICT;
    result->row_exists = result->revision != 0;
    result->is_row_readable =
        bv_claim_row_parse(json_string_value(value), &result->row);
}

static void
on_batch_done(void *context, bv_store_answer_t *answer)
{
    batch_t *batch = context;
    const json_t *results = answer->result == BV_STORE_OK
                                ? json_object_get(answer->json, "results")
                                : NULL;
    for (guint i = 0; i < batch->pending_writes->len; i++) {
        parse_result(
            json_array_get(results, i),
            &g_array_index(batch->pending_writes, pending_write_t, i).result);
    }
    bv_node_post_blocking(batch->node, handle_batch_done, batch);
}

static json_t *
build_operation(const bv_claim_write_t *write)
{
    char *key = g_strconcat("claim/", write->key, NULL);
    char *text = bv_claim_row_text(&write->row);
    json_t *operation = NULL;
    switch (write->op) {
    case BV_CLAIM_INSERT:
        operation = bv_store_op_insert(key, json_string(text));
        break;
    case BV_CLAIM_REPLACE:
    case BV_CLAIM_RESULT:
        operation =
            bv_store_op_update(key, json_string(text), write->revision);
        break;
    case BV_CLAIM_DELETE:
        operation = bv_store_op_delete(key, write->revision);
        break;
    }
    g_free(text);
    g_free(key);
    return operation;
}

static void
send_batch(bv_node_t *node)
{
    bv_claim_writes_t *writes = node->claim_writes;
    guint count = writes->pending_writes->len;
    batch_t *batch = g_new0(batch_t, 1);
    batch->node = node;
    batch->pending_writes = writes->pending_writes;
    /*
     * The store takes ownership of the operations, also when it accepts none
     * of them, so a copy is passed: a batch that was not accepted is sent
     * again.
     */
    json_t *operations = json_deep_copy(writes->operations);
    if (!bv_store_write(node->store, operations, false, on_batch_done,
                        batch)) {
        g_free(batch);
        writes->due_us = node->now_us + RING_FULL_RETRY_US;
        return;
    }
    json_decref(writes->operations);
    writes->last_sent_us = node->now_us;
    writes->batches_in_flight++;
    bv_counter_add(BV_COUNT_CLAIM_BATCHES, 1);
    bv_counter_add(BV_COUNT_CLAIMS, count);
    start_batch(writes);
}

void
bv_claim_writes_tick(bv_node_t *node)
{
    const bv_claim_writes_t *writes = node->claim_writes;
    bool is_due = writes->due_us <= node->now_us ||
                  writes->pending_writes->len >= BATCH_WRITES_LIMIT;
    if (is_due && writes->pending_writes->len > 0 &&
        writes->batches_in_flight < BATCHES_IN_FLIGHT_LIMIT) {
        send_batch(node);
    }
}

void
bv_claim_writes_discard(bv_node_t *node)
{
    bv_claim_writes_t *writes = node->claim_writes;
    GArray *discarded = writes->pending_writes;
    const bv_claim_write_result_t no_reply = {.status = BV_CLAIM_NO_REPLY};
    json_decref(writes->operations);
    start_batch(writes);
    for (guint i = 0; i < discarded->len; i++) {
        const pending_write_t *pending =
            &g_array_index(discarded, pending_write_t, i);
        bv_claims_write_done(node->claims, node->now_us, pending->key,
                             pending->sequence, &no_reply);
    }
    g_array_unref(discarded);
}

void
bv_claim_writes_add(bv_node_t *node, const bv_claim_write_t *write)
{
    bv_claim_writes_t *writes = node->claim_writes;
    pending_write_t pending = {.key = g_strdup(write->key),
                               .sequence = write->sequence};
    g_array_append_val(writes->pending_writes, pending);
    json_array_append_new(writes->operations, build_operation(write));
    int64_t window_us = node->settings->claim_window_ms * BV_US_PER_MS;
    int64_t due_us = writes->last_sent_us + window_us;
    if (write->op == BV_CLAIM_RESULT && !node->draining) {
        due_us = node->now_us + RESULT_DELAY_US;
    }
    writes->due_us = MIN(writes->due_us, due_us);
    bv_claim_writes_tick(node);
}
