#ifndef BERYLVANE_NODE_DEPARTURES_H
#define BERYLVANE_NODE_DEPARTURES_H

#include "berylvane/node/node.h"

/*
 * departures - keeps the departures of the local target outside this process,
 * so that they bind the node after a restart
 *
 * A departure is written to a row of the store and spread to the members with
 * this node's record. Its acknowledgement waits for both, up to a limit, after
 * which one of them suffices; while neither has it, the node takes the target
 * out but does not acknowledge. A node that starts asks both, and does not use
 * a target that started before it until they have answered or a limit has
 * passed. What it learns later still takes the target out.
 */

void bv_departures_create(bv_node_t *node);
void bv_departures_destroy(bv_node_t *node);

/* Keeps the departures that the local target has recorded. */
void bv_departures_update(bv_node_t *node);

/*
 * Takes over the reply to the announcement of a departure until the departure
 * is kept, and then owns `call`. Returns false if it is kept already.
 */
bool bv_departures_hold(bv_node_t *node, bv_call_t *call);

/* Handles what a member knows of this node. */
void bv_departures_handle_report(bv_node_t *node, const bv_member_t *record);

/*
 * Handles the arrival of a packet, after the records in it. The sender of an
 * ACK has read this node's record, and has stated which departures it knows.
 */
void bv_departures_handle_packet(bv_node_t *node, bv_gossip_kind_t kind);

/* Writes the row again: the store has come back from an older copy. */
void bv_departures_handle_restore(bv_node_t *node);

/* Answers the announcements that wait, so that the node can stop. */
void bv_departures_close(bv_node_t *node);
void bv_departures_tick(bv_node_t *node);

#endif
