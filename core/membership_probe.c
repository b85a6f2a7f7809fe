#include "membership_internal.h"

#include <string.h>

#define HELPERS 3
#define TELL_LIMIT 32
#define DRAINING_TELLS 4
#define PROBE_CYCLE 8
#define LATE_INTERVALS 3

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
    return TIER_REST;
}

static const entry_t *
next_of_tier(bv_membership_t *membership, tier_t tier)
{
    guint size = membership->order->len;
    for (guint i = 0; i < size; i++) {
        guint place = (membership->next_of_tier[tier] + 1) % size;
        membership->next_of_tier[tier] = place;
        const entry_t *entry = membership->order->pdata[place];
        if (membership_tier_of(membership, entry) == tier) {
            return entry;
        }
    }
    return NULL;
}

static const entry_t *
next_to_probe(bv_membership_t *membership)
{
    static const tier_t cycle[PROBE_CYCLE] = {
        TIER_DATA_CENTRE, TIER_REGION,      TIER_DATA_CENTRE, TIER_REST,
        TIER_DATA_CENTRE, TIER_DATA_CENTRE, TIER_GONE,        TIER_DATA_CENTRE,
    };
    tier_t first = cycle[membership->probes++ % PROBE_CYCLE];
    const entry_t *entry = next_of_tier(membership, first);
    for (tier_t tier = 0; tier < TIER_END && entry == NULL; tier++) {
        entry = next_of_tier(membership, tier);
    }
    return entry;
}

static const entry_t *
random_present(const bv_membership_t *membership)
{
    guint size = membership->order->len;
    if (size == 0) {
        return NULL;
    }
    guint first =
        (guint)g_rand_int_range(membership->options.random, 0, (gint32)size);
    for (guint i = 0; i < size; i++) {
        const entry_t *entry = membership->order->pdata[(first + i) % size];
        if (membership_is_present(entry)) {
            return entry;
        }
    }
    return NULL;
}

static void
tell_some(bv_membership_t *membership, uint32_t most)
{
    uint32_t present = bv_membership_count_present(membership);
    for (uint32_t i = 0; i < MIN(most, present); i++) {
        const entry_t *entry = random_present(membership);
        membership_send(membership, &entry->member, BV_GOSSIP_PING,
                        ++membership->sequence, NULL);
    }
}

/* All of them when they are few. */
void
membership_tell_many(bv_membership_t *membership)
{
    if (bv_membership_count_present(membership) > TELL_LIMIT) {
        tell_some(membership, TELL_LIMIT);
        return;
    }
    for (guint i = 0; i < membership->order->len; i++) {
        const entry_t *entry = membership->order->pdata[i];
        if (membership_is_present(entry)) {
            membership_send(membership, &entry->member, BV_GOSSIP_PING,
                            ++membership->sequence, NULL);
        }
    }
}

