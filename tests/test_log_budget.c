#include "berylvane/core/log_budget.h"
#include "support.h"

#define US_PER_S 1000000

typedef struct {
    bv_log_class_t log_class;
    int64_t offered_per_s;
    /* Most lines that may be logged in ten seconds. */
    uint64_t most_logged;
} case_t;

static const case_t cases[] = {
    {BV_LOG_CLASS_SUCCESS, 1000, 20 * 10 + 40},
    {BV_LOG_CLASS_REFUSAL, 5000, 100 * 10 + 200},
    {BV_LOG_CLASS_FAILURE, 5000, 200 * 10 + 400},
    {BV_LOG_CLASS_INVALID_INPUT, 5000, 5 * 10 + 10},
};

/* Lines beyond the rate of their class must be suppressed and counted. */
START_TEST(test_bound)
{
    const case_t *row = &cases[_i];
    bv_log_budget_t budget = {0};
    uint64_t logged = 0;
    int64_t offered = 10 * row->offered_per_s;
    for (int64_t i = 0; i < offered; i++) {
        logged += bv_log_budget_try_consume(
            &budget, 5 * US_PER_S + i * US_PER_S / row->offered_per_s,
            row->log_class);
    }
    ck_assert_uint_le(logged, row->most_logged);
    ck_assert_uint_eq(logged + budget.suppressed[row->log_class],
                      (uint64_t)offered);
}
END_TEST

/* A flood of lines of one class must not suppress lines of another. */
START_TEST(test_classes)
{
    bv_log_budget_t budget = {0};
    for (int i = 0; i < 10000; i++) {
        bv_log_budget_try_consume(&budget, US_PER_S, BV_LOG_CLASS_SUCCESS);
    }
    ck_assert(
        bv_log_budget_try_consume(&budget, US_PER_S, BV_LOG_CLASS_FAILURE));
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"bound", test_bound, G_N_ELEMENTS(cases)},
                                    {"classes", test_classes, 1},
                                    {NULL}};
    return support_run("log_budget", tests);
}
