#include "berylvane/common/chunked.h"

#include <glib.h>

/* Digits of the largest size of a chunk, without zeros that lead it. */
#define DIGITS_LIMIT 8
#define HEXADECIMAL_BASE 16

void
bv_chunked_init(bv_chunked_t *chunked, const bv_chunked_options_t *options)
{
    *chunked = (bv_chunked_t){.options = *options, .state = BV_CHUNK_SIZE};
    bv_field_lines_init(&chunked->trailers);
}

static bv_chunk_state_t
fail(bv_chunked_t *chunked, const char *error)
{
    chunked->error = error;
    return BV_CHUNK_MALFORMED;
}

static bv_chunk_state_t
count_extension_byte(bv_chunked_t *chunked, bv_chunk_state_t next)
{
    chunked->extension_bytes++;
    return chunked->extension_bytes <= chunked->options.extension_limit_bytes
               ? next
               : fail(chunked, "chunk extensions exceed a size limit");
}

static bv_chunk_state_t
read_extension(bv_chunked_t *chunked, char c)
{
    if (c == '\r' && bv_chunk_extension_may_end(chunked->extension)) {
        return BV_CHUNK_SIZE_LF;
    }
    chunked->extension = bv_chunk_extension_read(chunked->extension, c);
    if (chunked->extension == BV_EXTENSION_MALFORMED) {
        return fail(chunked, "malformed chunk extension");
    }
    return count_extension_byte(chunked, BV_CHUNK_EXTENSION);
}

static bv_chunk_state_t
read_size(bv_chunked_t *chunked, char c)
{
    int digit = g_ascii_xdigit_value(c);
    if (digit < 0) {
        chunked->extension = BV_EXTENSION_START;
        return chunked->has_digit ? read_extension(chunked, c)
                                  : fail(chunked, "malformed chunk size");
    }
    chunked->has_digit = true;
    if (digit == 0 && chunked->size == 0) {
        return count_extension_byte(chunked, BV_CHUNK_SIZE);
    }
    chunked->size = chunked->size * HEXADECIMAL_BASE + (uint64_t)digit;
    chunked->digits++;
    return chunked->digits <= DIGITS_LIMIT
               ? BV_CHUNK_SIZE
               : fail(chunked, "chunk size above 32 bits");
}

static bv_chunk_state_t
start_size(bv_chunked_t *chunked)
{
    chunked->digits = 0;
    chunked->has_digit = false;
    return BV_CHUNK_SIZE;
}

static bv_chunk_state_t
read_trailers(bv_chunked_t *chunked, char c)
{
    bv_field_lines_t *trailers = &chunked->trailers;
    bv_field_lines_read(trailers, &c, 1);
    chunked->trailer_bytes++;
    if (trailers->error != NULL) {
        return fail(chunked, trailers->error);
    }
    if (chunked->trailer_bytes > chunked->options.trailer_limit_bytes) {
        return fail(chunked, "trailers exceed a size limit");
    }
    return trailers->state == BV_FIELD_END ? BV_CHUNK_END : BV_CHUNK_TRAILERS;
}

static bv_chunk_state_t
read_framing(bv_chunked_t *chunked, char c)
{
    static const char no_line_end[] = "no CR LF where a chunk ends";
    switch (chunked->state) {
    case BV_CHUNK_SIZE:
        return read_size(chunked, c);
    case BV_CHUNK_EXTENSION:
        return read_extension(chunked, c);
    case BV_CHUNK_SIZE_LF:
        if (c != '\n') {
            return fail(chunked, "CR without LF after a chunk size");
        }
        return chunked->size > 0 ? BV_CHUNK_DATA : BV_CHUNK_TRAILERS;
    case BV_CHUNK_DATA_CR:
        return c == '\r' ? BV_CHUNK_DATA_LF : fail(chunked, no_line_end);
    case BV_CHUNK_DATA_LF:
        return c == '\n' ? start_size(chunked) : fail(chunked, no_line_end);
    case BV_CHUNK_TRAILERS:
        return read_trailers(chunked, c);
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
