#include "claim_internal.h"

#include <string.h>

void
claim_clear_kept(bv_key_result_t *kept)
{
    g_clear_pointer(&kept->headers, g_free);
    g_clear_pointer(&kept->body, g_bytes_unref);
}

static void
free_claim(gpointer data)
{
    claim_t *claim = data;
    g_free(claim->key);
    claim_clear_kept(&claim->kept);
    g_array_unref(claim->waiters);
    g_array_unref(claim->next);
    g_free(claim);
}

bv_claims_t *
bv_claims_create(const bv_claims_options_t *options)
{
    bv_claims_t *claims = g_new0(bv_claims_t, 1);
    claims->options = *options;
    claims->claims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_claim);
    claims->given_up =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_queue_init(&claims->kept);
    g_queue_init(&claims->given_up_order);
    claims->due_us = INT64_MAX;
    return claims;
}

void
bv_claims_destroy(bv_claims_t *claims)
{
    if (claims == NULL) {
        return;
    }
    g_queue_clear(&claims->kept);
    g_queue_clear(&claims->given_up_order);
    g_hash_table_destroy(claims->claims);
    g_hash_table_destroy(claims->given_up);
    g_free(claims);
}

claim_t *
claim_find(const bv_claims_t *claims, const char *key)
{
    return g_hash_table_lookup(claims->claims, key);
}

void
claim_forget_given_up(bv_claims_t *claims)
{
    given_up_t *oldest = g_queue_pop_head(&claims->given_up_order);
    g_hash_table_remove(claims->given_up, &oldest->attempt);
}

void
claim_give_up(bv_claims_t *claims, int64_t now_us, uint64_t attempt)
{
    if (attempt == 0 || g_hash_table_contains(claims->given_up, &attempt)) {
        return;
    }
    if (claims->given_up_order.length >= claims->options.keys_limit) {
        claim_forget_given_up(claims);
    }
    given_up_t *entry = g_new(given_up_t, 1);
    entry->attempt = attempt;
    entry->since_us = now_us;
    g_hash_table_insert(claims->given_up, &entry->attempt, entry);
    g_queue_push_tail(&claims->given_up_order, entry);
}

void
claim_remove(bv_claims_t *claims, claim_t *claim)
{
    if (claim->kept_link != NULL) {
        g_queue_delete_link(&claims->kept, claim->kept_link);
        claims->kept_bytes -= claim->bytes;
    }
    g_hash_table_remove(claims->claims, claim->key);
}

void
claim_answer_all(bv_claims_t *claims, GArray *waiters,
                 const bv_key_result_t *kept)
{
    const bv_claims_options_t *options = &claims->options;
    for (guint i = 0; i < waiters->len; i++) {
        options->ops->answer(options->context,
                             g_array_index(waiters, uint64_t, i), kept);
    }
    g_array_unref(waiters);
}

GArray *
claim_take_waiters(claim_t *claim)
{
    GArray *waiters = claim->waiters;
    claim->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return waiters;
}

/* Forgets a claim that never started, and answers its calls. */
void
claim_drop(bv_claims_t *claims, int64_t now_us, claim_t *claim,
           const bv_key_result_t *kept)
{
    GArray *waiters = claim_take_waiters(claim);
    claim_give_up(claims, now_us, claim->attempt);
    claim_remove(claims, claim);
    claim_answer_all(claims, waiters, kept);
}

void
claim_drop_oldest(bv_claims_t *claims)
{
    claim_remove(claims, g_queue_peek_head(&claims->kept));
}

void
claim_keep(bv_claims_t *claims, int64_t now_us, claim_t *claim,
           const bv_key_result_t *kept)
{
    gsize size = kept->body != NULL ? g_bytes_get_size(kept->body) : 0;
    claim->state = CLAIM_KEPT;
    claim->due_us = INT64_MAX;
    claim->sequence = 0;
    claim->kept = *kept;
    claim->kept.headers = g_strdup(kept->headers);
    if (kept->body != NULL) {
        g_bytes_ref(kept->body);
    }
    claim->kept_us = now_us;
    claim->bytes = size + (kept->headers != NULL ? strlen(kept->headers) : 0);
    g_queue_push_tail(&claims->kept, claim);
    claim->kept_link = claims->kept.tail;
    claims->kept_bytes += claim->bytes;
}

void
claim_trim(bv_claims_t *claims)
{
    while (claims->kept_bytes > claims->options.results_limit_bytes) {
        claim_drop_oldest(claims);
    }
}

bv_key_result_t
claim_unknown(bv_reason_t reason)
{
    return (bv_key_result_t){
        .outcome = BV_OUTCOME_UNKNOWN, .reason = reason, .status = 504};
}

bv_key_result_t
claim_not_looked_up(bv_reason_t reason)
{
    return (bv_key_result_t){
        .outcome = BV_OUTCOME_UNKNOWN, .reason = reason, .status = 503};
}

bv_key_result_t
claim_not_run(uint16_t status, bv_reason_t reason)
{
    return (bv_key_result_t){
        .outcome = BV_OUTCOME_NOT_RUN, .reason = reason, .status = status};
}
