#ifndef BERYLVANE_PEER_GOSSIP_H
#define BERYLVANE_PEER_GOSSIP_H

#include "berylvane/peer/message.h"

#include <apr_pools.h>

/*
 * gossip - the UDP socket of the membership protocol, read by its own thread
 *
 * Every packet carries a keyed digest (MAC). A packet whose MAC is wrong or
 * that is malformed is counted (gossip_bad) and dropped.
 */
typedef struct bv_gossip bv_gossip_t;

#define BV_GOSSIP_KEY_BYTES 32

typedef struct {
    const char *address;
    uint16_t port;
    /*
     * Packets are signed with the first key; a packet is accepted if its MAC
     * matches any key. Without keys packets are neither signed nor verified.
     */
    uint8_t keys[2][BV_GOSSIP_KEY_BYTES];
    uint32_t key_count;
    /* Called on the gossip thread; owns the packet and frees it (g_free). */
    void (*on_packet)(void *context, const bv_member_t *from,
                      bv_gossip_packet_t *packet);
    void *context;
} bv_gossip_options_t;

/*
 * Binds the socket and starts the thread. Returns NULL and sets `error` if the
 * address cannot be bound. The result is allocated from `pool`.
 */
bv_gossip_t *bv_gossip_start(apr_pool_t *pool,
                             const bv_gossip_options_t *options,
                             GError **error);

/* Stops the thread and closes the socket. */
void bv_gossip_stop(bv_gossip_t *gossip);

/*
 * Sends a packet of `self` to a member; drops it if the member's address
 * cannot be resolved. Only one thread may send.
 */
void bv_gossip_send(bv_gossip_t *gossip, const bv_member_t *self,
                    const bv_member_t *to, const bv_gossip_packet_t *packet);

#endif
