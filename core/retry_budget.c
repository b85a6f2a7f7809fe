#include "berylvane/core/retry_budget.h"

#include <string.h>

#define TRY_PERCENT 100
#define RESERVE_TRIES 10
#define WINDOW_US 10000000
/* A window is counted in parts, the present one being incomplete. */
#define PARTS 10
/* Part of the tries that work which is not critical may use. */
#define NORMAL_SHARE_PERCENT 67

typedef struct {
    int64_t number;
    int64_t earned_percent;
    uint32_t spent;
} part_t;

typedef struct {
    part_t parts[PARTS + 1];
} window_t;

struct bv_budgets {
    int32_t reserve_percent;
    int64_t window_us;
    GHashTable *windows;
};

bv_retry_budgets_t *
bv_retry_budgets_create(void)
{
    bv_retry_budgets_t *budgets = g_new0(bv_retry_budgets_t, 1);
    budgets->reserve_percent = RESERVE_TRIES * TRY_PERCENT;
    budgets->window_us = WINDOW_US;
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
window_of(bv_retry_budgets_t *budgets, const char *service)
{
    window_t *window = g_hash_table_lookup(budgets->windows, service);
    if (window == NULL) {
        window = g_new0(window_t, 1);
        g_hash_table_insert(budgets->windows, g_strdup(service), window);
    }
    return window;
}

static int64_t
number_of(const bv_retry_budgets_t *budgets, int64_t now_us)
{
    return now_us / (budgets->window_us / PARTS);
}

static part_t *
present_part(bv_retry_budgets_t *budgets, const char *service, int64_t now_us)
{
    int64_t number = number_of(budgets, now_us);
    part_t *part =
        &window_of(budgets, service)->parts[(size_t)(number % (PARTS + 1))];
    if (part->number != number) {
        memset(part, 0, sizeof(*part));
        part->number = number;
    }
    return part;
}

/* Tries left, in percent: earned in less than a window, spent in more. */
static int64_t
left_percent(bv_retry_budgets_t *budgets, const char *service, int64_t now_us,
             int64_t share_percent)
{
    const window_t *window = window_of(budgets, service);
    int64_t number = number_of(budgets, now_us);
    int64_t earned_percent = budgets->reserve_percent;
    int64_t spent = 0;
    for (size_t i = 0; i <= PARTS; i++) {
        const part_t *part = &window->parts[i];
        if (number - part->number < PARTS) {
            earned_percent += part->earned_percent;
        }
        if (number - part->number <= PARTS) {
            spent += part->spent;
        }
    }
    return earned_percent * share_percent / 100 - spent * TRY_PERCENT;
}

void
bv_retry_budgets_earn(bv_retry_budgets_t *budgets, int64_t now_us,
                      const char *service, uint32_t ratio_percent)
{
    present_part(budgets, service, now_us)->earned_percent += ratio_percent;
}

void
bv_retry_budgets_charge(bv_retry_budgets_t *budgets, int64_t now_us,
                        const char *service)
{
    present_part(budgets, service, now_us)->spent++;
}

bool
bv_retry_budgets_try_spend(bv_retry_budgets_t *budgets, int64_t now_us,
                           const char *service, bv_class_t importance)
{
    part_t *part = present_part(budgets, service, now_us);
    int64_t share_percent =
        importance == BV_CLASS_CRITICAL ? 100 : NORMAL_SHARE_PERCENT;
    if (left_percent(budgets, service, now_us, share_percent) < TRY_PERCENT) {
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
    uint32_t percent = reserve->tries * TRY_PERCENT;
    if (reserve->shared_tries > 0) {
        uint32_t part_percent =
            reserve->shared_tries * TRY_PERCENT / MAX(reserve->members, 1);
        percent = MIN(percent, part_percent);
    }
    budgets->reserve_percent = (int32_t)percent;
}
