#include "berylvane/core/backpressure.h"
#include "berylvane/core/lanes.h"

#include "support.h"

#define MS 1000
#define LIMIT 10
#define SHARE_PERCENT 40
#define ROUTE 1

/* Whether long work may start beside what runs and ran lately. */
typedef struct {
    const char *name;
    uint32_t short_running;
    uint32_t long_running;
    uint32_t short_peak;
    uint32_t short_waiting;
    bool may_start;
} share_case_t;

static const share_case_t share_cases[] = {
    {"all idle", 0, 0, 0, 0, true},
    {"within the share", 6, 3, 6, 0, true},
    {"within the share, short work waits", 6, 3, 6, 5, true},
    {"beyond the share, slots idle", 0, 4, 0, 0, true},
    {"beyond the share, short work needs them", 2, 4, 6, 0, false},
    {"beyond the share, short work waits", 0, 4, 0, 1, false},
    {"one slot is left to short work", 0, 9, 0, 0, false},
    {"no slot", 6, 4, 6, 0, false},
};

START_TEST(test_share)
{
    const share_case_t *row = &share_cases[_i];
    bv_lanes_t *lanes = bv_lanes_create();
    bv_lanes_limits_t limits = {LIMIT, SHARE_PERCENT, row->short_waiting};
    for (uint32_t i = 0; i < row->short_peak; i++) {
        bv_lanes_record_start(lanes, 0, BV_LANE_SHORT);
    }
    for (uint32_t i = row->short_running; i < row->short_peak; i++) {
        bv_lanes_record_end(lanes, BV_LANE_SHORT);
    }
    for (uint32_t i = 0; i < row->long_running; i++) {
        bv_lanes_record_start(lanes, 0, BV_LANE_LONG);
    }
    ck_assert_msg(bv_lanes_may_start(lanes, MS, BV_LANE_LONG, &limits) ==
                      row->may_start,
                  "%s", row->name);
    bv_lanes_destroy(lanes);
}
END_TEST

/* The lane of a kind beside another, after some work of both. */
typedef struct {
    const char *name;
    int64_t own_ms;
    int64_t other_ms;
    uint32_t samples;
    bool hint;
    bv_lane_t lane;
} learn_case_t;

static const learn_case_t learn_cases[] = {
    {"hint until learned", 100, 1, 4, true, BV_LANE_LONG},
    {"no hint until learned", 100, 1, 4, false, BV_LANE_SHORT},
    {"learned long", 100, 1, 64, false, BV_LANE_LONG},
    {"learned short against the hint", 1, 1, 64, true, BV_LANE_SHORT},
    {"a little longer is short", 4, 1, 64, false, BV_LANE_SHORT},
    {"nothing is shorter", 100, 100, 64, true, BV_LANE_SHORT},
};

START_TEST(test_learn)
{
    const learn_case_t *row = &learn_cases[_i];
    bv_lanes_t *lanes = bv_lanes_create();
    for (uint32_t i = 0; i < row->samples; i++) {
        bv_lanes_record_cost(lanes, 0, 2, row->other_ms * MS,
                             row->other_ms * MS);
        bv_lanes_record_cost(lanes, 0, 1, row->own_ms * MS, row->own_ms * MS);
    }
    ck_assert_msg(bv_lanes_classify(lanes, 1, row->hint) == row->lane, "%s",
                  row->name);
    bv_lanes_destroy(lanes);
}
END_TEST

/* Reports of thresholds, 10 ms apart, and what is made of them. */
typedef struct {
    const char *name;
    uint16_t reports[8];
    int64_t silent_ms;
    uint16_t least;
    uint16_t most;
} pressure_case_t;

static const pressure_case_t pressure_cases[] = {
    {"all over", {200, 200, 200, 200, 200, 200, 200, 200}, 0, 200, 200},
    {"one of many over", {200, 0, 0, 0, 200, 0, 0, 0}, 0, 0, 0},
    {"fresh for a while",
     {200, 200, 200, 200, 200, 200, 200, 200},
     90,
     200,
     200},
    {"fades", {200, 200, 200, 200, 200, 200, 200, 200}, 600, 90, 110},
    {"forgotten", {200, 200, 200, 200, 200, 200, 200, 200}, 1100, 0, 0},
    {"falls at once", {200, 200, 200, 200, 200, 200, 200, 140}, 0, 140, 140},
};

START_TEST(test_pressure)
{
    const pressure_case_t *row = &pressure_cases[_i];
    bv_backpressure_table_t *pressures = bv_backpressure_table_create();
    int64_t now_us = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(row->reports); i++) {
        now_us += 10 * MS;
        bv_backpressure_t report = {.threshold = row->reports[i]};
        bv_backpressure_table_report(pressures, now_us, ROUTE, &report);
    }
    now_us += row->silent_ms * MS;
    uint16_t got =
        bv_backpressure_table_get(pressures, now_us, ROUTE).threshold;
    ck_assert_msg(got >= row->least && got <= row->most, "%s: %u", row->name,
                  got);
    bv_backpressure_table_destroy(pressures);
}
END_TEST

/* A cycle of calls must not keep a threshold up by itself. */
START_TEST(test_cycle_fades)
{
    bv_backpressure_t own = {0};
    bv_backpressure_t first = {.threshold = 250};
    for (int i = 0; i < 200; i++) {
        bv_backpressure_t second = bv_backpressure_propagate(&own, &first);
        first = bv_backpressure_propagate(&own, &second);
    }
    ck_assert_uint_eq(first.threshold, 0);
}
END_TEST

/* Refusals at the entry for a threshold of 200 below: probes still pass. */
START_TEST(test_probes)
{
    GRand *random = g_rand_new_with_seed(5);
    bv_backpressure_table_t *pressures = bv_backpressure_table_create();
    bv_backpressure_t report = {.threshold = 200};
    uint32_t passed = 0;
    bv_reason_t reason;
    bv_backpressure_table_report(pressures, 0, ROUTE, &report);
    for (int i = 0; i < 10000; i++) {
        passed += bv_backpressure_table_admits(pressures, 0, ROUTE, 130, MS,
                                               random, &reason);
    }
    ck_assert_uint_gt(passed, 50);
    ck_assert_uint_lt(passed, 200);
    ck_assert(bv_backpressure_table_admits(pressures, 0, ROUTE, 300, MS,
                                           random, &reason));
    bv_backpressure_table_destroy(pressures);
    g_rand_free(random);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"share", test_share, G_N_ELEMENTS(share_cases)},
        {"learn", test_learn, G_N_ELEMENTS(learn_cases)},
        {"pressure", test_pressure, G_N_ELEMENTS(pressure_cases)},
        {"cycle_fades", test_cycle_fades, 1},
        {"probes", test_probes, 1},
        {NULL}};
    return support_run("lanes", tests);
}
