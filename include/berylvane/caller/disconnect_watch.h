#ifndef BERYLVANE_CALLER_DISCONNECT_WATCH_H
#define BERYLVANE_CALLER_DISCONNECT_WATCH_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * disconnect_watch - detects callers that disconnect before the reply
 *
 * libmicrohttpd does not read from a suspended connection, so it does not
 * detect that the caller has closed it. The watch observes the sockets with an
 * epoll set. A caller that shuts down its sending side counts as disconnected.
 */
typedef struct bv_disconnect_watch bv_disconnect_watch_t;

typedef struct {
    /*
     * The caller of the call `tag` has disconnected. Called on any thread, at
     * most once per call, possibly after the call was replied to.
     */
    void (*on_disconnect)(void *context, uint64_t tag);
    void *context;
    /* The watch starts no thread; see bv_disconnect_watch_run(). */
    bool is_threadless;
} bv_disconnect_watch_options_t;

bv_disconnect_watch_t *
bv_disconnect_watch_start(const bv_disconnect_watch_options_t *options);
void bv_disconnect_watch_stop(bv_disconnect_watch_t *watch);

/* A threadless watch must be run when its descriptor is readable. */
int bv_disconnect_watch_fd(const bv_disconnect_watch_t *watch);
void bv_disconnect_watch_run(bv_disconnect_watch_t *watch);

/*
 * Starts and ends the observation of a connection's socket. Must be called
 * after the connection was opened and before the socket is closed.
 */
void bv_disconnect_watch_open(bv_disconnect_watch_t *watch, int fd);
void bv_disconnect_watch_close(bv_disconnect_watch_t *watch, int fd);

/*
 * Sets the call whose reply the caller on socket `fd` awaits; on_disconnect is
 * called at once if the caller has already disconnected.
 */
void bv_disconnect_watch_add(bv_disconnect_watch_t *watch, int fd,
                             uint64_t tag);

/* Removes the call on socket `fd`: its caller is no longer reported. */
void bv_disconnect_watch_remove(bv_disconnect_watch_t *watch, int fd);

#endif
