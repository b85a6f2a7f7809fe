#include "berylvane/peer/message.h"

#include "berylvane/common/response_head.h"
#include "berylvane/core/credit.h"
#include "berylvane/peer/pack.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Limit of remaining_us and wait_us. */
#define REMAINING_LIMIT_US (INT64_C(3600) * 1000000)

G_DEFINE_QUARK(bv - peer - error - quark, bv_peer_error)

bv_peer_message_t *
bv_peer_message_create(bv_peer_kind_t kind)
{
    bv_peer_message_t *message = g_new0(bv_peer_message_t, 1);
    message->kind = kind;
    return message;
}

void
bv_peer_message_destroy(bv_peer_message_t *message)
{
    if (message == NULL) {
        return;
    }
    g_free(message->method);
    g_free(message->host);
    g_free(message->path);
    g_free(message->headers);
    g_free(message->idempotency_key);
    g_free(message->customer);
    g_free(message->label);
    g_free(message->traceparent);
    g_clear_pointer(&message->body, g_bytes_unref);
    g_clear_pointer(&message->reply_identity, g_bytes_unref);
    g_free(message);
}

bv_peer_message_t *
bv_peer_message_copy(const bv_peer_message_t *message)
{
    bv_peer_message_t *copy = g_memdup2(message, sizeof(*message));
    copy->method = g_strdup(message->method);
    copy->host = g_strdup(message->host);
    copy->path = g_strdup(message->path);
    copy->headers = g_strdup(message->headers);
    copy->idempotency_key = g_strdup(message->idempotency_key);
    copy->customer = g_strdup(message->customer);
    copy->label = g_strdup(message->label);
    copy->traceparent = g_strdup(message->traceparent);
    copy->body = message->body != NULL ? g_bytes_ref(message->body) : NULL;
    copy->reply_identity = message->reply_identity != NULL
                               ? g_bytes_ref(message->reply_identity)
                               : NULL;
    return copy;
}

static uint64_t
digest_text(const char *text, uint64_t seed)
{
    const char *non_null = text != NULL ? text : "";
    return XXH3_64bits_withSeed(non_null, strlen(non_null), seed);
}

/*
 * Returns the reason that peers are told. A node of an earlier version rejects
 * a message with a number that it does not know; all of them know queue_full,
 * by which the work has not run and the target counts as reachable.
 */
static bv_reason_t
told_reason(bv_reason_t reason)
{
    return reason == BV_REASON_DESCRIPTORS ? BV_REASON_QUEUE_FULL : reason;
}

uint64_t
bv_peer_message_digest(const bv_peer_message_t *message)
{
    uint64_t numbers[] = {message->kind,
                          message->attempt,
                          message->credit,
                          message->outcome,
                          told_reason(message->reason),
                          message->status};
    gsize size = 0;
    const void *body =
        message->body != NULL ? g_bytes_get_data(message->body, &size) : NULL;
    uint64_t digest = XXH3_64bits(numbers, sizeof(numbers));
    digest =
        XXH3_64bits_withSeed(message->request_id.bytes, BV_ID_BYTES, digest);
    digest = digest_text(message->method, digest);
    digest = digest_text(message->host, digest);
    digest = digest_text(message->path, digest);
    digest = digest_text(message->headers, digest);
    digest = digest_text(message->idempotency_key, digest);
    digest = XXH3_64bits_withSeed(&size, sizeof(size), digest);
    return XXH3_64bits_withSeed(body, size, digest);
}

const char *
bv_peer_message_check_answer(const bv_peer_message_t *message)
{
    bool has_answer = message->outcome == BV_OUTCOME_RAN &&
                      message->reason == BV_REASON_NONE;
    return has_answer
               ? bv_response_head_check(message->status, message->headers)
               : NULL;
}

static void
pack_header(msgpack_packer *packer, const bv_peer_message_t *message)
{
    msgpack_pack_uint64(packer, BV_PEER_VERSION);
    msgpack_pack_uint64(packer, message->kind);
    bv_pack_text(packer, message->from);
    msgpack_pack_uint64(packer, message->from_incarnation);
    msgpack_pack_uint64(packer, message->to_incarnation);
    msgpack_pack_uint64(packer, message->session);
    msgpack_pack_uint64(packer, message->attempt);
}

static void
pack_boolean(msgpack_packer *packer, bool value)
{
    if (value) {
        msgpack_pack_true(packer);
        return;
    }
    msgpack_pack_false(packer);
}

static void
pack_call(msgpack_packer *packer, const bv_peer_message_t *message)
{
    bv_pack_binary(packer, message->request_id.bytes, BV_ID_BYTES);
    msgpack_pack_uint64(packer, message->priority);
    pack_boolean(packer, message->is_long_running);
    pack_boolean(packer, message->is_idempotent);
    pack_boolean(packer, message->bypasses_admission);
    pack_boolean(packer, message->is_retry);
    msgpack_pack_uint64(packer, message->credit);
    msgpack_pack_uint64(packer, (uint64_t)MAX(message->remaining_us, 0));
    bv_pack_text(packer, message->method);
    bv_pack_text(packer, message->host);
    bv_pack_text(packer, message->path);
    bv_pack_text(packer, message->headers);
    bv_pack_text(packer, message->idempotency_key);
    bv_pack_text(packer, message->customer);
    bv_pack_text(packer, message->label);
    bv_pack_text(packer, message->traceparent);
}

