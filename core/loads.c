#include "berylvane/core/loads.h"

#include <math.h>

#define ENTRIES_LIMIT 1024
#define SMOOTH_US 150000.0
/* Reports are of the past after this. */
#define FORGET_US 2000000

typedef struct {
    double load;
    int64_t reported_us;
} entry_t;

struct bv_loads {
    GHashTable *entries;
};

bv_loads_t *
bv_loads_create(void)
{
    bv_loads_t *loads = g_new0(bv_loads_t, 1);
    loads->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return loads;
}

void
bv_loads_destroy(bv_loads_t *loads)
{
    if (loads == NULL) {
        return;
    }
    g_hash_table_destroy(loads->entries);
    g_free(loads);
}

static gpointer
key_of(uint32_t kind, bv_class_t importance)
{
    return GUINT_TO_POINTER(kind + (uint32_t)importance);
}

static bool
is_forgotten(const entry_t *entry, int64_t now_us)
{
    return now_us - entry->reported_us > FORGET_US;
}

void
bv_loads_report(bv_loads_t *loads, int64_t now_us, uint32_t kind,
                bv_class_t importance, double load)
{
    gpointer key = key_of(kind, importance);
    entry_t *entry = g_hash_table_lookup(loads->entries, key);
    if (entry == NULL) {
        if (g_hash_table_size(loads->entries) >= ENTRIES_LIMIT) {
            g_hash_table_remove_all(loads->entries);
        }
        entry = g_new0(entry_t, 1);
        entry->reported_us = now_us - FORGET_US - 1;
        g_hash_table_insert(loads->entries, key, entry);
    }
    if (is_forgotten(entry, now_us)) {
        entry->load = load;
    }
    else {
        double age_us = (double)(now_us - entry->reported_us);
        entry->load += (load - entry->load) * (1 - exp(-age_us / SMOOTH_US));
    }
    entry->reported_us = now_us;
}

double
bv_loads_get(const bv_loads_t *loads, int64_t now_us, uint32_t kind,
             bv_class_t importance)
{
    const entry_t *entry =
        g_hash_table_lookup(loads->entries, key_of(kind, importance));
    if (entry == NULL || is_forgotten(entry, now_us)) {
        return 0;
    }
    return entry->load;
}
