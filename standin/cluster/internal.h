#ifndef STANDIN_CLUSTER_INTERNAL_H
#define STANDIN_CLUSTER_INTERNAL_H

#include "berylvane/standin/cluster.h"

#define NAME_BYTES 48
#define ADDRESS_BYTES 16

typedef struct {
    char name[NAME_BYTES];
    char program[NAME_BYTES];
    char *argument_name;
    char *argument;
    GPid pid;
    bool running;
    int status;
} process_t;

typedef struct {
    char name[NAME_BYTES];
    cluster_ports_t ports;
    process_t node;
    process_t target;
    process_t link;
    char address[ADDRESS_BYTES];
    const json_t *service;
    const json_t *data_centre;
} instance_t;

struct cluster {
    char *build_directory;
    char *work_directory;
    char *deployment_directory;
    char *records_directory;
    const json_t *deployment;
    /* The base document that is applied. */
    json_t *base_document;
    int port_lock_fd;
    uint16_t platform_port;
    process_t platform;
    GArray *instances;
};

/* Starts a process with its output in the work directory's log. */
bool process_start(const cluster_t *cluster, process_t *process,
                   GError **error);

/* Exit status, -1 when it still runs after `timeout_us`. */
int process_wait(process_t *process, int64_t timeout_us);
void process_signal(const process_t *process, int number);
void process_clear(process_t *process);

/* Whether instances reach each other through link stand-ins. */
typedef enum {
    /* A node beside each target. */
    PROXY_KIND_NODE,
    /* The naive proxy beside each target. */
    PROXY_KIND_NAIVE,
    /* Nothing beside: callers and targets call targets. */
    PROXY_KIND_NONE,
} proxy_kind_t;

proxy_kind_t settings_proxy_kind(const cluster_t *cluster);

/*
 * Where the service of `path` is reached: "IP:PORT" of its instances'
 * targets or proxies; a new array, empty when no route matches.
 */
json_t *settings_service_addresses(const cluster_t *cluster, const char *path);

/* Settings of the naive proxy beside an instance. */
json_t *settings_naive_proxy(const cluster_t *cluster,
                             const instance_t *instance);

bool settings_has_links(const cluster_t *cluster);

/* The address of an instance: one for each region and data centre. */
void settings_set_address(const cluster_t *cluster, instance_t *instance);

/* Runs the deployment's "schedule" from this moment to its last entry. */
void schedule_run(cluster_t *cluster);

/* Writes the settings of an instance's processes. */
bool settings_write(const cluster_t *cluster, instance_t *instance,
                    GError **error);

/*
 * Reserves a range of ports that no other cluster on this machine holds;
 * its first port, or 0. The reservation ends when `*lock_fd` is closed.
 */
uint16_t ports_reserve(int *lock_fd);

#endif
