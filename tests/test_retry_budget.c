#include "berylvane/core/retry_budget.h"

#include "support.h"

/* Retries against first tries, in percent. */
typedef struct {
    uint32_t percent;
    uint32_t firsts;
    uint32_t wanted;
    uint32_t most;
} budget_case_t;

static const budget_case_t budget_cases[] = {
    {10, 1000, 1000, 110},
    {0, 1000, 1000, 10},
    {100, 100, 1000, 110},
    {10, 0, 100, 10},
};

static const bv_retry_reserve_t two = {.tries = 2};

START_TEST(test_budget)
{
    const budget_case_t *row = &budget_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t spent = 0;
    for (uint32_t i = 0; i < MAX(row->firsts, row->wanted); i++) {
        if (i < row->firsts) {
            bv_retry_budgets_earn(budgets, 0, "stock", row->percent);
        }
        spent +=
            i < row->wanted &&
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL);
    }
    ck_assert_uint_le(spent, row->most);
    ck_assert_uint_ge(spent, row->most - 10);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/* Calls of repeated work count against the share, though none is held up. */
typedef struct {
    uint32_t firsts;
    uint32_t repeats;
    uint32_t percent;
    uint32_t most;
} charge_case_t;

static const charge_case_t charge_cases[] = {
    {1000, 0, 10, 102},
    {1000, 50, 10, 52},
    {1000, 100, 10, 2},
    {1000, 200, 10, 2},
};

START_TEST(test_charge)
{
    const charge_case_t *row = &charge_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t spent = 0;
    uint32_t charged = 0;
    bv_retry_budgets_set_reserve(budgets, &two);
    for (uint32_t i = 0; i < row->firsts; i++) {
        bv_retry_budgets_earn(budgets, 0, "stock", row->percent);
        if (charged * row->firsts < i * row->repeats) {
            bv_retry_budgets_charge(budgets, 0, "stock");
            charged++;
        }
        spent +=
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL);
    }
    ck_assert_uint_le(spent, row->most);
    ck_assert_uint_ge(spent + 3, row->most);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/* Nodes that share a reserve spend no more than it together at once. */
typedef struct {
    bv_retry_reserve_t reserve;
    uint32_t each;
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
    ck_assert_uint_eq(spent, row->each);
    /* What is earned can be spent even where the part is below one try. */
    for (int i = 0; i < 10; i++) {
        bv_retry_budgets_earn(budgets, 0, "stock", 10);
    }
    ck_assert(
        bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL));
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/*
 * A service that refuses half of its calls: both classes ask for more tries
 * than there are, and critical work gets nearly all of them.
 */
typedef struct {
    bool critical;
    uint32_t normal_most;
    uint32_t least;
} turn_case_t;

static const turn_case_t turn_cases[] = {{true, 1, 178}, {false, 122, 119}};

START_TEST(test_critical_first)
{
    const turn_case_t *row = &turn_cases[_i];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    uint32_t normal = 0;
    uint32_t critical = 0;
    bv_retry_budgets_set_reserve(budgets, &two);
    for (int i = 0; i < 1000; i++) {
        bv_retry_budgets_earn(budgets, 0, "stock", 18);
        normal +=
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_NORMAL);
        critical +=
            row->critical &&
            bv_retry_budgets_try_spend(budgets, 0, "stock", BV_CLASS_CRITICAL);
    }
    ck_assert_uint_le(normal, row->normal_most);
    ck_assert_uint_ge(normal + critical, row->least);
    ck_assert_uint_le(normal + critical, 182);
    bv_retry_budgets_destroy(budgets);
}
END_TEST

/* When tries that were earned in the first second can be spent. */
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
    bv_retry_budgets_set_reserve(budgets, &two);
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
 * In any span of a window's length no more is spent than was earned in spans
 * of that length about it, though the service fails by turns.
 */
START_TEST(test_any_window)
{
    enum {
        STEPS = 3000,
        STEP_US = 20000,
        SPAN = 500
    };
    static uint32_t spent[STEPS];
    bv_retry_budgets_t *budgets = bv_retry_budgets_create();
    bv_retry_budgets_set_reserve(budgets, &two);
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
    for (int first = 0; first + SPAN <= STEPS; first++) {
        uint32_t sum = 0;
        for (int i = first; i < first + SPAN; i++) {
            sum += spent[i];
        }
        ck_assert_uint_le(sum, SPAN * 20 / 100 + 2);
    }
    bv_retry_budgets_destroy(budgets);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"budget", test_budget, G_N_ELEMENTS(budget_cases)},
        {"charge", test_charge, G_N_ELEMENTS(charge_cases)},
        {"critical_first", test_critical_first, G_N_ELEMENTS(turn_cases)},
        {"window", test_window, G_N_ELEMENTS(window_cases)},
        {"any_window", test_any_window, 1},
        {"shared_reserve", test_shared_reserve, G_N_ELEMENTS(shared_cases)},
        {NULL}};
    return support_run("budget", tests);
}
