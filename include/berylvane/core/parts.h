#ifndef BERYLVANE_CORE_PARTS_H
#define BERYLVANE_CORE_PARTS_H

#include "berylvane/core/config.h"

/*
 * parts - divides a route's calls among its services by weight
 *
 * After any number of calls each service is within a call or two of its share.
 * Each node starts at a random place, so that few calls at each of many nodes
 * are divided by the weights too.
 */
typedef struct bv_parts bv_parts_t;

bv_parts_t *bv_parts_create(GRand *random);
void bv_parts_destroy(bv_parts_t *parts);

/* The service of the next call on a route. */
const char *bv_parts_choose(bv_parts_t *parts, const bv_route_t *route);

#endif
