#ifndef BERYLVANE_CORE_CREDIT_H
#define BERYLVANE_CORE_CREDIT_H

#include "berylvane/core/types.h"

/*
 * credit - ledgers that bound the retries of a customer request
 *
 * The entry node opens a ledger with R credits. A retry or hedge spends one
 * credit. A child call is lent part of the ledger's credits, and its answer
 * returns the credits that were not spent. Credits that a lost answer would
 * have returned count as spent. So the whole chain of calls never spends more
 * than R credits, without state shared between nodes. Calls of one request at
 * one node share one ledger, which is found by the request's id.
 *
 * In each ledger, spent + available + lent + returned upstream <= granted.
 */
typedef struct bv_credits bv_credits_t;

/* Largest loan that a peer accepts. */
#define BV_LOAN_LIMIT 255

/*
 * Credits that were lent to a child call. `ledger_number` distinguishes the
 * lending ledger from a later one of the same request.
 */
typedef struct {
    uint64_t ledger_number;
    uint32_t amount;
} bv_loan_t;

bv_credits_t *bv_credits_create(void);
void bv_credits_destroy(bv_credits_t *credits);

/*
 * Adds a holder (a call of the request at this node) and its `amount` of
 * credits to the ledger of `id`, which is created if needed.
 */
void bv_credits_open(bv_credits_t *credits, const bv_id_t *id,
                     uint32_t amount);

/* Spends one credit; false when none is available. */
bool bv_credits_spend(bv_credits_t *credits, const bv_id_t *id);

/*
 * Lends half of the available credits, rounded up, to a child call, but not
 * more than BV_LOAN_LIMIT.
 */
bv_loan_t bv_credits_lend(bv_credits_t *credits, const bv_id_t *id);

/*
 * Ends a loan of which `amount` credits were returned; credits beyond the loan
 * are dropped, and missing ones count as spent. Sets the loan to zero. Ignored
 * when the lending ledger is closed or the loan has ended already.
 */
void bv_credits_return(bv_credits_t *credits, const bv_id_t *id,
                       bv_loan_t *loan, uint32_t amount);

/*
 * Removes a holder that was added with `amount` credits. Returns the credits
 * that the holder may return upstream: those available, up to `amount`. The
 * ledger is closed with its last holder.
 */
uint32_t bv_credits_close(bv_credits_t *credits, const bv_id_t *id,
                          uint32_t amount);

/* Returns whether a ledger is open for `id`. */
bool bv_credits_is_open(const bv_credits_t *credits, const bv_id_t *id);

/* Returns the number of open ledgers. */
uint32_t bv_credits_count(const bv_credits_t *credits);

#endif
