#include "berylvane/core/quota_lessor.h"

#include <string.h>

#define US_PER_S 1000000.0
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
    /* Refused requests that the rate has not made up for since. */
    double backlog;
    uint64_t granted;
    uint64_t refused;
} account_t;

struct bv_quota_lessor {
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

static double
capacity_of(const bv_quota_limit_t *limit)
{
    double least = MAX(1, (double)limit->rate_per_s / LEAST_CAPACITY_DIVISOR);
    return MAX(limit->burst, least);
}

static void
fill(account_t *account, int64_t now_us)
{
    if (now_us <= account->filled_us) {
        return;
    }
    double gained = (double)(now_us - account->filled_us) *
                    account->limit.rate_per_s / US_PER_S;
    account->permits =
        MIN(account->permits + gained, capacity_of(&account->limit));
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
        fill(account, now_us);
    }
    else {
        account->known_us = now_us;
    }
    account->limit = *limit;
    account->permits = MIN(account->permits, capacity_of(limit));
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
take_into_use(account_t *account, int64_t since_us)
{
    account->is_in_use = true;
    account->permits = 0;
    account->backlog = 0;
    account->filled_us = MAX(since_us, account->known_us);
}

static uint32_t
take(account_t *account, const bv_quota_request_t *request)
{
    double surplus = account->permits - capacity_of(&account->limit) / 2;
    double lendable = MIN(account->permits, request->needed);
    lendable = MAX(lendable, MIN(surplus, request->wanted));
    uint32_t granted = (uint32_t)MAX(lendable, 0);
    account->permits -= granted;
    return granted;
}

static void
refuse(account_t *account, uint32_t count, bv_quota_reply_t *reply)
{
    double rate = account->limit.rate_per_s;
    account->refused += count;
    account->backlog += count;
    double wait_us = MAX(1 - account->permits, 0) / rate * US_PER_S;
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
        take_into_use(account, since_us);
    }
    fill(account, now_us);
    reply.granted = take(account, request);
    account->granted += reply.granted;
    if (reply.granted < request->needed) {
        refuse(account, request->needed - reply.granted, &reply);
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
