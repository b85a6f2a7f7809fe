#include "soak.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/findings.h"
#include "berylvane/common/number_option.h"
#include "berylvane/common/program.h"

#include <argp.h>
#include <stdio.h>
#include <unistd.h>

#define LOAD_WARMUP_US BV_US_PER_S
#define END_RETRY_INTERVAL_US (BV_US_PER_S / 10)
#define END_RETRIES 600
/* Seconds that the load lasts beyond the time in which fault series begin. */
#define LOAD_MARGIN_S 4
#define SECONDS_LIMIT 86400

typedef struct {
    uint32_t seed;
    uint32_t seeds;
    int64_t seconds;
    const char *regressions;
} arguments_t;

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "the first seed", 0},
    {"seeds", 'n', "N", 0, "number of seeds to run, one after the other", 0},
    {"seconds", 't', "N", 0,
     "seconds within which faults begin, for each seed", 0},
    {"regressions", 'r', "FILE", 0,
     "first run the seeds of FILE, a line \"SEED SECONDS CAUSE\" each", 0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    switch (key) {
    case 's':
        arguments->seed =
            (uint32_t)bv_number_option("--seed", text, 0, G_MAXUINT32);
        return 0;
    case 'n':
        arguments->seeds =
            (uint32_t)bv_number_option("--seeds", text, 0, G_MAXINT32);
        return 0;
    case 't':
        arguments->seconds =
            bv_number_option("--seconds", text, 1, SECONDS_LIMIT);
        return 0;
    case 'r':
        arguments->regressions = text;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc =
        "Runs a deployment on the loopback interface under random faults and "
        "checks the guarantees of berylvane. A seed always gives the same "
        "plan of faults.",
};

typedef struct {
    soak_t *soak;
    json_t *settings;
    char *report_path;
} load_t;

static gpointer
run_load(gpointer data)
{
    load_t *load = data;
    return GINT_TO_POINTER(cluster_run_load(
        load->soak->cluster, load->settings, "soak", load->report_path));
}

static void
run_step(soak_t *soak, const soak_step_t *step)
{
    const soak_fault_t *fault = &soak_faults[step->fault];
    printf("%6.2f s %s: %s%s\n", (double)step->at_us / BV_US_PER_S,
           fault->is_platform_fault
               ? "all"
               : cluster_instance_name(soak->cluster, step->instance),
           fault->name, step->begins ? "" : ", over");
    if (step->begins) {
        soak->faults++;
        fault->begin(soak, step->instance, fault->json);
        return;
    }
    fault->end(soak, step->instance);
}

/* Ends every fault at every instance, also faults that have ended before. */
static void
end_all_faults(soak_t *soak)
{
    for (size_t i = 0; i < cluster_size(soak->cluster); i++) {
        for (size_t fault = 0; fault < soak_fault_count; fault++) {
            int tries = 0;
            while (!soak_faults[fault].end(soak, i)) {
                if (tries++ == END_RETRIES) {
                    soak_finding(soak, "%s: the fault \"%s\" cannot be ended",
                                 cluster_instance_name(soak->cluster, i),
                                 soak_faults[fault].name);
                    break;
                }
                usleep(END_RETRY_INTERVAL_US);
            }
        }
    }
}

static void
run_plan(soak_t *soak, const GArray *plan)
{
    int64_t started_us = bv_clock_now_us();
    for (guint i = 0; i < plan->len; i++) {
        const soak_step_t *step = &g_array_index(plan, soak_step_t, i);
        int64_t left_us = started_us + step->at_us - bv_clock_now_us();
        if (left_us > 0) {
            usleep((useconds_t)left_us);
        }
        run_step(soak, step);
        soak_check_processes(soak);
    }
    end_all_faults(soak);
}

static void
run_plan_under_load(soak_t *soak, const json_t *deployment, const char *work,
                    const GArray *plan, int64_t seconds)
{
    load_t load = {
        .soak = soak,
        .settings = json_deep_copy(json_object_get(deployment, "load")),
        .report_path = g_build_filename(work, "report.json", NULL),
    };
    json_object_set_new(load.settings, "seconds",
                        json_integer(seconds + LOAD_MARGIN_S));
    GThread *sender = g_thread_new("load", run_load, &load);
    GThread *watcher =
        g_thread_new("generations", soak_watch_generations, soak);
    usleep(LOAD_WARMUP_US);
    run_plan(soak, plan);
    if (GPOINTER_TO_INT(g_thread_join(sender)) != 0) {
        soak_finding(soak, "answers contradict the targets' records, see %s",
                     load.report_path);
    }
    g_atomic_int_set(&soak->stopping, 1);
    g_thread_join(watcher);
    soak_check_processes(soak);
    soak_check_recovery(soak);
    soak_check_records(soak);
    json_decref(load.settings);
    g_free(load.report_path);
}

static void
run_cluster(soak_t *soak, const json_t *deployment, const char *work,
            uint32_t seed, int64_t seconds)
{
    GError *error = NULL;
    cluster_options_t cluster = {
        .build_directory = SOAK_BUILD,
        .work_directory = work,
        .deployment = deployment,
        .deployment_directory = work,
    };
    soak->cluster = cluster_start(&cluster, &error);
    if (soak->cluster == NULL) {
        soak_finding(soak, "the deployment was not started: %s",
                     error->message);
        g_error_free(error);
        return;
    }
    GArray *plan =
        soak_plan(seed, cluster_size(soak->cluster), seconds * BV_US_PER_S);
    run_plan_under_load(soak, deployment, work, plan, seconds);
    g_array_unref(plan);
    if (!cluster_stop(soak->cluster)) {
        soak_finding(soak, "a node did not exit with status 0 when stopped");
    }
}

static void
write_bases(soak_t *soak, const json_t *deployment, const char *work)
{
    soak->base = soak_write_base(deployment, work, "base", false);
    soak->base_changed =
        soak_write_base(deployment, work, "base_changed", false);
    soak->base_keys = soak_write_base(deployment, work, "base", true);
    soak->base_changed_keys =
        soak_write_base(deployment, work, "base_changed", true);
}

static void
clear(soak_t *soak)
{
    g_ptr_array_unref(soak->findings);
    g_mutex_clear(&soak->mutex);
    g_free(soak->base);
    g_free(soak->base_changed);
    g_free(soak->base_keys);
    g_free(soak->base_changed_keys);
}

/* Returns true if no guarantee was violated. */
static bool
run_seed(const json_t *deployment, uint32_t seed, int64_t seconds)
{
    soak_t soak = {
        .accounts = json_object_get(deployment, "accounts"),
        .keys_changed_us = INT64_MAX,
        .findings = g_ptr_array_new_with_free_func(g_free),
    };
    g_mutex_init(&soak.mutex);
    char *work = g_dir_make_tmp("berylvane-soak-XXXXXX", NULL);
    write_bases(&soak, deployment, work);
    printf("seed %u, %d s, logs in %s\n", seed, (int)seconds, work);
    run_cluster(&soak, deployment, work, seed, seconds);
    bool passed = soak.findings->len == 0;
    printf("seed %u: %s, %u faults, %u findings\n", seed,
           passed ? "ok" : "failed", soak.faults, soak.findings->len);
    clear(&soak);
    g_free(work);
    return passed;
}

static int
run_regressions(const json_t *deployment, const char *path)
{
    char *text = NULL;
    int failed = 0;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        fprintf(stderr, "%s: cannot read the file of seeds\n", path);
        return 1;
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        unsigned int seed;
        unsigned int seconds;
        if (sscanf(*line, "%u %u", &seed, &seconds) == 2) {
            failed += !run_seed(deployment, seed, seconds);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return failed;
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {.seed = 1, .seeds = 1, .seconds = 8};
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    bv_program_start();
    setvbuf(stdout, NULL, _IOLBF, 0);
    bv_findings_t *findings = bv_findings_create();
    json_t *deployment = bv_json_load(SOAK_SOURCE "/soak.json", findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    if (deployment == NULL) {
        return BV_EXIT_USAGE;
    }
    int failed = arguments.regressions != NULL
                     ? run_regressions(deployment, arguments.regressions)
                     : 0;
    for (uint32_t i = 0; i < arguments.seeds; i++) {
        failed += !run_seed(deployment, arguments.seed + i, arguments.seconds);
    }
    json_decref(deployment);
    printf("%d seeds failed\n", failed);
    return failed == 0 ? BV_EXIT_OK : BV_EXIT_FAILED;
}
