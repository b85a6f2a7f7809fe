#include "fixture.h"

#include "berylvane/common/clock.h"

#include <unistd.h>

#define HEAL_TIMEOUT_US (120 * BV_US_PER_S)
#define POLL_US 100000
#define GOOD_IN_A_ROW 5

static fixture_t *fixture;

static uint16_t
ask(const char *method, const char *path, const char *body)
{
    size_t entry = cluster_find_instance(fixture->cluster, "orders-1");
    uint16_t port = cluster_ports(fixture->cluster, entry)->outside;
    bv_http_reply_t reply = cluster_call(
        port, method, path, "Berylvane-Timeout-Ms: 1000\r\n", body);
    uint16_t status = reply.status;
    bv_http_reply_clear(&reply);
    return status;
}

/* Waits until lookups and an order are answered again. */
static bool
answers_again(void)
{
    int64_t end_us = bv_clock_now_us() + HEAL_TIMEOUT_US;
    int good = 0;
    while (good < GOOD_IN_A_ROW) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        bool answered = ask("GET", "/stock/hides", NULL) == 200;
        good = answered ? good + 1 : 0;
        if (!answered) {
            usleep(POLL_US);
        }
    }
    return ask("POST", "/orders", "a saddle") == 200;
}

typedef struct {
    const char *name;
    bool (*fault)(const cluster_t *cluster, size_t instance);
    /* Whether a lookup must fail before the link is healed. */
    bool fails;
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"none", NULL, false},
    {"cut", cluster_link_cut, true},
    {"silent", cluster_link_silence, false},
    {"silent twice", cluster_link_silence, false},
    {"cut again", cluster_link_cut, true},
};

START_TEST(test_faults)
{
    const fault_case_t *row = &fault_cases[_i];
    size_t stock = cluster_find_instance(fixture->cluster, "stock-1");
    ck_assert(answers_again());
    if (row->fault != NULL) {
        ck_assert(row->fault(fixture->cluster, stock));
    }
    if (row->fails) {
        ck_assert_uint_ne(ask("GET", "/stock/hides", NULL), 200);
        ck_assert(cluster_link_heal(fixture->cluster, stock));
    }
    ck_assert(answers_again());
}
END_TEST

START_TEST(test_traffic_passes_links)
{
    size_t stock = cluster_find_instance(fixture->cluster, "stock-1");
    ck_assert_int_gt(cluster_link_stat(fixture->cluster, stock, "bytes"), 0);
    ck_assert_int_gt(cluster_link_stat(fixture->cluster, stock, "far_bytes"),
                     0);
    ck_assert_int_gt(cluster_link_stat(fixture->cluster, stock, "connections"),
                     0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"faults", test_faults, G_N_ELEMENTS(fault_cases)},
        {"traffic_passes_links", test_traffic_passes_links, 1},
        {NULL}};
    return fixture_run(&fixture, "link.json", "link", tests);
}
