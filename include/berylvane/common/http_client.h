#ifndef BERYLVANE_COMMON_HTTP_CLIENT_H
#define BERYLVANE_COMMON_HTTP_CLIENT_H

#include <apr_pools.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * http_client - HTTP requests by one thread, by libcurl's multi interface
 *
 * libcurl sends a request again by itself when a reused connection closes
 * before the first byte of the answer. A request that is `once` therefore
 * goes out on a fresh connection.
 */
typedef struct bv_http_client bv_http_client_t;

typedef enum {
    BV_HTTP_ANSWERED,
    /* Nothing of the request was sent. */
    BV_HTTP_NOT_SENT,
    /* It may have been received; no whole answer came. */
    BV_HTTP_BROKEN,
    BV_HTTP_TIMEOUT,
    BV_HTTP_CANCELLED,
} bv_http_result_t;

typedef struct {
    uint64_t id;
    bv_http_result_t result;
    const char *error;
    uint16_t status;
    /* All header lines of the answer, each ended by CR LF. */
    char *headers;
    GBytes *body;
    int64_t latency_us;
} bv_http_answer_t;

typedef struct {
    uint64_t id;
    char *method;
    char *url;
    /* Address to send from; NULL: any. */
    char *source_address;
    /* Header lines, each ended by CR LF. */
    char *headers;
    GBytes *body;
    /*
     * Header that a successful answer must echo, and any answer must not
     * contradict; NULL: none. Another answer's bytes end the connection.
     */
    char *echo_name;
    char *echo_value;
    bool uses_fresh_connection;
    /* Kept connections idle for longer are not used; 0: no limit. */
    uint32_t idle_limit_s;
    int64_t timeout_us;
    size_t answer_limit_bytes;
    /* Called on the client's thread; the answer is borrowed. */
    void (*on_answer)(void *context, const bv_http_answer_t *answer);
    void *context;
} bv_http_request_t;

typedef struct {
    uint32_t ring_capacity;
    /* Connections kept for reuse. */
    uint32_t kept_connections;
    /*
     * No thread of its own: one thread makes all calls, runs the client when
     * bv_http_client_fd() is readable or bv_http_client_next_timer_us() has
     * come, and gets the answers there.
     */
    bool is_threadless;
} bv_http_client_options_t;

bv_http_client_t *
bv_http_client_start(apr_pool_t *pool,
                     const bv_http_client_options_t *options);

int bv_http_client_fd(const bv_http_client_t *client);
int64_t bv_http_client_next_timer_us(const bv_http_client_t *client);
void bv_http_client_run(bv_http_client_t *client);

/* Only what bv_http_client_next_timer_us() tells of. */
void bv_http_client_run_timers(bv_http_client_t *client);

/* Stops the thread; unfinished requests are answered as cancelled. */
void bv_http_client_stop(bv_http_client_t *client);

bv_http_request_t *bv_http_request_create(const char *method, const char *url);
void bv_http_request_destroy(bv_http_request_t *request);

/* Takes the request; false, with nothing sent, when the ring is full. */
bool bv_http_client_send(bv_http_client_t *client, bv_http_request_t *request);

/* Ends a request early; it is answered as cancelled if it still runs. */
bool bv_http_client_cancel(bv_http_client_t *client, uint64_t id);

#endif
