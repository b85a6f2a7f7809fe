#include "berylvane/common/headers.h"
#include "berylvane/core/config.h"
#include "berylvane/platform/dialect.h"
#include "berylvane/platform/rows.h"
#include "support.h"

#include <string.h>

/*
 * Tests the translation between the platform's headers, documents and table
 * rows and the node's types, without a network.
 */

static bv_settings_t settings = {.service = "shop"};

/*
 * The header lines of requests. Guards against a wrong time limit, against
 * forwarded hop-by-hop headers, and against callers that set headers reserved
 * for berylvane, such as the name of the calling service.
 */
typedef struct {
    const char *lines;
    /* Status that refuses the request; 0 if it is accepted. */
    uint16_t status;
    int64_t timeout_us;
    /* A line that must be forwarded, and text that must not; NULL: none. */
    const char *forwarded_line;
    const char *removed_text;
} request_case_t;

#define BASE_LINES "Host: h.example\r\nRequest-Id: 7\r\n"

static const request_case_t request_cases[] = {
    {BASE_LINES "Request-Deadline: 1500\r\n", 0, 1500000, "Request-Id: 7\r\n",
     "Request-Deadline"},
    {BASE_LINES, 0, 0, "Host: h.example\r\n", NULL},
    {BASE_LINES, 0, 0, "Caller-Service: shop\r\n", NULL},
    {BASE_LINES "Caller-Service: bank\r\n", 0, 0, "Caller-Service: shop\r\n",
     "bank"},
    {BASE_LINES "target-instance: i-1\r\n", 0, 0, NULL, "i-1"},
    {BASE_LINES "X-Own: 1\r\n", 0, 0, "X-Own: 1\r\n", NULL},
    {BASE_LINES "traceparent: 00-1-2-01\r\n", 0, 0,
     "traceparent: 00-1-2-01\r\n", NULL},
    {BASE_LINES "Connection: close, X-Hop\r\nX-Hop: 1\r\n", 0, 0, NULL,
     "X-Hop"},
    {BASE_LINES "Transfer-Encoding: chunked\r\n", 0, 0, NULL, "chunked"},
    {BASE_LINES "Request-Deadline: soon\r\n", 400, 0, NULL, NULL},
    {BASE_LINES "Request-Deadline: -5\r\n", 400, 0, NULL, NULL},
    {"Host: h.example\r\n", 400, 0, NULL, NULL},
};

START_TEST(test_read_request_head)
{
    const request_case_t *row = &request_cases[_i];
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_call_t call = {.method = g_strdup("GET"), .path = g_strdup("/a/1")};
    uint16_t status = dialect->caller.read_head(
        dialect->caller.context, BV_LISTENER_OUTSIDE, row->lines, &call);
    ck_assert_uint_eq(status, row->status);
    if (status == 0) {
        ck_assert_int_eq(call.timeout_us, row->timeout_us);
        ck_assert_str_eq(call.host, "h.example");
        ck_assert_str_eq(call.label, "7");
    }
    if (row->forwarded_line != NULL) {
        ck_assert_ptr_nonnull(strstr(call.headers, row->forwarded_line));
    }
    if (row->removed_text != NULL) {
        ck_assert_ptr_null(strstr(call.headers, row->removed_text));
    }
    bv_call_clear(&call);
}
END_TEST

/*
 * The outcome of answers. Guards against an answer that was changed on the way
 * and is passed on, and against a request that is taken as run although the
 * target refused it, or as not run although the target may have run it.
 */
typedef struct {
    uint16_t status;
    const char *headers;
    bv_outcome_t outcome;
    bv_reason_t reason;
} answer_case_t;

#define SIGNED "Request-Id: 7\r\nResponse-Signature: s\r\n"

static const answer_case_t answer_cases[] = {
    {200, SIGNED, BV_OUTCOME_RAN, BV_REASON_NONE},
    {500, SIGNED, BV_OUTCOME_RAN, BV_REASON_NONE},
    {504, "Request-Id: 7\r\n", BV_OUTCOME_RAN, BV_REASON_NONE},
    {200, "Request-Id: 7\r\n", BV_OUTCOME_UNKNOWN, BV_REASON_BROKEN_ANSWER},
    {200, SIGNED "Content-Encoding: gzip\r\n", BV_OUTCOME_UNKNOWN,
     BV_REASON_BROKEN_ANSWER},
    {503, "Not-Executed: 1\r\n", BV_OUTCOME_NOT_RUN, BV_REASON_TARGET_REFUSED},
    {400, "Not-Executed: 1\r\n", BV_OUTCOME_NOT_RUN, BV_REASON_TARGET_REFUSED},
    {503, "", BV_OUTCOME_RAN, BV_REASON_NONE},
    {421, "Instance-Id: i-2\r\n", BV_OUTCOME_NOT_RUN, BV_REASON_WRONG_TARGET},
};

