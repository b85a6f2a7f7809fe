#ifndef BERYLVANE_CORE_ROUTE_COST_H
#define BERYLVANE_CORE_ROUTE_COST_H

#include "berylvane/core/types.h"

/*
 * route_cost - slot time that a request of a route takes, as a calling node
 * measures it by its answers
 *
 * The cost is a moving mean and does not decay: it weights demand, and a route
 * that nobody calls has none.
 */
typedef struct bv_route_costs bv_route_costs_t;

bv_route_costs_t *bv_route_costs_create(void);
void bv_route_costs_destroy(bv_route_costs_t *costs);

/*
 * Records an answer of a request that has run. `latency_us` is its total
 * latency; `wait_us` is the queueing delay that the answer reports for new
 * work, an estimate of this request's own.
 */
void bv_route_costs_record(bv_route_costs_t *costs, uint32_t route_hash,
                           int64_t latency_us, int64_t wait_us);

/* Returns the cost of a route's request; 0 if it is not known. */
int64_t bv_route_costs_get(const bv_route_costs_t *costs, uint32_t route_hash);

#endif
