#include "router_internal.h"

/* Weight of this node's calls in flight. It is above 1 since the calls of
 * other nodes to the same member are not visible here. */
#define IN_FLIGHT_WEIGHT 4.0
/* Multiple of its latency that is added to the cost of a member which fails
 * all work. */
#define FAILING_WEIGHT 8.0
/* A report counts in full up to REPORT_FRESH_US, then decays within
 * REPORT_DECAY_US. */
#define REPORT_FRESH_US 100000
#define REPORT_DECAY_US 1000000
#define WARM_UP_US 3000000
#define COLD_FACTOR_LIMIT 10.0

/* Weight of the last report, from 1 for a new one to 0. */
static double
report_weight(const entry_t *entry, int64_t now_us)
{
    int64_t silent_us = now_us - entry->reported_us - REPORT_FRESH_US;
    return 1 - (double)CLAMP(silent_us, 0, REPORT_DECAY_US) / REPORT_DECAY_US;
}

static bool
is_over_threshold(const entry_t *entry, int64_t now_us,
                  const bv_pick_request_t *request)
{
    return request->priority < entry->threshold * report_weight(entry, now_us);
}

/* Factor on the load of a target that started recently, so that it receives
 * fewer calls until it has warmed up. */
static double
cold_factor(const entry_t *entry, int64_t now_us)
{
    if (entry->first_called_us == 0) {
        return 1;
    }
    int64_t age_us = MAX(1, now_us - entry->first_called_us);
    return CLAMP((double)WARM_UP_US / (double)age_us, 1, COLD_FACTOR_LIMIT);
}

static double
estimate_cost_us(const entry_t *entry, int64_t now_us,
                 const bv_route_stats_t *route)
{
    double latency_us = route->mean_us[entry->tier] *
                        bv_outlier_slowness(&entry->outlier, now_us);
    double load = entry->in_flight * IN_FLIGHT_WEIGHT / entry->member.slots;
    double wait_us = (double)entry->wait_us * report_weight(entry, now_us);
    double failure_rate = bv_outlier_failure_rate(&entry->outlier, now_us);
    return latency_us * (1 + load * cold_factor(entry, now_us)) *
               (1 + FAILING_WEIGHT * failure_rate) +
           wait_us;
}

/* Service time of the route's work at a member of usual speed. */
static double
usual_service_us(const entry_t *entry, const bv_route_stats_t *route)
{
    if (route->service_us > 0) {
        return route->service_us;
    }
    return MAX(1, route->mean_us[entry->tier] -
                      entry->service->network_us[entry->tier]);
}

static bv_placement_input_t
placement_input(const entry_t *entry, int64_t now_us,
                const bv_route_stats_t *route)
{
    return (bv_placement_input_t){
        .service_us = usual_service_us(entry, route),
        .network_us = entry->service->network_us[entry->tier],
        .sibling_use = entry->service->use[entry->tier],
        .slots = entry->member.slots,
        .assumed_slowness = bv_outlier_slowness(&entry->outlier, now_us),
        .assumed_weight = IN_FLIGHT_WEIGHT * cold_factor(entry, now_us),
        .wait_us = (double)entry->wait_us * report_weight(entry, now_us),
    };
}

double
router_completion_us(const entry_t *entry, int64_t now_us,
                     const bv_route_stats_t *route)
{
    bv_placement_input_t input = placement_input(entry, now_us, route);
    return bv_placement_expected_us(&entry->placement, now_us, &input);
}

double
router_cost_us(const choice_t *choice, const entry_t *entry)
{
    return choice->by_placement
               ? router_completion_us(entry, choice->now_us, choice->route)
               : estimate_cost_us(entry, choice->now_us, choice->route);
}

/*
 * Whether a member is avoided because of its threshold. Admission never
 * refuses work that finds a free slot, so placement ignores the threshold of a
 * member that is expected to have one: a threshold decays over REPORT_FRESH_US
 * + REPORT_DECAY_US, and avoiding a member for that long would overload its
 * siblings.
 */
bool
router_is_over(const choice_t *choice, const entry_t *entry)
{
    if (!is_over_threshold(entry, choice->now_us, choice->request)) {
        return false;
    }
    if (!choice->by_placement) {
        return true;
    }
    bv_placement_input_t input =
        placement_input(entry, choice->now_us, choice->route);
    return !bv_placement_has_room(&entry->placement, choice->now_us, &input);
}
