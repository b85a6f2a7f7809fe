#ifndef TESTS_CLAIM_MODEL_H
#define TESTS_CLAIM_MODEL_H

#include "berylvane/core/claim.h"

/*
 * claim_model - reference model of claims: one map that all nodes share
 */
typedef enum {
    CLAIM_MODEL_RUN,
    CLAIM_MODEL_WAIT,
    CLAIM_MODEL_ANSWER,
} claim_model_action_t;

typedef struct {
    uint64_t request_digest;
    bool is_done;
    bv_outcome_t outcome;
} claim_model_key_t;

typedef GHashTable claim_model_t;

claim_model_t *claim_model_create(void);

/* Begins a call with a key; sets `outcome` for CLAIM_MODEL_ANSWER. */
claim_model_action_t claim_model_begin(claim_model_t *model, const char *key,
                                       uint64_t request_digest,
                                       bv_outcome_t *outcome);

/* Ends the running call of a key; after NOT_RUN the key may run again. */
void claim_model_settle(claim_model_t *model, const char *key,
                        bv_outcome_t outcome);

#endif
