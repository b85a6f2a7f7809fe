#include "fixture.h"

#include "berylvane/common/headers.h"

#include <string.h>

#define OWN_KEY "Idempotency-Key: key-of-a-caller\r\n"

static fixture_t *fixture;

static char *
header(const bv_http_reply_t *reply, const char *name)
{
    char *value = bv_headers_get(reply->headers, name);
    return value != NULL ? value : g_strdup("");
}

typedef struct {
    const char *method;
    const char *path;
    const char *headers;
    const char *body;
    uint16_t status;
    const char *outcome;
} call_case_t;

static const call_case_t call_cases[] = {
    {"GET", "/catalogue/saddles", NULL, NULL, 200, "ran"},
    {"POST", "/orders", NULL, "one saddle", 200, "ran"},
    {"POST", "/orders", OWN_KEY, "two saddles", 200, "ran"},
    {"POST", "/orders", OWN_KEY, "two saddles", 200, "ran"},
    {"POST", "/orders", OWN_KEY, "three saddles", 422, "not-run"},
    {"GET", "/nowhere", NULL, NULL, 404, "not-run"},
    {"GET", "/catalogue/saddles", "Berylvane-Timeout-Ms: 1\r\n", NULL, 0,
     NULL},
};

START_TEST(test_calls)
{
    const call_case_t *row = &call_cases[_i];
    uint16_t port = cluster_ports(fixture->cluster, 0)->outside;
    bv_http_reply_t reply =
        cluster_call(port, row->method, row->path, row->headers, row->body);
    char *outcome = header(&reply, BV_HEADER_OUTCOME);
    if (row->status != 0) {
        ck_assert_uint_eq(reply.status, row->status);
        ck_assert_str_eq(outcome, row->outcome);
    }
    else {
        ck_assert_str_ne(outcome, "");
    }
    g_free(outcome);
    bv_http_reply_clear(&reply);
}
END_TEST

START_TEST(test_key_ran_once)
{
    ck_assert_uint_eq(fixture_executions(fixture, "key-of-a-caller"), 1);
}
END_TEST

START_TEST(test_load)
{
    ck_assert_int_eq(
        cluster_run_load(fixture->cluster,
                         json_object_get(fixture->deployment, "load"), "path",
                         NULL),
        0);
}
END_TEST

/* Work that takes a second at the target beside the node that was asked. */
START_TEST(test_own_target_not_silent)
{
    size_t depot = cluster_find_instance(fixture->cluster, "depot-1");
    uint16_t port = cluster_ports(fixture->cluster, depot)->outside;
    bv_http_reply_t reply =
        cluster_call(port, "GET", "/depot/long", NULL, NULL);
    ck_assert_uint_eq(reply.status, 200);
    bv_http_reply_clear(&reply);
    ck_assert_uint_eq(fixture_counter(fixture, depot, "progress_replaced"), 0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"calls", test_calls, G_N_ELEMENTS(call_cases)},
        {"key_ran_once", test_key_ran_once, 1},
        {"load", test_load, 1},
        {"own_target_not_silent", test_own_target_not_silent, 1},
        {NULL}};
    return fixture_run(&fixture, "path.json", "path", tests);
}
