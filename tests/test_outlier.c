#include "router_fixture.h"
#include "support.h"

#include <stdio.h>

#define SEED 11
#define US_PER_MS 1000
#define SIBLINGS 6
#define CALLS 60000
#define P99_INDEX 59400
#define SLOW_FACTOR 10

/* Result of a run with six siblings, one of which is slower by a factor. */
typedef struct {
    double p99_us;
    uint32_t calls_to_slow;
    uint32_t ejected;
} straggler_t;

static gint
compare_latency(gconstpointer left, gconstpointer right)
{
    int64_t a = *(const int64_t *)left;
    int64_t b = *(const int64_t *)right;
    return a < b ? -1 : a > b;
}

static straggler_t
run_straggler(guint32 seed, int64_t factor)
{
    GRand *random = g_rand_new_with_seed(seed);
    bv_router_t *router = router_fixture_create(random);
    GArray *latencies = g_array_new(FALSE, FALSE, sizeof(int64_t));
    straggler_t result = {0};
    for (uint32_t i = 0; i < SIBLINGS; i++) {
        bv_member_t member = router_fixture_member(i, 0, 0);
        bv_router_update(router, &member);
    }
    bv_pick_request_t request = {.service = "service-0", .priority = 150};
    for (uint32_t i = 0; i < CALLS; i++) {
        bv_picked_t picked;
        bv_reason_t reason;
        int64_t now_us = (int64_t)(i + 1) * US_PER_MS;
        bv_router_pick(router, now_us, &request, &picked, &reason);
        bool slow = router_fixture_member_number(&picked) == 0;
        int64_t latency_us = g_rand_int_range(random, 500, 1500);
        latency_us *= slow ? factor : 1;
        bv_feedback_t feedback = {
            .answered = true,
            .outcome = BV_OUTCOME_RAN,
            .latency_us = latency_us,
        };
        bv_router_settle(router, now_us, picked.name, &feedback);
        result.calls_to_slow += slow;
        g_array_append_val(latencies, latency_us);
        result.ejected =
            MAX(result.ejected,
                bv_router_count_ejected(router, now_us, request.service));
    }
    g_array_sort(latencies, compare_latency);
    result.p99_us = (double)g_array_index(latencies, int64_t, P99_INDEX);
    g_array_unref(latencies);
    bv_router_destroy(router);
    g_rand_free(random);
    return result;
}

/*
 * Guards against one slow member that raises the latency of the whole service:
 * the 99th percentile may be at most 1.5 times that without a slow member. The
 * slow member must still be probed, and without one no member may be ejected.
 */
START_TEST(test_straggler)
{
    guint32 seed = support_random_run((guint32)(SEED + _i), 1).seed;
    straggler_t without = run_straggler(seed, 1);
    straggler_t with = run_straggler(seed, SLOW_FACTOR);
    printf("p99 %.0f us without slow member, %.0f us with, %u of %u calls to "
           "it\n",
           without.p99_us, with.p99_us, with.calls_to_slow, CALLS);
    ck_assert(with.p99_us <= 1.5 * without.p99_us);
    ck_assert_uint_gt(with.calls_to_slow, 1);
    ck_assert_uint_eq(without.ejected, 0);
}
END_TEST

/*
 * Number of members whose calls fail during the first half of the run, and the
 * number that must be ejected: at most a third. After the failures end, all
 * must return, and member 0 must receive calls again.
 */
typedef struct {
    uint32_t failing;
    uint32_t ejected;
} failing_case_t;

static const failing_case_t failing_cases[] = {{0, 0}, {1, 1}, {2, 2}, {6, 2}};

START_TEST(test_failing)
{
    const failing_case_t *row = &failing_cases[_i];
    GRand *random = g_rand_new_with_seed(SEED);
    bv_router_t *router = router_fixture_create(random);
    uint32_t most_ejected = 0;
    uint32_t calls_after_recovery = 0;
    for (uint32_t i = 0; i < SIBLINGS; i++) {
        bv_member_t member = router_fixture_member(i, 0, 0);
        bv_router_update(router, &member);
    }
    bv_pick_request_t request = {.service = "service-0", .priority = 150};
    for (uint32_t i = 0; i < 2 * CALLS; i++) {
        bv_picked_t picked;
        bv_reason_t reason;
        int64_t now_us = (int64_t)(i + 1) * US_PER_MS;
        bv_router_pick(router, now_us, &request, &picked, &reason);
        bool is_failing =
            router_fixture_member_number(&picked) < row->failing && i < CALLS;
        bv_feedback_t feedback = {
            .answered = true,
            .outcome = is_failing ? BV_OUTCOME_UNKNOWN : BV_OUTCOME_RAN,
            .latency_us = g_rand_int_range(random, 500, 1500),
        };
        bv_router_settle(router, now_us, picked.name, &feedback);
        most_ejected =
            MAX(most_ejected,
                bv_router_count_ejected(router, now_us, request.service));
        calls_after_recovery += i > 2 * CALLS - 10000 &&
                                router_fixture_member_number(&picked) == 0;
    }
    ck_assert_uint_eq(most_ejected, row->ejected);
    ck_assert_uint_eq(bv_router_count_ejected(router, 2 * CALLS * US_PER_MS,
                                              request.service),
                      0);
    ck_assert_uint_gt(calls_after_recovery, 1000);
    bv_router_destroy(router);
    g_rand_free(random);
}
END_TEST

/* Members that all become slow together must not be ejected. */
START_TEST(test_all_slow_is_no_outlier)
{
    GRand *random = g_rand_new_with_seed(SEED);
    bv_router_t *router = router_fixture_create(random);
    for (uint32_t i = 0; i < SIBLINGS; i++) {
        bv_member_t member = router_fixture_member(i, 0, 0);
        bv_router_update(router, &member);
    }
    bv_pick_request_t request = {.service = "service-0", .priority = 150};
    for (uint32_t i = 0; i < CALLS; i++) {
        bv_picked_t picked;
        bv_reason_t reason;
        int64_t now_us = (int64_t)(i + 1) * US_PER_MS;
        bv_router_pick(router, now_us, &request, &picked, &reason);
        bv_feedback_t feedback = {
            .answered = true,
            .outcome = BV_OUTCOME_RAN,
            .latency_us = g_rand_int_range(random, 500, 1500) *
                          (i < CALLS / 2 ? 1 : SLOW_FACTOR),
        };
        bv_router_settle(router, now_us, picked.name, &feedback);
        ck_assert_uint_eq(
            bv_router_count_ejected(router, now_us, request.service), 0);
    }
    bv_router_destroy(router);
    g_rand_free(random);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"straggler", test_straggler, 3},
        {"failing", test_failing, G_N_ELEMENTS(failing_cases)},
        {"all_slow_is_no_outlier", test_all_slow_is_no_outlier, 1},
        {NULL}};
    return support_run("outlier", tests);
}
