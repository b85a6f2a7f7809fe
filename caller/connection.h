#ifndef BERYLVANE_CALLER_CONNECTION_H
#define BERYLVANE_CALLER_CONNECTION_H

#include "berylvane/core/pipeline.h"
#include "request_reader.h"

/*
 * connection - one caller's connection: reads requests, writes answers
 *
 * A connection is used by the thread of its listener only. Functions that
 * return false leave it closed: the owner must destroy it.
 */

/* What the connections of a listener share. */
typedef struct {
    bv_listener_t *listener;
    const bv_caller_dialect_t *dialect;
    bv_listener_role_t role;
    const bv_connection_limits_t *limits;
    /* NULL for none; see bv_listener_options_t. */
    bv_memory_budget_t *budget;
    /* The epoll set that connections are watched in. */
    int epoll_fd;
    /* Callers that disconnect are reported; see bv_listener_options_t. */
    bool reports_disconnects;
    /* A complete call, to be replied to with bv_connection_reply(). */
    void (*pass_on)(void *context, bv_exchange_t *exchange);
    /* Returns the status that refuses a call before its body is read, or 0. */
    uint16_t (*check_head)(void *context, const bv_call_t *call);
    /* Whether a call may start before the calls before it are answered. */
    bool (*may_run_ahead)(void *context, const bv_call_t *call);
    /* The caller of a call that was passed on has disconnected. */
    void (*on_disconnect)(void *context, uint64_t tag);
    void *context;
} bv_connection_options_t;

/* Takes over the socket `fd`, which was accepted at `now_us`. */
bv_connection_t *bv_connection_create(const bv_connection_options_t *options,
                                      int fd, int64_t now_us);

/* Closes the connection. Calls that were passed on must still be replied to.
 */
void bv_connection_destroy(bv_connection_t *connection);

/* Handles epoll events of the socket. */
bool bv_connection_handle_events(bv_connection_t *connection, int64_t now_us,
                                 uint32_t events);

/* Sends the response of an exchange, or closes if it was dropped. */
bool bv_connection_reply(bv_connection_t *connection, int64_t now_us,
                         const bv_exchange_t *exchange);

/* Reads again if reading had paused and memory is free again. */
void bv_connection_resume(bv_connection_t *connection, int64_t now_us);

/* Returns the listener that owns the connection. */
bv_listener_t *bv_connection_listener(const bv_connection_t *connection);

/*
 * Time since which a connection that may be closed for a new one, since no
 * call is open, neither moves bytes at the least rate of the memory budget nor
 * completes requests; INT64_MAX for others.
 */
int64_t bv_connection_idle_since_us(bv_connection_t *connection,
                                    int64_t now_us);

/* Whether no request was received so far. */
bool bv_connection_is_new(const bv_connection_t *connection);

/* Monotonic time at which the connection is to be closed. */
int64_t bv_connection_due_us(const bv_connection_t *connection);

/* Whether all answers were written. */
bool bv_connection_is_written(const bv_connection_t *connection);

#endif
