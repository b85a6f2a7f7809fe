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
/* Records of one bucket that are sent at once: 5 packets of short records. */
#define SYNC_RECORDS_LIMIT 30

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

/*
 * Sizes in MessagePack, of which peer/gossip_codec.c makes packets. A record
 * that is left out of a full packet must not count as sent, so the size is
 * known before the packet is encoded.
 */
static size_t
text_bytes(const char *text)
{
    size_t length = strlen(text);
    return length + (length < 32 ? 1 : 2);
}

static size_t
number_bytes(uint64_t number)
{
    if (number <= UINT8_MAX) {
        return number < 128 ? 1 : 2;
    }
    return number <= UINT16_MAX ? 3 : number <= UINT32_MAX ? 5 : 9;
}

static size_t
departures_bytes(const bv_departures_t *departures)
{
    size_t size = 0;
    for (uint32_t i = 0; i < bv_departures_count(departures); i++) {
        const bv_departure_t *departure = &departures->items[i];
        size += number_bytes(departure->instance_digest) +
                number_bytes(departure->start_ms) +
                number_bytes(departure->sequence);
    }
    return size;
}

static size_t
record_bytes(const bv_member_t *member)
{
    /* An array with more than 15 elements has a longer header. */
    size_t header_bytes = bv_departures_count(&member->departures) > 1 ? 3 : 1;
    return header_bytes + departures_bytes(&member->departures) +
           text_bytes(member->name) + text_bytes(member->service) +
           text_bytes(member->data_centre) + text_bytes(member->region) +
           text_bytes(member->address) + number_bytes(member->peer_port) +
           number_bytes(member->gossip_port) +
           number_bytes(member->incarnation) + number_bytes(member->version) +
           number_bytes(member->slots) + number_bytes(member->state) +
           number_bytes(member->generation);
}

size_t
bv_membership_packet_bytes(const bv_member_t *from,
                           const bv_gossip_packet_t *packet)
{
    /* Both arrays, the packet and its records, have a header of one byte. */
    size_t size =
        1 + number_bytes(BV_GOSSIP_MAGIC) + number_bytes(packet->kind) +
        number_bytes(packet->number) + number_bytes(packet->sequence) +
        number_bytes(packet->generation) +
        number_bytes(packet->config_digest) +
        text_bytes(packet->probe_target) + number_bytes(packet->bucket) +
        number_bytes(packet->bucket_digest) + record_bytes(from) + 1;
    for (uint32_t i = 0; i < packet->record_count; i++) {
        size += record_bytes(&packet->records[i]);
    }
    return size;
}

static bool
has_room(const bv_membership_t *membership, const bv_gossip_packet_t *packet,
         const bv_member_t *member)
{
    return packet->record_count < BV_GOSSIP_RECORDS_LIMIT &&
           bv_membership_packet_bytes(&membership->self.member, packet) +
                   record_bytes(member) <=
               BV_GOSSIP_BYTES;
}

/* Adds `record` as the record of the entry. */
static void
add_record_as(const bv_membership_t *membership, bv_gossip_packet_t *packet,
              entry_t *entry, const bv_member_t *record)
{
    if (!has_room(membership, packet, record) ||
        holds_record(packet, record)) {
        return;
    }
    packet->records[packet->record_count] = *record;
    packet->record_count++;
    if (entry->sends_left > 0) {
        entry->sends_left--;
    }
}

static void
add_record(const bv_membership_t *membership, bv_gossip_packet_t *packet,
           entry_t *entry)
{
    add_record_as(membership, packet, entry, &entry->member);
}

/*
 * Adds the receiver's own record first if the receiver must refute it, or is
 * to learn which departures of its target are known here.
 */
static void
add_receiver_record(const bv_membership_t *membership, const bv_member_t *to,
                    bv_gossip_packet_t *packet)
{
    entry_t *entry = g_hash_table_lookup(membership->entries, to->name);
    if (entry == NULL) {
        return;
    }
    bv_member_t record = entry->member;
    bv_departures_merge(&record.departures, &entry->earlier_departures);
    bool must_refute =
        record.state == BV_MEMBER_SUSPECT || record.state == BV_MEMBER_DEAD;
    bool reports_departures =
        entry->reports_left > 0 && bv_departures_count(&record.departures) > 0;
    if (must_refute || reports_departures) {
        add_record_as(membership, packet, entry, &record);
        entry->reports_left -= reports_departures;
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
        add_record(membership, packet, updates[i]);
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
            add_record(membership, packet, entry);
        }
    }
}

/* Fills in what all packets state; their size depends on it. */
static void
begin_packet(bv_membership_t *membership, bv_gossip_packet_t *packet)
{
    packet->number = ++membership->packet_number;
    packet->generation = membership->self.member.generation;
    packet->config_digest = membership->config_digest;
}

static void
submit_packet(const bv_membership_t *membership, const bv_member_t *to,
              const bv_gossip_packet_t *packet)
{
    const bv_membership_options_t *options = &membership->options;
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
    begin_packet(membership, &packet);
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
    uint32_t records = 0;
    begin_packet(membership, &packet);
    for (guint i = 0; i < membership->probe_order->len; i++) {
        const entry_t *entry = membership->probe_order->pdata[i];
        if (entry->bucket != bucket || records == SYNC_RECORDS_LIMIT) {
            continue;
        }
        if (!has_room(membership, &packet, &entry->member)) {
            submit_packet(membership, to, &packet);
            packet.record_count = 0;
            begin_packet(membership, &packet);
        }
        packet.records[packet.record_count++] = entry->member;
        records++;
    }
    submit_packet(membership, to, &packet);
    return true;
}
