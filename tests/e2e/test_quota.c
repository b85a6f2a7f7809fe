#include "platform_fixture.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/common/program.h"

#include <jansson.h>
#include <stdlib.h>
#include <unistd.h>

/*
 * Guards against an account that exceeds its quota by using several nodes, a
 * refusal of a request that ran, and a refusal without a time to return.
 */
#define POLL_US 50000
#define RATE_PER_S 2
#define BURST 6
#define CALLS 300
#define TENANTS                                                               \
    "[{\"Name\":\"gold\",\"ApiKeys\":[\"k1\"],\"RatePerS\":2,"                \
    "\"Burst\":6},{\"Name\":\"free\",\"ApiKeys\":[\"k2\"]}]"
#define WITH_KEY(key)                                                         \
    "Host: h.example\r\nRequest-Id: 7\r\nAuthorization: Bearer " key "\r\n"

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

static void
start_deployment(void)
{
    fixture = (platform_fixture_t){0};
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_config(&fixture, 1, "/a/");
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    platform_wait_for_status(&fixture, 1, "/a/1", 200);
    platform_write_accounts(&fixture, 2, TENANTS);
    platform_wait_for_status(&fixture, 0, "/a/1", 401);
    platform_wait_for_status(&fixture, 1, "/a/1", 401);
}

static bv_http_reply_t
call(size_t node_index, const char *headers)
{
    uint16_t port = fixture.nodes[node_index].ports[PLATFORM_PORT_OUTBOUND];
    return platform_request(port, "GET", "/a/1", headers, NULL);
}

/* Returns the status of a call; a refusal must state when to return. */
static uint16_t
call_account(size_t node_index)
{
    bv_http_reply_t reply = call(node_index, WITH_KEY("k1"));
    uint16_t status = reply.status;
    if (status == 429) {
        char *text = bv_headers_get(reply.headers, "Retry-After");
        ck_assert_ptr_nonnull(text);
        ck_assert_double_gt(g_ascii_strtod(text, NULL), 0);
        g_free(text);
    }
    else {
        ck_assert_uint_eq(status, 200);
    }
    bv_http_reply_clear(&reply);
    return status;
}

static void
heartbeat_all(void)
{
    for (size_t i = 0; i < fixture.node_count; i++) {
        platform_heartbeat(&fixture, i, "ready");
    }
}

/* Calls until the account is admitted, which shows that it can recover. */
static void
wait_until_admitted(size_t node_index)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (call_account(node_index) != 200) {
        ck_assert_msg(bv_clock_now_us() < end_us, "node %zu only refuses",
                      node_index);
        heartbeat_all();
        usleep(POLL_US);
    }
}

static void
call_over_quota(void)
{
    gint served = g_atomic_int_get(&fixture.nodes[1].served);
    int64_t start_us = bv_clock_now_us();
    int admitted = 0;
    for (size_t i = 0; i < CALLS; i++) {
        admitted += call_account(i % fixture.node_count) == 200;
        if (i % 20 == 0) {
            heartbeat_all();
        }
    }
    double elapsed_s =
        (double)(bv_clock_now_us() - start_us) / (double)BV_US_PER_S;
    double bound = (RATE_PER_S * elapsed_s + BURST) * 1.1 + 20;
    ck_assert_int_gt(admitted, 0);
    ck_assert_double_le(admitted, MAX(bound, 1));
    ck_assert_int_eq(g_atomic_int_get(&fixture.nodes[1].served) - served,
                     admitted);
}

static void
check_status_page(size_t node_index)
{
    bv_http_reply_t reply = platform_request(
        fixture.nodes[node_index].ports[PLATFORM_PORT_OPERATORS], "GET",
        "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    const json_t *used =
        json_object_get(json_object_get(status, "quotas"), "used");
    const json_t *gold = json_array_get(used, 0);
    ck_assert_uint_eq(json_array_size(used), 1);
    ck_assert_str_eq(json_string_value(json_object_get(gold, "account")),
                     "gold");
    ck_assert_int_gt(json_integer_value(json_object_get(gold, "admitted")), 0);
    json_decref(status);
    bv_http_reply_clear(&reply);
}

START_TEST(test_quota)
{
    start_deployment();
    wait_until_admitted(0);
    wait_until_admitted(1);
    call_over_quota();
    for (int i = 0; i < 50; i++) {
        bv_http_reply_t reply = call(0, WITH_KEY("k2"));
        ck_assert_uint_eq(reply.status, 200);
        bv_http_reply_clear(&reply);
    }
    wait_until_admitted(0);
    wait_until_admitted(1);
    check_status_page(0);
    check_status_page(1);
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"quota", test_quota, 1}, {NULL}};
    apr_pool_t *pool = bv_program_start();
    atexit(kill_remaining);
    int status = support_run("e2e_quota", tests);
    bv_program_stop(pool);
    return status;
}
