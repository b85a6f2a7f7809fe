#include "placement_model_internal.h"

/* Neighbours slow a target for NEIGHBOUR_BUSY_US in each NEIGHBOUR_US. */
#define NEIGHBOUR_US 600000
#define NEIGHBOUR_BUSY_US 90000
/* One way within a data centre. */
#define NEAR_US 200

int64_t
model_link_us(const model_t *model, uint32_t caller, uint32_t target)
{
    uint32_t centres = model->pattern->centres;
    return caller % centres == target % centres ? NEAR_US
                                                : model->pattern->link_us;
}

static bool
is_disturbed(const model_t *model, uint32_t target)
{
    int64_t now_us = sim_now_us(model->sim);
    return target == 0 && now_us >= model->pattern->slow_from_us &&
           now_us < model->pattern->slow_until_us;
}

bool
model_is_failing(const model_t *model, uint32_t target)
{
    return model->pattern->is_failing && is_disturbed(model, target);
}

/* Factor on the service time of a target that never changes. */
static double
nominal_slowness(const model_pattern_t *pattern, uint32_t target)
{
    double slowness = pattern->slowness[target % 3];
    return slowness > 0 ? slowness : 1;
}

/* Service time of a target without the effects of its load. */
static double
idle_service_us(const model_t *model, uint32_t target)
{
    const model_pattern_t *pattern = model->pattern;
    int64_t now_us = sim_now_us(model->sim);
    double service_us =
        (double)pattern->service_us * nominal_slowness(pattern, target);
    if (is_disturbed(model, target)) {
        service_us *= pattern->is_failing ? 0.1 : 5;
    }
    /* Neighbours of a target are busy at another time for each target. */
    int64_t phase_us = (now_us + target * INT64_C(170000)) % NEIGHBOUR_US;
    if (pattern->has_neighbours && phase_us < NEIGHBOUR_BUSY_US) {
        service_us *= 2.5;
    }
    return now_us < pattern->cold_us ? service_us * 2 : service_us;
}

double
model_service_us_at(const model_t *model, uint32_t target, uint32_t running)
{
    const model_pattern_t *pattern = model->pattern;
    double service_us = idle_service_us(model, target);
    double knee = pattern->knee_share * pattern->slots;
    if (pattern->knee_share <= 0 || running <= knee) {
        return service_us;
    }
    return service_us *
           (pattern->knee_factor > 0 ? pattern->knee_factor : running / knee);
}

double
model_nominal_rate_per_s(const model_pattern_t *pattern, uint32_t target)
{
    return pattern->slots * (double)US_PER_S /
           ((double)pattern->service_us * nominal_slowness(pattern, target));
}

double
model_sum_rates_per_s(const model_pattern_t *pattern)
{
    double sum = 0;
    for (uint32_t i = 0; i < pattern->targets; i++) {
        sum += model_nominal_rate_per_s(pattern, i);
    }
    return sum;
}
