#ifndef BERYLVANE_CALLER_LISTENER_H
#define BERYLVANE_CALLER_LISTENER_H

#include "berylvane/caller/dialect.h"

/*
 * listener - takes HTTP calls, from outside callers or from the local target
 *
 * Built on libmicrohttpd. A call is handed on once its body is whole; the
 * connection is suspended until bv_call_reply(). A body that is too large is
 * answered 413, headers that are too large 431, and a body cut short ends the
 * connection; none of these reaches on_call.
 */
typedef struct bv_listener bv_listener_t;

/* What a caller may send, and how long it may take; 0: the default. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    /* Until the first head on a connection is whole. */
    int64_t header_timeout_us;
    /* How long a connection may be idle. */
    int64_t idle_timeout_us;
} bv_listener_limits_t;

typedef struct {
    const char *address;
    uint16_t port;
    /* What the listener is for. */
    bv_listener_role_t role;
    bv_listener_limits_t limits;
    const bv_caller_dialect_t *dialect;
    /*
     * No threads of its own: one thread makes all calls, gets all callbacks
     * and runs the listener, see bv_listener_run().
     */
    bool is_threadless;
    /*
     * A whole call; called on the listener's thread. False refuses it, as
     * unknown when it has a key, else as not run; after true bv_call_reply()
     * must be called exactly once.
     */
    bool (*on_call)(void *context, bv_call_t *call);
    /*
     * The caller closed its connection before the answer; NULL when that does
     * not matter. Called on a thread of its own, at most once a call; the call
     * still needs its reply.
     */
    void (*on_disconnect)(void *context, uint64_t tag);
    void *context;
} bv_listener_options_t;

#define BV_LISTENER_ERROR (bv_listener_error_quark())
GQuark bv_listener_error_quark(void);

/* Binds and starts the thread; NULL and a GError when that fails. */
bv_listener_t *bv_listener_start(const bv_listener_options_t *options,
                                 GError **error);

/*
 * A driven listener is run when its descriptor is readable, when it is due,
 * and after replies.
 */
int bv_listener_fd(const bv_listener_t *listener);
int64_t bv_listener_due_us(const bv_listener_t *listener);
void bv_listener_run(bv_listener_t *listener);

/* Tells of callers that left; -1 when nobody asks for them. */
int bv_listener_disconnect_fd(const bv_listener_t *listener);
void bv_listener_run_disconnects(bv_listener_t *listener);

/* Changes the limits; from any thread. Zero fields stay as they are. */
void bv_listener_set_limits(bv_listener_t *listener,
                            const bv_listener_limits_t *limits);

/* Takes no new connections; calls on open ones still arrive. */
void bv_listener_quiesce(bv_listener_t *listener);

/*
 * Refuses every call that still comes as not run. Calls that on_call has taken
 * keep bv_listener_is_idle() false until they are replied to.
 */
void bv_listener_close(bv_listener_t *listener);
bool bv_listener_is_idle(const bv_listener_t *listener);

/* Stops listening; the listener must be closed and idle. */
void bv_listener_stop(bv_listener_t *listener);

/* Answers a call from any thread; the call is gone afterwards. */
void bv_call_reply(bv_call_t *call, const bv_reply_t *reply);

/* Closes a call's connection unanswered; in place of bv_call_reply(). */
void bv_call_drop(bv_call_t *call);

#endif
