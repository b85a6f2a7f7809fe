#ifndef BERYLVANE_CORE_RETRY_AFTER_H
#define BERYLVANE_CORE_RETRY_AFTER_H

#include "berylvane/core/types.h"

/*
 * retry_after - time after which a refused caller should retry
 */
typedef struct {
    /* Estimated queueing delay of the caller's work where it was refused. */
    int64_t wait_us;
    /* Time until the caller's deadline. */
    int64_t remaining_us;
} bv_retry_after_input_t;

/*
 * Returns the time after which capacity is expected. The time is randomized so
 * that callers which were refused together do not retry together, and short
 * enough that the caller can still be served before its deadline.
 */
int64_t bv_retry_after_us(const bv_retry_after_input_t *input, GRand *random);

#endif
