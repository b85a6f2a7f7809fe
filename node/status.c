#include "berylvane/common/account_counters.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/gauges.h"
#include "berylvane/common/http_status.h"
#include "berylvane/core/config_freshness.h"
#include "berylvane/node/configs.h"
#include "berylvane/node/node.h"
#include "berylvane/node/quotas.h"

#include <stdlib.h>
#include <string.h>

static void
append_member(void *context, const bv_member_t *member)
{
    json_t *row = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I}", "name", member->name,
        "service", member->service, "data_centre", member->data_centre,
        "region", member->region, "state", bv_member_state_name(member->state),
        "incarnation", (json_int_t)member->incarnation, "slots",
        (json_int_t)member->slots, "generation",
        (json_int_t)member->generation);
    json_array_append_new(context, row);
}

static json_t *
render_members(const bv_node_t *node)
{
    json_t *members = json_array();
    append_member(members, bv_membership_self(node->membership));
    bv_membership_foreach(node->membership, append_member, members);
    return members;
}

/* NULL for a gauge without a time. */
static json_t *
render_age_ms(const bv_node_t *node, bv_gauge_t gauge)
{
    int64_t age_us = bv_gauge_age_us(gauge, node->now_us);
    return age_us < 0 ? NULL : json_integer(age_us / BV_US_PER_MS);
}

static json_t *
render_config(const bv_node_t *node, uint64_t generation)
{
    bv_config_knowledge_t knowledge = {
        .in_force = generation,
        .heard = node->config_heard_generation,
        .source_age_us =
            bv_gauge_age_us(BV_GAUGE_CONFIG_SOURCE_AGE, node->now_us),
        .query_interval_us = bv_configs_query_interval_us(node),
    };
    return json_pack(
        "{s:s, s:I, s:I, s:o*, s:o*}", "freshness",
        bv_config_freshness_name(bv_config_freshness(&knowledge)),
        "heard_generation", (json_int_t)knowledge.heard, "query_interval_ms",
        (json_int_t)(knowledge.query_interval_us / BV_US_PER_MS),
        "source_age_ms", render_age_ms(node, BV_GAUGE_CONFIG_SOURCE_AGE),
        "in_force_age_ms", render_age_ms(node, BV_GAUGE_CONFIG_IN_FORCE_AGE));
}

static void
add_usage(void *context, const char *account, bv_account_status_t status,
          bool is_own, uint64_t count)
{
    json_t *usage = json_object_get(context, account);
    if (usage == NULL) {
        usage = json_pack("{s:{}, s:{}}", "node", "target");
        json_object_set_new(context, account, usage);
    }
    json_object_set_new(json_object_get(usage, is_own ? "node" : "target"),
                        bv_account_status_name(status),
                        json_integer((json_int_t)count));
}

static void
add_demand(void *context, const char *account, uint64_t refused,
           const bv_account_rates_t *rates)
{
    json_t *usage = json_object_get(context, account);
    if (usage == NULL) {
        usage = json_pack("{s:{}, s:{}}", "node", "target");
        json_object_set_new(context, account, usage);
    }
    json_object_set_new(usage, "refused_by_priority",
                        json_integer((json_int_t)refused));
    json_object_set_new(usage, "recent_slots", json_real(rates->recent_slots));
    json_object_set_new(usage, "usual_slots", json_real(rates->usual_slots));
}

/*
 * Answers by account, who gave them, and status, with refusals by priority and
 * rates; NULL without accounts.
 */
static json_t *
render_accounts(const bv_node_t *node)
{
    if (node->config == NULL || node->config->accounts == NULL) {
        return NULL;
    }
    json_t *accounts = json_object();
    bv_account_counters_foreach(add_usage, accounts);
    bv_account_counters_foreach_demand(add_demand, accounts);
    return accounts;
}

