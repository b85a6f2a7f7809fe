#ifndef CORE_QUOTA_FLOOR_H
#define CORE_QUOTA_FLOOR_H

#include "berylvane/core/quota.h"

/*
 * quota_floor - requests of one account that a node admits without its lessor
 *
 * Handles a lessor that does not answer. All nodes together may use half of
 * the overage that the bounds allow, in equal shares.
 */
typedef struct {
    /* Of int64_t: times of the requests in the last window. */
    GQueue uses;
} quota_floor_t;

void quota_floor_init(quota_floor_t *floor);
void quota_floor_clear(quota_floor_t *floor);

/*
 * Returns whether one more request may be admitted, and counts it: at most one
 * share in any window. A share of less than one request admits nothing,
 * because all nodes would round it up. `members` is the number of members
 * among which the floor is divided, at least 2; 0 for no floor.
 */
bool quota_floor_take(quota_floor_t *floor, int64_t now_us,
                      const bv_quota_limit_t *limit,
                      const bv_quota_bounds_t *bounds, uint32_t members);

#endif
