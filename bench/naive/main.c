#include "naive.h"

#include "berylvane/common/program.h"
#include "berylvane/standin/options.h"

#include <stdio.h>
#include <stdlib.h>

#define RING_CAPACITY 65536
#define KEPT_CONNECTIONS 256
#define BODY_LIMIT_BYTES (16 * 1024 * 1024)

static const char doc[] =
    "Baseline proxy for benchmarks: round robin over instances, a queue of "
    "limited length and a fixed number of retries on any failure.";

static void
on_signal(void *context, int number)
{
    (void)number;
    naive_proxy_t *proxy = context;
    g_atomic_int_set(&proxy->is_stopping, 1);
    bv_ring_wake_consumer(proxy->events);
}

static bool
start_listeners(naive_proxy_t *proxy, GError **error)
{
    const naive_settings_t *settings = proxy->settings;
    bv_listener_options_t outside = {
        .address = "127.0.0.1",
        .port = (uint16_t)settings->outside_port,
        .role = BV_LISTENER_OUTSIDE,
        .limits = {.body_bytes = BODY_LIMIT_BYTES},
        .on_call = naive_on_caller_call,
        .context = proxy,
    };
    bv_listener_options_t local = outside;
    local.port = (uint16_t)settings->local_port;
    local.role = BV_LISTENER_LOCAL;
    bv_listener_options_t peers = local;
    peers.address = settings->address;
    peers.port = (uint16_t)settings->peer_port;
    peers.on_call = naive_on_peer_call;
    return bv_listener_start(&outside, error) != NULL &&
           bv_listener_start(&local, error) != NULL &&
           bv_listener_start(&peers, error) != NULL;
}

/*
 * Serves until a signal arrives, then exits without answering the calls in
 * progress: a benchmark has its results by then.
 */
static int
run(const naive_settings_t *settings)
{
    GError *error = NULL;
    apr_pool_t *pool = bv_program_start();
    bv_http_client_options_t http = {.ring_capacity = RING_CAPACITY,
                                     .kept_connections = KEPT_CONNECTIONS};
    naive_proxy_t proxy = {
        .settings = settings,
        .events = bv_ring_create(pool, RING_CAPACITY),
        .http_client = bv_http_client_start(pool, &http),
        .random = g_rand_new_with_seed((guint32)settings->seed),
    };
    g_queue_init(&proxy.waiting);
    bv_program_set_signal_handler(pool, on_signal, &proxy);
    if (!start_listeners(&proxy, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return BV_EXIT_FAILED;
    }
    naive_run(&proxy);
    _Exit(BV_EXIT_OK);
}

int
main(int argc, char **argv)
{
    naive_settings_t settings = {0};
    const char *path = standin_settings_path(argc, argv, doc);
    bv_findings_t *findings = bv_findings_create();
    bool is_loaded = naive_settings_load(path, &settings, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    int status = is_loaded ? run(&settings) : BV_EXIT_USAGE;
    naive_settings_clear(&settings);
    return status;
}
