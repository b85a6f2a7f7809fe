#ifndef BERYLVANE_CORE_ROUTER_H
#define BERYLVANE_CORE_ROUTER_H

#include "berylvane/core/membership.h"

/*
 * router - chooses the member that serves a call
 *
 * Power of two choices over load and latency, in tiers of locality: own data
 * centre, own region, the rest. A farther tier is used when the nearer one
 * has no member, is over its threshold, or is clearly slower than the farther
 * one with its link. Of a large service, a node calls a fixed subset.
 */
typedef struct bv_router bv_router_t;

typedef struct {
    /* The calling node's own name; decides its subsets. */
    char name[BV_NAME_BYTES];
    char data_centre[BV_NAME_BYTES];
    char region[BV_NAME_BYTES];
    GRand *random;
} bv_router_options_t;

typedef struct {
    const char *service;
    /* Hash of the route's name. */
    uint32_t route_hash;
    uint16_t priority;
    /* Names of members not to choose. */
    const char *const *excluded;
    uint32_t excluded_count;
} bv_pick_request_t;

typedef struct {
    char name[BV_NAME_BYTES];
    char address[BV_ADDRESS_BYTES];
    uint16_t peer_port;
    uint64_t incarnation;
    /* The wait that it last reported, and how long ago; 0: it has not. */
    int64_t reported_wait_us;
    int64_t report_age_us;
} bv_picked_t;

/* What an answer tells of the member that gave it. */
typedef struct {
    bool answered;
    uint32_t route_hash;
    bv_outcome_t outcome;
    bv_reason_t reason;
    int64_t latency_us;
    uint16_t threshold;
    int64_t wait_us;
} bv_feedback_t;

bv_router_t *bv_router_create(const bv_router_options_t *options);
void bv_router_destroy(bv_router_t *router);

/* Takes a member's record; those not alive are no longer chosen. */
void bv_router_update(bv_router_t *router, const bv_member_t *member);

/* Chooses a member and counts a call in flight to it. */
bool bv_router_pick(bv_router_t *router, int64_t now_us,
                    const bv_pick_request_t *pick, bv_picked_t *picked,
                    bv_reason_t *reason);

/* Ends a call in flight that bv_router_pick() counted. */
void bv_router_settle(bv_router_t *router, int64_t now_us, const char *member,
                      const bv_feedback_t *feedback);

/*
 * Age at which an idempotent read is hedged: the 95th percentile of the
 * route's latency; 0 while there are too few answers to tell.
 */
int64_t bv_router_hedge_after_us(const bv_router_t *router,
                                 const char *service, uint32_t kind);

/* Members of a service that are ejected as outliers now. */
uint32_t bv_router_count_ejected(const bv_router_t *router, int64_t now_us,
                                 const char *service);

#endif
