#include "quota_holder_internal.h"

/*
 * Longest time for which a refusal stands for the next calls. It is
 * short, since other nodes may return permits meanwhile.
 */
#define REFUSAL_LIMIT_US (100 * US_PER_MS)
/*
 * Least time, which bounds the requests of a node for an account that is over
 * quota to 100 in a second. What the bucket gains meanwhile stays in it.
 */
#define REFUSAL_LEAST_US (10 * US_PER_MS)

/*
 * A request was not answered in time, or by a node that is not the lessor: the
 * other parts are asked until a probe is answered.
 */
static void
handle_failure(bv_quota_holder_t *holder, account_t *account, uint32_t part,
               int64_t now_us)
{
    quota_holder_silence_part(account, part, now_us);
    quota_holder_mark_pending(holder, account);
}

static open_request_t *
remove_open_request(account_t *account, uint64_t sequence, uint32_t part)
{
    for (GList *item = account->open_requests.head; item != NULL;
         item = item->next) {
        open_request_t *request = item->data;
        if (request->sequence == sequence && request->part == part) {
            g_queue_delete_link(&account->open_requests, item);
            account->waiters_requested -= request->needed;
            account->extra_requested -= request->extra;
            return request;
        }
    }
    return NULL;
}

static void
use_granted(const bv_quota_holder_t *holder, account_t *account,
            const open_request_t *request, uint32_t granted)
{
    int64_t expires_us = request->sent_us + BV_QUOTA_PERMIT_LIFETIME_US;
    bv_quota_permit_t permit = {BV_QUOTA_FROM_LESSOR, expires_us};
    for (uint32_t i = 0; i < granted; i++) {
        if (account->waiters.length == 0) {
            quota_stock_add(&account->stock, granted - i, expires_us);
            return;
        }
        if (i >= request->needed && account->waiters_requested > 0) {
            quota_holder_reduce_requested(account);
        }
        quota_holder_admit_first(holder, account, &permit);
    }
}

static bool
is_refused_by_all(const account_t *account)
{
    const GList *first = account->waiters.head;
    return first != NULL &&
           ((const waiter_t *)first->data)->refusals >= BV_QUOTA_PARTS;
}

/*
 * Counts a refusal for the first `count` calls. Those that all parts have
 * refused are refused; the others wait for another part.
 */
static void
count_refusals(const bv_quota_holder_t *holder, account_t *account,
               int64_t now_us, uint32_t count)
{
    const GList *item = account->waiters.head;
    for (uint32_t i = 0; i < count && item != NULL; i++) {
        ((waiter_t *)item->data)->refusals++;
        item = item->next;
    }
    while (is_refused_by_all(account)) {
        quota_holder_refuse_first(holder, account,
                                  quota_holder_retry_us(account, now_us));
    }
}

static void
handle_refused(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
               uint32_t count, const bv_quota_reply_t *reply)
{
    part_t *part = &account->parts[reply->part];
    account->last_refused_us = now_us;
    part->refused_until_us =
        now_us + CLAMP(reply->wait_us, REFUSAL_LEAST_US, REFUSAL_LIMIT_US);
    part->refused_retry_us = reply->retry_us;
    count_refusals(holder, account, now_us, count);
    quota_holder_mark_pending(holder, account);
}

static void
handle_granted(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
               const open_request_t *request, const bv_quota_reply_t *reply)
{
    account->parts[request->part].is_silent = false;
    uint32_t granted = MIN(reply->granted, request->wanted);
    if (granted < request->wanted) {
        account->prefetch_due_us = now_us + USE_PERIOD_US;
    }
    use_granted(holder, account, request, granted);
    if (granted < request->needed) {
        handle_refused(holder, account, now_us, request->needed - granted,
                       reply);
    }
}

bool
bv_quota_holder_handle_reply(bv_quota_holder_t *holder, int64_t now_us,
                             uint64_t sequence, const bv_quota_reply_t *reply)
{
    account_t *account = g_hash_table_lookup(holder->accounts, reply->account);
    open_request_t *request =
        account != NULL ? remove_open_request(account, sequence, reply->part)
                        : NULL;
    if (request == NULL) {
        return false;
    }
    bool is_late = now_us - request->sent_us >= BV_QUOTA_PERMIT_LIFETIME_US;
    if (reply->status == BV_QUOTA_GRANTED && !is_late) {
        handle_granted(holder, account, now_us, request, reply);
    }
    else if (!request->has_timed_out) {
        account->parts[request->part].lends_from_us = now_us + reply->retry_us;
        handle_failure(holder, account, request->part, now_us);
    }
    quota_holder_check_requested(account);
    g_free(request);
    return true;
}

void
quota_holder_check_open_requests(bv_quota_holder_t *holder, account_t *account,
                                 int64_t now_us)
{
    GList *item = account->open_requests.head;
    while (item != NULL) {
        open_request_t *request = item->data;
        GList *next = item->next;
        int64_t age_us = now_us - request->sent_us;
        if (age_us >= ANSWER_TIMEOUT_US && !request->has_timed_out) {
            request->has_timed_out = true;
            account->waiters_requested -= request->needed;
            request->needed = 0;
            handle_failure(holder, account, request->part, now_us);
        }
        if (age_us >= BV_QUOTA_PERMIT_LIFETIME_US) {
            g_free(remove_open_request(account, request->sequence,
                                       request->part));
        }
        item = next;
    }
}
