#ifndef BERYLVANE_CALLER_DISCONNECT_WATCH_H
#define BERYLVANE_CALLER_DISCONNECT_WATCH_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * watch - notices callers that close their connection before the answer
 *
 * libmicrohttpd does not look at a suspended connection, so the sockets of
 * connections are watched apart from it. A caller that shuts
 * down its sending side counts as gone.
 */
typedef struct bv_disconnect_watch bv_disconnect_watch_t;

typedef struct {
    /*
     * The caller of `tag` is gone; called on any thread, at most once. The
     * call may have been answered meanwhile.
     */
    void (*on_disconnect)(void *context, uint64_t tag);
    void *context;
    /* No thread of its own: see bv_disconnect_watch_run(). */
    bool is_threadless;
} bv_disconnect_watch_options_t;

bv_disconnect_watch_t *
bv_disconnect_watch_start(const bv_disconnect_watch_options_t *options);
void bv_disconnect_watch_stop(bv_disconnect_watch_t *watch);

/* A driven watch is run when its descriptor is readable. */
int bv_disconnect_watch_fd(const bv_disconnect_watch_t *watch);
void bv_disconnect_watch_run(bv_disconnect_watch_t *watch);

/* A connection was accepted on, or is closed with, the socket `fd`. */
void bv_disconnect_watch_open(bv_disconnect_watch_t *watch, int fd);
void bv_disconnect_watch_close(bv_disconnect_watch_t *watch, int fd);

/* The call `tag` waits for its answer on the socket; or no longer does. */
void bv_disconnect_watch_add(bv_disconnect_watch_t *watch, int fd,
                             uint64_t tag);
void bv_disconnect_watch_remove(bv_disconnect_watch_t *watch, int fd);

#endif
