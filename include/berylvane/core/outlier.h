#ifndef BERYLVANE_CORE_OUTLIER_H
#define BERYLVANE_CORE_OUTLIER_H

#include "berylvane/core/types.h"

/*
 * outlier - detects a member that is much worse than its siblings
 *
 * Each latency is divided by the mean of its route, and the ratios of a member
 * are compared with those of its siblings. A member that stays far slower, or
 * fails several calls in a row, is ejected for some time. It is then probed
 * with one call at a time. Each consecutive ejection lasts twice as long as
 * the previous one.
 */
typedef struct {
    /* Moving mean of the latency ratios. */
    double slowness;
    /* Moving mean of the failures, from 0 to 1. */
    double failure_rate;
    int64_t failure_rate_updated_us;
    uint32_t consecutive_slow_calls;
    uint32_t consecutive_failures;
    uint32_t consecutive_ejections;
    int64_t slowness_updated_us;
    int64_t ejected_until_us;
    /* True from an ejection until a successful probe. */
    bool is_probing;
} bv_outlier_t;

typedef struct {
    /* Latency divided by the route's mean; not used for a failure. */
    double latency_ratio;
    double median_sibling_slowness;
    bool failed;
    /* Whether the limit on ejected members allows one more. */
    bool may_eject;
} bv_outlier_sample_t;

/* Sets the initial state; must be called before any other function. */
void bv_outlier_reset(bv_outlier_t *outlier);

/* Records the result of a call; returns true if this ejects the member. */
bool bv_outlier_record_sample(bv_outlier_t *outlier, int64_t now_us,
                              const bv_outlier_sample_t *sample);

bool bv_outlier_is_ejected(const bv_outlier_t *outlier, int64_t now_us);

/*
 * Returns the recent share of work that failed or that the target itself
 * refused. It decays with time.
 */
double bv_outlier_failure_rate(const bv_outlier_t *outlier, int64_t now_us);

/*
 * Returns the expected latency as a multiple of the route's mean. It decays
 * towards 1 with time, so that a member that was slow is tried again.
 */
double bv_outlier_slowness(const bv_outlier_t *outlier, int64_t now_us);

/* Returns the median of at least one value, or the upper of two medians; sorts
 * the values in place. */
double bv_outlier_median(double *values, size_t count);

#endif
