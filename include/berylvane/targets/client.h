#ifndef BERYLVANE_TARGETS_CLIENT_H
#define BERYLVANE_TARGETS_CLIENT_H

#include "berylvane/targets/dialect.h"

#include <apr_pools.h>

/*
 * client - sends admitted work to the local target over HTTP
 *
 * Non-idempotent work goes out on a fresh connection, since libcurl repeats a
 * request by itself on a reused connection that closes early.
 */
typedef struct bv_target_client bv_target_client_t;

typedef struct {
    uint32_t kept_connections;
    size_t answer_limit_bytes;
    /* NULL: berylvane's own headers. */
    const bv_target_dialect_t *dialect;
    /* Called within bv_target_client_run() or _cancel(); takes the result. */
    void (*on_result)(void *context, bv_target_result_t *result);
    void *context;
} bv_target_client_options_t;

bv_target_client_t *
bv_target_client_start(apr_pool_t *pool,
                       const bv_target_client_options_t *options);
void bv_target_client_stop(bv_target_client_t *client);

/*
 * All calls are of one thread, which runs the client when its descriptor is
 * readable or the time that it is due has come.
 */
int bv_target_client_fd(const bv_target_client_t *client);
int64_t bv_target_client_due_us(const bv_target_client_t *client);
void bv_target_client_run(bv_target_client_t *client);

/* Only what bv_target_client_due_us() tells of. */
void bv_target_client_run_due(bv_target_client_t *client);

/* Sends work. */
void bv_target_client_send(bv_target_client_t *client,
                           const bv_target_work_t *work);

/* Closes the connection of running work, which tells the target. */
void bv_target_client_cancel(bv_target_client_t *client, uint64_t id);

void bv_target_result_destroy(bv_target_result_t *result);

#endif
