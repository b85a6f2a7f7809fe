#include "berylvane/core/traffic_split.h"

#include <string.h>

struct bv_traffic_split {
    GRand *random;
    /* Share of a call that is due to a part, by "route service". */
    GHashTable *phases;
};

bv_traffic_split_t *
bv_traffic_split_create(GRand *random)
{
    bv_traffic_split_t *parts = g_new0(bv_traffic_split_t, 1);
    parts->random = random;
    parts->phases =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return parts;
}

void
bv_traffic_split_destroy(bv_traffic_split_t *parts)
{
    if (parts == NULL) {
        return;
    }
    g_hash_table_destroy(parts->phases);
    g_free(parts);
}

static double *
phase_of(bv_traffic_split_t *parts, const bv_route_t *route,
         const bv_weighted_service_t *part)
{
    char *key = g_strconcat(route->name, " ", part->service, NULL);
    double *phase = g_hash_table_lookup(parts->phases, key);
    if (phase != NULL) {
        g_free(key);
        return phase;
    }
    phase = g_new(double, 1);
    *phase = g_rand_double(parts->random);
    g_hash_table_insert(parts->phases, key, phase);
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

/* Each part in turn takes its share of the calls that those before it left. */
const char *
bv_traffic_split_choose(bv_traffic_split_t *parts, const bv_route_t *route)
{
    double left = total_weight(route);
    for (guint i = 0; i < route->weighted_services->len; i++) {
        const bv_weighted_service_t *part =
            &g_array_index(route->weighted_services, bv_weighted_service_t, i);
        if (part->weight == 0) {
            continue;
        }
        if (part->weight >= left) {
            return part->service;
        }
        double *phase = phase_of(parts, route, part);
        *phase += part->weight / left;
        if (*phase >= 1) {
            *phase -= 1;
            return part->service;
        }
        left -= part->weight;
    }
    return route->service;
}
