#ifndef BERYLVANE_NODE_MEMORY_H
#define BERYLVANE_NODE_MEMORY_H

#include "berylvane/node/call.h"

/*
 * memory - keeps the node within the memory of its instance
 *
 * Owns the memory budget (core/memory_budget) and charges to it what no
 * listener holds: responses that are expected or being received, work for the
 * local target, responses kept for repeats, and messages queued for peers.
 * While memory is short, calls whose responses are expected to be large wait
 * here before they are sent to another node, which holds nothing for them yet.
 * Without the setting memory_limit_mb nothing is limited.
 */

void bv_memory_create(bv_node_t *node);
void bv_memory_destroy(bv_node_t *node);

/* Applies memory_limit_mb. */
void bv_memory_apply_settings(bv_node_t *node);

/* Largest number of connections of a listener; 0 for the default. */
uint32_t bv_memory_connections_limit(const bv_node_t *node,
                                     bv_listener_role_t role);

/*
 * Reserves memory for the response of a call that is about to start. Returns
 * false if there is none: the call then waits, and is started or refused
 * later.
 */
bool bv_memory_reserve_or_wait(bv_node_t *node, bv_call_state_t *state);

/*
 * Reserves memory for a repeat of a call's response, which a fence requests:
 * it may arrive beside the response itself. Returns false if there is none:
 * the fence is then left out, and the next one of the attempt tries again.
 */
bool bv_memory_reserve_repeat(bv_node_t *node, bv_call_state_t *state);

bool bv_memory_is_waiting(const bv_call_state_t *state);

/* Refuses a waiting call. */
void bv_memory_end_wait(bv_node_t *node, bv_call_state_t *state,
                        bv_reason_t reason);

/* Releases the reservation of a call that is answered with `reply`. */
void bv_memory_call_ended(bv_node_t *node, bv_call_state_t *state,
                          const bv_reply_t *reply);

/* Whether the dispatch holds more than this node can take now. */
bool bv_memory_refuses(const bv_node_t *node,
                       const bv_peer_message_t *dispatch);

/*
 * Whether more may be read of a response of the local target of which `bytes`
 * were received. While memory is short, one large response at a time goes on
 * (`has_turn`), and all small ones. At the bound that one waits as well, until
 * callers and peers have taken what is ready for them.
 */
bool bv_memory_may_receive(bv_node_t *node, size_t bytes, bool has_turn);

/* Returns how much may be received from a peer's socket in its turn. */
size_t bv_memory_peer_intake_bytes(const bv_node_t *node);

/* Work for the local target was accepted, or has ended. */
void bv_memory_work_added(bv_node_t *node, const bv_peer_message_t *dispatch);
void bv_memory_work_removed(bv_node_t *node,
                            const bv_peer_message_t *dispatch);

/*
 * Updates the budget, closes connections and starts calls that waited; runs
 * in each iteration of the loop.
 */
void bv_memory_tick(bv_node_t *node);

#endif
