#include "berylvane/core/router.h"

#include "berylvane/core/outlier.h"
#include "berylvane/core/route_stats.h"

#include <string.h>
#include <xxhash.h>

#define SUBSET_MEMBERS 24
/* Weight of this node's calls in flight. It is above 1 since the calls of
 * other nodes to the same member are not visible here. */
#define IN_FLIGHT_WEIGHT 4.0
/* A farther tier is used if its cost is lower by this factor. The factor is
 * high between regions, where links are narrow and billed by volume. */
static const double spill_factors[BV_TIER_END] = {
    [BV_TIER_REGION] = 1.5,
    [BV_TIER_REST] = 4.0,
};
/* Multiple of its latency that is added to the cost of a member which fails
 * all work. */
#define FAILING_WEIGHT 8.0
#define HEDGE_SAMPLES 64
#define HEDGE_SHARE 0.95
/* A report counts in full up to REPORT_FRESH_US, then decays within
 * REPORT_DECAY_US. */
#define REPORT_FRESH_US 100000
#define REPORT_DECAY_US 1000000
#define WARM_UP_US 3000000
#define COLD_FACTOR_LIMIT 10.0
/* At most one in this many members of a tier is ejected. */
#define EJECT_DIVISOR 3
/* Slowness assumed for the siblings of a member without siblings; no member is
 * slow in comparison. */
#define SLOWNESS_LIMIT 1e9

typedef struct {
    /* Members that can be called, ordered by their rank for this node. */
    GPtrArray *tiers[BV_TIER_END];
    GHashTable *routes;
} service_t;

typedef struct {
    bv_member_t member;
    service_t *service;
    bv_tier_t tier;
    uint64_t rank;
    uint32_t in_flight;
    uint16_t threshold;
    int64_t wait_us;
    int64_t reported_us;
    /* When this incarnation was first called; 0 if never. */
    int64_t first_called_us;
    bv_outlier_t outlier;
} entry_t;

struct bv_router {
    bv_router_options_t options;
    GHashTable *entries;
    GHashTable *services;
};

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
        bv_outlier_reset(&entry->outlier);
    }
    remove_from_tier(entry);
    entry->member = *member;
    add_to_tier(router, entry);
}

static bool
is_excluded(const entry_t *entry, const bv_pick_request_t *request)
{
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        if (strcmp(entry->member.name, request->excluded[i]) == 0) {
            return true;
        }
    }
    return false;
}

/* Weight of the last report, from 1 for a new one to 0. */
static double
report_weight(const entry_t *entry, int64_t now_us)
{
    int64_t silent_us = now_us - entry->reported_us - REPORT_FRESH_US;
    return 1 - (double)CLAMP(silent_us, 0, REPORT_DECAY_US) / REPORT_DECAY_US;
}

static bool
is_over_threshold(const entry_t *entry, int64_t now_us,
                  const bv_pick_request_t *request)
{
    return request->priority < entry->threshold * report_weight(entry, now_us);
}

/* Factor on the load of a target that started recently, so that it receives
 * fewer calls until it has warmed up. */
static double
cold_factor(const entry_t *entry, int64_t now_us)
{
    if (entry->first_called_us == 0) {
        return 1;
    }
    int64_t age_us = MAX(1, now_us - entry->first_called_us);
    return CLAMP((double)WARM_UP_US / (double)age_us, 1, COLD_FACTOR_LIMIT);
}

static double
estimate_cost_us(const entry_t *entry, int64_t now_us,
                 const bv_route_stats_t *route)
{
    double latency_us = route->mean_us[entry->tier] *
                        bv_outlier_slowness(&entry->outlier, now_us);
    double load = entry->in_flight * IN_FLIGHT_WEIGHT / entry->member.slots;
    double wait_us = (double)entry->wait_us * report_weight(entry, now_us);
    double failure_rate = bv_outlier_failure_rate(&entry->outlier, now_us);
    return latency_us * (1 + load * cold_factor(entry, now_us)) *
               (1 + FAILING_WEIGHT * failure_rate) +
           wait_us;
}

