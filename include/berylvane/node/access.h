#ifndef BERYLVANE_NODE_ACCESS_H
#define BERYLVANE_NODE_ACCESS_H

#include "berylvane/node/call.h"

/*
 * access - checks the API keys of outside callers
 *
 * A call is judged by the configuration in force when it starts. While the
 * node knows of a newer configuration and does not have it yet, a call without
 * a valid key is held until the configuration arrives, for BV_ACCESS_HOLD_US
 * at most, and is then answered with 503. Only a node that knows of no newer
 * configuration answers with 401.
 */
#define BV_ACCESS_HOLD_US 1000000

void bv_access_create(bv_node_t *node);
void bv_access_destroy(bv_node_t *node);

/*
 * Returns true if the call is held: it is passed to bv_calls_start() later, or
 * is replied to.
 */
bool bv_access_try_hold(bv_node_t *node, bv_call_t *call);

/*
 * Sets the account of a call whose configuration and route are set, and
 * removes the key from its headers. Returns false and sets status, reason and
 * headers of `refusal` if the call must not run.
 */
bool bv_access_admit(bv_node_t *node, bv_call_state_t *state,
                     bv_reply_t *refusal);

/*
 * Returns the status that refuses a call whose head was read but not its body;
 * 0 if the body is to be read. `context` is the node.
 */
uint16_t bv_access_check_head(void *context, const bv_call_t *call);

/* Counts the reply to a call by its account, if accounts are configured. */
void bv_access_count_reply(const bv_call_state_t *state,
                           const bv_reply_t *reply);

/* Starts or refuses held calls, by the configuration that is now in force. */
void bv_access_tick(bv_node_t *node);

/* Answers a held call whose caller disconnected; false if there is none. */
bool bv_access_handle_caller_gone(bv_node_t *node, uint64_t tag);

/* Answers all held calls, so that the node can stop. */
void bv_access_answer_held(bv_node_t *node);

#endif
