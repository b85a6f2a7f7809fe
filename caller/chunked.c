#include "chunked.h"

#include <glib.h>

/* Digits of the largest size of a chunk. */
#define DIGITS_LIMIT 8
#define DROPPED_LIMIT_BYTES 8192
#define HEXADECIMAL_BASE 16

void
bv_chunked_init(bv_chunked_t *chunked)
{
    *chunked = (bv_chunked_t){.state = BV_CHUNK_SIZE};
}

static bv_chunk_state_t
read_size(bv_chunked_t *chunked, char c)
{
    int digit = g_ascii_xdigit_value(c);
    if (digit >= 0 && chunked->digits < DIGITS_LIMIT) {
        chunked->size = chunked->size * HEXADECIMAL_BASE + (uint64_t)digit;
        chunked->digits++;
        return BV_CHUNK_SIZE;
    }
    if (chunked->digits == 0) {
        return BV_CHUNK_MALFORMED;
    }
    if (c == '\r') {
        return BV_CHUNK_SIZE_LF;
    }
    return c == ';' ? BV_CHUNK_EXTENSION : BV_CHUNK_MALFORMED;
}

/* Reads a byte that is dropped, up to a CR, which leads to `after_cr`. */
static bv_chunk_state_t
drop(bv_chunked_t *chunked, char c, bv_chunk_state_t after_cr)
{
    bv_chunk_state_t same =
        after_cr == BV_CHUNK_SIZE_LF ? BV_CHUNK_EXTENSION : BV_CHUNK_TRAILER;
    chunked->dropped_bytes++;
    if (c == '\r') {
        return after_cr;
    }
    bool is_allowed = c != '\n' && c != '\0' &&
                      chunked->dropped_bytes <= DROPPED_LIMIT_BYTES;
    return is_allowed ? same : BV_CHUNK_MALFORMED;
}

static bv_chunk_state_t
expect(char c, char expected, bv_chunk_state_t next)
{
    return c == expected ? next : BV_CHUNK_MALFORMED;
}

static bv_chunk_state_t
read_framing(bv_chunked_t *chunked, char c)
{
    switch (chunked->state) {
    case BV_CHUNK_SIZE:
        return read_size(chunked, c);
    case BV_CHUNK_EXTENSION:
        return drop(chunked, c, BV_CHUNK_SIZE_LF);
    case BV_CHUNK_SIZE_LF:
        return expect(c, '\n',
                      chunked->size > 0 ? BV_CHUNK_DATA
                                        : BV_CHUNK_TRAILER_START);
    case BV_CHUNK_DATA_CR:
        return expect(c, '\r', BV_CHUNK_DATA_LF);
    case BV_CHUNK_DATA_LF:
        chunked->digits = 0;
        return expect(c, '\n', BV_CHUNK_SIZE);
    case BV_CHUNK_TRAILER_START:
        return c == '\r' ? BV_CHUNK_LAST_LF
                         : drop(chunked, c, BV_CHUNK_TRAILER_LF);
    case BV_CHUNK_TRAILER:
        return drop(chunked, c, BV_CHUNK_TRAILER_LF);
    case BV_CHUNK_TRAILER_LF:
        return expect(c, '\n', BV_CHUNK_TRAILER_START);
    case BV_CHUNK_LAST_LF:
        return expect(c, '\n', BV_CHUNK_END);
    case BV_CHUNK_DATA:
    case BV_CHUNK_END:
    case BV_CHUNK_MALFORMED:
        break;
    }
    return chunked->state;
}

size_t
bv_chunked_read(bv_chunked_t *chunked, const char *data, size_t size,
                const char **piece, size_t *piece_size)
{
    size_t position = 0;
    *piece = data;
    *piece_size = 0;
    while (position < size && chunked->state < BV_CHUNK_END) {
        if (chunked->state == BV_CHUNK_DATA) {
            *piece = data + position;
            *piece_size = MIN(size - position, chunked->size);
            chunked->size -= *piece_size;
            if (chunked->size == 0) {
                chunked->state = BV_CHUNK_DATA_CR;
            }
            return position + *piece_size;
        }
        chunked->state = read_framing(chunked, data[position]);
        position++;
    }
    return position;
}
