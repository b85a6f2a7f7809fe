#include "berylvane/common/account_counters.h"
#include "berylvane/core/fair_share.h"
#include "berylvane/core/route_cost.h"

#include "fair_replay.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

#define SEED 7
#define US_PER_MS 1000
#define US_PER_S 1000000
#define EIGHTHS 8

/* Least shares that the plan asks for, relative to that of all accounts. */
#define WORST_SHARE 0.5
#define WORST_TENTH_SHARE 0.9

/*
 * Guards against an account that is refused more than the others by its name
 * or its size, against one whose excess is served at the cost of the others,
 * and against one that gains by immediate retries. `least_others` is the least
 * share of the requests of the accounts without a surge that must be served,
 * `least_surge` that of the accounts with one; 0 for no bound. Levels by a
 * hash of the name, as before, must miss the plan's shares in each case.
 */
static const struct {
    const char *name;
    replay_options_t options;
    double least_others;
    double least_surge;
} replay_cases[] = {
    {"1.5 times the capacity",
     {.usual_load = 0.7, .load_factor = 1.5 / 0.7},
     0.6,
     0},
    {"1.5 times the capacity as usual",
     {.usual_load = 1.5, .load_factor = 1},
     0.6,
     0},
    {"one at 7.5 times",
     {.usual_load = 0.8,
      .load_factor = 1,
      .surge_count = 1,
      .surge_factor = 7.5},
     0.88,
     0.2},
    {"one at 7.5 times at one entry",
     {.usual_load = 0.8,
      .load_factor = 1,
      .surge_count = 1,
      .surge_factor = 7.5,
      .surge_uses_one_entry = true},
     0.88,
     0.2},
    {"two at 3 times, one retries immediately",
     {.usual_load = 0.8,
      .load_factor = 1,
      .surge_first = 1,
      .surge_count = 2,
      .surge_factor = 3,
      .retries = true},
     0.85,
     0.5},
    {"long and short requests",
     {.usual_load = 0.7,
      .load_factor = 1.5 / 0.7,
      .long_factor = 5,
      .overload_s = 300},
     0.55,
     0},
    {"burst of ten times",
     {.usual_load = 0.4, .load_factor = 10, .overload_s = 240},
     0.22,
     0},
};

static void
print_counts(const char *name, const replay_options_t *options,
             const replay_counts_t *counts)
{
    replay_shares_t shares = replay_shares(options, counts);
    printf("  %-26s worst %.3f, worst tenth %.3f, all %.3f, wasted %.3f", name,
           shares.worst, shares.worst_tenth, shares.all, shares.wasted);
    for (uint32_t i = 0; i < options->surge_count; i++) {
        printf(", surge %.3f", replay_share(counts, options->surge_first + i));
    }
    printf("\n");
}

static bool
is_shared_fairly(const replay_shares_t *shares)
{
    return shares->worst >= WORST_SHARE * shares->all &&
           shares->worst_tenth > WORST_TENTH_SHARE * shares->all;
}

static void
check_surge(const replay_options_t *options, const replay_counts_t *counts,
            double least)
{
    for (uint32_t i = 0; i < options->surge_count; i++) {
        ck_assert_double_ge(replay_share(counts, options->surge_first + i),
                            least);
    }
    if (options->retries) {
        ck_assert_double_le(replay_share(counts, options->surge_first),
                            replay_share(counts, options->surge_first + 1));
    }
}

START_TEST(test_replay)
{
    support_random_run_t run = support_random_run(SEED, 1);
    const replay_options_t *options = &replay_cases[_i].options;
    replay_counts_t counts[REPLAY_POLICY_END][REPLAY_PHASE_END] = {0};
    printf("%s\n", replay_cases[_i].name);
    for (int policy = 0; policy < REPLAY_POLICY_END; policy++) {
        replay_run(options, (replay_policy_t)policy, run.seed, counts[policy]);
        print_counts(replay_policy_name((replay_policy_t)policy), options,
                     &counts[policy][REPLAY_OVERLOAD]);
        print_counts("  afterwards", options,
                     &counts[policy][REPLAY_RECOVERY]);
    }
    const replay_counts_t *fair = counts[REPLAY_FAIR_SHARE];
    replay_shares_t overload = replay_shares(options, &fair[REPLAY_OVERLOAD]);
    replay_shares_t hash =
        replay_shares(options, &counts[REPLAY_NAME_HASH][REPLAY_OVERLOAD]);
    ck_assert(is_shared_fairly(&overload));
    ck_assert_double_ge(overload.all, replay_cases[_i].least_others);
    check_surge(options, &fair[REPLAY_OVERLOAD], replay_cases[_i].least_surge);
    ck_assert(!is_shared_fairly(&hash));
}
END_TEST

/*
 * Guards against a threshold that refuses nothing in some of its steps and
 * much in others: in ordinary operation each eighth of the range holds about
 * an eighth of the requests. After overload, nearly all requests must be
 * served.
 */
