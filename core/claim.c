#include "claim_internal.h"

#include "berylvane/common/invariant.h"

static void
begin_ticket(bv_claims_t *claims, claim_t *claim)
{
    const bv_claims_options_t *options = &claims->options;
    bv_key_result_t kept = claim_unknown(BV_REASON_OWNER_GONE);
    switch (bv_tickets_state(options->tickets, claim->serial)) {
    case BV_TICKET_UNUSED:
        bv_tickets_set_state(options->tickets, claim->serial,
                             BV_TICKET_STARTED);
        claim_hold(claims, claim, 0);
        return;
    case BV_TICKET_RAN:
        kept.outcome = BV_OUTCOME_RAN;
        kept.reason = BV_REASON_ANSWER_GONE;
        kept.status = 0;
        break;
    case BV_TICKET_STARTED:
    case BV_TICKET_OUT_OF_WINDOW:
        break;
    }
    GArray *waiters = claim_take_waiters(claim);
    claim_remove(claims, claim);
    claim_answer_all(claims, waiters, &kept);
}

static void
begin_new(bv_claims_t *claims, const bv_claim_call_t *call)
{
    const bv_claims_options_t *options = &claims->options;
    if (g_hash_table_size(claims->claims) >= options->keys_limit &&
        claims->kept.length > 0) {
        claim_drop_oldest(claims);
    }
    if (g_hash_table_size(claims->claims) >= options->keys_limit) {
        bv_key_result_t kept = claim_not_looked_up(BV_REASON_KEYS_FULL);
        options->ops->answer(options->context, call->waiter, &kept);
        return;
    }
    claim_t *claim = g_new0(claim_t, 1);
    claim->key = g_strdup(call->key);
    claim->request = call->request_digest;
    claim->serial = call->ticket_serial;
    claim->due_us = INT64_MAX;
    claim->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    claim->next = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_val(claim->waiters, call->waiter);
    g_hash_table_insert(claims->claims, claim->key, claim);
    if (claim->serial != 0) {
        begin_ticket(claims, claim);
        return;
    }
    claim_ask_table(claims, claim);
}

void
bv_claims_begin(bv_claims_t *claims, int64_t now_us,
                const bv_claim_call_t *call)
{
    (void)now_us;
    const bv_claims_options_t *options = &claims->options;
    claim_t *claim = claim_find(claims, call->key);
    if (claim == NULL) {
        begin_new(claims, call);
        return;
    }
    if (claim->request != call->request_digest) {
        bv_key_result_t kept = claim_not_run(422, BV_REASON_KEY_REUSED);
        options->ops->answer(options->context, call->waiter, &kept);
        return;
    }
    if (claim->state == CLAIM_KEPT) {
        options->ops->answer(options->context, call->waiter, &claim->kept);
        return;
    }
    g_array_append_val(claim->state == CLAIM_RELEASING ? claim->next
                                                       : claim->waiters,
                       call->waiter);
}

void
bv_claims_settle(bv_claims_t *claims, int64_t now_us, const char *key,
                 const bv_key_result_t *kept)
{
    claim_t *claim = claim_find(claims, key);
    bv_invariant(claim != NULL && claim->state == CLAIM_HELD,
                 "only_a_held_key_settles", key);
    if (claim == NULL || claim->state != CLAIM_HELD) {
        return;
    }
    bool ran = kept->outcome == BV_OUTCOME_RAN;
    if (kept->outcome == BV_OUTCOME_NOT_RUN) {
        claim->kept = *kept;
        claim->kept.headers = g_strdup(kept->headers);
        if (kept->body != NULL) {
            g_bytes_ref(kept->body);
        }
        if (claim->serial == 0) {
            claim_release(claims, claim);
            return;
        }
        bv_tickets_set_state(claims->options.tickets, claim->serial,
                             BV_TICKET_UNUSED);
        claim_released(claims, now_us, claim);
        return;
    }
    GArray *waiters = claim_take_waiters(claim);
    claim_keep(claims, now_us, claim, kept);
    if (ran && claim->serial == 0) {
        claim_write(claims, claim, BV_CLAIM_RESULT);
    }
    if (ran && claim->serial != 0) {
        bv_tickets_set_state(claims->options.tickets, claim->serial,
                             BV_TICKET_RAN);
    }
    claim_answer_all(claims, waiters, kept);
    claim_trim(claims);
}

