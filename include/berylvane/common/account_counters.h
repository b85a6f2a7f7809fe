#ifndef BERYLVANE_COMMON_ACCOUNT_COUNTERS_H
#define BERYLVANE_COMMON_ACCOUNT_COUNTERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * account_counters - answers by client account and status; any thread may use
 * them
 *
 * The first BV_ACCOUNT_LABELS accounts that are counted have counters of their
 * own, so that a configuration with many accounts does not make the metrics
 * grow. Later ones are counted together as BV_ACCOUNT_OTHERS. Calls without an
 * account are counted under an empty name. The rates by which overload is
 * shared are published beside the counters.
 */
#define BV_ACCOUNT_LABELS 100
#define BV_ACCOUNT_OTHERS "(others)"

/* Kinds of answer; a status without a kind of its own counts by its class. */
typedef enum {
    BV_ACCOUNT_STATUS_2XX,
    BV_ACCOUNT_STATUS_3XX,
    BV_ACCOUNT_STATUS_401,
    BV_ACCOUNT_STATUS_403,
    BV_ACCOUNT_STATUS_404,
    BV_ACCOUNT_STATUS_429,
    BV_ACCOUNT_STATUS_4XX,
    BV_ACCOUNT_STATUS_503,
    BV_ACCOUNT_STATUS_5XX,
    BV_ACCOUNT_STATUS_END,
} bv_account_status_t;

/* Name of a kind as in metrics and in /status, such as "401" and "4xx". */
const char *bv_account_status_name(bv_account_status_t status);

/*
 * Counts an answer for an account; NULL for a call without an account.
 * `is_own`: the node itself answered, not a target.
 */
void bv_account_counters_add(const char *account, uint16_t status,
                             bool is_own);

/* Calls `visit` for each counter that is not 0, ordered by account. */
void bv_account_counters_foreach(void (*visit)(void *context,
                                               const char *account,
                                               bv_account_status_t status,
                                               bool is_own, uint64_t count),
                                 void *context);

/* Counts a call of an account that was refused by its priority. */
void bv_account_counters_add_refused(const char *account);

/* Demand of an account at this node, in slots: slot time per time. */
typedef struct {
    double recent_slots;
    double usual_slots;
} bv_account_rates_t;

/*
 * Sets the rates of an account. Returns false, and sets nothing, if nothing is
 * counted under this name.
 */
bool bv_account_counters_set_rates(const char *account,
                                   const bv_account_rates_t *rates);

/* Calls `visit` for each account with calls or rates, ordered by account. */
void bv_account_counters_foreach_demand(
    void (*visit)(void *context, const char *account, uint64_t refused,
                  const bv_account_rates_t *rates),
    void *context);

/*
 * Appends the refusals by priority and the rates of the accounts to `out` in
 * the Prometheus text format.
 */
void bv_account_counters_render_demand(GString *out);

/* Appends the counters of answers to `out` in the Prometheus text format. */
void bv_account_counters_render(GString *out);

/* Forgets all counters; for tests. */
void bv_account_counters_clear(void);

#endif
