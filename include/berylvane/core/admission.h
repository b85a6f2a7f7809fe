#ifndef BERYLVANE_CORE_ADMISSION_H
#define BERYLVANE_CORE_ADMISSION_H

#include "berylvane/core/queue.h"

/*
 * admission - decides which work the local target runs, and when
 *
 * Work is refused by priority while the queueing delay exceeds its target;
 * critical work is refused only once nothing else is admitted. Work that can
 * no longer finish before its deadline is dropped. Short and long work wait in
 * separate lanes, and the limit on concurrent work adapts to the measured
 * latency. Work that waits while the target drains is refused, so that it can
 * run elsewhere before the target exits.
 */
typedef struct bv_admission bv_admission_t;

/*
 * Options:
 * - slots: number of pieces of work that the target declares it can run at
 * once
 * - queue_limit: number of pieces of work that may wait, in both lanes
 * together
 * - queue_target_us: queueing delay above which work is refused by priority
 * - long_share_percent: share of the limit that long work may always use
 * - has_fixed_limit: the limit is `slots`, instead of adapting to the latency
 * - is_draining: the target takes no more work; queued work is refused, and
 *   running work is finished
 */
typedef struct {
    uint32_t slots;
    uint32_t queue_limit;
    int64_t queue_target_us;
    uint32_t long_share_percent;
    bool has_fixed_limit;
    bool is_draining;
} bv_admission_options_t;

typedef enum {
    BV_WORK_RUN,
    BV_WORK_QUEUED,
    BV_WORK_REFUSED,
} bv_work_verdict_t;

/* The result of work that held a slot. */
typedef struct {
    int64_t latency_us;
    /* Part of the latency that was spent in calls to other services. */
    int64_t downstream_us;
    /* The work ran to its end, so its latency is a valid measurement. */
    bool completed;
} bv_work_result_t;

/* Creates an instance and copies the options; the caller destroys it. */
bv_admission_t *bv_admission_create(const bv_admission_options_t *options);
void bv_admission_destroy(bv_admission_t *admission);

/* Replaces the options. Running and queued work is not affected. */
void bv_admission_configure(bv_admission_t *admission,
                            const bv_admission_options_t *options);

/*
 * Offers new work and returns what becomes of it:
 * - BV_WORK_RUN: the work holds a slot and is to be started now
 * - BV_WORK_QUEUED: the work waits; bv_admission_next() may then return other
 *   work that is refused to make room for it
 * - BV_WORK_REFUSED: `reason` holds the cause
 */
bv_work_verdict_t bv_admission_offer(bv_admission_t *admission, int64_t now_us,
                                     const bv_work_t *work,
                                     bv_reason_t *reason);

/* Frees the slot of running work and records its result. */
void bv_admission_finish(bv_admission_t *admission, int64_t now_us,
                         uint64_t id, const bv_work_result_t *result);

/* Removes queued work; returns false if `id` is not queued. */
bool bv_admission_remove(bv_admission_t *admission, uint64_t id);

/*
 * Takes the next piece of work that leaves the queue and stores its id. Call
 * this function until it returns BV_WORK_QUEUED:
 * - BV_WORK_RUN: the work holds a slot and is to be started now
 * - BV_WORK_REFUSED: the work is to be refused for `reason`
 * - BV_WORK_QUEUED: no work leaves the queue now
 */
bv_work_verdict_t bv_admission_next(bv_admission_t *admission, int64_t now_us,
                                    uint64_t *id, bv_reason_t *reason);

/*
 * Returns the least priority that is admitted now on a route. `is_long` is
 * the configured hint, used while the cost of the route's work is unknown.
 */
uint16_t bv_admission_route_threshold(const bv_admission_t *admission,
                                      uint32_t route_hash, bool is_long);

/* Returns the least priority that is admitted now to the short lane. */
uint16_t bv_admission_threshold(const bv_admission_t *admission);

/* Returns the estimated queueing delay of new work on a route. */
int64_t bv_admission_route_wait_us(const bv_admission_t *admission,
                                   uint32_t route_hash, bool is_long);

/* Number of pieces of work that hold a slot. */
uint32_t bv_admission_running(const bv_admission_t *admission);

/* Number of pieces of work that wait in both lanes. */
uint32_t bv_admission_queued(const bv_admission_t *admission);

/* Number of pieces of work that may hold a slot at once. */
uint32_t bv_admission_limit(const bv_admission_t *admission);

#endif
