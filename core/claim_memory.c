#include "claim_internal.h"

#include <string.h>

void
claim_clear_result(bv_key_result_t *result)
{
    g_clear_pointer(&result->headers, g_free);
    g_clear_pointer(&result->body, g_bytes_unref);
}

static void
free_claim(gpointer data)
{
    claim_t *claim = data;
    g_free(claim->key);
    claim_clear_result(&claim->result);
    g_array_unref(claim->waiters);
    g_array_unref(claim->deferred_waiters);
    g_free(claim);
}

bv_claims_t *
bv_claims_create(const bv_claims_options_t *options)
{
    bv_claims_t *claims = g_new0(bv_claims_t, 1);
    claims->options = *options;
    claims->claims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_claim);
    claims->abandoned =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&claims->results);
    g_queue_init(&claims->abandoned_order);
    claims->timer_us = INT64_MAX;
    return claims;
}

void
bv_claims_destroy(bv_claims_t *claims)
{
    if (claims == NULL) {
        return;
    }
    g_queue_clear(&claims->results);
    g_queue_clear(&claims->abandoned_order);
    g_hash_table_destroy(claims->claims);
    g_hash_table_destroy(claims->abandoned);
    g_free(claims);
}

claim_t *
claim_find(const bv_claims_t *claims, const char *key)
{
    return g_hash_table_lookup(claims->claims, key);
}

void
claim_evict_oldest_abandoned(bv_claims_t *claims)
{
    abandoned_attempt_t *oldest = g_queue_pop_head(&claims->abandoned_order);
    g_hash_table_remove(claims->abandoned, &oldest->attempt);
}

void
claim_record_abandoned(bv_claims_t *claims, int64_t now_us, uint64_t attempt)
{
    if (attempt == 0 || g_hash_table_contains(claims->abandoned, &attempt)) {
        return;
    }
    if (claims->abandoned_order.length >= claims->options.keys_limit) {
        claim_evict_oldest_abandoned(claims);
    }
    abandoned_attempt_t *entry = g_new(abandoned_attempt_t, 1);
    entry->attempt = attempt;
    entry->abandoned_us = now_us;
    g_hash_table_insert(claims->abandoned, &entry->attempt, entry);
    g_queue_push_tail(&claims->abandoned_order, entry);
}

void
claim_remove(bv_claims_t *claims, claim_t *claim)
{
    if (claim->results_link != NULL) {
        g_queue_delete_link(&claims->results, claim->results_link);
        claims->results_bytes -= claim->result_bytes;
    }
    g_hash_table_remove(claims->claims, claim->key);
}

void
claim_answer_waiters(bv_claims_t *claims, GArray *waiters,
                     const bv_key_result_t *result)
{
    const bv_claims_options_t *options = &claims->options;
    for (guint i = 0; i < waiters->len; i++) {
        options->ops->answer(options->context,
                             g_array_index(waiters, uint64_t, i), result);
    }
    g_array_unref(waiters);
}

GArray *
claim_detach_waiters(claim_t *claim)
{
    GArray *waiters = claim->waiters;
    claim->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return waiters;
}

void
claim_abandon(bv_claims_t *claims, int64_t now_us, claim_t *claim,
              const bv_key_result_t *result)
{
    GArray *waiters = claim_detach_waiters(claim);
    claim_record_abandoned(claims, now_us, claim->attempt);
    claim_remove(claims, claim);
    claim_answer_waiters(claims, waiters, result);
}

void
claim_evict_oldest_result(bv_claims_t *claims)
{
    claim_remove(claims, g_queue_peek_head(&claims->results));
}

void
claim_store_result(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                   const bv_key_result_t *result)
{
    gsize size = result->body != NULL ? g_bytes_get_size(result->body) : 0;
    claim->state = CLAIM_COMPLETED;
    claim->timer_us = INT64_MAX;
    claim->pending_sequence = 0;
    claim->result = *result;
    claim->result.headers = g_strdup(result->headers);
    if (result->body != NULL) {
        g_bytes_ref(result->body);
    }
    claim->completed_us = now_us;
    claim->result_bytes =
        size + (result->headers != NULL ? strlen(result->headers) : 0);
    g_queue_push_tail(&claims->results, claim);
    claim->results_link = claims->results.tail;
    claims->results_bytes += claim->result_bytes;
}

void
claim_evict_excess_results(bv_claims_t *claims)
{
    while (claims->results_bytes > claims->options.results_limit_bytes) {
        claim_evict_oldest_result(claims);
    }
}

bv_key_result_t
claim_result_unknown(bv_reason_t reason)
{
    return (bv_key_result_t){
        .outcome = BV_OUTCOME_UNKNOWN, .reason = reason, .status = 504};
}

bv_key_result_t
claim_result_not_looked_up(bv_reason_t reason)
{
    return (bv_key_result_t){
        .outcome = BV_OUTCOME_UNKNOWN, .reason = reason, .status = 503};
}

bv_key_result_t
claim_result_not_run(uint16_t status, bv_reason_t reason)
{
    return (bv_key_result_t){
        .outcome = BV_OUTCOME_NOT_RUN, .reason = reason, .status = status};
}
