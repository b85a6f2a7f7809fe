#include "membership_internal.h"

#include <string.h>
#include <xxhash.h>

#define SPREAD_FACTOR 4
/* Records sent in turn for their generation, when there is no news. */
#define FILLERS 2
#define SYNC_PACKETS 5

typedef struct {
    uint64_t incarnation;
    uint32_t version;
    uint32_t state;
} digested_t;

uint32_t
membership_bucket_of(const char *name)
{
    return (uint32_t)(XXH3_64bits(name, strlen(name)) % BV_GOSSIP_BUCKETS);
}

/* Suspicion passes and gone members are forgotten: neither counts. */
static uint64_t
digest_of(const entry_t *entry)
{
    const bv_member_t *member = &entry->member;
    bv_member_state_t state = member->state;
    digested_t digested = {
        .incarnation = member->incarnation,
        .version = member->version,
        .state = state == BV_MEMBER_SUSPECT ? BV_MEMBER_ALIVE : state,
    };
    return XXH3_64bits_withSeed(
        &digested, sizeof(digested),
        XXH3_64bits(member->name, strlen(member->name)));
}

void
membership_digest_toggle(bv_membership_t *membership, const entry_t *entry)
{
    if (membership_is_present(entry)) {
        membership->buckets[entry->bucket] ^= digest_of(entry);
    }
}

uint32_t
membership_spread_count(const bv_membership_t *membership)
{
    uint32_t count = SPREAD_FACTOR;
    for (guint size = membership->order->len; size > 1; size /= 2) {
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
    if (entry->spread_left > 0) {
        entry->spread_left--;
    }
}

/* The receiver's own record first, if it must refute it. */
static void
add_receiver(const bv_membership_t *membership, const bv_member_t *to,
             bv_gossip_packet_t *packet)
{
    entry_t *entry = g_hash_table_lookup(membership->entries, to->name);
    if (entry != NULL && (entry->member.state == BV_MEMBER_SUSPECT ||
                          entry->member.state == BV_MEMBER_DEAD)) {
        add_record(packet, entry);
    }
}

static void
insert_news(entry_t **news, uint32_t *count, entry_t *entry)
{
    uint32_t place = *count;
    while (place > 0 && news[place - 1]->spread_left < entry->spread_left) {
        place--;
    }
    if (place == BV_GOSSIP_RECORDS_LIMIT) {
        return;
    }
    uint32_t moved = MIN(*count, BV_GOSSIP_RECORDS_LIMIT - 1) - place;
    memmove(&news[place + 1], &news[place], moved * sizeof(*news));
    news[place] = entry;
    *count = MIN(*count + 1, BV_GOSSIP_RECORDS_LIMIT);
}

/* The least spread news first. */
static void
add_news(const bv_membership_t *membership, bv_gossip_packet_t *packet)
{
    entry_t *news[BV_GOSSIP_RECORDS_LIMIT + 1];
    uint32_t count = 0;
    for (guint i = 0; i < membership->order->len; i++) {
        entry_t *entry = membership->order->pdata[i];
        if (entry->spread_left > 0) {
            insert_news(news, &count, entry);
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        add_record(packet, news[i]);
    }
}

static void
add_fillers(bv_membership_t *membership, bv_gossip_packet_t *packet)
{
    guint size = membership->order->len;
    for (uint32_t i = 0; i < FILLERS && size > 0; i++) {
        membership->next_filler = (membership->next_filler + 1) % size;
        entry_t *entry = membership->order->pdata[membership->next_filler];
        if (membership_is_present(entry)) {
            add_record(packet, entry);
        }
    }
}

static void
hand_over(bv_membership_t *membership, const bv_member_t *to,
          bv_gossip_packet_t *packet)
{
    const bv_membership_options_t *options = &membership->options;
    packet->number = ++membership->number;
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
    add_receiver(membership, to, &packet);
    add_news(membership, &packet);
    add_fillers(membership, &packet);
    hand_over(membership, to, &packet);
}

/* Gone members go along: the other side may hold them as alive. */
bool
membership_sync(bv_membership_t *membership, int64_t now_us,
                const bv_member_t *to, uint32_t bucket)
{
    if (now_us < membership->next_sync_us) {
        return false;
    }
    membership->next_sync_us = now_us + membership->options.probe_interval_us;
    bv_gossip_packet_t packet = {.kind = BV_GOSSIP_SYNC, .bucket = bucket};
    uint32_t packets = 0;
    for (guint i = 0; i < membership->order->len; i++) {
        entry_t *entry = membership->order->pdata[i];
        if (entry->bucket != bucket || packets == SYNC_PACKETS) {
            continue;
        }
        packet.records[packet.record_count++] = entry->member;
        if (packet.record_count == BV_GOSSIP_RECORDS_LIMIT) {
            hand_over(membership, to, &packet);
            packet.record_count = 0;
            packets++;
        }
    }
    if (packet.record_count > 0 || packets == 0) {
        hand_over(membership, to, &packet);
    }
    return true;
}
