#include "berylvane/core/config_watch.h"

#include "support.h"

#include "berylvane/common/clock.h"

/*
 * Guards against watches that last too long for the size of the group, and
 * against time limits that keep a slow store from being read, or that stay
 * long after it is fast again.
 */
#define SHORTEST_WAIT_US BV_US_PER_S
#define SMALLEST_LIMIT_US (BV_US_PER_S / 2)
#define LARGEST_LIMIT_US (4 * BV_US_PER_S)
#define KNOWN_VERSION 7
#define DRAWS 1000
#define ROUNDS 20

static const bv_table_position_t known = {.version = KNOWN_VERSION};

static const struct {
    uint32_t nodes;
    int64_t wait_limit_us;
    int64_t longest_wait_us;
} group_cases[] = {
    {1, 0, 3 * BV_US_PER_S},
    {6, 0, 3 * BV_US_PER_S},
    {12, 0, 3 * BV_US_PER_S},
    {24, 0, 6 * BV_US_PER_S},
    {40, 0, 10 * BV_US_PER_S},
    {100, 0, 20 * BV_US_PER_S},
    {1600, 0, 20 * BV_US_PER_S},
    {24, 2 * BV_US_PER_S, 2 * BV_US_PER_S},
    {1600, 17 * BV_US_PER_S, 17 * BV_US_PER_S},
    {6, 17 * BV_US_PER_S, 3 * BV_US_PER_S},
    {24, 1, SHORTEST_WAIT_US},
};

START_TEST(test_longest_wait_grows_with_group)
{
    const bv_config_watch_t watch = {
        .wait_limit_us = group_cases[_i].wait_limit_us,
    };
    ck_assert_int_eq(
        bv_config_watch_longest_wait_us(&watch, group_cases[_i].nodes),
        group_cases[_i].longest_wait_us);
}
END_TEST

/* Drawn times fill the range from the shortest to the longest one. */
START_TEST(test_wait_is_drawn_from_whole_range)
{
    int64_t longest_us = group_cases[_i].longest_wait_us;
    int64_t tenth_us = (longest_us - SHORTEST_WAIT_US) / 10;
    int64_t least_us = INT64_MAX;
    int64_t most_us = 0;
    GRand *random = g_rand_new_with_seed(1);
    for (int i = 0; i < DRAWS; i++) {
        bv_config_watch_t watch = {
            .known = known,
            .has_position = true,
            .wait_limit_us = group_cases[_i].wait_limit_us,
        };
        bv_config_query_t query;
        bv_config_watch_start_query(&watch, BV_US_PER_S, group_cases[_i].nodes,
                                    random, &query);
        ck_assert_int_eq(query.kind, BV_CONFIG_QUERY_WATCH);
        least_us = MIN(least_us, query.wait_us);
        most_us = MAX(most_us, query.wait_us);
    }
    g_rand_free(random);
    ck_assert_int_ge(least_us, SHORTEST_WAIT_US);
    ck_assert_int_le(least_us, SHORTEST_WAIT_US + tenth_us);
    ck_assert_int_ge(most_us, longest_us - tenth_us);
    ck_assert_int_le(most_us, longest_us);
}
END_TEST

/* Starts the query that is due next and returns its time limit. */
static int64_t
start_query(bv_config_watch_t *watch, int64_t *now_us, GRand *random)
{
    bv_config_query_t query;
    *now_us = MAX(*now_us, MAX(watch->due_us, watch->allowed_us));
    ck_assert(bv_config_watch_is_due(watch, *now_us));
    bv_config_watch_start_query(watch, *now_us, 1, random, &query);
    return query.timeout_us;
}

static const struct {
    uint32_t failures;
    /* Answers after which the limit is the smallest one again. */
    uint32_t answers;
    int64_t limit_us;
} limit_cases[] = {
    {0, 0, SMALLEST_LIMIT_US},     {1, 1, 2 * SMALLEST_LIMIT_US},
    {2, 2, 4 * SMALLEST_LIMIT_US}, {3, 3, LARGEST_LIMIT_US},
    {4, 3, LARGEST_LIMIT_US},      {50, 3, LARGEST_LIMIT_US},
};

