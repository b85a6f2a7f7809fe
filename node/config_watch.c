#include "berylvane/core/config_watch.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/gauges.h"
#include "berylvane/common/log.h"
#include "berylvane/node/configs.h"
#include "berylvane/node/node.h"

#include <string.h>

/* Time limit of a read beside the watch. */
#define ROW_TIMEOUT_US (2 * BV_US_PER_S)

/* A query, and its answer when that has come. */
typedef struct {
    bv_node_t *node;
    uint64_t number;
    bv_config_answer_t answer;
    int64_t era;
    json_t *json;
} watch_answer_t;

static const char *const answer_names[] = {
    [BV_CONFIG_ANSWER_OK] = "ok",
    [BV_CONFIG_ANSWER_HISTORY_GONE] = "history_gone",
    [BV_CONFIG_ANSWER_FAILED] = "failed",
};

/*
 * Whether the row is the one whose configuration is in force. The row is read
 * again after each query that failed, and to translate a large one takes long.
 */
static bool
is_row_in_force(const bv_node_t *node, const bv_table_position_t *position)
{
    const bv_table_position_t *known = &node->config_row;
    return position->era != 0 && position->era == known->era &&
           position->version == known->version;
}

static void
handle_config_row(bv_node_t *node, const json_t *row, int64_t era)
{
    const json_t *value = json_object_get(row, "value");
    bv_table_position_t position = {
        .era = era,
        .version = json_integer_value(json_object_get(row, "revision")),
    };
    if (value == NULL || is_row_in_force(node, &position)) {
        return;
    }
    if (bv_configs_handle_row(node, value)) {
        node->config_row = position;
    }
}

void
bv_config_watch_handle_rows(bv_node_t *node, const json_t *rows, int64_t era)
{
    const char *config_key = node->dialect->config_source->key;
    size_t index;
    json_t *row;
    json_array_foreach((json_t *)rows, index, row) {
        const char *key = json_string_value(json_object_get(row, "key"));
        if (g_strcmp0(key, config_key) == 0) {
            handle_config_row(node, row, era);
        }
    }
}

/* Handles rows that the store answered with, which shows that it is heard. */
static void
handle_source_answer(bv_node_t *node, const json_t *answer, int64_t era)
{
    bv_gauge_set(BV_GAUGE_CONFIG_SOURCE_AGE, node->now_us);
    bv_config_watch_handle_rows(node, json_object_get(answer, "rows"), era);
}

/* Logs a query that failed, and the first answer after such queries. */
static void
report_end(const bv_node_t *node, const watch_answer_t *answer)
{
    const bv_config_watch_t *watch = &node->config_watch;
    bool is_ok = answer->answer == BV_CONFIG_ANSWER_OK;
    if (is_ok && watch->failures == 0) {
        return;
    }
    if (!is_ok) {
        bv_counter_add(BV_COUNT_CONFIG_QUERIES_FAILED, 1);
    }
    bv_log(is_ok ? BV_LOG_INFO : BV_LOG_WARN,
           is_ok ? "config_source_regained" : "config_query_failed", "reason",
           answer_names[answer->answer], "version",
           BV_NUM(watch->known.version), "era", BV_NUM(answer->era), "took_us",
           BV_NUM(node->now_us - watch->sent_us), "watch_age_us",
           BV_NUM(bv_config_watch_age_us(watch, node->now_us)), "failures",
           BV_NUM(watch->failures), NULL);
}

static void
handle_answer(bv_node_t *node, void *data)
{
    watch_answer_t *answer = data;
    bv_table_position_t position = {
        .era = answer->era,
        .version =
            json_integer_value(json_object_get(answer->json, "version")),
    };
    if (answer->number == node->config_watch.query_number) {
        /* The line states the failures and the age before this answer. */
        report_end(node, answer);
        bv_config_watch_handle_answer(&node->config_watch, node->now_us,
                                      node->random, answer->answer, &position);
    }
    if (answer->answer == BV_CONFIG_ANSWER_OK) {
        handle_source_answer(node, answer->json, answer->era);
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
    watch_answer_t *answer = context;
    answer->answer = classify(store_answer);
    answer->era = store_answer->era;
    answer->json = bv_store_take_json(store_answer);
    bv_node_post_blocking(answer->node, handle_answer, answer);
}

static bool
send_query(bv_node_t *node, const bv_config_query_t *query)
{
    const char *key = node->dialect->config_source->key;
    bv_store_request_options_t options = {
        .timeout_us = query->timeout_us,
        .uses_fresh_connection = query->uses_fresh_connection,
    };
    watch_answer_t *answer = g_new0(watch_answer_t, 1);
    answer->node = node;
    answer->number = node->config_watch.query_number;
    bool is_sent;
    if (query->kind == BV_CONFIG_QUERY_READ) {
        is_sent = bv_store_read(node->store, key, &options, on_answer, answer);
    }
    else {
        bv_store_watch_t watch = {
            .table = g_strndup(key, strcspn(key, "/")),
            .version = query->version,
            .wait_us = query->wait_us,
        };
        is_sent =
            bv_store_watch(node->store, &watch, &options, on_answer, answer);
        g_free(watch.table);
    }
    if (!is_sent) {
        g_free(answer);
    }
    return is_sent;
}

static void
handle_row(bv_node_t *node, void *data)
{
    json_t *answer = data;
    /* The era of a read beside the watch is not passed on. */
    handle_source_answer(node, answer, 0);
    json_decref(answer);
}

static void
on_row(void *context, bv_store_answer_t *answer)
{
    if (classify(answer) == BV_CONFIG_ANSWER_OK) {
        bv_node_post_blocking(context, handle_row, bv_store_take_json(answer));
    }
}

bool
bv_config_watch_read_row(bv_node_t *node)
{
    const bv_store_request_options_t options = {
        .timeout_us = ROW_TIMEOUT_US,
        .uses_fresh_connection = true,
    };
    return bv_store_read(node->store, node->dialect->config_source->key,
                         &options, on_row, node);
}

static uint32_t
count_nodes(const bv_node_t *node)
{
    /* bv_membership_count_present() does not count this node. */
    return bv_membership_count_present(node->membership) + 1;
}

int64_t
bv_config_watch_interval_us(const bv_node_t *node)
{
    return bv_config_watch_longest_wait_us(&node->config_watch,
                                           count_nodes(node));
}

/*
 * Returns the longest wait of a watch; 0 if there is no limit. A node that
 * refuses calls when the store was silent for `revoke_ms` has to hear from a
 * store that works well before.
 */
static int64_t
wait_limit_us(const bv_settings_t *settings)
{
    int64_t apply_us = settings->config_apply_ms * BV_US_PER_MS;
    int64_t revoke_us = settings->revoke_ms * BV_US_PER_MS / 2;
    if (!settings->revoke_fails_closed || revoke_us == 0) {
        return apply_us;
    }
    return apply_us > 0 ? MIN(apply_us, revoke_us) : revoke_us;
}

void
bv_config_watch_tick(bv_node_t *node)
{
    bv_config_query_t query;
    if (!bv_config_watch_is_due(&node->config_watch, node->now_us)) {
        return;
    }
    node->config_watch.wait_limit_us = wait_limit_us(node->settings);
    bv_config_watch_start_query(&node->config_watch, node->now_us,
                                count_nodes(node), node->random, &query);
    if (!send_query(node, &query)) {
        bv_config_watch_handle_answer(&node->config_watch, node->now_us,
                                      node->random, BV_CONFIG_ANSWER_FAILED,
                                      &(bv_table_position_t){0});
    }
}
