#ifndef BENCH_NAIVE_NAIVE_H
#define BENCH_NAIVE_NAIVE_H

#include "berylvane/caller/listener.h"
#include "berylvane/common/findings.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/ring.h"

/*
 * naive - the setting that berylvane is compared with
 *
 * A proxy beside each target: round robin over a service's instances, a fixed
 * number of retries on any failure, and a fixed queue in front of the target.
 * No shedding by class, no hedging, no view of load or failures.
 */
#define NAIVE_ROUTES_LIMIT 64
#define NAIVE_INSTANCES_LIMIT 64

typedef struct {
    char *prefix;
    json_t *instances_json;
    /* "IP:PORT" of each instance's proxy. */
    char *instances[NAIVE_INSTANCES_LIMIT];
    size_t instance_count;
} naive_route_t;

typedef struct {
    char *address;
    int64_t outside_port;
    int64_t local_port;
    int64_t peer_port;
    int64_t target_port;
    int64_t slots;
    int64_t queue_limit;
    int64_t retries;
    int64_t timeout_ms;
    int64_t seed;
    json_t *routes_json;
    naive_route_t routes[NAIVE_ROUTES_LIMIT];
    size_t route_count;
} naive_settings_t;

bool naive_settings_load(const char *path, naive_settings_t *settings,
                         bv_findings_t *findings);
void naive_settings_clear(naive_settings_t *settings);

typedef struct {
    const naive_settings_t *settings;
    bv_ring_t *events;
    bv_http_client_t *http_client;
    GRand *random;
    GQueue waiting;
    size_t running_count;
    uint64_t next_turn;
    uint64_t next_id;
    gint is_stopping;
} naive_proxy_t;

/* Calls from the caller's side and from other proxies, from any thread. */
bool naive_on_caller_call(void *naive, bv_call_t *call);
bool naive_on_peer_call(void *naive, bv_call_t *call);

/* Serves until `stopping`. */
void naive_run(naive_proxy_t *naive);

#endif
