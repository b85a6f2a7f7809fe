#include "berylvane/core/router.h"

#include "naive_router.h"
#include "router_fixture.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

#define SEED 11
#define EVENTS 1000000
#define US_PER_MS 1000
#define MEMBERS 48
#define SERVICES 3
#define ROUTES 2
#define SIBLINGS 6
#define CALLS 60000

/*
 * Latency and threshold of the member in each data centre (local, same region,
 * other region), and where calls go.
 */
typedef struct {
    const char *name;
    int64_t latency_ms[3];
    uint16_t thresholds[3];
    uint16_t priority;
    /* Least share of the second half of the calls, by member. */
    uint32_t least_percent[3];
} tier_case_t;

static const tier_case_t tier_cases[] = {
    {"all healthy", {2, 2, 32}, {0, 0, 0}, 150, {99, 0, 0}},
    {"local a little slow", {3, 2, 32}, {0, 0, 0}, 150, {99, 0, 0}},
    {"local clearly slow", {20, 2, 32}, {0, 0, 0}, 150, {0, 80, 0}},
    {"local over its threshold", {2, 2, 32}, {200, 0, 0}, 150, {0, 80, 0}},
    {"higher priority stays local", {2, 2, 32}, {200, 0, 0}, 300, {99, 0, 0}},
    {"region over its threshold", {2, 2, 32}, {200, 200, 0}, 150, {0, 0, 80}},
    {"region slow, link slower", {20, 20, 32}, {0, 0, 0}, 150, {50, 0, 0}},
    {"all over threshold", {2, 2, 32}, {200, 200, 200}, 150, {90, 0, 0}},
};

START_TEST(test_tiers)
{
    const tier_case_t *row = &tier_cases[_i];
    GRand *random = g_rand_new_with_seed(SEED);
    bv_router_t *router = router_fixture_create(random);
    uint32_t counts[3] = {0};
    for (uint32_t i = 0; i < 3; i++) {
        bv_member_t member = router_fixture_member(i, 0, i);
        bv_router_update(router, &member);
    }
    bv_pick_request_t request = {.service = "service-0",
                                 .priority = row->priority};
    for (uint32_t i = 0; i < 2000; i++) {
        bv_picked_t picked;
        bv_reason_t reason;
        int64_t now_us = (int64_t)(i + 1) * 10 * US_PER_MS;
        ck_assert(bv_router_pick(router, now_us, &request, &picked, &reason));
        uint32_t number = router_fixture_member_number(&picked);
        bv_feedback_t feedback = {
            .answered = true,
            .outcome = BV_OUTCOME_RAN,
            .latency_us = row->latency_ms[number] * US_PER_MS,
            .threshold = row->thresholds[number],
        };
        bv_router_settle(router, now_us, picked.name, &feedback);
        counts[number] += i >= 1000;
    }
    for (uint32_t i = 0; i < 3; i++) {
        ck_assert_msg(counts[i] >= row->least_percent[i] * 10,
                      "%s: %u of 1000 to member-%u", row->name, counts[i], i);
    }
    bv_router_destroy(router);
    g_rand_free(random);
}
END_TEST

/* In a large service, a node calls the same few members after a restart. */
START_TEST(test_subset)
{
    GRand *random = g_rand_new_with_seed(SEED);
    GHashTable *used =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int run = 0; run < 2; run++) {
        bv_router_t *router = router_fixture_create(random);
        for (uint32_t i = 0; i < 400; i++) {
            bv_member_t member = router_fixture_member(i, 0, 0);
            bv_router_update(router, &member);
        }
        bv_pick_request_t request = {.service = "service-0", .priority = 150};
        for (uint32_t i = 0; i < 2000; i++) {
            bv_picked_t picked;
            bv_reason_t reason;
            bv_router_pick(router, i, &request, &picked, &reason);
            g_hash_table_add(used, g_strdup(picked.name));
        }
        bv_router_destroy(router);
    }
    ck_assert_uint_le(g_hash_table_size(used), 24);
    ck_assert_uint_ge(g_hash_table_size(used), 20);
    g_hash_table_destroy(used);
    g_rand_free(random);
}
END_TEST

