#ifndef BERYLVANE_CORE_CREDIT_H
#define BERYLVANE_CORE_CREDIT_H

#include "berylvane/core/types.h"

/*
 * credit - ledgers that bound the retries of a customer request
 *
 * The entry node opens a ledger with R credits. A retry or hedge spends one.
 * A child call is lent part of the ledger and its answer gives back what was
 * not spent; what a lost answer carried counts as spent. So over the whole
 * chain no more than R credits are ever spent, with no shared state.
 * Calls of one request at one node share one ledger, keyed by request id.
 *
 * In each ledger: spent + rest + lent + returned upstream <= granted.
 */
typedef struct bv_credits bv_credits_t;

/* What a child call was lent. `ledger` tells reopened ledgers apart. */
typedef struct {
    uint64_t ledger_number;
    uint32_t amount;
} bv_loan_t;

bv_credits_t *bv_credits_create(void);
void bv_credits_destroy(bv_credits_t *credits);

/* Adds a holder that brings `amount` credits to the ledger of `id`. */
void bv_credits_open(bv_credits_t *credits, const bv_id_t *id,
                     uint32_t amount);

/* Spends one credit; false when there is none. */
bool bv_credits_spend(bv_credits_t *credits, const bv_id_t *id);

/* Takes what a child call is lent: half of the rest, rounded up. */
bv_loan_t bv_credits_lend(bv_credits_t *credits, const bv_id_t *id);

/*
 * Ends a loan, of which `amount` came back; more than was lent is not taken.
 * Ignored when the ledger was closed since, or the loan has ended.
 */
void bv_credits_return(bv_credits_t *credits, const bv_id_t *id,
                       bv_loan_t *loan, uint32_t amount);

/*
 * Removes a holder that brought `amount`, and yields what it may return
 * upstream: the rest, up to what it brought.
 */
uint32_t bv_credits_close(bv_credits_t *credits, const bv_id_t *id,
                          uint32_t amount);

/* Whether a ledger is open for `id`. */
bool bv_credits_is_open(const bv_credits_t *credits, const bv_id_t *id);

/* Number of open ledgers. */
uint32_t bv_credits_count(const bv_credits_t *credits);

#endif
