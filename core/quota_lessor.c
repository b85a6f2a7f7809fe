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

/* Token bucket of one part of an account's quota. */
typedef struct {
    bool is_in_use;
    double permits;
    int64_t filled_us;
    bv_quota_window_t lent;
    /* Refused requests that the rate has not made up for since. */
    double backlog;
    uint64_t granted;
    uint64_t refused;
} bucket_t;

typedef struct {
    char *name;
    bv_quota_limit_t limit;
    /* Time from which the limit is known. */
    int64_t known_us;
    bucket_t parts[BV_QUOTA_PARTS];
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
        for (uint32_t part = 0; part < BV_QUOTA_PARTS; part++) {
            account->parts[part].is_in_use = false;
        }
        account->known_us = now_us;
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

/* Permits that the bucket of a part holds at most. */
static double
capacity_of(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit)
{
    double capacity =
        MAX(limit->burst, (double)limit->rate_per_s / LEAST_CAPACITY_DIVISOR);
    if (lessor->bounds.window_us > 0) {
        capacity += overage_share(lessor, limit);
    }
    return MAX(1, capacity / BV_QUOTA_PARTS);
}

/*
 * Returns the permits that the bucket of a part gains in a second. With
 * bounds, an account may use its burst in each window.
 */
static double
gain_per_s(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit)
{
    const bv_quota_bounds_t *bounds = &lessor->bounds;
    if (bounds->window_us == 0) {
        return (double)limit->rate_per_s / BV_QUOTA_PARTS;
    }
    return bv_quota_in_window(limit, bounds) / BV_QUOTA_PARTS * US_PER_S /
           (double)bounds->window_us;
}

/* Returns how many permits of a part may still be lent in this window. */
static double
window_room(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit,
            bucket_t *bucket, int64_t now_us)
{
    if (lessor->bounds.window_us == 0) {
        return G_MAXUINT32;
    }
    double most = bv_quota_in_window(limit, &lessor->bounds) +
                  overage_share(lessor, limit);
    return most / BV_QUOTA_PARTS -
           (double)bv_quota_window_count(&bucket->lent, now_us);
}

static void
fill(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit,
     bucket_t *bucket, int64_t now_us)
{
    if (now_us <= bucket->filled_us) {
        return;
    }
    double gained = (double)(now_us - bucket->filled_us) *
                    gain_per_s(lessor, limit) / US_PER_S;
    bucket->permits =
        MIN(bucket->permits + gained, capacity_of(lessor, limit));
    /*
     * Permits used after a delay fall into one window with those of the next
     * burst: a bucket that filled while the window is used up would lend a
     * second burst as soon as the first one leaves the window.
     */
    bucket->permits = MIN(bucket->permits,
                          MAX(window_room(lessor, limit, bucket, now_us), 0));
    bucket->backlog = MAX(bucket->backlog - gained, 0);
    bucket->filled_us = now_us;
}

static void
change_limit(const bv_quota_lessor_t *lessor, account_t *account,
             uint32_t part, int64_t now_us, const bv_quota_limit_t *limit)
{
    bucket_t *bucket = &account->parts[part];
    if (bucket->is_in_use) {
        fill(lessor, &account->limit, bucket, now_us);
        bucket->permits = MIN(bucket->permits, capacity_of(lessor, limit));
    }
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
    for (uint32_t part = 0; part < BV_QUOTA_PARTS; part++) {
        change_limit(lessor, account, part, now_us, limit);
    }
    account->known_us = now_us;
    account->limit = *limit;
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
                       bool (*is_lessor)(void *context, const char *account,
                                         uint32_t part),
                       void *context)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, lessor->accounts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        account_t *account = value;
        for (uint32_t part = 0; part < BV_QUOTA_PARTS; part++) {
            bucket_t *bucket = &account->parts[part];
            bucket->is_in_use =
                bucket->is_in_use && is_lessor(context, account->name, part);
        }
    }
}

/*
 * Permits that a bucket starts with: it owes a burst, which the former lessor
 * may have lent just before. With this debt both together lend no more in any
 * window than one bucket that goes on.
 */
