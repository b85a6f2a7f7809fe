#include "claim_model.h"

claim_model_t *
claim_model_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

claim_model_action_t
claim_model_begin(claim_model_t *model, const char *key,
                  uint64_t request_digest, bv_outcome_t *outcome)
{
    claim_model_key_t *state = g_hash_table_lookup(model, key);
    if (state == NULL) {
        state = g_new0(claim_model_key_t, 1);
        state->request_digest = request_digest;
        g_hash_table_insert(model, g_strdup(key), state);
        return CLAIM_MODEL_RUN;
    }
    if (state->request_digest != request_digest) {
        *outcome = BV_OUTCOME_NOT_RUN;
        return CLAIM_MODEL_ANSWER;
    }
    if (!state->is_done) {
        return CLAIM_MODEL_WAIT;
    }
    *outcome = state->outcome;
    return CLAIM_MODEL_ANSWER;
}

void
claim_model_settle(claim_model_t *model, const char *key, bv_outcome_t outcome)
{
    claim_model_key_t *state = g_hash_table_lookup(model, key);
    if (outcome == BV_OUTCOME_NOT_RUN) {
        g_hash_table_remove(model, key);
        return;
    }
    state->is_done = true;
    state->outcome = outcome;
}
