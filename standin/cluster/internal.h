#ifndef STANDIN_CLUSTER_INTERNAL_H
#define STANDIN_CLUSTER_INTERNAL_H

#include "berylvane/standin/cluster.h"

#define NAME_BYTES 48
#define ADDRESS_BYTES 16

/* A child process; restarts use the same program and argument. */
typedef struct {
    /* Role and instance, such as "node-stock-1"; part of its files' names. */
    char name[NAME_BYTES];
    /* Path below the build directory. */
    char program[NAME_BYTES];
    /* The only flag and its value; process_clear() frees the value. */
    char *argument_name;
    char *argument;
    GPid pid;
    bool running;
    /* The last SIGSTOP was not followed by a SIGCONT. */
    bool is_paused;
    /* Exit status, valid once the process has ended. */
    int status;
} process_t;

typedef struct {
    char name[NAME_BYTES];
    cluster_ports_t ports;
    /* The node, or the naive proxy in its place. */
    process_t node;
    process_t target;
    process_t link;
    /* IP address of the node and of its link. */
    char address[ADDRESS_BYTES];
    /* The instance's entries in the deployment. */
    const json_t *service;
    const json_t *data_centre;
} instance_t;

struct cluster {
    char *build_directory;
    char *work_directory;
    char *deployment_directory;
    char *records_directory;
    const json_t *deployment;
    /* The base configuration document. */
    json_t *base_document;
    /* Reserves the range of ports while it is open. */
    int port_lock_fd;
    uint16_t platform_port;
    process_t platform;
    GArray *instances;
};

/*
 * Starts a process; its output is appended to NAME.log in the work directory.
 * Returns false and sets `error` if it could not be started.
 */
bool process_start(const cluster_t *cluster, process_t *process,
                   GError **error);

/*
 * Waits for a process to end. Returns its exit status, 128 plus the signal's
 * number if a signal ended it, or -1 if it still runs after `timeout_us`.
 */
int process_wait(process_t *process, int64_t timeout_us);

/*
 * Sends a signal if the process is running. SIGCONT is sent only to a process
 * that this function has paused: the signal discards the SIGSTOP by which the
 * leak check of the address sanitizer stops the threads of a process that
 * exits, and the check then waits for ever.
 */
void process_signal(process_t *process, int number);
void process_clear(process_t *process);

/* The kind of proxy that the deployment starts beside each target. */
typedef enum {
    /* A berylvane node. */
    PROXY_KIND_NODE,
    /* The naive proxy that benchmarks compare with. */
    PROXY_KIND_NAIVE,
    /* No proxy: clients and targets call targets directly. */
    PROXY_KIND_NONE,
} proxy_kind_t;

proxy_kind_t settings_proxy_kind(const cluster_t *cluster);

/*
 * Returns the addresses ("IP:PORT") of the instances of the service that
 * `path` is routed to: those of the targets if there are no proxies, otherwise
 * the peer addresses of the proxies or of the links in front of them. The
 * result is a new array, empty if no route matches.
 */
json_t *settings_service_addresses(const cluster_t *cluster, const char *path);

/* Returns new settings of the naive proxy beside an instance. */
json_t *settings_naive_proxy(const cluster_t *cluster,
                             const instance_t *instance);

/* Whether instances reach each other through link stand-ins. */
bool settings_has_links(const cluster_t *cluster);

/*
 * Sets the IP address of an instance: one per region if there are links, so
 * that a link can tell the caller's region from its address, else 127.0.0.1.
 */
void settings_set_address(const cluster_t *cluster, instance_t *instance);

/*
 * Runs the entries of the deployment's "schedule", timed from the call;
 * returns after the last entry.
 */
void schedule_run(cluster_t *cluster);

/*
 * Writes the settings files of an instance's processes and sets the processes'
 * arguments to their paths. Returns false and sets `error` on failure.
 */
bool settings_write(const cluster_t *cluster, instance_t *instance,
                    GError **error);

/*
 * Reserves a range of 1000 ports that no other cluster on this machine uses.
 * The reservation is a socket that listens on the first port of the range and
 * ends when that socket, `*lock_fd`, is closed. Returns the first port, or 0
 * if all ranges are reserved.
 */
uint16_t ports_reserve(int *lock_fd);

#endif
