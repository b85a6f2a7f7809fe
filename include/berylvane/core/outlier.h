#ifndef BERYLVANE_CORE_OUTLIER_H
#define BERYLVANE_CORE_OUTLIER_H

#include "berylvane/core/types.h"

/*
 * outlier - tells a straggler from its siblings
 *
 * Each latency is taken as a ratio to the mean of its route, and the ratios of
 * a member are compared with those of its siblings. A member that stays far
 * slower, or whose answers fail one after another, is ejected for a while,
 * then probed with one call at a time. Each ejection in a row lasts twice as
 * long as the one before.
 */
typedef struct {
    double slowness;
    /* Share of failures, and when it was last moved. */
    double failure_rate;
    int64_t failure_rate_updated_us;
    /* In a row. */
    uint32_t consecutive_slow_calls;
    uint32_t consecutive_failures;
    uint32_t consecutive_ejections;
    int64_t slowness_updated_us;
    int64_t ejected_until_us;
    /* Between the end of an ejection and the verdict of its probe. */
    bool is_probing;
} bv_outlier_t;

typedef struct {
    /* Latency over the route's mean; not used for a failure. */
    double latency_ratio;
    /* Median slowness of the siblings. */
    double median_sibling_slowness;
    bool failed;
    /* Whether the bound on the share of ejected members leaves room. */
    bool may_eject;
} bv_outlier_sample_t;

void bv_outlier_reset(bv_outlier_t *outlier);

/* Takes a call's result; true when the member is ejected by it. */
bool bv_outlier_record_sample(bv_outlier_t *outlier, int64_t now_us,
                              const bv_outlier_sample_t *sample);

bool bv_outlier_is_ejected(const bv_outlier_t *outlier, int64_t now_us);

/*
 * Latency to expect over the route's mean. It fades with time, so that a
 * member that was slow is tried again.
 */
/* Recent share of work that failed or that the target itself refused. */
double bv_outlier_failure_rate(const bv_outlier_t *outlier, int64_t now_us);

double bv_outlier_slowness(const bv_outlier_t *outlier, int64_t now_us);

/* The median of at least one value; sorts them. */
double bv_outlier_median(double *values, size_t count);

#endif
