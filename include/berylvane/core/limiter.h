#ifndef BERYLVANE_CORE_LIMITER_H
#define BERYLVANE_CORE_LIMITER_H

#include "berylvane/core/types.h"

/*
 * limiter - how much work the target may run at once
 *
 * Compares latencies of each kind of work with the kind's floor, window by
 * window. A latency well above the floor starts a trial with less work: the
 * limit stays lower when that made the target faster; otherwise concurrency
 * is not the cause, and the limit and the slower floor are accepted. Only the
 * node's own measurements count; the limit never exceeds the declared slots.
 */
typedef struct bv_limiter bv_limiter_t;

bv_limiter_t *bv_limiter_create(uint32_t slots);
void bv_limiter_destroy(bv_limiter_t *limiter);

/* Changes the declared slots; going from 0 slots is a cold start. */
void bv_limiter_set_slots(bv_limiter_t *limiter, uint32_t slots);

/*
 * Takes the latency of work that ran from `started_us` to `now_us`, less the
 * time that it spent in calls to other services. `running` is the work that
 * ran at once, itself included.
 */
void bv_limiter_record_latency(bv_limiter_t *limiter, int64_t now_us,
                               int64_t started_us, uint32_t kind,
                               int64_t latency_us, uint32_t running);

/* Work that may run at once: 1 to the slots, or 0 without slots. */
uint32_t bv_limiter_limit(const bv_limiter_t *limiter);

#endif
