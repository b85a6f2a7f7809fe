#include "berylvane/core/traffic_split.h"
#include "support.h"

#include <string.h>

/*
 * Guards against shares of calls that drift away from the weights: a random
 * choice is far off after few calls, and equal starting positions on all nodes
 * send the first calls of every node to the same service.
 */
#define CALLS 1000
#define SERVICES 3

typedef struct {
    const char *name;
    uint32_t weights[SERVICES];
} case_t;

static const case_t cases[] = {
    {"even", {1, 1, 1}},
    {"uneven", {90, 10, 0}},
    {"large", {70000, 20000, 10000}},
    {"one", {5, 0, 0}},
};

static const char *const services[SERVICES] = {"a", "b", "c"};

static bv_route_t
make_route(const case_t *row)
{
    bv_route_t route = {
        .name = (char *)row->name,
        .service = (char *)services[0],
        .weighted_services =
            g_array_new(FALSE, TRUE, sizeof(bv_weighted_service_t)),
    };
    for (int i = 0; i < SERVICES; i++) {
        bv_weighted_service_t entry = {(char *)services[i], row->weights[i]};
        g_array_append_val(route.weighted_services, entry);
    }
    return route;
}

/* After each call, every service must be within 2 calls of its share. */
START_TEST(test_shares)
{
    const case_t *row = &cases[_i];
    bv_route_t route = make_route(row);
    GRand *random = g_rand_new_with_seed(1);
    bv_traffic_split_t *split = bv_traffic_split_create(random);
    double total = 0;
    uint32_t counts[SERVICES] = {0};
    for (int i = 0; i < SERVICES; i++) {
        total += row->weights[i];
    }
    for (int call = 1; call <= CALLS; call++) {
        counts[bv_traffic_split_choose(split, &route)[0] - 'a']++;
        for (int i = 0; i < SERVICES; i++) {
            double share = call * row->weights[i] / total;
            ck_assert_double_le(counts[i], share + 2);
            ck_assert_double_ge(counts[i], share - 2);
        }
    }
    bv_traffic_split_destroy(split);
    g_rand_free(random);
    g_array_unref(route.weighted_services);
}
END_TEST

/* The first calls of many nodes together must follow the weights. */
START_TEST(test_many_nodes)
{
    const case_t row = {"few", {80, 20, 0}};
    bv_route_t route = make_route(&row);
    uint32_t second = 0;
    for (guint32 node = 0; node < CALLS; node++) {
        GRand *random = g_rand_new_with_seed(node);
        bv_traffic_split_t *split = bv_traffic_split_create(random);
        second += strcmp(bv_traffic_split_choose(split, &route), "b") == 0;
        bv_traffic_split_destroy(split);
        g_rand_free(random);
    }
    ck_assert_uint_ge(second, CALLS / 10);
    ck_assert_uint_le(second, CALLS * 3 / 10);
    g_array_unref(route.weighted_services);
}
END_TEST

/* A route without weights sends all calls to its own service. */
START_TEST(test_single_service)
{
    bv_route_t route = {
        .name = "plain",
        .service = "home",
        .weighted_services =
            g_array_new(FALSE, TRUE, sizeof(bv_weighted_service_t)),
    };
    GRand *random = g_rand_new_with_seed(1);
    bv_traffic_split_t *split = bv_traffic_split_create(random);
    ck_assert_str_eq(bv_traffic_split_choose(split, &route), "home");
    bv_traffic_split_destroy(split);
    g_rand_free(random);
    g_array_unref(route.weighted_services);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"shares", test_shares, G_N_ELEMENTS(cases)},
        {"many_nodes", test_many_nodes, 1},
        {"single_service", test_single_service, 1},
        {NULL}};
    return support_run("traffic_split", tests);
}
