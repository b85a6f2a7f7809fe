#ifndef BERYLVANE_CORE_ROUTE_STATS_H
#define BERYLVANE_CORE_ROUTE_STATS_H

#include "berylvane/core/latency_histogram.h"

/*
 * route_stats - latencies that a calling node has measured on a service's
 * routes
 */

/* Locality of a member: local data centre, local region, all others. */
typedef enum {
    BV_TIER_DATA_CENTRE,
    BV_TIER_REGION,
    BV_TIER_REST,
    BV_TIER_END,
} bv_tier_t;

typedef struct {
    /* Moving mean of each tier; an assumed value until it is measured. */
    double mean_us[BV_TIER_END];
    bool measured[BV_TIER_END];
    /* Moving mean of the service times that targets report; 0 if unknown. */
    double service_us;
    bv_latency_histogram_t latency;
} bv_route_stats_t;

/*
 * Creates a table of routes by the hash of their names; the caller frees it by
 * g_hash_table_destroy().
 */
GHashTable *bv_route_stats_create_table(void);

/*
 * Returns the entry of a route, which is created if it does not exist. The
 * table owns the entry. Creating an entry in a full table removes all others.
 */
bv_route_stats_t *bv_route_stats_ensure(GHashTable *routes,
                                        uint32_t route_hash);

/*
 * Records a latency. Returns its ratio to the tier's previous mean, or 1 for
 * the tier's first latency.
 */
double bv_route_stats_record(bv_route_stats_t *route, bv_tier_t tier,
                             int64_t latency_us);

/* Records the service time that a target reports for the route. */
void bv_route_stats_record_service(bv_route_stats_t *route,
                                   int64_t service_us);

#endif
