#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <stdlib.h>

/*
 * Guards against nodes that break the platform's protocol by losing headers,
 * statuses, heartbeats or configurations, or by accepting invalid ones.
 */
static platform_fixture_t fixture;

static uint16_t
ready_status(size_t node_index)
{
    return platform_request_status(
        fixture.nodes[node_index].ports[PLATFORM_PORT_READY], "GET",
        "/v1/ready", NULL, NULL);
}

static void
start_deployment(void)
{
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_config(&fixture, 1, "/a/");
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
}

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

/* All steps share one deployment, and each depends on those before it. */
START_TEST(test_platform_protocol)
{
    platform_node_t *back = &fixture.nodes[1];
    apr_pool_t *pool = bv_program_start();
    atexit(kill_remaining);
    start_deployment();
    ck_assert_uint_eq(ready_status(0), 200);
    /* Reserved headers of a caller must have no effect. */
    ck_assert_uint_eq(
        platform_call(&fixture, 0, "/a/1",
                      "Caller-Service: bank\r\nTarget-Instance: i-9\r\n"),
        200);
    ck_assert_str_eq(back->caller, "front");
    ck_assert_uint_eq(platform_call(&fixture, 0, "/none/1", ""), 404);
    ck_assert_uint_eq(
        platform_request_status(fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND],
                                "GET", "/a/1",
                                "Host: h.example\r\nRequest-Id: 7\r\n"
                                "Request-Deadline: soon\r\n",
                                NULL),
        400);
    /*
     * A refusal by the target must reach the caller; an answer with another
     * request id must not.
     */
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_REFUSE);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 503);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_WRONG_ID);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", "") / 100, 5);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_SERVE);
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    /* An invalid heartbeat must be refused and leave the target announced. */
    ck_assert_uint_eq(platform_heartbeat(&fixture, 1, "asleep"), 400);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 200);
    /* A new configuration must be adopted, also if the store lost history. */
    platform_control(&fixture, "{\"forget_history\": true}");
    platform_write_config(&fixture, 5, "/b/");
    platform_wait_for_status(&fixture, 0, "/b/1", 200);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 404);
    /* A target that drains must get no more calls. */
    ck_assert_uint_eq(platform_heartbeat(&fixture, 1, "draining"), 200);
    gint before = g_atomic_int_get(&back->served);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/b/1", ""), 503);
    ck_assert_int_eq(g_atomic_int_get(&back->served), before);
    ck_assert_uint_eq(
        platform_request_status(back->ports[PLATFORM_PORT_CONTROL], "POST",
                                "/v1/instances/i-1/deregister", NULL, ""),
        200);
    platform_stop(&fixture);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"platform_protocol", test_platform_protocol, 1}, {NULL}};
    return support_run("platform_path", tests);
}
