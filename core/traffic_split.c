#include "berylvane/core/traffic_split.h"

#include <string.h>

struct bv_traffic_split {
    GRand *random;
    /*
     * Fraction of a call (a double from 0 up to 1) that each service of a
     * route has accumulated, by the names of route and service with a blank
     * between.
     */
    GHashTable *phases;
};

bv_traffic_split_t *
bv_traffic_split_create(GRand *random)
{
    bv_traffic_split_t *split = g_new0(bv_traffic_split_t, 1);
    split->random = random;
    split->phases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return split;
}

void
bv_traffic_split_destroy(bv_traffic_split_t *split)
{
    if (split == NULL) {
        return;
    }
    g_hash_table_destroy(split->phases);
    g_free(split);
}

static double *
phase_of(bv_traffic_split_t *split, const bv_route_t *route,
         const bv_weighted_service_t *entry)
{
    char *key = g_strconcat(route->name, " ", entry->service, NULL);
    double *phase = g_hash_table_lookup(split->phases, key);
    if (phase != NULL) {
        g_free(key);
        return phase;
    }
    phase = g_new(double, 1);
    *phase = g_rand_double(split->random);
    g_hash_table_insert(split->phases, key, phase);
    return phase;
}

static double
total_weight(const bv_route_t *route)
{
    double total = 0;
    for (guint i = 0; i < route->weighted_services->len; i++) {
        total +=
            g_array_index(route->weighted_services, bv_weighted_service_t, i)
                .weight;
    }
    return total;
}

/*
 * Goes through the services in their order. Each accumulates the ratio of its
 * weight to the weight of itself and all services after it, and receives the
 * call when the sum reaches 1.
 */
const char *
bv_traffic_split_choose(bv_traffic_split_t *split, const bv_route_t *route)
{
    double remaining_weight = total_weight(route);
    for (guint i = 0; i < route->weighted_services->len; i++) {
        const bv_weighted_service_t *entry =
            &g_array_index(route->weighted_services, bv_weighted_service_t, i);
        if (entry->weight == 0) {
            continue;
        }
        if (entry->weight >= remaining_weight) {
            return entry->service;
        }
        double *phase = phase_of(split, route, entry);
        *phase += entry->weight / remaining_weight;
        if (*phase >= 1) {
            *phase -= 1;
            return entry->service;
        }
        remaining_weight -= entry->weight;
    }
    return route->service;
}