START_TEST(test_ordinary_operation)
{
    support_random_run_t run = support_random_run(SEED, 1);
    const replay_options_t options = {
        .usual_load = 0.7,
        .load_factor = 10,
        .overload_s = 10,
    };
    replay_counts_t counts[REPLAY_PHASE_END] = {0};
    replay_run(&options, REPLAY_FAIR_SHARE, run.seed, counts);
    double sum = 0;
    for (int i = 0; i < EIGHTHS; i++) {
        sum += counts[REPLAY_USUAL].eighths[i];
    }
    for (int i = 0; i < EIGHTHS; i++) {
        double share = counts[REPLAY_USUAL].eighths[i] / sum;
        printf("  eighth %d: %.3f\n", i, share);
        ck_assert_double_ge(share, 0.7 / EIGHTHS);
        ck_assert_double_le(share, 1.3 / EIGHTHS);
    }
    replay_shares_t after = replay_shares(&options, &counts[REPLAY_RECOVERY]);
    printf("  afterwards: worst %.3f, all %.3f\n", after.worst, after.all);
    ck_assert_double_ge(after.all, 0.95);
    ck_assert_double_ge(after.worst, WORST_SHARE);
}
END_TEST

typedef struct {
    bv_fair_share_t *share;
    int64_t now_us;
} feed_t;

/* Sends requests of an account at a rate for some time; returns the level of
 * the last one, with the highest random number. */
static uint8_t
feed(feed_t *fed, const char *account, int64_t cost_us, int64_t per_s,
     int64_t seconds)
{
    bv_fair_share_request_t request = {
        .account = account,
        .importance = BV_CLASS_NORMAL,
        .cost_us = cost_us,
        .random = 0.99,
    };
    uint8_t level = 0;
    for (int64_t i = 0; i < per_s * seconds; i++) {
        fed->now_us += US_PER_S / per_s;
        level = bv_fair_share_level(fed->share, fed->now_us, &request);
    }
    return level;
}

/*
 * The lowest level of an account's requests, after it has sent some at a usual
 * rate and then some at another rate or cost. At its usual rate the lowest
 * level is 5, of which 4 and below are for what is beyond the usual rate.
 */
static const struct {
    const char *name;
    int64_t usual_cost_us;
    int64_t usual_per_s;
    int64_t usual_s;
    int64_t silent_s;
    int64_t cost_us;
    int64_t per_s;
    int64_t seconds;
    uint8_t least_level;
    uint8_t most_level;
} level_cases[] = {
    {"at its usual rate", 1000, 50, 90, 0, 1000, 50, 5, 3, 8},
    {"below its usual rate", 1000, 50, 90, 0, 1000, 10, 10, 80, 127},
    {"7.5 times its usual rate", 1000, 50, 90, 0, 1000, 375, 5, 1, 1},
    {"100 times its usual rate", 1000, 50, 90, 0, 1000, 5000, 5, 0, 0},
    {"unknown account", 1000, 1, 0, 0, 1000, 1000, 30, 5, 5},
    {"unknown cost", 0, 50, 90, 0, 0, 50, 5, 3, 8},
    {"requests of 8 times the cost", 1000, 50, 90, 0, 8000, 50, 5, 1, 1},
    {"fewer requests of more cost", 1000, 80, 90, 0, 8000, 10, 5, 3, 30},
    {"usual rate after an hour of silence", 1000, 50, 90, 3600, 1000, 50, 5, 3,
     20},
};

START_TEST(test_level)
{
    bv_fair_share_options_t options = {0};
    feed_t fed = {bv_fair_share_create(&options), US_PER_S};
    feed(&fed, "a", level_cases[_i].usual_cost_us, level_cases[_i].usual_per_s,
         level_cases[_i].usual_s);
    fed.now_us += level_cases[_i].silent_s * US_PER_S;
    uint8_t level = feed(&fed, "a", level_cases[_i].cost_us,
                         level_cases[_i].per_s, level_cases[_i].seconds);
    ck_assert_msg(level >= level_cases[_i].least_level &&
                      level <= level_cases[_i].most_level,
                  "%s: level %u", level_cases[_i].name, level);
    bv_fair_share_destroy(fed.share);
}
END_TEST

typedef struct {
    const char *account;
    bv_fair_share_usage_t usage;
    bool is_found;
} lookup_t;

static void
compare_account(void *context, const bv_fair_share_usage_t *usage)
{
    lookup_t *lookup = context;
    if (strcmp(usage->account, lookup->account) == 0) {
        lookup->usage = *usage;
        lookup->is_found = true;
    }
}

static lookup_t
look_up(const feed_t *fed, const char *account)
{
    lookup_t lookup = {.account = account};
    bv_fair_share_foreach(fed->share, fed->now_us, compare_account, &lookup);
    return lookup;
}

/*
 * Guards against state that grows with the number of accounts, and against
 * accounts that keep their place for ever.
 */
