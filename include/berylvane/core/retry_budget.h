#ifndef BERYLVANE_CORE_RETRY_BUDGET_H
#define BERYLVANE_CORE_RETRY_BUDGET_H

#include "berylvane/core/types.h"

/*
 * retry_budget - bounds retries and hedges by the recent first attempts
 *
 * There is one budget for each called service. Each first attempt earns a
 * fraction of a retry, which can be spent within a window of time, and a small
 * reserve need not be earned. When a service starts to fail many calls, what
 * was earned before pays for the first retries.
 *
 * A call made because of a retry upstream counts as a retry as well. It is
 * never refused, but it spends from the budget, so that all retries along the
 * chain of calls together keep to the configured ratio.
 */
typedef struct bv_retry_budgets bv_retry_budgets_t;

bv_retry_budgets_t *bv_retry_budgets_create(void);
void bv_retry_budgets_destroy(bv_retry_budgets_t *budgets);

/* Records a first attempt, which earns `ratio_percent` of a retry. */
void bv_retry_budgets_earn(bv_retry_budgets_t *budgets, int64_t now_us,
                           const char *service, uint32_t ratio_percent);

/*
 * Records a call made because of a retry upstream. It spends one retry even if
 * none is left.
 */
void bv_retry_budgets_charge(bv_retry_budgets_t *budgets, int64_t now_us,
                             const char *service);

/*
 * Spends one retry or hedge; returns false if none is left for this class.
 * Critical work may use the whole budget, other work only a part.
 */
bool bv_retry_budgets_try_spend(bv_retry_budgets_t *budgets, int64_t now_us,
                                const char *service, bv_class_t importance);

/*
 * Sets the time within which an earned retry can be spent; 10 s by default. A
 * change resets all counts.
 */
void bv_retry_budgets_set_window(bv_retry_budgets_t *budgets,
                                 int64_t window_us);

/*
 * Retries in each window that need not be earned:
 * - tries: limit for this node, which also applies while its view of the
 *   cluster holds few members
 * - shared_tries: limit for all nodes together, which they share equally; 0
 *   means no such limit
 * - members: number of nodes that share it
 */
typedef struct {
    uint32_t retries_per_node;
    uint32_t shared_retries;
    uint32_t members;
} bv_retry_reserve_t;

/* Sets the reserve of each service; by default, 10 retries for this node. */
void bv_retry_budgets_set_reserve(bv_retry_budgets_t *budgets,
                                  const bv_retry_reserve_t *reserve);

#endif