static void
pack_answer(msgpack_packer *packer, const bv_peer_message_t *message)
{
    msgpack_pack_uint64(packer, message->outcome);
    msgpack_pack_uint64(packer, told_reason(message->reason));
    msgpack_pack_uint64(packer, message->status);
    msgpack_pack_uint64(packer, message->threshold);
    msgpack_pack_uint64(packer, (uint64_t)MAX(message->wait_us, 0));
    msgpack_pack_uint64(packer, message->served_state);
    msgpack_pack_uint64(packer, message->generation);
    msgpack_pack_uint64(packer, message->digest);
}

#define HEADER_FIELD_COUNT 7
#define CALL_FIELD_COUNT 16
#define ANSWER_FIELD_COUNT 8
/* Fields of a capacity report, which follow the others. */
#define CAPACITY_FIELD_COUNT 4
#define MESSAGE_FIELD_COUNT                                                   \
    (HEADER_FIELD_COUNT + CALL_FIELD_COUNT + ANSWER_FIELD_COUNT + 1)

static void
pack_capacity(msgpack_packer *packer, const bv_peer_message_t *message)
{
    const bv_capacity_report_t *capacity = &message->capacity;
    msgpack_pack_uint64(packer, capacity->load);
    msgpack_pack_uint64(packer, capacity->usable);
    msgpack_pack_uint64(
        packer, (uint64_t)CLAMP(capacity->service_us, 0, REMAINING_LIMIT_US));
    msgpack_pack_uint64(
        packer, (uint64_t)CLAMP(message->served_us, 0, REMAINING_LIMIT_US));
}

/*
 * Makes room for a message with a large body. The library would otherwise
 * double its buffer up to nearly twice the size of the message.
 */
static void
reserve(msgpack_sbuffer *buffer, const bv_peer_message_t *message)
{
    size_t body_bytes =
        message->body != NULL ? g_bytes_get_size(message->body) : 0;
    size_t needed_bytes = body_bytes + MSGPACK_SBUFFER_INIT_SIZE;
    char *data = body_bytes > 0 ? malloc(needed_bytes) : NULL;
    if (data != NULL) {
        buffer->data = data;
        buffer->alloc = needed_bytes;
    }
}

GBytes *
bv_peer_message_encode(const bv_peer_message_t *message)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;
    msgpack_sbuffer_init(&buffer);
    reserve(&buffer, message);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer,
                       message->has_capacity
                           ? MESSAGE_FIELD_COUNT + CAPACITY_FIELD_COUNT
                           : MESSAGE_FIELD_COUNT);
    pack_header(&packer, message);
    pack_call(&packer, message);
    pack_answer(&packer, message);
    if (message->body == NULL) {
        msgpack_pack_nil(&packer);
    }
    else {
        gsize size;
        const void *data = g_bytes_get_data(message->body, &size);
        bv_pack_binary(&packer, data, size);
    }
    if (message->has_capacity) {
        pack_capacity(&packer, message);
    }
    return bv_pack_take_bytes(&buffer);
}

static void
unpack_header(bv_unpack_t *unpack, bv_peer_message_t *message)
{
    message->kind =
        (bv_peer_kind_t)bv_unpack_number(unpack, BV_PEER_KIND_END - 1);
    bv_unpack_name(unpack, message->from, BV_NAME_BYTES);
    message->from_incarnation = bv_unpack_number(unpack, UINT64_MAX);
    message->to_incarnation = bv_unpack_number(unpack, UINT64_MAX);
    message->session = bv_unpack_number(unpack, UINT64_MAX);
    message->attempt = bv_unpack_number(unpack, UINT64_MAX);
}

