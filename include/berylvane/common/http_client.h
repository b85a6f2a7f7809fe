#ifndef BERYLVANE_COMMON_HTTP_CLIENT_H
#define BERYLVANE_COMMON_HTTP_CLIENT_H

#include <apr_pools.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * http_client - asynchronous HTTP requests on one thread, with libcurl
 *
 * libcurl repeats a request on its own when a reused connection closes before
 * the first byte of the answer. A request that must not be sent twice
 * therefore has to use a fresh connection.
 */
typedef struct bv_http_client bv_http_client_t;

typedef enum {
    /* A complete answer was received, with any status. */
    BV_HTTP_ANSWERED,
    /* Nothing of the request was sent. */
    BV_HTTP_NOT_SENT,
    /* The server may have received the request; no valid answer came. */
    BV_HTTP_BROKEN,
    /* The server may have received the request; the time limit passed. */
    BV_HTTP_TIMEOUT,
    /* Cancelled by this process; the server may have received the request. */
    BV_HTTP_CANCELLED,
} bv_http_result_t;

typedef struct {
    /* The request's id. */
    uint64_t id;
    bv_http_result_t result;
    /* Text for logs; "No error" for an answered request. */
    const char *error;
    /* HTTP status; 0 if no complete answer was received. */
    uint16_t status;
    /*
     * All header lines of the answer, each ended by CR LF, without trailers.
     */
    char *headers;
    GBytes *body;
    int64_t latency_us;
} bv_http_answer_t;

/* A request; the client that sends the request frees it. */
typedef struct {
    /*
     * Identifies the request in its answer and in bv_http_client_cancel().
     * Must differ from the ids of the client's other unfinished requests: the
     * client loses track of all but one of those with the same id.
     */
    uint64_t id;
    char *method;
    char *url;
    /* Local address to connect from; NULL for any. */
    char *source_address;
    /* Header lines, each ended by CR LF. */
    char *headers;
    GBytes *body;
    /*
     * Header that identifies the answers to this request; NULL for none. A
     * successful answer, and any answer on a connection that was used before,
     * must have the header with the value `echo_value`; no answer may have it
     * with another value. An answer that breaks this rule belongs to another
     * request: the connection is closed and the request ends as
     * BV_HTTP_BROKEN.
     */
    char *echo_name;
    char *echo_value;
    /* Whether to use a new connection, which is closed after the answer. */
    bool uses_fresh_connection;
    /* Connections that were idle for longer are not reused; 0 for no limit. */
    uint32_t idle_limit_s;
    int64_t timeout_us;
    /*
     * A longer body makes the request end as BV_HTTP_BROKEN, as do endless
     * header lines.
     */
    size_t answer_limit_bytes;
    /*
     * Called once, on the thread that runs the client. The answer and what its
     * members point to are borrowed for the call.
     */
    void (*on_answer)(void *context, const bv_http_answer_t *answer);
    void *context;
} bv_http_request_t;

typedef struct {
    /* Most requests and cancellations queued for the client's thread. */
    uint32_t ring_capacity;
    /* Most connections that are kept open for reuse. */
    uint32_t kept_connections;
    /*
     * Limit of all unfinished answers, heads and bodies; 0 for none. When it
     * is reached, an answer that goes on and is longer than an equal part of
     * the limit ends as BV_HTTP_BROKEN. The answers together take twice the
     * limit at most.
     */
    size_t answers_limit_bytes;
    /*
     * The client has no thread. One thread of the user makes all calls of the
     * client's functions, and calls bv_http_client_run() when
     * bv_http_client_fd() is readable or the time of
     * bv_http_client_next_timer_us() has passed. The client calls `on_answer`
     * on this thread.
     */
    bool is_threadless;
    /*
     * After a request that timed out, connections that were open then are not
     * used again, since they may be half-open too. A server that is merely
     * slow loses its kept connections as well.
     */
    bool distrusts_kept_after_timeout;
} bv_http_client_options_t;

/*
 * Creates a client in `pool` and starts its thread, unless it is threadless.
 * Aborts if the system has no resources left.
 */
bv_http_client_t *
bv_http_client_start(apr_pool_t *pool,
                     const bv_http_client_options_t *options);

/* Returns a file descriptor that is readable when a socket has an event. */
int bv_http_client_fd(const bv_http_client_t *client);

/*
 * Returns the time of libcurl's next timer, on the clock of
 * bv_clock_now_us(); INT64_MAX if there is none.
 */
int64_t bv_http_client_next_timer_us(const bv_http_client_t *client);

/* Returns the size of all unfinished answers, heads and bodies. */
size_t bv_http_client_received_bytes(const bv_http_client_t *client);

/* Handles socket events and expired timers without blocking. */
void bv_http_client_run(bv_http_client_t *client);

/* Handles expired timers only; does not look for socket events. */
void bv_http_client_run_timers(bv_http_client_t *client);

/* Stops the client; unfinished requests end as BV_HTTP_CANCELLED. */
void bv_http_client_stop(bv_http_client_t *client);

/* Creates a request; both strings are copied. */
bv_http_request_t *bv_http_request_create(const char *method, const char *url);
void bv_http_request_destroy(bv_http_request_t *request);

/*
 * Sends a request and takes ownership of it. Returns false if the ring is
 * full: nothing is sent and `on_answer` is not called.
 */
bool bv_http_client_send(bv_http_client_t *client, bv_http_request_t *request);

/*
 * Cancels a request: if it is unfinished it ends as BV_HTTP_CANCELLED. Returns
 * false if the ring is full.
 */
bool bv_http_client_cancel(bv_http_client_t *client, uint64_t id);

#endif
