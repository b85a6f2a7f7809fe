#include "berylvane/core/quota_holder.h"

#include "berylvane/common/invariant.h"
#include "quota_floor.h"
#include "quota_stock.h"

#include <string.h>

#define US_PER_S 1000000.0
#define US_PER_MS 1000
/* Time after which a request counts as unanswered; two inter-region round
 * trips take 120 ms. */
#define ANSWER_TIMEOUT_US (250 * US_PER_MS)
#define TICK_US (10 * US_PER_MS)
#define USE_PERIOD_US (100 * US_PER_MS)
#define USE_PERIODS_PER_S 10
#define USE_SMOOTHING 0.2
/* Use in requests per second below which an account counts as idle. */
#define IDLE_USE_PER_S 0.01
/* The stock that a node aims at is the use in this part of a second. */
#define STOCK_DIVISOR 5
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
 * Time after a refusal in which only one request with waiting calls is open:
 * the calls that arrive meanwhile share the next one.
 */
#define SHARED_REQUEST_US (1000 * US_PER_MS)
/* Retry time that is stated when the lessor does not answer. */
#define FLOOR_RETRY_US (1000 * US_PER_MS)

/* A request to the lessor that may still be answered. */
typedef struct {
    uint64_t sequence;
    int64_t sent_us;
    /* Calls that wait for the answer, and permits wanted beyond. */
    uint32_t needed;
    uint32_t extra;
    /* Permits that were requested, whether calls still wait for them or not.
     */
    uint32_t wanted;
    bool has_timed_out;
} open_request_t;

typedef struct {
    char *name;
    bv_quota_limit_t limit;
    quota_stock_t stock;
    /* Of uint64_t, in order of arrival; the first `waiters_requested` are in
     * requests. */
    GQueue waiters;
    uint32_t waiters_requested;
    /* Of open_request_t, in order of sending. */
    GQueue open_requests;
    uint32_t extra_requested;
    /* Time from which a failing request proves the lessor silent; 0: none. */
    int64_t failed_us;
    /* Nothing is sent before. */
    int64_t hold_until_us;
    bool is_silent;
    int64_t probe_due_us;
    int64_t last_refused_us;
    int64_t refused_until_us;
    int64_t refused_retry_us;
    quota_floor_t floor;
    /* Admitted in this period, and average per second. */
    uint32_t used;
    double use_per_s;
    int64_t prefetch_due_us;
    bool is_pending;
    bool is_active;
    uint64_t admitted;
    uint64_t admitted_from_floor;
    uint64_t refused;
} account_t;

struct bv_quota_holder {
    bv_quota_holder_options_t options;
    bv_quota_bounds_t bounds;
    uint32_t floor_members;
    /* account_t by name. */
    GHashTable *accounts;
    /* Accounts that have something to send, and accounts in use. */
    GPtrArray *pending;
    GPtrArray *active;
    uint64_t sequence;
    int64_t tick_due_us;
    int64_t use_due_us;
};

static void
free_account(void *data)
{
    account_t *account = data;
    g_queue_clear_full(&account->waiters, g_free);
    g_queue_clear_full(&account->open_requests, g_free);
    quota_floor_clear(&account->floor);
    quota_stock_clear(&account->stock);
    g_free(account->name);
    g_free(account);
}

bv_quota_holder_t *
bv_quota_holder_create(const bv_quota_holder_options_t *options)
{
    bv_quota_holder_t *holder = g_new0(bv_quota_holder_t, 1);
    holder->options = *options;
    holder->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
    holder->pending = g_ptr_array_new();
    holder->active = g_ptr_array_new();
    return holder;
}

void
bv_quota_holder_destroy(bv_quota_holder_t *holder)
{
    if (holder == NULL) {
        return;
    }
    g_ptr_array_unref(holder->pending);
    g_ptr_array_unref(holder->active);
    g_hash_table_destroy(holder->accounts);
    g_free(holder);
}

void
bv_quota_holder_set_floor(bv_quota_holder_t *holder,
                          const bv_quota_bounds_t *bounds, uint32_t members)
{
    holder->bounds = *bounds;
    holder->floor_members = members;
}

