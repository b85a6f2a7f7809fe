#include "berylvane/core/config_watch.h"

#include "berylvane/node/node.h"

#include <string.h>

typedef struct {
    bv_config_answer_t answer;
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

static void
handle_answer(bv_node_t *node, void *data)
{
    watch_answer_t *answer = data;
    int64_t version =
        json_integer_value(json_object_get(answer->json, "version"));
    bv_config_watch_handle_answer(&node->config_watch, node->now_us,
                                  node->random, answer->answer, version);
    if (answer->answer == BV_CONFIG_ANSWER_OK) {
        handle_rows(node, json_object_get(answer->json, "rows"));
    }
    json_decref(answer->json);
    g_free(answer);
}

static bv_config_answer_t
classify(const bv_store_answer_t *answer)
{
    if (answer->result == BV_STORE_ABSENT) {
        return BV_CONFIG_ANSWER_HISTORY_GONE;
    }
    return answer->result == BV_STORE_OK && answer->json != NULL
               ? BV_CONFIG_ANSWER_OK
               : BV_CONFIG_ANSWER_FAILED;
}

static void
on_answer(void *context, bv_store_answer_t *store_answer)
{
    watch_answer_t *answer = g_new0(watch_answer_t, 1);
    answer->answer = classify(store_answer);
    answer->json = bv_store_take_json(store_answer);
    bv_node_post_blocking(context, handle_answer, answer);
}

static bool
send_query(bv_node_t *node, const bv_config_query_t *query)
{
    const char *key = node->dialect->config_source->key;
    if (query->kind == BV_CONFIG_QUERY_READ) {
        return bv_store_read(node->store, key, on_answer, node);
    }
    char *table = g_strndup(key, strcspn(key, "/"));
    bool is_sent = bv_store_watch(node->store, table, query->version,
                                  query->wait_us, on_answer, node);
    g_free(table);
    return is_sent;
}

void
bv_config_watch_tick(bv_node_t *node)
{
    bv_config_query_t query;
    if (bv_config_watch_next(&node->config_watch, node->now_us, node->random,
                             &query) &&
        !send_query(node, &query)) {
        bv_config_watch_handle_answer(&node->config_watch, node->now_us,
                                      node->random, BV_CONFIG_ANSWER_FAILED,
                                      0);
    }
}
