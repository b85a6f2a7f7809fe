#include "berylvane/core/retry_after.h"

/* Even without a wait the way back takes about this long. */
#define LEAST_US 100000
/* Of the time left, the part after which coming back is of use. */
#define REMAINING_DIVISOR 3

int64_t
bv_retry_after_us(const bv_retry_after_input_t *input, GRand *random)
{
    int64_t least_us = MAX(input->wait_us, LEAST_US);
    int64_t most_us = MAX(input->remaining_us / REMAINING_DIVISOR, LEAST_US);
    double spread = 1 + g_rand_double(random);
    return MIN((int64_t)((double)least_us * spread), most_us);
}
