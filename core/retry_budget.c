#include "berylvane/core/retry_budget.h"

#include <string.h>

#define ONE_RETRY_PERCENT 100
#define DEFAULT_RESERVE_TRIES 10
#define DEFAULT_WINDOW_US 10000000
/* Number of parts into which a window is divided for counting. One more part
 * is kept, since the current one is incomplete. */
#define WINDOW_PARTS 10
/* Share of the budget that work which is not critical may use. */
#define NONCRITICAL_SHARE_PERCENT 67

typedef struct {
    /* Time divided by the length of a part. */
    int64_t number;
    int64_t earned_percent;
    uint32_t spent;
} part_t;

typedef struct {
    part_t parts[WINDOW_PARTS + 1];
} window_t;

struct bv_retry_budgets {
    int32_t reserve_percent;
    int64_t window_us;
    GHashTable *windows;
};

bv_retry_budgets_t *
bv_retry_budgets_create(void)
{
    bv_retry_budgets_t *budgets = g_new0(bv_retry_budgets_t, 1);
    budgets->reserve_percent = DEFAULT_RESERVE_TRIES * ONE_RETRY_PERCENT;
    budgets->window_us = DEFAULT_WINDOW_US;
    budgets->windows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return budgets;
}

void
bv_retry_budgets_destroy(bv_retry_budgets_t *budgets)
{
    if (budgets == NULL) {
        return;
    }
    g_hash_table_destroy(budgets->windows);
    g_free(budgets);
}

static window_t *
find_or_add_window(bv_retry_budgets_t *budgets, const char *service)
{
    window_t *window = g_hash_table_lookup(budgets->windows, service);
    if (window == NULL) {
        window = g_new0(window_t, 1);
        g_hash_table_insert(budgets->windows, g_strdup(service), window);
    }
    return window;
}

static int64_t
part_number(const bv_retry_budgets_t *budgets, int64_t now_us)
{
    return now_us / (budgets->window_us / WINDOW_PARTS);
}

static part_t *
current_part(bv_retry_budgets_t *budgets, const char *service, int64_t now_us)
{
    int64_t number = part_number(budgets, now_us);
    part_t *part = &find_or_add_window(budgets, service)
                        ->parts[(size_t)(number % (WINDOW_PARTS + 1))];
    if (part->number != number) {
        memset(part, 0, sizeof(*part));
        part->number = number;
    }
    return part;
}

/*
 * Returns the retries left, in percent of one. Earned retries are counted over
 * at most a window, spent ones over at least a window, so that the limit is
 * kept in any span of that length.
 */
static int64_t
remaining_percent(bv_retry_budgets_t *budgets, const char *service,
                  int64_t now_us, int64_t share_percent)
{
    const window_t *window = find_or_add_window(budgets, service);
    int64_t number = part_number(budgets, now_us);
    int64_t earned_percent = budgets->reserve_percent;
    int64_t spent = 0;
    for (size_t i = 0; i <= WINDOW_PARTS; i++) {
        const part_t *part = &window->parts[i];
        if (number - part->number < WINDOW_PARTS) {
            earned_percent += part->earned_percent;
        }
        if (number - part->number <= WINDOW_PARTS) {
            spent += part->spent;
        }
    }
    return earned_percent * share_percent / 100 - spent * ONE_RETRY_PERCENT;
}

void
bv_retry_budgets_earn(bv_retry_budgets_t *budgets, int64_t now_us,
                      const char *service, uint32_t ratio_percent)
{
    current_part(budgets, service, now_us)->earned_percent += ratio_percent;
}

void
bv_retry_budgets_charge(bv_retry_budgets_t *budgets, int64_t now_us,
                        const char *service)
{
    current_part(budgets, service, now_us)->spent++;
}

bool
bv_retry_budgets_try_spend(bv_retry_budgets_t *budgets, int64_t now_us,
                           const char *service, bv_class_t importance)
{
    part_t *part = current_part(budgets, service, now_us);
    int64_t share_percent =
        importance == BV_CLASS_CRITICAL ? 100 : NONCRITICAL_SHARE_PERCENT;
    if (remaining_percent(budgets, service, now_us, share_percent) <
        ONE_RETRY_PERCENT) {
        return false;
    }
    part->spent++;
    return true;
}

void
bv_retry_budgets_set_window(bv_retry_budgets_t *budgets, int64_t window_us)
{
    if (budgets->window_us != window_us) {
        budgets->window_us = window_us;
        g_hash_table_remove_all(budgets->windows);
    }
}

void
bv_retry_budgets_set_reserve(bv_retry_budgets_t *budgets,
                             const bv_retry_reserve_t *reserve)
{
    uint32_t percent = reserve->retries_per_node * ONE_RETRY_PERCENT;
    if (reserve->shared_retries > 0) {
        uint32_t node_percent = reserve->shared_retries * ONE_RETRY_PERCENT /
                                MAX(reserve->members, 1);
        percent = MIN(percent, node_percent);
    }
    budgets->reserve_percent = (int32_t)percent;
}
