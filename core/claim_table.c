#include "claim_internal.h"

#include "berylvane/common/invariant.h"

#include <string.h>

static bv_claim_row_t
own_row(const bv_claims_t *claims, const claim_t *claim)
{
    bv_claim_row_t row = {
        .incarnation = claims->options.incarnation,
        .attempt = claim->attempt,
        .request_digest = claim->request,
    };
    g_strlcpy(row.owner, claims->options.owner, BV_NAME_BYTES);
    if (claim->state == CLAIM_KEPT) {
        row.ran = true;
        row.status = claim->kept.status;
        row.body_digest = claim->kept.body_digest;
    }
    return row;
}

static void
wake_at(bv_claims_t *claims, claim_t *claim, int64_t due_us)
{
    claim->due_us = due_us;
    claims->due_us = MIN(claims->due_us, due_us);
}

void
claim_write(bv_claims_t *claims, claim_t *claim, bv_claim_op_t op)
{
    claim->op = op;
    claim->sequence = ++claims->next_sequence;
    claim->due_us = INT64_MAX;
    bv_claim_write_t write = {
        .key = claim->key,
        .sequence = claim->sequence,
        .op = op,
        .row = own_row(claims, claim),
        .revision = claim->revision,
    };
    claims->options.ops->write(claims->options.context, &write);
}

static void
resend_later(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    const bv_claims_options_t *options = &claims->options;
    int64_t pause_us = options->resend_delay_us << MIN(claim->resends, 16U);
    claim->resends++;
    wake_at(claims, claim,
            now_us + MIN(pause_us, options->resend_delay_limit_us));
}

void
claim_ask_table(bv_claims_t *claims, claim_t *claim)
{
    claim->state = CLAIM_ASKING;
    claim->attempt = (uint64_t)g_rand_int(claims->options.random) << 32 |
                     g_rand_int(claims->options.random);
    claim->revision = 0;
    claim->resends = 0;
    claim->owner_gone = false;
    claim_write(claims, claim, BV_CLAIM_INSERT);
}

void
claim_release(bv_claims_t *claims, claim_t *claim)
{
    claim->state = CLAIM_RELEASING;
    claim->resends = 0;
    claim_write(claims, claim,
                claim->revision != 0 ? BV_CLAIM_DELETE : BV_CLAIM_INSERT);
}

void
claim_hold(bv_claims_t *claims, claim_t *claim, int64_t revision)
{
    const bv_claims_options_t *options = &claims->options;
    claim->revision = revision;
    if (claim->waiters->len == 0) {
        claim_release(claims, claim);
        return;
    }
    bv_invariant(!g_hash_table_contains(claims->given_up, &claim->attempt),
                 "given_up_never_starts", claim->key);
    claim->state = CLAIM_HELD;
    claim->resends = 0;
    options->ops->start(options->context, claim->key,
                        g_array_index(claim->waiters, uint64_t, 0));
}

/* It ran, but only status and digest of the answer are known. */
static bv_key_result_t
ran_before(const bv_claim_row_t *row)
{
    bv_key_result_t kept = {
        .outcome = BV_OUTCOME_RAN,
        .reason = BV_REASON_ANSWER_GONE,
        .status = row->status,
        .body_digest = row->body_digest,
    };
    return kept;
}

void
claim_ask_owner(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    const bv_claims_options_t *options = &claims->options;
    wake_at(claims, claim, now_us + options->owner_poll_us);
    if (options->ops->ask_owner(options->context, claim->key, &claim->other)) {
        return;
    }
    claim->owner_gone = true;
    claim->state = CLAIM_ASKING;
    claim_write(claims, claim, BV_CLAIM_INSERT);
}

void
claim_take_over(bv_claims_t *claims, claim_t *claim)
{
    claim->state = CLAIM_ASKING;
    claim_write(claims, claim, BV_CLAIM_REPLACE);
}

static bool
is_own_incarnation(const bv_claims_t *claims, const bv_claim_row_t *row)
{
    return row->incarnation == claims->options.incarnation &&
           strcmp(row->owner, claims->options.owner) == 0;
}

