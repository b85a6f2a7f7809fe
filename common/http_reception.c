#include "http_reception.h"

/* As for all header lines. */
#define TRAILER_LIMIT_BYTES BV_RESPONSE_HEAD_LIMIT_BYTES
#define TOO_LARGE "answer exceeds a size limit"

/* Returns false, by which libcurl ends the transfer. */
static bool
fail(http_reception_t *reception, const char *error)
{
    reception->error = error;
    return false;
}

static bool
hold(http_reception_t *reception, size_t size)
{
    if (!bv_response_share_add(reception->share, reception->held_bytes,
                               size)) {
        return fail(reception, TOO_LARGE);
    }
    reception->held_bytes += size;
    return true;
}

static bool
append_body(http_reception_t *reception, const char *data, size_t size)
{
    if (reception->body->len + size > reception->request->answer_limit_bytes) {
        return fail(reception, TOO_LARGE);
    }
    if (!hold(reception, size)) {
        return false;
    }
    g_byte_array_append(reception->body, (const guint8 *)data, (guint)size);
    return true;
}

static bool
append_chunks(http_reception_t *reception, const char *data, size_t size)
{
    bv_chunked_t *chunked = &reception->chunked;
    size_t position = 0;
    while (position < size && chunked->state < BV_CHUNK_END) {
        const char *piece;
        size_t piece_size;
        position += bv_chunked_read(chunked, data + position, size - position,
                                    &piece, &piece_size);
        if (!append_body(reception, piece, piece_size)) {
            return false;
        }
    }
    return chunked->error == NULL || fail(reception, chunked->error);
}

static size_t
receive_body(char *data, size_t size, size_t count, void *context)
{
    http_reception_t *reception = context;
    size_t length = size * count;
    bool is_valid = reception->head.framing.encodings > 0
                        ? append_chunks(reception, data, length)
                        : append_body(reception, data, length);
    return is_valid ? length : 0;
}

/* Whether another request was sent on the connection before. */
static bool
is_on_kept_connection(const http_reception_t *reception)
{
    long connects = 0;
    curl_easy_getinfo(reception->easy, CURLINFO_NUM_CONNECTS, &connects);
    return connects == 0;
}

static bool
receive_head(http_reception_t *reception, const char *data, size_t size)
{
    bv_response_head_t *head = &reception->head;
    bv_response_head_read(head, data, size);
    if (!hold(reception, size)) {
        return false;
    }
    if (head->error != NULL) {
        return fail(reception, head->error);
    }
    return !head->is_complete ||
           bv_response_head_is_identified(head,
                                          is_on_kept_connection(reception)) ||
           fail(reception, "answer does not name its request");
}

/*
 * Takes a line of a head as it was received. Trailers are ignored: they must
 * not change the meaning of an answer.
 */
static size_t
receive_header(char *data, size_t size, size_t count, void *context)
{
    http_reception_t *reception = context;
    size_t length = size * count;
    bool is_valid =
        reception->head.is_complete || receive_head(reception, data, length);
    return is_valid ? length : 0;
}

static void
set_callbacks(http_reception_t *reception)
{
    CURL *easy = reception->easy;
    /* Bodies come undecoded, so that their chunks can be checked. */
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, reception);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, reception);
}

void
http_reception_init(http_reception_t *reception, bv_response_share_t *share,
                    const bv_http_request_t *request, CURL *easy)
{
    bv_response_head_options_t head = {
        .echo_name = request->echo_name,
        .echo_value = request->echo_value,
    };
    bv_chunked_options_t chunked = {
        .extension_limit_bytes = request->answer_limit_bytes,
        .trailer_limit_bytes = TRAILER_LIMIT_BYTES,
    };
    *reception =
        (http_reception_t){.share = share, .request = request, .easy = easy};
    bv_response_head_init(&reception->head, &head);
    bv_chunked_init(&reception->chunked, &chunked);
    reception->body = g_byte_array_new();
    share->responses++;
    set_callbacks(reception);
}

/* libcurl does not wait for the LF of the last line. */
static bool
are_chunks_complete(const bv_chunked_t *chunked)
{
    return chunked->state == BV_CHUNK_END ||
           (chunked->state == BV_CHUNK_TRAILERS &&
            chunked->trailers.state == BV_FIELD_LAST_LF);
}

bool
http_reception_check_end(http_reception_t *reception)
{
    /* libcurl also takes a head that its connection cut off as whole. */
    if (!reception->head.is_complete) {
        return fail(reception, "connection closed within the head");
    }
    bool has_chunks =
        reception->head.framing.encodings > 0 && reception->chunked.has_digit;
    if (has_chunks && !are_chunks_complete(&reception->chunked)) {
        return fail(reception, "connection closed within the chunks");
    }
    return true;
}

GBytes *
http_reception_take_body(http_reception_t *reception)
{
    reception->share->received_bytes -= reception->held_bytes;
    reception->share->responses--;
    return g_byte_array_free_to_bytes(reception->body);
}

void
http_reception_clear(http_reception_t *reception)
{
    bv_response_head_clear(&reception->head);
}