/* Latencies of a route, and the range of the age for hedging its calls. */
typedef struct {
    const char *name;
    uint32_t answers;
    uint32_t rare_percent;
    int64_t usual_us;
    int64_t rare_us;
    int64_t least_us;
    int64_t most_us;
} hedge_case_t;

static const hedge_case_t hedge_cases[] = {
    {"too few answers", 20, 0, 1000, 1000, 0, 0},
    {"equal latencies", 400, 0, 1000, 1000, 1000, 1200},
    {"rare slow calls", 400, 2, 1000, 50000, 1000, 1200},
    {"frequent slow calls", 400, 20, 1000, 50000, 50000, 60000},
};

START_TEST(test_hedge_age)
{
    const hedge_case_t *row = &hedge_cases[_i];
    GRand *random = g_rand_new_with_seed(SEED);
    bv_router_t *router = router_fixture_create(random);
    bv_member_t member = router_fixture_member(0, 0, 0);
    bv_router_update(router, &member);
    bv_pick_request_t request = {
        .service = "service-0", .route_hash = 1, .priority = 150};
    for (uint32_t i = 0; i < row->answers; i++) {
        bv_picked_t picked;
        bv_reason_t reason;
        bool rare = i * row->rare_percent % 100 < row->rare_percent;
        bv_feedback_t feedback = {
            .answered = true,
            .route_hash = 1,
            .outcome = BV_OUTCOME_RAN,
            .latency_us = rare ? row->rare_us : row->usual_us,
        };
        bv_router_pick(router, i, &request, &picked, &reason);
        bv_router_settle(router, i, picked.name, &feedback);
    }
    int64_t age_us = bv_router_hedge_after_us(router, request.service, 1);
    ck_assert_msg(age_us >= row->least_us && age_us <= row->most_us, "%s: %d",
                  row->name, (int)age_us);
    ck_assert_int_eq(bv_router_hedge_after_us(router, request.service, 2), 0);
    bv_router_destroy(router);
    g_rand_free(random);
}
END_TEST

/*
 * A target that restarts under load is slow until it has warmed up. At first,
 * it must receive some calls, but clearly less than its share.
 */
START_TEST(test_cold_start)
{
    GRand *random = g_rand_new_with_seed(SEED);
    bv_router_t *router = router_fixture_create(random);
    uint32_t to_cold = 0;
    for (uint32_t i = 0; i < SIBLINGS; i++) {
        bv_member_t member = router_fixture_member(i, 0, 0);
        bv_router_update(router, &member);
    }
    bv_pick_request_t request = {.service = "service-0", .priority = 150};
    GQueue in_flight = G_QUEUE_INIT;
    for (uint32_t i = 0; i < CALLS; i++) {
        bv_picked_t picked;
        bv_reason_t reason;
        int64_t now_us = (int64_t)(i + 1) * US_PER_MS;
        if (i == CALLS / 2) {
            bv_member_t member = router_fixture_member(0, 0, 0);
            member.incarnation = 2;
            bv_router_update(router, &member);
        }
        bv_router_pick(router, now_us, &request, &picked, &reason);
        g_queue_push_tail(&in_flight, g_strdup(picked.name));
        to_cold += i >= CALLS / 2 && i < CALLS / 2 + 1000 &&
                   router_fixture_member_number(&picked) == 0;
        if (in_flight.length > 20) {
            char *name = g_queue_pop_head(&in_flight);
            bv_feedback_t feedback = {
                .answered = true,
                .outcome = BV_OUTCOME_RAN,
                .latency_us = 20 * US_PER_MS,
            };
            bv_router_settle(router, now_us, name, &feedback);
            g_free(name);
        }
    }
    printf("%u of 1000 calls to the cold member\n", to_cold);
    ck_assert_uint_gt(to_cold, 0);
    ck_assert_uint_lt(to_cold, 1000 / SIBLINGS * 2 / 3);
    g_queue_clear_full(&in_flight, g_free);
    bv_router_destroy(router);
    g_rand_free(random);
}
END_TEST

