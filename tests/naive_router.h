#ifndef TESTS_NAIVE_ROUTER_H
#define TESTS_NAIVE_ROUTER_H

#include "berylvane/core/router.h"

/*
 * naive_router - the members that a call may go to, by walking all of them
 */
typedef struct naive_router naive_router_t;

naive_router_t *naive_router_create(void);
void naive_router_destroy(naive_router_t *router);
void naive_router_update(naive_router_t *router, const bv_member_t *member);

/* Members that could serve the pick; all tiers. */
uint32_t naive_router_count_candidates(const naive_router_t *router,
                                       const bv_pick_request_t *pick);

/* Whether the member called `name` is among them. */
bool naive_router_is_candidate(const naive_router_t *router,
                               const bv_pick_request_t *pick,
                               const char *name);

#endif
