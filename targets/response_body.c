#include "response_body.h"

#include "berylvane/common/response_head.h"

/* As for all header lines. */
#define TRAILER_LIMIT_BYTES BV_RESPONSE_HEAD_LIMIT_BYTES
#define TOO_LARGE "response exceeds a size limit"

void
bv_response_body_init(bv_response_body_t *body, bv_response_share_t *share,
                      size_t limit_bytes)
{
    *body = (bv_response_body_t){
        .share = share,
        .limit_bytes = limit_bytes,
        .bytes = g_byte_array_new(),
    };
    share->responses++;
}

GBytes *
bv_response_body_take(bv_response_body_t *body)
{
    body->share->received_bytes -= body->held_bytes;
    body->held_bytes = 0;
    body->share->responses--;
    return g_byte_array_free_to_bytes(g_steal_pointer(&body->bytes));
}

void
bv_response_body_clear(bv_response_body_t *body)
{
    if (body->bytes != NULL) {
        g_bytes_unref(bv_response_body_take(body));
    }
}

void
bv_response_body_start(bv_response_body_t *body, bv_body_framing_t framing,
                       uint64_t length_bytes)
{
    /* Extensions may take as much as what they extend. */
    bv_chunked_options_t options = {
        .extension_limit_bytes = body->limit_bytes,
        .trailer_limit_bytes = TRAILER_LIMIT_BYTES,
    };
    body->framing = framing;
    body->left_bytes = length_bytes;
    body->is_complete = framing == BV_BODY_OF_LENGTH && length_bytes == 0;
    bv_chunked_init(&body->chunked, &options);
}

static bool
hold(bv_response_body_t *body, size_t size)
{
    if (!bv_response_share_add(body->share, body->held_bytes, size)) {
        body->error = TOO_LARGE;
        return false;
    }
    body->held_bytes += size;
    return true;
}

void
bv_response_body_add_head(bv_response_body_t *body, size_t head_bytes)
{
    hold(body, head_bytes);
}

static void
append(bv_response_body_t *body, const char *data, size_t size)
{
    if (body->bytes->len + size > body->limit_bytes) {
        body->error = TOO_LARGE;
        return;
    }
    if (hold(body, size)) {
        g_byte_array_append(body->bytes, (const guint8 *)data, (guint)size);
    }
}

static size_t
read_length(bv_response_body_t *body, const char *data, size_t size)
{
    size_t part = MIN(size, body->left_bytes);
    append(body, data, part);
    body->left_bytes -= part;
    body->is_complete = body->left_bytes == 0 && body->error == NULL;
    return part;
}

static size_t
read_chunks(bv_response_body_t *body, const char *data, size_t size)
{
    bv_chunked_t *chunked = &body->chunked;
    const char *piece;
    size_t piece_size;
    size_t read = bv_chunked_read(chunked, data, size, &piece, &piece_size);
    append(body, piece, piece_size);
    if (chunked->error != NULL) {
        body->error = chunked->error;
    }
    body->is_complete = chunked->state == BV_CHUNK_END && body->error == NULL;
    return read;
}

size_t
bv_response_body_read(bv_response_body_t *body, const char *data, size_t size)
{
    switch (body->framing) {
    case BV_BODY_OF_LENGTH:
        return read_length(body, data, size);
    case BV_BODY_IN_CHUNKS:
        return read_chunks(body, data, size);
    case BV_BODY_UNTIL_CLOSE:
        break;
    }
    append(body, data, size);
    return size;
}

void
bv_response_body_close(bv_response_body_t *body)
{
    body->is_complete |=
        body->framing == BV_BODY_UNTIL_CLOSE && body->error == NULL;
}
