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

static void
become_silent(bv_quota_holder_t *holder, account_t *account, int64_t now_us)
{
    account->is_silent = true;
    account->failed_us = 0;
    account->probe_due_us = now_us;
    quota_holder_end_waits(holder, account, now_us);
}

/*
 * A request was not answered in time, or by a node that is not the lessor. The
 * first time, the request is repeated from `repeat_us` on. If a later request
 * fails too, the floor applies.
 */
static void
handle_failure(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
               int64_t sent_us, int64_t repeat_us)
{
    if (account->is_silent) {
        return;
    }
    if (account->failed_us == 0) {
        account->failed_us = repeat_us;
        account->hold_until_us = repeat_us;
        quota_holder_release_requested(account);
        quota_holder_mark_pending(holder, account);
    }
    else if (sent_us >= account->failed_us) {
        become_silent(holder, account, now_us);
    }
}

static open_request_t *
remove_open_request(account_t *account, uint64_t sequence)
{
    for (GList *item = account->open_requests.head; item != NULL;
         item = item->next) {
        open_request_t *request = item->data;
        if (request->sequence == sequence) {
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

static void
handle_refused(const bv_quota_holder_t *holder, account_t *account,
               int64_t now_us, uint32_t count, const bv_quota_reply_t *reply)
{
    account->last_refused_us = now_us;
    account->refused_until_us =
        now_us + CLAMP(reply->wait_us, REFUSAL_LEAST_US, REFUSAL_LIMIT_US);
    account->refused_retry_us = reply->retry_us;
    for (uint32_t i = 0; i < count && account->waiters.length > 0; i++) {
        quota_holder_refuse_first(holder, account, reply->retry_us);
    }
}

static void
handle_granted(const bv_quota_holder_t *holder, account_t *account,
               int64_t now_us, const open_request_t *request,
               const bv_quota_reply_t *reply)
{
    account->is_silent = false;
    account->failed_us = 0;
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
        account != NULL ? remove_open_request(account, sequence) : NULL;
    if (request == NULL) {
        return false;
    }
    bool is_late = now_us - request->sent_us >= BV_QUOTA_PERMIT_LIFETIME_US;
    if (reply->status == BV_QUOTA_GRANTED && !is_late) {
        handle_granted(holder, account, now_us, request, reply);
    }
    else if (!request->has_timed_out) {
        handle_failure(holder, account, now_us, request->sent_us,
                       MAX(request->sent_us + ANSWER_TIMEOUT_US, now_us));
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
            handle_failure(holder, account, now_us, request->sent_us, now_us);
        }
        if (age_us >= BV_QUOTA_PERMIT_LIFETIME_US) {
            g_free(remove_open_request(account, request->sequence));
        }
        item = next;
    }
}
