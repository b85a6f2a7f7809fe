#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"
#include "berylvane/platform/head.h"

#include <string.h>

#define FETCH_TIMEOUT_US BV_US_PER_S
/* Stands for a member in what was heard; no member has this name. */
#define OPERATOR "(operator)"
#define GATHER_US (2 * BV_US_PER_S)

typedef struct {
    bv_node_t *node;
    bv_config_version_t version;
    GBytes *body;
} arrival_t;

static void
free_arrival(arrival_t *arrival)
{
    g_clear_pointer(&arrival->body, g_bytes_unref);
    g_free(arrival);
}

static void
report_rejected(const char *problems, uint64_t generation)
{
    bv_counter_add(BV_COUNT_CONFIG_REJECTED, 1);
    bv_log(BV_LOG_ERROR, "config_rejected", "generation",
           BV_NUM((gint64)generation), "findings", problems, NULL);
}

static void
reject(bv_node_t *node, const char *problems, uint64_t generation)
{
    bv_decision_t decision = {
        .kind = BV_DECISION_REJECTED,
        .number = (int64_t)generation,
    };
    bv_node_record_decision(node, &decision);
    report_rejected(problems, generation);
}

static void
put_in_force(bv_node_t *node, bv_config_t *config,
             const bv_config_version_t *version, GBytes *body)
{
    bv_config_unref(node->config);
    node->config = config;
    g_clear_pointer(&node->bundle, g_bytes_unref);
    node->bundle = g_bytes_ref(body);
    bv_membership_set_self_config(node->membership, version->generation,
                                  version->digest);
    bv_members_configure_admission(node);
    bv_node_apply_caller_limits(node);
    bv_members_update_retry_reserve(node);
    bv_retry_budgets_set_window(node->retry_budgets, config->retry_window_us);
    bv_counter_add(BV_COUNT_CONFIG_ADOPTED, 1);
    bv_decision_t decision = {
        .kind = BV_DECISION_ADOPTED,
        .number = (int64_t)config->generation,
    };
    bv_node_record_decision(node, &decision);
    bv_log(BV_LOG_INFO, "config_adopted", "generation",
           BV_NUM((gint64)config->generation), NULL);
}

static bool
build_and_adopt(bv_node_t *node, const json_t *bundle,
                const bv_config_version_t *version, GBytes *body)
{
    bv_findings_t *findings = bv_findings_create();
    bv_config_t *config =
        bv_config_build(bundle, node->settings->data_centre,
                        version->generation, "bundle", findings);
    if (config != NULL) {
        put_in_force(node, config, version, body);
    }
    else {
        char *problems = bv_findings_text(findings);
        reject(node, problems, version->generation);
        g_free(problems);
    }
    bv_findings_destroy(findings);
    return config != NULL;
}

static bool
adopt(void *context, const bv_config_version_t *version, GBytes *body)
{
    gsize size;
    const char *text = g_bytes_get_data(body, &size);
    json_t *bundle = json_loadb(text, size, 0, NULL);
    json_int_t stated =
        json_integer_value(json_object_get(bundle, "generation"));
    bool good = false;
    if (bundle != NULL && (uint64_t)stated == version->generation) {
        good = build_and_adopt(context, bundle, version, body);
    }
    else {
        reject(context, "bundle is not of this generation",
               version->generation);
    }
    json_decref(bundle);
    return good;
}

static bool
ask_member(void *context, const char *member, uint64_t generation)
{
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_CONFIG_ASK);
    message->generation = generation;
    return bv_peers_send(context, member, message);
}

static void
take_body(bv_node_t *node, void *data)
{
    arrival_t *arrival = data;
    if (!bv_config_fetcher_handle_body(node->config_fetcher, node->now_us,
                                       arrival->version.generation,
                                       arrival->body)) {
        reject(node, "object does not match its digest",
               arrival->version.generation);
    }
    free_arrival(arrival);
}

static void
on_object(void *context, bv_store_answer_t *answer)
{
    arrival_t *arrival = context;
    if (answer->result != BV_STORE_OK) {
        free_arrival(arrival);
        return;
    }
    arrival->body = g_bytes_ref(answer->body);
    bv_node_post_blocking(arrival->node, take_body, arrival);
}

static void
read_object(void *context, const bv_config_version_t *version)
{
    bv_node_t *node = context;
    bv_head_t head = {0};
    arrival_t *arrival = g_new0(arrival_t, 1);
    arrival->node = node;
    arrival->version = *version;
    bv_head_name(&head, version->generation, version->digest);
    if (!bv_store_get_object(node->store, head.object, on_object, arrival)) {
        free_arrival(arrival);
    }
}

static void
take_head(bv_node_t *node, void *data)
{
    arrival_t *arrival = data;
    bv_config_fetcher_handle_head(node->config_fetcher, node->now_us,
                                  &arrival->version);
    free_arrival(arrival);
}

