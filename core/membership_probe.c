#include "membership_internal.h"

#include <string.h>

/* Members through which an unanswered probe is repeated. */
#define INDIRECT_FANOUT 3
#define PUSH_LIMIT 32
/* Members that a draining node pings in each probe interval. */
#define DRAINING_PINGS 4
#define PROBE_CYCLE_STEPS 8
/* A longer gap between two ticks means that this node was paused. */
#define PAUSE_INTERVALS 3

tier_t
membership_tier_of(const bv_membership_t *membership, const entry_t *entry)
{
    const bv_member_t *self = &membership->self.member;
    if (membership_is_gone(entry)) {
        return TIER_GONE;
    }
    if (strcmp(entry->member.data_centre, self->data_centre) == 0) {
        return TIER_DATA_CENTRE;
    }
    if (strcmp(entry->member.region, self->region) == 0) {
        return TIER_REGION;
    }
    return TIER_OTHER_REGION;
}

static const entry_t *
next_of_tier(bv_membership_t *membership, tier_t tier)
{
    guint size = membership->probe_order->len;
    for (guint i = 0; i < size; i++) {
        guint index = (membership->next_of_tier[tier] + 1) % size;
        membership->next_of_tier[tier] = index;
        const entry_t *entry = membership->probe_order->pdata[index];
        if (membership_tier_of(membership, entry) == tier) {
            return entry;
        }
    }
    return NULL;
}

static const entry_t *
next_to_probe(bv_membership_t *membership)
{
    static const tier_t cycle[PROBE_CYCLE_STEPS] = {
        TIER_DATA_CENTRE,  TIER_REGION,      TIER_DATA_CENTRE,
        TIER_OTHER_REGION, TIER_DATA_CENTRE, TIER_DATA_CENTRE,
        TIER_GONE,         TIER_DATA_CENTRE,
    };
    tier_t first = cycle[membership->probe_count++ % PROBE_CYCLE_STEPS];
    const entry_t *entry = next_of_tier(membership, first);
    for (tier_t tier = 0; tier < TIER_END && entry == NULL; tier++) {
        entry = next_of_tier(membership, tier);
    }
    return entry;
}

static const entry_t *
random_present(const bv_membership_t *membership)
{
    guint size = membership->probe_order->len;
    if (size == 0) {
        return NULL;
    }
    guint first =
        (guint)g_rand_int_range(membership->options.random, 0, (gint32)size);
    for (guint i = 0; i < size; i++) {
        const entry_t *entry =
            membership->probe_order->pdata[(first + i) % size];
        if (membership_is_present(entry)) {
            return entry;
        }
    }
    return NULL;
}

static void
ping_random(bv_membership_t *membership, uint32_t limit)
{
    uint32_t present = bv_membership_count_present(membership);
    for (uint32_t i = 0; i < MIN(limit, present); i++) {
        const entry_t *entry = random_present(membership);
        membership_send(membership, &entry->member, BV_GOSSIP_PING,
                        ++membership->sequence, NULL);
    }
}

void
membership_ping_many(bv_membership_t *membership)
{
    if (bv_membership_count_present(membership) > PUSH_LIMIT) {
        ping_random(membership, PUSH_LIMIT);
        return;
    }
    for (guint i = 0; i < membership->probe_order->len; i++) {
        const entry_t *entry = membership->probe_order->pdata[i];
        if (membership_is_present(entry)) {
            membership_send(membership, &entry->member, BV_GOSSIP_PING,
                            ++membership->sequence, NULL);
        }
    }
}

static void
remove_expired(bv_membership_t *membership, int64_t now_us)
{
    for (guint i = membership->probe_order->len; i > 0; i--) {
        const entry_t *entry = membership->probe_order->pdata[i - 1];
        if (membership_is_gone(entry) &&
            now_us - entry->gone_since_us >=
                membership->options.forget_after_us) {
            g_ptr_array_remove_index(membership->probe_order, i - 1);
            g_hash_table_remove(membership->entries, entry->member.name);
        }
    }
}

static void
begin_probe(bv_membership_t *membership, int64_t now_us)
{
    const entry_t *entry = next_to_probe(membership);
    if (entry == NULL) {
        return;
    }
    probe_t *probe = &membership->probe;
    g_strlcpy(probe->member, entry->member.name, BV_NAME_BYTES);
    probe->sequence = ++membership->sequence;
    probe->indirect_due_us = now_us + membership->options.probe_timeout_us;
    probe->end_us = now_us + membership->options.probe_interval_us;
    probe->is_indirect = membership_is_gone(entry);
    membership_send(membership, &entry->member, BV_GOSSIP_PING,
                    probe->sequence, NULL);
}

static void
request_indirect_probes(bv_membership_t *membership)
{
    probe_t *probe = &membership->probe;
    probe->is_indirect = true;
    for (int i = 0; i < INDIRECT_FANOUT; i++) {
        const entry_t *prober = random_present(membership);
        if (prober != NULL &&
            strcmp(prober->member.name, probe->member) != 0) {
            membership_send(membership, &prober->member,
                            BV_GOSSIP_PROBE_REQUEST, probe->sequence,
                            probe->member);
        }
    }
}

static void
advance_probe(bv_membership_t *membership, int64_t now_us)
{
    probe_t *probe = &membership->probe;
    if (probe->sequence == 0) {
        return;
    }
    if (!probe->is_indirect && now_us >= probe->indirect_due_us) {
        request_indirect_probes(membership);
    }
    if (now_us < probe->end_us) {
        return;
    }
    probe->sequence = 0;
    entry_t *entry = g_hash_table_lookup(membership->entries, probe->member);
    if (entry != NULL) {
        membership_record_probe_result(membership, entry, true);
        membership_suspect(membership, now_us, entry);
    }
}

