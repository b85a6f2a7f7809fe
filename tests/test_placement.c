#include "berylvane/core/placement.h"

#include "placement_model.h"
#include "support.h"

#include <stdio.h>

#define SEED 7

static const model_pattern_t patterns[] = {
    {.name = "speeds 1:2:5, load 0.8",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .slowness = {1, 2, 5},
     .load = 0.8,
     .duration_us = 10000000,
     .least_goodput = 0.99},
    {.name = "speeds 1:2:5, load 0.3",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .slowness = {1, 2, 5},
     .load = 0.3,
     .duration_us = 10000000,
     .p99_limit = 0.75},
    {.name = "slows at a third of its slots",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 12,
     .load = 0.28,
     .knee_share = 1.0 / 3,
     .duration_us = 10000000},
    {.name = "slows near full",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 20,
     .load = 0.75,
     .knee_share = 0.95,
     .knee_factor = 1.3,
     .slowness = {0.5, 1, 1.6},
     .duration_us = 5000000},
    {.name = "fivefold slowdown and recovery",
     .targets = 6,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .load = 0.6,
     .slow_from_us = 3000000,
     .slow_until_us = 6000000,
     .duration_us = 10000000},
    {.name = "fast failures and recovery",
     .targets = 6,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .load = 0.6,
     .slow_from_us = 3000000,
     .slow_until_us = 6000000,
     .is_failing = true,
     .duration_us = 10000000},
    {.name = "slowed by neighbours",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .load = 0.6,
     .has_neighbours = true,
     .duration_us = 10000000,
     .least_goodput = 0.99},
    {.name = "waves of data centres",
     .targets = 9,
     .callers = 12,
     .centres = 3,
     .link_us = 3900,
     .service_us = 20000,
     .slots = 8,
     .load = 0.75,
     .wave = 0.55,
     .duration_us = 15000000},
    {.name = "waves of regions",
     .targets = 9,
     .callers = 12,
     .centres = 3,
     .has_regions = true,
     .link_us = 30000,
     .service_us = 20000,
     .slots = 8,
     .load = 0.75,
     .wave = 0.55,
     .duration_us = 15000000,
     .least_goodput = 0.99},
    {.name = "cold fleet",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .load = 0.45,
     .cold_us = 3000000,
     .duration_us = 8000000,
     .least_goodput = 0.98},
    {.name = "reports 0.1 s old, 86 callers",
     .targets = 24,
     .callers = 86,
     .centres = 1,
     .service_us = 10000,
     .slots = 8,
     .slowness = {0.5, 1, 1.6},
     .load = 0.8,
     .duration_us = 2000000},
    {.name = "reports 3 s old, 86 callers",
     .targets = 24,
     .callers = 86,
     .centres = 1,
     .service_us = 250000,
     .slots = 8,
     .slowness = {0.5, 1, 1.6},
     .load = 0.8,
     .duration_us = 60000000},
    {.name = "500 targets, 86 callers",
     .targets = 500,
     .callers = 86,
     .centres = 1,
     .service_us = 100000,
     .slots = 4,
     .slowness = {0.5, 1, 1.6},
     .load = 0.7,
     .duration_us = 3000000,
     .least_goodput = 0.98},
};

static void
print_result(const char *policy, const model_result_t *result)
{
    printf("  %-9s p50 %7.1f ms  p99 %7.1f ms  goodput %.4f  imbalance %.4f  "
           "far %.3f  calls %u\n",
           policy, result->p50_ms, result->p99_ms, result->goodput,
           result->imbalance, result->spilled, result->calls);
}

/*
 * Goodput that placement may lose against today's code. It covers the
 * difference between seeds; the largest mean loss over five seeds is 0.001,
 * for targets that slow at a third of their slots.
 */
#define GOODPUT_TOLERANCE 0.005
/* The same for the 99th percentile, as a factor. */
#define P99_TOLERANCE 1.1

/*
 * Guards against a placement that is worse than today's code in a pattern of
 * load, and against a model that proves nothing: the oracle, which knows the
 * state of all targets, must do at least as well as today's code.
 */