void
bv_quota_holder_set_limit(bv_quota_holder_t *holder, const char *name,
                          const bv_quota_limit_t *limit)
{
    account_t *account = g_hash_table_lookup(holder->accounts, name);
    if (account == NULL) {
        account = g_new0(account_t, 1);
        account->name = g_strdup(name);
        quota_stock_init(&account->stock);
        quota_floor_init(&account->floor);
        g_hash_table_insert(holder->accounts, account->name, account);
    }
    if (limit->rate_per_s < account->limit.rate_per_s ||
        limit->burst < account->limit.burst) {
        /* Permits of a higher limit would exceed the lower one. */
        quota_stock_discard(&account->stock);
    }
    if (memcmp(&account->limit, limit, sizeof(*limit)) != 0) {
        account->refused_until_us = 0;
    }
    account->limit = *limit;
}

void
bv_quota_holder_retain(bv_quota_holder_t *holder,
                       bool (*is_kept)(void *context, const char *account),
                       void *context)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, holder->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        account_t *account = value;
        if (account->waiters.length > 0 || is_kept(context, account->name)) {
            continue;
        }
        g_ptr_array_remove_fast(holder->pending, account);
        g_ptr_array_remove_fast(holder->active, account);
        g_hash_table_iter_remove(&iterator);
    }
}

static void
mark_pending(bv_quota_holder_t *holder, account_t *account)
{
    if (!account->is_pending) {
        account->is_pending = true;
        g_ptr_array_add(holder->pending, account);
    }
}

static void
mark_active(bv_quota_holder_t *holder, account_t *account)
{
    if (!account->is_active) {
        account->is_active = true;
        g_ptr_array_add(holder->active, account);
    }
}

/* Whether so little is in stock that permits should be requested ahead. */
static bool
is_stock_low(const account_t *account, int64_t now_us)
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

static bool
take_from_floor(const bv_quota_holder_t *holder, account_t *account,
                int64_t now_us)
{
    return quota_floor_take(&account->floor, now_us, &account->limit,
                            &holder->bounds, holder->floor_members);
}

static void
count_admitted(account_t *account, const bv_quota_permit_t *permit)
{
    account->admitted++;
    account->used++;
    account->admitted_from_floor += permit->source == BV_QUOTA_FROM_FLOOR;
}

static uint64_t
pop_waiter(account_t *account)
{
    uint64_t *head = g_queue_pop_head(&account->waiters);
    uint64_t waiter = *head;
    g_free(head);
    return waiter;
}

/* Takes one call out of the oldest request that calls wait for. */
static void
reduce_requested(account_t *account)
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

static void
admit_first(const bv_quota_holder_t *holder, account_t *account,
            const bv_quota_permit_t *permit)
{
    uint64_t waiter = pop_waiter(account);
    count_admitted(account, permit);
    holder->options.ops->admitted(holder->options.context, waiter, permit);
}

static void
refuse_first(const bv_quota_holder_t *holder, account_t *account,
             int64_t retry_us)
{
    uint64_t waiter = pop_waiter(account);
    account->refused++;
    holder->options.ops->refused(holder->options.context, waiter, retry_us);
}

/* Makes all open requests requests that no call waits for. */
static void
release_requested(account_t *account)
{
    for (GList *item = account->open_requests.head; item != NULL;
         item = item->next) {
        ((open_request_t *)item->data)->needed = 0;
    }
    account->waiters_requested = 0;
}

static void
end_waits(bv_quota_holder_t *holder, account_t *account, int64_t now_us)
{
    release_requested(account);
    while (account->waiters.length > 0) {
        if (take_from_floor(holder, account, now_us)) {
            bv_quota_permit_t permit = {BV_QUOTA_FROM_FLOOR, 0};
            admit_first(holder, account, &permit);
        }
        else {
            refuse_first(holder, account, FLOOR_RETRY_US);
        }
    }
}

static void
become_silent(bv_quota_holder_t *holder, account_t *account, int64_t now_us)
{
    account->is_silent = true;
    account->failed_us = 0;
    account->probe_due_us = now_us;
    end_waits(holder, account, now_us);
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
        release_requested(account);
        mark_pending(holder, account);
    }
    else if (sent_us >= account->failed_us) {
        become_silent(holder, account, now_us);
    }
}

