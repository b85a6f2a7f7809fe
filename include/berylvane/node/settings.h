#ifndef BERYLVANE_NODE_SETTINGS_H
#define BERYLVANE_NODE_SETTINGS_H

#include "berylvane/common/findings.h"

/*
 * settings - the JSON settings file of one node
 */

/* The address and port that a listener binds; with port 0 there is none. */
typedef struct {
    char *address;
    uint16_t port;
} bv_endpoint_t;

/* The headers, announcements and configurations that the node uses. */
typedef enum {
    BV_DIALECT_OWN,
    BV_DIALECT_PLATFORM,
} bv_dialect_name_t;

typedef struct {
    /* The file that the settings were read from. */
    char *path;
    char *name;
    char *data_centre;
    char *region;
    char *address;
    /* A bv_dialect_name_t. */
    int64_t dialect;
    /*
     * Service of the local target, sent with its calls by the platform's
     * dialect; may be NULL.
     */
    char *service;
    /*
     * Endpoints of the listeners as "ADDRESS:PORT"; NULL where the endpoint
     * follows from an address and a port below, or where there is none.
     */
    char *outside_text;
    char *local_text;
    char *control_text;
    char *ready_text;
    char *operator_text;
    /* Parsed endpoints of the listeners; port 0 where there is none. */
    bv_endpoint_t outside;
    bv_endpoint_t local;
    bv_endpoint_t control;
    bv_endpoint_t ready;
    bv_endpoint_t operators;
    /* Address that outside callers connect to; NULL: `address`. */
    char *outside_address;
    int64_t outside_port;
    int64_t local_port;
    int64_t peer_port;
    int64_t gossip_port;
    int64_t operator_port;
    /*
     * Ports that other nodes connect to, where they differ from the bound
     * ports because of a relay; by default the bound ports.
     */
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
    /* A bv_log_level_t. */
    int64_t log_level;
    /* A bv_placement_mode_t. */
    int64_t placement;
    int64_t body_limit_bytes;
    /* Bounds of what is read ahead from one caller's connection. */
    int64_t read_ahead_requests;
    int64_t read_ahead_bytes;
    /* Memory of the instance; 0: what is held is not bounded. */
    int64_t memory_limit_mb;
    /*
     * Descriptors that the process may have open; 0: not bounded. Takes effect
     * at the start.
     */
    int64_t descriptor_limit;
    int64_t trace_percent;
    int64_t probe_interval_ms;
    int64_t suspect_timeout_ms;
    int64_t config_poll_ms;
    /* Time in which a change has to be in force; 0 if not stated. */
    int64_t config_apply_ms;
    /*
     * Time in which the removal of an API key has to be in force, and whether
     * calls are refused when the store was silent for that time.
     */
    int64_t revoke_ms;
    bool revoke_fails_closed;
    /* Bound on the requests of an account; see core/quota.h. */
    int64_t quota_window_ms;
    int64_t quota_overage_percent;
    int64_t quota_slack;
    /* Period in which this node's table row is renewed and others are read. */
    int64_t rendezvous_ms;
    int64_t store_timeout_ms;
    /* Least interval between two batches of claim writes that are not full. */
    int64_t claim_window_ms;
    /* How long a draining node goes on accepting calls of outside callers. */
    int64_t drain_notice_ms;
    /* Longest duration of a drain until running work is abandoned. */
    int64_t drain_limit_ms;
    /*
     * Control endpoints of other nodes, by which members are found without the
     * table.
     */
    json_t *seeds;
    /*
     * Sections of the configuration's base document that the dialect's
     * configuration source does not hold.
     */
    json_t *policy;
    /*
     * Bounds that the platform sets on retries and drains, in the form that
     * its dialect parses.
     */
    json_t *bounds;
} bv_settings_t;

/*
 * Reads and checks a settings file. Returns NULL when there are findings; else
 * settings that the caller destroys.
 */
bv_settings_t *bv_settings_load(const char *path, bv_findings_t *findings);

/*
 * Reads the file again and applies the settings that may change while the node
 * runs: seeds, policy, bounds and all numbers that are not ports. Changes of
 * any other setting are ignored until a restart. With findings nothing is
 * changed.
 */
void bv_settings_reload(bv_settings_t *settings, bv_findings_t *findings);

/* Frees the settings; NULL is allowed. */
void bv_settings_destroy(bv_settings_t *settings);

#endif
