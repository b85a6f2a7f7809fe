#include "router_internal.h"

#include <string.h>

/* A farther tier is used if its cost is lower by this factor. The factor is
 * high between regions, where links are narrow and billed by volume. */
static const double spill_factors[BV_TIER_END] = {
    [BV_TIER_REGION] = 1.5,
    [BV_TIER_REST] = 4.0,
};
/* Members among which placement chooses. */
#define PLACEMENT_DRAWS 8
/* Least ratio of times by which a member over its threshold counts as slower
 * than a farther one that is not. */
#define OVER_FACTOR 4.0

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

/* Whether `left` is preferred to `right`. */
static bool
is_better(const choice_t *choice, const entry_t *left, const entry_t *right)
{
    bool is_left_over = router_is_over(choice, left);
    bool is_right_over = router_is_over(choice, right);
    if (is_left_over != is_right_over) {
        return is_right_over;
    }
    return router_cost_us(choice, left) <= router_cost_us(choice, right);
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

static entry_t *
choose_in_tier(const choice_t *choice, const GPtrArray *tier)
{
    GPtrArray *usable = g_ptr_array_sized_new(SUBSET_MEMBERS);
    GPtrArray *ejected = g_ptr_array_sized_new(SUBSET_MEMBERS);
    entry_t *chosen = NULL;
    for (guint i = 0; i < tier->len && usable->len < SUBSET_MEMBERS; i++) {
        entry_t *entry = tier->pdata[i];
        if (is_excluded(entry, choice->request) ||
            (entry->is_silent && !choice->allows_silent)) {
            continue;
        }
        if (needs_probe(entry, choice->now_us)) {
            chosen = entry;
            break;
        }
        g_ptr_array_add(
            router_is_usable(entry, choice->now_us) ? usable : ejected, entry);
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
    double nearer_us = router_cost_us(choice, nearer);
    double farther_us = router_cost_us(choice, farther);
    if (router_is_over(choice, nearer)) {
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
    if (router_is_over(choice, farther)) {
        return false;
    }
    if (choice->by_placement) {
        return should_spill_by_share(choice, nearer, farther);
    }
    if (router_is_over(choice, nearer)) {
        return true;
    }
    return router_cost_us(choice, nearer) >
           spill_factors[farther->tier] * router_cost_us(choice, farther);
}

static entry_t *
choose_in_tiers(const choice_t *choice)
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

static entry_t *
choose_member(choice_t *choice)
{
    choice->allows_silent = false;
    entry_t *chosen = choose_in_tiers(choice);
    if (chosen == NULL) {
        choice->allows_silent = true;
        chosen = choose_in_tiers(choice);
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
            router_completion_us(entry, choice->now_us, choice->route));
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
