#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"

#include <string.h>

/*
 * Bounds of the time for which the table service holds one watch request. A
 * connection that fails silently is detected only after this time. Each node
 * draws its time at random, so that some nodes detect the failure early and
 * pass a new configuration on to the others.
 */
#define WATCH_WAIT_MIN_US (4 * BV_US_PER_S)
#define WATCH_WAIT_MAX_US (20 * BV_US_PER_S)
#define RETRY_PAUSE_MIN_US (BV_US_PER_S / 5)
#define RETRY_PAUSE_MAX_US (2 * BV_US_PER_S)

typedef struct {
    bv_node_t *node;
    bv_store_result_t result;
    json_t *json;
} watch_answer_t;

static void
handle_rows(bv_node_t *node, const json_t *rows)
{
    const char *config_key = node->dialect->config_source->key;
    size_t index;
    json_t *row;
    json_array_foreach((json_t *)rows, index, row) {
        const char *key = json_string_value(json_object_get(row, "key"));
        const json_t *value = json_object_get(row, "value");
        if (g_strcmp0(key, config_key) == 0 && value != NULL) {
            bv_configs_handle_row(node, value);
        }
    }
}

/* Schedules the next request after a jittered, exponentially growing pause. */
static void
schedule_retry(bv_node_t *node)
{
    bv_config_watch_t *watch = &node->config_watch;
    watch->pause_us =
        CLAMP(watch->pause_us * 2, RETRY_PAUSE_MIN_US, RETRY_PAUSE_MAX_US);
    watch->due_us =
        node->now_us + (int64_t)((double)watch->pause_us *
                                 g_rand_double_range(node->random, 0.5, 1));
}

static void
handle_answer(bv_node_t *node, void *data)
{
    watch_answer_t *answer = data;
    bv_config_watch_t *watch = &node->config_watch;
    watch->is_requesting = false;
    if (answer->result == BV_STORE_OK && answer->json != NULL) {
        watch->known_version =
            json_integer_value(json_object_get(answer->json, "version"));
        watch->pause_us = 0;
        watch->due_us = node->now_us;
        handle_rows(node, json_object_get(answer->json, "rows"));
    }
    else {
        if (answer->result == BV_STORE_ABSENT) {
            /*
             * The table no longer holds all changes since this version, so the
             * row itself is read next.
             */
            watch->known_version = 0;
        }
        schedule_retry(node);
    }
    json_decref(answer->json);
    g_free(answer);
}

static void
on_answer(void *context, bv_store_answer_t *store_answer)
{
    watch_answer_t *answer = g_new0(watch_answer_t, 1);
    answer->result = store_answer->result;
    answer->json = bv_store_take_json(store_answer);
    bv_node_post_blocking(context, handle_answer, answer);
}

static bool
send_request(bv_node_t *node)
{
    const char *key = node->dialect->config_source->key;
    if (node->config_watch.known_version == 0) {
        return bv_store_read(node->store, key, on_answer, node);
    }
    char *table = g_strndup(key, strcspn(key, "/"));
    int64_t wait_us = (int64_t)g_rand_double_range(
        node->random, WATCH_WAIT_MIN_US, WATCH_WAIT_MAX_US);
    bool is_sent =
        bv_store_watch(node->store, table, node->config_watch.known_version,
                       wait_us, on_answer, node);
    g_free(table);
    return is_sent;
}

void
bv_config_watch_tick(bv_node_t *node)
{
    bv_config_watch_t *watch = &node->config_watch;
    if (watch->is_requesting || node->now_us < watch->due_us) {
        return;
    }
    watch->is_requesting = send_request(node);
    if (!watch->is_requesting) {
        schedule_retry(node);
    }
}
