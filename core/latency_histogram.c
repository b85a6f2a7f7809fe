#include "berylvane/core/latency_histogram.h"

#include <math.h>

/* Four buckets for each doubling. */
#define BUCKETS_EACH 4
#define TOTAL_LIMIT 1024

static uint32_t
bucket_of(int64_t latency_us)
{
    double place = log2((double)MAX(1, latency_us)) * BUCKETS_EACH;
    return MIN((uint32_t)place, BV_LATENCY_BUCKETS - 1);
}

static void
halve(bv_latency_histogram_t *latency)
{
    latency->total = 0;
    for (int i = 0; i < BV_LATENCY_BUCKETS; i++) {
        latency->counts[i] /= 2;
        latency->total += latency->counts[i];
    }
}

void
bv_latency_histogram_add(bv_latency_histogram_t *latency, int64_t latency_us)
{
    latency->counts[bucket_of(latency_us)]++;
    latency->total++;
    if (latency->total >= TOTAL_LIMIT) {
        halve(latency);
    }
}

int64_t
bv_latency_histogram_percentile_us(const bv_latency_histogram_t *latency,
                                   double share)
{
    double left = share * latency->total;
    for (int i = 0; i < BV_LATENCY_BUCKETS; i++) {
        left -= latency->counts[i];
        if (left <= 0 && latency->counts[i] > 0) {
            return (int64_t)exp2((double)(i + 1) / BUCKETS_EACH);
        }
    }
    return 0;
}
