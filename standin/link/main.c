#include "link.h"

#include "berylvane/common/program.h"
#include "berylvane/standin/options.h"

#include <stdio.h>

#define RING_CAPACITY 256
#define BODY_LIMIT_BYTES 65536

static const char doc[] =
    "Stand-in of the network in front of an instance. Relays connections and "
    "packets with delay, limited bandwidth, loss, cuts and silent connections "
    "(set by POST /standin/control). For tests and benchmarks only.";

static bool
on_call(void *context, bv_call_t *call)
{
    return bv_ring_push(context, call);
}

static void
on_signal(void *context, int number)
{
    (void)number;
    link_t *link = context;
    g_atomic_int_set(&link->stopping, 1);
}

static int
run(const link_settings_t *settings)
{
    GError *error = NULL;
    apr_pool_t *pool = bv_program_start();
    link_t link = {
        .settings = settings,
        .faults = settings->faults,
        .random = g_rand_new_with_seed((guint32)settings->seed),
        .calls = bv_ring_create(pool, RING_CAPACITY),
        .poll_items = g_array_new(FALSE, FALSE, sizeof(struct pollfd)),
        .conns = g_ptr_array_new(),
    };
    g_queue_init(&link.packets);
    bv_program_set_signal_handler(pool, on_signal, &link);
    bv_listener_options_t listener = {
        .address = "127.0.0.1",
        .port = (uint16_t)settings->control_port,
        .limits = {.body_bytes = BODY_LIMIT_BYTES},
        .on_call = on_call,
        .context = link.calls,
    };
    bv_listener_t *running_listener = NULL;
    if (link_open(&link, &error)) {
        running_listener = bv_listener_start(&listener, &error);
    }
    if (running_listener == NULL) {
        fprintf(stderr, "%s\n", error->message);
        return BV_EXIT_FAILED;
    }
    link_run(&link);
    bv_program_unset_signal_handler();
    bv_listener_stop(running_listener);
    link_close(&link);
    g_ptr_array_unref(link.conns);
    g_array_unref(link.poll_items);
    g_rand_free(link.random);
    return BV_EXIT_OK;
}

int
main(int argc, char **argv)
{
    link_settings_t settings = {0};
    const char *path = standin_settings_path(argc, argv, doc);
    bv_findings_t *findings = bv_findings_create();
    bool is_valid = link_settings_load(path, &settings, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    int status = is_valid ? run(&settings) : BV_EXIT_USAGE;
    link_settings_clear(&settings);
    return status;
}