START_TEST(test_limit_doubles_and_returns)
{
    GRand *random = g_rand_new_with_seed(1);
    bv_config_watch_t watch = {0};
    int64_t now_us = BV_US_PER_S;
    for (uint32_t i = 0; i < limit_cases[_i].failures; i++) {
        start_query(&watch, &now_us, random);
        bv_config_watch_handle_answer(&watch, now_us, random,
                                      BV_CONFIG_ANSWER_FAILED, &known);
    }
    int64_t limit_us = start_query(&watch, &now_us, random);
    ck_assert_int_eq(limit_us, limit_cases[_i].limit_us);
    for (uint32_t i = 0; i < limit_cases[_i].answers; i++) {
        ck_assert_int_gt(limit_us, SMALLEST_LIMIT_US);
        bv_config_watch_handle_answer(&watch, now_us, random,
                                      BV_CONFIG_ANSWER_OK, &known);
        int64_t next_limit_us = start_query(&watch, &now_us, random);
        ck_assert_int_eq(next_limit_us, limit_us / 2);
        limit_us = next_limit_us;
    }
    ck_assert_int_eq(limit_us, SMALLEST_LIMIT_US);
    g_rand_free(random);
}
END_TEST

static const struct {
    int64_t delay_us;
    /* Queries up to the first answer, and from each answer to the next. */
    uint32_t first_queries;
    uint32_t later_queries;
} slow_cases[] = {
    {100 * BV_US_PER_MS, 1, 1},
    {800 * BV_US_PER_MS, 2, 2},
    {1500 * BV_US_PER_MS, 3, 2},
    {3 * BV_US_PER_S, 4, 2},
};

/*
 * Sends queries to a store that takes `delay_us` for each answer, beyond the
 * time of a watch, until one is answered. Returns their number.
 */
static uint32_t
query_until_answered(bv_config_watch_t *watch, int64_t *now_us, GRand *random,
                     int64_t delay_us)
{
    bool is_answered = false;
    uint32_t queries = 0;
    while (!is_answered && queries < ROUNDS) {
        int64_t limit_us = start_query(watch, now_us, random);
        is_answered = delay_us < limit_us;
        *now_us += MIN(delay_us, limit_us);
        bv_config_watch_handle_answer(watch, *now_us, random,
                                      is_answered ? BV_CONFIG_ANSWER_OK
                                                  : BV_CONFIG_ANSWER_FAILED,
                                      &known);
        queries++;
    }
    return queries;
}

/* A change that is written at any time is thus read soon. */
START_TEST(test_slow_store_is_read_again)
{
    GRand *random = g_rand_new_with_seed(1);
    bv_config_watch_t watch = {0};
    int64_t now_us = BV_US_PER_S;
    int64_t delay_us = slow_cases[_i].delay_us;
    ck_assert_uint_eq(query_until_answered(&watch, &now_us, random, delay_us),
                      slow_cases[_i].first_queries);
    for (int i = 0; i < ROUNDS; i++) {
        ck_assert_uint_le(
            query_until_answered(&watch, &now_us, random, delay_us),
            slow_cases[_i].later_queries);
    }
    for (int i = 0; i < ROUNDS; i++) {
        query_until_answered(&watch, &now_us, random, 0);
    }
    ck_assert_int_eq(start_query(&watch, &now_us, random), SMALLEST_LIMIT_US);
    g_rand_free(random);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"longest_wait_grows_with_group", test_longest_wait_grows_with_group,
         G_N_ELEMENTS(group_cases)},
        {"wait_is_drawn_from_whole_range", test_wait_is_drawn_from_whole_range,
         G_N_ELEMENTS(group_cases)},
        {"limit_doubles_and_returns", test_limit_doubles_and_returns,
         G_N_ELEMENTS(limit_cases)},
        {"slow_store_is_read_again", test_slow_store_is_read_again,
         G_N_ELEMENTS(slow_cases)},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_watch_times", tests);
}
