#include "berylvane/peer/quota_codec.h"

#include "berylvane/peer/pack.h"

#define REQUEST_FIELD_COUNT 3
#define REPLY_FIELD_COUNT 5

static GBytes *
take_buffer(msgpack_sbuffer *buffer)
{
    return g_bytes_new_with_free_func(buffer->data, buffer->size, free,
                                      buffer->data);
}

GBytes *
bv_quota_requests_encode(const bv_quota_request_t *entries, uint32_t count)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count);
    for (uint32_t i = 0; i < count; i++) {
        msgpack_pack_array(&packer, REQUEST_FIELD_COUNT);
        bv_pack_text(&packer, entries[i].account);
        msgpack_pack_uint32(&packer, entries[i].needed);
        msgpack_pack_uint32(&packer, entries[i].wanted);
    }
    return take_buffer(&buffer);
}

GBytes *
bv_quota_replies_encode(const bv_quota_reply_t *entries, uint32_t count)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count);
    for (uint32_t i = 0; i < count; i++) {
        msgpack_pack_array(&packer, REPLY_FIELD_COUNT);
        bv_pack_text(&packer, entries[i].account);
        msgpack_pack_uint8(&packer, (uint8_t)entries[i].status);
        msgpack_pack_uint32(&packer, entries[i].granted);
        msgpack_pack_uint32(&packer, (uint32_t)entries[i].wait_us);
        msgpack_pack_uint32(&packer, (uint32_t)entries[i].retry_us);
    }
    return take_buffer(&buffer);
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

static bool
unpack_request(bv_unpack_t *list, bv_quota_request_t *request, char **name)
{
    bv_unpack_t entry = unpack_entry(list, REQUEST_FIELD_COUNT);
    *name = unpack_account(&entry);
    request->account = *name;
    request->needed =
        (uint32_t)bv_unpack_number(&entry, BV_QUOTA_PERMITS_LIMIT);
    request->wanted =
        (uint32_t)bv_unpack_number(&entry, BV_QUOTA_PERMITS_LIMIT);
    return !entry.has_failed && request->needed <= request->wanted;
}

static bool
unpack_reply(bv_unpack_t *list, bv_quota_reply_t *reply, char **name)
{
    bv_unpack_t entry = unpack_entry(list, REPLY_FIELD_COUNT);
    *name = unpack_account(&entry);
    reply->account = *name;
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

bool
bv_quota_requests_decode(GBytes *body, bv_quota_requests_t *requests)
{
    msgpack_unpacked unpacked;
    bv_unpack_t list;
    requests->count = 0;
    bool is_valid = open_list(body, &unpacked, &list);
    for (uint32_t i = 0; is_valid && i < list.array->size; i++) {
        is_valid =
            unpack_request(&list, &requests->entries[i], &requests->names[i]);
        requests->count++;
    }
    msgpack_unpacked_destroy(&unpacked);
    return is_valid;
}

bool
bv_quota_replies_decode(GBytes *body, bv_quota_replies_t *replies)
{
    msgpack_unpacked unpacked;
    bv_unpack_t list;
    replies->count = 0;
    bool is_valid = open_list(body, &unpacked, &list);
    for (uint32_t i = 0; is_valid && i < list.array->size; i++) {
        is_valid =
            unpack_reply(&list, &replies->entries[i], &replies->names[i]);
        replies->count++;
    }
    msgpack_unpacked_destroy(&unpacked);
    return is_valid;
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
