#ifndef BERYLVANE_COMMON_HTTP_POLL_H
#define BERYLVANE_COMMON_HTTP_POLL_H

#include <apr_pools.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * http_poll - waits for the sockets and timers of a libcurl multi handle
 *
 * Sockets stay in one epoll set for as long as they are open, so that a kept
 * connection costs no system call of its own when it is used again. All calls
 * are of one thread.
 */
typedef struct bv_http_poll bv_http_poll_t;

/* Takes over the socket and timer callbacks of `multi`. `wake_fd` ends a wait
 * when it is readable; clearing it is the caller's. */
bv_http_poll_t *bv_http_poll_create(apr_pool_t *pool, CURLM *multi,
                                    int wake_fd);
void bv_http_poll_destroy(bv_http_poll_t *poll);

/* Has the closing of a transfer's sockets noticed; for each easy handle. */
void bv_http_poll_attach(bv_http_poll_t *poll, CURL *easy);

/* Readable when a socket has an event. */
int bv_http_poll_fd(const bv_http_poll_t *poll);

/* When libcurl wants to act though nothing happens; INT64_MAX for never. */
int64_t bv_http_poll_next_timer_us(const bv_http_poll_t *poll);

/* Waits up to `limit_ms` and lets libcurl act on what happened. */
void bv_http_poll_run(bv_http_poll_t *poll, int limit_ms);

/* Lets libcurl act on what is due, without a look at the sockets. */
void bv_http_poll_run_timers(bv_http_poll_t *poll);

#endif
