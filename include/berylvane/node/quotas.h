#ifndef BERYLVANE_NODE_QUOTAS_H
#define BERYLVANE_NODE_QUOTAS_H

#include "berylvane/node/call.h"

/*
 * quotas - charges calls of outside callers to their accounts
 *
 * Connects core/quota_members, core/quota_lessor and core/quota_holder to the
 * membership, the peers and the calls. Inactive while no account of the
 * configuration has a rate.
 */
void bv_quotas_create(bv_node_t *node);
void bv_quotas_destroy(bv_node_t *node);

/*
 * Charges a call that may run to its account and starts its attempts, at once
 * or when a permit arrives; or answers it with 429.
 */
void bv_quotas_begin(bv_node_t *node, bv_call_state_t *state);

/* Whether the call waits for a permit. */
bool bv_quotas_is_waiting(const bv_call_state_t *state);

/* Ends a call that waits for a permit, since its deadline has passed or its
 * caller has left; the reason tells which. */
void bv_quotas_end_wait(bv_node_t *node, bv_call_state_t *state,
                        bv_reason_t reason);

/*
 * Returns the delay that a caller is told whose call shares the refusal of
 * another call with the same idempotency key.
 */
int64_t bv_quotas_least_retry_us(bv_node_t *node);

/* Must be called with the outcome of each call that ends. */
void bv_quotas_settle(bv_node_t *node, bv_call_state_t *state,
                      bv_outcome_t outcome);

/* Handle messages; `message` is borrowed. */
void bv_quotas_handle_request(bv_node_t *node,
                              const bv_peer_message_t *message);
void bv_quotas_handle_reply(bv_node_t *node, const bv_peer_message_t *message);

/* Applies a changed record of another member. */
void bv_quotas_handle_member(bv_node_t *node, const bv_member_t *member);

/* Applies the limits of the accounts of the node's configuration. */
void bv_quotas_apply_config(bv_node_t *node);

/* Sends the requests of this iteration of the event loop. */
void bv_quotas_flush(bv_node_t *node);
void bv_quotas_tick(bv_node_t *node);

/* Returns the use of accounts, or NULL if none was charged. */
json_t *bv_quotas_render(const bv_node_t *node);

#endif
