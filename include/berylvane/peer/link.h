#ifndef BERYLVANE_PEER_LINK_H
#define BERYLVANE_PEER_LINK_H

#include "berylvane/peer/message.h"

#include <apr_pools.h>

/*
 * link - ZeroMQ connections between nodes
 *
 * Each node binds a ROUTER socket. For each peer that it sends requests to, it
 * connects a DEALER socket, which carries one numbered session. The next
 * session gets a new connection. The replaced connection sends no more
 * messages, but is kept open until it has been idle for a while, so that
 * answers in transit are received. Connections are encrypted by CURVE if keys
 * are given.
 *
 * All functions of a link must be called from one thread.
 */
typedef struct bv_link bv_link_t;

typedef struct {
    const char *name;
    const char *address;
    uint16_t port;
    /* CURVE key pair that all nodes share, in Z85; NULL for no encryption. */
    const char *public_key;
    const char *secret_key;
    /*
     * Bytes that may be received from a socket in its turn before its last
     * message; 0 if none may be received now. What is not received stays with
     * the peer, but for a few messages that ZeroMQ holds. NULL for no limit.
     */
    size_t (*intake_bytes)(void *context);
    /* ZeroMQ holds no more than a few messages that were not received. */
    bool bounds_received;
    /* Called while the link receives; owns the message. */
    void (*on_message)(void *context, bv_peer_message_t *message);
    void *context;
} bv_link_options_t;

/*
 * Binds the address. Returns NULL and sets `error` on failure. The result is
 * allocated from `pool`.
 */
bv_link_t *bv_link_start(apr_pool_t *pool, const bv_link_options_t *options,
                         GError **error);

/*
 * Closes all connections. Messages that are sent later are dropped, since
 * events of other threads may still be handled after the link has stopped.
 */
void bv_link_stop(bv_link_t *link);

/* Descriptor that is readable when bv_link_run() must be called. */
int bv_link_fd(const bv_link_t *link);

/*
 * Receives all messages of the connections to peers, and closes replaced
 * connections that are idle.
 */
void bv_link_run(bv_link_t *link);

/* Descriptor and receive function of the bound ROUTER socket. */
int bv_link_bound_fd(const bv_link_t *link);
void bv_link_run_bound(bv_link_t *link);

/*
 * Receives messages of the sockets that were sent on since the last call, and
 * of those from which not all was received. Sending can consume ZeroMQ's
 * notification of a received message, and the descriptor is then not readable:
 * must be called before each wait for the descriptors.
 */
void bv_link_receive_pending(bv_link_t *link);

/*
 * Whether messages may be left to be received now, for which no descriptor
 * becomes readable.
 */
bool bv_link_has_pending(const bv_link_t *link);

/* Returns the bytes of the messages that were not sent to the network yet. */
size_t bv_link_queued_bytes(const bv_link_t *link);

/*
 * Sends a message to the member at `address`:`port` over its connection. A
 * connection is made if there is none, or if `message->session` is newer than
 * the connection's session. Drops the message if it is addressed to another
 * incarnation than the connection. Takes ownership of the message. Returns
 * false, with nothing sent, if the connection's send queue is full or the link
 * has stopped.
 */
bool bv_link_send(bv_link_t *link, const char *member, const char *address,
                  uint16_t port, bv_peer_message_t *message);

/*
 * Sends an answer to the peer that `message->reply_identity` identifies. Takes
 * ownership of the message. Returns false if it was not sent.
 */
bool bv_link_answer(bv_link_t *link, bv_peer_message_t *message);

/* Closes the connection to a member, if there is one. */
void bv_link_disconnect(bv_link_t *link, const char *member);

#endif