START_TEST(test_classify_answer)
{
    const answer_case_t *row = &answer_cases[_i];
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_http_answer_t answer = {
        .status = row->status,
        .headers = (char *)row->headers,
    };
    bv_target_result_t result = {.outcome = BV_OUTCOME_RAN};
    dialect->target.classify_answer(dialect->target.context, &answer, &result);
    ck_assert_int_eq(result.outcome, row->outcome);
    ck_assert_int_eq(result.reason, row->reason);
}
END_TEST

/*
 * The header lines of requests to the target. Guards against a lost deadline
 * or incarnation, and against an answer that is not checked for the request's
 * ID.
 */
START_TEST(test_write_request)
{
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_target_work_t work = {
        .instance = "i-1",
        .headers = "Request-Id: 7\r\n",
        .timeout_us = 1234567,
    };
    bv_target_head_t head = {.lines = g_string_new(NULL)};
    dialect->target.write_head(dialect->target.context, &work, &head);
    ck_assert_str_eq(head.echo_name, "Request-Id");
    ck_assert_str_eq(head.echo_value, "7");
    ck_assert_ptr_nonnull(
        strstr(head.lines->str, "Request-Deadline: 1234\r\n"));
    ck_assert_ptr_nonnull(strstr(head.lines->str, "Target-Instance: i-1\r\n"));
    g_string_free(head.lines, TRUE);
    g_free(head.echo_value);
}
END_TEST

/*
 * Announcements of a target. Guards against incomplete or malformed
 * announcements that are accepted, and against announcements that are refused
 * because of unknown fields.
 */
typedef struct {
    const char *path;
    const char *body;
    bool is_valid;
    bv_announcement_state_t state;
} announcement_case_t;

#define HEARTBEAT_PATH "/v1/instances/i-7/heartbeat"
#define INFO_FIELD "\"Info\":{\"Service\":\"a\",\"Slots\":4}"
#define ADDRESS_FIELD "\"Address\":\"10.0.0.1:80\""
#define STATUS_FIELD                                                          \
    "\"Status\":{\"State\":\"ready\",\"Sequence\":4,"                         \
    "\"ColdRemainingMs\":0}"

static const announcement_case_t announcement_cases[] = {
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD ",\"born\":99}", true,
     BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD ",\"New\":1}", true,
     BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD
     ",\"Status\":{\"State\":\"draining\",\"Sequence\":"
     "5,\"ColdRemainingMs\":0}}",
     true, BV_ANNOUNCED_DRAINING},
    {"/v1/instances/i-7/deregister", "", true, BV_ANNOUNCED_LEFT},
    {"/v1/instances//deregister", "", false, BV_ANNOUNCED_READY},
    {"/v1/instances/deregister", "", false, BV_ANNOUNCED_READY},
    {"/v1/instances/heartbeat", "", false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "", false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "[1]", false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD, false,
     BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "{" INFO_FIELD "," STATUS_FIELD "}", false,
     BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH, "{\"Address\":\"here\"," INFO_FIELD "," STATUS_FIELD "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD ",\"Info\":{\"Service\":7,\"Slots\":4}," STATUS_FIELD
     "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD
     ",\"Info\":{\"Service\":\"a\",\"Slots\":\"4\"}," STATUS_FIELD "}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD
     ",\"Status\":{\"State\":\"asleep\",\"Sequence\":4,"
     "\"ColdRemainingMs\":0}}",
     false, BV_ANNOUNCED_READY},
    {HEARTBEAT_PATH,
     "{" ADDRESS_FIELD "," INFO_FIELD "," STATUS_FIELD ",\"born\":\"x\"}",
     false, BV_ANNOUNCED_READY},
};

