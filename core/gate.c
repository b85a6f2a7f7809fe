#include "berylvane/core/gate.h"

#include <math.h>

#define KINDS_LIMIT 1024
#define SMOOTH_US 300000.0
/* Without reports for this long nothing is known of the demand. */
#define FORGET_US 3000000
/* A load of now is what was admitted over about this time before. */
#define LAG_US 1000000.0
/* One target that has just started must not close a gate by itself. */
#define LOAD_MOST 2.0
/* A target that is asked for all its slots answers late. */
#define LOAD_WANTED 1.25
/* Enough requests start for reports to come. */
#define SHARE_LEAST 0.1

typedef struct {
    /* Load that would be there if all requests started. */
    double demand;
    int64_t reported_us;
    /* The part that was admitted, smoothed over the lag. */
    double lagged;
} entry_t;

struct bv_gates {
    GHashTable *entries;
};

bv_gates_t *
bv_gates_create(void)
{
    bv_gates_t *gates = g_new0(bv_gates_t, 1);
    gates->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return gates;
}

void
bv_gates_destroy(bv_gates_t *gates)
{
    if (gates == NULL) {
        return;
    }
    g_hash_table_destroy(gates->entries);
    g_free(gates);
}

static entry_t *
entry_of(bv_gates_t *gates, uint32_t kind)
{
    gpointer key = GUINT_TO_POINTER(kind);
    entry_t *entry = g_hash_table_lookup(gates->entries, key);
    if (entry != NULL) {
        return entry;
    }
    if (g_hash_table_size(gates->entries) >= KINDS_LIMIT) {
        g_hash_table_remove_all(gates->entries);
    }
    entry = g_new0(entry_t, 1);
    entry->lagged = 1;
    g_hash_table_insert(gates->entries, key, entry);
    return entry;
}

static double
share_of(const entry_t *entry, int64_t now_us)
{
    if (now_us - entry->reported_us > FORGET_US ||
        entry->demand <= LOAD_WANTED) {
        return 1;
    }
    return MAX(LOAD_WANTED / entry->demand, SHARE_LEAST);
}

void
bv_gates_report(bv_gates_t *gates, int64_t now_us, uint32_t kind,
                const bv_gate_report_t *report)
{
    entry_t *entry = entry_of(gates, kind);
    int64_t age_us = MIN(now_us - entry->reported_us, FORGET_US);
    double share = share_of(entry, now_us);
    entry->lagged +=
        (share - entry->lagged) * (1 - exp(-(double)age_us / LAG_US));
    double load = MIN(report->load, LOAD_MOST);
    double demand = load / MAX(report->share, entry->lagged);
    entry->demand += (demand - entry->demand) *
                     (1 - exp(-(double)age_us / SMOOTH_US));
    entry->reported_us = now_us;
}

double
bv_gates_share(const bv_gates_t *gates, int64_t now_us, uint32_t kind)
{
    const entry_t *entry =
        g_hash_table_lookup(gates->entries, GUINT_TO_POINTER(kind));
    return entry != NULL ? share_of(entry, now_us) : 1;
}

double
bv_gates_least(const bv_gates_t *gates, int64_t now_us)
{
    double least = 1;
    GHashTableIter iterator;
    gpointer kind;
    g_hash_table_iter_init(&iterator, gates->entries);
    while (g_hash_table_iter_next(&iterator, &kind, NULL)) {
        least = MIN(least,
                    bv_gates_share(gates, now_us, GPOINTER_TO_UINT(kind)));
    }
    return least;
}

bool
bv_gate_admits(double share, uint16_t priority)
{
    return priority % BV_LEVELS >= (1 - share) * BV_LEVELS;
}