/* Whether `left` is preferred to `right`. */
static bool
is_better(const entry_t *left, const entry_t *right, int64_t now_us,
          const bv_pick_request_t *request, const bv_route_stats_t *route)
{
    bool is_left_over = is_over_threshold(left, now_us, request);
    bool is_right_over = is_over_threshold(right, now_us, request);
    if (is_left_over != is_right_over) {
        return is_right_over;
    }
    return estimate_cost_us(left, now_us, route) <=
           estimate_cost_us(right, now_us, route);
}

static entry_t *
choose_of_two(const bv_router_t *router, GPtrArray *candidates, int64_t now_us,
              const bv_pick_request_t *request, const bv_route_stats_t *route)
{
    gint32 size = (gint32)candidates->len;
    GRand *random = router->options.random;
    gint32 index = g_rand_int_range(random, 0, size);
    entry_t *first = candidates->pdata[index];
    if (size == 1) {
        return first;
    }
    gint32 other_index = g_rand_int_range(random, 0, size - 1);
    entry_t *second =
        candidates->pdata[other_index < index ? other_index : other_index + 1];
    return is_better(first, second, now_us, request, route) ? first : second;
}

/* Whether the ejection has ended and no call probes the member yet. */
static bool
needs_probe(const entry_t *entry, int64_t now_us)
{
    return entry->outlier.is_probing && entry->in_flight == 0 &&
           !bv_outlier_is_ejected(&entry->outlier, now_us);
}

static bool
is_usable(const entry_t *entry, int64_t now_us)
{
    return !entry->outlier.is_probing &&
           !bv_outlier_is_ejected(&entry->outlier, now_us);
}

static entry_t *
choose_in_tier(const bv_router_t *router, const GPtrArray *tier,
               int64_t now_us, const bv_pick_request_t *request,
               const bv_route_stats_t *route)
{
    GPtrArray *usable = g_ptr_array_sized_new(SUBSET_MEMBERS);
    GPtrArray *ejected = g_ptr_array_sized_new(SUBSET_MEMBERS);
    entry_t *chosen = NULL;
    for (guint i = 0; i < tier->len && usable->len < SUBSET_MEMBERS; i++) {
        entry_t *entry = tier->pdata[i];
        if (is_excluded(entry, request)) {
            continue;
        }
        if (needs_probe(entry, now_us)) {
            chosen = entry;
            break;
        }
        g_ptr_array_add(is_usable(entry, now_us) ? usable : ejected, entry);
    }
    GPtrArray *candidates = usable->len > 0 ? usable : ejected;
    if (chosen == NULL && candidates->len > 0) {
        chosen = choose_of_two(router, candidates, now_us, request, route);
    }
    g_ptr_array_unref(usable);
    g_ptr_array_unref(ejected);
    return chosen;
}

/* Whether a call is to go to the farther tier instead of the nearer one. */
static bool
should_spill(const entry_t *nearer, const entry_t *farther, int64_t now_us,
             const bv_pick_request_t *request, const bv_route_stats_t *route)
{
    if (is_over_threshold(farther, now_us, request)) {
        return false;
    }
    return is_over_threshold(nearer, now_us, request) ||
           estimate_cost_us(nearer, now_us, route) >
               spill_factors[farther->tier] *
                   estimate_cost_us(farther, now_us, route);
}

static entry_t *
choose_member(const bv_router_t *router, const service_t *service,
              int64_t now_us, const bv_pick_request_t *request,
              const bv_route_stats_t *route)
{
    entry_t *chosen = NULL;
    for (int i = 0; i < BV_TIER_END; i++) {
        entry_t *entry =
            choose_in_tier(router, service->tiers[i], now_us, request, route);
        if (entry == NULL) {
            continue;
        }
        if (chosen == NULL ||
            should_spill(chosen, entry, now_us, request, route)) {
            chosen = entry;
        }
    }
    return chosen;
}

