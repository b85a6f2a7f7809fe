#include "quota_holder_internal.h"

#include <string.h>
#include <xxhash.h>

#define TICK_US (10 * US_PER_MS)
#define USE_PERIODS_PER_S 10
#define USE_SMOOTHING 0.2
/* Use in requests per second below which an account counts as idle. */
#define IDLE_USE_PER_S 0.01

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

/* Spreads the nodes that use an account over the lessors of its parts. */
static uint32_t
first_part_of(const bv_quota_holder_t *holder, const char *name)
{
    const char *node = holder->options.name;
    uint64_t hash = XXH3_64bits_withSeed(node, strlen(node),
                                         XXH3_64bits(name, strlen(name)));
    return (uint32_t)(hash % BV_QUOTA_PARTS);
}

void
bv_quota_holder_set_limit(bv_quota_holder_t *holder, const char *name,
                          const bv_quota_limit_t *limit)
{
    account_t *account = g_hash_table_lookup(holder->accounts, name);
    if (account == NULL) {
        account = g_new0(account_t, 1);
        account->name = g_strdup(name);
        account->first_part = first_part_of(holder, name);
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
        quota_holder_forget_refusals(account);
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
        quota_holder_check_open_requests(holder, account, now_us);
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
            .silent_lessors = quota_holder_count_silent(account),
        };
        if (usage.admitted > 0 || usage.refused > 0 || usage.waiting > 0) {
            visit(context, &usage);
        }
    }
}
