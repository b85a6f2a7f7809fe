#ifndef BERYLVANE_COMMON_CHUNK_EXTENSION_H
#define BERYLVANE_COMMON_CHUNK_EXTENSION_H

#include <stdbool.h>

/*
 * chunk_extension - checks the extensions after the size of a chunk (RFC 9112,
 * section 7.1.1), byte by byte
 */
typedef enum {
    /* After the size or a value. */
    BV_EXTENSION_START,
    /* After blanks, which only a further extension may follow. */
    BV_EXTENSION_SEMICOLON,
    BV_EXTENSION_NAME_START,
    BV_EXTENSION_NAME,
    BV_EXTENSION_NAME_END,
    BV_EXTENSION_VALUE_START,
    BV_EXTENSION_TOKEN,
    BV_EXTENSION_QUOTED,
    BV_EXTENSION_ESCAPED,
    BV_EXTENSION_MALFORMED,
} bv_chunk_extension_t;

/* Returns the state after a byte that isn't the line's end. */
bv_chunk_extension_t bv_chunk_extension_read(bv_chunk_extension_t state,
                                             char c);

/* Whether the line may end. */
bool bv_chunk_extension_may_end(bv_chunk_extension_t state);

#endif
