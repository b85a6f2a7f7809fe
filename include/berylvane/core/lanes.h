#ifndef BERYLVANE_CORE_LANES_H
#define BERYLVANE_CORE_LANES_H

#include "berylvane/core/types.h"

/*
 * lanes - tells short work from long, and bounds the slots of long work
 *
 * The cost of each kind of work is learned. A kind is long when it costs many
 * times the cheapest kind; a hint stands in until enough was learned. Long
 * work has a share of the slots and borrows beyond it only those that short
 * work has not needed lately.
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
 * Learns from work that ran: `latency_us` in all, `own_us` of it outside of
 * calls to other services.
 */
void bv_lanes_record_cost(bv_lanes_t *lanes, int64_t now_us, uint32_t kind,
                          int64_t latency_us, int64_t own_us);

bv_lane_t bv_lanes_classify(bv_lanes_t *lanes, uint32_t kind, bool hint);

/*
 * Typical latency of a kind; 0 while unknown. It fades without samples, so
 * that work is tried again after a slow spell.
 */
int64_t bv_lanes_typical_latency_us(const bv_lanes_t *lanes, int64_t now_us,
                                    uint32_t kind);

/* Work of a lane started, or ended. */
void bv_lanes_record_start(bv_lanes_t *lanes, int64_t now_us, bv_lane_t lane);
void bv_lanes_record_end(bv_lanes_t *lanes, bv_lane_t lane);

uint32_t bv_lanes_running(const bv_lanes_t *lanes, bv_lane_t lane);

typedef struct {
    uint32_t limit;
    uint32_t long_share_percent;
    /* Short work that waits now. */
    uint32_t short_waiting;
} bv_lanes_limits_t;

/* Whether work of a lane may take a slot now. */
bool bv_lanes_may_start(const bv_lanes_t *lanes, int64_t now_us,
                        bv_lane_t lane, const bv_lanes_limits_t *limits);

#endif
