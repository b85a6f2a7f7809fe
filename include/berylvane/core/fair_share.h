#ifndef BERYLVANE_CORE_FAIR_SHARE_H
#define BERYLVANE_CORE_FAIR_SHARE_H

#include "berylvane/core/types.h"

/*
 * fair_share - priority levels by which overload is shared among accounts
 *
 * The node where a request enters labels it with its position in the account's
 * rate, as in core-stateless fair queueing (Stoica, Shenker and Zhang, SIGCOMM
 * 1998). An overloaded target refuses by level and keeps no state of accounts.
 * The position is uniform in [0, r), where r is the account's recent rate
 * relative to its usual rate and to the ratio common to the accounts: all
 * accounts lose the same share while they send at their usual rates, and what
 * one sends beyond its usual rate is refused first. Rates are in slot time:
 * requests are weighted by their cost.
 *
 * Not thread-safe.
 */
typedef struct bv_fair_share bv_fair_share_t;

/* Name under which accounts beyond the limit are counted together. */
#define BV_FAIR_SHARE_OTHERS "(others)"

/*
 * Options; 0 selects the default:
 * - accounts_limit: number of accounts with rates of their own (1,024)
 * - recent_us: time constant of the recent rate (2 s)
 * - usual_us: time constant of the usual rate (30 minutes)
 * - learning_us: time after which an account's usual rate is used (60 s)
 */
typedef struct {
    uint32_t accounts_limit;
    int64_t recent_us;
    int64_t usual_us;
    int64_t learning_us;
} bv_fair_share_options_t;

/* A request that enters. */
typedef struct {
    const char *account;
    bv_class_t importance;
    /* Expected slot time; 0 if it is not known. */
    int64_t cost_us;
    /* Random number in [0, 1). */
    double random;
} bv_fair_share_request_t;

/* Rates of an account over all classes, in slots: slot time per time. */
typedef struct {
    const char *account;
    double recent_slots;
    double usual_slots;
    /* Whether the usual rate of any class is learned. */
    bool is_learned;
} bv_fair_share_usage_t;

bv_fair_share_t *bv_fair_share_create(const bv_fair_share_options_t *options);
void bv_fair_share_destroy(bv_fair_share_t *share);

/*
 * Counts a request and returns its level in 0 to BV_PRIORITY_LEVELS - 1. Times
 * must not decrease.
 */
uint8_t bv_fair_share_level(bv_fair_share_t *share, int64_t now_us,
                            const bv_fair_share_request_t *request);

/* Whether an account has rates of its own, and is not one of the others. */
bool bv_fair_share_has_own(const bv_fair_share_t *share, const char *account);

/* Number of accounts with rates of their own. */
uint32_t bv_fair_share_count(const bv_fair_share_t *share);

/*
 * Calls `visit` for each account with rates of its own, in no particular
 * order, and then for the others together if there are any.
 */
void bv_fair_share_foreach(const bv_fair_share_t *share, int64_t now_us,
                           void (*visit)(void *context,
                                         const bv_fair_share_usage_t *usage),
                           void *context);

#endif
