#ifndef BERYLVANE_CORE_LATENCY_HISTOGRAM_H
#define BERYLVANE_CORE_LATENCY_HISTOGRAM_H

#include "berylvane/core/types.h"

/*
 * latency - recent latencies of one route in a histogram that fades
 */
#define BV_LATENCY_BUCKETS 96

typedef struct {
    uint32_t counts[BV_LATENCY_BUCKETS];
    uint32_t total;
} bv_latency_histogram_t;

void bv_latency_histogram_add(bv_latency_histogram_t *latency,
                              int64_t latency_us);

/* The value that `share` of the latencies do not exceed; 0 when empty. */
int64_t
bv_latency_histogram_percentile_us(const bv_latency_histogram_t *latency,
                                   double share);

#endif
