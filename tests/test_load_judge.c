#include "../load/load.h"

#include "support.h"

#include <stdio.h>

/*
 * The load tool's verdict must count every execution that contradicts an
 * answer. A wrong comparison hides requests that ran twice, were lost or were
 * falsely answered "not-run", or reports a key that two services executed
 * once each as a repeated execution.
 */

#define RECORD_FILE_NAME "record"

typedef struct {
    const char *name;
    /* The targets' record: lines "SERVICE METHOD PATH KEY ...". */
    const char *record;
    const char *key;
    /* Keys of the attempts answered "not-run", separated by spaces. */
    const char *not_run_keys;
    bv_outcome_t outcome;
    /* Whether load_judge() leaves the result marked as correct. */
    bool is_correct_after;
    load_verdict_t verdict;
} judge_case_t;

static const judge_case_t judge_cases[] = {
    {"ran once",
     "orders POST /orders k\n",
     "k",
     "",
     BV_OUTCOME_RAN,
     true,
     {.executions = 1}},
    {"one service ran a key twice",
     "orders POST /orders k\norders POST /orders k\n",
     "k",
     "",
     BV_OUTCOME_RAN,
     false,
     {.executions = 2, .ran_twice = 1}},
    {"words after the key are no part of it",
     "orders POST /orders k 17 gold\norders POST /orders k 18 a customer\n",
     "k",
     "",
     BV_OUTCOME_RAN,
     false,
     {.executions = 2, .ran_twice = 1}},
    {"two services ran a key once each",
     "orders POST /orders k\npayments POST /payments k\n",
     "k",
     "",
     BV_OUTCOME_RAN,
     true,
     {.executions = 2}},
    {"answered ran but not executed",
     "orders POST /orders other\n",
     "k",
     "",
     BV_OUTCOME_RAN,
     true,
     {.executions = 1, .lost = 1}},
    {"answered not-run but executed",
     "orders POST /orders k\n",
     "k",
     "",
     BV_OUTCOME_NOT_RUN,
     true,
     {.executions = 1, .false_not_run = 1}},
    {"last attempt with a node's key answered not-run but executed",
     "orders POST /orders k\n",
     "k",
     "k",
     BV_OUTCOME_NOT_RUN,
     true,
     {.executions = 1, .false_not_run = 1}},
    {"two attempts with a node's keys answered not-run but executed",
     "orders POST /orders j\norders POST /orders k\n",
     "k",
     "j k",
     BV_OUTCOME_NOT_RUN,
     true,
     {.executions = 2, .false_not_run = 2}},
    {"first of two attempts answered not-run but executed",
     "orders POST /orders j\n",
     "k",
     "j k",
     BV_OUTCOME_NOT_RUN,
     true,
     {.executions = 1, .false_not_run = 1}},
    {"request without a key",
     "stock GET /stock/x -\n",
     NULL,
     "",
     BV_OUTCOME_RAN,
     true,
     {.executions = 1}},
};

START_TEST(test_judge)
{
    const judge_case_t *row = &judge_cases[_i];
    char *directory = g_dir_make_tmp("berylvane-XXXXXX", NULL);
    char *path = g_build_filename(directory, RECORD_FILE_NAME, NULL);
    ck_assert(g_file_set_contents(path, row->record, -1, NULL));
    char **not_run_keys = g_strsplit(row->not_run_keys, " ", -1);
    load_result_t result = {
        .is_correct = true,
        .outcome = row->outcome,
        .key = (char *)row->key,
        .not_run_keys = g_ptr_array_new(),
    };
    for (char **key = not_run_keys; *key != NULL; key++) {
        g_ptr_array_add(result.not_run_keys, *key);
    }
    load_run_t run = {.results =
                          g_array_new(FALSE, FALSE, sizeof(load_result_t))};
    g_array_append_val(run.results, result);
    load_verdict_t verdict = {0};
    ck_assert(load_judge(&run, directory, &verdict, NULL));
    ck_assert_uint_eq(verdict.executions, row->verdict.executions);
    ck_assert_uint_eq(verdict.ran_twice, row->verdict.ran_twice);
    ck_assert_uint_eq(verdict.lost, row->verdict.lost);
    ck_assert_uint_eq(verdict.false_not_run, row->verdict.false_not_run);
    ck_assert(g_array_index(run.results, load_result_t, 0).is_correct ==
              row->is_correct_after);
    g_ptr_array_unref(result.not_run_keys);
    g_strfreev(not_run_keys);
    g_array_unref(run.results);
    remove(path);
    remove(directory);
    g_free(path);
    g_free(directory);
}
END_TEST

/*
 * A retry that was not sent must not turn the outcome "ran" or "unknown" of
 * earlier attempts with the same key into "not-run".
 */
typedef struct {
    bool was_sent;
    /* Outcome in the answer to the attempt. */
    bv_outcome_t outcome;
    /* Outcome of the earlier attempts. */
    bv_outcome_t known_outcome;
    bv_outcome_t expected;
} outcome_case_t;

static const outcome_case_t outcome_cases[] = {
    {true, BV_OUTCOME_NOT_RUN, BV_OUTCOME_NOT_RUN, BV_OUTCOME_NOT_RUN},
    {true, BV_OUTCOME_NOT_RUN, BV_OUTCOME_UNKNOWN, BV_OUTCOME_NOT_RUN},
    {true, BV_OUTCOME_RAN, BV_OUTCOME_UNKNOWN, BV_OUTCOME_RAN},
    {false, BV_OUTCOME_NOT_RUN, BV_OUTCOME_NOT_RUN, BV_OUTCOME_NOT_RUN},
    {false, BV_OUTCOME_NOT_RUN, BV_OUTCOME_UNKNOWN, BV_OUTCOME_UNKNOWN},
    {false, BV_OUTCOME_NOT_RUN, BV_OUTCOME_RAN, BV_OUTCOME_RAN},
};

START_TEST(test_outcome)
{
    const outcome_case_t *row = &outcome_cases[_i];
    ck_assert_int_eq(load_outcome_after_attempt(row->was_sent, row->outcome,
                                                row->known_outcome),
                     row->expected);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"judge", test_judge, G_N_ELEMENTS(judge_cases)},
        {"outcome", test_outcome, G_N_ELEMENTS(outcome_cases)},
        {NULL}};
    return support_run("load_judge", tests);
}
