#include "router_internal.h"

#include <string.h>
#include <xxhash.h>

/* Time between nodes, both ways, until the first report. */
static const double assumed_network_us[BV_TIER_END] = {500, 8000, 60000};

static void
free_service(gpointer data)
{
    service_t *service = data;
    for (int i = 0; i < BV_TIER_END; i++) {
        g_ptr_array_unref(service->tiers[i]);
    }
    g_hash_table_destroy(service->routes);
    g_free(service);
}

bv_router_t *
bv_router_create(const bv_router_options_t *options)
{
    bv_router_t *router = g_new0(bv_router_t, 1);
    router->options = *options;
    router->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    router->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    return router;
}

void
bv_router_destroy(bv_router_t *router)
{
    if (router == NULL) {
        return;
    }
    g_hash_table_destroy(router->entries);
    g_hash_table_destroy(router->services);
    g_free(router);
}

static service_t *
find_or_add_service(bv_router_t *router, const char *name)
{
    service_t *service = g_hash_table_lookup(router->services, name);
    if (service != NULL) {
        return service;
    }
    service = g_new0(service_t, 1);
    for (int i = 0; i < BV_TIER_END; i++) {
        service->tiers[i] = g_ptr_array_new();
    }
    service->routes = bv_route_stats_create_table();
    for (int i = 0; i < BV_TIER_END; i++) {
        service->network_us[i] = assumed_network_us[i];
    }
    g_hash_table_insert(router->services, g_strdup(name), service);
    return service;
}

static bv_tier_t
tier_of(const bv_router_t *router, const bv_member_t *member)
{
    if (strcmp(member->data_centre, router->options.data_centre) == 0) {
        return BV_TIER_DATA_CENTRE;
    }
    if (strcmp(member->region, router->options.region) == 0) {
        return BV_TIER_REGION;
    }
    return BV_TIER_REST;
}

static uint64_t
rank_of(const bv_router_t *router, const bv_member_t *member)
{
    const char *name = router->options.name;
    return XXH3_64bits_withSeed(member->name, strlen(member->name),
                                XXH3_64bits(name, strlen(name)));
}

static gint
compare_rank(gconstpointer left, gconstpointer right)
{
    const entry_t *a = *(entry_t *const *)left;
    const entry_t *b = *(entry_t *const *)right;
    return a->rank < b->rank ? -1 : a->rank > b->rank;
}

static void
remove_from_tier(entry_t *entry)
{
    if (entry->service != NULL) {
        g_ptr_array_remove(entry->service->tiers[entry->tier], entry);
        entry->service = NULL;
    }
}

static void
add_to_tier(bv_router_t *router, entry_t *entry)
{
    const bv_member_t *member = &entry->member;
    if (member->state > BV_MEMBER_SUSPECT || member->slots == 0) {
        return;
    }
    entry->service = find_or_add_service(router, member->service);
    entry->tier = tier_of(router, member);
    entry->rank = rank_of(router, member);
    GPtrArray *tier = entry->service->tiers[entry->tier];
    g_ptr_array_add(tier, entry);
    g_ptr_array_sort(tier, compare_rank);
}

static entry_t *
find_or_add_entry(bv_router_t *router, const bv_member_t *member)
{
    entry_t *entry = g_hash_table_lookup(router->entries, member->name);
    if (entry == NULL) {
        entry = g_new0(entry_t, 1);
        entry->member = *member;
        bv_outlier_reset(&entry->outlier);
        bv_placement_reset(&entry->placement);
        g_hash_table_insert(router->entries, entry->member.name, entry);
    }
    return entry;
}

void
bv_router_update(bv_router_t *router, const bv_member_t *member)
{
    entry_t *entry = find_or_add_entry(router, member);
    if (entry->member.incarnation != member->incarnation) {
        entry->threshold = 0;
        entry->wait_us = 0;
        entry->first_called_us = 0;
        entry->is_silent = false;
        bv_outlier_reset(&entry->outlier);
        bv_placement_reset(&entry->placement);
    }
    remove_from_tier(entry);
    entry->member = *member;
    add_to_tier(router, entry);
}

void
bv_router_set_silent(bv_router_t *router, const char *member,
                     uint64_t incarnation, bool is_silent)
{
    entry_t *entry = g_hash_table_lookup(router->entries, member);
    if (entry != NULL && entry->member.incarnation == incarnation) {
        entry->is_silent = is_silent;
    }
}

bool
router_is_usable(const entry_t *entry, int64_t now_us)
{
    return !entry->outlier.is_probing &&
           !bv_outlier_is_ejected(&entry->outlier, now_us);
}
