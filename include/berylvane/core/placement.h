#ifndef BERYLVANE_CORE_PLACEMENT_H
#define BERYLVANE_CORE_PLACEMENT_H

#include "berylvane/core/capacity.h"

/*
 * placement - expected completion time of a call at a target, and the share of
 * calls that leave for a farther tier
 *
 * Handles targets that differ in speed, slow down near full, slow down
 * suddenly, fail fast or start cold, and waves of load between data centres. A
 * caller sees only its own calls, a small part of a target's load, so the load
 * comes from the reports in answers (see capacity). An old report counts less,
 * and the target's mean load more. The caller's own calls since the report
 * count at once.
 *
 * A target that is expected to have no free slot costs several service times
 * more: admission refuses work that it expects to wait, so a free slot at a
 * slower target is better than a short wait at a faster one.
 */
typedef enum {
    BV_PLACEMENT_OFF,
    /* Reports are exchanged; the choice is computed but not used. */
    BV_PLACEMENT_OBSERVE,
    BV_PLACEMENT_ON,
} bv_placement_mode_t;

/* Why a target gets a smaller share of calls than its siblings. */
typedef enum {
    BV_PLACEMENT_EVEN,
    /* No report yet. */
    BV_PLACEMENT_UNKNOWN,
    /* Clearly slower than its siblings. */
    BV_PLACEMENT_SLOW,
    /* Its reported load has reached its usable concurrency. */
    BV_PLACEMENT_FULL,
    /* Its throughput ends below its slots. */
    BV_PLACEMENT_LIMITED,
    /* Its work fails. */
    BV_PLACEMENT_FAILING,
    /* Its answers are overdue. */
    BV_PLACEMENT_OVERDUE,
    BV_PLACEMENT_STATE_END,
} bv_placement_state_t;

/* What a caller knows of one target; the fields are private. */
typedef struct {
    bv_capacity_report_t report;
    int64_t reported_us;
    /* Service time as a multiple of the siblings' mean. */
    double slowness;
    int64_t slowness_updated_us;
    double failure_rate;
    int64_t failure_updated_us;
    /* Moving mean of the reported load by what is handled well. */
    double mean_use;
    uint32_t in_flight;
    uint32_t sent_since_report;
    /* Last answer, or the first call in flight if it is later. */
    int64_t silent_since_us;
    /* Longest time expected of a call in flight. */
    double expected_us;
    bv_placement_state_t state;
    int64_t state_changed_us;
} bv_placement_t;

/* What a call and the siblings of a target determine. */
typedef struct {
    /* Mean service time of the route over the siblings. */
    double service_us;
    /* Both ways between the nodes. */
    double network_us;
    /* Mean load of the siblings by what they handle well. */
    double sibling_use;
    uint32_t slots;
    /* Used for a target that does not report. */
    double assumed_slowness;
    double assumed_weight;
    /* Least wait, by the target's backpressure. */
    double wait_us;
} bv_placement_input_t;

typedef struct {
    /* The work failed or its result is unknown. */
    bool failed;
    /* `usable` is 0 if the answer has no report. */
    bv_capacity_report_t report;
    /* Mean service time of the route over the siblings, or 0. */
    double service_us;
} bv_placement_answer_t;

const char *bv_placement_state_name(bv_placement_state_t state);

/* Sets the initial state, also for a new incarnation. Calls in flight stay. */
void bv_placement_reset(bv_placement_t *placement);

/* Counts a call that was sent; `expected_us` is its expected completion. */
void bv_placement_record_send(bv_placement_t *placement, int64_t now_us,
                              double expected_us);

/* Ends a call; `answer` is NULL if there is no answer. */
void bv_placement_record_end(bv_placement_t *placement, int64_t now_us,
                             const bv_placement_answer_t *answer);

/* Returns the expected completion time of a call, with its risk. */
double bv_placement_expected_us(const bv_placement_t *placement,
                                int64_t now_us,
                                const bv_placement_input_t *input);

/*
 * Returns whether the target reports its load and is expected to have a free
 * slot.
 */
bool bv_placement_has_room(const bv_placement_t *placement, int64_t now_us,
                           const bv_placement_input_t *input);

/*
 * Determines the state that an operator sees; returns true if it has changed.
 */
bool bv_placement_update_state(bv_placement_t *placement, int64_t now_us,
                               uint32_t slots);

/* Share of calls that may leave for a farther tier. */
typedef struct {
    double share;
    int64_t updated_us;
} bv_spill_t;

/*
 * Moves the share by the expected completion times in the nearer and the
 * farther tier, and returns it. It rises while the nearer is clearly slower,
 * falls once it is not slower, and stays in between.
 */
double bv_spill_update(bv_spill_t *spill, int64_t now_us, double nearer_us,
                       double farther_us);

#endif
