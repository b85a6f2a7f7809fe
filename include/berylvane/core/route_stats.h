#ifndef BERYLVANE_CORE_ROUTE_STATS_H
#define BERYLVANE_CORE_ROUTE_STATS_H

#include "berylvane/core/latency_histogram.h"

/*
 * route_stats - what a caller side has measured of the routes of a service
 */

/* Locality of a member: own data centre, own region, the rest. */
typedef enum {
    BV_TIER_DATA_CENTRE,
    BV_TIER_REGION,
    BV_TIER_REST,
    BV_TIER_END,
} bv_tier_t;

typedef struct {
    double mean_us[BV_TIER_END];
    bool measured[BV_TIER_END];
    bv_latency_histogram_t latency;
} bv_route_stats_t;

/* A table of routes by the hash of their names, for g_hash_table_destroy(). */
GHashTable *bv_route_stats_create_table(void);

/* The route `kind`, made when it is new; the table's size is bounded. */
bv_route_stats_t *bv_route_stats_ensure(GHashTable *routes, uint32_t kind);

/* Takes in an answer; its latency over the mean until now. */
double bv_route_stats_record(bv_route_stats_t *route, bv_tier_t tier,
                             int64_t latency_us);

#endif
