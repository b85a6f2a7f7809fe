#include "claim_model.h"

twin_t *
twin_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

twin_verdict_t
twin_begin(twin_t *twin, const char *key, uint64_t request,
           bv_outcome_t *outcome)
{
    twin_key_t *known = g_hash_table_lookup(twin, key);
    if (known == NULL) {
        known = g_new0(twin_key_t, 1);
        known->request = request;
        g_hash_table_insert(twin, g_strdup(key), known);
        return TWIN_RUN;
    }
    if (known->request != request) {
        *outcome = BV_OUTCOME_NOT_RUN;
        return TWIN_ANSWER;
    }
    if (!known->done) {
        return TWIN_WAIT;
    }
    *outcome = known->outcome;
    return TWIN_ANSWER;
}

void
twin_settle(twin_t *twin, const char *key, bv_outcome_t outcome)
{
    twin_key_t *known = g_hash_table_lookup(twin, key);
    if (outcome == BV_OUTCOME_NOT_RUN) {
        g_hash_table_remove(twin, key);
        return;
    }
    known->done = true;
    known->outcome = outcome;
}
