#ifndef BERYLVANE_TARGET_CLIENT_H
#define BERYLVANE_TARGET_CLIENT_H

#include "berylvane/target/dialect.h"

#include <apr_pools.h>

/*
 * client - sends admitted work to the local target over HTTP
 *
 * Non-idempotent work goes out on a fresh connection, since libcurl repeats a
 * request by itself on a reused connection that closes early.
 */
typedef struct bv_target_client bv_target_client_t;

typedef struct {
    uint32_t ring_capacity;
    uint32_t keep;
    size_t answer_limit;
    /* NULL: berylvane's own headers. */
    const bv_target_dialect_t *dialect;
    /* Called on the client's thread; takes the result. */
    void (*on_result)(void *context, bv_target_result_t *result);
    void *context;
} bv_target_client_options_t;

bv_target_client_t *
bv_target_client_start(apr_pool_t *pool,
                       const bv_target_client_options_t *options);
void bv_target_client_stop(bv_target_client_t *client);

/* Sends work; false, with nothing sent, when the ring is full. */
bool bv_target_client_send(bv_target_client_t *client,
                           const bv_target_work_t *work);

/* Closes the connection of running work, which tells the target. */
bool bv_target_client_cancel(bv_target_client_t *client, uint64_t id);

void bv_target_result_destroy(bv_target_result_t *result);

#endif
