#ifndef TESTS_E2E_PLATFORM_FIXTURE_H
#define TESTS_E2E_PLATFORM_FIXTURE_H

#include "../support.h"

#include "berylvane/caller/listener.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/http_call.h"
#include "berylvane/common/ring.h"

#include <sys/types.h>

/*
 * platform_fixture - node processes of the platform's dialect and the stand-in
 * of its store
 *
 * The test's process serves as the target of all nodes and sends the targets'
 * heartbeats. The functions end the test if a step fails.
 */
#define PLATFORM_NODES_MAX 6
#define PLATFORM_STATE_TIMEOUT_US (60 * BV_US_PER_S)

enum {
    PLATFORM_PORT_OUTBOUND,
    PLATFORM_PORT_CONTROL,
    PLATFORM_PORT_READY,
    PLATFORM_PORT_OPERATORS,
    PLATFORM_PORT_PEER,
    PLATFORM_PORT_GOSSIP,
    PLATFORM_PORT_TARGET,
    PLATFORM_PORTS,
};

enum {
    PLATFORM_TARGET_SERVE,
    PLATFORM_TARGET_REFUSE,
    PLATFORM_TARGET_REFUSE_WITHOUT_ID,
    PLATFORM_TARGET_WRONG_ID,
    /* Calls are not answered before the mode changes. */
    PLATFORM_TARGET_HOLD,
    /* Closes the connection of one call without an answer, then serves. */
    PLATFORM_TARGET_DROP_ONCE,
};

typedef struct {
    const char *service;
    uint16_t ports[PLATFORM_PORTS];
    bv_listener_t *target;
    pid_t pid;
    /* Sequence number of the last heartbeat of the target. */
    uint64_t sequence;
    /* Start in the target's heartbeats; 0 selects a time long ago. */
    int64_t born_ms;
    /* Requests that the target takes at once; 0 selects 4. */
    uint32_t slots;
    /* How the target answers: a value of PLATFORM_TARGET_... */
    gint mode;
    /* Number of calls that the target has served. */
    gint served;
    /* Number of calls that have reached the target. */
    gint arrived;
    /* Calls that the target holds, of bv_call_t, and their number. A ring, as
     * the thread sanitizer does not see the locks of GLib. */
    bv_ring_t *held;
    gint held_count;
    apr_pool_t *pool;
    /* Name of the service that made the last call. */
    char *caller;
    /* Headers Tenant-Id and Authorization of the last call; NULL for none. */
    char *account;
    char *authorization;
    /* Body of the answers to paths that contain "/large"; may be NULL. */
    GBytes *large_body;
} platform_node_t;

/* Zeroed before the first step. */
typedef struct {
    platform_node_t nodes[PLATFORM_NODES_MAX];
    size_t node_count;
    uint16_t store_port;
    pid_t store_pid;
    /* Folder of the nodes' settings. */
    char *directory;
    /* Period of the nodes' rendezvous; 0 selects the default. */
    uint32_t rendezvous_ms;
    /* Drain limit of the nodes; 0 selects the default. */
    uint32_t drain_limit_ms;
    /* Further members of the nodes' settings, each followed by a comma. */
    const char *extra_settings;
    /* Nodes log warnings, which platform_read_log() returns. */
    bool keeps_logs;
} platform_fixture_t;

void platform_start_store(platform_fixture_t *fixture);

/* Returns when the store answers. */
void platform_wait_for_store(const platform_fixture_t *fixture);

/* Starts a node without seeds beside a target; returns the node's index. */
size_t platform_start_node(platform_fixture_t *fixture, const char *service);

/* Ends a node's process by a signal, and starts one in its place. */
void platform_end_node(platform_fixture_t *fixture, size_t node_index,
                       int signal_number);
void platform_restart_node(platform_fixture_t *fixture, size_t node_index);

/* Returns what a node has logged so far, which g_free() frees. */
char *platform_read_log(const platform_fixture_t *fixture, size_t node_index);

/* Stops all processes; each node must exit with status 0. */
void platform_stop(platform_fixture_t *fixture);

/* Ends processes that still run after a failed check. */
void platform_kill_remaining(const platform_fixture_t *fixture);

/* Returns a number of a node's status page, such as "queued". */
int64_t platform_status_number(const platform_fixture_t *fixture,
                               size_t node_index, const char *name);

/* Sends an HTTP request to a port of this host. */
bv_http_reply_t platform_request(uint16_t port, const char *method,
                                 const char *path, const char *headers,
                                 const char *body);
uint16_t platform_request_status(uint16_t port, const char *method,
                                 const char *path, const char *headers,
                                 const char *body);

/* Sends a control of the store, which must accept it. */
void platform_control(const platform_fixture_t *fixture, const char *control);

/*
 * Writes the operator's row: one route with a prefix, to the service "back".
 * Returns the version that the store gave out.
 */
int64_t platform_write_config(const platform_fixture_t *fixture,
                              uint32_t version, const char *prefix);

/*
 * Writes the operator's row: the prefixes "/a/", "/p/" which is public, and
 * "/u/" which is not idempotent, to the service "back", and the list
 * "Tenants".
 */
int64_t platform_write_accounts(const platform_fixture_t *fixture,
                                uint32_t version, const char *tenants);

/* Writes a row and returns its version. */
int64_t platform_write_row(const platform_fixture_t *fixture,
                           const char *table, const char *key,
                           const char *value);

/* Answers the calls that a target holds, and all later ones at once. */
void platform_release_calls(platform_node_t *node);

/* Writes `count` times to a row that no node reads; returns the version. */
int64_t platform_write_other_rows(const platform_fixture_t *fixture,
                                  size_t count);

/* Sends the departure of a node's target; returns the status. */
uint16_t platform_deregister(platform_fixture_t *fixture, size_t node_index);

/* Sends a heartbeat of a node's target; returns the status. */
uint16_t platform_heartbeat(platform_fixture_t *fixture, size_t node_index,
                            const char *state);

/* Waits for the call that the target of a node holds; answers it. */
void platform_wait_for_held(platform_fixture_t *fixture, size_t node_index);
void platform_answer_held(platform_fixture_t *fixture, size_t node_index);

/* Closes the connection of the call that the target of a node holds. */
void platform_drop_held(platform_fixture_t *fixture, size_t node_index);

/* Sends a caller's request through a node; returns the status. */
uint16_t platform_call(const platform_fixture_t *fixture, size_t node_index,
                       const char *path, const char *extra_headers);

/*
 * Waits until a request through a node is answered with `status`, and sends
 * heartbeats meanwhile so that the targets stay announced.
 */
void platform_wait_for_status(platform_fixture_t *fixture, size_t node_index,
                              const char *path, uint16_t status);

#endif
