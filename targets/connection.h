#ifndef BERYLVANE_TARGETS_CONNECTION_H
#define BERYLVANE_TARGETS_CONNECTION_H

#include "berylvane/core/types.h"
#include "response_parser.h"

/*
 * connection - one connection to the target, with one request at a time
 *
 * The client and the pool read the fields; only this module changes them, but
 * for `link` and `idle_since_us`, which are the pool's.
 *
 * The request's head and body go out in one write if the socket takes them.
 * The socket is added to the epoll set once and is edge-triggered; its entry
 * is changed only when a request did not fit into the socket at once.
 */
typedef struct bv_target_connection bv_target_connection_t;

/* What the connections of one client share. */
typedef struct {
    int epoll_fd;
    /* Whether more of a response may be read now; NULL for always. */
    bool (*may_read)(void *context, const bv_target_connection_t *connection);
    void *context;
    /*
     * Closed connections. Events that were received before may still refer to
     * them, so that they are freed only by bv_target_poll_reap().
     */
    GQueue closed;
    /* Takes one read of `read_bytes`. */
    char *buffer;
    size_t read_bytes;
} bv_target_poll_t;

typedef struct {
    /* IPv4 or IPv6 number. */
    char address[BV_ADDRESS_BYTES];
    uint16_t port;
} bv_target_endpoint_t;

typedef struct {
    /* Request line, header lines and empty line; owned by the connection. */
    GString *head;
    /* Retained; NULL for none. */
    GBytes *body;
    /* `is_on_used_connection` is set by the connection. */
    bv_response_parser_options_t response;
} bv_target_exchange_t;

struct bv_target_connection {
    bv_target_poll_t *poll;
    bv_target_endpoint_t endpoint;
    /* -1 after the connection was closed. */
    int fd;
    /* 0 until the socket is in the epoll set. */
    uint32_t watched_events;
    /* An earlier request was answered. */
    bool is_used;
    /* The target has closed its side, or the connection has failed. */
    bool is_at_end;
    /* Owner of the current request; NULL if there is none. */
    void *owner;
    bv_target_exchange_t exchange;
    bv_response_parser_t response;
    size_t written_bytes;
    /* Error number of a write that failed; 0 if none did. */
    int write_error;
    /* Entry in the list of idle connections; its data is the connection. */
    GList link;
    int64_t idle_since_us;
};

/* State of a request. After the last five the request has ended. */
typedef enum {
    BV_TARGET_BUSY,
    /*
     * Input was left unread so that other connections get their turn, or since
     * it may not be read now; no event announces it again.
     */
    BV_TARGET_UNREAD,
    BV_TARGET_ANSWERED,
    /* No byte of the request was written. */
    BV_TARGET_NOT_SENT,
    /* A kept-alive connection closed before the first byte of the response. */
    BV_TARGET_LOST,
    BV_TARGET_BROKEN,
    /* The process or the system has no descriptor for a new connection. */
    BV_TARGET_NO_DESCRIPTORS,
} bv_target_progress_t;

/* `read_bytes` is the size of one read; 0 selects the default. */
void bv_target_poll_init(bv_target_poll_t *poll, size_t read_bytes);

/* Frees closed connections; no event of them may be handled afterwards. */
void bv_target_poll_reap(bv_target_poll_t *poll);
void bv_target_poll_clear(bv_target_poll_t *poll);

bool bv_target_endpoint_equal(const bv_target_endpoint_t *a,
                              const bv_target_endpoint_t *b);

/*
 * Starts to connect. If the system refuses that at once, returns NULL and sets
 * `refusal` to BV_TARGET_NOT_SENT or BV_TARGET_NO_DESCRIPTORS.
 */
bv_target_connection_t *
bv_target_connection_open(bv_target_poll_t *poll,
                          const bv_target_endpoint_t *endpoint,
                          bv_target_progress_t *refusal);

/* Closes the connection, which is freed by bv_target_poll_reap(). */
void bv_target_connection_close(bv_target_connection_t *connection);

/* Sends a request on a connection that has none. */
bv_target_progress_t
bv_target_connection_start(bv_target_connection_t *connection,
                           const bv_target_exchange_t *exchange, void *owner);

/* Handles epoll events; ignored by a closed connection. */
bv_target_progress_t
bv_target_connection_handle_events(bv_target_connection_t *connection,
                                   uint32_t events);

/* Continues after BV_TARGET_UNREAD. */
bv_target_progress_t
bv_target_connection_read_on(bv_target_connection_t *connection);

/*
 * Ends an answered request. Returns false if the connection cannot take
 * another one: the target closes it, sent more than the response, or has not
 * taken the whole request.
 */
bool bv_target_connection_finish(bv_target_connection_t *connection);

/* Whether a connection without a request is open and has no unread bytes. */
bool bv_target_connection_is_quiet(const bv_target_connection_t *connection);

#endif