static json_t *
render_status(const bv_node_t *node)
{
    json_int_t generation =
        node->config != NULL ? (json_int_t)node->config->generation : 0;
    json_t *status = json_pack(
        "{s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:o, "
        "s:o*, s:o*}",
        "name", node->settings->name, "data_centre",
        node->settings->data_centre, "region", node->settings->region,
        "draining", node->draining, "generation", generation, "calls",
        (json_int_t)bv_calls_count(node), "served",
        (json_int_t)bv_serve_count(node), "running",
        (json_int_t)bv_admission_running(node->admission), "queued",
        (json_int_t)bv_admission_queued(node->admission), "threshold",
        (json_int_t)bv_admission_threshold(node->admission), "limit",
        (json_int_t)bv_admission_limit(node->admission), "config",
        render_config(node, (uint64_t)generation), "members",
        render_members(node), "accounts", render_accounts(node), "quotas",
        bv_quotas_render(node));
    bv_node_placement_render(node, status);
    return status;
}

static void
reply_json(bv_call_t *call, uint16_t status, json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    bv_operator_reply(call, status, g_strdup(text));
    free(text);
}

static void
reply_health(const bv_node_t *node, bv_call_t *call)
{
    bool is_ready =
        node->config != NULL && bv_target_is_usable(node) && !node->draining;
    reply_json(call, is_ready ? 200 : 503,
               json_pack("{s:b, s:b, s:b, s:b}", "ready", is_ready, "config",
                         node->config != NULL, "target",
                         bv_target_is_usable(node), "draining",
                         node->draining));
}

static const char *
after_prefix(const char *path, const char *prefix)
{
    return g_str_has_prefix(path, prefix) ? path + strlen(prefix) : NULL;
}

/*
 * Returns the journal's entries about the subject that `path` names; NULL when
 * `path` is not a page of explanations.
 */
static json_t *
render_explanation(const bv_node_t *node, const char *path)
{
    bv_id_t id;
    const char *request = after_prefix(path, "/explain/request/");
    const char *member = after_prefix(path, "/explain/member/");
    if (request != NULL && bv_id_parse(request, &id)) {
        return bv_journal_list_by_request(node->journal, &id);
    }
    if (member != NULL) {
        return bv_journal_list_by_subject(node->journal, member);
    }
    if (strcmp(path, "/explain/config") == 0) {
        return bv_journal_list_config(node->journal);
    }
    if (strcmp(path, "/explain/counts") == 0) {
        return bv_journal_count_decisions(node->journal);
    }
    return NULL;
}

static void
reply_submission(bv_call_t *call, bv_config_offer_result_t result)
{
    static const uint16_t statuses[] = {
        [BV_CONFIG_OFFER_TAKEN] = BV_STATUS_OK,
        [BV_CONFIG_OFFER_CONFLICT] = BV_STATUS_CONFLICT,
        [BV_CONFIG_OFFER_REFUSED] = BV_STATUS_BAD_REQUEST,
    };
    reply_json(call, statuses[result],
               json_pack("{s:b}", "taken", result == BV_CONFIG_OFFER_TAKEN));
}

void
bv_status_handle_query(bv_node_t *node, void *data)
{
    bv_call_t *call = data;
    bool is_get = strcmp(call->method, "GET") == 0;
    if (is_get && strcmp(call->path, "/health") == 0) {
        reply_health(node, call);
        return;
    }
    if (is_get && strcmp(call->path, "/status") == 0) {
        reply_json(call, 200, render_status(node));
        return;
    }
    json_t *explanation = is_get ? render_explanation(node, call->path) : NULL;
    if (explanation != NULL) {
        reply_json(call, 200, explanation);
        return;
    }
    if (strcmp(call->method, "POST") == 0 &&
        strcmp(call->path, "/drain") == 0) {
        bv_node_start_drain(node);
        reply_json(call, 200, json_pack("{s:b}", "draining", true));
        return;
    }
    if (strcmp(call->method, "POST") == 0 &&
        strcmp(call->path, "/configuration") == 0) {
        reply_submission(call, bv_configs_submit(node, call->body));
        return;
    }
    reply_json(call, 404, json_pack("{s:s}", "error", "no such page"));
}