START_TEST(test_read_announcement)
{
    const announcement_case_t *row = &announcement_cases[_i];
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_findings_t *findings = bv_findings_create();
    bv_announcement_t announcement = {0};
    bv_call_t call = {
        .path = g_strdup(row->path),
        .body = g_bytes_new(row->body, strlen(row->body)),
    };
    bool is_valid = dialect->read_announcement(dialect->context, &call,
                                               &announcement, findings);
    ck_assert_int_eq(is_valid, row->is_valid);
    if (is_valid) {
        ck_assert_str_eq(announcement.instance, "i-7");
        ck_assert_int_eq(announcement.state, row->state);
    }
    bv_call_clear(&call);
    bv_findings_destroy(findings);
}
END_TEST

/*
 * Configurations in the platform's format. Guards against an invalid
 * configuration that becomes a bundle, and against a valid configuration whose
 * routes are not found.
 */
typedef struct {
    const char *text;
    /* Part of a finding; NULL if the configuration is valid. */
    const char *finding;
} config_case_t;

#define SERVICES "\"Services\":[{\"Name\":\"a\"},{\"Name\":\"b\"}]"
#define ROUTE(extra)                                                          \
    "{\"Version\":\"r7\"," SERVICES                                           \
    ",\"VirtualHosts\":[{\"Hostname\":\"h.example\",\"Paths\":[{\"Name\":"    \
    "\"one\",\"Type\":\"safe\"," extra "}]}]}"

static const config_case_t config_cases[] = {
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\""), NULL},
    {ROUTE("\"Prefix\":\"/x/\",\"WeightedServices\":[{\"Service\":\"a\","
           "\"Weight\":9},{\"Service\":\"b\",\"Weight\":1}]"),
     NULL},
    {ROUTE("\"Prefix\":\"/x\",\"Service\":\"a\""), "prefix"},
    {ROUTE("\"Prefix\":\"x/\",\"Service\":\"a\""), "prefix"},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"c\""), "service"},
    {ROUTE("\"Prefix\":\"/x/\",\"WeightedServices\":[{\"Service\":\"c\","
           "\"Weight\":9}]"),
     "service"},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\",\"TimeoutMs\":-1"),
     "not below 0"},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\",\"TimeoutMs\":\"9\""),
     "whole number"},
    {"{\"Version\":\"r7\"," SERVICES
     ",\"VirtualHosts\":[{\"Hostname\":\"h\",\"Paths\":[{\"Name\":\"one\","
     "\"Type\":\"maybe\",\"Prefix\":\"/x/\",\"Service\":\"a\"}]}]}",
     "type"},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\",\"TimeoutMs\":1.5"),
     "whole number"},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\","
           "\"TimeoutMs\":9223372036854775807"),
     NULL},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\","
           "\"MaxAttempts\":9223372036854775807"),
     NULL},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\","
           "\"TargetLatencyMs\":9223372036854775807"),
     NULL},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\","
           "\"Priority\":9223372036854775807"),
     NULL},
    {ROUTE("\"Prefix\":\"/x/\",\"WeightedServices\":[{\"Service\":\"a\","
           "\"Weight\":-1}]"),
     "not below 0"},
    {"{\"Version\":\"r0\"," SERVICES ",\"VirtualHosts\":[]}", "Version"},
    {"{\"Version\":\"r-1\"," SERVICES ",\"VirtualHosts\":[]}", "Version"},
    {"{\"Version\":\"r99999999999999999999\"," SERVICES
     ",\"VirtualHosts\":[]}",
     "Version"},
    {"{\"Version\":7," SERVICES ",\"VirtualHosts\":[]}", "Version"},
    {"{\"Version\":\"r7\"," SERVICES "}", "VirtualHosts"},
    {"{}", "Version"},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\",\"Public\":1"),
     "Public: expected true or false"},
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\",\"Public\":null"), NULL},
};

START_TEST(test_translate_configuration)
{
    const config_case_t *row = &config_cases[_i];
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_findings_t *findings = bv_findings_create();
    json_t *value = json_loads(row->text, 0, NULL);
    ck_assert_ptr_nonnull(value);
    json_t *bundle =
        dialect->config_source->translate(dialect->context, value, findings);
    if (row->finding != NULL) {
        char *text = bv_findings_to_string(findings);
        ck_assert_ptr_null(bundle);
        ck_assert_msg(strstr(text, row->finding) != NULL, "%s", text);
        g_free(text);
    }
    else {
        bv_config_t *config =
            bv_config_build(bundle, "any", 7, "bundle", findings);
        ck_assert_ptr_nonnull(config);
        const bv_route_t *route =
            bv_config_find_route(config, "H.example", "GET", "/x/1");
        ck_assert_ptr_nonnull(route);
        ck_assert(route->is_idempotent && !route->is_keyed);
        ck_assert_ptr_null(bv_config_find_route(config, "g", "GET", "/x/1"));
        bv_config_unref(config);
    }
    json_decref(bundle);
    json_decref(value);
    bv_findings_destroy(findings);
}
END_TEST

