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
/* Members among which placement chooses. */
#define PLACEMENT_DRAWS 8
/* Least ratio of times by which a member over its threshold counts as slower
 * than a farther one that is not. */
#define OVER_FACTOR 4.0
/* Weights of a new sample in the moving means of a tier. */
#define NETWORK_WEIGHT 0.05
#define USE_WEIGHT 0.05
/* Time between nodes, both ways, until the first report. */
static const double assumed_network_us[BV_TIER_END] = {500, 8000, 60000};
/* Slowness assumed for the siblings of a member without siblings; no member is
 * slow in comparison. */
#define SLOWNESS_LIMIT 1e9

typedef struct {
    /* Members that can be called, ordered by their rank for this node. */
    GPtrArray *tiers[BV_TIER_END];
    GHashTable *routes;
    /* By tier: time between the nodes, both ways; load by what the targets
     * handle well; calls that may leave for the tier. */
    double network_us[BV_TIER_END];
    double use[BV_TIER_END];
    bv_spill_t spill[BV_TIER_END];
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
    /* Hash of the route that was called last. */
    uint32_t last_route_hash;
    uint64_t calls;
    uint64_t observed_calls;
    bv_outlier_t outlier;
    bv_placement_t placement;
} entry_t;

/* A choice that is being made. */
typedef struct {
    const bv_router_t *router;
    service_t *service;
    int64_t now_us;
    const bv_pick_request_t *request;
    const bv_route_stats_t *route;
    /* The choice is made by expected completion times. */
    bool by_placement;
} choice_t;

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
        bv_outlier_reset(&entry->outlier);
        bv_placement_reset(&entry->placement);
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

/* Service time of the route's work at a member of usual speed. */
static double
usual_service_us(const entry_t *entry, const bv_route_stats_t *route)
{
    if (route->service_us > 0) {
        return route->service_us;
    }
    return MAX(1, route->mean_us[entry->tier] -
                      entry->service->network_us[entry->tier]);
}

static bv_placement_input_t
placement_input(const entry_t *entry, int64_t now_us,
                const bv_route_stats_t *route)
{
    return (bv_placement_input_t){
        .service_us = usual_service_us(entry, route),
        .network_us = entry->service->network_us[entry->tier],
        .sibling_use = entry->service->use[entry->tier],
        .slots = entry->member.slots,
        .assumed_slowness = bv_outlier_slowness(&entry->outlier, now_us),
        .assumed_weight = IN_FLIGHT_WEIGHT * cold_factor(entry, now_us),
        .wait_us = (double)entry->wait_us * report_weight(entry, now_us),
    };
}

static double
estimate_completion_us(const entry_t *entry, int64_t now_us,
                       const bv_route_stats_t *route)
{
    bv_placement_input_t input = placement_input(entry, now_us, route);
    return bv_placement_expected_us(&entry->placement, now_us, &input);
}

static double
cost_of(const choice_t *choice, const entry_t *entry)
{
    return choice->by_placement
               ? estimate_completion_us(entry, choice->now_us, choice->route)
               : estimate_cost_us(entry, choice->now_us, choice->route);
}

/*
 * Whether a member is avoided because of its threshold. Admission never
 * refuses work that finds a free slot, so placement ignores the threshold of a
 * member that is expected to have one: a threshold decays over REPORT_FRESH_US
 * + REPORT_DECAY_US, and avoiding a member for that long would overload its
 * siblings.
 */
static bool
is_over(const choice_t *choice, const entry_t *entry)
{
    if (!is_over_threshold(entry, choice->now_us, choice->request)) {
        return false;
    }
    if (!choice->by_placement) {
        return true;
    }
    bv_placement_input_t input =
        placement_input(entry, choice->now_us, choice->route);
    return !bv_placement_has_room(&entry->placement, choice->now_us, &input);
}

/* Whether `left` is preferred to `right`. */
static bool
is_better(const choice_t *choice, const entry_t *left, const entry_t *right)
{
    bool is_left_over = is_over(choice, left);
    bool is_right_over = is_over(choice, right);
    if (is_left_over != is_right_over) {
        return is_right_over;
    }
    return cost_of(choice, left) <= cost_of(choice, right);
}

