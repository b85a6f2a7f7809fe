#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"

#include <string.h>

/*
 * How long one watch waits. A connection that fell silent is noticed after it;
 * since nodes wait for unequal times, some notice soon and tell the others.
 */
#define WATCH_LEAST_US (4 * BV_US_PER_S)
#define WATCH_MOST_US (20 * BV_US_PER_S)
#define PAUSE_LEAST_US (BV_US_PER_S / 5)
#define PAUSE_MOST_US (2 * BV_US_PER_S)

typedef struct {
    bv_node_t *node;
    bv_store_result_t result;
    json_t *json;
} answer_t;

static void
take_rows(bv_node_t *node, const json_t *rows)
{
    const char *wanted = node->dialect->config_source->key;
    size_t index;
    json_t *row;
    json_array_foreach((json_t *)rows, index, row) {
        const char *key = json_string_value(json_object_get(row, "key"));
        const json_t *value = json_object_get(row, "value");
        if (g_strcmp0(key, wanted) == 0 && value != NULL) {
            bv_configs_handle_row(node, value);
        }
    }
}

static void
pause_watch(bv_node_t *node)
{
    bv_config_watch_t *watch = &node->config_watch;
    watch->pause_us =
        CLAMP(watch->pause_us * 2, PAUSE_LEAST_US, PAUSE_MOST_US);
    watch->due_us =
        node->now_us + (int64_t)((double)watch->pause_us *
                                 g_rand_double_range(node->random, 0.5, 1));
}

static void
take_answer(bv_node_t *node, void *data)
{
    answer_t *answer = data;
    bv_config_watch_t *watch = &node->config_watch;
    watch->is_requesting = false;
    if (answer->result == BV_STORE_OK && answer->json != NULL) {
        watch->known_version =
            json_integer_value(json_object_get(answer->json, "version"));
        watch->pause_us = 0;
        watch->due_us = node->now_us;
        take_rows(node, json_object_get(answer->json, "rows"));
    }
    else {
        if (answer->result == BV_STORE_ABSENT) {
            watch->known_version = 0;
        }
        pause_watch(node);
    }
    json_decref(answer->json);
    g_free(answer);
}

static void
on_answer(void *context, bv_store_answer_t *store_answer)
{
    answer_t *answer = g_new0(answer_t, 1);
    answer->result = store_answer->result;
    answer->json = bv_store_take_json(store_answer);
    bv_node_post_blocking(context, take_answer, answer);
}

static bool
ask(bv_node_t *node)
{
    const char *key = node->dialect->config_source->key;
    if (node->config_watch.known_version == 0) {
        return bv_store_read(node->store, key, on_answer, node);
    }
    char *table = g_strndup(key, strcspn(key, "/"));
    int64_t wait_us = (int64_t)g_rand_double_range(
        node->random, WATCH_LEAST_US, WATCH_MOST_US);
    bool sent =
        bv_store_watch(node->store, table, node->config_watch.known_version,
                       wait_us, on_answer, node);
    g_free(table);
    return sent;
}

void
bv_config_watch_tick(bv_node_t *node)
{
    bv_config_watch_t *watch = &node->config_watch;
    if (watch->is_requesting || node->now_us < watch->due_us) {
        return;
    }
    watch->is_requesting = ask(node);
    if (!watch->is_requesting) {
        pause_watch(node);
    }
}
