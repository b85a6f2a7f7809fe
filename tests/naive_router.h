#ifndef TESTS_NAIVE_ROUTER_H
#define TESTS_NAIVE_ROUTER_H

#include "berylvane/core/router.h"

/*
 * naive_router - reference model of bv_router_t: finds the members that may
 * serve a call by searching all members
 */
typedef struct naive_router naive_router_t;

naive_router_t *naive_router_create(void);
void naive_router_destroy(naive_router_t *router);
void naive_router_update(naive_router_t *router, const bv_member_t *member);

/* Returns the number of members, in all tiers, that may serve the request. */
uint32_t naive_router_count_candidates(const naive_router_t *router,
                                       const bv_pick_request_t *request);

/* Whether the member `name` may serve the request. */
bool naive_router_is_candidate(const naive_router_t *router,
                               const bv_pick_request_t *request,
                               const char *name);

#endif
