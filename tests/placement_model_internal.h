#ifndef TESTS_PLACEMENT_MODEL_INTERNAL_H
#define TESTS_PLACEMENT_MODEL_INTERNAL_H

#include "berylvane/core/admission.h"
#include "berylvane/core/router.h"
#include "placement_model.h"
#include "sim.h"

/*
 * placement_model_internal - declarations that the sources of placement_model
 * share
 *
 *  - placement_model.c: arrivals, answers and the result of a run
 *  - placement_model_policy.c: choice of a target by each policy
 *  - placement_model_target.c: admission and execution of calls at a target
 *  - placement_model_times.c: times on links and at targets, and their rates
 */
#define US_PER_S 1000000
#define TARGETS_LIMIT 512
#define CALLERS_LIMIT 128
#define DEADLINE_SERVICES 25
#define ROUTE_HASH 1
#define PRIORITY 150

typedef struct {
    bv_admission_t *admission;
    bv_capacity_t *capacity;
    /* Calls on their way to the target, waiting and running. */
    uint32_t load;
} target_t;

typedef struct {
    bv_router_t *router;
    uint32_t in_flight[TARGETS_LIMIT];
} caller_t;

typedef struct {
    uint32_t caller;
    uint32_t target;
    int64_t sent_us;
    int64_t reached_us;
    int64_t started_us;
    uint32_t running_at_start;
    bv_feedback_t feedback;
} call_t;

typedef struct {
    const model_pattern_t *pattern;
    model_policy_t policy;
    sim_t *sim;
    target_t targets[TARGETS_LIMIT];
    caller_t callers[CALLERS_LIMIT];
    /* call_t; the number of a call is its index plus 1. */
    GPtrArray *calls;
    GArray *latencies_us;
    uint32_t good;
    uint32_t spilled;
    double variance_sum;
    uint32_t variance_count;
    bool is_over;
} model_t;

/* One way from a caller to a target. */
int64_t model_link_us(const model_t *model, uint32_t caller, uint32_t target);

/* Whether the target fails all calls now. */
bool model_is_failing(const model_t *model, uint32_t target);

/* Mean service time of a target that runs so many calls. */
double model_service_us_at(const model_t *model, uint32_t target,
                           uint32_t running);

/* Calls a second that a target can run. */
double model_nominal_rate_per_s(const model_pattern_t *pattern,
                                uint32_t target);

/* Calls a second that all targets can run. */
double model_sum_rates_per_s(const model_pattern_t *pattern);

/* Returns the target of a caller's next call, by the policy of the run. */
uint32_t model_pick(const model_t *model, uint32_t caller);

/* Schedules an event of a call; `id` is the number of the call, or 0. */
void model_schedule_call(model_t *model, double delay_us,
                         sim_callback_t callback, uint64_t id);

call_t *model_find_call(const model_t *model, uint64_t id);

/* A call reaches its target; `data` points to its number. */
void model_on_reach(void *context, void *data);

/* The answer of a call reaches the caller; `data` points to its number. */
void model_on_answer(void *context, void *data);

#endif
