#include "claim_internal.h"

#include "berylvane/common/invariant.h"

#include <string.h>

static bv_claim_row_t
own_row(const bv_claims_t *claims, const claim_t *claim)
{
    bv_claim_row_t row = {
        .incarnation = claims->options.incarnation,
        .attempt = claim->attempt,
        .request_digest = claim->request_digest,
    };
    g_strlcpy(row.owner, claims->options.owner, BV_NAME_BYTES);
    if (claim->state == CLAIM_COMPLETED) {
        row.ran = true;
        row.status = claim->result.status;
        row.body_digest = claim->result.body_digest;
    }
    return row;
}

static void
set_timer(bv_claims_t *claims, claim_t *claim, int64_t due_us)
{
    claim->timer_us = due_us;
    claims->timer_us = MIN(claims->timer_us, due_us);
}

void
claim_send_write(bv_claims_t *claims, claim_t *claim, bv_claim_op_t op)
{
    claim->last_op = op;
    claim->pending_sequence = ++claims->last_sequence;
    claim->timer_us = INT64_MAX;
    bv_claim_write_t write = {
        .key = claim->key,
        .sequence = claim->pending_sequence,
        .op = op,
        .row = own_row(claims, claim),
        .revision = claim->revision,
    };
    claims->options.ops->write(claims->options.context, &write);
}

static void
schedule_resend(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    const bv_claims_options_t *options = &claims->options;
    int64_t pause_us = options->resend_delay_us
                       << MIN(claim->resend_count, 16U);
    claim->resend_count++;
    set_timer(claims, claim,
              now_us + MIN(pause_us, options->resend_delay_limit_us));
}

void
claim_acquire(bv_claims_t *claims, claim_t *claim)
{
    claim->state = CLAIM_ACQUIRING;
    claim->attempt = (uint64_t)g_rand_int(claims->options.random) << 32 |
                     g_rand_int(claims->options.random);
    claim->revision = 0;
    claim->resend_count = 0;
    claim->is_owner_gone = false;
    claim_send_write(claims, claim, BV_CLAIM_INSERT);
}

void
claim_release(bv_claims_t *claims, claim_t *claim)
{
    claim->state = CLAIM_RELEASING;
    claim->resend_count = 0;
    claim_send_write(claims, claim,
                     claim->revision != 0 ? BV_CLAIM_DELETE : BV_CLAIM_INSERT);
}

void
claim_on_acquired(bv_claims_t *claims, claim_t *claim, int64_t revision)
{
    const bv_claims_options_t *options = &claims->options;
    claim->revision = revision;
    if (claim->waiters->len == 0) {
        claim_release(claims, claim);
        return;
    }
    bv_invariant(!g_hash_table_contains(claims->abandoned, &claim->attempt),
                 "given_up_never_starts", claim->key);
    claim->state = CLAIM_HELD;
    claim->resend_count = 0;
    options->ops->start(options->context, claim->key,
                        g_array_index(claim->waiters, uint64_t, 0));
}

/* Returns the result of an attempt that ran, of whose response only status and
 * digest are available. */
static bv_key_result_t
result_of_row(const bv_claim_row_t *row)
{
    bv_key_result_t result = {
        .outcome = BV_OUTCOME_RAN,
        .reason = BV_REASON_ANSWER_GONE,
        .status = row->status,
        .body_digest = row->body_digest,
    };
    return result;
}

void
claim_query_owner(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    const bv_claims_options_t *options = &claims->options;
    set_timer(claims, claim, now_us + options->owner_poll_us);
    if (options->ops->query_owner(options->context, claim->key,
                                  &claim->holder_row)) {
        return;
    }
    claim->is_owner_gone = true;
    claim->state = CLAIM_ACQUIRING;
    claim_send_write(claims, claim, BV_CLAIM_INSERT);
}

void
claim_replace_row(bv_claims_t *claims, claim_t *claim)
{
    claim->state = CLAIM_ACQUIRING;
    claim_send_write(claims, claim, BV_CLAIM_REPLACE);
}

static bool
is_own_incarnation(const bv_claims_t *claims, const bv_claim_row_t *row)
{
    return row->incarnation == claims->options.incarnation &&
           strcmp(row->owner, claims->options.owner) == 0;
}

/* Handles a reply that shows the row of another attempt. */
static void
on_held_by_other(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                 const bv_claim_write_result_t *write_result)
{
    const bv_claim_row_t *row = &write_result->row;
    bv_key_result_t result = claim_result_unknown(BV_REASON_OWNER_GONE);
    bool is_holder_gone = claim->is_owner_gone && bv_claim_row_is_same_attempt(
                                                      row, &claim->holder_row);
    claim->holder_row = *row;
    claim->revision = write_result->revision;
    if (!write_result->is_row_readable) {
        claim_abandon(claims, now_us, claim, &result);
        return;
    }
    if (is_own_incarnation(claims, row) &&
        g_hash_table_contains(claims->abandoned, &row->attempt)) {
        claim_replace_row(claims, claim);
        return;
    }
    if (row->request_digest != claim->request_digest) {
        result = claim_result_not_run(422, BV_REASON_KEY_REUSED);
        claim_abandon(claims, now_us, claim, &result);
        return;
    }
    if (row->ran) {
        result = result_of_row(row);
        claim_abandon(claims, now_us, claim, &result);
        return;
    }
    if (is_holder_gone || is_own_incarnation(claims, row)) {
        claim_abandon(claims, now_us, claim, &result);
        return;
    }
    claim->state = CLAIM_OTHER_OWNER;
    claim_query_owner(claims, now_us, claim);
}

