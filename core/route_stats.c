#include "berylvane/core/route_stats.h"

#include <string.h>

#define MEAN_WEIGHT 0.05
#define ROUTES_LIMIT 256

/* Latency assumed for each tier until the first answer. */
static const double assumed_latency_us[BV_TIER_END] = {1000, 2000, 60000};

GHashTable *
bv_route_stats_create_table(void)
{
    return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

bv_route_stats_t *
bv_route_stats_ensure(GHashTable *routes, uint32_t route_hash)
{
    gpointer key = GUINT_TO_POINTER(route_hash);
    bv_route_stats_t *route = g_hash_table_lookup(routes, key);
    if (route != NULL) {
        return route;
    }
    if (g_hash_table_size(routes) >= ROUTES_LIMIT) {
        g_hash_table_remove_all(routes);
    }
    route = g_new0(bv_route_stats_t, 1);
    memcpy(route->mean_us, assumed_latency_us, sizeof(assumed_latency_us));
    g_hash_table_insert(routes, key, route);
    return route;
}

double
bv_route_stats_record(bv_route_stats_t *route, bv_tier_t tier,
                      int64_t latency_us)
{
    double *mean_us = &route->mean_us[tier];
    if (!route->measured[tier]) {
        route->measured[tier] = true;
        *mean_us = (double)latency_us;
    }
    double ratio = (double)latency_us / MAX(1, *mean_us);
    *mean_us += ((double)latency_us - *mean_us) * MEAN_WEIGHT;
    bv_latency_histogram_add(&route->latency, latency_us);
    return ratio;
}

void
bv_route_stats_record_service(bv_route_stats_t *route, int64_t service_us)
{
    if (route->service_us <= 0) {
        route->service_us = (double)service_us;
    }
    route->service_us +=
        ((double)service_us - route->service_us) * MEAN_WEIGHT;
}
