#ifndef BERYLVANE_NODE_SETTINGS_H
#define BERYLVANE_NODE_SETTINGS_H

#include "berylvane/common/findings.h"

/*
 * settings - what one node is told by its JSON settings file
 */

/* Where a listener binds; port 0: nowhere. */
typedef struct {
    char *address;
    uint16_t port;
} bv_endpoint_t;

/* Whose headers, announcements and configurations the node speaks. */
typedef enum {
    BV_DIALECT_OWN,
    BV_DIALECT_PLATFORM,
} bv_dialect_name_t;

typedef struct {
    /* The file that the settings came from. */
    char *path;
    char *name;
    char *data_centre;
    char *region;
    char *address;
    int64_t dialect;
    /* Service of the target beside this node, where it must be told. */
    char *service;
    /* Each as "ADDRESS:PORT", or by address and port of their own below. */
    char *outside_text;
    char *local_text;
    char *control_text;
    char *ready_text;
    char *operator_text;
    bv_endpoint_t outside;
    bv_endpoint_t local;
    bv_endpoint_t control;
    bv_endpoint_t ready;
    bv_endpoint_t operators;
    /* Where outside callers connect; `address` when not stated. */
    char *outside_address;
    int64_t outside_port;
    int64_t local_port;
    int64_t peer_port;
    int64_t gossip_port;
    int64_t operator_port;
    /* Ports that peers are told, where a relay stands in front. */
    int64_t advertised_peer_port;
    int64_t advertised_gossip_port;
    char *platform_url;
    char *collector_url;
    char *operator_token;
    char *curve_public_key;
    char *curve_secret_key;
    char *gossip_key;
    char *gossip_key_previous;
    char *ticket_key;
    char *ticket_key_previous;
    int64_t log_level;
    int64_t body_limit_bytes;
    int64_t trace_percent;
    int64_t probe_interval_ms;
    int64_t suspect_timeout_ms;
    int64_t config_poll_ms;
    int64_t rendezvous_ms;
    int64_t store_timeout_ms;
    int64_t claim_window_ms;
    /* How long a draining node still serves outside callers. */
    int64_t drain_notice_ms;
    /* How long a draining node waits for running work, in all. */
    int64_t drain_limit_ms;
    /* Control endpoints of other nodes, to find members without the table. */
    json_t *seeds;
    /* Sections of the base document that a dialect's source does not hold. */
    json_t *policy;
    /* Bounds of the platform, as its dialect reads them. */
    json_t *bounds;
} bv_settings_t;

/* Reads a settings file; NULL when there are findings. */
bv_settings_t *bv_settings_load(const char *path, bv_findings_t *findings);
/*
 * Reads the file again and takes over what may change while the node runs:
 * numbers, seeds and policy. Names, addresses, ports and keys need a restart;
 * a change of them is left alone. With findings nothing changes.
 */
void bv_settings_reload(bv_settings_t *settings, bv_findings_t *findings);
void bv_settings_destroy(bv_settings_t *settings);

#endif
