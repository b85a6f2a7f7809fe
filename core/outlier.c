#include "berylvane/core/outlier.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define WEIGHT 0.25
#define FAILING_WEIGHT 0.05
#define RATIO_LIMIT 20.0
#define EJECT_SLOWNESS 3.0
#define RETURN_RATIO 2.0
#define EJECT_SLOW_CALLS 5
#define EJECT_FAILURES 5
#define EJECT_US 2000000
#define EJECT_DOUBLINGS 4
#define FADE_HALF_LIFE_US 3000000.0

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
    double age = (double)(now_us - outlier->failure_rate_updated_us) /
                 FADE_HALF_LIFE_US;
    return outlier->failure_rate * exp2(-age);
}

static void
judge(bv_outlier_t *outlier, int64_t now_us, bool failed)
{
    double failing = bv_outlier_failure_rate(outlier, now_us);
    outlier->failure_rate = failing + (failed - failing) * FAILING_WEIGHT;
    outlier->failure_rate_updated_us = now_us;
}

static void
learn(bv_outlier_t *outlier, int64_t now_us, const bv_outlier_sample_t *sample)
{
    judge(outlier, now_us, sample->failed);
    outlier->consecutive_failures =
        sample->failed ? outlier->consecutive_failures + 1 : 0;
    if (sample->failed) {
        return;
    }
    double slowness = bv_outlier_slowness(outlier, now_us);
    double ratio = MIN(sample->latency_ratio, RATIO_LIMIT);
    outlier->slowness = slowness + (ratio - slowness) * WEIGHT;
    outlier->slowness_updated_us = now_us;
    bool slow = sample->latency_ratio >=
                EJECT_SLOWNESS * sample->median_sibling_slowness;
    outlier->consecutive_slow_calls =
        slow ? outlier->consecutive_slow_calls + 1 : 0;
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
    learn(outlier, now_us, sample);
    bool straggles = outlier->consecutive_slow_calls >= EJECT_SLOW_CALLS;
    bool fails = outlier->consecutive_failures >= EJECT_FAILURES;
    if (!sample->may_eject || (!straggles && !fails)) {
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
    double age =
        (double)(now_us - outlier->slowness_updated_us) / FADE_HALF_LIFE_US;
    return 1 + (outlier->slowness - 1) * exp2(-age);
}

static int
compare(const void *left, const void *right)
{
    double a = *(const double *)left;
    double b = *(const double *)right;
    return a < b ? -1 : a > b;
}

double
bv_outlier_median(double *values, size_t count)
{
    qsort(values, count, sizeof(values[0]), compare);
    return values[count / 2];
}
