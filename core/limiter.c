#include "berylvane/core/limiter.h"

#include "berylvane/common/invariant.h"

#include <math.h>

/* A window ends after WINDOW_LEAST_US if it has WINDOW_SAMPLES, and after
 * WINDOW_MOST_US with fewer samples; a trial needs TRIAL_SAMPLES. */
#define WINDOW_LEAST_US 50000
#define WINDOW_MOST_US 200000
#define WINDOW_SAMPLES 16
#define TRIAL_SAMPLES 16
/* Consecutive slow windows that start a trial. A single slow window may come
 * from a stall of the machine. */
#define SLOW_WINDOWS 3
#define ROUTES_LIMIT 256
/* Ratio of latency to baseline up to which a window is not slow. */
#define RATIO_TOLERATED 1.5
/* A trial lowers the limit to this share of the concurrency. */
#define TRIAL_SHARE 0.7
/* A trial has helped if it lowers the latency to this share or less. */
#define TRIAL_RATIO_HELPED 0.85
/* Share of the difference by which a window lowers a baseline if the route has
 * at least WINDOW_SAMPLES in the window, and proportionally less otherwise. */
#define BASELINE_FALL_SHARE 0.5
/* Time without trials after a trial that did not help. */
#define TRIAL_PAUSE_US 1000000
#define GROWTH_DIVISOR 4
/* Least mean latency. Variations of the target and the network below it are no
 * sign of congestion. */
#define MEAN_LEAST_US 5000
#define COLD_START_DIVISOR 4

typedef struct {
    double baseline_us;
    /* Sum of the latencies' logarithms, for a geometric mean, in which
     * single stalls weigh little. */
    double log_sum;
    uint32_t count;
} route_t;

struct bv_limiter {
    uint32_t slots;
    uint32_t limit;
    bool slow_start;
    bool in_trial;
    uint32_t slow_windows;
    double ratio_before_trial;
    uint32_t limit_before_trial;
    /* Work that started earlier ran under a previous limit; its samples are
     * ignored. */
    int64_t valid_from_us;
    int64_t next_trial_us;
    int64_t window_started_us;
    uint32_t samples;
    uint32_t running_peak;
    GHashTable *routes;
};

bv_limiter_t *
bv_limiter_create(uint32_t slots)
{
    bv_limiter_t *limiter = g_new0(bv_limiter_t, 1);
    limiter->routes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    bv_limiter_set_slots(limiter, slots);
    return limiter;
}

void
bv_limiter_destroy(bv_limiter_t *limiter)
{
    if (limiter == NULL) {
        return;
    }
    g_hash_table_destroy(limiter->routes);
    g_free(limiter);
}

static void
set_limit(bv_limiter_t *limiter, uint32_t limit)
{
    limiter->limit = CLAMP(limit, MIN(1, limiter->slots), limiter->slots);
    bv_invariant(limiter->limit <= limiter->slots, "limit_within_slots",
                 "limiter");
}

void
bv_limiter_set_slots(bv_limiter_t *limiter, uint32_t slots)
{
    if (limiter->slots == 0) {
        limiter->slow_start = true;
        limiter->limit = MAX(1, slots / COLD_START_DIVISOR);
    }
    limiter->slots = slots;
    set_limit(limiter, limiter->limit);
}

static route_t *
find_or_add_route(bv_limiter_t *limiter, uint32_t route_hash)
{
    gpointer key = GUINT_TO_POINTER(route_hash);
    route_t *route = g_hash_table_lookup(limiter->routes, key);
    if (route != NULL) {
        return route;
    }
    if (g_hash_table_size(limiter->routes) >= ROUTES_LIMIT) {
        g_hash_table_remove_all(limiter->routes);
    }
    route = g_new0(route_t, 1);
    g_hash_table_insert(limiter->routes, key, route);
    return route;
}

static double
mean_latency_us(const route_t *route)
{
    return MAX(MEAN_LEAST_US, exp(route->log_sum / route->count));
}

/* Returns the mean ratio of the routes' latencies to their baselines, weighted
 * by the number of samples. */
static double
mean_latency_ratio(const bv_limiter_t *limiter)
{
    double sum = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, limiter->routes);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const route_t *route = value;
        if (route->count > 0) {
            double baseline_us = route->baseline_us > 0
                                     ? route->baseline_us
                                     : mean_latency_us(route);
            sum += mean_latency_us(route) / baseline_us * route->count;
        }
    }
    return sum / limiter->samples;
}

