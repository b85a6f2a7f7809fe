#include "../common/deployment.h"
#include "berylvane/common/number_option.h"
#include "berylvane/common/program.h"
#include "driver.h"

#include <argp.h>
#include <errno.h>
#include <stdio.h>

#define SECONDS_LIMIT 86400
#define SEEDS_LIMIT 1000000

const char *argp_program_version = "berylvane-bench " BV_VERSION;

static const struct argp_option options[] = {
    {"deployment", 'd', "FILE", 0,
     "JSON file of the deployment to measure (required)", 0},
    {"scenarios", 'f', "FILE", 0, "JSON file of the scenarios (required)", 0},
    {"scenario", 's', "NAME", 0,
     "run only this scenario of the file (default: all)", 0},
    {"build", 'b', "DIRECTORY", 0,
     "folder where the programs are built (default: build)", 0},
    {"work", 'w', "DIRECTORY", 0,
     "existing folder for settings, logs and records (required)", 0},
    {"out", 'o', "DIRECTORY", 0,
     "existing folder for report and plots (required)", 0},
    {"commit", 'c', "ID", 0, "commit to name in the report (default: unknown)",
     0},
    {"seconds", 't', "NUMBER", 0,
     "length of each run; 0: as the scenario sets it (default: 0)", 0},
    {"seeds", 'n', "NUMBER", 0,
     "number of seeds: each variant runs with seeds 1 to NUMBER (default: 3)",
     0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    driver_options_t *arguments = state->input;
    switch (key) {
    case 'd':
        arguments->deployment_path = text;
        return 0;
    case 'f':
        arguments->scenarios_path = text;
        return 0;
    case 's':
        arguments->scenario_name = text;
        return 0;
    case 'b':
        arguments->build_directory = text;
        return 0;
    case 'w':
        arguments->work_directory = text;
        return 0;
    case 'o':
        arguments->out_directory = text;
        return 0;
    case 'c':
        arguments->commit_id = text;
        return 0;
    case 't':
        arguments->seconds =
            bv_number_option("--seconds", text, 0, SECONDS_LIMIT);
        return 0;
    case 'n':
        arguments->seed_count =
            bv_number_option("--seeds", text, 1, SEEDS_LIMIT);
        return 0;
    case ARGP_KEY_END:
        if (arguments->deployment_path == NULL ||
            arguments->scenarios_path == NULL ||
            arguments->work_directory == NULL ||
            arguments->out_directory == NULL) {
            argp_error(state, "--deployment FILE, --scenarios FILE, --work "
                              "DIRECTORY and --out DIRECTORY are needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Runs scenarios with real processes, all variants in turn for each "
           "seed, and prints their results and ratios. bench/run starts this "
           "program with the files of a deployment.",
};

/* Returns the bytes that links carried between regions; 0 without links. */
static json_int_t
cross_region_bytes(const cluster_t *cluster, const json_t *deployment)
{
    json_int_t sum = 0;
    if (!json_is_true(json_object_get(deployment, "links"))) {
        return 0;
    }
    for (size_t i = 0; i < cluster_size(cluster); i++) {
        sum += cluster_link_stat(cluster, i, "far_bytes");
    }
    return sum;
}

/*
 * Starts a deployment and sends its load. Returns the report of the load, a
 * new reference, or NULL if the deployment did not start or the load wrote no
 * report.
 */
static json_t *
run_variant(const driver_options_t *arguments, const json_t *deployment,
            const char *label)
{
    char *run_directory =
        g_build_filename(arguments->work_directory, label, NULL);
    g_mkdir_with_parents(run_directory, 0755);
    cluster_options_t cluster_options = {
        .build_directory = arguments->build_directory,
        .work_directory = run_directory,
        .deployment = deployment,
        .deployment_directory = arguments->work_directory,
    };
    cluster_t *cluster = bench_start_cluster(&cluster_options, label);
    if (cluster == NULL) {
        g_free(run_directory);
        return NULL;
    }
    char *path = g_build_filename(run_directory, "report.json", NULL);
    cluster_run_load(cluster, json_object_get(deployment, "load"), label,
                     path);
    json_t *report = json_load_file(path, 0, NULL);
    json_object_set_new(report, "far_bytes",
                        json_integer(cross_region_bytes(cluster, deployment)));
    if (!cluster_stop(cluster)) {
        fprintf(stderr, "%s: a node failed or did not stop cleanly\n", label);
    }
    g_free(path);
    g_free(run_directory);
    return report;
}

typedef struct {
    const char *name;
    const json_t *scenario;
    /* Lists of results, one for each seed, by variant. */
    json_t *runs;
    /* The load's report of the first seed, by variant. */
    json_t *reports;
} scenario_run_t;

static bool
run_seed(const driver_options_t *arguments, const json_t *deployment,
         const scenario_run_t *run, int64_t seed)
{
    const char *variant;
    json_t *patch;
    json_object_foreach(json_object_get(run->scenario, "variants"), variant,
                        patch) {
        json_t *merged = driver_build_deployment(arguments, deployment,
                                                 run->scenario, variant, seed);
        char *label =
            g_strdup_printf("%s-%s-%d", run->name, variant, (int)seed);
        json_t *report = run_variant(arguments, merged, label);
        g_free(label);
        if (report == NULL) {
            json_decref(merged);
            return false;
        }
        if (json_object_get(run->runs, variant) == NULL) {
            json_object_set_new(run->runs, variant, json_array());
            json_object_set(run->reports, variant, report);
        }
        json_array_append_new(json_object_get(run->runs, variant),
                              driver_measure(run->scenario, merged, report));
        json_decref(report);
        json_decref(merged);
    }
    return true;
}

static bool
run_scenario(const driver_options_t *arguments, const json_t *deployment,
             const char *name, const json_t *scenario, json_t *results)
{
    scenario_run_t run = {name, scenario, json_object(), json_object()};
    bool succeeded = true;
    for (int64_t seed = 1; succeeded && seed <= arguments->seed_count;
         seed++) {
        succeeded = run_seed(arguments, deployment, &run, seed);
    }
    if (succeeded) {
        driver_print_scenario(name, scenario, run.runs);
        driver_write_plot(arguments->out_directory, name, run.reports);
    }
    json_object_set_new(results, name, run.runs);
    json_decref(run.reports);
    return succeeded;
}

static bool
run_all(const driver_options_t *arguments, const json_t *deployment,
        const json_t *scenarios)
{
    json_t *results = json_object();
    const char *name;
    json_t *scenario;
    bool succeeded = true;
    json_object_foreach((json_t *)scenarios, name, scenario) {
        if (arguments->scenario_name == NULL ||
            g_strcmp0(arguments->scenario_name, name) == 0) {
            succeeded &=
                run_scenario(arguments, deployment, name, scenario, results);
        }
    }
    json_t *report =
        json_pack("{s:s, s:s, s:I, s:I, s:I, s:o}", "deployment",
                  arguments->deployment_path, "commit", arguments->commit_id,
                  "seconds", (json_int_t)arguments->seconds, "seeds",
                  (json_int_t)arguments->seed_count, "scale_divisor",
                  (json_int_t)DRIVER_SCALE_DIVISOR, "runs", results);
    char *path =
        g_build_filename(arguments->out_directory, "report.json", NULL);
    succeeded &= json_dump_file(report, path, JSON_INDENT(2)) == 0;
    printf("report: %s\n", path);
    g_free(path);
    json_decref(report);
    return succeeded;
}

/* Prints an error and returns false if no scenario has the name given. */
static bool
is_scenario_known(const driver_options_t *arguments, const json_t *scenarios)
{
    const char *name = arguments->scenario_name;
    if (name == NULL || json_object_get(scenarios, name) != NULL) {
        return true;
    }
    fprintf(stderr, "%s: --scenario %s: no such scenario in %s\n",
            program_invocation_short_name, name, arguments->scenarios_path);
    return false;
}

int
main(int argc, char **argv)
{
    driver_options_t arguments = {
        .build_directory = "build",
        .commit_id = "unknown",
        .seed_count = 3,
    };
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    json_t *deployment = bench_load_json(arguments.deployment_path, NULL);
    json_t *scenarios = bench_load_json(arguments.scenarios_path,
                                        json_object_get(deployment, "words"));
    int status = BV_EXIT_USAGE;
    if (deployment != NULL && scenarios != NULL &&
        is_scenario_known(&arguments, scenarios)) {
        apr_pool_t *pool = bv_program_start();
        bool succeeded = run_all(&arguments, deployment, scenarios);
        bv_program_stop(pool);
        status = succeeded ? BV_EXIT_OK : BV_EXIT_FAILED;
    }
    json_decref(scenarios);
    json_decref(deployment);
    return status;
}
