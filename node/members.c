#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/node/configs.h"
#include "berylvane/node/departures.h"
#include "berylvane/node/node.h"
#include "berylvane/node/quotas.h"

#include <string.h>

#define FORGET_AFTER_US (2 * 3600 * BV_US_PER_S)
#define MEMBERS_LIMIT 10000

typedef struct {
    bv_member_t from;
    bv_gossip_packet_t *packet;
} received_packet_t;

static void
on_packet(void *context, const bv_member_t *from, bv_gossip_packet_t *packet)
{
    received_packet_t *received = g_new0(received_packet_t, 1);
    received->from = *from;
    received->packet = packet;
    if (!bv_node_post(context, bv_members_handle_gossip, received)) {
        g_free(packet);
        g_free(received);
    }
}

void
bv_members_handle_gossip(bv_node_t *node, void *data)
{
    received_packet_t *received = data;
    bv_gossip_verdict_t verdict = bv_membership_handle_packet(
        node->membership, node->now_us, &received->from, received->packet);
    if (verdict == BV_GOSSIP_REPLAYED) {
        bv_counter_add(BV_COUNT_GOSSIP_REPLAYED, 1);
    }
    if (verdict == BV_GOSSIP_SYNCED) {
        bv_counter_add(BV_COUNT_GOSSIP_SYNCS, 1);
    }
    if (verdict != BV_GOSSIP_REPLAYED) {
        bv_departures_handle_packet(node, received->packet->kind);
    }
    g_free(received->packet);
    g_free(received);
}

void
bv_members_mark_draining(bv_node_t *node, const bv_peer_message_t *answer)
{
    const bv_member_t *known =
        bv_membership_find(node->membership, answer->from);
    if (known == NULL || known->incarnation != answer->from_incarnation ||
        known->state >= BV_MEMBER_DRAINING) {
        return;
    }
    bv_member_t record = *known;
    record.state = BV_MEMBER_DRAINING;
    bv_membership_merge_record(node->membership, node->now_us, &record);
}

static void
send_gossip(void *context, const bv_member_t *to,
            const bv_gossip_packet_t *packet)
{
    const bv_node_t *node = context;
    bv_gossip_send(node->gossip, bv_membership_self(node->membership), to,
                   packet);
}

void
bv_members_update_retry_reserve(bv_node_t *node)
{
    const bv_config_t *config = node->config;
    if (config == NULL) {
        return;
    }
    bv_retry_reserve_t reserve = {
        .retries_per_node = config->retry_reserve,
        .shared_retries = config->retry_shared_reserve,
        /* bv_membership_count_present() does not count this node. */
        .members = bv_membership_count_present(node->membership) + 1,
    };
    bv_retry_budgets_set_reserve(node->retry_budgets, &reserve);
}

static void
member_changed(void *context, const bv_member_t *member)
{
    bv_node_t *node = context;
    bv_router_update(node->router, member);
    bv_quotas_handle_member(node, member);
    bv_members_update_retry_reserve(node);
    bv_calls_handle_member_change(node, member);
    bv_decision_t decision = {
        .kind = BV_DECISION_MEMBER,
        .subject = member->name,
        .number = member->state,
    };
    bv_node_record_decision(node, &decision);
    if (member->state == BV_MEMBER_SUSPECT) {
        bv_counter_add(BV_COUNT_SUSPECTED, 1);
    }
    if (member->state == BV_MEMBER_DEAD) {
        bv_counter_add(BV_COUNT_EVICTED, 1);
        bv_link_disconnect(node->link, member->name);
    }
    bv_log(BV_LOG_INFO, "member_changed", "member", member->name, "state",
           bv_member_state_name(member->state), "service", member->service,
           "incarnation", BV_NUM((gint64)member->incarnation), NULL);
}

static void
config_reported(void *context, uint64_t generation, uint64_t digest,
                const char *member)
{
    bv_config_version_t version = {generation, digest};
    bv_configs_handle_version(context, &version, member);
}

static void
self_reported(void *context, const bv_member_t *record)
{
    bv_departures_handle_report(context, record);
}

static const bv_membership_ops_t membership_ops = {
    .send = send_gossip,
    .member_changed = member_changed,
    .config_reported = config_reported,
    .self_reported = self_reported,
};

static void
init_self_record(const bv_node_t *node, bv_member_t *self)
{
    const bv_settings_t *settings = node->settings;
    g_strlcpy(self->name, settings->name, BV_NAME_BYTES);
    g_strlcpy(self->data_centre, settings->data_centre, BV_NAME_BYTES);
    g_strlcpy(self->region, settings->region, BV_NAME_BYTES);
    g_strlcpy(self->address, settings->address, BV_ADDRESS_BYTES);
    self->peer_port = (uint16_t)settings->advertised_peer_port;
    self->gossip_port = (uint16_t)settings->advertised_gossip_port;
    self->incarnation = node->incarnation;
}

static void
parse_hex_key(const char *text, uint8_t key[BV_GOSSIP_KEY_BYTES])
{
    for (size_t i = 0; i < BV_GOSSIP_KEY_BYTES; i++) {
        key[i] = (uint8_t)(g_ascii_xdigit_value(text[2 * i]) * 16 +
                           g_ascii_xdigit_value(text[2 * i + 1]));
    }
}

bool
bv_members_create(bv_node_t *node, GError **error)
{
    const bv_settings_t *settings = node->settings;
    bv_membership_options_t options = {
        .probe_interval_us = settings->probe_interval_ms * BV_US_PER_MS,
        .probe_timeout_us = settings->probe_interval_ms * BV_US_PER_MS / 2,
        .suspect_timeout_us = settings->suspect_timeout_ms * BV_US_PER_MS,
        .forget_after_us = FORGET_AFTER_US,
        .mass_suspicion_percent = 20,
        .members_limit = MEMBERS_LIMIT,
        .random = node->random,
        .ops = &membership_ops,
        .context = node,
    };
    init_self_record(node, &options.self);
    node->membership = bv_membership_create(&options);
    bv_gossip_options_t gossip = {
        .address = settings->address,
        .port = (uint16_t)settings->gossip_port,
        .on_packet = on_packet,
        .context = node,
    };
    parse_hex_key(settings->gossip_key, gossip.keys[gossip.key_count++]);
    if (settings->gossip_key_previous != NULL) {
        parse_hex_key(settings->gossip_key_previous,
                      gossip.keys[gossip.key_count++]);
    }
    node->gossip = bv_gossip_start(node->pool, &gossip, error);
    return node->gossip != NULL;
}

void
bv_members_tick(bv_node_t *node)
{
    bv_target_check_silence(node);
    bv_membership_tick(node->membership, node->now_us);
    bv_rendezvous_tick(node);
    bv_departures_tick(node);
}

void
bv_members_configure_admission(bv_node_t *node)
{
    /* These limits apply until a configuration is active. */
    bv_admission_options_t options = {
        .slots = node->target.last_announcement.slots,
        .queue_limit = 1000,
        .queue_target_us = 10 * BV_US_PER_MS,
        .long_share_percent = 40,
        .is_draining = bv_local_target_is_leaving(&node->target) ||
                       node->drain.has_reached_limit,
    };
    if (node->config != NULL) {
        options.queue_limit = node->config->queue_limit;
        options.queue_target_us = node->config->queue_target_us;
        options.long_share_percent = node->config->long_share_percent;
        options.has_fixed_limit = node->config->has_fixed_limit;
    }
    bv_admission_configure(node->admission, &options);
}
