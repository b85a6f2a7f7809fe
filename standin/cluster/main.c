#include "berylvane/common/findings.h"
#include "berylvane/common/program.h"
#include "berylvane/standin/cluster.h"

#include <argp.h>
#include <stdio.h>

const char *argp_program_version = "berylvane-standin-cluster " BV_VERSION;

typedef struct {
    const char *deployment_path;
    const char *build_directory;
    const char *work_directory;
    const char *label;
    const char *report_path;
} arguments_t;

static const struct argp_option options[] = {
    {"deployment", 'd', "FILE", 0,
     "JSON file of the deployment to start (required)", 0},
    {"build", 'b', "DIRECTORY", 0,
     "meson build folder with the programs (default: build)", 0},
    {"work", 'w', "DIRECTORY", 0,
     "existing folder for settings, logs and records (required)", 0},
    {"label", 'l', "WORD", 0,
     "first word of the load's closing line (default: cluster)", 0},
    {"report", 'r', "FILE", 0, "write the load's JSON report to this file", 0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    switch (key) {
    case 'd':
        arguments->deployment_path = text;
        return 0;
    case 'b':
        arguments->build_directory = text;
        return 0;
    case 'w':
        arguments->work_directory = text;
        return 0;
    case 'l':
        arguments->label = text;
        return 0;
    case 'r':
        arguments->report_path = text;
        return 0;
    case ARGP_KEY_END:
        if (arguments->deployment_path == NULL ||
            arguments->work_directory == NULL) {
            argp_error(state,
                       "--deployment FILE and --work DIRECTORY are required");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Starts a deployment on the loopback interface, sends its load and "
           "stops the processes. For the demo, tests and benchmarks.",
};

static int
run(const arguments_t *arguments, const json_t *deployment)
{
    GError *error = NULL;
    char *directory = g_path_get_dirname(arguments->deployment_path);
    cluster_options_t cluster_options = {
        .build_directory = arguments->build_directory,
        .work_directory = arguments->work_directory,
        .deployment = deployment,
        .deployment_directory = directory,
    };
    cluster_t *cluster = cluster_start(&cluster_options, &error);
    g_free(directory);
    if (cluster == NULL) {
        fprintf(stderr, "%s\n", error->message);
        return BV_EXIT_FAILED;
    }
    int status = cluster_run_load(cluster, json_object_get(deployment, "load"),
                                  arguments->label, arguments->report_path);
    if (!cluster_stop(cluster)) {
        fprintf(stderr,
                "a node was killed or exited with an error while stopping\n");
        status = BV_EXIT_FAILED;
    }
    return status == 0 ? BV_EXIT_OK : BV_EXIT_FAILED;
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {.label = "cluster", .build_directory = "build"};
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    bv_findings_t *findings = bv_findings_create();
    json_t *deployment = bv_json_load(arguments.deployment_path, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    if (deployment == NULL) {
        return BV_EXIT_USAGE;
    }
    apr_pool_t *pool = bv_program_start();
    int status = run(&arguments, deployment);
    bv_program_stop(pool);
    json_decref(deployment);
    return status;
}
