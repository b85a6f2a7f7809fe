#include "fixture.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"

#include <signal.h>
#include <unistd.h>

/*
 * Guards against a node that never ends after SIGTERM, or that ends without an
 * answer to its caller, because the work of its target takes longer than the
 * drain limit. The limit is 1 s here, and the target works for 4 s.
 */

#define EXIT_TIMEOUT_US (60 * BV_US_PER_S)
#define POLL_US 10000

static fixture_t *fixture;

static gpointer
place_order(gpointer outcome)
{
    uint16_t port = cluster_ports(fixture->cluster, 0)->outside;
    bv_http_reply_t reply =
        cluster_call(port, "POST", "/orders", NULL, "one saddle");
    *(char **)outcome = bv_headers_get(reply.headers, BV_HEADER_OUTCOME);
    bv_http_reply_clear(&reply);
    return NULL;
}

/*
 * The node is stopped while the order runs. It must exit with status 0, and
 * the caller must get the outcome unknown: the target has begun the order.
 */
START_TEST(test_work_longer_than_limit)
{
    char *outcome = NULL;
    GThread *thread = g_thread_new("order", place_order, &outcome);
    while (fixture_executions(fixture, "POST") == 0) {
        usleep(POLL_US);
    }
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGTERM);
    ck_assert_int_eq(
        cluster_wait_exit(fixture->cluster, CLUSTER_NODE, 0, EXIT_TIMEOUT_US),
        0);
    g_thread_join(thread);
    ck_assert_str_eq(outcome, "unknown");
    g_free(outcome);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"work_longer_than_limit", test_work_longer_than_limit, 1}, {NULL}};
    return fixture_run(&fixture, "drain_limit.json", "drain_limit", tests);
}
