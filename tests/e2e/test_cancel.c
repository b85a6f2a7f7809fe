#include "fixture.h"

#include "berylvane/common/clock.h"

#include <unistd.h>

/*
 * Guards against work that goes on for a caller that no longer waits for it.
 * This happens when a node in a chain of calls does not cancel its own call to
 * the next service after its caller has closed the connection.
 */

#define CALLER_TIMEOUT_US (300 * BV_US_PER_MS)
#define CANCEL_TIMEOUT_US (20 * BV_US_PER_S)

static fixture_t *fixture;

static void
set_depot_slowness(const char *percent)
{
    size_t depot = cluster_find_instance(fixture->cluster, "depot-1");
    uint16_t port = cluster_ports(fixture->cluster, depot)->target;
    char *json = g_strdup_printf("{\"slow_percent\": %s}", percent);
    ck_assert(cluster_set_faults(port, "/standin/control", json));
    g_free(json);
}

static void
call_and_time_out(void)
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
 * The caller closes its connection while the last service of the chain works.
 * Each of the three nodes must notice that its caller is gone, and cancel the
 * work at its target.
 */
START_TEST(test_work_cancelled_at_each_hop)
{
    set_depot_slowness("100000");
    call_and_time_out();
    int64_t end_us = bv_clock_now_us() + CANCEL_TIMEOUT_US;
    while (fixture_counter_sum(fixture, "callers_gone") < 3 ||
           fixture_counter_sum(fixture, "cancelled") < 3) {
        ck_assert_msg(bv_clock_now_us() < end_us,
                      "callers gone: %d, cancelled: %d, not 3 each",
                      (int)fixture_counter_sum(fixture, "callers_gone"),
                      (int)fixture_counter_sum(fixture, "cancelled"));
        usleep(20000);
    }
    set_depot_slowness("100");
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"work_cancelled_at_each_hop", test_work_cancelled_at_each_hop, 1},
        {NULL}};
    return fixture_run(&fixture, "path.json", "cancel", tests);
}