START_TEST(test_patterns)
{
    const model_pattern_t *pattern = &patterns[_i];
    support_random_run_t run = support_random_run(SEED, 0);
    model_result_t results[MODEL_POLICY_END];
    printf("%s\n", pattern->name);
    for (int i = 0; i < MODEL_POLICY_END; i++) {
        results[i] = model_run(pattern, (model_policy_t)i, run.seed);
        print_result(model_policy_name((model_policy_t)i), &results[i]);
    }
    const model_result_t *today = &results[MODEL_TODAY];
    const model_result_t *placement = &results[MODEL_PLACEMENT];
    ck_assert_double_ge(results[MODEL_ORACLE].goodput, today->goodput - 0.01);
    ck_assert_double_ge(placement->goodput,
                        today->goodput - GOODPUT_TOLERANCE);
    double p99_limit =
        pattern->p99_limit > 0 ? pattern->p99_limit : P99_TOLERANCE;
    ck_assert_double_ge(placement->goodput, pattern->least_goodput);
    ck_assert_double_le(placement->p99_ms, today->p99_ms * p99_limit);
}
END_TEST

#define SLOTS 16
#define ROUTES 2

/* Targets whose service time depends on their concurrency. */
typedef struct {
    const char *name;
    /* Concurrency from which the throughput is constant; 0: never. */
    uint32_t knee;
    /* Share of the samples of a route that is ten times as slow, which rises
     * with the concurrency. */
    bool mix_follows_load;
    uint32_t least_usable;
    uint32_t most_usable;
} capacity_case_t;

static const capacity_case_t capacity_cases[] = {
    {"constant service time", 0, false, 14, 16},
    {"throughput ends at a third", 5, false, 4, 8},
    {"throughput ends at half", 8, false, 7, 11},
    {"heavier mix at higher load", 0, true, 14, 16},
};

/*
 * Guards against an estimate that takes all slots as usable though more work
 * only makes the target slower, and against one that takes a change of the mix
 * of requests for that.
 */
START_TEST(test_usable)
{
    const capacity_case_t *row = &capacity_cases[_i];
    support_random_run_t run = support_random_run(SEED, 20000);
    GRand *random = g_rand_new_with_seed(run.seed);
    bv_capacity_t *capacity = bv_capacity_create();
    ck_assert_uint_eq(bv_capacity_usable(capacity, SLOTS), SLOTS);
    for (uint64_t i = 0; i < run.events; i++) {
        uint32_t running = (uint32_t)g_rand_int_range(random, 1, SLOTS + 1);
        double slow_share =
            row->mix_follows_load ? (double)running / SLOTS : 0.5;
        uint32_t route = g_rand_double(random) < slow_share;
        double factor = row->knee > 0 && running > row->knee
                            ? (double)running / row->knee
                            : 1;
        double service_us = (route > 0 ? 50000 : 5000) * factor *
                            g_rand_double_range(random, 0.5, 1.5);
        bv_capacity_sample_t sample = {.route_hash = route,
                                       .latency_us = (int64_t)service_us,
                                       .running = running,
                                       .slots = SLOTS};
        bv_capacity_record(capacity, &sample);
    }
    uint32_t usable = bv_capacity_usable(capacity, SLOTS);
    ck_assert_msg(usable >= row->least_usable && usable <= row->most_usable,
                  "%s: %u usable", row->name, usable);
    ck_assert_uint_eq(bv_capacity_usable(capacity, 0), 0);
    bv_capacity_destroy(capacity);
    g_rand_free(random);
}
END_TEST

/*
 * Guards against a limit that is kept after the target has recovered: work
 * stays below it, so that no sample contradicts what was learned above it.
 */
START_TEST(test_limit_recovers)
{
    support_random_run_t run = support_random_run(SEED, 20000);
    GRand *random = g_rand_new_with_seed(run.seed);
    bv_capacity_t *capacity = bv_capacity_create();
    for (uint64_t i = 0; i < 2 * run.events; i++) {
        bool is_slow = i < run.events;
        uint32_t limit = is_slow ? SLOTS : bv_capacity_usable(capacity, SLOTS);
        uint32_t running =
            (uint32_t)g_rand_int_range(random, 1, (gint32)limit + 1);
        double factor = is_slow && running > 5 ? running / 5.0 : 1;
        bv_capacity_sample_t sample = {
            .latency_us = (int64_t)(10000 * factor *
                                    g_rand_double_range(random, 0.5, 1.5)),
            .running = running,
            .slots = SLOTS};
        bv_capacity_record(capacity, &sample);
        if (i + 1 == run.events) {
            ck_assert_uint_le(bv_capacity_usable(capacity, SLOTS), 8);
        }
    }
    ck_assert_uint_ge(bv_capacity_usable(capacity, SLOTS), 14);
    bv_capacity_destroy(capacity);
    g_rand_free(random);
}
END_TEST