/* Returns the best of some random candidates, which are moved to the front. */
static entry_t *
choose_of_few(const choice_t *choice, GPtrArray *candidates, gint32 draws)
{
    gint32 size = (gint32)candidates->len;
    entry_t *best = NULL;
    for (gint32 i = 0; i < MIN(draws, size); i++) {
        gint32 other =
            g_rand_int_range(choice->router->options.random, i, size);
        entry_t *drawn = candidates->pdata[other];
        candidates->pdata[other] = candidates->pdata[i];
        candidates->pdata[i] = drawn;
        if (best == NULL || !is_better(choice, best, drawn)) {
            best = drawn;
        }
    }
    return best;
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
choose_in_tier(const choice_t *choice, const GPtrArray *tier)
{
    GPtrArray *usable = g_ptr_array_sized_new(SUBSET_MEMBERS);
    GPtrArray *ejected = g_ptr_array_sized_new(SUBSET_MEMBERS);
    entry_t *chosen = NULL;
    for (guint i = 0; i < tier->len && usable->len < SUBSET_MEMBERS; i++) {
        entry_t *entry = tier->pdata[i];
        if (is_excluded(entry, choice->request)) {
            continue;
        }
        if (needs_probe(entry, choice->now_us)) {
            chosen = entry;
            break;
        }
        g_ptr_array_add(is_usable(entry, choice->now_us) ? usable : ejected,
                        entry);
    }
    GPtrArray *candidates = usable->len > 0 ? usable : ejected;
    if (chosen == NULL && candidates->len > 0) {
        chosen = choose_of_few(choice, candidates,
                               choice->by_placement ? PLACEMENT_DRAWS : 2);
    }
    g_ptr_array_unref(usable);
    g_ptr_array_unref(ejected);
    return chosen;
}

/*
 * Whether placement sends the call to the farther tier. The share also ramps
 * up when the nearer tier is over its threshold: if all calls left at once,
 * they would overload the farther tier, and both by turns.
 */
static bool
should_spill_by_share(const choice_t *choice, const entry_t *nearer,
                      const entry_t *farther)
{
    double nearer_us = cost_of(choice, nearer);
    double farther_us = cost_of(choice, farther);
    if (is_over(choice, nearer)) {
        nearer_us = MAX(nearer_us, OVER_FACTOR * farther_us);
    }
    double share = bv_spill_update(&choice->service->spill[farther->tier],
                                   choice->now_us, nearer_us, farther_us);
    return nearer_us > farther_us &&
           g_rand_double(choice->router->options.random) < share;
}

/* Whether a call is to go to the farther tier instead of the nearer one. */
static bool
should_spill(const choice_t *choice, const entry_t *nearer,
             const entry_t *farther)
{
    if (is_over(choice, farther)) {
        return false;
    }
    if (choice->by_placement) {
        return should_spill_by_share(choice, nearer, farther);
    }
    if (is_over(choice, nearer)) {
        return true;
    }
    return cost_of(choice, nearer) >
           spill_factors[farther->tier] * cost_of(choice, farther);
}

static entry_t *
choose_member(const choice_t *choice)
{
    entry_t *chosen = NULL;
    for (int i = 0; i < BV_TIER_END; i++) {
        entry_t *entry = choose_in_tier(choice, choice->service->tiers[i]);
        if (entry == NULL) {
            continue;
        }
        if (chosen == NULL || should_spill(choice, chosen, entry)) {
            chosen = entry;
        }
    }
    return chosen;
}

/* Stores what placement would choose instead of `chosen`. */
static void
observe_placement(choice_t *choice, const entry_t *chosen, bv_picked_t *picked)
{
    choice->by_placement = true;
    entry_t *other = choose_member(choice);
    other->observed_calls++;
    picked->differs = other != chosen;
    g_strlcpy(picked->observed_name, other->member.name, BV_NAME_BYTES);
}

static bool
is_in_nearest_tier(const entry_t *entry)
{
    for (int i = 0; i < (int)entry->tier; i++) {
        if (entry->service->tiers[i]->len > 0) {
            return false;
        }
    }
    return true;
}

static void
record_send(const choice_t *choice, entry_t *entry)
{
    entry->in_flight++;
    if (entry->first_called_us == 0) {
        entry->first_called_us = choice->now_us;
    }
    entry->calls++;
    entry->last_route_hash = choice->request->route_hash;
    if (choice->router->options.placement != BV_PLACEMENT_OFF) {
        bv_placement_record_send(
            &entry->placement, choice->now_us,
            estimate_completion_us(entry, choice->now_us, choice->route));
    }
}

static void
fill_picked(const entry_t *chosen, int64_t now_us, bv_picked_t *picked)
{
    g_strlcpy(picked->name, chosen->member.name, BV_NAME_BYTES);
    g_strlcpy(picked->address, chosen->member.address, BV_ADDRESS_BYTES);
    picked->peer_port = chosen->member.peer_port;
    picked->incarnation = chosen->member.incarnation;
    picked->reported_wait_us = chosen->wait_us;
    picked->report_age_us =
        chosen->reported_us > 0 ? now_us - chosen->reported_us : 0;
    picked->is_spilled = !is_in_nearest_tier(chosen);
    picked->differs = false;
    picked->observed_name[0] = '\0';
}

bool
bv_router_pick(bv_router_t *router, int64_t now_us,
               const bv_pick_request_t *request, bv_picked_t *picked,
               bv_reason_t *reason)
{
    choice_t choice = {
        .router = router,
        .service = g_hash_table_lookup(router->services, request->service),
        .now_us = now_us,
        .request = request,
        .by_placement = router->options.placement == BV_PLACEMENT_ON,
    };
    entry_t *chosen = NULL;
    if (choice.service != NULL) {
        choice.route =
            bv_route_stats_ensure(choice.service->routes, request->route_hash);
        chosen = choose_member(&choice);
    }
    if (chosen == NULL) {
        *reason = BV_REASON_NO_TARGET;
        return false;
    }
    fill_picked(chosen, now_us, picked);
    if (router->options.placement == BV_PLACEMENT_OBSERVE) {
        observe_placement(&choice, chosen, picked);
    }
    record_send(&choice, chosen);
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
record_result(const bv_router_t *router, entry_t *entry, int64_t now_us,
              const bv_feedback_t *feedback)
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
    /* A slow target that reports its load gets what it can handle; an ejection
     * would take away its capacity. */
    if (router->options.placement == BV_PLACEMENT_ON &&
        feedback->report.usable > 0) {
        sample.latency_ratio = MIN(1, sample.latency_ratio);
    }
    bv_outlier_record_sample(&entry->outlier, now_us, &sample);
}

/* Updates the means of the tier and the route by a report. */
static double
record_report(const entry_t *entry, const bv_feedback_t *feedback)
{
    service_t *service = entry->service;
    const bv_capacity_report_t *report = &feedback->report;
    if (service == NULL) {
        return 0;
    }
    bv_route_stats_t *route =
        bv_route_stats_ensure(service->routes, feedback->route_hash);
    if (report->usable == 0) {
        return route->service_us;
    }
    double *network_us = &service->network_us[entry->tier];
    double *use = &service->use[entry->tier];
    double sample_us =
        (double)MAX(0, feedback->latency_us - feedback->served_us);
    *network_us += (sample_us - *network_us) * NETWORK_WEIGHT;
    *use += ((double)report->load / report->usable - *use) * USE_WEIGHT;
    if (report->service_us > 0) {
        bv_route_stats_record_service(route, report->service_us);
    }
    return route->service_us;
}

/* A refusal is no failure of the target: the reported load shows it. */
static bool
has_failed(const bv_feedback_t *feedback)
{
    return feedback->outcome == BV_OUTCOME_UNKNOWN ||
           feedback->reason == BV_REASON_TARGET_REFUSED;
}

static void
settle_placement(entry_t *entry, int64_t now_us, const bv_feedback_t *feedback)
{
    if (!feedback->answered) {
        bv_placement_record_end(&entry->placement, now_us, NULL);
        return;
    }
    bv_placement_answer_t answer = {
        .failed = has_failed(feedback),
        .report = feedback->report,
        .service_us = record_report(entry, feedback),
    };
    bv_placement_record_end(&entry->placement, now_us, &answer);
    bv_placement_update_state(&entry->placement, now_us, entry->member.slots);
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
    if (router->options.placement != BV_PLACEMENT_OFF) {
        settle_placement(entry, now_us, feedback);
    }
    if (!feedback->answered) {
        return;
    }
    entry->threshold = feedback->threshold;
    entry->wait_us = feedback->wait_us;
    entry->reported_us = now_us;
    record_result(router, entry, now_us, feedback);
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

static double
view_cost_us(const entry_t *entry, int64_t now_us)
{
    const bv_route_stats_t *route =
        bv_route_stats_ensure(entry->service->routes, entry->last_route_hash);
    return estimate_completion_us(entry, now_us, route);
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