static void
on_head(void *context, bv_store_answer_t *answer)
{
    const json_t *rows = json_object_get(answer->json, "rows");
    if (answer->result != BV_STORE_OK || !json_is_array(rows)) {
        return;
    }
    bv_head_t head = {0};
    bv_config_version_t version = {0};
    if (json_array_size(rows) > 0 &&
        (!bv_head_parse(json_array_get(rows, 0), &head) ||
         !bv_head_digest(&head, &version.digest))) {
        report_rejected("head row is not understood", 0);
        return;
    }
    version.generation = head.generation;
    arrival_t *arrival = g_new0(arrival_t, 1);
    arrival->node = context;
    arrival->version = version;
    bv_node_post_blocking(context, take_head, arrival);
}

static void
read_head(void *context)
{
    bv_node_t *node = context;
    if (node->dialect->config_source == NULL) {
        bv_store_read(node->store, BV_HEAD_KEY, on_head, node);
    }
}

static void
conflict(void *context, const bv_config_version_t *version)
{
    (void)context;
    bv_counter_add(BV_COUNT_CONFIG_CONFLICTS, 1);
    bv_log(BV_LOG_ERROR, "config_digest_conflict", "generation",
           BV_NUM((gint64)version->generation), NULL);
}

static const bv_config_fetcher_ops_t spread_ops = {
    .request_from_member = ask_member,
    .read_head = read_head,
    .read_object = read_object,
    .adopt = adopt,
    .report_conflict = conflict,
};

void
bv_configs_create(bv_node_t *node)
{
    bv_config_fetcher_options_t options = {
        .poll_interval_us = node->settings->config_poll_ms * BV_US_PER_MS,
        .fetch_timeout_us = FETCH_TIMEOUT_US,
        .gather_timeout_us = GATHER_US,
        .random = node->random,
        .ops = &spread_ops,
        .context = node,
    };
    node->config_fetcher = bv_config_fetcher_create(&options);
}

void
bv_configs_tick(bv_node_t *node)
{
    bv_config_fetcher_tick(node->config_fetcher, node->now_us);
    if (node->dialect->config_source != NULL) {
        bv_config_watch_tick(node);
    }
}

void
bv_configs_handle_version(bv_node_t *node, const bv_config_version_t *version,
                          const char *member)
{
    bv_config_fetcher_handle_version(node->config_fetcher, node->now_us,
                                     version, member);
}

static bool
tell(bv_node_t *node, uint64_t generation, GBytes *body, bool newest)
{
    bv_config_version_t version = {generation, bv_config_body_digest(body)};
    bv_configs_handle_version(node, &version, OPERATOR);
    if (newest) {
        bv_config_fetcher_handle_head(node->config_fetcher, node->now_us,
                                      &version);
    }
    uint64_t before =
        bv_config_fetcher_in_force(node->config_fetcher)->generation;
    bool taken = bv_config_fetcher_handle_body(node->config_fetcher,
                                               node->now_us, generation, body);
    if (bv_config_fetcher_in_force(node->config_fetcher)->generation >
        before) {
        bv_membership_push_self(node->membership);
    }
    return taken;
}

bool
bv_configs_submit(bv_node_t *node, GBytes *body)
{
    gsize size;
    const char *text = g_bytes_get_data(body, &size);
    json_t *bundle = json_loadb(text, size, 0, NULL);
    json_int_t generation =
        json_integer_value(json_object_get(bundle, "generation"));
    json_decref(bundle);
    return generation > 0 && tell(node, (uint64_t)generation, body, false);
}

void
bv_configs_handle_row(bv_node_t *node, const json_t *value)
{
    const bv_dialect_t *dialect = node->dialect;
    bv_findings_t *findings = bv_findings_create();
    json_t *bundle =
        dialect->config_source->translate(dialect->context, value, findings);
    if (bundle == NULL) {
        char *problems = bv_findings_text(findings);
        reject(node, problems, 0);
        g_free(problems);
    }
    else {
        json_int_t generation =
            json_integer_value(json_object_get(bundle, "generation"));
        char *text = json_dumps(bundle, JSON_COMPACT | JSON_SORT_KEYS);
        GBytes *body =
            g_bytes_new_with_free_func(text, strlen(text), free, text);
        tell(node, (uint64_t)generation, body, true);
        g_bytes_unref(body);
        json_decref(bundle);
    }
    bv_findings_destroy(findings);
}

void
bv_configs_handle_request(bv_node_t *node, const bv_peer_message_t *message)
{
    const bv_config_version_t *version =
        bv_config_fetcher_in_force(node->config_fetcher);
    if (node->bundle == NULL || version->generation < message->generation) {
        return;
    }
    bv_peer_message_t *answer = bv_peer_message_create(BV_PEER_CONFIG_BODY);
    answer->generation = version->generation;
    answer->body = g_bytes_ref(node->bundle);
    answer->digest = version->digest;
    bv_peers_answer(node, message, answer);
}

void
bv_configs_handle_bundle(bv_node_t *node, const bv_peer_message_t *message)
{
    if (message->body == NULL) {
        return;
    }
    bv_config_version_t version = {message->generation, message->digest};
    bv_configs_handle_version(node, &version, message->from);
    if (!bv_config_fetcher_handle_body(node->config_fetcher, node->now_us,
                                       message->generation, message->body)) {
        reject(node, "peer's bundle does not match its digest",
               message->generation);
    }
}
