#ifndef BERYLVANE_CORE_LANES_H
#define BERYLVANE_CORE_LANES_H

#include "berylvane/core/types.h"

/*
 * lanes - classifies work as short or long, and bounds the slots of long work
 *
 * The cost of each route's work is measured. A route is long if its work costs
 * many times as much as that of the cheapest route; until enough samples are
 * available, a configured hint decides. Long work has a share of the slots,
 * and may exceed the share only by slots that short work has not needed
 * recently.
 */
typedef struct bv_lanes bv_lanes_t;

typedef enum {
    BV_LANE_SHORT,
    BV_LANE_LONG,
    BV_LANE_END,
} bv_lane_t;

bv_lanes_t *bv_lanes_create(void);
void bv_lanes_destroy(bv_lanes_t *lanes);

/*
 * Records the cost of work that has run. `latency_us` is its total latency, of
 * which `own_us` was spent outside of calls to other services.
 */
void bv_lanes_record_cost(bv_lanes_t *lanes, int64_t now_us,
                          uint32_t route_hash, int64_t latency_us,
                          int64_t own_us);

/*
 * Returns the lane of a route's work. `is_long_hint` decides while there are
 * too few samples.
 */
bv_lane_t bv_lanes_classify(bv_lanes_t *lanes, uint32_t route_hash,
                            bool is_long_hint);

/*
 * Returns the typical latency of a route, or 0 if it is unknown. The value
 * decays without new samples: otherwise work that is refused because the route
 * was slow would never be tried again.
 */
int64_t bv_lanes_typical_latency_us(const bv_lanes_t *lanes, int64_t now_us,
                                    uint32_t route_hash);

/* Records that work of a lane has taken a slot, or has released its slot. */
void bv_lanes_record_start(bv_lanes_t *lanes, int64_t now_us, bv_lane_t lane);
void bv_lanes_record_end(bv_lanes_t *lanes, bv_lane_t lane);

/* Number of slots that work of a lane holds. */
uint32_t bv_lanes_running(const bv_lanes_t *lanes, bv_lane_t lane);

typedef struct {
    /* Number of pieces of work that may hold a slot at once. */
    uint32_t limit;
    /* Share of the limit that long work may always use. */
    uint32_t long_share_percent;
    /* Number of pieces of short work in the queue. */
    uint32_t short_waiting;
} bv_lanes_limits_t;

/* Whether work of a lane may take a slot now. */
bool bv_lanes_may_start(const bv_lanes_t *lanes, int64_t now_us,
                        bv_lane_t lane, const bv_lanes_limits_t *limits);

#endif
