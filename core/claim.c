#include "claim_internal.h"

#include "berylvane/common/invariant.h"

static void
begin_ticket_claim(bv_claims_t *claims, claim_t *claim)
{
    const bv_claims_options_t *options = &claims->options;
    bv_key_result_t result = claim_result_unknown(BV_REASON_OWNER_GONE);
    switch (bv_tickets_get_state(options->tickets, claim->ticket_serial)) {
    case BV_TICKET_UNUSED:
        bv_tickets_set_state(options->tickets, claim->ticket_serial,
                             BV_TICKET_STARTED);
        claim_on_acquired(claims, claim, 0);
        return;
    case BV_TICKET_RAN:
        result.outcome = BV_OUTCOME_RAN;
        result.reason = BV_REASON_ANSWER_GONE;
        result.status = 0;
        break;
    case BV_TICKET_STARTED:
    case BV_TICKET_OUT_OF_WINDOW:
        break;
    }
    GArray *waiters = claim_detach_waiters(claim);
    claim_remove(claims, claim);
    claim_answer_waiters(claims, waiters, &result);
}

static void
begin_new_claim(bv_claims_t *claims, const bv_claim_call_t *call)
{
    const bv_claims_options_t *options = &claims->options;
    if (g_hash_table_size(claims->claims) >= options->keys_limit &&
        claims->results.length > 0) {
        claim_evict_oldest_result(claims);
    }
    if (g_hash_table_size(claims->claims) >= options->keys_limit) {
        bv_key_result_t result =
            claim_result_not_looked_up(BV_REASON_KEYS_FULL);
        options->ops->answer(options->context, call->waiter, &result);
        return;
    }
    claim_t *claim = g_new0(claim_t, 1);
    claim->key = g_strdup(call->key);
    claim->request_digest = call->request_digest;
    claim->ticket_serial = call->ticket_serial;
    claim->timer_us = INT64_MAX;
    claim->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    claim->deferred_waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_val(claim->waiters, call->waiter);
    g_hash_table_insert(claims->claims, claim->key, claim);
    if (claim->ticket_serial != 0) {
        begin_ticket_claim(claims, claim);
        return;
    }
    claim_acquire(claims, claim);
}

void
bv_claims_begin(bv_claims_t *claims, int64_t now_us,
                const bv_claim_call_t *call)
{
    (void)now_us;
    const bv_claims_options_t *options = &claims->options;
    claim_t *claim = claim_find(claims, call->key);
    if (claim == NULL) {
        begin_new_claim(claims, call);
        return;
    }
    if (claim->request_digest != call->request_digest) {
        bv_key_result_t result =
            claim_result_not_run(422, BV_REASON_KEY_REUSED);
        options->ops->answer(options->context, call->waiter, &result);
        return;
    }
    if (claim->state == CLAIM_COMPLETED) {
        options->ops->answer(options->context, call->waiter, &claim->result);
        return;
    }
    g_array_append_val(claim->state == CLAIM_RELEASING
                           ? claim->deferred_waiters
                           : claim->waiters,
                       call->waiter);
}

void
bv_claims_settle(bv_claims_t *claims, int64_t now_us, const char *key,
                 const bv_key_result_t *result)
{
    claim_t *claim = claim_find(claims, key);
    bv_invariant(claim != NULL && claim->state == CLAIM_HELD,
                 "only_a_held_key_settles", key);
    if (claim == NULL || claim->state != CLAIM_HELD) {
        return;
    }
    bool ran = result->outcome == BV_OUTCOME_RAN;
    if (result->outcome == BV_OUTCOME_NOT_RUN) {
        claim->result = *result;
        claim->result.headers = g_strdup(result->headers);
        if (result->body != NULL) {
            g_bytes_ref(result->body);
        }
        if (claim->ticket_serial == 0) {
            claim_release(claims, claim);
            return;
        }
        bv_tickets_set_state(claims->options.tickets, claim->ticket_serial,
                             BV_TICKET_UNUSED);
        claim_on_released(claims, now_us, claim);
        return;
    }
    GArray *waiters = claim_detach_waiters(claim);
    claim_store_result(claims, now_us, claim, result);
    if (ran && claim->ticket_serial == 0) {
        claim_send_write(claims, claim, BV_CLAIM_RESULT);
    }
    if (ran && claim->ticket_serial != 0) {
        bv_tickets_set_state(claims->options.tickets, claim->ticket_serial,
                             BV_TICKET_RAN);
    }
    claim_answer_waiters(claims, waiters, result);
    claim_evict_excess_results(claims);
}

