#ifndef BERYLVANE_CORE_THRESHOLD_H
#define BERYLVANE_CORE_THRESHOLD_H

#include "berylvane/core/types.h"

/*
 * threshold - least priority that is admitted, controlled by queueing delay
 *
 * After each window of time, the threshold rises if work waited longer than
 * the target delay, and falls if it waited less. Classes of which no work is
 * offered are skipped, since moving the threshold within them has no effect.
 *
 * A zeroed structure is a valid initial state that admits everything.
 */
typedef struct {
    double level;
    int64_t window_started_us;
    /* Sum and number of the waits in this window. */
    int64_t wait_sum_us;
    uint32_t wait_count;
    /* When work of each class was last offered; 0 if never. */
    int64_t last_offered_us[BV_CLASS_CRITICAL + 1];
} bv_threshold_t;

typedef struct {
    int64_t target_wait_us;
    /* Estimated wait of the work that is queued now. */
    int64_t expected_wait_us;
    bool has_free_slot;
    bool may_refuse_critical;
} bv_threshold_input_t;

/* Records that work of a priority was offered. */
void bv_threshold_record_offer(bv_threshold_t *threshold, int64_t now_us,
                               uint16_t priority);

/* Records that work left the queue, started or dropped, after `waited_us`. */
void bv_threshold_record_wait(bv_threshold_t *threshold, int64_t waited_us);

/* Moves the threshold if the window has ended, and starts a new window. */
void bv_threshold_update(bv_threshold_t *threshold, int64_t now_us,
                         const bv_threshold_input_t *input);

/* Returns the least priority that is admitted. */
uint16_t bv_threshold_level(const bv_threshold_t *threshold);

#endif
