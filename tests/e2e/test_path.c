#include "fixture.h"

#include "berylvane/common/headers.h"

#include <string.h>

/*
 * Guards against calls that are lost, run twice or answered with a wrong
 * status or outcome on the path from the caller's node over the peer node to
 * the target, and against an answer without an outcome when a deadline of 1 ms
 * passes. No fault is injected.
 */

#define KEY_HEADER "Idempotency-Key: key-of-a-caller\r\n"

static fixture_t *fixture;

static char *
header_or_empty(const bv_http_reply_t *reply, const char *name)
{
    char *value = bv_headers_get(reply->headers, name);
    return value != NULL ? value : g_strdup("");
}

typedef struct {
    const char *method;
    const char *path;
    const char *headers;
    const char *body;
    /*
     * Expected status; 0 if any status is accepted, provided that the answer
     * states an outcome.
     */
    uint16_t status;
    const char *outcome;
} call_case_t;

static const call_case_t call_cases[] = {
    {"GET", "/catalogue/saddles", NULL, NULL, 200, "ran"},
    {"POST", "/orders", NULL, "one saddle", 200, "ran"},
    {"POST", "/orders", KEY_HEADER, "two saddles", 200, "ran"},
    {"POST", "/orders", KEY_HEADER, "two saddles", 200, "ran"},
    {"POST", "/orders", KEY_HEADER, "three saddles", 422, "not-run"},
    {"GET", "/nowhere", NULL, NULL, 404, "not-run"},
    {"GET", "/catalogue/saddles", "Berylvane-Timeout-Ms: 1\r\n", NULL, 0,
     NULL},
};

/* Guards against a wrong status or outcome of a single call. */
START_TEST(test_single_calls)
{
    const call_case_t *call_case = &call_cases[_i];
    uint16_t port = cluster_ports(fixture->cluster, 0)->outside;
    bv_http_reply_t reply =
        cluster_call(port, call_case->method, call_case->path,
                     call_case->headers, call_case->body);
    char *outcome = header_or_empty(&reply, BV_HEADER_OUTCOME);
    if (call_case->status != 0) {
        ck_assert_uint_eq(reply.status, call_case->status);
        ck_assert_str_eq(outcome, call_case->outcome);
    }
    else {
        ck_assert_str_ne(outcome, "");
    }
    g_free(outcome);
    bv_http_reply_clear(&reply);
}
END_TEST

/*
 * Guards against a second execution of an order that was repeated with the
 * same idempotency key in test_single_calls.
 */
START_TEST(test_repeated_key_ran_once)
{
    ck_assert_uint_eq(fixture_executions(fixture, "key-of-a-caller"), 1);
}
END_TEST

/* Guards against answers that the records of the targets contradict. */
START_TEST(test_answers_match_records)
{
    ck_assert_int_eq(
        cluster_run_load(fixture->cluster,
                         json_object_get(fixture->deployment, "load"), "path",
                         NULL),
        0);
}
END_TEST

/*
 * Guards against a node that considers its target silent, and replaces the
 * session with that target, while the target works on a call for a second.
 */
START_TEST(test_long_call_keeps_session)
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
        {"single_calls", test_single_calls, G_N_ELEMENTS(call_cases)},
        {"repeated_key_ran_once", test_repeated_key_ran_once, 1},
        {"answers_match_records", test_answers_match_records, 1},
        {"long_call_keeps_session", test_long_call_keeps_session, 1},
        {NULL}};
    return fixture_run(&fixture, "path.json", "path", tests);
}
