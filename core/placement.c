#include "berylvane/core/placement.h"

#include <math.h>
#include <string.h>

/* Weight of a report in the target's mean load, which counts in place of an
 * old report; it loses half of its weight against the siblings' mean. */
#define MEAN_USE_WEIGHT 0.1
#define MEAN_USE_HALF_LIFE_US 10000000.0
/* Without new reports a target counts as its siblings again, so that one that
 * was slow or failed is tried. */
#define SLOWNESS_HALF_LIFE_US 3000000.0
/* Weights of a new sample; reports are means already. */
#define SLOWNESS_WEIGHT 0.5
#define FAILURE_WEIGHT 0.2
/* Multiple of the service time that a certain failure or a full target
 * costs. */
#define FAILURE_COST 16.0
#define FULL_COST 8.0
/* Share of the service time that a target's load costs while slots are free.
 * It spreads calls over equal targets. */
#define LOAD_COST 0.5
/* A target is overdue after this multiple of the expected time. */
#define OVERDUE_FACTOR 3.0
/* Bounds of the states that operators see. */
#define SLOW_STATE 1.5
#define FAILING_STATE 0.2
/* Ratios of nearer to farther time at which the share rises and falls, and the
 * times for its full range. */
#define SPILL_ENTER 1.2
#define SPILL_LEAVE 1.0
#define SPILL_RISE_US 300000.0
#define SPILL_FALL_US 1000000.0
#define SPILL_STEP_US 100000

static const char *const state_names[BV_PLACEMENT_STATE_END] = {
    "even", "unknown", "slow", "full", "limited", "failing", "overdue"};

const char *
bv_placement_state_name(bv_placement_state_t state)
{
    return state_names[state];
}

void
bv_placement_reset(bv_placement_t *placement)
{
    uint32_t in_flight = placement->in_flight;
    int64_t silent_since_us = placement->silent_since_us;
    double expected_us = placement->expected_us;
    memset(placement, 0, sizeof(*placement));
    placement->slowness = 1;
    placement->in_flight = in_flight;
    placement->silent_since_us = silent_since_us;
    placement->expected_us = expected_us;
    placement->state = BV_PLACEMENT_UNKNOWN;
}

/* Returns 1 for a new value, 0.5 after a half-life. */
static double
weight_of_age(int64_t age_us, double half_life_us)
{
    return exp2(-(double)MAX(0, age_us) / half_life_us);
}

static double
slowness_now(const bv_placement_t *placement, int64_t now_us)
{
    return 1 + (placement->slowness - 1) *
                   weight_of_age(now_us - placement->slowness_updated_us,
                                 SLOWNESS_HALF_LIFE_US);
}

static double
failure_rate_now(const bv_placement_t *placement, int64_t now_us)
{
    return placement->failure_rate *
           weight_of_age(now_us - placement->failure_updated_us,
                         SLOWNESS_HALF_LIFE_US);
}

static bool
is_overdue(const bv_placement_t *placement, int64_t now_us)
{
    return placement->in_flight > 0 &&
           (double)(now_us - placement->silent_since_us) >
               OVERDUE_FACTOR * placement->expected_us;
}

void
bv_placement_record_send(bv_placement_t *placement, int64_t now_us,
                         double expected_us)
{
    if (placement->in_flight == 0) {
        placement->silent_since_us = now_us;
        placement->expected_us = 0;
    }
    placement->expected_us = MAX(placement->expected_us, expected_us);
    placement->in_flight++;
    placement->sent_since_report++;
}

static bool
has_report(const bv_placement_t *placement)
{
    return placement->report.usable > 0;
}

static void
record_report(bv_placement_t *placement, int64_t now_us,
              const bv_placement_answer_t *answer)
{
    double use = (double)answer->report.load / answer->report.usable;
    if (!has_report(placement)) {
        placement->mean_use = use;
    }
    placement->mean_use += (use - placement->mean_use) * MEAN_USE_WEIGHT;
    placement->report = answer->report;
    placement->reported_us = now_us;
    placement->sent_since_report = 0;
    if (answer->report.service_us > 0 && answer->service_us > 0) {
        double ratio = (double)answer->report.service_us / answer->service_us;
        double slowness = slowness_now(placement, now_us);
        placement->slowness = slowness + (ratio - slowness) * SLOWNESS_WEIGHT;
        placement->slowness_updated_us = now_us;
    }
}

void
bv_placement_record_end(bv_placement_t *placement, int64_t now_us,
                        const bv_placement_answer_t *answer)
{
    placement->in_flight -= placement->in_flight > 0;
    if (answer == NULL) {
        placement->sent_since_report -= placement->sent_since_report > 0;
        return;
    }
    placement->silent_since_us = now_us;
    double failure_rate = failure_rate_now(placement, now_us);
    placement->failure_rate =
        failure_rate + (answer->failed - failure_rate) * FAILURE_WEIGHT;
    placement->failure_updated_us = now_us;
    if (answer->report.usable > 0) {
        record_report(placement, now_us, answer);
    }
}

