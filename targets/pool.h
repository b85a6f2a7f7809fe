#ifndef BERYLVANE_TARGETS_POOL_H
#define BERYLVANE_TARGETS_POOL_H

#include "connection.h"

/*
 * pool - idle connections to the target and the rules of their reuse
 *
 * A node has one local target, so that the pool holds connections to one
 * endpoint only. When the target has moved, those to its earlier endpoint are
 * closed.
 */
typedef struct {
    /* Most idle connections. */
    uint32_t limit;
    bv_target_endpoint_t endpoint;
    /* Connections that were idle for so long are not reused. */
    int64_t idle_limit_us;
    /* Idle connections, the one used last at the tail. */
    GQueue idle;
} bv_target_pool_t;

void bv_target_pool_init(bv_target_pool_t *pool, uint32_t limit);

/* Closes all idle connections. */
void bv_target_pool_clear(bv_target_pool_t *pool);

/*
 * Removes and returns the connection that was used last, or NULL if none can
 * be reused. A connection that the target has closed, or that has unread
 * bytes, is closed.
 */
bv_target_connection_t *
bv_target_pool_take(bv_target_pool_t *pool,
                    const bv_target_endpoint_t *endpoint, int64_t now_us);

/*
 * Adds an idle connection. The one that is idle for longest is closed if there
 * are too many.
 */
void bv_target_pool_put(bv_target_pool_t *pool,
                        bv_target_connection_t *connection, int64_t now_us);

/* Closes an idle connection. */
void bv_target_pool_close(bv_target_pool_t *pool,
                          bv_target_connection_t *connection);

/*
 * Applies the value of a Keep-Alive header of the endpoint's target to all
 * connections; ignored if it states no timeout.
 */
void bv_target_pool_apply_keep_alive(bv_target_pool_t *pool,
                                     const bv_target_endpoint_t *endpoint,
                                     const char *value);

#endif
