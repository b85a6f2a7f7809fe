#include "berylvane/core/lanes.h"

#include <math.h>

#define KINDS_LIMIT 256
#define WEIGHT 8
#define LEARNED_SAMPLES 16
/* A kind becomes long at this many times the cheapest, and short below. */
#define LONG_ENTER 8
#define LONG_LEAVE 4
#define TYPICAL_HALF_LIFE_US 500000.0
#define PEAK_HALF_LIFE_US 2000000.0

typedef struct {
    int64_t own_us;
    int64_t latency_us;
    int64_t learned_us;
    uint32_t samples;
    bool is_long;
} cost_t;

struct bv_lanes {
    GHashTable *costs;
    uint32_t running[BV_LANE_END];
    double short_peak;
    int64_t peak_us;
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
find(const bv_lanes_t *lanes, uint32_t kind)
{
    return g_hash_table_lookup(lanes->costs, GUINT_TO_POINTER(kind));
}

static int64_t
cheapest_us(const bv_lanes_t *lanes)
{
    int64_t least_us = INT64_MAX;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, lanes->costs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const cost_t *cost = value;
        if (cost->samples >= LEARNED_SAMPLES) {
            least_us = MIN(least_us, cost->own_us);
        }
    }
    return least_us;
}

static void
classify(const bv_lanes_t *lanes, cost_t *cost)
{
    int64_t base_us = cheapest_us(lanes);
    if (base_us == INT64_MAX) {
        return;
    }
    int64_t factor = cost->is_long ? LONG_LEAVE : LONG_ENTER;
    cost->is_long = cost->own_us >= factor * MAX(base_us, 1);
}

void
bv_lanes_record_cost(bv_lanes_t *lanes, int64_t now_us, uint32_t kind,
                     int64_t latency_us, int64_t own_us)
{
    cost_t *cost = find(lanes, kind);
    if (cost == NULL) {
        if (g_hash_table_size(lanes->costs) >= KINDS_LIMIT) {
            g_hash_table_remove_all(lanes->costs);
        }
        cost = g_new0(cost_t, 1);
        cost->own_us = own_us;
        cost->latency_us = latency_us;
        g_hash_table_insert(lanes->costs, GUINT_TO_POINTER(kind), cost);
    }
    cost->own_us += (own_us - cost->own_us) / WEIGHT;
    cost->latency_us += (latency_us - cost->latency_us) / WEIGHT;
    cost->learned_us = now_us;
    cost->samples++;
    if (cost->samples % LEARNED_SAMPLES == 0) {
        classify(lanes, cost);
    }
}

bv_lane_t
bv_lanes_classify(bv_lanes_t *lanes, uint32_t kind, bool hint)
{
    const cost_t *cost = find(lanes, kind);
    if (cost == NULL || cost->samples < LEARNED_SAMPLES) {
        return hint ? BV_LANE_LONG : BV_LANE_SHORT;
    }
    return cost->is_long ? BV_LANE_LONG : BV_LANE_SHORT;
}

int64_t
bv_lanes_typical_latency_us(const bv_lanes_t *lanes, int64_t now_us,
                            uint32_t kind)
{
    const cost_t *cost = find(lanes, kind);
    if (cost == NULL) {
        return 0;
    }
    double age = (double)(now_us - cost->learned_us) / TYPICAL_HALF_LIFE_US;
    return (int64_t)((double)cost->latency_us * exp2(-age));
}

static double
short_peak(const bv_lanes_t *lanes, int64_t now_us)
{
    double age = (double)(now_us - lanes->peak_us) / PEAK_HALF_LIFE_US;
    return lanes->short_peak * exp2(-age);
}

void
bv_lanes_record_start(bv_lanes_t *lanes, int64_t now_us, bv_lane_t lane)
{
    lanes->running[lane]++;
    if (lane != BV_LANE_SHORT) {
        return;
    }
    lanes->short_peak =
        MAX(short_peak(lanes, now_us), lanes->running[BV_LANE_SHORT]);
    lanes->peak_us = now_us;
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
    double needed = ceil(short_peak(lanes, now_us)) + 1;
    return limits->short_waiting == 0 &&
           long_running + 1 + needed <= limits->limit;
}
