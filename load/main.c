#include "load.h"

#include "berylvane/common/program.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "berylvane-load " BV_VERSION;

typedef struct {
    const char *settings_path;
    const char *report_path;
    const char *records;
    const char *label;
    bool all_correct;
    const char *compare_a;
    const char *compare_b;
} arguments_t;

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "JSON settings of the load", 0},
    {"report", 'r', "FILE", 0, "write a JSON report", 0},
    {"records", 'j', "DIRECTORY", 0,
     "judge the answers by the targets' records in DIRECTORY", 0},
    {"label", 'l', "WORD", 0, "first word of the closing line", 0},
    {"all-correct", 'a', NULL, 0, "fail unless every answer was correct", 0},
    {"compare", 'c', "FILE", 0,
     "print ratios of two reports: --compare A.json B.json", 0},
    {0}};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    arguments_t *arguments = state->input;
    switch (key) {
    case 's':
        arguments->settings_path = text;
        return 0;
    case 'r':
        arguments->report_path = text;
        return 0;
    case 'j':
        arguments->records = text;
        return 0;
    case 'l':
        arguments->label = text;
        return 0;
    case 'a':
        arguments->all_correct = true;
        return 0;
    case 'c':
        arguments->compare_a = text;
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->compare_a == NULL || arguments->compare_b != NULL) {
            return ARGP_ERR_UNKNOWN;
        }
        arguments->compare_b = text;
        return 0;
    case ARGP_KEY_END:
        if (arguments->compare_a != NULL) {
            if (arguments->compare_b == NULL) {
                argp_error(state, "--compare needs two reports");
            }
            return 0;
        }
        if (arguments->settings_path == NULL) {
            argp_error(state, "--settings is needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Sends open-loop load, checks every answer and reports. Exits 1 "
           "when an answer was wrong, lost, run twice or falsely not-run.",
};

static void
count(const load_run_t *run, uint64_t *good, uint64_t *wrong)
{
    for (guint i = 0; i < run->results->len; i++) {
        const load_result_t *result =
            &g_array_index(run->results, load_result_t, i);
        *good += result->is_correct;
        *wrong += result->has_wrong_body;
    }
}

static json_t *
render_verdict(const load_verdict_t *verdict)
{
    return json_pack("{s:I, s:I, s:I, s:I}", "executions",
                     (json_int_t)verdict->executions, "ran_twice",
                     (json_int_t)verdict->ran_twice, "lost",
                     (json_int_t)verdict->lost, "false_not_run",
                     (json_int_t)verdict->false_not_run);
}

static bool
write_report(const arguments_t *arguments, const load_settings_t *settings,
             const load_run_t *run, const load_verdict_t *verdict)
{
    if (arguments->report_path == NULL) {
        return true;
    }
    json_t *report = load_report(settings, run);
    json_object_set_new(report, "verdict", render_verdict(verdict));
    int failed = json_dump_file(report, arguments->report_path,
                                JSON_INDENT(2) | JSON_SORT_KEYS);
    json_decref(report);
    if (failed != 0) {
        fprintf(stderr, "%s: cannot write the report\n",
                arguments->report_path);
    }
    return failed == 0;
}

static int
run_load(const arguments_t *arguments, const load_settings_t *settings)
{
    GError *error = NULL;
    apr_pool_t *pool = bv_program_start();
    load_run_t *run = load_run(settings, pool);
    load_verdict_t verdict = {0};
    if (arguments->records != NULL &&
        !load_judge(run, arguments->records, &verdict, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return BV_EXIT_FAILED;
    }
    uint64_t good = 0;
    uint64_t wrong = 0;
    count(run, &good, &wrong);
    bool written = write_report(arguments, settings, run, &verdict);
    bool clean = wrong == 0 && verdict.lost == 0 && verdict.ran_twice == 0 &&
                 verdict.false_not_run == 0 && written &&
                 (!arguments->all_correct || good == run->request_count);
    printf("%s: %s requests=%" G_GUINT64_FORMAT " correct=%" G_GUINT64_FORMAT
           " lost=%" G_GUINT64_FORMAT " ran_twice=%" G_GUINT64_FORMAT "\n",
           arguments->label, clean ? "ok" : "failed",
           (guint64)run->request_count, (guint64)good, (guint64)verdict.lost,
           (guint64)verdict.ran_twice);
    if (!clean) {
        printf("wrong=%" G_GUINT64_FORMAT " false_not_run=%" G_GUINT64_FORMAT
               "\n",
               (guint64)wrong, (guint64)verdict.false_not_run);
    }
    load_run_destroy(run);
    bv_program_stop(pool);
    return clean ? BV_EXIT_OK : BV_EXIT_FAILED;
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {.label = "load"};
    load_settings_t settings = {0};
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    if (arguments.compare_b != NULL) {
        return load_compare(arguments.compare_a, arguments.compare_b)
                   ? BV_EXIT_OK
                   : BV_EXIT_USAGE;
    }
    bv_findings_t *findings = bv_findings_create();
    bool good =
        load_settings_load(arguments.settings_path, &settings, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    int status = good ? run_load(&arguments, &settings) : BV_EXIT_USAGE;
    load_settings_clear(&settings);
    return status;
}
