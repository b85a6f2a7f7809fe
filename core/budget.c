#include "berylvane/core/budget.h"

#define RESERVE_TRIES 10
#define TRY_PERCENT 100
/* Tries that only critical work may spend; kept besides by a full budget. */
#define CRITICAL_TRIES 1
/* What a budget can hold at least, so that other work finds a try. */
#define MOST_PERCENT_LEAST ((CRITICAL_TRIES + 1) * TRY_PERCENT)
/* Repeats from further up may spend this many tries ahead. */
#define DEBT_TRIES 100

struct bv_budgets {
    int32_t reserve_percent;
    GHashTable *percents;
};

bv_budgets_t *
bv_budgets_create(void)
{
    bv_budgets_t *budgets = g_new0(bv_budgets_t, 1);
    budgets->reserve_percent = RESERVE_TRIES * TRY_PERCENT;
    budgets->percents =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return budgets;
}

void
bv_budgets_destroy(bv_budgets_t *budgets)
{
    if (budgets == NULL) {
        return;
    }
    g_hash_table_destroy(budgets->percents);
    g_free(budgets);
}

static int32_t *
percent_of(bv_budgets_t *budgets, const char *service)
{
    int32_t *percent = g_hash_table_lookup(budgets->percents, service);
    if (percent == NULL) {
        percent = g_new(int32_t, 1);
        *percent = budgets->reserve_percent;
        g_hash_table_insert(budgets->percents, g_strdup(service), percent);
    }
    return percent;
}

void
bv_budgets_earn(bv_budgets_t *budgets, const char *service,
                uint32_t ratio_percent)
{
    int32_t *percent = percent_of(budgets, service);
    int32_t most_percent = MAX(budgets->reserve_percent, MOST_PERCENT_LEAST);
    *percent = MIN(*percent + (int32_t)ratio_percent, most_percent);
}

bool
bv_budgets_spend(bv_budgets_t *budgets, const char *service,
                 bv_class_t importance)
{
    int32_t *percent = percent_of(budgets, service);
    int32_t kept = importance == BV_CLASS_CRITICAL ? 0 : CRITICAL_TRIES;
    if (*percent < (kept + 1) * TRY_PERCENT) {
        return false;
    }
    *percent -= TRY_PERCENT;
    return true;
}

void
bv_budgets_charge(bv_budgets_t *budgets, const char *service)
{
    int32_t *percent = percent_of(budgets, service);
    *percent = MAX(*percent - TRY_PERCENT, -DEBT_TRIES * TRY_PERCENT);
}

static void
set_reserve(bv_budgets_t *budgets, int32_t reserve_percent)
{
    budgets->reserve_percent = reserve_percent;
    int32_t most_percent = MAX(reserve_percent, MOST_PERCENT_LEAST);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, budgets->percents);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        int32_t *percent = value;
        *percent = MIN(*percent, most_percent);
    }
}

void
bv_budgets_set_reserve(bv_budgets_t *budgets, uint32_t tries)
{
    set_reserve(budgets, (int32_t)tries * TRY_PERCENT);
}

void
bv_budgets_share_reserve(bv_budgets_t *budgets, uint32_t tries,
                         uint32_t members)
{
    set_reserve(budgets, (int32_t)(tries * TRY_PERCENT / MAX(members, 1)));
}
