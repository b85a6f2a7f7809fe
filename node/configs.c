#include "berylvane/node/configs.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/gauges.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"
#include "berylvane/node/quotas.h"
#include "berylvane/platform/head.h"

#include <string.h>

#define FETCH_TIMEOUT_US (BV_US_PER_S / 2)
/* Sources of versions that no member reported; no member has these names. */
static const char OPERATOR_SOURCE[] = "(operator)";
static const char ROW_SOURCE[] = "(row)";
static const char HEAD_SOURCE[] = "(head)";
#define GATHER_TIMEOUT_US (2 * BV_US_PER_S)

/* A version read from the head row, or a bundle from the object store. */
typedef struct {
    bv_node_t *node;
    bv_config_version_t version;
    /* NULL for a head row. */
    GBytes *body;
} fetched_config_t;

static void
free_fetched(fetched_config_t *fetched)
{
    g_clear_pointer(&fetched->body, g_bytes_unref);
    g_free(fetched);
}

static uint64_t
in_force_generation(const bv_node_t *node)
{
    return bv_config_fetcher_in_force(node->config_fetcher)->generation;
}

static void
report_rejection(const char *problems, uint64_t generation)
{
    bv_counter_add(BV_COUNT_CONFIG_REJECTED, 1);
    bv_log(BV_LOG_ERROR, "config_rejected", "generation",
           BV_NUM((gint64)generation), "findings", problems, NULL);
}

static void
reject_bundle(bv_node_t *node, const char *problems, uint64_t generation)
{
    bv_decision_t decision = {
        .kind = BV_DECISION_REJECTED,
        .number = (int64_t)generation,
    };
    bv_node_record_decision(node, &decision);
    report_rejection(problems, generation);
}

static void
apply_config(bv_node_t *node, bv_config_t *config,
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
    bv_quotas_apply_config(node);
    bv_retry_budgets_set_window(node->retry_budgets, config->retry_window_us);
    bv_counter_add(BV_COUNT_CONFIG_ADOPTED, 1);
    bv_gauge_set(BV_GAUGE_CONFIG_GENERATION, (int64_t)config->generation);
    bv_gauge_set(BV_GAUGE_CONFIG_IN_FORCE_AGE, node->now_us);
    bv_decision_t decision = {
        .kind = BV_DECISION_ADOPTED,
        .number = (int64_t)config->generation,
    };
    bv_node_record_decision(node, &decision);
    bv_log(BV_LOG_INFO, "config_adopted", "generation",
           BV_NUM((gint64)config->generation), "heard_age_us",
           BV_NUM(node->now_us - node->config_heard_us), "watch_age_us",
           BV_NUM(bv_config_watch_age_us(&node->config_watch, node->now_us)),
           NULL);
}

/* The log line of all entries of one configuration that were left out. */
static void
report_left_out_entries(const bv_findings_t *findings, uint64_t generation)
{
    if (bv_findings_is_empty(findings)) {
        return;
    }
    char *problems = bv_findings_to_string(findings);
    bv_counter_add(BV_COUNT_CONFIG_INCOMPLETE, 1);
    bv_log(BV_LOG_ERROR, "config_entries_left_out", "generation",
           BV_NUM((gint64)generation), "findings", problems, NULL);
    g_free(problems);
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
        report_left_out_entries(findings, version->generation);
        apply_config(node, config, version, body);
    }
    else {
        char *problems = bv_findings_to_string(findings);
        reject_bundle(node, problems, version->generation);
        g_free(problems);
    }
    bv_findings_destroy(findings);
    return config != NULL;
}

static bool
parse_and_adopt(void *context, const bv_config_version_t *version,
                GBytes *body)
{
    gsize size;
    const char *text = g_bytes_get_data(body, &size);
    json_t *bundle = json_loadb(text, size, 0, NULL);
    json_int_t stated_generation =
        json_integer_value(json_object_get(bundle, "generation"));
    bool is_adopted = false;
    if (bundle != NULL && (uint64_t)stated_generation == version->generation) {
        is_adopted = build_and_adopt(context, bundle, version, body);
    }
    else {
        reject_bundle(context,
                      "bundle states another generation than its version",
                      version->generation);
    }
    json_decref(bundle);
    return is_adopted;
}

