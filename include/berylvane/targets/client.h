#ifndef BERYLVANE_TARGETS_CLIENT_H
#define BERYLVANE_TARGETS_CLIENT_H

#include "berylvane/targets/dialect.h"

#include <apr_pools.h>

/*
 * client - HTTP client that sends admitted work to the local target
 *
 * Each work is sent on one connection, once: the client repeats nothing by
 * itself. Idempotent work may use a kept-alive connection; other work uses a
 * new one, which is not kept. When a kept-alive connection closes before the
 * first byte of the response, the result is "unknown" with the reason
 * "connection_lost", and the caller may decide to send the work again.
 *
 * The client has no thread: one thread makes all calls. That thread calls
 * bv_target_client_run() when the client's file descriptor is readable, and
 * bv_target_client_run_timers() when the client's next timer expires.
 */
typedef struct bv_target_client bv_target_client_t;

typedef struct {
    /* Most idle connections that are kept for reuse. */
    uint32_t kept_connections;
    /*
     * Bytes of one read, of which a connection makes eight before others have
     * their turn; 0 for 64 KiB.
     */
    size_t read_bytes;
    /* A longer body of an answer fails the request. */
    size_t answer_limit_bytes;
    /*
     * Limit of all unfinished answers, heads and bodies; 0 for none. When it
     * is reached, an answer that goes on and is longer than an equal part of
     * the limit fails. The answers together take twice the limit at most.
     */
    size_t answers_limit_bytes;
    /*
     * Whether more may be read of an answer of which `bytes` of the body were
     * received. One of those that may not be read has the turn: it is asked
     * for again with `has_turn` set. What may not be read stays in the socket;
     * it is tried again after some milliseconds, and read at the deadline.
     * NULL for always.
     */
    bool (*may_read)(void *context, size_t bytes, bool has_turn);
    /* Borrowed; NULL for berylvane's own dialect. */
    const bv_target_dialect_t *dialect;
    /*
     * Called once for each work that was sent, within a call of one of the
     * functions below. Takes ownership of `result`, which
     * bv_target_result_destroy() frees.
     */
    void (*on_result)(void *context, bv_target_result_t *result);
    void *context;
} bv_target_client_options_t;

/* Starts a client; it lives in `pool` until bv_target_client_stop(). */
bv_target_client_t *
bv_target_client_start(apr_pool_t *pool,
                       const bv_target_client_options_t *options);

/* Stops the client and reports unfinished work as cancelled. */
void bv_target_client_stop(bv_target_client_t *client);

/* Returns a file descriptor that is readable if a connection has an event. */
int bv_target_client_fd(const bv_target_client_t *client);

/*
 * Returns when the next request expires or unread input is to be looked at
 * again, INT64_MAX if there is none, or 0 if input can be read at once.
 */
int64_t bv_target_client_next_timer_us(const bv_target_client_t *client);

/* Returns the size of all unfinished answers, heads and bodies. */
size_t bv_target_client_received_bytes(const bv_target_client_t *client);

/* Handles the events of connections and the timers that have expired. */
void bv_target_client_run(bv_target_client_t *client);

/*
 * Reads input that was left, and ends requests whose deadline has passed;
 * those whose response has arrived are answered.
 */
void bv_target_client_run_timers(bv_target_client_t *client);

/* Sends a request for `work`, which is copied; retains its body. */
void bv_target_client_send(bv_target_client_t *client,
                           const bv_target_work_t *work);

/*
 * Cancels the work with this ID if it is running: closes its connection, by
 * which the target notices the cancellation.
 */
void bv_target_client_cancel(bv_target_client_t *client, uint64_t id);

/*
 * Ends all work of which nothing was sent yet, as "not run" with the reason
 * "draining": the target takes no new work. Most of it waits for a connection.
 */
void bv_target_client_cancel_unsent(bv_target_client_t *client);

void bv_target_result_destroy(bv_target_result_t *result);

#endif
