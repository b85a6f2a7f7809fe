#include "berylvane/node/fair_shares.h"

#include "berylvane/common/account_counters.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"

#include <string.h>

#define PUBLISH_INTERVAL_US BV_US_PER_S
#define LOG_INTERVAL_US (60 * BV_US_PER_S)

struct bv_fair_shares {
    bv_fair_share_t *share;
    bv_route_costs_t *costs;
    int64_t publish_due_us;
    int64_t log_due_us;
};

void
bv_fair_shares_create(bv_node_t *node)
{
    bv_fair_share_options_t options = {0};
    bv_fair_shares_t *shares = g_new0(bv_fair_shares_t, 1);
    shares->share = bv_fair_share_create(&options);
    shares->costs = bv_route_costs_create();
    node->fair_shares = shares;
}

void
bv_fair_shares_destroy(bv_node_t *node)
{
    bv_fair_share_destroy(node->fair_shares->share);
    bv_route_costs_destroy(node->fair_shares->costs);
    g_free(node->fair_shares);
}

static void
note_without_own(bv_node_t *node, const char *account)
{
    bv_fair_shares_t *shares = node->fair_shares;
    bv_counter_add(BV_COUNT_FAIR_SHARE_OTHERS, 1);
    if (node->now_us < shares->log_due_us) {
        return;
    }
    shares->log_due_us = node->now_us + LOG_INTERVAL_US;
    bv_log(BV_LOG_WARN, "fair_share_full", "account", account, NULL);
}

uint8_t
bv_fair_shares_level(bv_node_t *node, const bv_call_state_t *state,
                     bv_class_t importance)
{
    bv_fair_shares_t *shares = node->fair_shares;
    bv_fair_share_request_t request = {
        .account = state->account->name,
        .importance = importance,
        .cost_us = bv_route_costs_get(shares->costs, state->route_hash),
        .random = g_rand_double(node->random),
    };
    uint8_t level = bv_fair_share_level(shares->share, node->now_us, &request);
    if (!bv_fair_share_has_own(shares->share, request.account)) {
        note_without_own(node, request.account);
    }
    return level;
}

void
bv_fair_shares_record_answer(bv_node_t *node, const bv_call_state_t *state,
                             const bv_peer_message_t *message,
                             int64_t latency_us)
{
    if (state->account != NULL && state->is_entry &&
        message->outcome == BV_OUTCOME_RAN) {
        bv_route_costs_record(node->fair_shares->costs, state->route_hash,
                              latency_us, message->wait_us);
    }
}

static void
publish_rates(void *context, const bv_fair_share_usage_t *usage)
{
    bv_account_rates_t *others = context;
    bv_account_rates_t rates = {usage->recent_slots, usage->usual_slots};
    bool is_others = strcmp(usage->account, BV_FAIR_SHARE_OTHERS) == 0;
    if (is_others || !bv_account_counters_set_rates(usage->account, &rates)) {
        others->recent_slots += rates.recent_slots;
        others->usual_slots += rates.usual_slots;
    }
}

void
bv_fair_shares_tick(bv_node_t *node)
{
    bv_fair_shares_t *shares = node->fair_shares;
    bv_account_rates_t others = {0};
    if (node->now_us < shares->publish_due_us) {
        return;
    }
    shares->publish_due_us = node->now_us + PUBLISH_INTERVAL_US;
    bv_fair_share_foreach(shares->share, node->now_us, publish_rates, &others);
    bv_account_counters_set_rates(BV_ACCOUNT_OTHERS, &others);
}