static void
update_baseline(route_t *route, bool replace_baseline)
{
    double mean_us = mean_latency_us(route);
    if (route->baseline_us <= 0 || replace_baseline) {
        route->baseline_us = mean_us;
        return;
    }
    if (mean_us < route->baseline_us) {
        double share = BASELINE_FALL_SHARE *
                       MIN(route->count, WINDOW_SAMPLES) / WINDOW_SAMPLES;
        route->baseline_us += (mean_us - route->baseline_us) * share;
    }
}

static void
end_window(bv_limiter_t *limiter, int64_t now_us, bool replace_baseline)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, limiter->routes);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        route_t *route = value;
        if (route->count > 0) {
            update_baseline(route, replace_baseline);
        }
        route->count = 0;
        route->log_sum = 0;
    }
    limiter->samples = 0;
    limiter->running_peak = 0;
    limiter->window_started_us = now_us;
}

static void
raise_limit(bv_limiter_t *limiter)
{
    if (limiter->running_peak < limiter->limit) {
        return;
    }
    uint32_t step = limiter->slow_start
                        ? limiter->limit
                        : MAX(1, limiter->limit / GROWTH_DIVISOR);
    set_limit(limiter, limiter->limit + step);
}

static void
begin_trial(bv_limiter_t *limiter, int64_t now_us, double ratio)
{
    uint32_t concurrency = MIN(limiter->limit, limiter->running_peak);
    limiter->in_trial = true;
    limiter->ratio_before_trial = ratio;
    limiter->limit_before_trial = limiter->limit;
    limiter->valid_from_us = now_us;
    set_limit(limiter, (uint32_t)(concurrency * TRIAL_SHARE));
}

/* Returns whether the window's means become the new baselines. */
static bool
end_trial(bv_limiter_t *limiter, int64_t now_us, double ratio)
{
    limiter->in_trial = false;
    if (ratio <= limiter->ratio_before_trial * TRIAL_RATIO_HELPED) {
        limiter->slow_start = false;
        return false;
    }
    set_limit(limiter, limiter->limit_before_trial);
    limiter->next_trial_us = now_us + TRIAL_PAUSE_US;
    return true;
}

/* Returns whether the window's means become the new baselines. */
static bool
adjust_limit(bv_limiter_t *limiter, int64_t now_us)
{
    double ratio = mean_latency_ratio(limiter);
    if (limiter->in_trial) {
        return end_trial(limiter, now_us, ratio);
    }
    if (ratio <= RATIO_TOLERATED) {
        limiter->slow_windows = 0;
        raise_limit(limiter);
        return false;
    }
    if (limiter->samples < TRIAL_SAMPLES || now_us < limiter->next_trial_us) {
        return false;
    }
    if (++limiter->slow_windows < SLOW_WINDOWS) {
        return false;
    }
    if (limiter->running_peak <= 1) {
        return true;
    }
    begin_trial(limiter, now_us, ratio);
    return false;
}

static bool
is_window_over(const bv_limiter_t *limiter, int64_t now_us)
{
    int64_t age_us = now_us - limiter->window_started_us;
    uint32_t needed = limiter->in_trial ? TRIAL_SAMPLES : 1;
    if (age_us >= WINDOW_MOST_US) {
        return limiter->samples >= needed;
    }
    return age_us >= WINDOW_LEAST_US && limiter->samples >= WINDOW_SAMPLES;
}

void
bv_limiter_record_latency(bv_limiter_t *limiter, int64_t now_us,
                          int64_t started_us, uint32_t route_hash,
                          int64_t latency_us, uint32_t running)
{
    if (started_us < limiter->valid_from_us) {
        return;
    }
    route_t *route = find_or_add_route(limiter, route_hash);
    route->log_sum += log((double)MAX(1, latency_us));
    route->count++;
    limiter->samples++;
    limiter->running_peak = MAX(limiter->running_peak, running);
    if (is_window_over(limiter, now_us)) {
        end_window(limiter, now_us, adjust_limit(limiter, now_us));
    }
}

uint32_t
bv_limiter_limit(const bv_limiter_t *limiter)
{
    return limiter->limit;
}
