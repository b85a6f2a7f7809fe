#include "berylvane/core/route_cost.h"

#define ROUTES_LIMIT 256
#define MEAN_WEIGHT 0.05
/* The mean of fewer answers may be that of a single slow one. */
#define SAMPLES_NEEDED 16

typedef struct {
    double mean_us;
    uint32_t samples;
} cost_t;

struct bv_route_costs {
    GHashTable *routes;
};

bv_route_costs_t *
bv_route_costs_create(void)
{
    bv_route_costs_t *costs = g_new0(bv_route_costs_t, 1);
    costs->routes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return costs;
}

void
bv_route_costs_destroy(bv_route_costs_t *costs)
{
    if (costs == NULL) {
        return;
    }
    g_hash_table_destroy(costs->routes);
    g_free(costs);
}

static cost_t *
ensure_cost(bv_route_costs_t *costs, uint32_t route_hash)
{
    gpointer key = GUINT_TO_POINTER(route_hash);
    cost_t *cost = g_hash_table_lookup(costs->routes, key);
    if (cost != NULL) {
        return cost;
    }
    if (g_hash_table_size(costs->routes) >= ROUTES_LIMIT) {
        g_hash_table_remove_all(costs->routes);
    }
    cost = g_new0(cost_t, 1);
    g_hash_table_insert(costs->routes, key, cost);
    return cost;
}

void
bv_route_costs_record(bv_route_costs_t *costs, uint32_t route_hash,
                      int64_t latency_us, int64_t wait_us)
{
    cost_t *cost = ensure_cost(costs, route_hash);
    double cost_us = (double)MAX(1, latency_us - wait_us);
    cost->samples++;
    double weight = MAX(MEAN_WEIGHT, 1.0 / cost->samples);
    cost->mean_us += (cost_us - cost->mean_us) * weight;
}

int64_t
bv_route_costs_get(const bv_route_costs_t *costs, uint32_t route_hash)
{
    const cost_t *cost =
        g_hash_table_lookup(costs->routes, GUINT_TO_POINTER(route_hash));
    if (cost == NULL || cost->samples < SAMPLES_NEEDED) {
        return 0;
    }
    return MAX(1, (int64_t)cost->mean_us);
}