/*
 * Guards against a choice of a member that cannot serve the call, and against
 * a call without a member although one can serve the call. Random changes of
 * members and random calls are compared with the reference model, in each mode
 * of placement.
 */
typedef struct {
    GRand *random;
    bv_router_t *router;
    naive_router_t *model;
    GPtrArray *in_flight;
    int64_t now_us;
    uint64_t picked;
    uint64_t without_member;
} run_t;

static void
change_member(run_t *run)
{
    uint32_t number = (uint32_t)g_rand_int_range(run->random, 0, MEMBERS);
    uint32_t service = (uint32_t)g_rand_int_range(run->random, 0, SERVICES);
    bv_member_t member = router_fixture_member(number, service, number % 3);
    member.state = (bv_member_state_t)g_rand_int_range(
        run->random, BV_MEMBER_ALIVE, BV_MEMBER_DEAD + 1);
    member.slots = (uint32_t)g_rand_int_range(run->random, 0, 4);
    member.incarnation = (uint64_t)g_rand_int_range(run->random, 1, 3);
    bv_router_update(run->router, &member);
    naive_router_update(run->model, &member);
}

static void
pick_random_member(run_t *run)
{
    char service[BV_NAME_BYTES];
    char first[BV_NAME_BYTES];
    const char *excluded[] = {first};
    g_snprintf(service, sizeof(service), "service-%d",
               g_rand_int_range(run->random, 0, SERVICES));
    g_snprintf(first, sizeof(first), "member-%d",
               g_rand_int_range(run->random, 0, MEMBERS));
    bv_pick_request_t request = {
        .service = service,
        .route_hash = (uint32_t)g_rand_int_range(run->random, 0, ROUTES),
        .priority = (uint16_t)g_rand_int_range(run->random, 0, 384),
        .excluded = excluded,
        .excluded_count = (uint32_t)g_rand_int_range(run->random, 0, 2),
    };
    bv_picked_t picked;
    bv_reason_t reason;
    bool found =
        bv_router_pick(run->router, run->now_us, &request, &picked, &reason);
    if (found != (naive_router_count_candidates(run->model, &request) > 0)) {
        ck_abort_msg("member found: %d, unlike the reference model", found);
    }
    if (!found) {
        run->without_member++;
        return;
    }
    if (picked.observed_name[0] != '\0' &&
        !naive_router_is_candidate(run->model, &request,
                                   picked.observed_name)) {
        ck_abort_msg("%s was observed but cannot serve the call",
                     picked.observed_name);
    }
    if (!naive_router_is_candidate(run->model, &request, picked.name)) {
        ck_abort_msg("%s was picked but cannot serve the call", picked.name);
    }
    run->picked++;
    g_ptr_array_add(run->in_flight, g_strdup(picked.name));
}

static void
settle_random_call(run_t *run)
{
    if (run->in_flight->len == 0) {
        return;
    }
    guint index =
        (guint)g_rand_int_range(run->random, 0, (gint32)run->in_flight->len);
    bv_feedback_t feedback = {
        .answered = g_rand_boolean(run->random),
        .route_hash = (uint32_t)g_rand_int_range(run->random, 0, ROUTES),
        .outcome = (bv_outcome_t)g_rand_int_range(run->random, 0, 3),
        .latency_us = g_rand_int_range(run->random, 0, 100 * US_PER_MS),
        .threshold = (uint16_t)g_rand_int_range(run->random, 0, 384),
        .wait_us = g_rand_int_range(run->random, 0, 50 * US_PER_MS),
        .report = {.load = (uint32_t)g_rand_int_range(run->random, 0, 64),
                   .usable = (uint32_t)g_rand_int_range(run->random, 0, 16),
                   .service_us =
                       g_rand_int_range(run->random, 0, 50 * US_PER_MS)},
        .served_us = g_rand_int_range(run->random, 0, 100 * US_PER_MS),
    };
    bv_router_settle(run->router, run->now_us, run->in_flight->pdata[index],
                     &feedback);
    g_ptr_array_remove_index_fast(run->in_flight, index);
}

