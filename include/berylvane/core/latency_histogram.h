#ifndef BERYLVANE_CORE_LATENCY_HISTOGRAM_H
#define BERYLVANE_CORE_LATENCY_HISTOGRAM_H

#include "berylvane/core/types.h"

/*
 * latency_histogram - recent latencies of one route
 *
 * Buckets are spaced logarithmically. All counts are halved each time that
 * their total reaches a limit, so that older latencies weigh less. A zeroed
 * structure is an empty histogram.
 */
#define BV_LATENCY_BUCKETS 96

typedef struct {
    uint32_t counts[BV_LATENCY_BUCKETS];
    uint32_t total;
} bv_latency_histogram_t;

void bv_latency_histogram_add(bv_latency_histogram_t *histogram,
                              int64_t latency_us);

/*
 * Returns the latency that a share (0 to 1) of the calls does not exceed,
 * rounded up to a bucket's end; 0 if the histogram is empty.
 */
int64_t
bv_latency_histogram_percentile_us(const bv_latency_histogram_t *histogram,
                                   double share);

#endif
