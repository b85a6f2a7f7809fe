#ifndef BERYLVANE_STANDIN_CLUSTER_H
#define BERYLVANE_STANDIN_CLUSTER_H

#include "berylvane/common/http_call.h"

#include <jansson.h>

/*
 * cluster - starts a whole deployment as processes on the loopback interface,
 * for the demo, the end-to-end tests and the benchmarks
 *
 * A deployment file lists data centres, services and the configuration
 * documents to apply; see docs/STANDINS.md. Every child process is killed when
 * the process that started the cluster ends. An instance is identified by its
 * index, from 0 to cluster_size() - 1.
 */
typedef struct cluster cluster_t;

typedef struct {
    /* The meson build folder that contains the programs. */
    const char *build_directory;
    /* Folder for settings, logs and record files; must exist. */
    const char *work_directory;
    /* Parsed deployment file; must outlive the cluster. */
    const json_t *deployment;
    /* Folder that file names in the deployment are relative to. */
    const char *deployment_directory;
} cluster_options_t;

/*
 * The role of a process. There is one platform for all instances: functions
 * ignore the instance's index that is passed with CLUSTER_PLATFORM.
 */
typedef enum {
    /* The node, or the naive proxy if the deployment selects that. */
    CLUSTER_NODE,
    CLUSTER_TARGET,
    CLUSTER_LINK,
    CLUSTER_PLATFORM,
} cluster_role_t;

/*
 * TCP and UDP ports of one instance
 *
 * - outside: requests from outside clients
 * - local: calls from the target of this instance to other services
 * - peer: messages from other nodes
 * - gossip: UDP membership messages
 * - operators: health, status and other documents for operators
 * - target: the target stand-in's HTTP port
 */
typedef struct {
    uint16_t outside;
    uint16_t local;
    uint16_t peer;
    uint16_t gossip;
    uint16_t operators;
    uint16_t target;
    /*
     * The link stand-in's ports in front of `peer` and `gossip`; the same as
     * those if the deployment has no links.
     */
    uint16_t link_peer;
    uint16_t link_gossip;
    /* HTTP port that sets the link's faults; 0 without links. */
    uint16_t link_control;
} cluster_ports_t;

/*
 * Starts all processes, applies the configuration documents and waits until
 * every node is ready and lists all instances as members with slots. In
 * deployments without nodes, waits until all targets and naive proxies answer
 * HTTP requests. Returns NULL and sets `error` if a step fails; the processes
 * that were already started are stopped first. cluster_stop() frees the
 * result.
 */
cluster_t *cluster_start(const cluster_options_t *options, GError **error);

/*
 * Stops all running processes with SIGTERM, those that do not exit within 20 s
 * with SIGKILL, and frees the cluster. Returns false if a node was killed or
 * exited with a status other than 0. A node whose end cluster_wait_exit() has
 * already reported does not count.
 */
bool cluster_stop(cluster_t *cluster);

/* Returns the number of instances. */
size_t cluster_size(const cluster_t *cluster);

/*
 * Returns the index of the instance with a name such as "stock-1"; aborts the
 * program if there is none.
 */
size_t cluster_find_instance(const cluster_t *cluster, const char *name);
const char *cluster_instance_name(const cluster_t *cluster, size_t instance);
const cluster_ports_t *cluster_ports(const cluster_t *cluster,
                                     size_t instance);

/* Returns the port of the platform stand-in. */
uint16_t cluster_platform_port(const cluster_t *cluster);

/* Returns the folder with the record files of the targets. */
const char *cluster_records_directory(const cluster_t *cluster);

/*
 * Sends the signal `number` to a process, if that is running; SIGCONT only if
 * cluster_signal() has paused the process with SIGSTOP.
 */
void cluster_signal(cluster_t *cluster, cluster_role_t role, size_t instance,
                    int number);

/* Returns the process id of a process, 0 if it does not run. */
pid_t cluster_pid(cluster_t *cluster, cluster_role_t role, size_t instance);

/*
 * Waits for a process to end. Returns its exit status, 128 plus the signal's
 * number if a signal ended it, or -1 if it still runs after `timeout_us`.
 */
int cluster_wait_exit(cluster_t *cluster, cluster_role_t role, size_t instance,
                      int64_t timeout_us);

/*
 * Starts a process that has ended once more, with the same settings. Returns
 * false and sets `error` if it could not be started.
 */
bool cluster_restart(cluster_t *cluster, cluster_role_t role, size_t instance,
                     GError **error);

/*
 * Waits until GET /health of a node returns `status`; returns false if that
 * does not happen within `timeout_us`. A node that accepts the connection but
 * does not answer can prolong the wait by the 20 s time-out of cluster_call().
 */
bool cluster_wait_health(const cluster_t *cluster, size_t instance,
                         uint16_t status, int64_t timeout_us);

/*
 * Sends an HTTP request to a port on 127.0.0.1 and waits up to 20 s for the
 * response. `headers` and `body` may be NULL. The caller frees the reply with
 * bv_http_reply_clear().
 */
bv_http_reply_t cluster_call(uint16_t port, const char *method,
                             const char *path, const char *headers,
                             const char *body);

/*
 * Sets faults of the platform, a target or a link: POSTs the JSON text to its
 * control path. Returns false unless the response has status 200.
 */
bool cluster_set_faults(uint16_t port, const char *path, const char *json);

/*
 * Set faults of the link stand-in in front of an instance; the deployment
 * must have "links". Each returns false if the link did not accept the change.
 *
 * - set_link_faults: changes the faults that the JSON text contains
 * - cut: closes all connections and refuses new ones
 * - silence: stops relaying on the connections that are open now
 * - heal: ends cuts, loss and duplication; delays, the bandwidth limit and
 *   "hold_answers" stay set, and silenced connections stay silent
 */
bool cluster_set_link_faults(const cluster_t *cluster, size_t instance,
                             const char *json);
bool cluster_link_cut(const cluster_t *cluster, size_t instance);
bool cluster_link_silence(const cluster_t *cluster, size_t instance);
bool cluster_link_heal(const cluster_t *cluster, size_t instance);

/*
 * Returns the counter `name` of GET /standin/stats of an instance's link, 0 if
 * the response has no such counter.
 */
int64_t cluster_link_stat(const cluster_t *cluster, size_t instance,
                          const char *name);

/*
 * Runs berylvanectl on the cluster's platform with the given arguments, ended
 * by NULL. Returns the status of waitpid(), -1 if it could not be started.
 */
int cluster_run_ctl(const cluster_t *cluster, const char *argument,
                    ...) G_GNUC_NULL_TERMINATED;

/*
 * Runs berylvane-load and, at the same time, the deployment's "schedule".
 * `settings` are the load's settings. If they have no "entries", the requests
 * go to the outside ports of all instances; if the deployment has no proxies,
 * each kind of request goes to the targets of its service. `label` is the
 * first word of the load's closing line; `report_path` is the file for its
 * JSON report, or NULL. Returns the load's status of waitpid(), -1 if it could
 * not be started.
 */
int cluster_run_load(cluster_t *cluster, const json_t *settings,
                     const char *label, const char *report_path);

#endif