void
bv_claims_owner_replied(bv_claims_t *claims, int64_t now_us, const char *key,
                        uint64_t attempt, bv_owner_state_t state,
                        const bv_key_result_t *kept)
{
    claim_t *claim = claim_find(claims, key);
    if (claim == NULL || claim->state != CLAIM_FOREIGN ||
        claim->other.attempt != attempt) {
        return;
    }
    bv_key_result_t gone = claim_unknown(BV_REASON_OWNER_GONE);
    switch (state) {
    case BV_OWNER_PENDING:
        return;
    case BV_OWNER_ABANDONED:
        claim_take_over(claims, claim);
        return;
    case BV_OWNER_COMPLETED:
        claim_drop(claims, now_us, claim, kept);
        return;
    case BV_OWNER_UNKNOWN:
        claim_drop(claims, now_us, claim, &gone);
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
word_on_leaving(const claim_t *claim, bool afresh)
{
    if (afresh || (claim->state == CLAIM_ASKING && !claim->owner_gone)) {
        return claim_not_looked_up(BV_REASON_STORE);
    }
    if (claim->state == CLAIM_RELEASING) {
        return claim_not_run(503, claim->kept.reason);
    }
    return claim_unknown(BV_REASON_TIMEOUT);
}

void
bv_claims_leave(bv_claims_t *claims, int64_t now_us, const char *key,
                uint64_t waiter, bv_key_result_t *kept)
{
    claim_t *claim = claim_find(claims, key);
    *kept = claim_not_run(503, BV_REASON_TIMEOUT);
    if (claim == NULL) {
        return;
    }
    bool afresh = remove_waiter(claim->next, waiter);
    *kept = word_on_leaving(claim, afresh);
    remove_waiter(claim->waiters, waiter);
    if (claim->waiters->len > 0) {
        return;
    }
    if (claim->state == CLAIM_FOREIGN) {
        claim_drop(claims, now_us, claim, kept);
        return;
    }
    if (claim->state == CLAIM_ASKING) {
        claim->kept = claim_not_run(503, BV_REASON_STORE);
        claim->revision = 0;
        claim_release(claims, claim);
    }
}

bv_owner_state_t
bv_claims_attempt_state(const bv_claims_t *claims, const char *key,
                        uint64_t attempt, const bv_key_result_t **kept)
{
    const claim_t *claim = claim_find(claims, key);
    if (g_hash_table_contains(claims->given_up, &attempt)) {
        return BV_OWNER_ABANDONED;
    }
    if (claim == NULL || claim->attempt != attempt) {
        return BV_OWNER_UNKNOWN;
    }
    switch (claim->state) {
    case CLAIM_RELEASING:
        return BV_OWNER_ABANDONED;
    case CLAIM_KEPT:
        *kept = &claim->kept;
        return BV_OWNER_COMPLETED;
    case CLAIM_ASKING:
    case CLAIM_HELD:
    case CLAIM_FOREIGN:
        break;
    }
    return BV_OWNER_PENDING;
}

void
bv_claims_tick(bv_claims_t *claims, int64_t now_us)
{
    int64_t since_us = now_us - claims->options.retention_us;
    if (claims->due_us <= now_us) {
        claim_wake_due(claims, now_us);
    }
    for (const claim_t *oldest = g_queue_peek_head(&claims->kept);
         oldest != NULL && oldest->kept_us <= since_us;
         oldest = g_queue_peek_head(&claims->kept)) {
        claim_drop_oldest(claims);
    }
    for (const given_up_t *oldest = g_queue_peek_head(&claims->given_up_order);
         oldest != NULL && oldest->since_us <= since_us;
         oldest = g_queue_peek_head(&claims->given_up_order)) {
        claim_forget_given_up(claims);
    }
}

uint32_t
bv_claims_count(const bv_claims_t *claims)
{
    return g_hash_table_size(claims->claims);
}
