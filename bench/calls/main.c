#include "../common/deployment.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/number_option.h"
#include "berylvane/common/program.h"
#include "calls.h"

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define NODE_COUNT 2
#define SETTLE_US (BV_US_PER_S / 2)
#define CONNECTIONS_LIMIT 1000
#define MILLISECONDS_LIMIT (86400 * 1000)
#define PAUSE_LIMIT_US (60 * BV_US_PER_S)

const char *argp_program_version = "berylvane-bench-calls " BV_VERSION;

static const calls_kind_t kinds[] = {
    {"small GET", "GET", "/back/item", 0, 200},
    {"POST of 16 KiB", "POST", "/back/item", 16384, 200},
    {"download of 1 MiB", "GET", "/back/item?bytes=1048576", 0, 200},
    {"rejected (no route)", "GET", "/none", 0, 404},
    {"idle second", NULL, NULL, 0, 0},
};

typedef struct {
    const char *build_directory;
    const char *work_directory;
    const char *deployment_directory;
    const char *kind_name;
    int64_t milliseconds;
    int64_t connections;
    int64_t pause_us;
} arguments_t;

static const struct argp_option options[] = {
    {"build", 'b', "DIRECTORY", 0,
     "folder where the programs are built (default: build)", 0},
    {"work", 'w', "DIRECTORY", 0,
     "existing folder for settings, logs and records (required)", 0},
    {"deployment", 'd', "DIRECTORY", 0,
     "folder of deployment.json (default: bench/calls)", 0},
    {"kind", 'k', "NAME", 0, "measure only this kind (default: all)", 0},
    {"milliseconds", 't', "NUMBER", 0,
     "length of each measurement (default: 3000)", 0},
    {"connections", 'c', "NUMBER", 0, "number of connections (default: 16)",
     0},
    {"pause-us", 'p', "NUMBER", 0,
     "pause of a connection between two calls (default: 0)", 0},
    {0}};

