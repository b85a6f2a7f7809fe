#include "fixture.h"

#include "berylvane/common/clock.h"

#include <unistd.h>

#define CALLER_TIMEOUT_US (300 * BV_US_PER_MS)
#define WAIT_US (20 * BV_US_PER_S)

static fixture_t *fixture;

static void
slow_depot(const char *percent)
{
    size_t depot = cluster_find_instance(fixture->cluster, "depot-1");
    uint16_t port = cluster_ports(fixture->cluster, depot)->target;
    char *json = g_strdup_printf("{\"slow_percent\": %s}", percent);
    ck_assert(cluster_set_faults(port, "/standin/control", json));
    g_free(json);
}

static void
call_and_leave(void)
{
    uint16_t port = cluster_ports(fixture->cluster, 0)->outside;
    char *url = g_strdup_printf("http://127.0.0.1:%u/catalogue/a", port);
    bv_http_call_t call = {
        .method = "GET",
        .url = url,
        .timeout_us = CALLER_TIMEOUT_US,
    };
    bv_http_reply_t reply = bv_http_call(&call);
    ck_assert_int_eq(reply.result, BV_HTTP_TIMEOUT);
    bv_http_reply_clear(&reply);
    g_free(url);
}

/*
 * The caller leaves while the deepest service works: its work is cancelled
 * at each of the three hops.
 */
START_TEST(test_chain)
{
    slow_depot("100000");
    call_and_leave();
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    while (fixture_counter_sum(fixture, "callers_gone") < 3 ||
           fixture_counter_sum(fixture, "cancelled") < 3) {
        ck_assert_msg(bv_clock_now_us() < end_us, "gone %d cancelled %d",
                      (int)fixture_counter_sum(fixture, "callers_gone"),
                      (int)fixture_counter_sum(fixture, "cancelled"));
        usleep(20000);
    }
    slow_depot("100");
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"chain", test_chain, 1}, {NULL}};
    return fixture_run(&fixture, "path.json", "cancel", tests);
}
