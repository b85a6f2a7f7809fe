#include "berylvane/core/quota_lessor.h"

#include "berylvane/core/quota_window.h"

#include <string.h>

#define US_PER_S 1000000.0
/*
 * Part of the allowed overage that a bucket may hold beyond the burst, and
 * that may be lent in a window beyond its quota. Half of the overage is for
 * the floors of all nodes (see quota_holder), and the last quarter for permits
 * that are lent before a window and used in it.
 */
#define OVERAGE_SHARE 0.25
/* Part of a second whose arrivals a bucket holds at least. */
#define LEAST_CAPACITY_DIVISOR 20

typedef struct {
    char *name;
    bv_quota_limit_t limit;
    /* Time from which the limit is known. */
    int64_t known_us;
    bool is_in_use;
    double permits;
    int64_t filled_us;
    bv_quota_window_t lent;
    /* Refused requests that the rate has not made up for since. */
    double backlog;
    uint64_t granted;
    uint64_t refused;
} account_t;

struct bv_quota_lessor {
    /* No window if `window_us` is 0. */
    bv_quota_bounds_t bounds;
    /* account_t by name. */
    GHashTable *accounts;
};

static void
free_account(void *data)
{
    account_t *account = data;
    g_free(account->name);
    g_free(account);
}

bv_quota_lessor_t *
bv_quota_lessor_create(void)
{
    bv_quota_lessor_t *lessor = g_new0(bv_quota_lessor_t, 1);
    lessor->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
    return lessor;
}

void
bv_quota_lessor_destroy(bv_quota_lessor_t *lessor)
{
    if (lessor == NULL) {
        return;
    }
    g_hash_table_destroy(lessor->accounts);
    g_free(lessor);
}

double
bv_quota_in_window(const bv_quota_limit_t *limit,
                   const bv_quota_bounds_t *bounds)
{
    return limit->rate_per_s * (double)bounds->window_us / US_PER_S +
           limit->burst;
}

double
bv_quota_overage(const bv_quota_limit_t *limit,
                 const bv_quota_bounds_t *bounds)
{
    return bounds->overage * bv_quota_in_window(limit, bounds) + bounds->slack;
}

/*
 * Makes the buckets in use start again empty. What they lent is counted by the
 * window of that time.
 */
static void
restart_buckets(const bv_quota_lessor_t *lessor, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, lessor->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        account_t *account = value;
        if (account->is_in_use) {
            account->is_in_use = false;
            account->known_us = now_us;
        }
    }
}

void
bv_quota_lessor_set_bounds(bv_quota_lessor_t *lessor, int64_t now_us,
                           const bv_quota_bounds_t *bounds)
{
    if (bounds->window_us != lessor->bounds.window_us) {
        restart_buckets(lessor, now_us);
    }
    lessor->bounds = *bounds;
}

static double
overage_share(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit)
{
    return OVERAGE_SHARE * bv_quota_overage(limit, &lessor->bounds);
}

static double
capacity_of(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit)
{
    double least = MAX(1, (double)limit->rate_per_s / LEAST_CAPACITY_DIVISOR);
    if (lessor->bounds.window_us == 0) {
        return MAX(limit->burst, least);
    }
    return MAX(limit->burst, least) + overage_share(lessor, limit);
}

/*
 * Returns the permits that a bucket gains in a second. With bounds, an account
 * may use its burst in each window.
 */
static double
gain_per_s(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit)
{
    const bv_quota_bounds_t *bounds = &lessor->bounds;
    if (bounds->window_us == 0) {
        return limit->rate_per_s;
    }
    return bv_quota_in_window(limit, bounds) * US_PER_S /
           (double)bounds->window_us;
}

/* Returns how many permits may still be lent in this window. */
static double
window_room(const bv_quota_lessor_t *lessor, account_t *account,
            int64_t now_us)
{
    if (lessor->bounds.window_us == 0) {
        return G_MAXUINT32;
    }
    return bv_quota_in_window(&account->limit, &lessor->bounds) +
           overage_share(lessor, &account->limit) -
           (double)bv_quota_window_count(&account->lent, now_us);
}

static void
fill(const bv_quota_lessor_t *lessor, account_t *account, int64_t now_us)
{
    if (now_us <= account->filled_us) {
        return;
    }
    double gained = (double)(now_us - account->filled_us) *
                    gain_per_s(lessor, &account->limit) / US_PER_S;
    account->permits =
        MIN(account->permits + gained, capacity_of(lessor, &account->limit));
    /*
     * Permits used after a delay fall into one window with those of the next
     * burst: a bucket that filled while the window is used up would lend a
     * second burst as soon as the first one leaves the window.
     */
    account->permits =
        MIN(account->permits, MAX(window_room(lessor, account, now_us), 0));
    account->backlog = MAX(account->backlog - gained, 0);
    account->filled_us = now_us;
}