START_TEST(test_accounts_limit)
{
    bv_fair_share_options_t options = {.accounts_limit = 2};
    feed_t fed = {bv_fair_share_create(&options), US_PER_S};
    feed(&fed, "a", 1000, 10, 1);
    feed(&fed, "b", 1000, 10, 1);
    ck_assert(!look_up(&fed, BV_FAIR_SHARE_OTHERS).is_found);
    feed(&fed, "c", 1000, 10, 1);
    feed(&fed, "d", 1000, 10, 1);
    ck_assert_uint_eq(bv_fair_share_count(fed.share), 2);
    ck_assert(look_up(&fed, BV_FAIR_SHARE_OTHERS).is_found);
    ck_assert(!look_up(&fed, "d").is_found);
    ck_assert(bv_fair_share_has_own(fed.share, "a"));
    ck_assert(!bv_fair_share_has_own(fed.share, "d"));
    feed(&fed, "a", 1000, 10, 700);
    feed(&fed, "d", 1000, 10, 1);
    ck_assert_uint_eq(bv_fair_share_count(fed.share), 2);
    ck_assert(look_up(&fed, "d").is_found);
    ck_assert(!look_up(&fed, "b").is_found);
    bv_fair_share_destroy(fed.share);
}
END_TEST

/* Guards against rates in other units than slots, which operators read. */
START_TEST(test_usage)
{
    bv_fair_share_options_t options = {0};
    feed_t fed = {bv_fair_share_create(&options), US_PER_S};
    feed(&fed, "a", 20 * US_PER_MS, 100, 90);
    feed(&fed, "a", 20 * US_PER_MS, 300, 10);
    lookup_t lookup = look_up(&fed, "a");
    ck_assert(lookup.is_found);
    ck_assert(lookup.usage.is_learned);
    ck_assert_double_ge(lookup.usage.recent_slots, 5.7);
    ck_assert_double_le(lookup.usage.recent_slots, 6.1);
    ck_assert_double_ge(lookup.usage.usual_slots, 1.95);
    ck_assert_double_le(lookup.usage.usual_slots, 2.1);
    bv_fair_share_destroy(fed.share);
}
END_TEST

/* Guards against a cost that is taken from a few answers, or that contains
 * the time in queues, by which overload would change the weights. */
START_TEST(test_route_cost)
{
    bv_route_costs_t *costs = bv_route_costs_create();
    for (int i = 0; i < 15; i++) {
        bv_route_costs_record(costs, 1, 30 * US_PER_MS, 10 * US_PER_MS);
    }
    ck_assert_int_eq(bv_route_costs_get(costs, 1), 0);
    bv_route_costs_record(costs, 1, 30 * US_PER_MS, 10 * US_PER_MS);
    ck_assert_int_ge(bv_route_costs_get(costs, 1), 19 * US_PER_MS);
    ck_assert_int_le(bv_route_costs_get(costs, 1), 20 * US_PER_MS);
    ck_assert_int_eq(bv_route_costs_get(costs, 2), 0);
    for (uint32_t route = 2; route < 1000; route++) {
        bv_route_costs_record(costs, route, 1, 5);
    }
    ck_assert_int_eq(bv_route_costs_get(costs, 1), 0);
    bv_route_costs_destroy(costs);
}
END_TEST

/*
 * Guards against demand that is shown for calls without an account or for a
 * name that has no label, and against metrics of other names or values.
 */
START_TEST(test_published_demand)
{
    bv_account_rates_t rates = {1.5, 0.25};
    GString *text = g_string_new(NULL);
    bv_account_counters_clear();
    bv_account_counters_add(NULL, 200, false);
    bv_account_counters_add("a", 503, true);
    bv_account_counters_add_refused("a");
    ck_assert(bv_account_counters_set_rates("a", &rates));
    ck_assert(!bv_account_counters_set_rates("b", &rates));
    bv_account_counters_render_demand(text);
    ck_assert_ptr_nonnull(strstr(
        text->str,
        "\nberylvane_account_refused_priority_total{account=\"a\"} 1\n"));
    ck_assert_ptr_nonnull(
        strstr(text->str,
               "\nberylvane_account_recent_slots{account=\"a\"} 1.500000\n"));
    ck_assert_ptr_nonnull(
        strstr(text->str,
               "\nberylvane_account_usual_slots{account=\"a\"} 0.250000\n"));
    ck_assert_ptr_null(strstr(text->str, "slots{account=\"\"}"));
    ck_assert_ptr_null(strstr(text->str, "slots{account=\"b\"}"));
    bv_account_counters_clear();
    g_string_free(text, TRUE);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"level", test_level, G_N_ELEMENTS(level_cases)},
        {"accounts_limit", test_accounts_limit, 1},
        {"usage", test_usage, 1},
        {"published_demand", test_published_demand, 1},
        {"route_cost", test_route_cost, 1},
        {"ordinary_operation", test_ordinary_operation, 1},
        {"replay", test_replay, G_N_ELEMENTS(replay_cases)},
        {NULL, NULL, 0},
    };
    support_parse_arguments(argc, argv);
    return support_run("fair_share", tests);
}
