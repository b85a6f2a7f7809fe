#ifndef BERYLVANE_COMMON_CHUNKED_H
#define BERYLVANE_COMMON_CHUNKED_H

#include "berylvane/common/chunk_extension.h"
#include "berylvane/common/field_lines.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * chunked - decodes a body in chunked transfer coding (RFC 9112, section 7.1)
 *
 * Lines must end with CR LF, sizes are hexadecimal digits alone. Extensions
 * and trailers are checked and dropped.
 */
typedef enum {
    BV_CHUNK_SIZE,
    BV_CHUNK_EXTENSION,
    BV_CHUNK_SIZE_LF,
    BV_CHUNK_DATA,
    BV_CHUNK_DATA_CR,
    BV_CHUNK_DATA_LF,
    BV_CHUNK_TRAILERS,
    BV_CHUNK_END,
    BV_CHUNK_MALFORMED,
} bv_chunk_state_t;

typedef struct {
    /* Most bytes of extensions and of zeros that lead a size, in all. */
    uint64_t extension_limit_bytes;
    /* Most bytes of trailers. */
    uint64_t trailer_limit_bytes;
} bv_chunked_options_t;

typedef struct {
    bv_chunked_options_t options;
    bv_chunk_state_t state;
    /* Bytes of the chunk that are to come. */
    uint64_t size;
    /* Digits of the size that count, and whether there is any digit. */
    uint32_t digits;
    bool has_digit;
    bv_chunk_extension_t extension;
    bv_field_lines_t trailers;
    uint64_t extension_bytes;
    uint64_t trailer_bytes;
    /* Why the body is malformed; NULL if it isn't. */
    const char *error;
} bv_chunked_t;

void bv_chunked_init(bv_chunked_t *chunked,
                     const bv_chunked_options_t *options);

/*
 * Reads bytes up to the end of a piece of the body or of the whole body, and
 * returns how many. Sets `*piece` and `*piece_size` to the piece, which is
 * part of `data`; its size may be 0.
 */
size_t bv_chunked_read(bv_chunked_t *chunked, const char *data, size_t size,
                       const char **piece, size_t *piece_size);

#endif
