#include "berylvane/common/clock.h"

#include <apr_time.h>
#include <time.h>

static int64_t
read_clock_us(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return now.tv_sec * BV_US_PER_S + now.tv_nsec / 1000;
}

int64_t
bv_clock_now_us(void)
{
    return read_clock_us(CLOCK_MONOTONIC);
}

int64_t
bv_clock_boot_us(void)
{
    return read_clock_us(CLOCK_BOOTTIME);
}

int64_t
bv_clock_wall_us(void)
{
    return apr_time_now();
}
