#include "berylvane/core/backpressure.h"

#define ROUTES_LIMIT 1024
/* A window ends after WINDOW_US if it has WINDOW_REPORTS, or else with the
 * first report after WINDOW_LIMIT_US. */
#define WINDOW_US 20000
#define WINDOW_REPORTS 4
#define WINDOW_LIMIT_US 100000
/* A report counts in full up to FRESH_US, then decays within DECAY_US. */
#define FRESH_US 100000
#define DECAY_US 1000000
/* Levels by which a threshold falls at each propagation upstream. */
#define PROPAGATION_LOSS 2
/* Share of the calls to be refused that is sent as probes. */
#define PROBE_SHARE 0.01
/* The reported threshold is lowered by MARGIN_LEVELS plus MARGIN_PERCENT of
 * the levels of its class that it admits, so that the downstream services stay
 * busy while a report is on its way. */
#define MARGIN_PERCENT 60
#define MARGIN_LEVELS 1

typedef struct {
    bv_backpressure_t least;
    uint32_t reports;
} window_t;

typedef struct {
    window_t current;
    window_t previous;
    int64_t window_started_us;
    int64_t reported_us;
} entry_t;

struct bv_backpressure_table {
    GHashTable *entries;
};

bv_backpressure_table_t *
bv_backpressure_table_create(void)
{
    bv_backpressure_table_t *table = g_new0(bv_backpressure_table_t, 1);
    table->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return table;
}

void
bv_backpressure_table_destroy(bv_backpressure_table_t *table)
{
    if (table == NULL) {
        return;
    }
    g_hash_table_destroy(table->entries);
    g_free(table);
}

static entry_t *
find_or_add_entry(bv_backpressure_table_t *table, uint32_t route_hash)
{
    gpointer key = GUINT_TO_POINTER(route_hash);
    entry_t *entry = g_hash_table_lookup(table->entries, key);
    if (entry != NULL) {
        return entry;
    }
    if (g_hash_table_size(table->entries) >= ROUTES_LIMIT) {
        g_hash_table_remove_all(table->entries);
    }
    entry = g_new0(entry_t, 1);
    g_hash_table_insert(table->entries, key, entry);
    return entry;
}

static bool
is_window_over(const entry_t *entry, int64_t now_us)
{
    int64_t age_us = now_us - entry->window_started_us;
    return age_us >= WINDOW_LIMIT_US ||
           (age_us >= WINDOW_US && entry->current.reports >= WINDOW_REPORTS);
}

static void
add_report(window_t *window, const bv_backpressure_t *report)
{
    if (window->reports++ == 0) {
        window->least = *report;
        return;
    }
    window->least.threshold = MIN(window->least.threshold, report->threshold);
    window->least.wait_us = MIN(window->least.wait_us, report->wait_us);
}

void
bv_backpressure_table_report(bv_backpressure_table_t *table, int64_t now_us,
                             uint32_t route_hash,
                             const bv_backpressure_t *report)
{
    entry_t *entry = find_or_add_entry(table, route_hash);
    if (is_window_over(entry, now_us)) {
        entry->previous = entry->current;
        entry->current.reports = 0;
        entry->window_started_us = now_us;
    }
    add_report(&entry->current, report);
    entry->reported_us = now_us;
}

static bv_backpressure_t
least_of_windows(const entry_t *entry)
{
    const bv_backpressure_t *current = &entry->current.least;
    const bv_backpressure_t *previous = &entry->previous.least;
    if (entry->previous.reports == 0) {
        return *current;
    }
    bv_backpressure_t least = {
        .threshold = MIN(current->threshold, previous->threshold),
        .wait_us = MIN(current->wait_us, previous->wait_us),
    };
    return least;
}

bv_backpressure_t
bv_backpressure_table_get(const bv_backpressure_table_t *table, int64_t now_us,
                          uint32_t route_hash)
{
    bv_backpressure_t none = {0};
    const entry_t *entry =
        g_hash_table_lookup(table->entries, GUINT_TO_POINTER(route_hash));
    if (entry == NULL) {
        return none;
    }
    int64_t silent_us = now_us - entry->reported_us - FRESH_US;
    if (silent_us >= DECAY_US) {
        return none;
    }
    double remaining_share = 1 - (double)MAX(0, silent_us) / DECAY_US;
    bv_backpressure_t least = least_of_windows(entry);
    least.threshold = (uint16_t)(least.threshold * remaining_share);
    least.wait_us = (int64_t)((double)least.wait_us * remaining_share);
    return least;
}

bv_backpressure_t
bv_backpressure_propagate(const bv_backpressure_t *local,
                          const bv_backpressure_t *downstream)
{
    uint16_t lowered =
        downstream->threshold > PROPAGATION_LOSS
            ? (uint16_t)(downstream->threshold - PROPAGATION_LOSS)
            : 0;
    bv_backpressure_t propagated = {
        .threshold = MAX(local->threshold, lowered),
        .wait_us = MAX(local->wait_us, downstream->wait_us),
    };
    return propagated;
}

/* Subtracts the margin from a reported threshold. */
static uint16_t
subtract_margin(uint16_t threshold)
{
    if (threshold == 0) {
        return 0;
    }
    uint16_t class_end = (uint16_t)((threshold + BV_PRIORITY_LEVELS - 1) /
                                    BV_PRIORITY_LEVELS * BV_PRIORITY_LEVELS);
    uint16_t margin = (uint16_t)(MARGIN_LEVELS + (class_end - threshold) *
                                                     MARGIN_PERCENT / 100);
    return threshold > margin ? (uint16_t)(threshold - margin) : 0;
}

bool
bv_backpressure_table_should_send(const bv_backpressure_table_t *table,
                                  int64_t now_us, uint32_t route_hash,
                                  uint16_t priority, int64_t remaining_us,
                                  GRand *random, bv_reason_t *reason)
{
    bv_backpressure_t backpressure =
        bv_backpressure_table_get(table, now_us, route_hash);
    *reason = BV_REASON_NONE;
    if (priority < subtract_margin(backpressure.threshold)) {
        *reason = BV_REASON_THRESHOLD;
    }
    else if (remaining_us <= backpressure.wait_us) {
        *reason = BV_REASON_EXPIRED;
    }
    return *reason == BV_REASON_NONE || g_rand_double(random) < PROBE_SHARE;
}