/*
 * Discards the probe in progress and restarts the suspicion timers after a
 * pause of this node, since it could not receive answers meanwhile.
 */
static void
restart_after_pause(bv_membership_t *membership, int64_t now_us)
{
    int64_t gap_us = now_us - membership->last_tick_us;
    int64_t pause_us = membership->options.probe_interval_us * PAUSE_INTERVALS;
    bool was_paused = membership->last_tick_us != 0 && gap_us > pause_us;
    membership->last_tick_us = now_us;
    if (!was_paused) {
        return;
    }
    membership->probe.sequence = 0;
    memset(membership->health, 0, sizeof(membership->health));
    membership->consecutive_failures = 0;
    for (guint i = 0; i < membership->probe_order->len; i++) {
        entry_t *entry = membership->probe_order->pdata[i];
        if (entry->suspect_since_us != 0) {
            entry->suspect_since_us = now_us;
        }
    }
}

void
bv_membership_tick(bv_membership_t *membership, int64_t now_us)
{
    restart_after_pause(membership, now_us);
    advance_probe(membership, now_us);
    if (membership->is_refutation_due) {
        membership->is_refutation_due = false;
        ping_random(membership, INDIRECT_FANOUT);
    }
    if (now_us < membership->next_probe_us) {
        return;
    }
    membership->next_probe_us = now_us + membership->options.probe_interval_us;
    membership_evict_suspects(membership, now_us);
    membership_ping_suspects(membership);
    remove_expired(membership, now_us);
    begin_probe(membership, now_us);
    if (membership->self.member.state == BV_MEMBER_DRAINING) {
        ping_random(membership, DRAINING_PINGS);
    }
}

int64_t
bv_membership_next_due_us(const bv_membership_t *membership)
{
    const probe_t *probe = &membership->probe;
    if (probe->sequence == 0) {
        return membership->next_probe_us;
    }
    int64_t due_us =
        probe->is_indirect ? probe->end_us : probe->indirect_due_us;
    return MIN(due_us, membership->next_probe_us);
}

static void
handle_probe_request(bv_membership_t *membership, const entry_t *entry,
                     const bv_gossip_packet_t *packet)
{
    const entry_t *target =
        g_hash_table_lookup(membership->entries, packet->probe_target);
    if (target == NULL) {
        return;
    }
    relay_t *relay =
        &membership->relays[membership->next_relay++ % RELAYS_LIMIT];
    g_strlcpy(relay->origin, entry->member.name, BV_NAME_BYTES);
    g_strlcpy(relay->target, target->member.name, BV_NAME_BYTES);
    relay->origin_sequence = packet->sequence;
    relay->sequence = ++membership->sequence;
    membership_send(membership, &target->member, BV_GOSSIP_PING,
                    relay->sequence, NULL);
}

/*
 * Whether an answer comes from another member that has taken over the address
 * of the probed one. It proves nothing about the probed member: rows of
 * members that died without leaving would otherwise count as alive for good.
 */
static bool
has_taken_address(const bv_membership_t *membership, const entry_t *sender,
                  const char *probed)
{
    const entry_t *entry = g_hash_table_lookup(membership->entries, probed);
    return entry != NULL && entry != sender &&
           entry->member.gossip_port == sender->member.gossip_port &&
           strcmp(entry->member.address, sender->member.address) == 0;
}

static void
confirm_probe(bv_membership_t *membership, const entry_t *sender)
{
    probe_t *probe = &membership->probe;
    if (has_taken_address(membership, sender, probe->member)) {
        return;
    }
    const entry_t *entry =
        g_hash_table_lookup(membership->entries, probe->member);
    probe->sequence = 0;
    if (entry != NULL) {
        membership_record_probe_result(membership, entry, false);
    }
}

static void
handle_ack(bv_membership_t *membership, const entry_t *sender,
           const bv_gossip_packet_t *packet)
{
    const probe_t *probe = &membership->probe;
    if (packet->sequence == 0) {
        return;
    }
    if (packet->sequence == probe->sequence) {
        confirm_probe(membership, sender);
    }
    for (uint32_t i = 0; i < RELAYS_LIMIT; i++) {
        relay_t *relay = &membership->relays[i];
        if (relay->sequence != packet->sequence) {
            continue;
        }
        relay->sequence = 0;
        if (has_taken_address(membership, sender, relay->target)) {
            continue;
        }
        const entry_t *origin =
            g_hash_table_lookup(membership->entries, relay->origin);
        if (origin != NULL) {
            membership_send(membership, &origin->member, BV_GOSSIP_ACK,
                            relay->origin_sequence, NULL);
        }
    }
}

/*
 * Ends a suspicion that only this node holds. One that the record shows was
 * sent to other members and stays until the member refutes it.
 */
static void
clear_suspicion(entry_t *entry)
{
    if (entry->member.state != BV_MEMBER_SUSPECT) {
        entry->suspect_since_us = 0;
    }
}

void
membership_handle_probe_packet(bv_membership_t *membership, entry_t *entry,
                               const bv_gossip_packet_t *packet)
{
    clear_suspicion(entry);
    switch (packet->kind) {
    case BV_GOSSIP_PING:
        membership_send(membership, &entry->member, BV_GOSSIP_ACK,
                        packet->sequence, NULL);
        return;
    case BV_GOSSIP_ACK:
        handle_ack(membership, entry, packet);
        return;
    case BV_GOSSIP_PROBE_REQUEST:
        handle_probe_request(membership, entry, packet);
        return;
    case BV_GOSSIP_SYNC:
        return;
    }
}