/* Ends the program after printing an error if no kind has the name. */
static void
check_kind(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i].name, name) == 0) {
            return;
        }
    }
    GString *accepted = g_string_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        g_string_append_printf(accepted, "%s\"%s\"", i > 0 ? ", " : "",
                               kinds[i].name);
    }
    fprintf(stderr, "%s: --kind %s: no such kind; accepted: %s\n",
            program_invocation_short_name, name, accepted->str);
    exit(BV_EXIT_USAGE);
}

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    switch (key) {
    case 'b':
        arguments->build_directory = text;
        return 0;
    case 'w':
        arguments->work_directory = text;
        return 0;
    case 'd':
        arguments->deployment_directory = text;
        return 0;
    case 'k':
        check_kind(text);
        arguments->kind_name = text;
        return 0;
    case 't':
        arguments->milliseconds =
            bv_number_option("--milliseconds", text, 1, MILLISECONDS_LIMIT);
        return 0;
    case 'c':
        arguments->connections =
            bv_number_option("--connections", text, 1, CONNECTIONS_LIMIT);
        return 0;
    case 'p':
        arguments->pause_us =
            bv_number_option("--pause-us", text, 0, PAUSE_LIMIT_US);
        return 0;
    case ARGP_KEY_END:
        if (arguments->work_directory == NULL) {
            argp_error(state, "--work DIRECTORY is needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Starts two nodes with a target each and sends calls through both "
           "on kept-alive connections. Prints processor time, voluntary "
           "context switches and read and write calls per call at each node.",
};

/* Adds `factor` times the usage of each node to `usage`. */
static void
add_usage(cluster_t *cluster, calls_usage_t *usage, int64_t factor)
{
    for (size_t i = 0; i < NODE_COUNT; i++) {
        calls_usage_t now =
            calls_usage_read(cluster_pid(cluster, CLUSTER_NODE, i));
        usage[i].cpu_ns += factor * now.cpu_ns;
        usage[i].kernel_us += factor * now.kernel_us;
        usage[i].wake_ups += factor * now.wake_ups;
        usage[i].reads_and_writes += factor * now.reads_and_writes;
    }
}

static void
print_usage(const char *name, const calls_usage_t *usage, double calls)
{
    printf("  %-8s %9.1f us (%8.1f kernel) %7.2f wake-ups %7.2f "
           "reads and writes\n",
           name, (double)usage->cpu_ns / 1000 / calls,
           (double)usage->kernel_us / calls, (double)usage->wake_ups / calls,
           (double)usage->reads_and_writes / calls);
}

static void
print_all(const cluster_t *cluster, const calls_usage_t *usage, double calls)
{
    calls_usage_t sum = {0};
    for (size_t i = 0; i < NODE_COUNT; i++) {
        print_usage(cluster_instance_name(cluster, i), &usage[i], calls);
        sum.cpu_ns += usage[i].cpu_ns;
        sum.kernel_us += usage[i].kernel_us;
        sum.wake_ups += usage[i].wake_ups;
        sum.reads_and_writes += usage[i].reads_and_writes;
    }
    print_usage("both", &sum, calls);
    fflush(stdout);
}

/* Returns false if a call failed. */
static bool
measure(const arguments_t *arguments, cluster_t *cluster,
        const calls_kind_t *kind)
{
    calls_usage_t usage[NODE_COUNT] = {0};
    calls_load_result_t result = {0};
    int64_t duration_us = arguments->milliseconds * BV_US_PER_MS;
    double divisor = (double)duration_us / (double)BV_US_PER_S;
    usleep(SETTLE_US);
    add_usage(cluster, usage, -1);
    if (kind->method == NULL) {
        usleep((useconds_t)duration_us);
    }
    else {
        calls_load_options_t load = {
            .port = cluster_ports(cluster, 0)->outside,
            .connection_count = (uint32_t)arguments->connections,
            .duration_us = duration_us,
            .pause_us = arguments->pause_us,
        };
        result = calls_load_run(kind, &load);
        divisor = (double)MAX(1, result.answered);
    }
    add_usage(cluster, usage, 1);
    printf("%s: %" G_GUINT64_FORMAT " answered, %" G_GUINT64_FORMAT
           " failed; per %s:\n",
           kind->name, result.answered, result.failed,
           kind->method != NULL ? "call" : "second");
    print_all(cluster, usage, divisor);
    return result.failed == 0;
}

static bool
measure_all(const arguments_t *arguments, cluster_t *cluster)
{
    bool succeeded = true;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (arguments->kind_name == NULL ||
            g_strcmp0(arguments->kind_name, kinds[i].name) == 0) {
            succeeded &= measure(arguments, cluster, &kinds[i]);
        }
    }
    return succeeded;
}

static bool
run(const arguments_t *arguments, const json_t *deployment)
{
    cluster_options_t cluster_options = {
        .build_directory = arguments->build_directory,
        .work_directory = arguments->work_directory,
        .deployment = deployment,
        .deployment_directory = arguments->deployment_directory,
    };
    cluster_t *cluster = bench_start_cluster(&cluster_options, NULL);
    if (cluster == NULL) {
        return false;
    }
    bool succeeded = measure_all(arguments, cluster);
    succeeded &= cluster_stop(cluster);
    return succeeded;
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {
        .build_directory = "build",
        .deployment_directory = "bench/calls",
        .milliseconds = 3000,
        .connections = 16,
    };
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    char *path = g_build_filename(arguments.deployment_directory,
                                  "deployment.json", NULL);
    json_t *deployment = bench_load_json(path, NULL);
    g_free(path);
    if (deployment == NULL) {
        return BV_EXIT_FAILED;
    }
    apr_pool_t *pool = bv_program_start();
    bool succeeded = run(&arguments, deployment);
    bv_program_stop(pool);
    json_decref(deployment);
    return succeeded ? BV_EXIT_OK : BV_EXIT_FAILED;
}