/*
 * The list "Tenants". Guards against accounts that lose a key, a class or a
 * rate in translation, against keys in clear text in a bundle or a finding,
 * and against an invalid entry that is accepted or reported without its place.
 */
#define CLUSTER_KEY                                                           \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define TENANTS(list)                                                         \
    "{\"Version\":\"r7\",\"VirtualHosts\":[],\"Tenants\":" list "}"

typedef struct {
    const char *text;
    /* Part of a finding; NULL if the list is valid. */
    const char *finding;
    /* The section "accounts" but for digests; NULL if there is none. */
    const char *accounts;
} tenant_case_t;

static const tenant_case_t tenant_cases[] = {
    {"{\"Version\":\"r7\",\"VirtualHosts\":[]}", NULL, NULL},
    {TENANTS("null"), NULL, NULL},
    {TENANTS("[]"), NULL, "{}"},
    {TENANTS("[{\"Name\":\"a\",\"ApiKeys\":[\"secret-1\",\"secret-2\"],"
             "\"Priority\":0,\"RatePerS\":50,\"Burst\":9}]"),
     NULL,
     "{\"a\":{\"keys\":2,\"class\":\"critical\",\"rate_per_s\":50,"
     "\"burst\":9}}"},
    {TENANTS("[{\"Name\":\"a\",\"Priority\":1},{\"Name\":\"b\","
             "\"Priority\":2},{\"Name\":\"c\",\"Priority\":3},"
             "{\"Name\":\"d\",\"Priority\":99}]"),
     NULL,
     "{\"a\":{\"keys\":0,\"class\":\"normal\"},"
     "\"b\":{\"keys\":0,\"class\":\"normal\"},"
     "\"c\":{\"keys\":0,\"class\":\"batch\"},"
     "\"d\":{\"keys\":0,\"class\":\"batch\"}}"},
    {TENANTS("[{\"Name\":\"a\",\"ApiKeys\":null,\"Priority\":null,"
             "\"RatePerS\":null,\"Burst\":null}]"),
     NULL, "{\"a\":{\"keys\":0}}"},
    {TENANTS("[{\"Name\":\"a\",\"RatePerS\":2.9,\"Burst\":0.5}]"), NULL,
     "{\"a\":{\"keys\":0,\"rate_per_s\":2,\"burst\":1}}"},
    {TENANTS("[{\"Name\":\"a\",\"RatePerS\":0,\"Burst\":1e99}]"), NULL,
     "{\"a\":{\"keys\":0,\"rate_per_s\":0,\"burst\":4294967295}}"},
    {TENANTS("{}"), "/Tenants: expected a list", NULL},
    {TENANTS("[7]"), "/Tenants/0/Name: expected a name", NULL},
    {TENANTS("[{\"Name\":\"\"}]"), "/Tenants/0/Name: expected a name", NULL},
    {TENANTS("[{\"Name\":\"a\\r\\nb\"}]"), "/Tenants/0/Name", NULL},
    {TENANTS("[{\"Name\":\"a\"},{\"Name\":\"a\"}]"),
     "/Tenants/1/Name: duplicate name", NULL},
    {TENANTS("[{\"Name\":\"a\",\"RatePerS\":-1}]"),
     "/Tenants/0/RatePerS: expected a number, not below 0", NULL},
    {TENANTS("[{\"Name\":\"a\",\"Burst\":\"9\"}]"),
     "/Tenants/0/Burst: expected a number", NULL},
    {TENANTS("[{\"Name\":\"a\",\"Priority\":-1}]"),
     "/Tenants/0/Priority: expected a whole number", NULL},
    {TENANTS("[{\"Name\":\"a\",\"ApiKeys\":\"secret-1\"}]"),
     "/Tenants/0/ApiKeys: expected a list", NULL},
    {TENANTS("[{\"Name\":\"a\",\"ApiKeys\":[\"\"]}]"),
     "/Tenants/0/ApiKeys/0: expected a key", NULL},
    {TENANTS("[{\"Name\":\"a\",\"ApiKeys\":[\"secret 1\"]}]"),
     "/Tenants/0/ApiKeys/0: expected a key", NULL},
    {TENANTS("[{\"Name\":\"a\",\"ApiKeys\":[\"secret-1\"]},"
             "{\"Name\":\"b\",\"ApiKeys\":[\"k\",\"secret-1\"]}]"),
     "/Tenants/1/ApiKeys/1: duplicate key, as /Tenants/0/ApiKeys/0", NULL},
};

