#ifndef TESTS_ROUTER_FIXTURE_H
#define TESTS_ROUTER_FIXTURE_H

#include "berylvane/core/router.h"

/*
 * router_fixture - fixtures for tests of the router: a calling node in data
 * centre m1, and members named member-N in m1, m2 (the same region) or n1
 */

/* Creates the caller's router, which uses `random` but does not own it. */
bv_router_t *router_fixture_create(GRand *random);

/* The same with placement in the given mode. */
bv_router_t *router_fixture_create_placing(GRand *random,
                                           bv_placement_mode_t placement);

/*
 * Returns the record of an alive member. `service` is the number in the
 * service's name; `centre` is 0 for m1, 1 for m2 and 2 for n1.
 */
bv_member_t router_fixture_member(uint32_t number, uint32_t service,
                                  uint32_t centre);

/* Returns the number in a picked member's name; it must be below 10. */
uint32_t router_fixture_member_number(const bv_picked_t *picked);

#endif
