#include "berylvane/peer/quota_codec.h"

#include "berylvane/peer/pack.h"

#define REQUEST_FIELD_COUNT 4
#define REPLY_FIELD_COUNT 6

/* Appends the entry with this index of a list. */
typedef void (*pack_entry_t)(msgpack_packer *packer, const void *entries,
                             uint32_t index);

/* Reads an entry and stores it under this index of a decoded list. */
typedef bool (*unpack_entry_t)(bv_unpack_t *list, void *decoded,
                               uint32_t index);

static GBytes *
encode_list(const void *entries, uint32_t count, pack_entry_t pack)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count);
    for (uint32_t i = 0; i < count; i++) {
        pack(&packer, entries, i);
    }
    return bv_pack_take_bytes(&buffer);
}

static void
pack_request(msgpack_packer *packer, const void *entries, uint32_t index)
{
    const bv_quota_request_t *request =
        &((const bv_quota_request_t *)entries)[index];
    msgpack_pack_array(packer, REQUEST_FIELD_COUNT);
    bv_pack_text(packer, request->account);
    msgpack_pack_uint32(packer, request->part);
    msgpack_pack_uint32(packer, request->needed);
    msgpack_pack_uint32(packer, request->wanted);
}

static void
pack_reply(msgpack_packer *packer, const void *entries, uint32_t index)
{
    const bv_quota_reply_t *reply =
        &((const bv_quota_reply_t *)entries)[index];
    msgpack_pack_array(packer, REPLY_FIELD_COUNT);
    bv_pack_text(packer, reply->account);
    msgpack_pack_uint32(packer, reply->part);
    msgpack_pack_uint8(packer, (uint8_t)reply->status);
    msgpack_pack_uint32(packer, reply->granted);
    msgpack_pack_uint32(packer, (uint32_t)reply->wait_us);
    msgpack_pack_uint32(packer, (uint32_t)reply->retry_us);
}

GBytes *
bv_quota_requests_encode(const bv_quota_request_t *entries, uint32_t count)
{
    return encode_list(entries, count, pack_request);
}

GBytes *
bv_quota_replies_encode(const bv_quota_reply_t *entries, uint32_t count)
{
    return encode_list(entries, count, pack_reply);
}

/*
 * Reads the array of an entry. Returns a reader that has failed if the entry
 * is not an array of `field_count` elements.
 */
static bv_unpack_t
unpack_entry(bv_unpack_t *list, uint32_t field_count)
{
    bv_unpack_t entry = bv_unpack_array(list);
    if (entry.array->size != field_count) {
        entry.has_failed = true;
    }
    return entry;
}

static char *
unpack_account(bv_unpack_t *entry)
{
    char *name = bv_unpack_text(entry, BV_QUOTA_NAME_LIMIT_BYTES);
    if (name == NULL) {
        entry->has_failed = true;
    }
    return name;
}

static uint32_t
unpack_part(bv_unpack_t *entry)
{
    return (uint32_t)bv_unpack_number(entry, BV_QUOTA_PARTS - 1);
}

static bool
unpack_request(bv_unpack_t *list, void *decoded, uint32_t index)
{
    bv_quota_requests_t *requests = decoded;
    bv_quota_request_t *request = &requests->entries[index];
    bv_unpack_t entry = unpack_entry(list, REQUEST_FIELD_COUNT);
    requests->names[index] = unpack_account(&entry);
    request->account = requests->names[index];
    request->part = unpack_part(&entry);
    request->needed =
        (uint32_t)bv_unpack_number(&entry, BV_QUOTA_PERMITS_LIMIT);
    request->wanted =
        (uint32_t)bv_unpack_number(&entry, BV_QUOTA_PERMITS_LIMIT);
    return !entry.has_failed && request->needed <= request->wanted;
}

static bool
unpack_reply(bv_unpack_t *list, void *decoded, uint32_t index)
{
    bv_quota_replies_t *replies = decoded;
    bv_quota_reply_t *reply = &replies->entries[index];
    bv_unpack_t entry = unpack_entry(list, REPLY_FIELD_COUNT);
    replies->names[index] = unpack_account(&entry);
    reply->account = replies->names[index];
    reply->part = unpack_part(&entry);
    reply->status =
        (bv_quota_status_t)bv_unpack_number(&entry, BV_QUOTA_NOT_LESSOR);
    reply->granted =
        (uint32_t)bv_unpack_number(&entry, BV_QUOTA_PERMITS_LIMIT);
    reply->wait_us = (int64_t)bv_unpack_number(&entry, BV_QUOTA_WAIT_LIMIT_US);
    reply->retry_us =
        (int64_t)bv_unpack_number(&entry, BV_QUOTA_WAIT_LIMIT_US);
    return !entry.has_failed;
}

/* Stores the body's array. The caller destroys `unpacked` in any case. */
static bool
open_list(GBytes *body, msgpack_unpacked *unpacked, bv_unpack_t *list)
{
    gsize size = 0;
    size_t offset = 0;
    const char *data = body != NULL ? g_bytes_get_data(body, &size) : NULL;
    msgpack_unpacked_init(unpacked);
    if (size == 0 || !bv_pack_is_bounded(data, size) ||
        msgpack_unpack_next(unpacked, data, size, &offset) !=
            MSGPACK_UNPACK_SUCCESS ||
        unpacked->data.type != MSGPACK_OBJECT_ARRAY ||
        unpacked->data.via.array.size > BV_QUOTA_ENTRIES_LIMIT) {
        return false;
    }
    *list = (bv_unpack_t){.array = &unpacked->data.via.array};
    return true;
}

/*
 * Decodes a body. `count` is the number of entries that were read, including a
 * malformed one.
 */
static bool
decode_list(GBytes *body, unpack_entry_t unpack, void *decoded,
            uint32_t *count)
{
    msgpack_unpacked unpacked;
    bv_unpack_t list;
    *count = 0;
    bool is_valid = open_list(body, &unpacked, &list);
    for (uint32_t i = 0; is_valid && i < list.array->size; i++) {
        is_valid = unpack(&list, decoded, i);
        (*count)++;
    }
    msgpack_unpacked_destroy(&unpacked);
    return is_valid;
}

bool
bv_quota_requests_decode(GBytes *body, bv_quota_requests_t *requests)
{
    return decode_list(body, unpack_request, requests, &requests->count);
}

bool
bv_quota_replies_decode(GBytes *body, bv_quota_replies_t *replies)
{
    return decode_list(body, unpack_reply, replies, &replies->count);
}

static void
free_names(char **names, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        g_free(names[i]);
    }
}

void
bv_quota_requests_clear(bv_quota_requests_t *requests)
{
    free_names(requests->names, requests->count);
    requests->count = 0;
}

void
bv_quota_replies_clear(bv_quota_replies_t *replies)
{
    free_names(replies->names, replies->count);
    replies->count = 0;
}