/* Logs where a bundle was requested, which explains a late adoption. */
static void
report_request(const char *source, uint64_t generation, bool is_sent)
{
    bv_counter_add(BV_COUNT_CONFIG_REQUESTS, 1);
    bv_log(BV_LOG_INFO, "config_requested", "generation",
           BV_NUM((gint64)generation), "source", source, "sent",
           is_sent ? "yes" : "no", NULL);
}

static bool
request_from_member(void *context, const char *member, uint64_t generation)
{
    bv_peer_message_t *message =
        bv_peer_message_create(BV_PEER_CONFIG_REQUEST);
    message->generation = generation;
    bool is_sent = bv_peers_send(context, member, message);
    report_request(member, generation, is_sent);
    return is_sent;
}

static void
handle_object(bv_node_t *node, void *data)
{
    fetched_config_t *fetched = data;
    if (!bv_config_fetcher_handle_bundle(node->config_fetcher, node->now_us,
                                         fetched->version.generation,
                                         fetched->body)) {
        reject_bundle(node, "object does not match the digest of its version",
                      fetched->version.generation);
    }
    free_fetched(fetched);
}

static void
on_object(void *context, bv_store_answer_t *answer)
{
    fetched_config_t *fetched = context;
    if (answer->result != BV_STORE_OK) {
        free_fetched(fetched);
        return;
    }
    fetched->body = g_bytes_ref(answer->body);
    bv_node_post_blocking(fetched->node, handle_object, fetched);
}

/*
 * Reads a bundle of berylvane's own form from the object store. Where a row
 * holds the configuration in another form, that row is read.
 */
static void
read_from_store(void *context, const bv_config_version_t *version)
{
    bv_node_t *node = context;
    if (node->dialect->config_source != NULL) {
        report_request(ROW_SOURCE, version->generation,
                       bv_config_watch_read_row(node));
        return;
    }
    bv_head_t head = {0};
    fetched_config_t *fetched = g_new0(fetched_config_t, 1);
    fetched->node = node;
    fetched->version = *version;
    bv_head_set_bundle(&head, version->generation, version->digest);
    bool is_sent =
        bv_store_get_object(node->store, head.object, on_object, fetched);
    report_request("(object store)", version->generation, is_sent);
    if (!is_sent) {
        free_fetched(fetched);
    }
}

int64_t
bv_configs_query_interval_us(const bv_node_t *node)
{
    return node->dialect->config_source != NULL
               ? bv_config_watch_interval_us(node)
               : node->settings->config_poll_ms * BV_US_PER_MS;
}

/* Logs a version that is newer than all that are known, once. */
static void
note_version(bv_node_t *node, const bv_config_version_t *version,
             const char *source)
{
    uint64_t wanted =
        bv_config_fetcher_wanted(node->config_fetcher)->generation;
    /* One that was rejected is not wanted, and members report it again. */
    if (version->generation <= wanted ||
        version->generation == node->config_heard_generation) {
        return;
    }
    node->config_heard_generation = version->generation;
    node->config_heard_us = node->now_us;
    bv_gauge_set(BV_GAUGE_CONFIG_HEARD_GENERATION,
                 (int64_t)version->generation);
    bv_log(BV_LOG_INFO, "config_heard", "generation",
           BV_NUM((gint64)version->generation), "from", source, "in_force",
           BV_NUM((gint64)in_force_generation(node)), NULL);
}

static void
handle_head(bv_node_t *node, void *data)
{
    fetched_config_t *fetched = data;
    bv_gauge_set(BV_GAUGE_CONFIG_SOURCE_AGE, node->now_us);
    note_version(node, &fetched->version, HEAD_SOURCE);
    bv_config_fetcher_handle_head(node->config_fetcher, node->now_us,
                                  &fetched->version);
    free_fetched(fetched);
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
         !bv_head_parse_digest(&head, &version.digest))) {
        report_rejection("head row is malformed", 0);
        return;
    }
    version.generation = head.generation;
    fetched_config_t *fetched = g_new0(fetched_config_t, 1);
    fetched->node = context;
    fetched->version = version;
    bv_node_post_blocking(context, handle_head, fetched);
}

static void
read_head(void *context)
{
    bv_node_t *node = context;
    if (node->dialect->config_source == NULL) {
        bv_store_read(node->store, BV_HEAD_KEY, NULL, on_head, node);
    }
}