static void
on_acquire_reply(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                 const bv_claim_write_result_t *write_result)
{
    const bv_claim_row_t own = own_row(claims, claim);
    if (write_result->status == BV_CLAIM_WRITTEN) {
        claim_on_acquired(claims, claim, write_result->revision);
        return;
    }
    if (!write_result->row_exists) {
        claim->revision = 0;
        claim_send_write(claims, claim, BV_CLAIM_INSERT);
        return;
    }
    if (write_result->is_row_readable &&
        bv_claim_row_is_same_attempt(&write_result->row, &own)) {
        claim_on_acquired(claims, claim, write_result->revision);
        return;
    }
    on_held_by_other(claims, now_us, claim, write_result);
}

static void
reacquire(bv_claims_t *claims, claim_t *claim)
{
    g_array_unref(claim->waiters);
    claim->waiters = claim->deferred_waiters;
    claim->deferred_waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    claim_clear_result(&claim->result);
    claim_acquire(claims, claim);
}

void
claim_on_released(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    bv_key_result_t result = claim->result;
    result.headers = g_strdup(result.headers);
    if (result.body != NULL) {
        g_bytes_ref(result.body);
    }
    GArray *waiters = claim_detach_waiters(claim);
    claim_record_abandoned(claims, now_us, claim->attempt);
    if (claim->deferred_waiters->len > 0) {
        reacquire(claims, claim);
    }
    else {
        claim_remove(claims, claim);
    }
    claim_answer_waiters(claims, waiters, &result);
    claim_clear_result(&result);
}

static void
on_release_reply(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                 const bv_claim_write_result_t *write_result)
{
    const bv_claim_row_t own = own_row(claims, claim);
    bool is_present = write_result->status == BV_CLAIM_CONFLICT &&
                      write_result->row_exists &&
                      write_result->is_row_readable &&
                      bv_claim_row_is_same_attempt(&write_result->row, &own);
    bool is_inserted = write_result->status == BV_CLAIM_WRITTEN &&
                       claim->last_op == BV_CLAIM_INSERT;
    if (is_present || is_inserted) {
        claim->revision = write_result->revision;
        claim_send_write(claims, claim, BV_CLAIM_DELETE);
        return;
    }
    claim_on_released(claims, now_us, claim);
}

static bool
has_run(const claim_t *claim)
{
    return claim->state == CLAIM_COMPLETED &&
           claim->result.outcome == BV_OUTCOME_RAN;
}

/*
 * Handles the reply to a write that a restore of the table called for. A row
 * of another attempt stays: this one has started and cannot be taken back.
 */
static void
on_rewrite_reply(bv_claims_t *claims, claim_t *claim,
                 const bv_claim_write_result_t *write_result)
{
    const bv_claim_row_t own = own_row(claims, claim);
    if (write_result->status == BV_CLAIM_WRITTEN) {
        claim->revision = write_result->revision;
        return;
    }
    bool is_own = write_result->row_exists && write_result->is_row_readable &&
                  bv_claim_row_is_same_attempt(&write_result->row, &own);
    if (!is_own) {
        return;
    }
    claim->revision = write_result->revision;
    if (has_run(claim) && !write_result->row.ran) {
        claim_send_write(claims, claim, BV_CLAIM_RESULT);
    }
}

static void
rewrite_row(bv_claims_t *claims, claim_t *claim)
{
    bool is_keyed = claim->ticket_serial == 0;
    claim->revision = 0;
    if (is_keyed && (claim->state == CLAIM_HELD || has_run(claim))) {
        claim_send_write(claims, claim, BV_CLAIM_INSERT);
    }
}

void
bv_claims_handle_restore(bv_claims_t *claims)
{
    GList *all = g_hash_table_get_values(claims->claims);
    for (GList *item = all; item != NULL; item = item->next) {
        rewrite_row(claims, item->data);
    }
    g_list_free(all);
}

void
bv_claims_write_done(bv_claims_t *claims, int64_t now_us, const char *key,
                     uint64_t sequence,
                     const bv_claim_write_result_t *write_result)
{
    claim_t *claim = claim_find(claims, key);
    if (claim == NULL || claim->pending_sequence != sequence) {
        return;
    }
    claim->pending_sequence = 0;
    if (write_result->status == BV_CLAIM_NO_REPLY) {
        schedule_resend(claims, now_us, claim);
        return;
    }
    switch (claim->state) {
    case CLAIM_ACQUIRING:
        on_acquire_reply(claims, now_us, claim, write_result);
        return;
    case CLAIM_RELEASING:
        on_release_reply(claims, now_us, claim, write_result);
        return;
    case CLAIM_HELD:
    case CLAIM_COMPLETED:
        on_rewrite_reply(claims, claim, write_result);
        return;
    case CLAIM_OTHER_OWNER:
        return;
    }
}

static void
run_timer(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    claim->timer_us = INT64_MAX;
    if (claim->state == CLAIM_OTHER_OWNER) {
        claim_query_owner(claims, now_us, claim);
        return;
    }
    claim_send_write(claims, claim, claim->last_op);
}

void
claim_run_due_timers(bv_claims_t *claims, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer value;
    GPtrArray *due = g_ptr_array_new();
    claims->timer_us = INT64_MAX;
    g_hash_table_iter_init(&iterator, claims->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        claim_t *claim = value;
        if (claim->timer_us <= now_us) {
            g_ptr_array_add(due, claim);
        }
        else {
            claims->timer_us = MIN(claims->timer_us, claim->timer_us);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        run_timer(claims, now_us, due->pdata[i]);
    }
    g_ptr_array_unref(due);
}
