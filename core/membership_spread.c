#include "membership_internal.h"

#include <string.h>
#include <xxhash.h>

/* Packets that carry an update, for each doubling of the members. */
#define SPREAD_FACTOR 4
/*
 * Records sent in rotation where updates leave room, since they carry the
 * generations in force.
 */
#define ROTATION_RECORDS 2
/* Packets in which the records of one bucket are sent. */
#define SYNC_PACKETS_LIMIT 5

typedef struct {
    uint64_t incarnation;
    uint32_t version;
    uint32_t state;
} digest_input_t;

uint32_t
membership_bucket_of(const char *name)
{
    return (uint32_t)(XXH3_64bits(name, strlen(name)) % BV_GOSSIP_BUCKETS);
}

/*
 * Returns the digest of a record. A suspect member has the digest of an alive
 * one, since a suspicion is temporary and each node has its own view of it.
 */
static uint64_t
digest_of(const entry_t *entry)
{
    const bv_member_t *member = &entry->member;
    bv_member_state_t state = member->state;
    digest_input_t digest_input = {
        .incarnation = member->incarnation,
        .version = member->version,
        .state = state == BV_MEMBER_SUSPECT ? BV_MEMBER_ALIVE : state,
    };
    return XXH3_64bits_withSeed(
        &digest_input, sizeof(digest_input),
        XXH3_64bits(member->name, strlen(member->name)));
}

/*
 * Dead and left members are not part of a digest, since each node removes
 * their records at a different time.
 */
void
membership_toggle_digest(bv_membership_t *membership, const entry_t *entry)
{
    if (membership_is_present(entry)) {
        membership->buckets[entry->bucket] ^= digest_of(entry);
    }
}

uint32_t
membership_sends_per_update(const bv_membership_t *membership)
{
    uint32_t count = SPREAD_FACTOR;
    for (guint size = membership->probe_order->len; size > 1; size /= 2) {
        count += SPREAD_FACTOR;
    }
    return count;
}

static bool
holds_record(const bv_gossip_packet_t *packet, const bv_member_t *member)
{
    for (uint32_t i = 0; i < packet->record_count; i++) {
        if (strcmp(packet->records[i].name, member->name) == 0) {
            return true;
        }
    }
    return false;
}

static void
add_record(bv_gossip_packet_t *packet, entry_t *entry)
{
    if (packet->record_count == BV_GOSSIP_RECORDS_LIMIT ||
        holds_record(packet, &entry->member)) {
        return;
    }
    packet->records[packet->record_count] = entry->member;
    packet->record_count++;
    if (entry->sends_left > 0) {
        entry->sends_left--;
    }
}

/* Adds the receiver's own record first if the receiver must refute it. */
static void
add_receiver_record(const bv_membership_t *membership, const bv_member_t *to,
                    bv_gossip_packet_t *packet)
{
    entry_t *entry = g_hash_table_lookup(membership->entries, to->name);
    if (entry != NULL && (entry->member.state == BV_MEMBER_SUSPECT ||
                          entry->member.state == BV_MEMBER_DEAD)) {
        add_record(packet, entry);
    }
}

static void
insert_update(entry_t **updates, uint32_t *count, entry_t *entry)
{
    uint32_t position = *count;
    while (position > 0 &&
           updates[position - 1]->sends_left < entry->sends_left) {
        position--;
    }
    if (position == BV_GOSSIP_RECORDS_LIMIT) {
        return;
    }
    uint32_t moved = MIN(*count, BV_GOSSIP_RECORDS_LIMIT - 1) - position;
    memmove(&updates[position + 1], &updates[position],
            moved * sizeof(*updates));
    updates[position] = entry;
    *count = MIN(*count + 1, BV_GOSSIP_RECORDS_LIMIT);
}

/* Adds the updates that have been sent in the fewest packets. */
static void
add_updates(const bv_membership_t *membership, bv_gossip_packet_t *packet)
{
    entry_t *updates[BV_GOSSIP_RECORDS_LIMIT + 1];
    uint32_t count = 0;
    for (guint i = 0; i < membership->probe_order->len; i++) {
        entry_t *entry = membership->probe_order->pdata[i];
        if (entry->sends_left > 0) {
            insert_update(updates, &count, entry);
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        add_record(packet, updates[i]);
    }
}

static void
add_rotation(bv_membership_t *membership, bv_gossip_packet_t *packet)
{
    guint size = membership->probe_order->len;
    for (uint32_t i = 0; i < ROTATION_RECORDS && size > 0; i++) {
        membership->next_in_rotation =
            (membership->next_in_rotation + 1) % size;
        entry_t *entry =
            membership->probe_order->pdata[membership->next_in_rotation];
        if (membership_is_present(entry)) {
            add_record(packet, entry);
        }
    }
}

static void
submit_packet(bv_membership_t *membership, const bv_member_t *to,
              bv_gossip_packet_t *packet)
{
    const bv_membership_options_t *options = &membership->options;
    packet->number = ++membership->packet_number;
    packet->generation = membership->self.member.generation;
    packet->config_digest = membership->config_digest;
    options->ops->send(options->context, to, packet);
}

void
membership_send(bv_membership_t *membership, const bv_member_t *to,
                bv_gossip_kind_t kind, uint64_t sequence, const char *target)
{
    bv_gossip_packet_t packet = {.kind = kind, .sequence = sequence};
    membership->next_bucket =
        (membership->next_bucket + 1) % BV_GOSSIP_BUCKETS;
    packet.bucket = membership->next_bucket;
    packet.bucket_digest = membership->buckets[packet.bucket];
    if (target != NULL) {
        g_strlcpy(packet.probe_target, target, BV_NAME_BYTES);
    }
    add_receiver_record(membership, to, &packet);
    add_updates(membership, &packet);
    add_rotation(membership, &packet);
    submit_packet(membership, to, &packet);
}

/*
 * Dead and left members are included, because the receiver may still have them
 * as alive.
 */
bool
membership_send_bucket(bv_membership_t *membership, int64_t now_us,
                       const bv_member_t *to, uint32_t bucket)
{
    if (now_us < membership->next_sync_us) {
        return false;
    }
    membership->next_sync_us = now_us + membership->options.probe_interval_us;
    bv_gossip_packet_t packet = {.kind = BV_GOSSIP_SYNC, .bucket = bucket};
    uint32_t packets = 0;
    for (guint i = 0; i < membership->probe_order->len; i++) {
        entry_t *entry = membership->probe_order->pdata[i];
        if (entry->bucket != bucket || packets == SYNC_PACKETS_LIMIT) {
            continue;
        }
        packet.records[packet.record_count++] = entry->member;
        if (packet.record_count == BV_GOSSIP_RECORDS_LIMIT) {
            submit_packet(membership, to, &packet);
            packet.record_count = 0;
            packets++;
        }
    }
    if (packet.record_count > 0 || packets == 0) {
        submit_packet(membership, to, &packet);
    }
    return true;
}
