#include "../load/load.h"

#include "support.h"

#include <stdio.h>

#define RECORD "record"

typedef struct {
    const char *name;
    /* What the targets wrote. */
    const char *record;
    const char *key;
    bv_outcome_t outcome;
    bool good_after;
    load_verdict_t verdict;
} judge_case_t;

static const judge_case_t judge_cases[] = {
    {"ran once",
     "orders POST /orders k\n",
     "k",
     BV_OUTCOME_RAN,
     true,
     {.executions = 1}},
    {"ran twice",
     "orders POST /orders k\norders POST /orders k\n",
     "k",
     BV_OUTCOME_RAN,
     false,
     {.executions = 2, .ran_twice = 1}},
    {"two services",
     "orders POST /orders k\npayments POST /payments k\n",
     "k",
     BV_OUTCOME_RAN,
     true,
     {.executions = 2}},
    {"never ran",
     "orders POST /orders other\n",
     "k",
     BV_OUTCOME_RAN,
     true,
     {.executions = 1, .lost = 1}},
    {"ran though told not",
     "orders POST /orders k\n",
     "k",
     BV_OUTCOME_NOT_RUN,
     true,
     {.executions = 1, .false_not_run = 1}},
    {"a lookup",
     "stock GET /stock/x -\n",
     NULL,
     BV_OUTCOME_RAN,
     true,
     {.executions = 1}},
};

START_TEST(test_judge)
{
    const judge_case_t *row = &judge_cases[_i];
    char *directory = g_dir_make_tmp("berylvane-XXXXXX", NULL);
    char *path = g_build_filename(directory, RECORD, NULL);
    ck_assert(g_file_set_contents(path, row->record, -1, NULL));
    load_result_t result = {
        .is_correct = true,
        .outcome = row->outcome,
        .key = (char *)row->key,
        .not_run_keys = g_ptr_array_new(),
    };
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
              row->good_after);
    g_ptr_array_unref(result.not_run_keys);
    g_array_unref(run.results);
    remove(path);
    remove(directory);
    g_free(path);
    g_free(directory);
}
END_TEST

typedef struct {
    bool taken;
    bv_outcome_t outcome;
    bv_outcome_t known;
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
    ck_assert_int_eq(
        load_outcome_after_attempt(row->taken, row->outcome, row->known),
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
