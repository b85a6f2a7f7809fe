#ifndef BERYLVANE_NODE_KEYED_H
#define BERYLVANE_NODE_KEYED_H

#include "berylvane/node/call.h"

/*
 * keyed - at-most-once execution of non-idempotent calls
 *
 * Each non-idempotent call has an idempotency key: the caller's, or a ticket
 * that the node mints. The work is divided as follows:
 * - keyed.c: joins calls to their keys and answers them.
 * - claim_writes.c: writes claims to the table; the claims of a short window
 *   share one transaction.
 * - key_peers.c: queries other nodes about keys that they hold, and forwards a
 *   call that carries a ticket to the node that minted the ticket.
 * - tickets.c: mints tickets.
 */

/* HTTP status of a call that ran but whose answer is no longer stored. */
#define BV_STATUS_ANSWER_GONE 409

/* Answers a keyed call with a stored result or a peer's result. */
void bv_keyed_reply(bv_node_t *node, bv_call_state_t *state,
                    const bv_key_result_t *result);

/* claim_writes: queues writes of claims and sends the batches that are due. */
void bv_claim_writes_create(bv_node_t *node);
void bv_claim_writes_destroy(bv_node_t *node);
/* Queues a copy of `write`. */
void bv_claim_writes_add(bv_node_t *node, const bv_claim_write_t *write);
void bv_claim_writes_tick(bv_node_t *node);

/*
 * Drops the writes that were not sent yet, as if their replies were lost:
 * their claims send them again with the revisions known by then.
 */
void bv_claim_writes_discard(bv_node_t *node);

/*
 * Asks the owner of a claim's row for the state of its attempt; the answer
 * goes to bv_claims_owner_replied(). Returns false, and sends nothing, when
 * the owner's incarnation is known to have ended.
 */
bool bv_key_peers_query_owner(bv_node_t *node, const char *key,
                              const bv_claim_row_t *row);

/*
 * Forwards a call to the node that minted its ticket. The call is answered as
 * unknown when that incarnation has ended, when no message can be sent to it,
 * or when the call was forwarded before.
 */
void bv_key_peers_forward(bv_node_t *node, bv_call_state_t *state,
                          const bv_ticket_t *ticket);

/* Sends the reply of a forwarded call to the node that forwarded it. */
void bv_key_peers_reply(bv_node_t *node, bv_call_state_t *state,
                        const bv_reply_t *reply);
void bv_key_peers_tick(bv_node_t *node);

/* Mints a ticket; returns its text, which the caller frees by g_free(). */
char *bv_tickets_mint(bv_node_t *node);

/* Whether this node's present incarnation minted the ticket. */
bool bv_tickets_minted_here(const bv_node_t *node, const bv_ticket_t *ticket);

#endif