/* Replaces the digests by their number, which the table of cases states. */
static void
count_keys(json_t *accounts)
{
    const char *name;
    json_t *account;
    json_object_foreach(accounts, name, account) {
        size_t count =
            json_array_size(json_object_get(account, "key_digests"));
        json_object_set_new(account, "keys", json_integer((json_int_t)count));
        json_object_del(account, "key_digests");
    }
}

START_TEST(test_translate_tenants)
{
    const tenant_case_t *row = &tenant_cases[_i];
    bv_settings_t keyed_settings = {.gossip_key = CLUSTER_KEY};
    const bv_dialect_t *dialect = bv_platform_dialect(&keyed_settings);
    bv_findings_t *findings = bv_findings_create();
    json_t *value = json_loads(row->text, 0, NULL);
    ck_assert_ptr_nonnull(value);
    json_t *bundle =
        dialect->config_source->translate(dialect->context, value, findings);
    char *problems = bv_findings_to_string(findings);
    ck_assert_ptr_null(strstr(problems, "secret"));
    if (row->finding != NULL) {
        ck_assert_ptr_null(bundle);
        ck_assert_msg(strstr(problems, row->finding) != NULL, "%s", problems);
    }
    else {
        ck_assert_msg(bundle != NULL, "%s", problems);
        char *text = json_dumps(bundle, 0);
        ck_assert_ptr_null(strstr(text, "secret"));
        free(text);
        json_t *accounts =
            json_object_get(json_object_get(bundle, "base"), "accounts");
        json_t *expected =
            row->accounts != NULL ? json_loads(row->accounts, 0, NULL) : NULL;
        count_keys(accounts);
        ck_assert_msg(expected == accounts || json_equal(expected, accounts),
                      "case %d", _i);
        json_decref(expected);
    }
    g_free(problems);
    json_decref(bundle);
    json_decref(value);
    bv_findings_destroy(findings);
}
END_TEST

/* The key that the platform states is the key that finds its account. */
START_TEST(test_translated_keys_are_found)
{
    bv_settings_t keyed_settings = {.gossip_key = CLUSTER_KEY};
    const bv_dialect_t *dialect = bv_platform_dialect(&keyed_settings);
    bv_findings_t *findings = bv_findings_create();
    bv_key_secret_t secret;
    bv_key_digest_t digest;
    json_t *value = json_loads(
        "{\"Version\":\"r7\"," SERVICES ",\"VirtualHosts\":[{\"Hostname\":"
        "\"h\",\"Paths\":[{\"Name\":\"one\",\"Type\":\"safe\",\"Prefix\":"
        "\"/x/\",\"Service\":\"a\",\"Public\":true}]}],\"Tenants\":["
        "{\"Name\":\"a\",\"ApiKeys\":[\"k1\",\"k2\"]},"
        "{\"Name\":\"b\",\"ApiKeys\":[\"k3\"]}]}",
        0, NULL);
    json_t *bundle =
        dialect->config_source->translate(dialect->context, value, findings);
    bv_config_t *config =
        bv_config_build(bundle, "any", 7, "bundle", findings);
    ck_assert_ptr_nonnull(config);
    ck_assert(bv_key_secret_derive(CLUSTER_KEY, &secret));
    bv_key_digest(&secret, "k2", 2, &digest);
    ck_assert_ptr_eq(bv_accounts_find_by_key(config->accounts, &digest),
                     bv_accounts_find(config->accounts, "a"));
    bv_key_digest(&secret, "k3", 2, &digest);
    ck_assert_ptr_eq(bv_accounts_find_by_key(config->accounts, &digest),
                     bv_accounts_find(config->accounts, "b"));
    ck_assert(bv_config_find_route(config, "h", "GET", "/x/1")->is_public);
    bv_config_unref(config);
    json_decref(bundle);
    json_decref(value);
    bv_findings_destroy(findings);
}
END_TEST

