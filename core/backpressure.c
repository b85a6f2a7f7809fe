#include "berylvane/core/backpressure.h"

#define KINDS_LIMIT 1024
#define WINDOW_US 20000
#define WINDOW_REPORTS 4
#define WINDOW_MOST_US 100000
#define FRESH_US 100000
#define FADE_US 1000000
#define PASS_ON_LOSS 2
#define PROBE_SHARE 0.01
/* More than the services below admit is sent on, in percent and levels, so
 * that they stay busy while a report is on its way. */
#define MARGIN_PERCENT 60
#define MARGIN_LEVELS 1

typedef struct {
    bv_backpressure_t least;
    uint32_t reports;
} window_t;

typedef struct {
    window_t now;
    window_t before;
    int64_t window_started_us;
    int64_t reported_us;
} entry_t;

struct bv_pressures {
    GHashTable *entries;
};

bv_backpressure_table_t *
bv_backpressure_table_create(void)
{
    bv_backpressure_table_t *pressures = g_new0(bv_backpressure_table_t, 1);
    pressures->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return pressures;
}

void
bv_backpressure_table_destroy(bv_backpressure_table_t *pressures)
{
    if (pressures == NULL) {
        return;
    }
    g_hash_table_destroy(pressures->entries);
    g_free(pressures);
}

static entry_t *
entry_of(bv_backpressure_table_t *pressures, uint32_t kind)
{
    gpointer key = GUINT_TO_POINTER(kind);
    entry_t *entry = g_hash_table_lookup(pressures->entries, key);
    if (entry != NULL) {
        return entry;
    }
    if (g_hash_table_size(pressures->entries) >= KINDS_LIMIT) {
        g_hash_table_remove_all(pressures->entries);
    }
    entry = g_new0(entry_t, 1);
    g_hash_table_insert(pressures->entries, key, entry);
    return entry;
}

static bool
window_over(const entry_t *entry, int64_t now_us)
{
    int64_t age_us = now_us - entry->window_started_us;
    return age_us >= WINDOW_MOST_US ||
           (age_us >= WINDOW_US && entry->now.reports >= WINDOW_REPORTS);
}

static void
add(window_t *window, const bv_backpressure_t *report)
{
    if (window->reports++ == 0) {
        window->least = *report;
        return;
    }
    window->least.threshold = MIN(window->least.threshold, report->threshold);
    window->least.wait_us = MIN(window->least.wait_us, report->wait_us);
}

void
bv_backpressure_table_report(bv_backpressure_table_t *pressures,
                             int64_t now_us, uint32_t kind,
                             const bv_backpressure_t *report)
{
    entry_t *entry = entry_of(pressures, kind);
    if (window_over(entry, now_us)) {
        entry->before = entry->now;
        entry->now.reports = 0;
        entry->window_started_us = now_us;
    }
    add(&entry->now, report);
    entry->reported_us = now_us;
}

static bv_backpressure_t
least_of(const entry_t *entry)
{
    const bv_backpressure_t *now = &entry->now.least;
    const bv_backpressure_t *before = &entry->before.least;
    if (entry->before.reports == 0) {
        return *now;
    }
    bv_backpressure_t least = {
        .threshold = MIN(now->threshold, before->threshold),
        .wait_us = MIN(now->wait_us, before->wait_us),
    };
    return least;
}

bv_backpressure_t
bv_backpressure_table_get(const bv_backpressure_table_t *pressures,
                          int64_t now_us, uint32_t kind)
{
    bv_backpressure_t none = {0};
    const entry_t *entry =
        g_hash_table_lookup(pressures->entries, GUINT_TO_POINTER(kind));
    if (entry == NULL) {
        return none;
    }
    int64_t silent_us = now_us - entry->reported_us - FRESH_US;
    if (silent_us >= FADE_US) {
        return none;
    }
    double rest = 1 - (double)MAX(0, silent_us) / FADE_US;
    bv_backpressure_t least = least_of(entry);
    least.threshold = (uint16_t)(least.threshold * rest);
    least.wait_us = (int64_t)((double)least.wait_us * rest);
    return least;
}

bv_backpressure_t
bv_backpressure_propagate(const bv_backpressure_t *own,
                          const bv_backpressure_t *below)
{
    uint16_t lessened = below->threshold > PASS_ON_LOSS
                            ? (uint16_t)(below->threshold - PASS_ON_LOSS)
                            : 0;
    bv_backpressure_t passed = {
        .threshold = MAX(own->threshold, lessened),
        .wait_us = MAX(own->wait_us, below->wait_us),
    };
    return passed;
}

/* Threshold less the margin over what is open above it in its class. */
static uint16_t
with_margin(uint16_t threshold)
{
    if (threshold == 0) {
        return 0;
    }
    uint16_t top = (uint16_t)((threshold + BV_PRIORITY_LEVELS - 1) /
                              BV_PRIORITY_LEVELS * BV_PRIORITY_LEVELS);
    uint16_t margin =
        (uint16_t)(MARGIN_LEVELS + (top - threshold) * MARGIN_PERCENT / 100);
    return threshold > margin ? (uint16_t)(threshold - margin) : 0;
}

bool
bv_backpressure_table_admits(const bv_backpressure_table_t *pressures,
                             int64_t now_us, uint32_t kind, uint16_t priority,
                             int64_t remaining_us, GRand *random,
                             bv_reason_t *reason)
{
    bv_backpressure_t pressure =
        bv_backpressure_table_get(pressures, now_us, kind);
    *reason = BV_REASON_NONE;
    if (priority < with_margin(pressure.threshold)) {
        *reason = BV_REASON_THRESHOLD;
    }
    else if (remaining_us <= pressure.wait_us) {
        *reason = BV_REASON_EXPIRED;
    }
    return *reason == BV_REASON_NONE || g_rand_double(random) < PROBE_SHARE;
}