/*
 * Guards against an estimate that follows a sudden change only after many
 * answers, or not on routes that had none since, or not back.
 */
START_TEST(test_sudden_change)
{
    bv_capacity_t *capacity = bv_capacity_create();
    bv_capacity_sample_t sample = {
        .latency_us = 10000, .running = 4, .slots = SLOTS};
    for (uint32_t i = 0; i < 1000; i++) {
        sample.route_hash = i % ROUTES;
        bv_capacity_record(capacity, &sample);
    }
    ck_assert_int_eq(bv_capacity_service_us(capacity, 0), 10000);
    ck_assert_int_eq(bv_capacity_service_us(capacity, ROUTES), 0);
    sample.latency_us = 50000;
    sample.route_hash = 0;
    for (uint32_t i = 0; i < 8; i++) {
        bv_capacity_record(capacity, &sample);
    }
    ck_assert_int_gt(bv_capacity_service_us(capacity, 0), 25000);
    ck_assert_int_gt(bv_capacity_service_us(capacity, 1), 25000);
    sample.latency_us = 10000;
    for (uint32_t i = 0; i < 16; i++) {
        bv_capacity_record(capacity, &sample);
    }
    ck_assert_int_lt(bv_capacity_service_us(capacity, 0), 20000);
    bv_capacity_destroy(capacity);
}
END_TEST

/* Time that a target spends in calls below is not its own slowness. */
START_TEST(test_downstream)
{
    bv_capacity_t *capacity = bv_capacity_create();
    for (uint32_t i = 0; i < 200; i++) {
        int64_t downstream_us = i < 100 ? 10000 : 90000;
        bv_capacity_sample_t sample = {.latency_us = 10000 + downstream_us,
                                       .downstream_us = downstream_us,
                                       .running = 4,
                                       .slots = SLOTS};
        bv_capacity_record(capacity, &sample);
    }
    ck_assert_double_eq_tol(bv_capacity_slowness(capacity), 1, 0.01);
    ck_assert_int_gt(bv_capacity_service_us(capacity, 0), 95000);
    bv_capacity_destroy(capacity);
}
END_TEST

/* A target and what a caller knows of it, against an even target. */
typedef struct {
    const char *name;
    bv_capacity_report_t report;
    int64_t age_us;
    uint32_t sends;
    uint32_t failures;
    bv_placement_state_t state;
    /* Bounds of its time as a multiple of the even target's. */
    double least;
    double most;
} expectation_case_t;

#define SERVICE_US 10000
#define EVEN_REPORT                                                           \
    {                                                                         \
        4, SLOTS, SERVICE_US                                                  \
    }

static const expectation_case_t expectation_cases[] = {
    {"even", EVEN_REPORT, 0, 0, 0, BV_PLACEMENT_EVEN, 1, 1},
    {"twice as slow",
     {4, SLOTS, 2 * SERVICE_US},
     0,
     0,
     0,
     BV_PLACEMENT_SLOW,
     1.4,
     2},
    {"full", {SLOTS, SLOTS, SERVICE_US}, 0, 0, 0, BV_PLACEMENT_FULL, 3, 12},
    {"full three seconds ago",
     {SLOTS, SLOTS, SERVICE_US},
     3000000,
     0,
     0,
     BV_PLACEMENT_FULL,
     1,
     9},
    {"filled by own calls", EVEN_REPORT, 0, SLOTS, 0, BV_PLACEMENT_EVEN, 3,
     12},
    {"ends at a third",
     {4, 5, SERVICE_US},
     0,
     0,
     0,
     BV_PLACEMENT_LIMITED,
     1.5,
     12},
    {"fails fast",
     {4, SLOTS, SERVICE_US / 10},
     0,
     0,
     3,
     BV_PLACEMENT_FAILING,
     2,
     20},
    {"silent", EVEN_REPORT, 100000, 1, 0, BV_PLACEMENT_OVERDUE, 3, 20},
};

