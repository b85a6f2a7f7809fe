#ifndef BERYLVANE_NODE_KEYED_H
#define BERYLVANE_NODE_KEYED_H

#include "berylvane/node/call.h"

/*
 * keyed - at-most-once execution of non-idempotent calls
 *
 * keyed.c joins calls to keys, claim_writes.c sends the claims of a short
 * window to the table in one transaction, key_peers.c asks other nodes about
 * keys that they hold and hands them calls with their tickets, tickets.c
 * mints tickets.
 */

/* HTTP status that says: ran, but the answer is not known any more. */
#define BV_STATUS_ANSWER_GONE 409

/* Ends a keyed call with a result that came from memory or from a peer. */
void bv_keyed_reply(bv_node_t *node, bv_call_state_t *state,
                    const bv_key_result_t *kept);

/* claim_writes: queues a write; sends what is due. */
void bv_claim_writes_create(bv_node_t *node);
void bv_claim_writes_destroy(bv_node_t *node);
void bv_claim_writes_add(bv_node_t *node, const bv_claim_write_t *write);
void bv_claim_writes_tick(bv_node_t *node);

/*
 * key_peers: asks a row's owner about its attempt. False when the owner's
 * incarnation is gone.
 */
bool bv_key_peers_query_owner(bv_node_t *node, const char *key,
                              const bv_claim_row_t *row);

/* Hands a call to the node that minted its ticket. */
void bv_key_peers_forward(bv_node_t *node, bv_call_state_t *state,
                          const bv_ticket_t *ticket);

/* Answers the node that handed a call over. */
void bv_key_peers_reply(bv_node_t *node, bv_call_state_t *state,
                        const bv_reply_t *reply);
void bv_key_peers_tick(bv_node_t *node);

/* tickets: a fresh ticket as text, and whether one is this incarnation's. */
char *bv_tickets_mint(bv_node_t *node);
bool bv_tickets_minted_here(const bv_node_t *node, const bv_ticket_t *ticket);

#endif