START_TEST(test_random)
{
    support_random_run_t options = support_random_run(SEED, EVENTS);
    GRand *random = g_rand_new_with_seed(options.seed);
    run_t run = {
        .random = random,
        .router =
            router_fixture_create_placing(random, (bv_placement_mode_t)_i),
        .model = naive_router_create(),
        .in_flight = g_ptr_array_new_with_free_func(g_free),
    };
    for (uint64_t i = 0; i < options.events; i++) {
        gint32 random_percent = g_rand_int_range(random, 0, 100);
        run.now_us += g_rand_int_range(random, 0, US_PER_MS);
        if (random_percent < 2) {
            change_member(&run);
        }
        else if (random_percent < 51) {
            pick_random_member(&run);
        }
        else {
            settle_random_call(&run);
        }
    }
    printf("picked %llu, without a member %llu\n",
           (unsigned long long)run.picked,
           (unsigned long long)run.without_member);
    ck_assert_uint_gt(run.picked, 0);
    ck_assert_uint_gt(run.without_member, 0);
    g_ptr_array_unref(run.in_flight);
    naive_router_destroy(run.model);
    bv_router_destroy(run.router);
    g_rand_free(random);
}
END_TEST

static void
count_view(void *context, const bv_router_view_t *view)
{
    uint32_t *count = context;
    ck_assert_double_gt(view->expected_us, 0);
    ck_assert_double_gt(view->weight, 0);
    ck_assert_double_le(view->weight, 1);
    (*count)++;
}

/*
 * Guards against a status that leaves out a member that was called, or shows
 * members while placement is off.
 */
START_TEST(test_views)
{
    for (int mode = BV_PLACEMENT_OFF; mode <= BV_PLACEMENT_ON; mode++) {
        GRand *random = g_rand_new_with_seed(SEED);
        bv_router_t *router =
            router_fixture_create_placing(random, (bv_placement_mode_t)mode);
        bv_pick_request_t request = {.service = "service-0", .priority = 150};
        uint32_t count = 0;
        for (uint32_t i = 0; i < SIBLINGS; i++) {
            bv_member_t member = router_fixture_member(i, 0, 0);
            bv_router_update(router, &member);
        }
        for (uint32_t i = 0; i < 1000; i++) {
            bv_picked_t picked;
            bv_reason_t reason;
            bv_feedback_t feedback = {.answered = true,
                                      .outcome = BV_OUTCOME_RAN,
                                      .latency_us = 1000,
                                      .report = {1, 16, 800},
                                      .served_us = 800};
            ck_assert(bv_router_pick(router, i, &request, &picked, &reason));
            bv_router_settle(router, i, picked.name, &feedback);
        }
        bv_router_foreach(router, 1000, count_view, &count);
        ck_assert_uint_eq(count, mode == BV_PLACEMENT_OFF ? 0 : SIBLINGS);
        bv_router_destroy(router);
        g_rand_free(random);
    }
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"tiers", test_tiers, G_N_ELEMENTS(tier_cases)},
        {"subset", test_subset, 1},
        {"hedge_age", test_hedge_age, G_N_ELEMENTS(hedge_cases)},
        {"cold_start", test_cold_start, 1},
        {"random", test_random, BV_PLACEMENT_ON + 1},
        {"views", test_views, 1},
        {NULL}};
    return support_run("router", tests);
}
