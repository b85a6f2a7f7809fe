#ifndef BENCH_NAIVE_NAIVE_H
#define BENCH_NAIVE_NAIVE_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/findings.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/ring.h"

/*
 * naive - the baseline with which benchmarks compare berylvane
 *
 * A proxy beside each target: round robin over a service's instances, a fixed
 * number of retries on any failure at each hop of a chain of calls, and a FIFO
 * queue of limited length in front of the target. It does not shed calls by
 * priority, does not hedge, and does not track the load or the failures of
 * instances.
 */
#define NAIVE_ROUTES_LIMIT 64
#define NAIVE_INSTANCES_LIMIT 64

/* Calls whose path begins with `prefix` are sent to these instances. */
typedef struct {
    char *prefix;
    /* Only used while the settings are loaded. */
    json_t *instances_json;
    /* "IP:PORT" of each instance's proxy, from the "instances" setting. */
    char *instances[NAIVE_INSTANCES_LIMIT];
    size_t instance_count;
} naive_route_t;

/*
 * Settings of a proxy. Members up to `seed` are named as the keys of the
 * settings file; `routes_json` is only used while the settings are loaded.
 * - address: IP address of this proxy, for other proxies
 * - outside_port: 127.0.0.1, for calls from callers
 * - local_port: 127.0.0.1, for calls from this proxy's target
 * - peer_port: `address`, for calls from other proxies
 * - target_port: port of this proxy's target on 127.0.0.1
 */
typedef struct {
    char *address;
    int64_t outside_port;
    int64_t local_port;
    int64_t peer_port;
    int64_t target_port;
    /* Calls that run in the target at a time; further calls are queued. */
    int64_t slots;
    /* Most calls that are queued; further calls are answered 503. */
    int64_t queue_limit;
    /* Retries of each call from a caller or this proxy's target. */
    int64_t retries;
    /* Limit for each attempt. */
    int64_t timeout_ms;
    int64_t seed;
    json_t *routes_json;
    naive_route_t routes[NAIVE_ROUTES_LIMIT];
    size_t route_count;
} naive_settings_t;

/*
 * Loads the JSON file `path` into `settings`, which must be zeroed. Returns
 * false when there are findings; naive_settings_clear() is needed either way.
 */
bool naive_settings_load(const char *path, naive_settings_t *settings,
                         bv_findings_t *findings);
void naive_settings_clear(naive_settings_t *settings);

typedef struct {
    const naive_settings_t *settings;
    bv_ring_t *events;
    bv_http_client_t *http_client;
    GRand *random;
    /* Calls from other proxies that wait for a slot of the target. */
    GQueue waiting;
    /* Calls that run in the target. */
    size_t running_count;
    /* Round robin: selects the instance of the next attempt, of any route. */
    uint64_t next_turn;
    uint64_t next_id;
    gint is_stopping;
} naive_proxy_t;

/*
 * Listener callbacks for calls from callers or the local target, and for calls
 * from other proxies; `proxy` is a naive_proxy_t. They may be called on any
 * thread, and return false when the queue of events is full.
 */
bool naive_on_caller_call(void *proxy, bv_call_t *call);
bool naive_on_peer_call(void *proxy, bv_call_t *call);

/* Handles events until `is_stopping` is set. */
void naive_run(naive_proxy_t *proxy);

#endif
