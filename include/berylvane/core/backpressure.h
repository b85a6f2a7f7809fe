#ifndef BERYLVANE_CORE_BACKPRESSURE_H
#define BERYLVANE_CORE_BACKPRESSURE_H

#include "berylvane/core/types.h"

/*
 * pressure - what answers say of the overload below, by route
 *
 * Keeps, for each route, the least threshold and wait that recent answers
 * reported: one member over its threshold is the router's concern, all of
 * them are the entry's. Reports fade with time, so that silence admits again.
 */
typedef struct bv_pressures bv_backpressure_table_t;

typedef struct {
    uint16_t threshold;
    int64_t wait_us;
} bv_backpressure_t;

bv_backpressure_table_t *bv_backpressure_table_create(void);
void bv_backpressure_table_destroy(bv_backpressure_table_t *pressures);

/* An answer for work of this kind, a hash of the route's name. */
void bv_backpressure_table_report(bv_backpressure_table_t *pressures,
                                  int64_t now_us, uint32_t kind,
                                  const bv_backpressure_t *report);

bv_backpressure_t
bv_backpressure_table_get(const bv_backpressure_table_t *pressures,
                          int64_t now_us, uint32_t kind);

/* What a node passes on of the pressure below it: the larger of both, that
 * from below a little less so that a cycle of calls cannot keep it up. */
bv_backpressure_t bv_backpressure_propagate(const bv_backpressure_t *own,
                                            const bv_backpressure_t *below);

/*
 * Whether a call would be admitted below; otherwise fills `reason`. A few
 * calls pass all the same, to probe.
 */
bool bv_backpressure_table_admits(const bv_backpressure_table_t *pressures,
                                  int64_t now_us, uint32_t kind,
                                  uint16_t priority, int64_t remaining_us,
                                  GRand *random, bv_reason_t *reason);

#endif
