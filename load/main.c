#include "load.h"

#include "berylvane/common/program.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

const char *argp_program_version = "berylvane-load " BV_VERSION;

typedef struct {
    const char *settings_path;
    const char *report_path;
    const char *record_directory;
    const char *label;
    bool requires_all_correct;
    const char *compare_path_a;
    const char *compare_path_b;
} arguments_t;

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0,
     "JSON settings of the load (required unless --compare is given)", 0},
    {"report", 'r', "FILE", 0, "write a JSON report to FILE", 0},
    {"records", 'j', "DIRECTORY", 0,
     "compare the answers with the executions that the targets recorded in "
     "DIRECTORY",
     0},
    {"label", 'l', "WORD", 0, "first word of the summary line (default: load)",
     0},
    {"all-correct", 'a', NULL, 0,
     "exit 1 unless every request got a correct answer", 0},
    {"compare", 'c', "FILE", 0,
     "print the numbers of two reports and their ratios B/A, and exit: "
     "--compare A.json B.json",
     0},
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
        arguments->record_directory = text;
        return 0;
    case 'l':
        arguments->label = text;
        return 0;
    case 'a':
        arguments->requires_all_correct = true;
        return 0;
    case 'c':
        arguments->compare_path_a = text;
        return 0;
    case ARGP_KEY_ARG:
        if (arguments->compare_path_a == NULL ||
            arguments->compare_path_b != NULL) {
            return ARGP_ERR_UNKNOWN;
        }
        arguments->compare_path_b = text;
        return 0;
    case ARGP_KEY_END:
        if (arguments->compare_path_a != NULL) {
            if (arguments->compare_path_b == NULL) {
                argp_error(state, "--compare needs two report files: "
                                  "--compare A.json B.json");
            }
            return 0;
        }
        if (arguments->settings_path == NULL) {
            argp_error(state, "--settings FILE is needed, or --compare A.json "
                              "B.json");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_option,
    .doc = "Sends requests on a fixed schedule and checks every answer. Exits "
           "1 when an answer had a wrong body, or when the targets' records "
           "show that a request answered \"ran\" did not run (lost), that one "
           "answered \"not-run\" ran, or that one ran twice.",
};

static void
count_answers(const load_run_t *run, uint64_t *correct_count,
              uint64_t *wrong_count)
{
    for (guint i = 0; i < run->results->len; i++) {
        const load_result_t *result =
            &g_array_index(run->results, load_result_t, i);
        *correct_count += result->is_correct;
        *wrong_count += result->has_wrong_body;
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
        fprintf(stderr,
                "%s: cannot write the report; check the folder and its "
                "permissions\n",
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
    if (arguments->record_directory != NULL &&
        !load_judge(run, arguments->record_directory, &verdict, &error)) {
        fprintf(stderr,
                "cannot read the targets' records; no report is written: %s\n",
                error->message);
        return BV_EXIT_FAILED;
    }
    uint64_t correct_count = 0;
    uint64_t wrong_count = 0;
    count_answers(run, &correct_count, &wrong_count);
    bool is_written = write_report(arguments, settings, run, &verdict);
    bool is_clean = wrong_count == 0 && verdict.lost == 0 &&
                    verdict.ran_twice == 0 && verdict.false_not_run == 0 &&
                    is_written &&
                    (!arguments->requires_all_correct ||
                     correct_count == run->request_count);
    printf("%s: %s requests=%" G_GUINT64_FORMAT " correct=%" G_GUINT64_FORMAT
           " lost=%" G_GUINT64_FORMAT " ran_twice=%" G_GUINT64_FORMAT "\n",
           arguments->label, is_clean ? "ok" : "failed",
           (guint64)run->request_count, (guint64)correct_count,
           (guint64)verdict.lost, (guint64)verdict.ran_twice);
    if (!is_clean) {
        printf("wrong=%" G_GUINT64_FORMAT " false_not_run=%" G_GUINT64_FORMAT
               "\n",
               (guint64)wrong_count, (guint64)verdict.false_not_run);
    }
    load_run_destroy(run);
    bv_program_stop(pool);
    return is_clean ? BV_EXIT_OK : BV_EXIT_FAILED;
}

int
main(int argc, char **argv)
{
    arguments_t arguments = {.label = "load"};
    load_settings_t settings = {0};
    argp_err_exit_status = BV_EXIT_USAGE;
    argp_parse(&parser, argc, argv, 0, NULL, &arguments);
    if (arguments.compare_path_b != NULL) {
        return load_compare(arguments.compare_path_a, arguments.compare_path_b)
                   ? BV_EXIT_OK
                   : BV_EXIT_USAGE;
    }
    bv_findings_t *findings = bv_findings_create();
    bool is_loaded =
        load_settings_load(arguments.settings_path, &settings, findings);
    bv_findings_print(findings, stderr);
    bv_findings_destroy(findings);
    int status = is_loaded ? run_load(&arguments, &settings) : BV_EXIT_USAGE;
    load_settings_clear(&settings);
    return status;
}