bool
bv_router_pick(bv_router_t *router, int64_t now_us,
               const bv_pick_request_t *request, bv_picked_t *picked,
               bv_reason_t *reason)
{
    service_t *service =
        g_hash_table_lookup(router->services, request->service);
    entry_t *chosen = NULL;
    if (service != NULL) {
        const bv_route_stats_t *route =
            bv_route_stats_ensure(service->routes, request->route_hash);
        chosen = choose_member(router, service, now_us, request, route);
    }
    if (chosen == NULL) {
        *reason = BV_REASON_NO_TARGET;
        return false;
    }
    chosen->in_flight++;
    if (chosen->first_called_us == 0) {
        chosen->first_called_us = now_us;
    }
    g_strlcpy(picked->name, chosen->member.name, BV_NAME_BYTES);
    g_strlcpy(picked->address, chosen->member.address, BV_ADDRESS_BYTES);
    picked->peer_port = chosen->member.peer_port;
    picked->incarnation = chosen->member.incarnation;
    picked->reported_wait_us = chosen->wait_us;
    picked->report_age_us =
        chosen->reported_us > 0 ? now_us - chosen->reported_us : 0;
    return true;
}

static uint32_t
count_ejected(const GPtrArray *tier, int64_t now_us)
{
    uint32_t count = 0;
    for (guint i = 0; i < tier->len; i++) {
        count += !is_usable(tier->pdata[i], now_us);
    }
    return count;
}

/* Median slowness of a member's siblings. The comparison with it ignores what
 * slows all members. */
static double
sibling_slowness(const entry_t *entry, const GPtrArray *tier, int64_t now_us)
{
    double values[SUBSET_MEMBERS];
    guint count = 0;
    for (guint i = 0; i < tier->len && count < SUBSET_MEMBERS; i++) {
        const entry_t *sibling = tier->pdata[i];
        if (sibling != entry && is_usable(sibling, now_us)) {
            values[count++] = bv_outlier_slowness(&sibling->outlier, now_us);
        }
    }
    if (count == 0) {
        return SLOWNESS_LIMIT;
    }
    return bv_outlier_median(values, count);
}

static void
record_result(entry_t *entry, int64_t now_us, const bv_feedback_t *feedback)
{
    bool ran = feedback->outcome == BV_OUTCOME_RAN;
    /* A refusal by the node is caused by load, and is not recorded; a refusal
     * by the target itself counts as a failure. */
    bool is_refusal_by_node = feedback->outcome == BV_OUTCOME_NOT_RUN &&
                              feedback->reason != BV_REASON_TARGET_REFUSED;
    if (entry->service == NULL || is_refusal_by_node) {
        return;
    }
    GPtrArray *tier = entry->service->tiers[entry->tier];
    bv_route_stats_t *route =
        bv_route_stats_ensure(entry->service->routes, feedback->route_hash);
    bv_outlier_sample_t sample = {
        .failed = !ran,
        .median_sibling_slowness = sibling_slowness(entry, tier, now_us),
        .may_eject =
            (count_ejected(tier, now_us) + 1) * EJECT_DIVISOR <= tier->len,
    };
    if (ran) {
        sample.latency_ratio =
            bv_route_stats_record(route, entry->tier, feedback->latency_us);
    }
    bv_outlier_record_sample(&entry->outlier, now_us, &sample);
}

void
bv_router_settle(bv_router_t *router, int64_t now_us, const char *member,
                 const bv_feedback_t *feedback)
{
    entry_t *entry = g_hash_table_lookup(router->entries, member);
    if (entry == NULL) {
        return;
    }
    if (entry->in_flight > 0) {
        entry->in_flight--;
    }
    if (!feedback->answered) {
        return;
    }
    entry->threshold = feedback->threshold;
    entry->wait_us = feedback->wait_us;
    entry->reported_us = now_us;
    record_result(entry, now_us, feedback);
}

int64_t
bv_router_hedge_after_us(const bv_router_t *router, const char *service,
                         uint32_t route_hash)
{
    const service_t *found = g_hash_table_lookup(router->services, service);
    if (found == NULL) {
        return 0;
    }
    const bv_route_stats_t *route =
        g_hash_table_lookup(found->routes, GUINT_TO_POINTER(route_hash));
    if (route == NULL || route->latency.total < HEDGE_SAMPLES) {
        return 0;
    }
    return bv_latency_histogram_percentile_us(&route->latency, HEDGE_SHARE);
}

uint32_t
bv_router_count_ejected(const bv_router_t *router, int64_t now_us,
                        const char *service)
{
    const service_t *found = g_hash_table_lookup(router->services, service);
    uint32_t count = 0;
    for (int i = 0; found != NULL && i < BV_TIER_END; i++) {
        count += count_ejected(found->tiers[i], now_us);
    }
    return count;
}
