#ifndef BERYLVANE_STANDIN_CLUSTER_H
#define BERYLVANE_STANDIN_CLUSTER_H

#include "berylvane/common/http_call.h"

#include <jansson.h>

/*
 * cluster - starts a whole deployment as processes on the loopback, for the
 * demo, the end-to-end tests and the benchmarks
 *
 * A deployment file names data centres, services and the documents to apply;
 * see docs/STANDINS.md. Every process dies with the one that started it.
 */
typedef struct cluster cluster_t;

typedef struct {
    /* Folder that holds the built programs' folders. */
    const char *build_directory;
    /* Folder for settings, logs and records; must exist. */
    const char *work_directory;
    /* The deployment, and the folder its file names are relative to. */
    const json_t *deployment;
    const char *deployment_directory;
} cluster_options_t;

typedef enum {
    CLUSTER_NODE,
    CLUSTER_TARGET,
    CLUSTER_LINK,
    CLUSTER_PLATFORM,
} cluster_role_t;

/* Ports of one instance. */
typedef struct {
    uint16_t outside;
    uint16_t local;
    uint16_t peer;
    uint16_t gossip;
    uint16_t operators;
    uint16_t target;
    /* Where peers reach the instance; link_control is 0 without links. */
    uint16_t link_peer;
    uint16_t link_gossip;
    uint16_t link_control;
} cluster_ports_t;

/*
 * Starts everything, applies the documents and waits until every node is
 * ready. NULL and a GError when that fails.
 */
cluster_t *cluster_start(const cluster_options_t *options, GError **error);

/* Stops what still runs: SIGTERM, then SIGKILL. False when a node failed. */
bool cluster_stop(cluster_t *cluster);

/* Number of instances, and the place of one by name ("stock-1"). */
size_t cluster_size(const cluster_t *cluster);
size_t cluster_find_instance(const cluster_t *cluster, const char *name);
const char *cluster_instance_name(const cluster_t *cluster, size_t instance);
const cluster_ports_t *cluster_ports(const cluster_t *cluster,
                                     size_t instance);
uint16_t cluster_platform_port(const cluster_t *cluster);
const char *cluster_records_directory(const cluster_t *cluster);

/* Sends a signal to a process of an instance; the platform has none. */
void cluster_signal(cluster_t *cluster, cluster_role_t role, size_t instance,
                    int number);

/* Waits for a process to end; its exit status, or -1 after `timeout_us`. */
int cluster_wait_exit(cluster_t *cluster, cluster_role_t role, size_t instance,
                      int64_t timeout_us);

/* Starts a process that has ended again, with the same settings. */
bool cluster_restart(cluster_t *cluster, cluster_role_t role, size_t instance,
                     GError **error);

/* Waits until a node's GET /health answers `status`. */
bool cluster_wait_health(const cluster_t *cluster, size_t instance,
                         uint16_t status, int64_t timeout_us);

/* An HTTP request to a port on the loopback; `body` may be NULL. */
bv_http_reply_t cluster_call(uint16_t port, const char *method,
                             const char *path, const char *headers,
                             const char *body);

/* Sets faults of the platform or of a target: POST of JSON text. */
bool cluster_set_faults(uint16_t port, const char *path, const char *json);

/*
 * Sets faults of the link in front of an instance, as JSON text; the
 * deployment needs "links". Healing leaves silent connections silent.
 */
bool cluster_set_link_faults(const cluster_t *cluster, size_t instance,
                             const char *json);
bool cluster_link_cut(const cluster_t *cluster, size_t instance);
bool cluster_link_silence(const cluster_t *cluster, size_t instance);
bool cluster_link_heal(const cluster_t *cluster, size_t instance);

/* A number of GET /standin/stats of an instance's link. */
int64_t cluster_link_stat(const cluster_t *cluster, size_t instance,
                          const char *name);

/* Runs berylvanectl with arguments (ended by NULL); its exit status. */
int cluster_run_ctl(const cluster_t *cluster, const char *argument,
                    ...) G_GNUC_NULL_TERMINATED;

/*
 * Runs berylvane-load with `settings`, entries filled in, and the
 * deployment's "schedule" beside it; the load's exit status.
 */
int cluster_run_load(cluster_t *cluster, const json_t *settings,
                     const char *label, const char *report_path);

#endif
