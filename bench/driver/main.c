#include "driver.h"

#include "berylvane/common/program.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "berylvane-bench " BV_VERSION;

static const struct argp_option options[] = {
    {"deployment", 'd', "FILE", 0, "the deployment to measure", 0},
    {"scenarios", 'f', "FILE", 0, "the scenarios", 0},
    {"scenario", 's', "NAME", 0, "run this one alone", 0},
    {"build", 'b', "DIRECTORY", 0, "where the programs are built", 0},
    {"work", 'w', "DIRECTORY", 0, "settings, logs and records go here", 0},
    {"out", 'o', "DIRECTORY", 0, "report and plots go here", 0},
    {"commit", 'c', "ID", 0, "noted in the report", 0},
    {"seconds", 't', "NUMBER", 0, "length of each run", 0},
    {"seeds", 'n', "NUMBER", 0, "how many seeds; 1, 2, ...", 0},
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
        arguments->seconds = strtol(text, NULL, 10);
        return 0;
    case 'n':
        arguments->seed_count = strtol(text, NULL, 10);
        return 0;
    case ARGP_KEY_END:
        if (arguments->deployment_path == NULL ||
            arguments->scenarios_path == NULL ||
            arguments->work_directory == NULL ||
            arguments->out_directory == NULL) {
            argp_error(state, "--deployment, --scenarios, --work and --out "
                              "are needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Runs the scenarios with real processes, all variants in turn for "
           "each seed, and prints ratios. Start it by bench/run.",
};

static json_int_t
far_bytes(const cluster_t *cluster, const json_t *deployment)
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

/* Starts a deployment, sends its load; the report, or NULL. */
static json_t *
run_variant(const driver_options_t *arguments, const json_t *deployment,
            const char *label)
{
    GError *error = NULL;
    char *records = g_build_filename(arguments->work_directory, label, NULL);
    g_mkdir_with_parents(records, 0755);
    cluster_options_t start = {
        .build_directory = arguments->build_directory,
        .work_directory = records,
        .deployment = deployment,
        .deployment_directory = arguments->work_directory,
    };
    cluster_t *cluster = cluster_start(&start, &error);
    if (cluster == NULL) {
        fprintf(stderr, "%s: %s\n", label, error->message);
        g_error_free(error);
        g_free(records);
        return NULL;
    }
    char *path = g_build_filename(records, "report.json", NULL);
    cluster_run_load(cluster, json_object_get(deployment, "load"), label,
                     path);
    json_t *report = json_load_file(path, 0, NULL);
    json_object_set_new(report, "far_bytes",
                        json_integer(far_bytes(cluster, deployment)));
    if (!cluster_stop(cluster)) {
        fprintf(stderr, "%s: a process did not stop cleanly\n", label);
    }
    g_free(path);
    g_free(records);
    return report;
}

typedef struct {
    const char *name;
    const json_t *scenario;
    json_t *runs;
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
    bool good = true;
    for (int64_t seed = 1; good && seed <= arguments->seed_count; seed++) {
        good = run_seed(arguments, deployment, &run, seed);
    }
    if (good) {
        driver_print_scenario(name, scenario, run.runs);
        driver_write_plot(arguments->out_directory, name, run.reports);
    }
    json_object_set_new(results, name, run.runs);
    json_decref(run.reports);
    return good;
}

static bool
run_all(const driver_options_t *arguments, const json_t *deployment,
        const json_t *scenarios)
{
    json_t *results = json_object();
    const char *name;
    json_t *scenario;
    bool good = true;
    json_object_foreach((json_t *)scenarios, name, scenario) {
        if (arguments->scenario_name == NULL ||
            g_strcmp0(arguments->scenario_name, name) == 0) {
            good &=
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
    good &= json_dump_file(report, path, JSON_INDENT(2)) == 0;
    printf("report: %s\n", path);
    g_free(path);
    json_decref(report);
    return good;
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
    json_t *deployment = driver_load_json(arguments.deployment_path, NULL);
    json_t *scenarios = driver_load_json(arguments.scenarios_path,
                                         json_object_get(deployment, "words"));
    if (deployment == NULL || scenarios == NULL) {
        return BV_EXIT_USAGE;
    }
    apr_pool_t *pool = bv_program_start();
    bool good = run_all(&arguments, deployment, scenarios);
    bv_program_stop(pool);
    json_decref(scenarios);
    json_decref(deployment);
    return good ? BV_EXIT_OK : BV_EXIT_FAILED;
}
