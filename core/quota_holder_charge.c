#include "quota_holder_internal.h"

static void
mark_active(bv_quota_holder_t *holder, account_t *account)
{
    if (!account->is_active) {
        account->is_active = true;
        g_ptr_array_add(holder->active, account);
    }
}

bool
quota_holder_is_stock_low(const account_t *account, int64_t now_us)
{
    uint32_t expected =
        quota_stock_count(&account->stock) + account->extra_requested;
    return now_us >= account->prefetch_due_us &&
           2.0 * expected < account->use_per_s / STOCK_DIVISOR;
}

static bool
take_from_stock(account_t *account, int64_t now_us, bv_quota_permit_t *permit)
{
    permit->source = BV_QUOTA_FROM_STOCK;
    return quota_stock_take(&account->stock, now_us, &permit->expires_us);
}

static bv_quota_verdict_t
charge_at_once(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
               bv_quota_permit_t *permit, int64_t *retry_us)
{
    if (take_from_stock(account, now_us, permit)) {
        quota_holder_count_admitted(account, permit);
        if (quota_holder_is_stock_low(account, now_us)) {
            quota_holder_mark_pending(holder, account);
        }
        return BV_QUOTA_ADMITTED;
    }
    if (quota_holder_choose_part(account, now_us) < BV_QUOTA_PARTS) {
        return BV_QUOTA_WAITING;
    }
    if (quota_holder_count_silent(account) > 0) {
        quota_holder_mark_pending(holder, account);
    }
    if (quota_holder_take_from_floor(holder, account, now_us)) {
        *permit = (bv_quota_permit_t){BV_QUOTA_FROM_FLOOR, 0};
        quota_holder_count_admitted(account, permit);
        return BV_QUOTA_ADMITTED;
    }
    account->refused++;
    *retry_us = quota_holder_retry_us(account, now_us);
    return BV_QUOTA_REFUSED;
}

bv_quota_verdict_t
bv_quota_holder_charge(bv_quota_holder_t *holder, int64_t now_us,
                       const char *name, uint64_t waiter,
                       bv_quota_permit_t *permit, int64_t *retry_us)
{
    *permit = (bv_quota_permit_t){0};
    account_t *account = g_hash_table_lookup(holder->accounts, name);
    if (account == NULL) {
        return BV_QUOTA_ADMITTED;
    }
    mark_active(holder, account);
    bv_quota_verdict_t verdict =
        charge_at_once(holder, account, now_us, permit, retry_us);
    if (verdict == BV_QUOTA_WAITING) {
        waiter_t entry = {.call = waiter};
        g_queue_push_tail(&account->waiters, g_memdup2(&entry, sizeof(entry)));
        quota_holder_mark_pending(holder, account);
    }
    return verdict;
}

void
bv_quota_holder_leave(bv_quota_holder_t *holder, const char *name,
                      uint64_t waiter)
{
    account_t *account = g_hash_table_lookup(holder->accounts, name);
    uint32_t index = 0;
    if (account == NULL) {
        return;
    }
    for (GList *item = account->waiters.head; item != NULL;
         item = item->next, index++) {
        if (((const waiter_t *)item->data)->call != waiter) {
            continue;
        }
        g_free(item->data);
        g_queue_delete_link(&account->waiters, item);
        if (index < account->waiters_requested) {
            quota_holder_reduce_requested(account);
        }
        return;
    }
}

void
bv_quota_holder_return(bv_quota_holder_t *holder, int64_t now_us,
                       const char *name, const bv_quota_permit_t *permit)
{
    account_t *account = g_hash_table_lookup(holder->accounts, name);
    if (account == NULL || permit->expires_us <= now_us) {
        return;
    }
    if (account->waiters.length == 0) {
        quota_stock_add(&account->stock, 1, permit->expires_us);
        return;
    }
    if (account->waiters_requested > 0) {
        quota_holder_reduce_requested(account);
    }
    quota_holder_admit_first(holder, account, permit);
}
