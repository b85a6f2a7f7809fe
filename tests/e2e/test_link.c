#include "fixture.h"

#include "berylvane/common/clock.h"

#include <unistd.h>

/*
 * Guards against nodes that keep using a broken connection to a peer, or never
 * connect again, so that calls to the peer fail after the network has
 * recovered. The link stand-in in front of an instance closes its connections,
 * or lets the open ones go silent without closing them.
 */

#define RECOVERY_TIMEOUT_US (120 * BV_US_PER_S)
#define POLL_US 100000
#define SUCCESSES_IN_A_ROW 5

static fixture_t *fixture;

static uint16_t
request_status(const char *method, const char *path, const char *body)
{
    size_t entry = cluster_find_instance(fixture->cluster, "orders-1");
    uint16_t port = cluster_ports(fixture->cluster, entry)->outside;
    bv_http_reply_t reply = cluster_call(
        port, method, path, "Berylvane-Timeout-Ms: 1000\r\n", body);
    uint16_t status = reply.status;
    bv_http_reply_clear(&reply);
    return status;
}

/*
 * Returns whether SUCCESSES_IN_A_ROW lookups in a row succeed within
 * RECOVERY_TIMEOUT_US, and then an order.
 */
static bool
service_recovers(void)
{
    int64_t end_us = bv_clock_now_us() + RECOVERY_TIMEOUT_US;
    int successes = 0;
    while (successes < SUCCESSES_IN_A_ROW) {
        if (bv_clock_now_us() > end_us) {
            return false;
        }
        bool succeeded = request_status("GET", "/stock/hides", NULL) == 200;
        successes = succeeded ? successes + 1 : 0;
        if (!succeeded) {
            usleep(POLL_US);
        }
    }
    return request_status("POST", "/orders", "a saddle") == 200;
}

typedef struct {
    const char *name;
    /* Injects the fault; NULL for no fault. */
    bool (*inject)(const cluster_t *cluster, size_t instance);
    /*
     * Whether a lookup must fail until the link is healed. While only the
     * open connections are silent, a lookup over a new connection may succeed.
     */
    bool lookup_fails;
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"no fault", NULL, false},
    {"link cut", cluster_link_cut, true},
    {"open connections silent", cluster_link_silence, false},
    {"open connections silent again", cluster_link_silence, false},
    {"link cut again", cluster_link_cut, true},
};

/* Service must work before the fault, and recover after the fault. */
START_TEST(test_recovery_from_link_fault)
{
    const fault_case_t *fault_case = &fault_cases[_i];
    size_t stock = cluster_find_instance(fixture->cluster, "stock-1");
    ck_assert(service_recovers());
    if (fault_case->inject != NULL) {
        ck_assert(fault_case->inject(fixture->cluster, stock));
    }
    if (fault_case->lookup_fails) {
        ck_assert_uint_ne(request_status("GET", "/stock/hides", NULL), 200);
        ck_assert(cluster_link_heal(fixture->cluster, stock));
    }
    ck_assert(service_recovers());
}
END_TEST

/*
 * Guards against links that are bypassed, which would make the other tests
 * pass without any fault. The counter "far_bytes" of a link holds the bytes
 * from and to other regions.
 */
START_TEST(test_links_carried_traffic)
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
        {"recovery_from_link_fault", test_recovery_from_link_fault,
         G_N_ELEMENTS(fault_cases)},
        {"links_carried_traffic", test_links_carried_traffic, 1},
        {NULL}};
    return fixture_run(&fixture, "link.json", "link", tests);
}
