#ifndef BERYLVANE_CORE_LIMITER_H
#define BERYLVANE_CORE_LIMITER_H

#include "berylvane/core/types.h"

/*
 * limiter - adaptive limit on the work that the target runs at once
 *
 * In each window of time, the latency of each route is compared with the
 * route's baseline. A latency well above the baseline starts a trial with a
 * lower limit. If the trial makes the target faster, the limit stays lower.
 * Otherwise concurrency is not the cause: the limit is restored and the higher
 * latency becomes the new baseline. Only this node's own measurements are
 * used, and the limit never exceeds the slots that the target declares.
 */
typedef struct bv_limiter bv_limiter_t;

bv_limiter_t *bv_limiter_create(uint32_t slots);
void bv_limiter_destroy(bv_limiter_t *limiter);

/*
 * Sets the declared slots. A change from 0 slots is a cold start, in which the
 * limit starts low and grows quickly.
 */
void bv_limiter_set_slots(bv_limiter_t *limiter, uint32_t slots);

/*
 * Records the latency of work that ran from `started_us` to `now_us`.
 * `latency_us` excludes the time spent in calls to other services. `running`
 * is the number of pieces of work that ran at once, including this one.
 */
void bv_limiter_record_latency(bv_limiter_t *limiter, int64_t now_us,
                               int64_t started_us, uint32_t route_hash,
                               int64_t latency_us, uint32_t running);

/*
 * Returns the number of pieces of work that may run at once: from 1 to the
 * number of slots, or 0 without slots.
 */
uint32_t bv_limiter_limit(const bv_limiter_t *limiter);

#endif
