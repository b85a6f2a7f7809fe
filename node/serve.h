#ifndef NODE_SERVE_H
#define NODE_SERVE_H

#include "berylvane/node/call.h"

/*
 * serve - declarations that the sources of the target side share
 *
 *  - serve.c: dispatched work, from its arrival to its start on the target
 *  - serve_answer.c: answers and refusals
 *  - serve_result.c: results of the target
 *  - serve_control.c: sessions, fences, cancellations and queries
 */

/* Returns the work with this ID, or NULL. */
bv_served_t *serve_find(const bv_node_t *node, uint64_t id);

/* Returns the route of a dispatch in the active configuration, or NULL. */
const bv_route_t *serve_find_route(const bv_node_t *node,
                                   const bv_peer_message_t *dispatch);

/* Sends started work to the target. */
void serve_send_to_target(bv_node_t *node, bv_served_t *served);

/* Starts or refuses queued work as admission decides. */
void serve_process_queue(bv_node_t *node);

/* Returns a new answer to a dispatch, with the backpressure on its route. */
bv_peer_message_t *serve_create_answer(const bv_node_t *node,
                                       const bv_peer_message_t *dispatch,
                                       bv_outcome_t outcome,
                                       bv_reason_t reason);

/*
 * Answers a dispatch as not run. `served_state` is BV_SERVED_QUEUED if the
 * target drains and not the node, see bv_members_mark_draining(). `waited_us`
 * is the time in the queue; without it the caller would take it for latency of
 * the network.
 */
void serve_refuse_dispatch(bv_node_t *node, const bv_peer_message_t *dispatch,
                           bv_reason_t reason, bv_served_state_t served_state,
                           int64_t waited_us);

/*
 * Returns the served state of an answer to work that was accepted and not
 * sent: the reason "draining" is then that of the target, not of the node.
 */
bv_served_state_t serve_refused_state(bv_reason_t reason);

void serve_count_refusal(const bv_peer_message_t *dispatch,
                         bv_reason_t reason);

/* Exports the span of work that ends with `answer`, if it is traced. */
void serve_export_span(bv_node_t *node, const bv_served_t *served,
                       const bv_peer_message_t *answer);

#endif
