#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Guards against nodes that break the platform's protocol by losing headers,
 * statuses, heartbeats or configurations, or by accepting invalid ones.
 */
#define POLL_US 20000
/* Longer than a node with few members waits between two scans. */
#define SCANS_US (3 * BV_US_PER_S)

static platform_fixture_t fixture;

static uint16_t
ready_status(size_t node_index)
{
    return platform_request_status(
        fixture.nodes[node_index].ports[PLATFORM_PORT_READY], "GET",
        "/v1/ready", NULL, NULL);
}

/* Rows of the members' table that no node writes, by their JSON. */
static const char *const odd_members[] = {
    "[[[[[[[[",
    "{\"name\":99999999999999999999}",
    "{\"name\":\"n-7\",\"data_centre\":\"z\",\"region\":\"r\","
    "\"address\":\"some.host.example\",\"peer_port\":70000,"
    "\"gossip_port\":0,\"incarnation\":1,\"version\":1,\"slots\":1,"
    "\"state\":\"alive\",\"generation\":1}",
    "{\"name\":\"n-1\",\"data_centre\":\"z\",\"region\":\"r\","
    "\"address\":\"127.0.0.1\",\"peer_port\":1,\"gossip_port\":1,"
    "\"incarnation\":9223372036854775807,\"version\":4294967295,"
    "\"slots\":0,\"state\":\"alive\",\"generation\":1}",
};

/* Writes odd rows, and waits until all nodes have read the table. */
static void
store_odd_members(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_members); i++) {
        char *encoded = g_base64_encode((const guchar *)odd_members[i],
                                        strlen(odd_members[i]));
        char *body = g_strdup_printf(
            "{\"ExpectedRevision\":[],\"Writes\":[{\"Table\":\"member\","
            "\"part\":\"\",\"Key\":\"odd-%zu\",\"Value\":\"%s\"}],"
            "\"Remove\":[]}",
            i, encoded);
        ck_assert_uint_eq(platform_request_status(fixture.store_port, "POST",
                                                  "/v1/rows-tx", NULL, body),
                          200);
        g_free(body);
        g_free(encoded);
    }
    usleep(SCANS_US);
}

/* Whether /status of a node shows a freshness of the configuration. */
static bool
has_freshness(size_t node_index, const char *freshness)
{
    bv_http_reply_t reply = platform_request(
        fixture.nodes[node_index].ports[PLATFORM_PORT_OPERATORS], "GET",
        "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    const char *shown = json_string_value(
        json_object_get(json_object_get(status, "config"), "freshness"));
    bool is_same = g_strcmp0(shown, freshness) == 0;
    json_decref(status);
    bv_http_reply_clear(&reply);
    return is_same;
}

static void
wait_for_freshness(const char *freshness)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    for (size_t i = 0; i < fixture.node_count; i++) {
        while (!has_freshness(i, freshness)) {
            ck_assert_msg(bv_clock_now_us() < end_us, "node %zu is not %s", i,
                          freshness);
            usleep(POLL_US);
        }
    }
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
     * A refusal by the target must reach the caller; a refusal without a
     * request id on a kept connection, and an answer with another id must not.
     */
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_REFUSE);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 503);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_REFUSE_WITHOUT_ID);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 504);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_WRONG_ID);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", "") / 100, 5);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_SERVE);
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    /* An invalid heartbeat must be refused and leave the target announced. */
    ck_assert_uint_eq(platform_heartbeat(&fixture, 1, "asleep"), 400);
    back->service = "front";
    ck_assert_uint_eq(platform_heartbeat(&fixture, 1, "ready"), 400);
    back->service = "back";
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 200);
    /* Odd rows of another program must hide no member. */
    store_odd_members();
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 200);
    /* A new configuration must be adopted, also if the store lost history. */
    platform_control(&fixture, "{\"forget_history\": true}");
    platform_write_config(&fixture, 5, "/b/");
    platform_wait_for_status(&fixture, 0, "/b/1", 200);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 404);
    /* A store that does not answer must be marked until it answers again. */
    wait_for_freshness("current");
    platform_control(&fixture, "{\"mode\": \"hang\"}");
    wait_for_freshness("source_silent");
    platform_control(&fixture, "{\"mode\": \"up\"}");
    wait_for_freshness("current");
    platform_wait_for_status(&fixture, 0, "/b/1", 200);
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
