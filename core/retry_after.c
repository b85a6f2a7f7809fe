#include "berylvane/core/retry_after.h"

/* Least time: about what a retry takes to arrive, even without a queueing
 * delay. */
#define RETRY_LEAST_US 100000
/* A retry later than this fraction of the time left to the deadline is
 * unlikely to be served in time. */
#define REMAINING_DIVISOR 3

int64_t
bv_retry_after_us(const bv_retry_after_input_t *input, GRand *random)
{
    int64_t least_us = MAX(input->wait_us, RETRY_LEAST_US);
    int64_t most_us =
        MAX(input->remaining_us / REMAINING_DIVISOR, RETRY_LEAST_US);
    double spread = 1 + g_rand_double(random);
    return MIN((int64_t)((double)least_us * spread), most_us);
}
