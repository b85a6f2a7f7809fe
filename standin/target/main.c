#include "target.h"

#include "berylvane/common/program.h"
#include "berylvane/standin/options.h"

#include <stdio.h>

#define RING_CAPACITY 16384
#define KEPT_CONNECTIONS 256
#define BODY_LIMIT_BYTES (16 * 1024 * 1024)

static const char doc[] =
    "Stand-in of a target: a service instance that runs a bounded number of "
    "jobs at once, with random service times, faults set by POST "
    "/standin/control and a record of the jobs that it started. For tests "
    "and benchmarks only.";

static bool
on_call(void *context, bv_call_t *call)
{
    return target_post_call(context, call);
}

static void
on_caller_disconnect(void *context, uint64_t tag)
{
    target_post_disconnect(context, tag);
}

static void
on_signal(void *context, int number)
{
    (void)number;
    target_stop(context);
}

static int
run(const target_settings_t *settings)
{
    GError *error = NULL;
    apr_pool_t *pool = bv_program_start();
    bv_http_client_options_t client_options = {
        .ring_capacity = RING_CAPACITY, .kept_connections = KEPT_CONNECTIONS};
    bv_http_client_t *client = bv_http_client_start(pool, &client_options);
    target_t *target =
        target_create(settings, bv_ring_create(pool, RING_CAPACITY), client);
    bv_program_set_signal_handler(pool, on_signal, target);
    bv_listener_options_t listener = {
        .address = "127.0.0.1",
        .port = (uint16_t)settings->port,
        .limits = {.body_bytes = BODY_LIMIT_BYTES},
        .on_call = on_call,
        .on_disconnect = on_caller_disconnect,
        .context = target,
    };
    bv_listener_t *running_listener = bv_listener_start(&listener, &error);
    if (running_listener == NULL) {
        fprintf(stderr, "%s\n", error->message);
        return BV_EXIT_FAILED;
    }
    target_run(target);
    bv_program_unset_signal_handler();
    bv_listener_close(running_listener);
    while (!bv_listener_is_idle(running_listener)) {
        target_refuse_remaining(target);
    }
    bv_listener_stop(running_listener);
    bv_http_client_stop(client);
    target_destroy(target);
    return BV_EXIT_OK;
}

int
main(int argc, char **argv)
{
    target_settings_t settings = {0};
    const char *path = standin_settings_path(argc, argv, doc);
    bv_findings_t *findings = bv_findings_create();
    bool is_valid = target_settings_load(path, &settings, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    int status = is_valid ? run(&settings) : BV_EXIT_USAGE;
    target_settings_clear(&settings);
    return status;
}
