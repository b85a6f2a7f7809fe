#include "router_internal.h"

static double
view_cost_us(const entry_t *entry, int64_t now_us)
{
    const bv_route_stats_t *route =
        bv_route_stats_ensure(entry->service->routes, entry->last_route_hash);
    return router_completion_us(entry, now_us, route);
}

static bool
is_viewed(const entry_t *entry)
{
    return entry->service != NULL && entry->first_called_us > 0;
}

/* Least expected time among the members of a service that were called. */
static double
least_cost_us(const service_t *service, int64_t now_us)
{
    double least_us = 0;
    for (int i = 0; i < BV_TIER_END; i++) {
        for (guint j = 0; j < service->tiers[i]->len; j++) {
            const entry_t *entry = service->tiers[i]->pdata[j];
            double cost_us =
                is_viewed(entry) ? view_cost_us(entry, now_us) : 0;
            if (cost_us > 0 && (least_us <= 0 || cost_us < least_us)) {
                least_us = cost_us;
            }
        }
    }
    return least_us;
}

static void
fill_view(const entry_t *entry, int64_t now_us, double least_us,
          bv_router_view_t *view)
{
    const bv_placement_t *placement = &entry->placement;
    double expected_us = view_cost_us(entry, now_us);
    *view = (bv_router_view_t){
        .name = entry->member.name,
        .service = entry->member.service,
        .state = placement->state,
        .state_changed_us = placement->state_changed_us,
        .slots = entry->member.slots,
        .report = placement->report,
        .reported_us = placement->reported_us,
        .in_flight = entry->in_flight,
        .calls = entry->calls,
        .observed_calls = entry->observed_calls,
        .expected_us = expected_us,
        .weight = least_us / MAX(1, expected_us),
    };
}

static void
view_service(const service_t *service, int64_t now_us,
             void (*callback)(void *context, const bv_router_view_t *view),
             void *context)
{
    double least_us = least_cost_us(service, now_us);
    for (int i = 0; i < BV_TIER_END; i++) {
        for (guint j = 0; j < service->tiers[i]->len; j++) {
            entry_t *entry = service->tiers[i]->pdata[j];
            if (is_viewed(entry)) {
                bv_router_view_t view;
                bv_placement_update_state(&entry->placement, now_us,
                                          entry->member.slots);
                fill_view(entry, now_us, least_us, &view);
                callback(context, &view);
            }
        }
    }
}

void
bv_router_foreach(const bv_router_t *router, int64_t now_us,
                  void (*callback)(void *context,
                                   const bv_router_view_t *view),
                  void *context)
{
    GHashTableIter iterator;
    gpointer value;
    if (router->options.placement == BV_PLACEMENT_OFF) {
        return;
    }
    g_hash_table_iter_init(&iterator, router->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        view_service(value, now_us, callback, context);
    }
}
