#ifndef BERYLVANE_CORE_RETRY_AFTER_H
#define BERYLVANE_CORE_RETRY_AFTER_H

#include "berylvane/core/types.h"

/*
 * retry_after - when a caller that was refused is to come back
 */
typedef struct {
    /* Estimated wait of such work where it was refused. */
    int64_t wait_us;
    /* Until the caller's deadline. */
    int64_t remaining_us;
} bv_retry_after_input_t;

/*
 * Time after which room is expected, spread so that those who were refused
 * together do not return together, and early enough that the caller can still
 * be served.
 */
int64_t bv_retry_after_us(const bv_retry_after_input_t *input, GRand *random);

#endif
