#include "berylvane/core/retry_budget.h"

#include "support.h"

/* First attempts, requested retries, and how many of these are allowed. */
typedef struct {
    uint32_t percent;
    uint32_t first_attempts;
    uint32_t requested_retries;
    uint32_t most_spent;
} budget_case_t;

static const budget_case_t budget_cases[] = {
    {10, 1000, 1000, 110},
    {0, 1000, 1000, 10},
    {100, 100, 1000, 110},
    {10, 0, 100, 10},
};

static const bv_retry_reserve_t reserve_of_two = {.retries_per_node = 2};

START_TEST(test_budget)
{
    const budget_case_t *row = &budget_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t spent = 0;
    for (uint32_t i = 0; i < MAX(row->first_attempts, row->requested_retries);
         i++) {
        if (i < row->first_attempts) {
            bv_retry_budgets_earn(budgets, 0, "stock", row->percent);
        }
        spent +=
            i < row->requested_retries &&
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL);
    }
    ck_assert_uint_le(spent, row->most_spent);
    ck_assert_uint_ge(spent, row->most_spent - 10);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/*
 * Retries made upstream are never refused, but must reduce the retries that
 * are allowed here.
 */
typedef struct {
    uint32_t first_attempts;
    uint32_t upstream_retries;
    uint32_t percent;
    uint32_t most_spent;
} upstream_case_t;

static const upstream_case_t upstream_cases[] = {
    {1000, 0, 10, 102},
    {1000, 50, 10, 52},
    {1000, 100, 10, 2},
    {1000, 200, 10, 2},
};

START_TEST(test_upstream_retries)
{
    const upstream_case_t *row = &upstream_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t spent = 0;
    uint32_t charged = 0;
    bv_retry_budgets_set_reserve(budgets, &reserve_of_two);
    for (uint32_t i = 0; i < row->first_attempts; i++) {
        bv_retry_budgets_earn(budgets, 0, "stock", row->percent);
        if (charged * row->first_attempts < i * row->upstream_retries) {
            bv_retry_budgets_charge(budgets, 0, "stock");
            charged++;
        }
        spent +=
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL);
    }
    ck_assert_uint_le(spent, row->most_spent);
    ck_assert_uint_ge(spent + 3, row->most_spent);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/*
 * Nodes that share a reserve must not spend more than the reserve together.
 * Each row has the reserve of one node and what that node can spend.
 */
typedef struct {
    bv_retry_reserve_t reserve;
    uint32_t spent_by_node;
} shared_case_t;

static const shared_case_t shared_cases[] = {
    {{2, 48, 24}, 2},  {{2, 90, 61}, 1}, {{2, 48, 1600}, 0}, {{2, 48, 1}, 2},
    {{50, 48, 1}, 48}, {{2, 48, 0}, 2},  {{3, 0, 24}, 3},
};

START_TEST(test_shared_reserve)
{
    const shared_case_t *row = &shared_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t spent = 0;
    bv_retry_budgets_set_reserve(budgets, &row->reserve);
    while (
        bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL)) {
        spent++;
    }
    ck_assert_uint_eq(spent, row->spent_by_node);
    /* Earned retries can be spent even if the node's part of the reserve is
     * below one. */
    for (int i = 0; i < 10; i++) {
        bv_retry_budgets_earn(budgets, 0, "stock", 10);
    }
    ck_assert(
        bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL));
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/*
 * Guards against a budget that normal work uses up. A service fails many
 * calls, and both classes request more retries than the budget allows:
 * critical work must get nearly all of them. Without critical work, normal
 * work may use its part.
 */
typedef struct {
    bool has_critical;
    uint32_t most_normal_spent;
    uint32_t least_spent;
} class_case_t;

static const class_case_t class_cases[] = {{true, 1, 178}, {false, 122, 119}};

START_TEST(test_critical_first)
{
    const class_case_t *row = &class_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t normal_spent = 0;
    uint32_t critical_spent = 0;
    bv_retry_budgets_set_reserve(budgets, &reserve_of_two);
    for (int i = 0; i < 1000; i++) {
        bv_retry_budgets_earn(budgets, 0, "stock", 18);
        normal_spent +=
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_NORMAL);
        critical_spent +=
            row->has_critical &&
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL);
    }
    ck_assert_uint_le(normal_spent, row->most_normal_spent);
    ck_assert_uint_ge(normal_spent + critical_spent, row->least_spent);
    ck_assert_uint_le(normal_spent + critical_spent, 182);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/* Retries that can be spent some time after 100 were earned at once. */
typedef struct {
    int64_t after_s;
    uint32_t spent;
} window_case_t;

static const window_case_t window_cases[] = {
    {0, 102}, {5, 102}, {9, 102}, {10, 2}, {30, 2}};

START_TEST(test_window)
{
    const window_case_t *row = &window_cases[_i];
    int64_t now_us = INT64_C(1000000) * 1000;
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t spent = 0;
    bv_retry_budgets_set_reserve(budgets, &reserve_of_two);
    for (int i = 0; i < 1000; i++) {
        bv_retry_budgets_earn(budgets, now_us, "stock", 10);
    }
    now_us += row->after_s * 1000000;
    while (bv_retry_budgets_try_spend(budgets, now_us, "stock",
                                      BV_CLASS_CRITICAL)) {
        spent++;
    }
    ck_assert_uint_eq(spent, row->spent);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/*
 * Guards against bursts around the end of a window. The service fails from
 * time to time. In any span of a window's length, no more retries may be spent
 * than such a span earns, plus the reserve.
 */
START_TEST(test_any_window)
{
    enum {
        STEPS = 3000,
        STEP_US = 20000,
        WINDOW_STEPS = 500
    };
    static uint32_t spent[STEPS];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    bv_retry_budgets_set_reserve(budgets, &reserve_of_two);
    for (int i = 0; i < STEPS; i++) {
        int64_t now_us = (int64_t)i * STEP_US;
        bv_retry_budgets_earn(budgets, now_us, "stock", 20);
        spent[i] = 0;
        while (i / 100 % 3 == 0 &&
               bv_retry_budgets_try_spend(budgets, now_us, "stock",
                                          BV_CLASS_CRITICAL)) {
            spent[i]++;
        }
    }
    for (int first = 0; first + WINDOW_STEPS <= STEPS; first++) {
        uint32_t sum = 0;
        for (int i = first; i < first + WINDOW_STEPS; i++) {
            sum += spent[i];
        }
        ck_assert_uint_le(sum, WINDOW_STEPS * 20 / 100 + 2);
    }
    bv_retry_budgets_destroy(budgets);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"budget", test_budget, G_N_ELEMENTS(budget_cases)},
        {"upstream_retries", test_upstream_retries,
         G_N_ELEMENTS(upstream_cases)},
        {"critical_first", test_critical_first, G_N_ELEMENTS(class_cases)},
        {"window", test_window, G_N_ELEMENTS(window_cases)},
        {"any_window", test_any_window, 1},
        {"shared_reserve", test_shared_reserve, G_N_ELEMENTS(shared_cases)},
        {NULL}};
    return support_run("budget", tests);
}
