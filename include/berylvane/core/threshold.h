#ifndef BERYLVANE_CORE_THRESHOLD_H
#define BERYLVANE_CORE_THRESHOLD_H

#include "berylvane/core/types.h"

/*
 * threshold - least priority admitted, moved by the queueing delay
 *
 * Each window, the threshold rises when work waited longer than the target
 * and falls when it waited less. Classes that nobody offers are passed over,
 * so that a rise takes effect at once.
 */
typedef struct {
    double level;
    int64_t window_started_us;
    int64_t wait_sum_us;
    uint32_t wait_count;
    int64_t last_offered_us[BV_CLASS_CRITICAL + 1];
} bv_threshold_t;

typedef struct {
    int64_t target_wait_us;
    /* Wait to expect of the work that is queued now. */
    int64_t expected_wait_us;
    /* Whether a slot is free. */
    bool has_free_slot;
    /* Whether critical work may be refused. */
    bool may_refuse_critical;
} bv_threshold_input_t;

/* Work of this priority was offered. */
void bv_threshold_record_offer(bv_threshold_t *threshold, int64_t now_us,
                               uint16_t priority);

/* Work started or was dropped after `waited_us` in the queue. */
void bv_threshold_record_wait(bv_threshold_t *threshold, int64_t waited_us);

/* Moves the threshold when a window is over. */
void bv_threshold_update(bv_threshold_t *threshold, int64_t now_us,
                         const bv_threshold_input_t *input);

uint16_t bv_threshold_level(const bv_threshold_t *threshold);

#endif
