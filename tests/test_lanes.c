#include "berylvane/core/backpressure.h"
#include "berylvane/core/lanes.h"

#include "support.h"

#define US_PER_MS 1000
#define LIMIT 10
#define LONG_SHARE_PERCENT 40
#define ROUTE_HASH 1

/* Whether long work may start beside other work that runs, ran or waits. */
typedef struct {
    const char *name;
    uint32_t short_running;
    uint32_t long_running;
    uint32_t short_peak;
    uint32_t short_waiting;
    bool may_start;
} share_case_t;

static const share_case_t share_cases[] = {
    {"nothing runs", 0, 0, 0, 0, true},
    {"within the share", 6, 3, 6, 0, true},
    {"within the share, short work waits", 6, 3, 6, 5, true},
    {"beyond the share, free slots", 0, 4, 0, 0, true},
    {"beyond the share, short work needed them", 2, 4, 6, 0, false},
    {"beyond the share, short work waits", 0, 4, 0, 1, false},
    {"the last slot is kept for short work", 0, 9, 0, 0, false},
    {"no free slot", 6, 4, 6, 0, false},
};

START_TEST(test_share)
{
    const share_case_t *row = &share_cases[_i];
    bv_lanes_t *lanes = bv_lanes_create();
    bv_lanes_limits_t limits = {LIMIT, LONG_SHARE_PERCENT, row->short_waiting};
    for (uint32_t i = 0; i < row->short_peak; i++) {
        bv_lanes_record_start(lanes, 0, BV_LANE_SHORT);
    }
    for (uint32_t i = row->short_running; i < row->short_peak; i++) {
        bv_lanes_record_end(lanes, BV_LANE_SHORT);
    }
    for (uint32_t i = 0; i < row->long_running; i++) {
        bv_lanes_record_start(lanes, 0, BV_LANE_LONG);
    }
    ck_assert_msg(bv_lanes_may_start(lanes, US_PER_MS, BV_LANE_LONG,
                                     &limits) == row->may_start,
                  "%s", row->name);
    bv_lanes_destroy(lanes);
}
END_TEST

/* The lane of a route after some samples of its work and another route's. */
typedef struct {
    const char *name;
    int64_t cost_ms;
    int64_t other_cost_ms;
    uint32_t samples;
    bool is_long_hint;
    bv_lane_t lane;
} classify_case_t;

static const classify_case_t classify_cases[] = {
    {"too few samples, hint for long", 100, 1, 4, true, BV_LANE_LONG},
    {"too few samples, no hint", 100, 1, 4, false, BV_LANE_SHORT},
    {"measured as long", 100, 1, 64, false, BV_LANE_LONG},
    {"measured as short in spite of the hint", 1, 1, 64, true, BV_LANE_SHORT},
    {"a little longer is short", 4, 1, 64, false, BV_LANE_SHORT},
    {"equally long as all others", 100, 100, 64, true, BV_LANE_SHORT},
};

START_TEST(test_classify)
{
    const classify_case_t *row = &classify_cases[_i];
    bv_lanes_t *lanes = bv_lanes_create();
    for (uint32_t i = 0; i < row->samples; i++) {
        bv_lanes_record_cost(lanes, 0, 2, row->other_cost_ms * US_PER_MS,
                             row->other_cost_ms * US_PER_MS);
        bv_lanes_record_cost(lanes, 0, 1, row->cost_ms * US_PER_MS,
                             row->cost_ms * US_PER_MS);
    }
    ck_assert_msg(bv_lanes_classify(lanes, 1, row->is_long_hint) == row->lane,
                  "%s", row->name);
    bv_lanes_destroy(lanes);
}
END_TEST

/* Thresholds reported 10 ms apart, and the range of the resulting value. */
typedef struct {
    const char *name;
    uint16_t reports[8];
    int64_t silent_ms;
    uint16_t least_threshold;
    uint16_t most_threshold;
} backpressure_case_t;

static const backpressure_case_t backpressure_cases[] = {
    {"all overloaded", {200, 200, 200, 200, 200, 200, 200, 200}, 0, 200, 200},
    {"one of many overloaded", {200, 0, 0, 0, 200, 0, 0, 0}, 0, 0, 0},
    {"still fresh", {200, 200, 200, 200, 200, 200, 200, 200}, 90, 200, 200},
    {"decays", {200, 200, 200, 200, 200, 200, 200, 200}, 600, 90, 110},
    {"expires", {200, 200, 200, 200, 200, 200, 200, 200}, 1100, 0, 0},
    {"falls at once", {200, 200, 200, 200, 200, 200, 200, 140}, 0, 140, 140},
};

START_TEST(test_backpressure)
{
    const backpressure_case_t *row = &backpressure_cases[_i];
    bv_backpressure_table_t *table = bv_backpressure_table_create();
    int64_t now_us = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(row->reports); i++) {
        now_us += 10 * US_PER_MS;
        bv_backpressure_t report = {.threshold = row->reports[i]};
        bv_backpressure_table_report(table, now_us, ROUTE_HASH, &report);
    }
    now_us += row->silent_ms * US_PER_MS;
    uint16_t threshold =
        bv_backpressure_table_get(table, now_us, ROUTE_HASH).threshold;
    ck_assert_msg(threshold >= row->least_threshold &&
                      threshold <= row->most_threshold,
                  "%s: %u", row->name, threshold);
    bv_backpressure_table_destroy(table);
}
END_TEST

/*
 * Two services that call each other report the threshold of each other. It
 * must decay although each reports what it received.
 */
START_TEST(test_cycle_fades)
{
    bv_backpressure_t local = {0};
    bv_backpressure_t first = {.threshold = 250};
    for (int i = 0; i < 200; i++) {
        bv_backpressure_t second = bv_backpressure_propagate(&local, &first);
        first = bv_backpressure_propagate(&local, &second);
    }
    ck_assert_uint_eq(first.threshold, 0);
}
END_TEST

/*
 * A downstream threshold of 200 is reported. About 1 % of the calls of lower
 * priority must be sent as probes, and calls of higher priority always.
 */
START_TEST(test_probes)
{
    GRand *random = g_rand_new_with_seed(5);
    bv_backpressure_table_t *table = bv_backpressure_table_create();
    bv_backpressure_t report = {.threshold = 200};
    uint32_t sent = 0;
    bv_reason_t reason;
    bv_backpressure_table_report(table, 0, ROUTE_HASH, &report);
    for (int i = 0; i < 10000; i++) {
        sent += bv_backpressure_table_should_send(table, 0, ROUTE_HASH, 130,
                                                  US_PER_MS, random, &reason);
    }
    ck_assert_uint_gt(sent, 50);
    ck_assert_uint_lt(sent, 200);
    ck_assert(bv_backpressure_table_should_send(table, 0, ROUTE_HASH, 300,
                                                US_PER_MS, random, &reason));
    bv_backpressure_table_destroy(table);
    g_rand_free(random);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"share", test_share, G_N_ELEMENTS(share_cases)},
        {"classify", test_classify, G_N_ELEMENTS(classify_cases)},
        {"backpressure", test_backpressure, G_N_ELEMENTS(backpressure_cases)},
        {"cycle_fades", test_cycle_fades, 1},
        {"probes", test_probes, 1},
        {NULL}};
    return support_run("lanes", tests);
}