/* The row of another attempt holds the key. */
static void
held_by_other(bv_claims_t *claims, int64_t now_us, claim_t *claim,
              const bv_claim_write_result_t *written)
{
    const bv_claim_row_t *row = &written->row;
    bv_key_result_t kept = claim_unknown(BV_REASON_OWNER_GONE);
    bool gone =
        claim->owner_gone && bv_claim_row_is_same_attempt(row, &claim->other);
    claim->other = *row;
    claim->revision = written->revision;
    if (!written->is_row_readable) {
        claim_drop(claims, now_us, claim, &kept);
        return;
    }
    if (is_own_incarnation(claims, row) &&
        g_hash_table_contains(claims->given_up, &row->attempt)) {
        claim_take_over(claims, claim);
        return;
    }
    if (row->request_digest != claim->request) {
        kept = claim_not_run(422, BV_REASON_KEY_REUSED);
        claim_drop(claims, now_us, claim, &kept);
        return;
    }
    if (row->ran) {
        kept = ran_before(row);
        claim_drop(claims, now_us, claim, &kept);
        return;
    }
    if (gone || is_own_incarnation(claims, row)) {
        claim_drop(claims, now_us, claim, &kept);
        return;
    }
    claim->state = CLAIM_FOREIGN;
    claim_ask_owner(claims, now_us, claim);
}

static void
asked(bv_claims_t *claims, int64_t now_us, claim_t *claim,
      const bv_claim_write_result_t *written)
{
    const bv_claim_row_t mine = own_row(claims, claim);
    if (written->status == BV_CLAIM_WRITTEN) {
        claim_hold(claims, claim, written->revision);
        return;
    }
    if (!written->row_exists) {
        claim->revision = 0;
        claim_write(claims, claim, BV_CLAIM_INSERT);
        return;
    }
    if (written->is_row_readable &&
        bv_claim_row_is_same_attempt(&written->row, &mine)) {
        claim_hold(claims, claim, written->revision);
        return;
    }
    held_by_other(claims, now_us, claim, written);
}

static void
restart(bv_claims_t *claims, claim_t *claim)
{
    g_array_unref(claim->waiters);
    claim->waiters = claim->next;
    claim->next = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    claim_clear_kept(&claim->kept);
    claim_ask_table(claims, claim);
}

void
claim_released(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    bv_key_result_t kept = claim->kept;
    kept.headers = g_strdup(kept.headers);
    if (kept.body != NULL) {
        g_bytes_ref(kept.body);
    }
    GArray *waiters = claim_take_waiters(claim);
    claim_give_up(claims, now_us, claim->attempt);
    if (claim->next->len > 0) {
        restart(claims, claim);
    }
    else {
        claim_remove(claims, claim);
    }
    claim_answer_all(claims, waiters, &kept);
    claim_clear_kept(&kept);
}

static void
deleted(bv_claims_t *claims, int64_t now_us, claim_t *claim,
        const bv_claim_write_result_t *written)
{
    const bv_claim_row_t mine = own_row(claims, claim);
    bool there = written->status == BV_CLAIM_CONFLICT && written->row_exists &&
                 written->is_row_readable &&
                 bv_claim_row_is_same_attempt(&written->row, &mine);
    bool inserted =
        written->status == BV_CLAIM_WRITTEN && claim->op == BV_CLAIM_INSERT;
    if (there || inserted) {
        claim->revision = written->revision;
        claim_write(claims, claim, BV_CLAIM_DELETE);
        return;
    }
    claim_released(claims, now_us, claim);
}

void
bv_claims_write_done(bv_claims_t *claims, int64_t now_us, const char *key,
                     uint64_t sequence, const bv_claim_write_result_t *written)
{
    claim_t *claim = claim_find(claims, key);
    if (claim == NULL || claim->sequence != sequence) {
        return;
    }
    claim->sequence = 0;
    if (written->status == BV_CLAIM_NO_REPLY) {
        resend_later(claims, now_us, claim);
        return;
    }
    switch (claim->state) {
    case CLAIM_ASKING:
        asked(claims, now_us, claim, written);
        return;
    case CLAIM_RELEASING:
        deleted(claims, now_us, claim, written);
        return;
    case CLAIM_HELD:
    case CLAIM_KEPT:
    case CLAIM_FOREIGN:
        return;
    }
}

static void
wake(bv_claims_t *claims, int64_t now_us, claim_t *claim)
{
    claim->due_us = INT64_MAX;
    if (claim->state == CLAIM_FOREIGN) {
        claim_ask_owner(claims, now_us, claim);
        return;
    }
    claim_write(claims, claim, claim->op);
}

void
claim_wake_due(bv_claims_t *claims, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer value;
    GPtrArray *due = g_ptr_array_new();
    claims->due_us = INT64_MAX;
    g_hash_table_iter_init(&iterator, claims->claims);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        claim_t *claim = value;
        if (claim->due_us <= now_us) {
            g_ptr_array_add(due, claim);
        }
        else {
            claims->due_us = MIN(claims->due_us, claim->due_us);
        }
    }
    for (guint i = 0; i < due->len; i++) {
        wake(claims, now_us, due->pdata[i]);
    }
    g_ptr_array_unref(due);
}
