#ifndef BERYLVANE_CORE_BACKPRESSURE_H
#define BERYLVANE_CORE_BACKPRESSURE_H

#include "berylvane/core/types.h"

/*
 * backpressure - overload of downstream services, as answers report it
 *
 * The table keeps, for each route, the least threshold and the least wait that
 * recent answers reported. The least values are used because the router can
 * avoid a single overloaded member; calls are to be refused upstream only when
 * all members are overloaded. Reports decay with time, so that calls are
 * admitted again when no answers arrive.
 */
typedef struct bv_backpressure_table bv_backpressure_table_t;

/* Overload of one service: least admitted priority and queueing delay. */
typedef struct {
    uint16_t threshold;
    int64_t wait_us;
} bv_backpressure_t;

bv_backpressure_table_t *bv_backpressure_table_create(void);
void bv_backpressure_table_destroy(bv_backpressure_table_t *table);

/* Records the report of an answer to a call on a route. */
void bv_backpressure_table_report(bv_backpressure_table_t *table,
                                  int64_t now_us, uint32_t route_hash,
                                  const bv_backpressure_t *report);

/* Returns the backpressure of a route; all 0 without recent reports. */
bv_backpressure_t
bv_backpressure_table_get(const bv_backpressure_table_t *table, int64_t now_us,
                          uint32_t route_hash);

/*
 * Returns what a node reports upstream: the larger of its local and its
 * downstream values. The downstream threshold is lowered a little, so that a
 * cycle of calls cannot keep it up indefinitely.
 */
bv_backpressure_t
bv_backpressure_propagate(const bv_backpressure_t *local,
                          const bv_backpressure_t *downstream);

/*
 * Whether to send a call that has `remaining_us` until its deadline. `reason`
 * is BV_REASON_NONE if the downstream services would admit the call, otherwise
 * the cause of the refusal. A small share of the calls that would be refused
 * is sent nevertheless, as probes.
 */
bool bv_backpressure_table_should_send(const bv_backpressure_table_t *table,
                                       int64_t now_us, uint32_t route_hash,
                                       uint16_t priority, int64_t remaining_us,
                                       GRand *random, bv_reason_t *reason);

#endif
