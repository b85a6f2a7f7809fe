#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/node/keyed.h"

#define BATCH_LIMIT BV_STORE_OPERATIONS
#define BATCHES_IN_FLIGHT 4
#define RESULT_DELAY_US BV_US_PER_S
#define RING_FULL_PAUSE_US (50 * BV_US_PER_MS)

typedef struct {
    char *key;
    uint64_t sequence;
    bv_claim_write_result_t written;
} pending_t;

/* Writes that share one transaction. */
typedef struct {
    bv_node_t *node;
    GArray *writes;
} batch_t;

struct bv_claim_writes {
    json_t *operations;
    GArray *writes;
    int64_t due_us;
    int64_t sent_us;
    uint32_t in_flight;
};

static void
clear_pending(gpointer data)
{
    pending_t *pending = data;
    g_free(pending->key);
}

static void
start_batch(bv_claim_writes_t *writes)
{
    writes->operations = json_array();
    writes->writes = g_array_new(FALSE, TRUE, sizeof(pending_t));
    g_array_set_clear_func(writes->writes, clear_pending);
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
    g_array_unref(node->claim_writes->writes);
    g_free(node->claim_writes);
}

static void
take_batch(bv_node_t *node, void *data)
{
    batch_t *batch = data;
    node->claim_writes->in_flight--;
    for (guint i = 0; i < batch->writes->len; i++) {
        const pending_t *pending = &g_array_index(batch->writes, pending_t, i);
        if (pending->written.status == BV_CLAIM_NO_REPLY) {
            bv_counter_add(BV_COUNT_CLAIM_FAILURES, 1);
        }
        bv_claims_write_done(node->claims, node->now_us, pending->key,
                             pending->sequence, &pending->written);
    }
    g_array_unref(batch->writes);
    g_free(batch);
}

static void
read_result(const json_t *result, bv_claim_write_result_t *written)
{
    if (!json_is_object(result)) {
        written->status = BV_CLAIM_NO_REPLY;
        return;
    }
    const json_t *value = json_object_get(result, "value");
    written->revision =
        json_integer_value(json_object_get(result, "revision"));
    written->status = json_is_true(json_object_get(result, "ok"))
                          ? BV_CLAIM_WRITTEN
                          : BV_CLAIM_CONFLICT;
    written->row_exists = written->revision != 0;
    written->is_row_readable =
        bv_claim_row_parse(json_string_value(value), &written->row);
}

static void
on_answer(void *context, bv_store_answer_t *answer)
{
    batch_t *batch = context;
    const json_t *results = answer->result == BV_STORE_OK
                                ? json_object_get(answer->json, "results")
                                : NULL;
    for (guint i = 0; i < batch->writes->len; i++) {
        read_result(json_array_get(results, i),
                    &g_array_index(batch->writes, pending_t, i).written);
    }
    bv_node_post_blocking(batch->node, take_batch, batch);
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
    guint count = writes->writes->len;
    batch_t *batch = g_new0(batch_t, 1);
    batch->node = node;
    batch->writes = writes->writes;
    /* A copy: the store's thread frees what it was given. */
    json_t *operations = json_deep_copy(writes->operations);
    if (!bv_store_write(node->store, operations, false, on_answer, batch)) {
        g_free(batch);
        writes->due_us = node->now_us + RING_FULL_PAUSE_US;
        return;
    }
    json_decref(writes->operations);
    writes->sent_us = node->now_us;
    writes->in_flight++;
    bv_counter_add(BV_COUNT_CLAIM_BATCHES, 1);
    bv_counter_add(BV_COUNT_CLAIMS, count);
    start_batch(writes);
}

void
bv_claim_writes_tick(bv_node_t *node)
{
    const bv_claim_writes_t *writes = node->claim_writes;
    bool due =
        writes->due_us <= node->now_us || writes->writes->len >= BATCH_LIMIT;
    if (due && writes->writes->len > 0 &&
        writes->in_flight < BATCHES_IN_FLIGHT) {
        send_batch(node);
    }
}

void
bv_claim_writes_add(bv_node_t *node, const bv_claim_write_t *write)
{
    bv_claim_writes_t *writes = node->claim_writes;
    pending_t pending = {.key = g_strdup(write->key),
                         .sequence = write->sequence};
    g_array_append_val(writes->writes, pending);
    json_array_append_new(writes->operations, build_operation(write));
    int64_t window_us = node->settings->claim_window_ms * BV_US_PER_MS;
    int64_t due_us = writes->sent_us + window_us;
    if (write->op == BV_CLAIM_RESULT && !node->draining) {
        due_us = node->now_us + RESULT_DELAY_US;
    }
    writes->due_us = MIN(writes->due_us, due_us);
    bv_claim_writes_tick(node);
}
