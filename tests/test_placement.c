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
     .duration_us = 10000000},
    {.name = "speeds 1:2:5, load 0.3",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .slowness = {1, 2, 5},
     .load = 0.3,
     .duration_us = 10000000},
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
     .duration_us = 10000000},
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
     .duration_us = 15000000},
    {.name = "cold fleet",
     .targets = 12,
     .callers = 12,
     .centres = 1,
     .service_us = 20000,
     .slots = 8,
     .load = 0.45,
     .cold_us = 3000000,
     .duration_us = 8000000},
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
     .duration_us = 3000000},
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
 * Guards against a model that proves nothing: the oracle, which knows the
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
    ck_assert_double_ge(results[MODEL_ORACLE].goodput,
                        results[MODEL_TODAY].goodput - 0.01);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"patterns", test_patterns, G_N_ELEMENTS(patterns)}, {NULL}};
    return support_run("placement", tests);
}
