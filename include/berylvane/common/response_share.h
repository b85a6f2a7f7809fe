#ifndef BERYLVANE_COMMON_RESPONSE_SHARE_H
#define BERYLVANE_COMMON_RESPONSE_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * response_share - the memory that the unfinished responses of one client
 * share
 */
typedef struct {
    /* Limit of all responses together; 0 for none. */
    size_t limit_bytes;
    size_t received_bytes;
    uint32_t responses;
} bv_response_share_t;

/*
 * Adds bytes to a response that holds `held_bytes` of the share. Returns
 * false, and adds nothing, if that exceeds the limit and the response takes
 * more than an equal part of it.
 */
bool bv_response_share_add(bv_response_share_t *share, size_t held_bytes,
                           size_t added_bytes);

#endif