static double
initial_permits(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit)
{
    bool has_window = lessor->bounds.window_us > 0;
    return has_window ? -(double)limit->burst / BV_QUOTA_PARTS : 0;
}

static void
take_into_use(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit,
              bucket_t *bucket, int64_t since_us)
{
    bv_quota_window_init(&bucket->lent, lessor->bounds.window_us);
    bucket->is_in_use = true;
    bucket->permits = initial_permits(lessor, limit);
    bucket->backlog = 0;
    bucket->filled_us = since_us;
}

static uint32_t
take(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit,
     bucket_t *bucket, int64_t now_us, const bv_quota_request_t *request)
{
    double surplus = bucket->permits - capacity_of(lessor, limit) / 2;
    double lendable = MIN(bucket->permits, request->needed);
    lendable = MAX(lendable, MIN(surplus, request->wanted));
    lendable = MIN(lendable, window_room(lessor, limit, bucket, now_us));
    uint32_t granted = (uint32_t)MAX(lendable, 0);
    bucket->permits -= granted;
    if (granted > 0) {
        bv_quota_window_add(&bucket->lent, now_us, granted);
    }
    return granted;
}

static void
refuse(const bv_quota_lessor_t *lessor, const bv_quota_limit_t *limit,
       bucket_t *bucket, int64_t now_us, uint32_t count,
       bv_quota_reply_t *reply)
{
    double rate = gain_per_s(lessor, limit);
    bucket->refused += count;
    /*
     * A call is refused once all parts have refused it, so that each counts a
     * share. Bounded, so that the stated delay falls soon after an overload.
     */
    bucket->backlog = MIN(bucket->backlog + (double)count / BV_QUOTA_PARTS,
                          rate * BV_QUOTA_WAIT_LIMIT_US / US_PER_S);
    double wait_us = MAX(1 - bucket->permits, 0) / rate * US_PER_S;
    if (window_room(lessor, limit, bucket, now_us) < 1) {
        wait_us = MAX(wait_us,
                      (double)bv_quota_window_wait_us(&bucket->lent, now_us));
    }
    double retry_us = wait_us + bucket->backlog / rate * US_PER_S;
    reply->wait_us = (int64_t)MIN(wait_us, BV_QUOTA_WAIT_LIMIT_US);
    reply->retry_us = (int64_t)MIN(retry_us, BV_QUOTA_WAIT_LIMIT_US);
}

bv_quota_reply_t
bv_quota_lessor_lend(bv_quota_lessor_t *lessor, int64_t now_us,
                     int64_t since_us, const bv_quota_request_t *request)
{
    bv_quota_reply_t reply = {
        .account = request->account,
        .part = request->part,
        .status = BV_QUOTA_NOT_LESSOR,
    };
    account_t *account =
        g_hash_table_lookup(lessor->accounts, request->account);
    if (account == NULL || request->part >= BV_QUOTA_PARTS) {
        return reply;
    }
    reply.status = BV_QUOTA_GRANTED;
    if (account->limit.rate_per_s == 0) {
        reply.granted = request->wanted;
        return reply;
    }
    const bv_quota_limit_t *limit = &account->limit;
    bucket_t *bucket = &account->parts[request->part];
    if (!bucket->is_in_use) {
        take_into_use(lessor, limit, bucket, MAX(since_us, account->known_us));
    }
    fill(lessor, limit, bucket, now_us);
    reply.granted = take(lessor, limit, bucket, now_us, request);
    bucket->granted += reply.granted;
    if (reply.granted < request->needed) {
        refuse(lessor, limit, bucket, now_us, request->needed - reply.granted,
               &reply);
    }
    return reply;
}

static void
visit_buckets(const account_t *account,
              void (*visit)(void *context, const bv_quota_bucket_t *bucket),
              void *context)
{
    for (uint32_t part = 0; part < BV_QUOTA_PARTS; part++) {
        const bucket_t *bucket = &account->parts[part];
        bv_quota_bucket_t shown = {
            .account = account->name,
            .part = part,
            .limit = account->limit,
            .granted = bucket->granted,
            .refused = bucket->refused,
            .permits = bucket->permits,
        };
        if (bucket->is_in_use) {
            visit(context, &shown);
        }
    }
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
        visit_buckets(value, visit, context);
    }
}
