#ifndef BERYLVANE_PEER_LINK_H
#define BERYLVANE_PEER_LINK_H

#include "berylvane/peer/message.h"

#include <apr_pools.h>

/*
 * link - ZeroMQ connections between nodes
 *
 * Each node binds a ROUTER. For each peer it calls it connects a DEALER, which
 * carries one numbered session; opening the next session replaces it by a
 * fresh connection. A replaced connection sends nothing more, but receives
 * until it has been idle for a while, so that answers on their way are not
 * lost. Links are encrypted by CURVE when keys are given.
 */
typedef struct bv_link bv_link_t;

typedef struct {
    const char *name;
    const char *address;
    uint16_t port;
    /* Z85 CURVE keys of the whole system; NULL for plain links. */
    const char *public_key;
    const char *secret_key;
    /* Called while the link receives; takes the message. */
    void (*on_message)(void *context, bv_peer_message_t *message);
    void *context;
} bv_link_options_t;

/* Binds; NULL and a GError when that fails. All calls are of one thread. */
bv_link_t *bv_link_start(apr_pool_t *pool, const bv_link_options_t *options,
                         GError **error);

/* Later messages are dropped: events of other threads outlive the link. */
void bv_link_stop(bv_link_t *link);

/* Readable when bv_link_run() has something to do. */
int bv_link_fd(const bv_link_t *link);

/*
 * Receives on the connections to peers; also closes those that were replaced.
 */
void bv_link_run(bv_link_t *link);

/* The same for what peers send to the bound address. */
int bv_link_bound_fd(const bv_link_t *link);
void bv_link_run_bound(bv_link_t *link);

/*
 * Receives on the connections that were sent on. Sending may take ZeroMQ's
 * signal that something has come, so that bv_link_fd() stays silent: to be
 * called before each wait.
 */
void bv_link_receive_pending(bv_link_t *link);

/*
 * Sends to the member at `address`:`port` over its connection, made when
 * missing, or a fresh one when `message->session` is newer. A message to an
 * older incarnation than the connection's is dropped. Takes the message;
 * false, with nothing sent, when the connection's queue is full.
 */
bool bv_link_send(bv_link_t *link, const char *member, const char *address,
                  uint16_t port, bv_peer_message_t *message);

/* Answers over the connection that `message->route` names. */
bool bv_link_answer(bv_link_t *link, bv_peer_message_t *message);

/* Closes the connection to a member that is gone. */
void bv_link_disconnect(bv_link_t *link, const char *member);

#endif