static void
forget_gone(bv_membership_t *membership, int64_t now_us)
{
    for (guint i = membership->order->len; i > 0; i--) {
        const entry_t *entry = membership->order->pdata[i - 1];
        if (membership_is_gone(entry) &&
            now_us - entry->gone_since_us >=
                membership->options.forget_after_us) {
            g_ptr_array_remove_index(membership->order, i - 1);
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
    g_strlcpy(probe->name, entry->member.name, BV_NAME_BYTES);
    probe->sequence = ++membership->sequence;
    probe->direct_due_us = now_us + membership->options.probe_timeout_us;
    probe->end_us = now_us + membership->options.probe_interval_us;
    probe->asked = membership_is_gone(entry);
    membership_send(membership, &entry->member, BV_GOSSIP_PING,
                    probe->sequence, NULL);
}

static void
ask_helpers(bv_membership_t *membership)
{
    probe_t *probe = &membership->probe;
    probe->asked = true;
    for (int i = 0; i < HELPERS; i++) {
        const entry_t *helper = random_present(membership);
        if (helper != NULL && strcmp(helper->member.name, probe->name) != 0) {
            membership_send(membership, &helper->member,
                            BV_GOSSIP_PROBE_REQUEST, probe->sequence,
                            probe->name);
        }
    }
}

static void
check_probe(bv_membership_t *membership, int64_t now_us)
{
    probe_t *probe = &membership->probe;
    if (probe->sequence == 0) {
        return;
    }
    if (!probe->asked && now_us >= probe->direct_due_us) {
        ask_helpers(membership);
    }
    if (now_us < probe->end_us) {
        return;
    }
    probe->sequence = 0;
    entry_t *entry = g_hash_table_lookup(membership->entries, probe->name);
    if (entry != NULL) {
        membership_record_probe(membership, entry, true);
        membership_suspect(membership, now_us, entry);
    }
}

/* After a pause of its own a node knows nothing: no verdict counts. */
static void
forgive_pause(bv_membership_t *membership, int64_t now_us)
{
    int64_t gap_us = now_us - membership->last_tick_us;
    int64_t late_us = membership->options.probe_interval_us * LATE_INTERVALS;
    bool late = membership->last_tick_us != 0 && gap_us > late_us;
    membership->last_tick_us = now_us;
    if (!late) {
        return;
    }
    membership->probe.sequence = 0;
    memset(membership->health, 0, sizeof(membership->health));
    membership->failures_in_a_row = 0;
    for (guint i = 0; i < membership->order->len; i++) {
        entry_t *entry = membership->order->pdata[i];
        if (entry->suspect_since_us != 0) {
            entry->suspect_since_us = now_us;
        }
    }
}

void
bv_membership_tick(bv_membership_t *membership, int64_t now_us)
{
    forgive_pause(membership, now_us);
    check_probe(membership, now_us);
    if (membership->refuted) {
        membership->refuted = false;
        tell_some(membership, HELPERS);
    }
    if (now_us < membership->next_probe_us) {
        return;
    }
    membership->next_probe_us = now_us + membership->options.probe_interval_us;
    membership_judge_suspects(membership, now_us);
    membership_tell_suspects(membership);
    forget_gone(membership, now_us);
    begin_probe(membership, now_us);
    if (membership->self.member.state == BV_MEMBER_DRAINING) {
        tell_some(membership, DRAINING_TELLS);
    }
}

int64_t
bv_membership_next_due_us(const bv_membership_t *membership)
{
    const probe_t *probe = &membership->probe;
    if (probe->sequence == 0) {
        return membership->next_probe_us;
    }
    int64_t due_us = probe->asked ? probe->end_us : probe->direct_due_us;
    return MIN(due_us, membership->next_probe_us);
}

static void
take_probe_request(bv_membership_t *membership, const entry_t *entry,
                   const bv_gossip_packet_t *packet)
{
    const entry_t *target =
        g_hash_table_lookup(membership->entries, packet->probe_target);
    if (target == NULL) {
        return;
    }
    relay_t *relay = &membership->relays[membership->next_relay++ % RELAYS];
    g_strlcpy(relay->origin, entry->member.name, BV_NAME_BYTES);
    relay->origin_sequence = packet->sequence;
    relay->sequence = ++membership->sequence;
    membership_send(membership, &target->member, BV_GOSSIP_PING,
                    relay->sequence, NULL);
}

static void
end_probe(bv_membership_t *membership)
{
    probe_t *probe = &membership->probe;
    const entry_t *entry =
        g_hash_table_lookup(membership->entries, probe->name);
    probe->sequence = 0;
    if (entry != NULL) {
        membership_record_probe(membership, entry, false);
    }
}

static void
take_ack(bv_membership_t *membership, const bv_gossip_packet_t *packet)
{
    probe_t *probe = &membership->probe;
    if (packet->sequence == 0) {
        return;
    }
    if (packet->sequence == probe->sequence) {
        end_probe(membership);
    }
    for (uint32_t i = 0; i < RELAYS; i++) {
        relay_t *relay = &membership->relays[i];
        if (relay->sequence != packet->sequence) {
            continue;
        }
        relay->sequence = 0;
        const entry_t *origin =
            g_hash_table_lookup(membership->entries, relay->origin);
        if (origin != NULL) {
            membership_send(membership, &origin->member, BV_GOSSIP_ACK,
                            relay->origin_sequence, NULL);
        }
    }
}

/* A suspicion that was told to others stays until it is refuted. */
static void
clear_suspicion(entry_t *entry)
{
    if (entry->member.state != BV_MEMBER_SUSPECT) {
        entry->suspect_since_us = 0;
    }
}

void
membership_probe_packet(bv_membership_t *membership, entry_t *entry,
                        const bv_gossip_packet_t *packet)
{
    clear_suspicion(entry);
    switch (packet->kind) {
    case BV_GOSSIP_PING:
        membership_send(membership, &entry->member, BV_GOSSIP_ACK,
                        packet->sequence, NULL);
        return;
    case BV_GOSSIP_ACK:
        take_ack(membership, packet);
        return;
    case BV_GOSSIP_PROBE_REQUEST:
        take_probe_request(membership, entry, packet);
        return;
    case BV_GOSSIP_SYNC:
        return;
    }
}