void
bv_claims_owner_replied(bv_claims_t *claims, int64_t now_us, const char *key,
                        uint64_t attempt, bv_owner_state_t state,
                        const bv_key_result_t *result)
{
    claim_t *claim = claim_find(claims, key);
    if (claim == NULL || claim->state != CLAIM_OTHER_OWNER ||
        claim->holder_row.attempt != attempt) {
        return;
    }
    bv_key_result_t unknown = claim_result_unknown(BV_REASON_OWNER_GONE);
    switch (state) {
    case BV_OWNER_PENDING:
        return;
    case BV_OWNER_ABANDONED:
        claim_replace_row(claims, claim);
        return;
    case BV_OWNER_COMPLETED:
        claim_abandon(claims, now_us, claim, result);
        return;
    case BV_OWNER_UNKNOWN:
        claim_abandon(claims, now_us, claim, &unknown);
        return;
    }
}

static bool
remove_waiter(GArray *waiters, uint64_t waiter)
{
    for (guint i = 0; i < waiters->len; i++) {
        if (g_array_index(waiters, uint64_t, i) == waiter) {
            g_array_remove_index(waiters, i);
            return true;
        }
    }
    return false;
}

static bv_key_result_t
result_on_leaving(const claim_t *claim, bool is_deferred)
{
    if (is_deferred ||
        (claim->state == CLAIM_ACQUIRING && !claim->is_owner_gone)) {
        return claim_result_not_looked_up(BV_REASON_STORE);
    }
    if (claim->state == CLAIM_RELEASING) {
        return claim_result_not_run(503, claim->result.reason);
    }
    return claim_result_unknown(BV_REASON_TIMEOUT);
}

void
bv_claims_leave(bv_claims_t *claims, int64_t now_us, const char *key,
                uint64_t waiter, bv_key_result_t *result)
{
    claim_t *claim = claim_find(claims, key);
    *result = claim_result_not_run(503, BV_REASON_TIMEOUT);
    if (claim == NULL) {
        return;
    }
    bool is_deferred = remove_waiter(claim->deferred_waiters, waiter);
    *result = result_on_leaving(claim, is_deferred);
    remove_waiter(claim->waiters, waiter);
    if (claim->waiters->len > 0) {
        return;
    }
    if (claim->state == CLAIM_OTHER_OWNER) {
        claim_abandon(claims, now_us, claim, result);
        return;
    }
    if (claim->state == CLAIM_ACQUIRING) {
        claim->result = claim_result_not_run(503, BV_REASON_STORE);
        claim->revision = 0;
        claim_release(claims, claim);
    }
}

bv_owner_state_t
bv_claims_attempt_state(const bv_claims_t *claims, const char *key,
                        uint64_t attempt, const bv_key_result_t **result)
{
    const claim_t *claim = claim_find(claims, key);
    if (g_hash_table_contains(claims->abandoned, &attempt)) {
        return BV_OWNER_ABANDONED;
    }
    if (claim == NULL || claim->attempt != attempt) {
        return BV_OWNER_UNKNOWN;
    }
    switch (claim->state) {
    case CLAIM_RELEASING:
        return BV_OWNER_ABANDONED;
    case CLAIM_COMPLETED:
        *result = &claim->result;
        return BV_OWNER_COMPLETED;
    case CLAIM_ACQUIRING:
    case CLAIM_HELD:
    case CLAIM_OTHER_OWNER:
        break;
    }
    return BV_OWNER_PENDING;
}

void
bv_claims_tick(bv_claims_t *claims, int64_t now_us)
{
    int64_t cutoff_us = now_us - claims->options.retention_us;
    if (claims->timer_us <= now_us) {
        claim_run_due_timers(claims, now_us);
    }
    for (const claim_t *oldest = g_queue_peek_head(&claims->results);
         oldest != NULL && oldest->completed_us <= cutoff_us;
         oldest = g_queue_peek_head(&claims->results)) {
        claim_evict_oldest_result(claims);
    }
    for (const abandoned_attempt_t *oldest =
             g_queue_peek_head(&claims->abandoned_order);
         oldest != NULL && oldest->abandoned_us <= cutoff_us;
         oldest = g_queue_peek_head(&claims->abandoned_order)) {
        claim_evict_oldest_abandoned(claims);
    }
}

uint32_t
bv_claims_count(const bv_claims_t *claims)
{
    return g_hash_table_size(claims->claims);
}

size_t
bv_claims_results_bytes(const bv_claims_t *claims)
{
    return claims->results_bytes;
}
