#include "berylvane/core/outlier.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weights of a new sample in the moving means. */
#define SLOWNESS_WEIGHT 0.25
#define FAILURE_RATE_WEIGHT 0.05
/* Upper limit of a ratio in the moving mean. */
#define RATIO_LIMIT 20.0
/* A call is slow from EJECT_SLOWNESS times the siblings' median slowness; a
 * probe succeeds below RETURN_RATIO times. */
#define EJECT_SLOWNESS 3.0
#define RETURN_RATIO 2.0
#define EJECT_SLOW_CALLS 5
#define EJECT_FAILURES 5
#define EJECT_US 2000000
/* Limit on how often the time of an ejection doubles. */
#define EJECT_DOUBLINGS 4
#define HALF_LIFE_US 3000000.0

void
bv_outlier_reset(bv_outlier_t *outlier)
{
    memset(outlier, 0, sizeof(*outlier));
    outlier->slowness = 1;
}

static void
eject(bv_outlier_t *outlier, int64_t now_us)
{
    uint32_t doublings = MIN(outlier->consecutive_ejections, EJECT_DOUBLINGS);
    outlier->ejected_until_us = now_us + ((int64_t)EJECT_US << doublings);
    outlier->consecutive_ejections++;
    outlier->is_probing = true;
    outlier->consecutive_failures = 0;
    outlier->consecutive_slow_calls = 0;
}

static bool
end_probe(bv_outlier_t *outlier, int64_t now_us,
          const bv_outlier_sample_t *sample)
{
    if (sample->failed || sample->latency_ratio >=
                              RETURN_RATIO * sample->median_sibling_slowness) {
        eject(outlier, now_us);
        return true;
    }
    bv_outlier_reset(outlier);
    return false;
}

double
bv_outlier_failure_rate(const bv_outlier_t *outlier, int64_t now_us)
{
    double half_lives =
        (double)(now_us - outlier->failure_rate_updated_us) / HALF_LIFE_US;
    return outlier->failure_rate * exp2(-half_lives);
}

static void
update_failure_rate(bv_outlier_t *outlier, int64_t now_us, bool failed)
{
    double failure_rate = bv_outlier_failure_rate(outlier, now_us);
    outlier->failure_rate =
        failure_rate + (failed - failure_rate) * FAILURE_RATE_WEIGHT;
    outlier->failure_rate_updated_us = now_us;
}

static void
record_result(bv_outlier_t *outlier, int64_t now_us,
              const bv_outlier_sample_t *sample)
{
    update_failure_rate(outlier, now_us, sample->failed);
    outlier->consecutive_failures =
        sample->failed ? outlier->consecutive_failures + 1 : 0;
    if (sample->failed) {
        return;
    }
    double slowness = bv_outlier_slowness(outlier, now_us);
    double ratio = MIN(sample->latency_ratio, RATIO_LIMIT);
    outlier->slowness = slowness + (ratio - slowness) * SLOWNESS_WEIGHT;
    outlier->slowness_updated_us = now_us;
    bool is_slow = sample->latency_ratio >=
                   EJECT_SLOWNESS * sample->median_sibling_slowness;
    outlier->consecutive_slow_calls =
        is_slow ? outlier->consecutive_slow_calls + 1 : 0;
}

bool
bv_outlier_record_sample(bv_outlier_t *outlier, int64_t now_us,
                         const bv_outlier_sample_t *sample)
{
    if (bv_outlier_is_ejected(outlier, now_us)) {
        return false;
    }
    if (outlier->is_probing) {
        return end_probe(outlier, now_us, sample);
    }
    record_result(outlier, now_us, sample);
    bool is_straggler = outlier->consecutive_slow_calls >= EJECT_SLOW_CALLS;
    bool is_failing = outlier->consecutive_failures >= EJECT_FAILURES;
    if (!sample->may_eject || (!is_straggler && !is_failing)) {
        return false;
    }
    eject(outlier, now_us);
    return true;
}

bool
bv_outlier_is_ejected(const bv_outlier_t *outlier, int64_t now_us)
{
    return now_us < outlier->ejected_until_us;
}

double
bv_outlier_slowness(const bv_outlier_t *outlier, int64_t now_us)
{
    double half_lives =
        (double)(now_us - outlier->slowness_updated_us) / HALF_LIFE_US;
    return 1 + (outlier->slowness - 1) * exp2(-half_lives);
}

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return a < b ? -1 : a > b;
}

double
bv_outlier_median(double *values, size_t count)
{
    qsort(values, count, sizeof(values[0]), compare_doubles);
    return values[count / 2];
}
