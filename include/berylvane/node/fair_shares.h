#ifndef BERYLVANE_NODE_FAIR_SHARES_H
#define BERYLVANE_NODE_FAIR_SHARES_H

#include "berylvane/core/fair_share.h"
#include "berylvane/core/route_cost.h"
#include "berylvane/node/call.h"

/*
 * fair_shares - priority levels of the calls of accounts that enter here
 *
 * Connects core/fair_share and core/route_cost to the calls. Inactive while
 * the configuration has no accounts.
 */
void bv_fair_shares_create(bv_node_t *node);
void bv_fair_shares_destroy(bv_node_t *node);

/* Counts a call of an account and returns its level within its class. */
uint8_t bv_fair_shares_level(bv_node_t *node, const bv_call_state_t *state,
                             bv_class_t importance);

/* Learns the cost of a call's route from an answer to one of its attempts. */
void bv_fair_shares_record_answer(bv_node_t *node,
                                  const bv_call_state_t *state,
                                  const bv_peer_message_t *message,
                                  int64_t latency_us);

/* Publishes the rates of the accounts; to be called regularly. */
void bv_fair_shares_tick(bv_node_t *node);

#endif
