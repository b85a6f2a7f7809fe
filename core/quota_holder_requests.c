#include "quota_holder_internal.h"

#include <string.h>

/*
 * Time after a refusal in which only one request with waiting calls is open:
 * the calls that arrive meanwhile share the next one.
 */
#define SHARED_REQUEST_US (1000 * US_PER_MS)

/* A request that is to be sent in the message to its lessor. */
typedef struct {
    char lessor[BV_NAME_BYTES];
    uint64_t incarnation;
    account_t *account;
    uint32_t needed;
    uint32_t extra;
} entry_t;

void
quota_holder_mark_pending(bv_quota_holder_t *holder, account_t *account)
{
    if (!account->is_pending) {
        account->is_pending = true;
        g_ptr_array_add(holder->pending, account);
    }
}

static uint32_t
count_extra(const bv_quota_holder_t *holder, const account_t *account,
            int64_t now_us, const char *lessor)
{
    if (strcmp(lessor, holder->options.name) == 0) {
        return 0;
    }
    if (account->is_silent) {
        return 1;
    }
    uint32_t target = (uint32_t)(account->use_per_s / STOCK_DIVISOR);
    uint32_t expected =
        quota_stock_count(&account->stock) + account->extra_requested;
    return quota_holder_is_stock_low(account, now_us) && target > expected
               ? target - expected
               : 0;
}

/*
 * Without a repetition a failure proves nothing; the next one counts as the
 * first.
 */
static void
forget_failure(account_t *account)
{
    for (GList *item = account->open_requests.head; item != NULL;
         item = item->next) {
        if (!((open_request_t *)item->data)->has_timed_out) {
            return;
        }
    }
    account->failed_us = 0;
}

/* Whether the calls that wait must share the next request. */
static bool
must_share(const account_t *account, int64_t now_us)
{
    return account->waiters_requested > 0 &&
           now_us - account->last_refused_us < SHARED_REQUEST_US;
}

/* Returns false if the account has nothing to send now. */
static bool
build_entry(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
            entry_t *entry)
{
    const bv_quota_holder_options_t *options = &holder->options;
    const char *lessor = options->ops->lessor(options->context, account->name,
                                              &entry->incarnation);
    if (lessor == NULL) {
        quota_holder_end_waits(holder, account, now_us);
        return false;
    }
    quota_stock_drop_expired(&account->stock, now_us);
    quota_holder_check_requested(account);
    uint32_t needed = account->waiters.length - account->waiters_requested;
    uint32_t extra = count_extra(holder, account, now_us, lessor);
    bool is_probe = account->is_silent;
    g_strlcpy(entry->lessor, lessor, BV_NAME_BYTES);
    entry->account = account;
    entry->needed = MIN(needed, BV_QUOTA_PERMITS_LIMIT / 2);
    entry->extra = MIN(extra, BV_QUOTA_PERMITS_LIMIT / 2);
    return needed > 0 || extra > 0 || is_probe;
}

static gint
compare_entries(gconstpointer left, gconstpointer right)
{
    return strcmp(((const entry_t *)left)->lessor,
                  ((const entry_t *)right)->lessor);
}

static GArray *
collect_entries(bv_quota_holder_t *holder, int64_t now_us)
{
    GPtrArray *pending = holder->pending;
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(entry_t));
    holder->pending = g_ptr_array_new();
    for (guint i = 0; i < pending->len; i++) {
        account_t *account = pending->pdata[i];
        entry_t entry;
        account->is_pending = false;
        if (now_us < account->hold_until_us || must_share(account, now_us)) {
            quota_holder_mark_pending(holder, account);
        }
        else if (build_entry(holder, account, now_us, &entry)) {
            g_array_append_val(entries, entry);
        }
        else {
            forget_failure(account);
        }
    }
    g_ptr_array_unref(pending);
    g_array_sort(entries, compare_entries);
    return entries;
}

static void
add_open_request(const entry_t *entry, uint64_t sequence, int64_t now_us)
{
    account_t *account = entry->account;
    open_request_t *request = g_new0(open_request_t, 1);
    request->sequence = sequence;
    request->sent_us = now_us;
    request->needed = entry->needed;
    request->extra = entry->extra;
    request->wanted = entry->needed + entry->extra;
    account->waiters_requested += entry->needed;
    account->extra_requested += entry->extra;
    g_queue_push_tail(&account->open_requests, request);
}

/* Sends the entries from `first` on that go into one message. */
static guint
send_message(bv_quota_holder_t *holder, int64_t now_us, const GArray *entries,
             guint first)
{
    const bv_quota_holder_options_t *options = &holder->options;
    bv_quota_request_t requests[BV_QUOTA_ENTRIES_LIMIT];
    const entry_t *head = &g_array_index(entries, entry_t, first);
    uint64_t sequence = ++holder->sequence;
    uint32_t count = 0;
    for (guint i = first; i < entries->len && count < BV_QUOTA_ENTRIES_LIMIT;
         i++) {
        const entry_t *entry = &g_array_index(entries, entry_t, i);
        if (strcmp(entry->lessor, head->lessor) != 0) {
            break;
        }
        add_open_request(entry, sequence, now_us);
        requests[count++] = (bv_quota_request_t){
            .account = entry->account->name,
            .needed = entry->needed,
            .wanted = entry->needed + entry->extra,
        };
    }
    options->ops->ask(options->context, head->lessor, head->incarnation,
                      sequence, requests, count);
    return first + count;
}

void
bv_quota_holder_flush(bv_quota_holder_t *holder, int64_t now_us)
{
    if (holder->pending->len == 0) {
        return;
    }
    GArray *entries = collect_entries(holder, now_us);
    for (guint next = 0; next < entries->len;) {
        next = send_message(holder, now_us, entries, next);
    }
    g_array_unref(entries);
}
