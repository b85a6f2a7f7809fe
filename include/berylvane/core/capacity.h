#ifndef BERYLVANE_CORE_CAPACITY_H
#define BERYLVANE_CORE_CAPACITY_H

#include "berylvane/core/types.h"

/*
 * capacity - estimates at the node beside a target how long work takes there
 * and how much of it the target handles well
 *
 * Handles targets that differ in speed, that slow down before their slots are
 * full, and that change their speed. The node sees all work of its target, so
 * its estimate is fresher than that of any caller. It is an estimate only:
 * admission keeps its own limit.
 *
 * Latencies are compared with the mean of their route, so that a change of the
 * mix of requests is not taken for a change of the target.
 */
typedef struct bv_capacity bv_capacity_t;

/* Work that has run. */
typedef struct {
    uint32_t route_hash;
    int64_t latency_us;
    /* Part of the latency that was spent in calls to other services. */
    int64_t downstream_us;
    /* Pieces of work that ran at once, including this one: the mean of those
     * at its start and at its end. */
    uint32_t running;
    uint32_t slots;
} bv_capacity_sample_t;

/* What a node reports to callers about its target. */
typedef struct {
    /* Pieces of work that run or wait. */
    uint32_t load;
    /* Pieces of work beyond which more do not raise the throughput; 0: no
     * report. */
    uint32_t usable;
    /* Expected service time of the route's work, without waiting; 0 if it is
     * unknown. */
    int64_t service_us;
} bv_capacity_report_t;

bv_capacity_t *bv_capacity_create(void);
void bv_capacity_destroy(bv_capacity_t *capacity);

/* Forgets all samples, for another incarnation of the target. */
void bv_capacity_reset(bv_capacity_t *capacity);

void bv_capacity_record(bv_capacity_t *capacity,
                        const bv_capacity_sample_t *sample);

/* Returns the expected service time of a route's work, or 0. */
int64_t bv_capacity_service_us(const bv_capacity_t *capacity,
                               uint32_t route_hash);

/*
 * Returns the least number of pieces of work at which the throughput is near
 * its highest; `slots` while nothing shows that it is lower.
 */
uint32_t bv_capacity_usable(const bv_capacity_t *capacity, uint32_t slots);

/* Returns the recent latency as a multiple of the routes' longer means. */
double bv_capacity_slowness(const bv_capacity_t *capacity);

#endif