/*
 * The bounds on removed keys. Guards against a node that goes on with old keys
 * although it was told not to, and against one that stops although it was not.
 */
typedef struct {
    const char *bounds;
    int64_t revoke_ms;
    bool fails_closed;
} revoke_case_t;

static const revoke_case_t revoke_cases[] = {
    {"[]", 5000, false},
    {"[\"RevokeMs=\", \"RevokeFailClosed=\"]", 5000, false},
    {"[\"RevokeMs=3000\", \"RevokeFailClosed=false\"]", 3000, false},
    {"[\"RevokeMs=3000\", \"RevokeFailClosed=true\"]", 3000, true},
    {"[\"RevokeMs=-1\", \"RevokeFailClosed=yes\"]", 5000, false},
};

START_TEST(test_revoke_bounds)
{
    const revoke_case_t *row = &revoke_cases[_i];
    bv_settings_t bounded_settings = {
        .bounds = json_loads(row->bounds, 0, NULL),
        .revoke_ms = 5000,
    };
    bv_platform_dialect(&bounded_settings);
    ck_assert_int_eq(bounded_settings.revoke_ms, row->revoke_ms);
    ck_assert_int_eq(bounded_settings.revoke_fails_closed, row->fails_closed);
    json_decref(bounded_settings.bounds);
}
END_TEST

/*
 * The platform's bounds on retries and on draining. Guards against nodes that
 * together exceed a bound, and against an invalid bound that takes effect.
 */
typedef struct {
    const char *bounds;
    json_int_t ratio_percent;
    json_int_t shared_reserve;
    int64_t drain_limit_ms;
    int64_t drain_notice_ms;
    int64_t config_apply_ms;
} bound_case_t;

static const bound_case_t bound_cases[] = {
    {"[]", 14, 0, 9000, 2800, 0},
    {"[\"ConfigApplyMs=2500\"]", 14, 0, 9000, 2800, 2500},
    {"[\"ConfigApplyMs=soon\"]", 14, 0, 9000, 2800, 0},
    {"[\"GraceS=\", \"BudgetSlack=\", \"BudgetWindowS=\"]", 14, 0, 9000, 2800,
     0},
    {"[\"RetryBudgetRatio=0.2\", \"BudgetSlack=50\", \"GraceS=6\"]", 18, 48,
     5150, 2800, 0},
    {"[\"GraceS=3\"]", 14, 0, 2150, 1182, 0},
    {"[\"BudgetSlackX=9\", \"BudgetSlack=x\", 4, \"GraceS=0.5\"]", 14, 0, 0, 0,
     0},
    {"[\"BudgetSlack=1\", \"RetryBudgetRatio=0.01\"]", 0, 1, 9000, 2800, 0},
};

START_TEST(test_apply_bounds)
{
    const bound_case_t *row = &bound_cases[_i];
    bv_settings_t bounded_settings = {
        .bounds = json_loads(row->bounds, 0, NULL),
        .policy = json_loads("{\"retry\": {\"ratio_percent\": 14}}", 0, NULL),
        .drain_limit_ms = 9000,
        .drain_notice_ms = 2800,
    };
    const bv_dialect_t *dialect = bv_platform_dialect(&bounded_settings);
    bv_findings_t *findings = bv_findings_create();
    json_t *value =
        json_loads("{\"Version\": \"r1\", \"VirtualHosts\": []}", 0, NULL);
    json_t *bundle =
        dialect->config_source->translate(dialect->context, value, findings);
    ck_assert_ptr_nonnull(bundle);
    json_t *retry = json_object_get(json_object_get(bundle, "base"), "retry");
    ck_assert_int_eq(
        json_integer_value(json_object_get(retry, "ratio_percent")),
        row->ratio_percent);
    ck_assert_int_eq(
        json_integer_value(json_object_get(retry, "shared_reserve")),
        row->shared_reserve);
    ck_assert_int_eq(bounded_settings.drain_limit_ms, row->drain_limit_ms);
    ck_assert_int_eq(bounded_settings.drain_notice_ms, row->drain_notice_ms);
    ck_assert_int_eq(bounded_settings.config_apply_ms, row->config_apply_ms);
    json_decref(bundle);
    json_decref(value);
    bv_findings_destroy(findings);
    json_decref(bounded_settings.bounds);
    json_decref(bounded_settings.policy);
}
END_TEST