/* Work that the target handles well at once. */
static double
usable_of(const bv_placement_t *placement, const bv_placement_input_t *input)
{
    uint32_t usable =
        has_report(placement) ? placement->report.usable : input->slots;
    return MAX(1, usable);
}

/*
 * Returns the weight of a report against the usual load. Work that ran when
 * the report was made ends at the rate of one service time, as in the M/G/inf
 * queue.
 */
static double
report_weight(const bv_placement_t *placement, int64_t now_us,
              const bv_placement_input_t *input)
{
    double age_us =
        (double)(now_us - placement->reported_us) + input->network_us / 2;
    return exp(-age_us / MAX(1, input->service_us));
}

/* Returns the expected load and the variance of the real load around it. */
static double
expected_load(const bv_placement_t *placement, int64_t now_us,
              const bv_placement_input_t *input, double *variance)
{
    double usable = usable_of(placement, input);
    double usual = input->sibling_use * usable;
    if (!has_report(placement)) {
        *variance = usual + 1;
        return usual + placement->in_flight * input->assumed_weight;
    }
    double weight = report_weight(placement, now_us, input);
    double own_weight =
        weight_of_age(now_us - placement->reported_us, MEAN_USE_HALF_LIFE_US);
    usual += (placement->mean_use * usable - usual) * own_weight;
    *variance = usual * (1 - weight * weight) + 1;
    return usual + (placement->report.load - usual) * weight +
           placement->sent_since_report;
}

/* Chance that no slot is free, for a normally distributed load. */
static double
full_chance(double load, double usable, double variance)
{
    return 0.5 * erfc((usable - 0.5 - load) / sqrt(2 * variance));
}

double
bv_placement_expected_us(const bv_placement_t *placement, int64_t now_us,
                         const bv_placement_input_t *input)
{
    double variance;
    double usable = usable_of(placement, input);
    double load = expected_load(placement, now_us, input, &variance);
    double service_us =
        input->service_us * (has_report(placement)
                                 ? slowness_now(placement, now_us)
                                 : input->assumed_slowness);
    double queue_us = service_us * MAX(0, load + 1 - usable) / usable;
    double risk = FULL_COST * full_chance(load, usable, variance) +
                  FAILURE_COST * failure_rate_now(placement, now_us);
    double expected_us = input->network_us +
                         service_us * (1 + LOAD_COST * MIN(1, load / usable)) +
                         MAX(queue_us, input->wait_us) +
                         risk * input->service_us;
    if (is_overdue(placement, now_us)) {
        expected_us += (double)(now_us - placement->silent_since_us);
    }
    return expected_us;
}

bool
bv_placement_has_room(const bv_placement_t *placement, int64_t now_us,
                      const bv_placement_input_t *input)
{
    double variance;
    return has_report(placement) &&
           expected_load(placement, now_us, input, &variance) + 1 <=
               usable_of(placement, input);
}

static bv_placement_state_t
state_of(const bv_placement_t *placement, int64_t now_us, uint32_t slots)
{
    const bv_capacity_report_t *report = &placement->report;
    if (is_overdue(placement, now_us)) {
        return BV_PLACEMENT_OVERDUE;
    }
    if (failure_rate_now(placement, now_us) >= FAILING_STATE) {
        return BV_PLACEMENT_FAILING;
    }
    if (!has_report(placement)) {
        return BV_PLACEMENT_UNKNOWN;
    }
    if (slowness_now(placement, now_us) >= SLOW_STATE) {
        return BV_PLACEMENT_SLOW;
    }
    if (report->load >= report->usable) {
        return BV_PLACEMENT_FULL;
    }
    return report->usable < slots ? BV_PLACEMENT_LIMITED : BV_PLACEMENT_EVEN;
}

bool
bv_placement_update_state(bv_placement_t *placement, int64_t now_us,
                          uint32_t slots)
{
    bv_placement_state_t state = state_of(placement, now_us, slots);
    if (state == placement->state) {
        return false;
    }
    placement->state = state;
    placement->state_changed_us = now_us;
    return true;
}

double
bv_spill_update(bv_spill_t *spill, int64_t now_us, double nearer_us,
                double farther_us)
{
    double step_us =
        (double)CLAMP(now_us - spill->updated_us, 0, SPILL_STEP_US);
    spill->updated_us = now_us;
    if (nearer_us > SPILL_ENTER * farther_us) {
        spill->share = MIN(1, spill->share + step_us / SPILL_RISE_US);
    }
    else if (nearer_us < SPILL_LEAVE * farther_us) {
        spill->share = MAX(0, spill->share - step_us / SPILL_FALL_US);
    }
    return spill->share;
}
