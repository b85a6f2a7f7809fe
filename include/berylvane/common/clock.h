#ifndef BERYLVANE_COMMON_CLOCK_H
#define BERYLVANE_COMMON_CLOCK_H

#include <stdint.h>

#define BV_US_PER_MS INT64_C(1000)
#define BV_US_PER_S INT64_C(1000000)

/* Returns CLOCK_MONOTONIC in microseconds; SIGSTOP does not halt the clock. */
int64_t bv_clock_now_us(void);

/* Returns CLOCK_BOOTTIME in microseconds, which counts suspension too. */
int64_t bv_clock_boot_us(void);

/*
 * Returns the wall-clock time in microseconds since 1970-01-01 UTC. Only for
 * logs and traces: the wall clock can jump.
 */
int64_t bv_clock_wall_us(void);

#endif
