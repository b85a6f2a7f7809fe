#ifndef BERYLVANE_CORE_RETRY_BUDGET_H
#define BERYLVANE_CORE_RETRY_BUDGET_H

#include "berylvane/core/types.h"

/*
 * budget - bounds retries and hedges by the recent first tries, by service
 *
 * Each first try to a service earns a share of a further try, which can be
 * spent within a window of time; there is a small reserve besides. Where a
 * service fails many calls, what was earned before helps the first of them. A
 * call that is made because work is repeated further up is a further try as
 * well: it is never held up, but it spends, so that all repeats together keep
 * the share.
 */
typedef struct bv_budgets bv_retry_budgets_t;

bv_retry_budgets_t *bv_retry_budgets_create(void);
void bv_retry_budgets_destroy(bv_retry_budgets_t *budgets);

/* A first try goes out. */
void bv_retry_budgets_earn(bv_retry_budgets_t *budgets, int64_t now_us,
                           const char *service, uint32_t ratio_percent);

/* A call of repeated work goes out: it spends even where nothing is left. */
void bv_retry_budgets_charge(bv_retry_budgets_t *budgets, int64_t now_us,
                             const char *service);

/*
 * Spends one further try; false when there is none for this class: critical
 * work may use all of them, other work a part.
 */
bool bv_retry_budgets_try_spend(bv_retry_budgets_t *budgets, int64_t now_us,
                                const char *service, bv_class_t importance);

/* Time in which what was earned can be spent; a change forgets all counts. */
void bv_retry_budgets_set_window(bv_retry_budgets_t *budgets,
                                 int64_t window_us);

/*
 * Tries in each window that need not be earned; the default is 10. `tries` is
 * the most of one node, also while it knows few others.
 */
typedef struct {
    uint32_t tries;
    /* What `members` nodes have together, in equal parts; 0: no such bound. */
    uint32_t shared_tries;
    uint32_t members;
} bv_retry_reserve_t;

void bv_retry_budgets_set_reserve(bv_retry_budgets_t *budgets,
                                  const bv_retry_reserve_t *reserve);

#endif
