#include "berylvane/core/latency_histogram.h"

#include <math.h>

/* Number of buckets for each doubling of the latency. */
#define BUCKETS_PER_DOUBLING 4
#define TOTAL_LIMIT 1024

static uint32_t
bucket_of(int64_t latency_us)
{
    double position = log2((double)MAX(1, latency_us)) * BUCKETS_PER_DOUBLING;
    return MIN((uint32_t)position, BV_LATENCY_BUCKETS - 1);
}

static void
halve(bv_latency_histogram_t *histogram)
{
    histogram->total = 0;
    for (int i = 0; i < BV_LATENCY_BUCKETS; i++) {
        histogram->counts[i] /= 2;
        histogram->total += histogram->counts[i];
    }
}

void
bv_latency_histogram_add(bv_latency_histogram_t *histogram, int64_t latency_us)
{
    histogram->counts[bucket_of(latency_us)]++;
    histogram->total++;
    if (histogram->total >= TOTAL_LIMIT) {
        halve(histogram);
    }
}

int64_t
bv_latency_histogram_percentile_us(const bv_latency_histogram_t *histogram,
                                   double share)
{
    double remaining = share * histogram->total;
    for (int i = 0; i < BV_LATENCY_BUCKETS; i++) {
        remaining -= histogram->counts[i];
        if (remaining <= 0 && histogram->counts[i] > 0) {
            return (int64_t)exp2((double)(i + 1) / BUCKETS_PER_DOUBLING);
        }
    }
    return 0;
}
