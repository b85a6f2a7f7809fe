#ifndef BERYLVANE_COMMON_HTTP_POLL_H
#define BERYLVANE_COMMON_HTTP_POLL_H

#include <apr_pools.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * http_poll - event loop for the sockets and timers of a libcurl multi handle
 *
 * A socket stays in the epoll set for as long as it is open, so that the reuse
 * of a connection needs no epoll_ctl() call. All functions must be called by
 * the same thread.
 */
typedef struct bv_http_poll bv_http_poll_t;

/*
 * Sets the socket and timer callbacks of `multi`. bv_http_poll_run() also
 * returns when `wake_fd` is readable; the user of the poll has to clear
 * `wake_fd`.
 */
bv_http_poll_t *bv_http_poll_create(apr_pool_t *pool, CURLM *multi,
                                    int wake_fd);
void bv_http_poll_destroy(bv_http_poll_t *poll);

/*
 * Sets the callback that removes closed sockets from the epoll set. Required
 * for every easy handle before its transfer starts.
 */
void bv_http_poll_attach(bv_http_poll_t *poll, CURL *easy);

/*
 * Returns a file descriptor that is readable when a socket has an event or
 * `wake_fd` is readable.
 */
int bv_http_poll_fd(const bv_http_poll_t *poll);

/*
 * Returns the time of libcurl's next timer, on the clock of
 * bv_clock_now_us(); INT64_MAX if there is none.
 */
int64_t bv_http_poll_next_timer_us(const bv_http_poll_t *poll);

/*
 * Waits at most `limit_ms` for an event or timer, then has libcurl handle
 * socket events and expired timers.
 */
void bv_http_poll_run(bv_http_poll_t *poll, int limit_ms);

/* Has libcurl handle expired timers only; does not look for socket events. */
void bv_http_poll_run_timers(bv_http_poll_t *poll);

#endif