static double
expected_us(const bv_placement_t *placement, int64_t now_us)
{
    bv_placement_input_t input = {.service_us = SERVICE_US,
                                  .network_us = 1000,
                                  .sibling_use = 0.25,
                                  .slots = SLOTS,
                                  .assumed_slowness = 1,
                                  .assumed_weight = 4};
    return bv_placement_expected_us(placement, now_us, &input);
}

static void
settle_case(bv_placement_t *placement, int64_t now_us,
            const bv_capacity_report_t *report, uint32_t failures)
{
    bv_placement_answer_t answer = {.report = *report,
                                    .service_us = SERVICE_US};
    bv_placement_reset(placement);
    for (uint32_t i = 0; i < MAX(1, failures); i++) {
        answer.failed = i < failures;
        bv_placement_record_send(placement, now_us, SERVICE_US);
        bv_placement_record_end(placement, now_us, &answer);
    }
}

/*
 * Guards against a caller that misjudges a target: by an old report, by its
 * own calls that the report does not hold, or by fast failures.
 */
START_TEST(test_expectation)
{
    const expectation_case_t *row = &expectation_cases[_i];
    const bv_capacity_report_t even_report = EVEN_REPORT;
    bv_placement_t even = {0};
    bv_placement_t placement = {0};
    int64_t now_us = 1000000;
    settle_case(&placement, now_us, &row->report, row->failures);
    for (uint32_t i = 0; i < row->sends; i++) {
        bv_placement_record_send(&placement, now_us, SERVICE_US);
    }
    now_us += row->age_us;
    settle_case(&even, now_us, &even_report, 0);
    double ratio =
        expected_us(&placement, now_us) / expected_us(&even, now_us);
    ck_assert_msg(ratio >= row->least && ratio <= row->most, "%s: %.3f",
                  row->name, ratio);
    bv_placement_update_state(&placement, now_us, SLOTS);
    ck_assert_str_eq(bv_placement_state_name(placement.state),
                     bv_placement_state_name(row->state));
}
END_TEST

/*
 * Guards against a target that counts as overdue at once when it restarts
 * while calls to its earlier incarnation are open.
 */
START_TEST(test_restart)
{
    bv_placement_t placement = {0};
    int64_t now_us = 1000000;
    bv_placement_reset(&placement);
    bv_placement_record_send(&placement, now_us, SERVICE_US);
    bv_placement_reset(&placement);
    bv_placement_update_state(&placement, now_us + SERVICE_US, SLOTS);
    ck_assert_str_eq(bv_placement_state_name(placement.state), "unknown");
    bv_placement_update_state(&placement, now_us + 4 * SERVICE_US, SLOTS);
    ck_assert_str_eq(bv_placement_state_name(placement.state), "overdue");
}
END_TEST

/*
 * Guards against calls that leave all at once or go back and forth: the share
 * grows in steps, keeps its value while the tiers are equal, and falls.
 */
START_TEST(test_spill)
{
    bv_spill_t spill = {0};
    int64_t now_us = 1000000;
    double before = bv_spill_update(&spill, now_us, 300, 100);
    for (uint32_t i = 0; i < 10; i++) {
        now_us += 10000;
        double share = bv_spill_update(&spill, now_us, 300, 100);
        ck_assert_double_le(share, before + 0.05);
        ck_assert_double_gt(share, i > 0 ? before : 0);
        before = share;
    }
    ck_assert_double_eq(bv_spill_update(&spill, now_us + 10000, 110, 100),
                        before);
    for (uint32_t i = 0; i < 200; i++) {
        now_us += 10000;
        before = bv_spill_update(&spill, now_us, 90, 100);
    }
    ck_assert_double_eq(before, 0);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"patterns", test_patterns, G_N_ELEMENTS(patterns)},
        {"usable", test_usable, G_N_ELEMENTS(capacity_cases)},
        {"limit_recovers", test_limit_recovers, 1},
        {"sudden_change", test_sudden_change, 1},
        {"downstream", test_downstream, 1},
        {"expectation", test_expectation, G_N_ELEMENTS(expectation_cases)},
        {"restart", test_restart, 1},
        {"spill", test_spill, 1},
        {NULL}};
    return support_run("placement", tests);
}
