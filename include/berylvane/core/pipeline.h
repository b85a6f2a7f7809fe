#ifndef BERYLVANE_CORE_PIPELINE_H
#define BERYLVANE_CORE_PIPELINE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * pipeline - requests that one connection has read and not yet answered
 *
 * A caller may send further requests before the first one is answered (HTTP
 * pipelining, RFC 9112 section 9.3.2). The pipeline decides when a request may
 * start and when an answer may leave:
 * - Answers leave in the order of the requests.
 * - A caller sends a request again, whatever its method, if it stands behind
 *   an answer that closes the connection. Therefore an answer closes the
 *   connection only if no request behind it was started, and a request that
 *   may run only once starts only after all answers before it were written.
 * - Behind an answer that is to close the connection no request is started any
 *   more; if one was started before, its own answer closes the connection.
 *
 * A caller that disconnects ends the pipeline: what was started is cancelled
 * by its owner.
 */
typedef struct bv_pipeline bv_pipeline_t;

/* Bounds of what a connection reads ahead. */
typedef struct {
    /* Requests that are held at most; 1 reads nothing ahead. */
    uint32_t requests;
    /* Bytes of requests and answers from which on no request is added. */
    uint64_t bytes;
} bv_pipeline_limits_t;

bv_pipeline_t *bv_pipeline_create(void);

/* Frees a pipeline, but not the items in it. */
void bv_pipeline_destroy(bv_pipeline_t *pipeline);

/* Whether one more request may be read. */
bool bv_pipeline_has_room(const bv_pipeline_t *pipeline,
                          const bv_pipeline_limits_t *limits);

/* Adds a request of `bytes` as the last one; `item` identifies it. */
void bv_pipeline_add(bv_pipeline_t *pipeline, void *item, uint64_t bytes);

/* Returns the first request that was not started, or NULL. */
void *bv_pipeline_first_waiting(const bv_pipeline_t *pipeline);

/*
 * Whether the first waiting request may start. `is_idempotent` says that it
 * may run more than once, `is_written` that all answers that left the pipeline
 * were written to the connection.
 */
bool bv_pipeline_may_start(const bv_pipeline_t *pipeline, bool is_idempotent,
                           bool is_written);

/* Starts the first waiting request. */
void bv_pipeline_start(bv_pipeline_t *pipeline);

/*
 * The request `item`, started or not, has an answer of `bytes`, which is to
 * close the connection if `closes` is set.
 */
void bv_pipeline_answer(bv_pipeline_t *pipeline, const void *item, bool closes,
                        uint64_t bytes);

/*
 * Removes the first request if it is answered and returns it, else returns
 * NULL. `is_last` is set if the answer closes the connection; the requests
 * that are left have then not been started and never will be.
 */
void *bv_pipeline_take_answer(bv_pipeline_t *pipeline, bool *is_last);

/*
 * Removes the first request, answered or not, and returns it; NULL if there is
 * none. `is_running` tells whether it was started and has no answer.
 */
void *bv_pipeline_remove_first(bv_pipeline_t *pipeline, bool *is_running);

/* Calls `visit` for each request that was started and has no answer. */
void bv_pipeline_foreach_running(const bv_pipeline_t *pipeline,
                                 void (*visit)(void *context, void *item),
                                 void *context);

/* Whether an answer is awaited or waits to leave. */
bool bv_pipeline_has_started(const bv_pipeline_t *pipeline);

bool bv_pipeline_is_empty(const bv_pipeline_t *pipeline);

/* Bytes of the requests and answers that are held. */
uint64_t bv_pipeline_bytes(const bv_pipeline_t *pipeline);

#endif
