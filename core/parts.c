#include "berylvane/core/parts.h"

#include <string.h>

struct bv_parts {
    GRand *random;
    /* Balance of each part by "route service". */
    GHashTable *balances;
};

bv_parts_t *
bv_parts_create(GRand *random)
{
    bv_parts_t *parts = g_new0(bv_parts_t, 1);
    parts->random = random;
    parts->balances =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return parts;
}

void
bv_parts_destroy(bv_parts_t *parts)
{
    if (parts == NULL) {
        return;
    }
    g_hash_table_destroy(parts->balances);
    g_free(parts);
}

static double *
balance_of(bv_parts_t *parts, const bv_route_t *route, const bv_part_t *part)
{
    char *key = g_strconcat(route->name, " ", part->service, NULL);
    double *balance = g_hash_table_lookup(parts->balances, key);
    if (balance != NULL) {
        g_free(key);
        return balance;
    }
    balance = g_new(double, 1);
    *balance = g_rand_double(parts->random);
    g_hash_table_insert(parts->balances, key, balance);
    return balance;
}

static double
total_weight(const bv_route_t *route)
{
    double total = 0;
    for (guint i = 0; i < route->parts->len; i++) {
        total += g_array_index(route->parts, bv_part_t, i).weight;
    }
    return total;
}

/* Balances are in calls owed to a part, so that a new weight carries on. */
const char *
bv_parts_choose(bv_parts_t *parts, const bv_route_t *route)
{
    if (route->parts->len == 0) {
        return route->service;
    }
    double total = total_weight(route);
    const bv_part_t *chosen = NULL;
    double *most = NULL;
    for (guint i = 0; i < route->parts->len; i++) {
        const bv_part_t *part = &g_array_index(route->parts, bv_part_t, i);
        if (part->weight == 0) {
            continue;
        }
        double *balance = balance_of(parts, route, part);
        *balance += part->weight / total;
        if (most == NULL || *balance > *most) {
            most = balance;
            chosen = part;
        }
    }
    *most -= 1;
    return chosen->service;
}
