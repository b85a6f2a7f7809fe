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
    uint32_t part;
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
    uint32_t target = (uint32_t)(account->use_per_s / STOCK_DIVISOR);
    uint32_t expected =
        quota_stock_count(&account->stock) + account->extra_requested;
    return quota_holder_is_stock_low(account, now_us) && target > expected
               ? target - expected
               : 0;
}

/* Whether the calls that wait must share the next request. */
static bool
must_share(const account_t *account, int64_t now_us)
{
    return account->waiters_requested > 0 &&
           now_us - account->last_refused_us < SHARED_REQUEST_US;
}

/* Stores the lessor of a part. Returns false if there is none. */
static bool
find_lessor(const bv_quota_holder_t *holder, account_t *account, uint32_t part,
            entry_t *entry)
{
    const bv_quota_holder_options_t *options = &holder->options;
    const char *lessor = options->ops->lessor(options->context, account->name,
                                              part, &entry->incarnation);
    if (lessor == NULL) {
        return false;
    }
    g_strlcpy(entry->lessor, lessor, BV_NAME_BYTES);
    entry->account = account;
    entry->part = part;
    return true;
}

/*
 * Chooses the part to ask, and stores its lessor; a part without a lessor
 * counts as silent. Returns false if no part can be asked.
 */
static bool
choose_lessor(const bv_quota_holder_t *holder, account_t *account,
              int64_t now_us, entry_t *entry)
{
    uint32_t part;
    while ((part = quota_holder_choose_part(account, now_us)) <
           BV_QUOTA_PARTS) {
        if (find_lessor(holder, account, part, entry)) {
            return true;
        }
        quota_holder_silence_part(account, part, now_us + ANSWER_TIMEOUT_US);
    }
    return false;
}

/* Adds the request for the calls that wait and for the stock. */
static void
add_request(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
            GArray *entries)
{
    entry_t entry;
    quota_holder_check_requested(account);
    if (!choose_lessor(holder, account, now_us, &entry)) {
        quota_holder_end_waits(holder, account, now_us);
        return;
    }
    quota_stock_drop_expired(&account->stock, now_us);
    uint32_t needed = account->waiters.length - account->waiters_requested;
    uint32_t extra = count_extra(holder, account, now_us, entry.lessor);
    entry.needed = MIN(needed, BV_QUOTA_PERMITS_LIMIT / 2);
    entry.extra = MIN(extra, BV_QUOTA_PERMITS_LIMIT / 2);
    if (needed > 0 || extra > 0) {
        g_array_append_val(entries, entry);
    }
}

/* Adds a request for one permit to each silent lessor that is due. */
static void
add_probes(const bv_quota_holder_t *holder, account_t *account, int64_t now_us,
           GArray *entries)
{
    for (uint32_t i = 0; i < BV_QUOTA_PARTS; i++) {
        part_t *part = &account->parts[i];
        entry_t entry = {.extra = 1};
        if (!part->is_silent || now_us < part->probe_due_us) {
            continue;
        }
        part->probe_due_us = now_us + ANSWER_TIMEOUT_US;
        if (find_lessor(holder, account, i, &entry)) {
            g_array_append_val(entries, entry);
        }
    }
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
        account->is_pending = false;
        add_probes(holder, account, now_us, entries);
        if (must_share(account, now_us)) {
            quota_holder_mark_pending(holder, account);
        }
        else {
            add_request(holder, account, now_us, entries);
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
    request->part = entry->part;
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
            .part = entry->part,
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
