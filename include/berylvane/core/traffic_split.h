#ifndef BERYLVANE_CORE_TRAFFIC_SPLIT_H
#define BERYLVANE_CORE_TRAFFIC_SPLIT_H

#include "berylvane/core/config.h"

/*
 * parts - divides a route's calls among its services by weight
 *
 * After any number of calls each service is within a call or two of its share.
 * Each node starts at a random place, so that few calls at each of many nodes
 * are divided by the weights too.
 */
typedef struct bv_traffic_split bv_traffic_split_t;

bv_traffic_split_t *bv_traffic_split_create(GRand *random);
void bv_traffic_split_destroy(bv_traffic_split_t *parts);

/* The service of the next call on a route. */
const char *bv_traffic_split_choose(bv_traffic_split_t *parts,
                                    const bv_route_t *route);

#endif
