#ifndef BERYLVANE_CORE_CLAIM_ROW_H
#define BERYLVANE_CORE_CLAIM_ROW_H

#include "berylvane/core/types.h"

/*
 * claim_row - the value of a claimed key's row in the table service
 *
 * A row names the attempt, the incarnation that may start the attempt, and the
 * digest of the request. Once the attempt has run, the row also holds status
 * and digest of the response.
 */
typedef struct {
    char owner[BV_NAME_BYTES];
    uint64_t incarnation;
    /* Random number that is unique for each claim, also of the same key. */
    uint64_t attempt;
    uint64_t request_digest;
    bool ran;
    uint16_t status;
    uint64_t body_digest;
} bv_claim_row_t;

/* Returns the row's value as text, which the caller frees with g_free(). */
char *bv_claim_row_text(const bv_claim_row_t *row);

/* Parses a row's value; false when `text` is NULL or malformed. */
bool bv_claim_row_parse(const char *text, bv_claim_row_t *row);

/* Returns whether two rows name the same attempt of the same owner. */
bool bv_claim_row_is_same_attempt(const bv_claim_row_t *left,
                                  const bv_claim_row_t *right);

#endif
