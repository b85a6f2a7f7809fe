#ifndef BERYLVANE_CORE_ROUTER_H
#define BERYLVANE_CORE_ROUTER_H

#include "berylvane/core/membership.h"
#include "berylvane/core/placement.h"

/*
 * router - chooses the member that serves a call
 *
 * The choice is the better of two random members by load and latency (power of
 * two choices), within tiers of locality: the local data centre, the local
 * region, all others. A farther tier is used if the nearer one has no member,
 * is over its threshold, or is clearly slower than the farther tier including
 * its link. In a large service, each node calls a fixed subset of the members.
 *
 * With placement on, the choice is the least expected completion time of a few
 * random members, by the reports in their answers (see placement).
 */
typedef struct bv_router bv_router_t;

typedef struct {
    /* Name of this node; determines its subset of each service. */
    char name[BV_NAME_BYTES];
    char data_centre[BV_NAME_BYTES];
    char region[BV_NAME_BYTES];
    bv_placement_mode_t placement;
    /* Owned by the caller; must outlive the router. */
    GRand *random;
} bv_router_options_t;

typedef struct {
    const char *service;
    /* Hash of the route's name. */
    uint32_t route_hash;
    uint16_t priority;
    /* Names of members that must not be chosen. */
    const char *const *excluded;
    uint32_t excluded_count;
} bv_pick_request_t;

/* The chosen member. */
typedef struct {
    char name[BV_NAME_BYTES];
    char address[BV_ADDRESS_BYTES];
    uint16_t peer_port;
    uint64_t incarnation;
    /* Queueing delay that the member last reported. */
    int64_t reported_wait_us;
    /* Age of that report; 0 if the member has not reported yet. */
    int64_t report_age_us;
    /*
     * Placement would choose `observed_name` instead; only in
     * BV_PLACEMENT_OBSERVE.
     */
    bool differs;
    char observed_name[BV_NAME_BYTES];
    /* The member is in a farther tier than the nearest member. */
    bool is_spilled;
} bv_picked_t;

/*
 * The end of a call to a member. The other fields are valid only if the member
 * answered; `threshold` and `wait_us` are what the answer reports.
 */
typedef struct {
    bool answered;
    /* Hash of the route's name. */
    uint32_t route_hash;
    bv_outcome_t outcome;
    bv_reason_t reason;
    int64_t latency_us;
    uint16_t threshold;
    int64_t wait_us;
    /* Report of the target; `usable` is 0 if there is none. */
    bv_capacity_report_t report;
    /* Time that the call spent at the member, with a report. */
    int64_t served_us;
} bv_feedback_t;

/* What a caller knows of a member, for operators. */
typedef struct {
    const char *name;
    const char *service;
    bv_placement_state_t state;
    /* When the state last changed; 0 if never. */
    int64_t state_changed_us;
    uint32_t slots;
    bv_capacity_report_t report;
    int64_t reported_us;
    uint32_t in_flight;
    /* Calls that were sent to it, and those that placement would have sent to
     * it, in BV_PLACEMENT_OBSERVE. */
    uint64_t calls;
    uint64_t observed_calls;
    /* Expected completion time of a call on the route that was called last. */
    double expected_us;
    /* That of the best member of the service, as a share of this one's. */
    double weight;
} bv_router_view_t;

/* Creates a router and copies the options; the caller destroys it. */
bv_router_t *bv_router_create(const bv_router_options_t *options);
void bv_router_destroy(bv_router_t *router);

/*
 * Stores a copy of a member's record. Only members that are alive or suspect
 * and have slots are chosen.
 */
void bv_router_update(bv_router_t *router, const bv_member_t *member);

/*
 * Sets whether a member is silent: its node answers nothing. Calls to it would
 * only time out, and as none is in flight any more it would look idle. It is
 * chosen only if no other member can be.
 */
void bv_router_set_silent(bv_router_t *router, const char *member,
                          uint64_t incarnation, bool is_silent);

/*
 * Chooses a member and counts one more call in flight to it. Returns false and
 * sets `reason` if no member can be called.
 */
bool bv_router_pick(bv_router_t *router, int64_t now_us,
                    const bv_pick_request_t *request, bv_picked_t *picked,
                    bv_reason_t *reason);

/* Ends a call that bv_router_pick() counted as in flight. */
void bv_router_settle(bv_router_t *router, int64_t now_us, const char *member,
                      const bv_feedback_t *feedback);

/*
 * Returns the age at which an idempotent read is hedged: the 95th percentile
 * of the route's latency, or 0 if there are too few answers.
 */
int64_t bv_router_hedge_after_us(const bv_router_t *router,
                                 const char *service, uint32_t route_hash);

/*
 * Returns the number of members of a service that are ejected as outliers,
 * including those that are being probed.
 */
uint32_t bv_router_count_ejected(const bv_router_t *router, int64_t now_us,
                                 const char *service);

/*
 * Calls `callback` for each member that can be called and has been called, and
 * updates the states that it shows. Does nothing while placement is off.
 */
void bv_router_foreach(const bv_router_t *router, int64_t now_us,
                       void (*callback)(void *context,
                                        const bv_router_view_t *view),
                       void *context);

#endif