/*
 * A transaction that is refused once and then written. Guards against results
 * that do not match what was written: the operation whose condition failed has
 * to report the current row, and only the others are sent again.
 */
START_TEST(test_settle_transaction)
{
    json_t *operations =
        json_loads("[{\"op\":\"update\",\"key\":\"t/a\",\"value\":1,"
                   "\"revision\":3},{\"op\":\"insert\",\"key\":\"t/b\","
                   "\"value\":2},{\"op\":\"put\",\"key\":\"t/c\","
                   "\"value\":3},{\"op\":\"drop\",\"key\":\"t/d\"}]",
                   0, NULL);
    json_t *results = json_loads("[null,null,null,null]", 0, NULL);
    json_t *rows = json_loads(
        "[{\"Table\":\"t\",\"Key\":\"a\",\"Value\":\"OQ==\",\"Ver\":4}]", 0,
        NULL);
    json_t *transaction = bv_rows_build_transaction(operations, results);
    ck_assert_uint_eq(
        json_array_size(json_object_get(transaction, "ExpectedRevision")), 2);
    ck_assert_uint_eq(json_array_size(json_object_get(transaction, "Writes")),
                      3);
    ck_assert_uint_eq(json_array_size(json_object_get(transaction, "Remove")),
                      1);
    json_decref(transaction);
    ck_assert_uint_eq(bv_rows_settle_conflicts(operations, rows, results), 1);
    const json_t *first = json_array_get(results, 0);
    ck_assert_int_eq(json_integer_value(json_object_get(first, "value")), 9);
    transaction = bv_rows_build_transaction(operations, results);
    ck_assert_uint_eq(json_array_size(json_object_get(transaction, "Writes")),
                      2);
    json_decref(transaction);
    bv_rows_settle_written(results, 12);
    for (size_t i = 0; i < 4; i++) {
        const json_t *result = json_array_get(results, i);
        ck_assert_int_eq(json_is_true(json_object_get(result, "ok")), i > 0);
    }
    json_decref(rows);
    json_decref(results);
    json_decref(operations);
}
END_TEST

/*
 * Other programs may write rows in any form to the table. Guards against a row
 * that cannot be decoded and prevents the reading of the others.
 */
START_TEST(test_decode_rows)
{
    json_t *wire = json_loads(
        "[{\"Table\":\"t\",\"Key\":\"a\",\"Value\":\"MQ==\",\"Ver\":1},"
        "{\"Table\":\"t\",\"Key\":\"b\",\"Value\":\"?\",\"Ver\":2},"
        "{\"Table\":\"t\",\"Key\":\"c\",\"Value\":7,\"Ver\":3},"
        "{\"Table\":\"t\",\"Key\":\"d\",\"Value\":\"e30=\",\"Ver\":\"4\"},"
        "{\"Table\":\"t\",\"Key\":\"e\",\"Deleted\":true,\"Ver\":5},\"x\"]",
        0, NULL);
    json_t *rows = json_array();
    bv_rows_decode(wire, NULL, rows);
    ck_assert_uint_eq(json_array_size(rows), 2);
    json_decref(rows);
    rows = json_array();
    bv_rows_decode(wire, "t/a", rows);
    ck_assert_uint_eq(json_array_size(rows), 1);
    json_decref(rows);
    json_decref(wire);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"read_request_head", test_read_request_head,
         G_N_ELEMENTS(request_cases)},
        {"classify_answer", test_classify_answer, G_N_ELEMENTS(answer_cases)},
        {"write_request", test_write_request, 1},
        {"read_announcement", test_read_announcement,
         G_N_ELEMENTS(announcement_cases)},
        {"translate_configuration", test_translate_configuration,
         G_N_ELEMENTS(config_cases)},
        {"translate_tenants", test_translate_tenants,
         G_N_ELEMENTS(tenant_cases)},
        {"translated_keys_are_found", test_translated_keys_are_found, 1},
        {"revoke_bounds", test_revoke_bounds, G_N_ELEMENTS(revoke_cases)},
        {"apply_bounds", test_apply_bounds, G_N_ELEMENTS(bound_cases)},
        {"settle_transaction", test_settle_transaction, 1},
        {"decode_rows", test_decode_rows, 1},
        {NULL}};
    return support_run("platform", tests);
}
