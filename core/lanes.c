#include "berylvane/core/lanes.h"

#include <math.h>

#define ROUTES_LIMIT 256
#define MEAN_DIVISOR 8
#define SAMPLES_NEEDED 16
/* A route becomes long at LONG_ENTER_FACTOR times the cheapest route's cost,
 * and short again below LONG_LEAVE_FACTOR times, so that it does not
 * alternate. */
#define LONG_ENTER_FACTOR 8
#define LONG_LEAVE_FACTOR 4
#define LATENCY_HALF_LIFE_US 500000.0
#define PEAK_HALF_LIFE_US 2000000.0

typedef struct {
    /* Moving mean of the time outside of calls to other services. */
    int64_t own_us;
    /* Moving mean of the total latency. */
    int64_t latency_us;
    int64_t updated_us;
    uint32_t samples;
    bool is_long;
} cost_t;

struct bv_lanes {
    GHashTable *costs;
    uint32_t running[BV_LANE_END];
    double short_peak;
    int64_t short_peak_updated_us;
};

bv_lanes_t *
bv_lanes_create(void)
{
    bv_lanes_t *lanes = g_new0(bv_lanes_t, 1);
    lanes->costs = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return lanes;
}

void
bv_lanes_destroy(bv_lanes_t *lanes)
{
    if (lanes == NULL) {
        return;
    }
    g_hash_table_destroy(lanes->costs);
    g_free(lanes);
}

static cost_t *
find_cost(const bv_lanes_t *lanes, uint32_t route_hash)
{
    return g_hash_table_lookup(lanes->costs, GUINT_TO_POINTER(route_hash));
}

static int64_t
cheapest_own_us(const bv_lanes_t *lanes)
{
    int64_t least_us = INT64_MAX;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, lanes->costs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cost_t *cost = value;
        if (cost->samples >= SAMPLES_NEEDED) {
            least_us = MIN(least_us, cost->own_us);
        }
    }
    return least_us;
}

static void
classify(const bv_lanes_t *lanes, cost_t *cost)
{
    int64_t cheapest_us = cheapest_own_us(lanes);
    if (cheapest_us == INT64_MAX) {
        return;
    }
    int64_t factor = cost->is_long ? LONG_LEAVE_FACTOR : LONG_ENTER_FACTOR;
    cost->is_long = cost->own_us >= factor * MAX(cheapest_us, 1);
}

void
bv_lanes_record_cost(bv_lanes_t *lanes, int64_t now_us, uint32_t route_hash,
                     int64_t latency_us, int64_t own_us)
{
    cost_t *cost = find_cost(lanes, route_hash);
    if (cost == NULL) {
        if (g_hash_table_size(lanes->costs) >= ROUTES_LIMIT) {
            g_hash_table_remove_all(lanes->costs);
        }
        cost = g_new0(cost_t, 1);
        cost->own_us = own_us;
        cost->latency_us = latency_us;
        g_hash_table_insert(lanes->costs, GUINT_TO_POINTER(route_hash), cost);
    }
    cost->own_us += (own_us - cost->own_us) / MEAN_DIVISOR;
    cost->latency_us += (latency_us - cost->latency_us) / MEAN_DIVISOR;
    cost->updated_us = now_us;
    cost->samples++;
    if (cost->samples % SAMPLES_NEEDED == 0) {
        classify(lanes, cost);
    }
}

bv_lane_t
bv_lanes_classify(bv_lanes_t *lanes, uint32_t route_hash, bool is_long_hint)
{
    const cost_t *cost = find_cost(lanes, route_hash);
    if (cost == NULL || cost->samples < SAMPLES_NEEDED) {
        return is_long_hint ? BV_LANE_LONG : BV_LANE_SHORT;
    }
    return cost->is_long ? BV_LANE_LONG : BV_LANE_SHORT;
}

int64_t
bv_lanes_typical_latency_us(const bv_lanes_t *lanes, int64_t now_us,
                            uint32_t route_hash)
{
    const cost_t *cost = find_cost(lanes, route_hash);
    if (cost == NULL) {
        return 0;
    }
    double half_lives =
        (double)(now_us - cost->updated_us) / LATENCY_HALF_LIFE_US;
    return (int64_t)((double)cost->latency_us * exp2(-half_lives));
}

/* Returns the highest number of pieces of short work that ran at once. The
 * number decays with time. */
static double
recent_short_peak(const bv_lanes_t *lanes, int64_t now_us)
{
    double half_lives =
        (double)(now_us - lanes->short_peak_updated_us) / PEAK_HALF_LIFE_US;
    return lanes->short_peak * exp2(-half_lives);
}

void
bv_lanes_record_start(bv_lanes_t *lanes, int64_t now_us, bv_lane_t lane)
{
    lanes->running[lane]++;
    if (lane != BV_LANE_SHORT) {
        return;
    }
    lanes->short_peak =
        MAX(recent_short_peak(lanes, now_us), lanes->running[BV_LANE_SHORT]);
    lanes->short_peak_updated_us = now_us;
}

void
bv_lanes_record_end(bv_lanes_t *lanes, bv_lane_t lane)
{
    lanes->running[lane]--;
}

uint32_t
bv_lanes_running(const bv_lanes_t *lanes, bv_lane_t lane)
{
    return lanes->running[lane];
}

bool
bv_lanes_may_start(const bv_lanes_t *lanes, int64_t now_us, bv_lane_t lane,
                   const bv_lanes_limits_t *limits)
{
    uint32_t long_running = lanes->running[BV_LANE_LONG];
    uint32_t running = long_running + lanes->running[BV_LANE_SHORT];
    if (running >= limits->limit) {
        return false;
    }
    uint32_t share = limits->limit * limits->long_share_percent / 100;
    if (lane == BV_LANE_SHORT || long_running < MAX(1, share)) {
        return true;
    }
    double slots_for_short = ceil(recent_short_peak(lanes, now_us)) + 1;
    return limits->short_waiting == 0 &&
           long_running + 1 + slots_for_short <= limits->limit;
}
