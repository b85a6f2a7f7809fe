#include "quota_holder_internal.h"

#include "berylvane/common/invariant.h"

bool
quota_holder_take_from_floor(const bv_quota_holder_t *holder,
                             account_t *account, int64_t now_us)
{
    return quota_holder_count_silent(account) == BV_QUOTA_PARTS &&
           quota_floor_take(&account->floor, now_us, &account->limit,
                            &holder->bounds, holder->floor_members);
}

void
quota_holder_count_admitted(account_t *account,
                            const bv_quota_permit_t *permit)
{
    account->admitted++;
    account->used++;
    account->admitted_from_floor += permit->source == BV_QUOTA_FROM_FLOOR;
}

static uint64_t
pop_waiter(account_t *account)
{
    waiter_t *head = g_queue_pop_head(&account->waiters);
    uint64_t call = head->call;
    g_free(head);
    return call;
}

void
quota_holder_reduce_requested(account_t *account)
{
    for (GList *item = account->open_requests.head; item != NULL;
         item = item->next) {
        open_request_t *request = item->data;
        if (request->needed > 0) {
            request->needed--;
            account->waiters_requested--;
            return;
        }
    }
}

void
quota_holder_admit_first(const bv_quota_holder_t *holder, account_t *account,
                         const bv_quota_permit_t *permit)
{
    uint64_t waiter = pop_waiter(account);
    quota_holder_count_admitted(account, permit);
    holder->options.ops->admitted(holder->options.context, waiter, permit);
}

void
quota_holder_refuse_first(const bv_quota_holder_t *holder, account_t *account,
                          int64_t retry_us)
{
    uint64_t waiter = pop_waiter(account);
    account->refused++;
    holder->options.ops->refused(holder->options.context, waiter, retry_us);
}

void
quota_holder_end_waits(bv_quota_holder_t *holder, account_t *account,
                       int64_t now_us)
{
    while (account->waiters.length > account->waiters_requested) {
        if (quota_holder_take_from_floor(holder, account, now_us)) {
            bv_quota_permit_t permit = {BV_QUOTA_FROM_FLOOR, 0};
            quota_holder_admit_first(holder, account, &permit);
        }
        else {
            quota_holder_refuse_first(holder, account,
                                      quota_holder_retry_us(account, now_us));
        }
    }
}

void
quota_holder_check_requested(const account_t *account)
{
    uint32_t needed = 0;
    const GList *item = account->open_requests.head;
    for (; item != NULL; item = item->next) {
        needed += ((const open_request_t *)item->data)->needed;
    }
    bv_invariant(needed == account->waiters_requested &&
                     needed <= account->waiters.length,
                 "quota_requests_have_waiters", account->name);
}
