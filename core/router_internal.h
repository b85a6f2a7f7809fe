#ifndef CORE_ROUTER_INTERNAL_H
#define CORE_ROUTER_INTERNAL_H

#include "berylvane/core/outlier.h"
#include "berylvane/core/route_stats.h"
#include "berylvane/core/router.h"

/*
 * router_internal - types and functions that the sources of router share
 *
 *  - router.c: the table of members and their tiers
 *  - router_cost.c: estimated cost of a call at a member
 *  - router_pick.c: choice of a member for a call
 *  - router_feedback.c: records the end of a call; ejection, age of hedges
 *  - router_view.c: views of the members for operators
 */

/* Members of a tier among which a node chooses. */
#define SUBSET_MEMBERS 24

/* The members of a service, and means over their answers. */
typedef struct {
    /* Members that can be called, ordered by their rank for this node. */
    GPtrArray *tiers[BV_TIER_END];
    GHashTable *routes;
    /* By tier: time between the nodes, both ways; load by what the targets
     * handle well; calls that may leave for the tier. */
    double network_us[BV_TIER_END];
    double use[BV_TIER_END];
    bv_spill_t spill[BV_TIER_END];
} service_t;

/* A member, and what this node's calls showed of it. */
typedef struct {
    bv_member_t member;
    service_t *service;
    bv_tier_t tier;
    uint64_t rank;
    uint32_t in_flight;
    /* The member answers nothing, not even requests for its progress. */
    bool is_silent;
    uint16_t threshold;
    int64_t wait_us;
    int64_t reported_us;
    /* When this incarnation was first called; 0 if never. */
    int64_t first_called_us;
    /* Hash of the route that was called last. */
    uint32_t last_route_hash;
    uint64_t calls;
    uint64_t observed_calls;
    bv_outlier_t outlier;
    bv_placement_t placement;
} entry_t;

/* A choice that is being made. */
typedef struct {
    const bv_router_t *router;
    service_t *service;
    int64_t now_us;
    const bv_pick_request_t *request;
    const bv_route_stats_t *route;
    /* The choice is made by expected completion times. */
    bool by_placement;
    /* Silent members are chosen too, as there are no others. */
    bool allows_silent;
} choice_t;

struct bv_router {
    bv_router_options_t options;
    GHashTable *entries;
    GHashTable *services;
};

/* Whether the member is neither ejected nor being probed. */
bool router_is_usable(const entry_t *entry, int64_t now_us);

/* Expected completion time of a call by placement. */
double router_completion_us(const entry_t *entry, int64_t now_us,
                            const bv_route_stats_t *route);

/* Cost of the call at a member, by placement or without it. */
double router_cost_us(const choice_t *choice, const entry_t *entry);

/* Whether a member is avoided because of its threshold. */
bool router_is_over(const choice_t *choice, const entry_t *entry);

#endif
