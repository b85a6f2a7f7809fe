#ifndef TESTS_CLAIM_MODEL_H
#define TESTS_CLAIM_MODEL_H

#include "berylvane/core/claim.h"

/*
 * claim_twin - the naive version of claims: one map that all nodes share
 */
typedef enum {
    TWIN_RUN,
    TWIN_WAIT,
    TWIN_ANSWER,
} twin_verdict_t;

typedef struct {
    uint64_t request;
    bool done;
    bv_outcome_t outcome;
} twin_key_t;

typedef GHashTable twin_t;

twin_t *twin_create(void);

/* A call with a key; `outcome` is set for ANSWER. */
twin_verdict_t twin_begin(twin_t *twin, const char *key, uint64_t request,
                          bv_outcome_t *outcome);

/* The run of a key ended; a key that did not run is free again. */
void twin_settle(twin_t *twin, const char *key, bv_outcome_t outcome);

#endif
