#ifndef BERYLVANE_NODE_CONFIGS_H
#define BERYLVANE_NODE_CONFIGS_H

#include "berylvane/node/node.h"

/*
 * configs - how a node learns of configurations and puts them in force
 */

/* configs: fetches, checks and adopts configurations. */
void bv_configs_create(bv_node_t *node);

/* Notes that `member` runs the configuration `version`. */
void bv_configs_handle_version(bv_node_t *node,
                               const bv_config_version_t *version,
                               const char *member);

/*
 * Adopts a bundle that an operator sends after its version was committed to
 * the head row. It is refused when `body` is not a bundle with a generation.
 */
bv_config_offer_result_t bv_configs_submit(bv_node_t *node, GBytes *body);

/*
 * Translates the row value of the dialect's configuration source into a bundle
 * and adopts it when it is newer. Returns whether the row's configuration is
 * in force.
 */
bool bv_configs_handle_row(bv_node_t *node, const json_t *value);

/*
 * Answers a peer's request for a bundle of at least the generation that
 * `message` names; ignored when this node has none.
 */
void bv_configs_handle_request(bv_node_t *node,
                               const bv_peer_message_t *message);

/* Handles a bundle that a peer sent. */
void bv_configs_handle_bundle(bv_node_t *node,
                              const bv_peer_message_t *message);
void bv_configs_tick(bv_node_t *node);

/* Returns the longest time between two queries for the configuration. */
int64_t bv_configs_query_interval_us(const bv_node_t *node);

/*
 * config_watch: watches the table for changes of the row that the dialect's
 * configuration source names.
 */
void bv_config_watch_tick(bv_node_t *node);

/*
 * Reads the row now, beside the watch, and adopts its configuration when that
 * is newer. Returns false if the read could not be sent.
 */
bool bv_config_watch_read_row(bv_node_t *node);

/*
 * Handles rows that the store answered with in the era `era`; 0 if the era is
 * not known. The row whose configuration is in force is not translated again.
 */
void bv_config_watch_handle_rows(bv_node_t *node, const json_t *rows,
                                 int64_t era);

/* Returns the longest time for which the store holds one watch. */
int64_t bv_config_watch_interval_us(const bv_node_t *node);

#endif