static bv_quota_verdict_t
charge_at_once(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
               bv_quota_permit_t *permit, int64_t *retry_us)
{
    if (take_from_stock(account, now_us, permit)) {
        count_admitted(account, permit);
        if (is_stock_low(account, now_us)) {
            mark_pending(holder, account);
        }
        return BV_QUOTA_ADMITTED;
    }
    if (now_us < account->refused_until_us) {
        account->refused++;
        *retry_us = account->refused_retry_us;
        return BV_QUOTA_REFUSED;
    }
    if (!account->is_silent) {
        return BV_QUOTA_WAITING;
    }
    if (now_us >= account->probe_due_us) {
        account->probe_due_us = now_us + ANSWER_TIMEOUT_US;
        mark_pending(holder, account);
    }
    if (take_from_floor(holder, account, now_us)) {
        *permit = (bv_quota_permit_t){BV_QUOTA_FROM_FLOOR, 0};
        count_admitted(account, permit);
        return BV_QUOTA_ADMITTED;
    }
    account->refused++;
    *retry_us = FLOOR_RETRY_US;
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
        g_queue_push_tail(&account->waiters,
                          g_memdup2(&waiter, sizeof(waiter)));
        mark_pending(holder, account);
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
        if (*(uint64_t *)item->data != waiter) {
            continue;
        }
        g_free(item->data);
        g_queue_delete_link(&account->waiters, item);
        if (index < account->waiters_requested) {
            reduce_requested(account);
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
        reduce_requested(account);
    }
    admit_first(holder, account, permit);
}

/* A request that is to be sent in the message to its lessor. */
typedef struct {
    char lessor[BV_NAME_BYTES];
    uint64_t incarnation;
    account_t *account;
    uint32_t needed;
    uint32_t extra;
} entry_t;

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
    return is_stock_low(account, now_us) && target > expected
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

/*
 * Checks that each call that a request counts still waits; otherwise the calls
 * that are in no request would be miscounted.
 */
static void
check_requested(const account_t *account)
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

/* Returns false if the account has nothing to send now. */
static bool
build_entry(bv_quota_holder_t *holder, account_t *account, int64_t now_us,
            entry_t *entry)
{
    const bv_quota_holder_options_t *options = &holder->options;
    const char *lessor = options->ops->lessor(options->context, account->name,
                                              &entry->incarnation);
    if (lessor == NULL) {
        end_waits(holder, account, now_us);
        return false;
    }
    quota_stock_drop_expired(&account->stock, now_us);
    check_requested(account);
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
            mark_pending(holder, account);
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
            reduce_requested(account);
        }
        admit_first(holder, account, &permit);
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
        refuse_first(holder, account, reply->retry_us);
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
    check_requested(account);
    g_free(request);
    return true;
}

static void
check_open_requests(bv_quota_holder_t *holder, account_t *account,
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

static void
update_use(account_t *account)
{
    double use = (double)account->used * USE_PERIODS_PER_S;
    account->use_per_s += USE_SMOOTHING * (use - account->use_per_s);
    account->used = 0;
}

static bool
is_idle(const account_t *account)
{
    return account->waiters.length == 0 &&
           account->open_requests.length == 0 &&
           quota_stock_count(&account->stock) == 0 &&
           account->use_per_s < IDLE_USE_PER_S;
}

void
bv_quota_holder_tick(bv_quota_holder_t *holder, int64_t now_us)
{
    if (now_us < holder->tick_due_us) {
        return;
    }
    bool is_use_due = now_us >= holder->use_due_us;
    holder->tick_due_us = now_us + TICK_US;
    if (is_use_due) {
        holder->use_due_us = now_us + USE_PERIOD_US;
    }
    for (guint i = holder->active->len; i-- > 0;) {
        account_t *account = holder->active->pdata[i];
        quota_stock_drop_expired(&account->stock, now_us);
        check_open_requests(holder, account, now_us);
        if (is_use_due) {
            update_use(account);
        }
        if (is_idle(account)) {
            account->is_active = false;
            g_ptr_array_remove_index_fast(holder->active, i);
        }
    }
}

void
bv_quota_holder_foreach(const bv_quota_holder_t *holder,
                        void (*visit)(void *context,
                                      const bv_quota_usage_t *usage),
                        void *context)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, holder->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const account_t *account = value;
        bv_quota_usage_t usage = {
            .account = account->name,
            .admitted = account->admitted,
            .admitted_from_floor = account->admitted_from_floor,
            .refused = account->refused,
            .stock = quota_stock_count(&account->stock),
            .waiting = account->waiters.length,
            .is_lessor_silent = account->is_silent,
        };
        if (usage.admitted > 0 || usage.refused > 0 || usage.waiting > 0) {
            visit(context, &usage);
        }
    }
}
