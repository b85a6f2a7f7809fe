#ifndef BERYLVANE_CORE_BUDGET_H
#define BERYLVANE_CORE_BUDGET_H

#include "berylvane/core/types.h"

/*
 * budget - bounds retries and hedges by the recent first tries, by service
 *
 * Each first try to a service earns a share of a further try. What was earned
 * is kept up to a small reserve, with which a service starts. A call that is
 * made because work is repeated further up is a further try as well: it is
 * never held up, but it spends, so that all repeats together keep the share.
 */
typedef struct bv_budgets bv_budgets_t;

bv_budgets_t *bv_budgets_create(void);
void bv_budgets_destroy(bv_budgets_t *budgets);

void bv_budgets_earn(bv_budgets_t *budgets, const char *service,
                     uint32_t ratio_percent);

/* A call of repeated work goes out: it spends even where nothing is left. */
void bv_budgets_charge(bv_budgets_t *budgets, const char *service);

/* Tries that a service starts with and keeps at most; the default is 10. */
void bv_budgets_set_reserve(bv_budgets_t *budgets, uint32_t tries);

/*
 * Likewise, where `members` nodes have the tries together: each starts with
 * its part. A node keeps at least one try that it has earned, since it can
 * spend no less.
 */
void bv_budgets_share_reserve(bv_budgets_t *budgets, uint32_t tries,
                              uint32_t members);

/*
 * Spends one further try; false when there is none for this class: the last
 * one is kept for critical work.
 */
bool bv_budgets_spend(bv_budgets_t *budgets, const char *service,
                      bv_class_t importance);

#endif
