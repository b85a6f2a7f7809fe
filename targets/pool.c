#include "pool.h"

#include "berylvane/common/clock.h"

#include <string.h>

/*
 * Limit while the target has stated none: servers commonly close idle
 * connections after 120 s or sooner.
 */
#define DEFAULT_IDLE_LIMIT_S 118
/*
 * Connections are not reused from this long before the target closes them, so
 * that it does not close one while a request is sent on it.
 */
#define IDLE_MARGIN_S 1
#define STATED_TIMEOUT_LIMIT_S (24 * 60 * 60)
#define TIMEOUT_FIELD "timeout="

void
bv_target_pool_init(bv_target_pool_t *pool, uint32_t limit)
{
    *pool = (bv_target_pool_t){
        .limit = limit,
        .idle_limit_us = DEFAULT_IDLE_LIMIT_S * BV_US_PER_S,
    };
    g_queue_init(&pool->idle);
}

void
bv_target_pool_close(bv_target_pool_t *pool,
                     bv_target_connection_t *connection)
{
    g_queue_unlink(&pool->idle, &connection->link);
    bv_target_connection_close(connection);
}

void
bv_target_pool_clear(bv_target_pool_t *pool)
{
    while (pool->idle.length > 0) {
        bv_target_pool_close(pool, pool->idle.head->data);
    }
}

static void
set_endpoint(bv_target_pool_t *pool, const bv_target_endpoint_t *endpoint)
{
    bv_target_pool_clear(pool);
    pool->endpoint = *endpoint;
    pool->idle_limit_us = DEFAULT_IDLE_LIMIT_S * BV_US_PER_S;
}

static bool
is_expired(const bv_target_pool_t *pool,
           const bv_target_connection_t *connection, int64_t now_us)
{
    return now_us - connection->idle_since_us >= pool->idle_limit_us;
}

bv_target_connection_t *
bv_target_pool_take(bv_target_pool_t *pool,
                    const bv_target_endpoint_t *endpoint, int64_t now_us)
{
    if (!bv_target_endpoint_equal(&pool->endpoint, endpoint)) {
        set_endpoint(pool, endpoint);
    }
    while (pool->idle.length > 0) {
        bv_target_connection_t *connection = pool->idle.tail->data;
        if (!is_expired(pool, connection, now_us) &&
            bv_target_connection_is_quiet(connection)) {
            g_queue_unlink(&pool->idle, &connection->link);
            return connection;
        }
        bv_target_pool_close(pool, connection);
    }
    return NULL;
}

void
bv_target_pool_put(bv_target_pool_t *pool, bv_target_connection_t *connection,
                   int64_t now_us)
{
    if (pool->limit == 0 ||
        !bv_target_endpoint_equal(&pool->endpoint, &connection->endpoint)) {
        bv_target_connection_close(connection);
        return;
    }
    if (pool->idle.length >= pool->limit) {
        bv_target_pool_close(pool, pool->idle.head->data);
    }
    connection->idle_since_us = now_us;
    g_queue_push_tail_link(&pool->idle, &connection->link);
}

void
bv_target_pool_apply_keep_alive(bv_target_pool_t *pool,
                                const bv_target_endpoint_t *endpoint,
                                const char *value)
{
    const char *timeout = strstr(value, TIMEOUT_FIELD);
    if (timeout == NULL ||
        !bv_target_endpoint_equal(&pool->endpoint, endpoint)) {
        return;
    }
    gint64 seconds =
        g_ascii_strtoll(timeout + strlen(TIMEOUT_FIELD), NULL, 10);
    seconds = CLAMP(seconds - IDLE_MARGIN_S, 0, STATED_TIMEOUT_LIMIT_S);
    pool->idle_limit_us = seconds * BV_US_PER_S;
}
