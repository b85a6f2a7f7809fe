#ifndef BERYLVANE_NODE_BROKEN_ANSWER_H
#define BERYLVANE_NODE_BROKEN_ANSWER_H

#include "berylvane/node/call.h"

/*
 * broken_answer - log lines about broken answers, each with its request,
 * within the budget of lines about failures
 */

/* The target's answer to a dispatch is broken: target_answer_broken. */
void bv_broken_answer_log_target(bv_node_t *node,
                                 const bv_peer_message_t *dispatch,
                                 const char *error);

/*
 * A peer has passed on a broken answer of its target: peer_answer_broken.
 * `state` is the call; NULL if the answer is that of another node's call.
 */
void bv_broken_answer_log_peer(bv_node_t *node, const bv_call_state_t *state,
                               const bv_peer_message_t *message,
                               const char *error);

#endif
