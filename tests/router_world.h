#ifndef TESTS_ROUTER_WORLD_H
#define TESTS_ROUTER_WORLD_H

#include "berylvane/core/router.h"

/*
 * router_world - a caller in data centre m1, and members called member-N in
 * m1, m2 (the same region) and n1
 */
bv_router_t *router_world_create(GRand *random);

bv_member_t router_world_member(uint32_t number, uint32_t service,
                                uint32_t centre);

/* The number of a picked member below 10. */
uint32_t router_world_member_number(const bv_picked_t *picked);

#endif
