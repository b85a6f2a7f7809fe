#ifndef BERYLVANE_CORE_QUOTA_WINDOW_H
#define BERYLVANE_CORE_QUOTA_WINDOW_H

#include <stdint.h>

/*
 * quota_window - how many permits were lent in the last window
 *
 * Handles a burst that a token bucket of a large capacity would let through on
 * top of a window that is used up. Time is divided into slots; a permit counts
 * until the whole slot in which it was lent is older than the window.
 */
#define BV_QUOTA_WINDOW_SLOTS 56

typedef struct {
    int64_t slot_us;
    int64_t newest_slot;
    uint64_t total;
    uint32_t counts[BV_QUOTA_WINDOW_SLOTS];
} bv_quota_window_t;

/* Initializes an empty window of `length_us`, at least one slot long. */
void bv_quota_window_init(bv_quota_window_t *window, int64_t length_us);

void bv_quota_window_add(bv_quota_window_t *window, int64_t now_us,
                         uint32_t permits);

/* Returns the permits that were lent in the window that ends now. */
uint64_t bv_quota_window_count(bv_quota_window_t *window, int64_t now_us);

/*
 * Returns the time until the next permits leave the window; 0 if it has none.
 */
int64_t bv_quota_window_wait_us(bv_quota_window_t *window, int64_t now_us);

#endif