void
bv_quota_lessor_set_limit(bv_quota_lessor_t *lessor, int64_t now_us,
                          const char *name, const bv_quota_limit_t *limit)
{
    account_t *account = g_hash_table_lookup(lessor->accounts, name);
    if (account == NULL) {
        account = g_new0(account_t, 1);
        account->name = g_strdup(name);
        account->known_us = now_us;
        account->limit = *limit;
        g_hash_table_insert(lessor->accounts, account->name, account);
        return;
    }
    if (memcmp(&account->limit, limit, sizeof(*limit)) == 0) {
        return;
    }
    if (account->is_in_use) {
        fill(lessor, account, now_us);
    }
    else {
        account->known_us = now_us;
    }
    account->limit = *limit;
    account->permits = MIN(account->permits, capacity_of(lessor, limit));
}

void
bv_quota_lessor_retain(bv_quota_lessor_t *lessor,
                       bool (*is_kept)(void *context, const char *account),
                       void *context)
{
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, lessor->accounts);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!is_kept(context, key)) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

void
bv_quota_lessor_forget(bv_quota_lessor_t *lessor,
                       bool (*is_lessor)(void *context, const char *account),
                       void *context)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, lessor->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        account_t *account = value;
        if (account->is_in_use && !is_lessor(context, account->name)) {
            account->is_in_use = false;
        }
    }
}

static void
take_into_use(const bv_quota_lessor_t *lessor, account_t *account,
              int64_t since_us)
{
    bv_quota_window_init(&account->lent, lessor->bounds.window_us);
    account->is_in_use = true;
    account->permits = 0;
    account->backlog = 0;
    account->filled_us = MAX(since_us, account->known_us);
}

static uint32_t
take(const bv_quota_lessor_t *lessor, account_t *account, int64_t now_us,
     const bv_quota_request_t *request)
{
    double surplus =
        account->permits - capacity_of(lessor, &account->limit) / 2;
    double lendable = MIN(account->permits, request->needed);
    lendable = MAX(lendable, MIN(surplus, request->wanted));
    lendable = MIN(lendable, window_room(lessor, account, now_us));
    uint32_t granted = (uint32_t)MAX(lendable, 0);
    account->permits -= granted;
    if (granted > 0) {
        bv_quota_window_add(&account->lent, now_us, granted);
    }
    return granted;
}

static void
refuse(const bv_quota_lessor_t *lessor, account_t *account, int64_t now_us,
       uint32_t count, bv_quota_reply_t *reply)
{
    double rate = gain_per_s(lessor, &account->limit);
    account->refused += count;
    /* Bounded, so that the stated delay falls soon after an overload. */
    account->backlog = MIN(account->backlog + count,
                           rate * BV_QUOTA_WAIT_LIMIT_US / US_PER_S);
    double wait_us = MAX(1 - account->permits, 0) / rate * US_PER_S;
    if (window_room(lessor, account, now_us) < 1) {
        wait_us = MAX(wait_us,
                      (double)bv_quota_window_wait_us(&account->lent, now_us));
    }
    double retry_us = wait_us + account->backlog / rate * US_PER_S;
    reply->wait_us = (int64_t)MIN(wait_us, BV_QUOTA_WAIT_LIMIT_US);
    reply->retry_us = (int64_t)MIN(retry_us, BV_QUOTA_WAIT_LIMIT_US);
}

bv_quota_reply_t
bv_quota_lessor_lend(bv_quota_lessor_t *lessor, int64_t now_us,
                     int64_t since_us, const bv_quota_request_t *request)
{
    bv_quota_reply_t reply = {
        .account = request->account,
        .status = BV_QUOTA_NOT_LESSOR,
    };
    account_t *account =
        g_hash_table_lookup(lessor->accounts, request->account);
    if (account == NULL) {
        return reply;
    }
    reply.status = BV_QUOTA_GRANTED;
    if (account->limit.rate_per_s == 0) {
        reply.granted = request->wanted;
        return reply;
    }
    if (!account->is_in_use) {
        take_into_use(lessor, account, since_us);
    }
    fill(lessor, account, now_us);
    reply.granted = take(lessor, account, now_us, request);
    account->granted += reply.granted;
    if (reply.granted < request->needed) {
        refuse(lessor, account, now_us, request->needed - reply.granted,
               &reply);
    }
    return reply;
}

void
bv_quota_lessor_foreach(const bv_quota_lessor_t *lessor,
                        void (*visit)(void *context,
                                      const bv_quota_bucket_t *bucket),
                        void *context)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, lessor->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const account_t *account = value;
        bv_quota_bucket_t bucket = {
            .account = account->name,
            .limit = account->limit,
            .granted = account->granted,
            .refused = account->refused,
            .permits = account->permits,
        };
        if (account->is_in_use) {
            visit(context, &bucket);
        }
    }
}
