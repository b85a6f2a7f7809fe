#include "service.h"

#include "berylvane/common/number_option.h"
#include "berylvane/common/program.h"

#include <argp.h>
#include <stdio.h>

#define RING_CAPACITY 16384
#define BODY_LIMIT_BYTES (16 * 1024 * 1024)

const char *argp_program_version = "berylvane-standin-platform " BV_VERSION;

typedef struct {
    uint16_t port;
    guint32 seed;
} arguments_t;

static const struct argp_option options[] = {
    {"port", 'p', "PORT", 0,
     "port on 127.0.0.1 to listen on, 1 to 65535 (required)", 0},
    {"seed", 's', "NUMBER", 0, "seed of the random faults (default: 1)", 0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    switch (key) {
    case 'p':
        arguments->port =
            (uint16_t)bv_number_option("--port", text, 1, UINT16_MAX);
        return 0;
    case 's':
        arguments->seed =
            (guint32)bv_number_option("--seed", text, 0, G_MAXUINT32);
        return 0;
    case ARGP_KEY_END:
        if (arguments->port == 0) {
            argp_error(state, "--port PORT is required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Stand-in of the platform's table service, object store and trace "
           "collector, with outages, delays and lost answers that POST "
           "/control sets. For tests and benchmarks only.",
};

static bool
on_call(void *context, bv_call_t *call)
{
    return bv_ring_push(context, call);
}

static void
on_signal(void *context, int number)
{
    (void)number;
    service_t *service = context;
    g_atomic_int_set(&service->stopping, 1);
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {.seed = 1};
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    apr_pool_t *pool = bv_program_start();
    bv_ring_t *calls = bv_ring_create(pool, RING_CAPACITY);
    service_t *service = service_create(calls, arguments.seed);
    bv_program_set_signal_handler(pool, on_signal, service);
    bv_listener_options_t listener = {
        .address = "127.0.0.1",
        .port = arguments.port,
        .limits = {.body_bytes = BODY_LIMIT_BYTES},
        .on_call = on_call,
        .context = calls,
    };
    GError *error = NULL;
    bv_listener_t *running_listener = bv_listener_start(&listener, &error);
    if (running_listener == NULL) {
        fprintf(stderr, "%s\n", error->message);
        return BV_EXIT_FAILED;
    }
    service_run(service);
    bv_program_unset_signal_handler();
    bv_listener_close(running_listener);
    while (!bv_listener_is_idle(running_listener)) {
        service_refuse_remaining(service);
    }
    bv_listener_stop(running_listener);
    service_destroy(service);
    return BV_EXIT_OK;
}
