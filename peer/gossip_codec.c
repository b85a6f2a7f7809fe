#include "berylvane/peer/message.h"
#include "berylvane/peer/pack.h"

#include <string.h>

/* The fields of a record but its departures, which come last. */
#define RECORD_FIELD_COUNT 12
#define DEPARTURE_FIELD_COUNT 3
#define PACKET_FIELD_COUNT 11

static void
pack_departures(msgpack_packer *packer, const bv_departures_t *departures)
{
    for (uint32_t i = 0; i < bv_departures_count(departures); i++) {
        const bv_departure_t *departure = &departures->items[i];
        msgpack_pack_uint64(packer, departure->instance_digest);
        msgpack_pack_uint64(packer, departure->start_ms);
        msgpack_pack_uint64(packer, departure->sequence);
    }
}

/* Reads what follows the other fields; earlier versions send nothing there. */
static void
unpack_departures(bv_unpack_t *record, bv_departures_t *departures)
{
    for (uint32_t i = 0;
         i < BV_DEPARTURES_KEPT && record->next < record->array->size; i++) {
        bv_departure_t departure;
        departure.instance_digest = bv_unpack_number(record, UINT64_MAX);
        departure.start_ms = bv_unpack_number(record, UINT64_MAX);
        departure.sequence = bv_unpack_number(record, UINT64_MAX);
        bv_departures_add(departures, &departure);
    }
}

static void
pack_record(msgpack_packer *packer, const bv_member_t *member)
{
    uint32_t departures = bv_departures_count(&member->departures);
    msgpack_pack_array(packer, RECORD_FIELD_COUNT +
                                   DEPARTURE_FIELD_COUNT * departures);
    bv_pack_text(packer, member->name);
    bv_pack_text(packer, member->service);
    bv_pack_text(packer, member->data_centre);
    bv_pack_text(packer, member->region);
    bv_pack_text(packer, member->address);
    msgpack_pack_uint64(packer, member->peer_port);
    msgpack_pack_uint64(packer, member->gossip_port);
    msgpack_pack_uint64(packer, member->incarnation);
    msgpack_pack_uint64(packer, member->version);
    msgpack_pack_uint64(packer, member->slots);
    msgpack_pack_uint64(packer, member->state);
    msgpack_pack_uint64(packer, member->generation);
    pack_departures(packer, &member->departures);
}

static void
unpack_record(bv_unpack_t *unpack, bv_member_t *member)
{
    bv_unpack_t record = bv_unpack_array(unpack);
    memset(member, 0, sizeof(*member));
    bv_unpack_name(&record, member->name, BV_NAME_BYTES);
    bv_unpack_name(&record, member->service, BV_SERVICE_BYTES);
    bv_unpack_name(&record, member->data_centre, BV_NAME_BYTES);
    bv_unpack_name(&record, member->region, BV_NAME_BYTES);
    bv_unpack_name(&record, member->address, BV_ADDRESS_BYTES);
    member->peer_port = (uint16_t)bv_unpack_number(&record, UINT16_MAX);
    member->gossip_port = (uint16_t)bv_unpack_number(&record, UINT16_MAX);
    member->incarnation = bv_unpack_number(&record, UINT64_MAX);
    member->version = (uint32_t)bv_unpack_number(&record, UINT32_MAX);
    member->slots = (uint32_t)bv_unpack_number(&record, UINT32_MAX);
    member->state =
        (bv_member_state_t)bv_unpack_number(&record, BV_MEMBER_DEAD);
    member->generation = bv_unpack_number(&record, UINT64_MAX);
    if (!record.has_failed) {
        unpack_departures(&record, &member->departures);
    }
    unpack->has_failed |= record.has_failed || member->name[0] == '\0';
}

/*
 * Encodes the packet with its first `record_count` records. Returns its size;
 * `out` is not written if the size exceeds BV_GOSSIP_BYTES.
 */
static size_t
encode_records(const bv_member_t *from, const bv_gossip_packet_t *packet,
               uint32_t record_count, uint8_t out[BV_GOSSIP_BYTES])
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, PACKET_FIELD_COUNT);
    msgpack_pack_uint64(&packer, BV_GOSSIP_MAGIC);
    msgpack_pack_uint64(&packer, packet->kind);
    msgpack_pack_uint64(&packer, packet->number);
    msgpack_pack_uint64(&packer, packet->sequence);
    msgpack_pack_uint64(&packer, packet->generation);
    msgpack_pack_uint64(&packer, packet->config_digest);
    bv_pack_text(&packer, packet->probe_target);
    msgpack_pack_uint64(&packer, packet->bucket);
    msgpack_pack_uint64(&packer, packet->bucket_digest);
    pack_record(&packer, from);
    msgpack_pack_array(&packer, record_count);
    for (uint32_t i = 0; i < record_count; i++) {
        pack_record(&packer, &packet->records[i]);
    }
    size_t size = buffer.size;
    if (size <= BV_GOSSIP_BYTES) {
        memcpy(out, buffer.data, size);
    }
    msgpack_sbuffer_destroy(&buffer);
    return size;
}

size_t
bv_gossip_encode(const bv_member_t *from, const bv_gossip_packet_t *packet,
                 uint8_t out[BV_GOSSIP_BYTES])
{
    uint32_t record_count = packet->record_count;
    for (;;) {
        size_t size = encode_records(from, packet, record_count, out);
        if (size <= BV_GOSSIP_BYTES) {
            return size;
        }
        record_count--;
    }
}

static bool
unpack_packet(const msgpack_object *root, bv_member_t *from,
              bv_gossip_packet_t *packet)
{
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size != PACKET_FIELD_COUNT) {
        return false;
    }
    bv_unpack_t unpack = {.array = &root->via.array};
    if (bv_unpack_number(&unpack, UINT64_MAX) != BV_GOSSIP_MAGIC) {
        return false;
    }
    packet->kind = (bv_gossip_kind_t)bv_unpack_number(&unpack, BV_GOSSIP_SYNC);
    packet->number = bv_unpack_number(&unpack, UINT64_MAX);
    packet->sequence = bv_unpack_number(&unpack, UINT64_MAX);
    packet->generation = bv_unpack_number(&unpack, UINT64_MAX);
    packet->config_digest = bv_unpack_number(&unpack, UINT64_MAX);
    bv_unpack_name(&unpack, packet->probe_target, BV_NAME_BYTES);
    packet->bucket =
        (uint32_t)bv_unpack_number(&unpack, BV_GOSSIP_BUCKETS - 1);
    packet->bucket_digest = bv_unpack_number(&unpack, UINT64_MAX);
    unpack_record(&unpack, from);
    bv_unpack_t records = bv_unpack_array(&unpack);
    if (records.has_failed || records.array->size > BV_GOSSIP_RECORDS_LIMIT) {
        return false;
    }
    packet->record_count = records.array->size;
    for (uint32_t i = 0; i < packet->record_count; i++) {
        unpack_record(&records, &packet->records[i]);
    }
    return !unpack.has_failed && !records.has_failed;
}

bool
bv_gossip_decode(const void *data, size_t size, bv_member_t *from,
                 bv_gossip_packet_t *packet)
{
    memset(packet, 0, sizeof(*packet));
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    bool is_valid = bv_pack_is_bounded(data, size) &&
                    msgpack_unpack_next(&unpacked, data, size, &offset) ==
                        MSGPACK_UNPACK_SUCCESS &&
                    offset == size &&
                    unpack_packet(&unpacked.data, from, packet);
    msgpack_unpacked_destroy(&unpacked);
    return is_valid;
}
