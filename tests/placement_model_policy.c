#include "placement_model_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define NO_SLOT_US 1e9

static const char *const policy_names[MODEL_POLICY_END] = {
    "today", "weights", "least", "oracle", "placement"};

const char *
model_policy_name(model_policy_t policy)
{
    return policy_names[policy];
}

/*
 * Completion time of one more call. A target without a free slot, or one that
 * fails, comes after all others: admission refuses work that it expects to
 * wait, so a short wait at a fast target is worse than a slow free target.
 */
static double
completion_us(const model_t *model, uint32_t caller, uint32_t target)
{
    uint32_t load = model->targets[target].load + 1;
    uint32_t slots = model->pattern->slots;
    double service_us = model_service_us_at(model, target, MIN(load, slots));
    double cost_us =
        2.0 * (double)model_link_us(model, caller, target) + service_us;
    if (load > slots) {
        cost_us += NO_SLOT_US + service_us * (load - slots) / slots;
    }
    return model_is_failing(model, target) ? cost_us + 2 * NO_SLOT_US
                                           : cost_us;
}

static uint32_t
pick_least(const model_t *model, uint32_t caller)
{
    double least = INFINITY;
    uint32_t found = 0;
    uint32_t count = model->pattern->targets;
    uint32_t first = (uint32_t)sim_random_between(model->sim, 0, (int)count);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t target = (first + i) % count;
        double cost = model->policy == MODEL_ORACLE
                          ? completion_us(model, caller, target)
                          : model->callers[caller].in_flight[target];
        if (cost < least) {
            least = cost;
            found = target;
        }
    }
    return found;
}

static uint32_t
pick_by_weight(const model_t *model)
{
    const model_pattern_t *pattern = model->pattern;
    double left = g_rand_double_range(sim_random(model->sim), 0,
                                      model_sum_rates_per_s(pattern));
    uint32_t target = 0;
    while (target + 1 < pattern->targets &&
           (left -= model_nominal_rate_per_s(pattern, target)) >= 0) {
        target++;
    }
    return target;
}

static uint32_t
pick_by_router(const model_t *model, uint32_t caller)
{
    bv_picked_t picked;
    bv_reason_t reason;
    bv_pick_request_t request = {
        .service = "service", .route_hash = ROUTE_HASH, .priority = PRIORITY};
    bv_router_pick(model->callers[caller].router, sim_now_us(model->sim),
                   &request, &picked, &reason);
    return (uint32_t)strtoul(picked.name + strlen("member-"), NULL, 10);
}

uint32_t
model_pick(const model_t *model, uint32_t caller)
{
    switch (model->policy) {
    case MODEL_WEIGHTS:
        return pick_by_weight(model);
    case MODEL_LEAST:
    case MODEL_ORACLE:
        return pick_least(model, caller);
    default:
        return pick_by_router(model, caller);
    }
}
