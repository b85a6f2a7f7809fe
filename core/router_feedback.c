#include "router_internal.h"

#define HEDGE_SAMPLES 64
#define HEDGE_SHARE 0.95
/* At most one in this many members of a tier is ejected. */
#define EJECT_DIVISOR 3
/* Weights of a new sample in the moving means of a tier. */
#define NETWORK_WEIGHT 0.05
#define USE_WEIGHT 0.05
/* Slowness assumed for the siblings of a member without siblings; no member is
 * slow in comparison. */
#define SLOWNESS_LIMIT 1e9

static uint32_t
count_ejected(const GPtrArray *tier, int64_t now_us)
{
    uint32_t count = 0;
    for (guint i = 0; i < tier->len; i++) {
        count += !router_is_usable(tier->pdata[i], now_us);
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
        if (sibling != entry && router_is_usable(sibling, now_us)) {
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
