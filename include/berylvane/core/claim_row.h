#ifndef BERYLVANE_CORE_CLAIM_ROW_H
#define BERYLVANE_CORE_CLAIM_ROW_H

#include "berylvane/core/types.h"

/*
 * claim_row - the value of a claimed key's row in the table service
 *
 * It names the attempt and the incarnation that may start it, the digest of
 * the request and, once the key has run, status and digest of the answer.
 */
typedef struct {
    char owner[BV_NAME_BYTES];
    uint64_t incarnation;
    /* Unique for each claim that is made, also of the same key. */
    uint64_t attempt;
    uint64_t request_digest;
    bool ran;
    uint16_t status;
    uint64_t body_digest;
} bv_claim_row_t;

/* Writes a row's value as text, to be freed. */
char *bv_claim_row_text(const bv_claim_row_t *row);

/* Reads a row's value; false when `text` is NULL or is none. */
bool bv_claim_row_parse(const char *text, bv_claim_row_t *row);

/* Whether two rows name the same attempt of the same owner. */
bool bv_claim_row_is_same_attempt(const bv_claim_row_t *left,
                                  const bv_claim_row_t *right);

#endif
