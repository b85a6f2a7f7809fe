#ifndef TESTS_REPLAY_SERVER_H
#define TESTS_REPLAY_SERVER_H

#include "berylvane/core/admission.h"
#include "berylvane/core/backpressure.h"

/*
 * replay_server - an instance of a service in simulated time, with
 * core/admission or with a queue without priorities
 */
typedef struct replay_server replay_server_t;

/*
 * Options:
 * - slots, queue_limit: pieces of work that run, and that wait
 * - is_first_come: work is queued in order of arrival and refused only when
 *   the queue is full; without core/admission and reports
 * - on_start, on_refused: called with `context` for work that is to run and
 *   for work that will not
 */
typedef struct {
    uint32_t slots;
    uint32_t queue_limit;
    bool is_first_come;
    void (*on_start)(void *context, uint64_t id);
    void (*on_refused)(void *context, uint64_t id);
    void *context;
} replay_server_options_t;

replay_server_t *replay_server_create(const replay_server_options_t *options);
void replay_server_destroy(replay_server_t *server);

/* Offers work, which is started, queued or refused. */
void replay_server_offer(replay_server_t *server, int64_t now_us,
                         const bv_work_t *work);

/* Frees the slot of work, and starts other work. */
void replay_server_finish(replay_server_t *server, int64_t now_us, uint64_t id,
                          const bv_work_result_t *result);

/* Returns what the server reports upstream. */
bv_backpressure_t replay_server_report(const replay_server_t *server,
                                       uint32_t route_hash);

#endif
