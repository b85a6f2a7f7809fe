#ifndef BERYLVANE_CALLER_LISTENER_H
#define BERYLVANE_CALLER_LISTENER_H

#include "berylvane/caller/dialect.h"
#include "berylvane/core/memory_budget.h"

/*
 * listener - HTTP server for calls of outside callers or of the local target
 *
 * A call is passed to on_call when its whole body has been received. A body
 * that exceeds the limit is refused with 413 and headers that exceed theirs
 * with 431; a truncated body ends the connection. None of these calls reaches
 * on_call.
 *
 * Further requests are read while a call is open, up to the read-ahead limits;
 * core/pipeline decides when they start. Answers leave in the order of the
 * requests. While a connection holds as much as the limits allow, nothing is
 * read from it.
 */
typedef struct bv_listener bv_listener_t;

/* Limits for callers; 0 selects the default. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    /*
     * Largest body that can be passed on. A larger one that `body_bytes`
     * allows is refused with 503 before it is read.
     */
    uint32_t carried_body_bytes;
    /*
     * Time until a head is complete: from accepting a connection for the first
     * one, from its first byte for a later one.
     */
    int64_t header_timeout_us;
    /*
     * Time without a byte in either direction after which a connection is
     * closed that has no open call.
     */
    int64_t idle_timeout_us;
    /* Requests of a connection that are held at once; 1 reads nothing ahead.
     */
    uint32_t read_ahead_requests;
    /*
     * Bytes of a connection's requests and answers from which on no further
     * request is read.
     */
    uint32_t read_ahead_bytes;
} bv_listener_limits_t;

typedef struct {
    /* IPv4 address in dotted notation. */
    const char *address;
    uint16_t port;
    bv_listener_role_t role;
    bv_listener_limits_t limits;
    /* NULL for bv_caller_own_dialect. */
    const bv_caller_dialect_t *dialect;
    /*
     * The listener starts no threads. One thread calls all functions of the
     * listener, runs it with bv_listener_run() and gets all callbacks.
     */
    bool is_threadless;
    /*
     * Budget for the bytes that the connections hold; NULL for none. Used on
     * the listener's thread only: a listener that is not threadless needs one
     * of its own.
     */
    bv_memory_budget_t *budget;
    /*
     * Largest number of connections; 0 selects the default. When it is
     * reached, idle ones are closed for new ones.
     */
    uint32_t connections_limit;
    /*
     * Called for each complete call, on the listener's thread. If it returns
     * true, bv_call_reply() or bv_call_drop() must be called exactly once. If
     * on_call returns false, the listener refuses the call: as unknown if the
     * call has an idempotency key, otherwise as not run.
     */
    bool (*on_call)(void *context, bv_call_t *call);
    /*
     * Called when the head of a call was read and its body is still to come,
     * and no other call of the connection is open. Returns 0, or the HTTP
     * status that the call is refused with, which closes the connection.
     * Called on the listener's thread. NULL if no call is refused so.
     */
    uint16_t (*check_head)(void *context, const bv_call_t *call);
    /*
     * Whether a call may be passed on before the calls that its connection
     * sent earlier are answered, which only an idempotent call may. Called on
     * the listener's thread. NULL if no call may.
     */
    bool (*may_run_ahead)(void *context, const bv_call_t *call);
    /*
     * Called on the listener's thread when the caller has closed its
     * connection before the reply, at most once per call; the call must still
     * be replied to. A caller that has shut down its sending side only still
     * gets its reply. NULL if disconnects do not matter.
     */
    void (*on_disconnect)(void *context, uint64_t tag);
    void *context;
} bv_listener_options_t;

#define BV_LISTENER_ERROR (bv_listener_error_quark())
GQuark bv_listener_error_quark(void);

/*
 * Binds the address and starts the listener. Returns NULL and sets `error` on
 * failure.
 */
bv_listener_t *bv_listener_start(const bv_listener_options_t *options,
                                 GError **error);

/*
 * A threadless listener must be run with bv_listener_run() when its descriptor
 * is readable, and with bv_listener_run_due() when the monotonic time
 * bv_listener_due_us() is reached, which is in the past after replies.
 */
int bv_listener_fd(const bv_listener_t *listener);
int64_t bv_listener_due_us(const bv_listener_t *listener);
void bv_listener_run(bv_listener_t *listener);
void bv_listener_run_due(bv_listener_t *listener);

/* Changes the limits that are not 0. May be called from any thread. */
void bv_listener_set_limits(bv_listener_t *listener,
                            const bv_listener_limits_t *limits);

/*
 * Closes the connections of all listeners with this budget that are to be
 * closed; returns their number. Must not be called within a callback.
 */
uint32_t bv_listener_relieve(bv_memory_budget_t *budget);

/*
 * Returns what the budget of a listener with a thread held after its latest
 * events; 0 without a budget. For any thread.
 */
size_t bv_listener_held_bytes(const bv_listener_t *listener);

/* Accepts no new connections; open ones can still send calls. */
void bv_listener_quiesce(bv_listener_t *listener);

/*
 * Refuses every later call as not run, or as unknown if it has an idempotency
 * key. Calls that on_call has accepted must still be replied to.
 */
void bv_listener_close(bv_listener_t *listener);

/* Whether every call that was passed to on_call has been replied to. */
bool bv_listener_is_idle(const bv_listener_t *listener);

/* Whether all answers of a threadless listener were written to its callers. */
bool bv_listener_is_written(const bv_listener_t *listener);

/* Stops and frees a listener, which must be closed and idle. */
void bv_listener_stop(bv_listener_t *listener);

/*
 * Replies to a call, which must not be used afterwards. May be called from any
 * thread, unless the listener is threadless.
 */
void bv_call_reply(bv_call_t *call, const bv_reply_t *reply);

/* Closes the connection of a call without a reply, instead of replying. */
void bv_call_drop(bv_call_t *call);

#endif