static void
unpack_call(bv_unpack_t *unpack, bv_peer_message_t *message)
{
    bv_unpack_exact(unpack, message->request_id.bytes, BV_ID_BYTES);
    message->priority =
        (uint16_t)bv_unpack_number(unpack, BV_PRIORITY_LIMIT - 1);
    message->is_long_running = bv_unpack_boolean(unpack);
    message->is_idempotent = bv_unpack_boolean(unpack);
    message->bypasses_admission = bv_unpack_boolean(unpack);
    message->is_retry = bv_unpack_boolean(unpack);
    message->credit = (uint32_t)bv_unpack_number(unpack, BV_LOAN_LIMIT);
    message->remaining_us =
        (int64_t)bv_unpack_number(unpack, REMAINING_LIMIT_US);
    message->method = bv_unpack_text(unpack, BV_PEER_TEXT_LIMIT_BYTES);
    message->host = bv_unpack_text(unpack, BV_PEER_TEXT_LIMIT_BYTES);
    message->path = bv_unpack_text(unpack, BV_PEER_PATH_LIMIT_BYTES);
    message->headers = bv_unpack_text(unpack, BV_PEER_HEADERS_LIMIT_BYTES);
    message->idempotency_key =
        bv_unpack_text(unpack, BV_PEER_TEXT_LIMIT_BYTES);
    message->customer = bv_unpack_text(unpack, BV_PEER_TEXT_LIMIT_BYTES);
    message->label = bv_unpack_text(unpack, BV_PEER_TEXT_LIMIT_BYTES);
    message->traceparent = bv_unpack_text(unpack, BV_PEER_TEXT_LIMIT_BYTES);
}

static void
unpack_answer(bv_unpack_t *unpack, bv_peer_message_t *message)
{
    message->outcome =
        (bv_outcome_t)bv_unpack_number(unpack, BV_OUTCOME_UNKNOWN);
    message->reason = (bv_reason_t)bv_unpack_number(unpack, BV_REASON_END - 1);
    message->status = (uint16_t)bv_unpack_number(unpack, 999);
    message->threshold = (uint16_t)bv_unpack_number(unpack, BV_PRIORITY_LIMIT);
    message->wait_us = (int64_t)bv_unpack_number(unpack, REMAINING_LIMIT_US);
    message->served_state =
        (bv_served_state_t)bv_unpack_number(unpack, BV_SERVED_FORGOTTEN);
    message->generation = bv_unpack_number(unpack, UINT64_MAX);
    message->digest = bv_unpack_number(unpack, UINT64_MAX);
}

static void
unpack_capacity(bv_unpack_t *unpack, bv_peer_message_t *message)
{
    bv_capacity_report_t *capacity = &message->capacity;
    capacity->load = (uint32_t)bv_unpack_number(unpack, UINT32_MAX);
    capacity->usable = (uint32_t)bv_unpack_number(unpack, UINT32_MAX);
    capacity->service_us =
        (int64_t)bv_unpack_number(unpack, REMAINING_LIMIT_US);
    message->served_us = (int64_t)bv_unpack_number(unpack, REMAINING_LIMIT_US);
}

static bv_peer_message_t *
unpack_message(const msgpack_object *root, GBytes *frame, GError **error)
{
    if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0) {
        g_set_error(error, BV_PEER_ERROR, BV_PEER_ERROR_INVALID,
                    "the message is not a MessagePack array");
        return NULL;
    }
    bv_unpack_t unpack = {.array = &root->via.array, .frame = frame};
    uint64_t version = bv_unpack_number(&unpack, UINT64_MAX);
    if (unpack.has_failed || version != BV_PEER_VERSION) {
        g_set_error(error, BV_PEER_ERROR, BV_PEER_ERROR_VERSION,
                    "the version of the message is not supported");
        return NULL;
    }
    bv_peer_message_t *message = bv_peer_message_create(0);
    unpack_header(&unpack, message);
    unpack_call(&unpack, message);
    unpack_answer(&unpack, message);
    message->body = bv_unpack_bytes(&unpack, BV_PEER_BODY_LIMIT_BYTES);
    uint32_t field_count = MESSAGE_FIELD_COUNT;
    if (message->kind == BV_PEER_ANSWER &&
        root->via.array.size > MESSAGE_FIELD_COUNT) {
        field_count += CAPACITY_FIELD_COUNT;
        message->has_capacity = true;
        unpack_capacity(&unpack, message);
    }
    if (unpack.has_failed || message->kind == 0 || message->from[0] == '\0' ||
        root->via.array.size != field_count) {
        g_set_error(error, BV_PEER_ERROR, BV_PEER_ERROR_INVALID,
                    "field %u is invalid or the field count is wrong",
                    unpack.next);
        bv_peer_message_destroy(message);
        return NULL;
    }
    return message;
}

static bv_peer_message_t *
decode(const void *data, size_t size, GBytes *frame, GError **error)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    bv_peer_message_t *message = NULL;
    if (bv_pack_is_bounded(data, size) &&
        msgpack_unpack_next(&unpacked, data, size, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        offset == size) {
        message = unpack_message(&unpacked.data, frame, error);
    }
    else {
        g_set_error(error, BV_PEER_ERROR, BV_PEER_ERROR_INVALID,
                    "the message is not one complete MessagePack value");
    }
    msgpack_unpacked_destroy(&unpacked);
    return message;
}

bv_peer_message_t *
bv_peer_message_decode(const void *data, size_t size, GError **error)
{
    return decode(data, size, NULL, error);
}

bv_peer_message_t *
bv_peer_message_decode_frame(GBytes *frame, GError **error)
{
    gsize size;
    const void *data = g_bytes_get_data(frame, &size);
    return decode(data, size, frame, error);
}
