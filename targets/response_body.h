#ifndef BERYLVANE_TARGETS_RESPONSE_BODY_H
#define BERYLVANE_TARGETS_RESPONSE_BODY_H

#include "berylvane/common/chunked.h"
#include "berylvane/common/response_share.h"

#include <glib.h>

/*
 * response_body - the body of a response while it is received
 *
 * A body ends where its length or its last chunk says, or, if it has neither,
 * where the connection ends.
 */

typedef enum {
    BV_BODY_OF_LENGTH,
    BV_BODY_IN_CHUNKS,
    BV_BODY_UNTIL_CLOSE,
} bv_body_framing_t;

typedef struct {
    bv_response_share_t *share;
    /* What the response holds of the share: its head and its body. */
    size_t held_bytes;
    /* A longer body is broken. */
    size_t limit_bytes;
    bv_body_framing_t framing;
    /* Bytes that are to come of a body of a stated length. */
    uint64_t left_bytes;
    bv_chunked_t chunked;
    /* NULL once the body was taken. */
    GByteArray *bytes;
    bool is_complete;
    /* Why the body is broken; NULL if it isn't. */
    const char *error;
} bv_response_body_t;

void bv_response_body_init(bv_response_body_t *body,
                           bv_response_share_t *share, size_t limit_bytes);
void bv_response_body_clear(bv_response_body_t *body);

/* Counts bytes of the response's head. */
void bv_response_body_add_head(bv_response_body_t *body, size_t head_bytes);

/* Sets the framing; `length_bytes` is that of a body of a stated length. */
void bv_response_body_start(bv_response_body_t *body,
                            bv_body_framing_t framing, uint64_t length_bytes);

/* Reads bytes up to the end of the body, and returns how many. */
size_t bv_response_body_read(bv_response_body_t *body, const char *data,
                             size_t size);

/* Tells the body that the connection was closed in an orderly way. */
void bv_response_body_close(bv_response_body_t *body);

/* Moves the bytes to the caller, by which the response leaves the share. */
GBytes *bv_response_body_take(bv_response_body_t *body);

#endif