static void
report_conflict(void *context, const bv_config_version_t *version)
{
    (void)context;
    bv_counter_add(BV_COUNT_CONFIG_CONFLICTS, 1);
    bv_log(BV_LOG_ERROR, "config_digest_conflict", "generation",
           BV_NUM((gint64)version->generation), NULL);
}

static const bv_config_fetcher_ops_t fetcher_ops = {
    .request_from_member = request_from_member,
    .read_head = read_head,
    .read_from_store = read_from_store,
    .adopt = parse_and_adopt,
    .report_conflict = report_conflict,
};

void
bv_configs_create(bv_node_t *node)
{
    bv_config_fetcher_options_t options = {
        .poll_interval_us = node->settings->config_poll_ms * BV_US_PER_MS,
        .fetch_timeout_us = FETCH_TIMEOUT_US,
        .gather_timeout_us = GATHER_TIMEOUT_US,
        .random = node->random,
        .ops = &fetcher_ops,
        .context = node,
    };
    node->config_fetcher = bv_config_fetcher_create(&options);
    bv_gauge_set(BV_GAUGE_CONFIG_SOURCE_AGE, node->now_us);
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
    note_version(node, version, member);
    bv_config_fetcher_handle_version(node->config_fetcher, node->now_us,
                                     version, member);
}

/*
 * Offers a bundle to the fetcher. A bundle from ROW_SOURCE counts as the one
 * that the table names, so that it is adopted without waiting for the versions
 * of members.
 */
static bv_config_offer_result_t
submit_bundle(bv_node_t *node, uint64_t generation, GBytes *body,
              const char *source)
{
    bv_config_version_t version = {generation, bv_config_bundle_digest(body)};
    uint64_t previous_generation = in_force_generation(node);
    note_version(node, &version, source);
    bv_config_offer_result_t result =
        bv_config_fetcher_handle_offer(node->config_fetcher, node->now_us,
                                       &version, body, source == ROW_SOURCE);
    if (in_force_generation(node) > previous_generation) {
        bv_membership_push_self(node->membership);
    }
    return result;
}

bv_config_offer_result_t
bv_configs_submit(bv_node_t *node, GBytes *body)
{
    gsize size;
    const char *text = g_bytes_get_data(body, &size);
    json_t *bundle = json_loadb(text, size, 0, NULL);
    json_int_t generation =
        json_integer_value(json_object_get(bundle, "generation"));
    json_decref(bundle);
    if (generation <= 0) {
        return BV_CONFIG_OFFER_REFUSED;
    }
    return submit_bundle(node, (uint64_t)generation, body, OPERATOR_SOURCE);
}

/* Returns whether the bundle is in force after it was submitted. */
static bool
submit_row(bv_node_t *node, const json_t *bundle)
{
    json_int_t generation =
        json_integer_value(json_object_get(bundle, "generation"));
    char *text = json_dumps(bundle, JSON_COMPACT | JSON_SORT_KEYS);
    GBytes *body = g_bytes_new_with_free_func(text, strlen(text), free, text);
    const bv_config_version_t *in_force =
        bv_config_fetcher_in_force(node->config_fetcher);
    submit_bundle(node, (uint64_t)generation, body, ROW_SOURCE);
    bool is_in_force = in_force->generation == (uint64_t)generation &&
                       in_force->digest == bv_config_bundle_digest(body);
    g_bytes_unref(body);
    return is_in_force;
}

bool
bv_configs_handle_row(bv_node_t *node, const json_t *value)
{
    const bv_dialect_t *dialect = node->dialect;
    bv_findings_t *findings = bv_findings_create();
    bool is_in_force = false;
    json_t *bundle =
        dialect->config_source->translate(dialect->context, value, findings);
    if (bundle == NULL) {
        char *problems = bv_findings_to_string(findings);
        reject_bundle(node, problems, 0);
        g_free(problems);
    }
    else {
        is_in_force = submit_row(node, bundle);
        json_decref(bundle);
    }
    bv_findings_destroy(findings);
    return is_in_force;
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
    if (!bv_config_fetcher_handle_bundle(node->config_fetcher, node->now_us,
                                         message->generation, message->body)) {
        reject_bundle(node,
                      "peer's bundle does not match the digest of its version",
                      message->generation);
    }
}
