#ifndef BERYLVANE_CORE_TRAFFIC_SPLIT_H
#define BERYLVANE_CORE_TRAFFIC_SPLIT_H

#include "berylvane/core/config.h"

/*
 * traffic_split - divides a route's calls among its services by weight
 *
 * After any number of calls, each service has received its share of them to
 * within two calls. Each node starts at a random position, so that the shares
 * also hold in sum when many nodes make a few calls each.
 */
typedef struct bv_traffic_split bv_traffic_split_t;

/* `random` must outlive the split. */
bv_traffic_split_t *bv_traffic_split_create(GRand *random);
void bv_traffic_split_destroy(bv_traffic_split_t *split);

/*
 * Returns the service that the next call on `route` goes to. The name belongs
 * to the route.
 */
const char *bv_traffic_split_choose(bv_traffic_split_t *split,
                                    const bv_route_t *route);

#endif
