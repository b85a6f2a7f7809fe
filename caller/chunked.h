#ifndef BERYLVANE_CALLER_CHUNKED_H
#define BERYLVANE_CALLER_CHUNKED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * chunked - decodes a body in chunked transfer coding (RFC 9112, section 7.1)
 *
 * Lines must end with CR LF, sizes are hexadecimal digits alone. Extensions
 * and trailers are read and dropped.
 */
typedef enum {
    BV_CHUNK_SIZE,
    BV_CHUNK_EXTENSION,
    BV_CHUNK_SIZE_LF,
    BV_CHUNK_DATA,
    BV_CHUNK_DATA_CR,
    BV_CHUNK_DATA_LF,
    BV_CHUNK_TRAILER_START,
    BV_CHUNK_TRAILER,
    BV_CHUNK_TRAILER_LF,
    BV_CHUNK_LAST_LF,
    BV_CHUNK_END,
    BV_CHUNK_MALFORMED,
} bv_chunk_state_t;

typedef struct {
    bv_chunk_state_t state;
    /* Bytes of the chunk that are to come. */
    uint64_t size;
    uint32_t digits;
    /* Bytes of extensions and trailers. */
    uint32_t dropped_bytes;
} bv_chunked_t;

void bv_chunked_init(bv_chunked_t *chunked);

/*
 * Reads bytes up to the end of a piece of the body or of the whole body, and
 * returns how many. Sets `*piece` and `*piece_size` to the piece, which is
 * part of `data`; its size may be 0.
 */
size_t bv_chunked_read(bv_chunked_t *chunked, const char *data, size_t size,
                       const char **piece, size_t *piece_size);

#endif
