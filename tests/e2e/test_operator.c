#include "fixture.h"

#include "berylvane/common/headers.h"

#include <string.h>
#include <sys/wait.h>

/*
 * Guards against berylvanectl commands and operator endpoints of a node that
 * accept wrong input, refuse valid input or report a wrong status.
 */

#define ARGUMENTS_LIMIT 8
#define TOKEN "Authorization: Bearer demo-token\r\n"

static fixture_t *fixture;

typedef struct {
    const char *arguments[ARGUMENTS_LIMIT];
    int status;
} command_case_t;

/*
 * Commands of berylvanectl and their exit statuses. "NODE" is replaced by the
 * URL of the operator listener of the first node, "@FILE" by the path of a
 * file in the directory of this test.
 */
static const command_case_t command_cases[] = {
    {{"validate", "--base", "@base.json"}, 0},
    {{"validate", "--base", "@bad-base.json"}, 2},
    {{"validate", "--base", "@no-such-file.json"}, 2},
    {{"check", "--base", "@base.json"}, 0},
    {{"check", "--base", "@base.json", "--json", "--strict"}, 0},
    {{"check", "--base", "@base_changed.json", "--against", "@base.json"}, 0},
    {{"check", "--base", "@check-base.json"}, 0},
    {{"check", "--base", "@check-base.json", "--strict"}, 1},
    {{"check", "--base", "@bad-base.json", "--strict"}, 2},
    {{"check", "--base", "@base.json", "--against", "@bad-base.json"}, 2},
    {{"check", "--base", "@base.json", "--overlay", "@overlay.json", "--site",
      "m1"},
     0},
    {{"check", "--base", "@base.json", "--overlay", "@overlay.json"}, 2},
    {{"check"}, 2},
    {{"check", "--base", "@base.json", "--platform", "http://127.0.0.1:1"}, 1},
    {{"validate", "--base", "@base.json", "--strict"}, 2},
    {{"render", "--base", "@base.json", "--site", "m1"}, 0},
    {{"diff", "--base", "@base.json"}, 0},
    {{"apply", "--base", "@bad-base.json"}, 2},
    {{"apply", "--base", "@base.json", "--node", "NODE", "--wait"}, 0},
    {{"apply"}, 2},
    {{"status", "--node", "NODE"}, 0},
    {{"status", "--node", "http://127.0.0.1:1"}, 1},
    {{"watch", "--node", "NODE", "--wait=1"}, 0},
    {{"explain", "config", "--node", "NODE"}, 0},
    {{"explain", "member", "stock-1", "--node", "NODE"}, 0},
    {{"explain", "counts", "--node", "NODE"}, 0},
    {{"explain", "nonsense", "--node", "NODE"}, 1},
    {{"explain", "--node", "NODE"}, 2},
    {{"drain", "--node", "NODE"}, 1},
    {{"no-such-command"}, 2},
};

static char *
expand_argument(const char *argument)
{
    if (argument != NULL && strcmp(argument, "NODE") == 0) {
        return g_strdup_printf("http://127.0.0.1:%u",
                               cluster_ports(fixture->cluster, 0)->operators);
    }
    if (argument != NULL && argument[0] == '@') {
        return g_build_filename(E2E_SOURCE, argument + 1, NULL);
    }
    return g_strdup(argument);
}

START_TEST(test_commands)
{
    const command_case_t *row = &command_cases[_i];
    char *arguments[ARGUMENTS_LIMIT];
    for (size_t i = 0; i < ARGUMENTS_LIMIT; i++) {
        arguments[i] = expand_argument(row->arguments[i]);
    }
    int status = cluster_run_ctl(fixture->cluster, arguments[0], arguments[1],
                                 arguments[2], arguments[3], arguments[4],
                                 arguments[5], arguments[6], NULL);
    for (size_t i = 0; i < ARGUMENTS_LIMIT; i++) {
        g_free(arguments[i]);
    }
    ck_assert_int_eq(WEXITSTATUS(status), row->status);
}
END_TEST

static json_t *
get_json(const char *path)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, 0)->operators, "GET",
                     path, NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *json = json_loadb(text, size, 0, NULL);
    bv_http_reply_clear(&reply);
    return json;
}

/* The decisions that a node records for a request must end with its answer. */
START_TEST(test_explain_request)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, 0)->outside, "GET",
                     "/catalogue/a", NULL, NULL);
    char *id = bv_headers_get(reply.headers, BV_HEADER_REQUEST_ID);
    char *path = g_strconcat("/explain/request/", id, NULL);
    json_t *decisions = get_json(path);
    size_t count = json_array_size(decisions);
    ck_assert_uint_ge(count, 2);
    const char *last = json_string_value(
        json_object_get(json_array_get(decisions, count - 1), "decision"));
    ck_assert_str_eq(last, "answered");
    json_decref(decisions);
    g_free(path);
    g_free(id);
    bv_http_reply_clear(&reply);
}
END_TEST

/* The value of a line of /metrics; -1 if there is no such line. */
static double
metric(const char *name)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, 0)->operators, "GET",
                     "/metrics", NULL, NULL);
    gsize size;
    const char *data = g_bytes_get_data(reply.body, &size);
    char *text = g_strndup(data, size);
    char *line = g_strdup_printf("\n%s ", name);
    const char *match = strstr(text, line);
    double value =
        match != NULL ? g_ascii_strtod(match + strlen(line), NULL) : -1;
    g_free(line);
    g_free(text);
    bv_http_reply_clear(&reply);
    return value;
}

/* Both pages must show the same generation, and the ages must be there. */
START_TEST(test_config_figures)
{
    json_t *status = get_json("/status");
    json_int_t generation =
        json_integer_value(json_object_get(status, "generation"));
    ck_assert_int_ge(generation, 1);
    ck_assert_int_eq((json_int_t)metric("berylvane_config_generation"),
                     generation);
    ck_assert_int_eq((json_int_t)metric("berylvane_config_heard_generation"),
                     generation);
    ck_assert_double_ge(metric("berylvane_config_source_age_seconds"), 0);
    ck_assert_double_ge(metric("berylvane_config_in_force_age_seconds"), 0);
    json_t *config = json_object_get(status, "config");
    ck_assert_int_eq(
        json_integer_value(json_object_get(config, "heard_generation")),
        generation);
    ck_assert_str_eq(json_string_value(json_object_get(config, "freshness")),
                     "current");
    ck_assert(json_is_integer(json_object_get(config, "source_age_ms")));
    ck_assert(json_is_integer(json_object_get(config, "in_force_age_ms")));
    json_decref(status);
}
END_TEST

/* Submits a bundle to a node; `version` is its "generation" and more. */
static uint16_t
submit_bundle(const char *version)
{
    char *body = g_strdup_printf("{%s}", version);
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, 0)->operators, "POST",
                     "/configuration", TOKEN, body);
    uint16_t status = reply.status;
    bv_http_reply_clear(&reply);
    g_free(body);
    return status;
}

/*
 * An operator must not be told that a bundle was taken when the node has
 * another one of the same generation in force, and it must stay in force.
 */
START_TEST(test_conflicting_bundle)
{
    json_t *before = get_json("/status");
    json_int_t generation =
        json_integer_value(json_object_get(before, "generation"));
    double conflicts = metric("berylvane_config_conflicts_total");
    double adopted = metric("berylvane_config_adopted_total");
    char *version = g_strdup_printf(
        "\"generation\": %" JSON_INTEGER_FORMAT ", \"base\": {}", generation);
    ck_assert_uint_eq(submit_bundle(version), 409);
    ck_assert_uint_eq(submit_bundle("\"generation\": 0"), 400);
    json_t *after = get_json("/status");
    ck_assert_int_eq(json_integer_value(json_object_get(after, "generation")),
                     generation);
    ck_assert_double_eq(metric("berylvane_config_conflicts_total"),
                        conflicts + 1);
    ck_assert_double_eq(metric("berylvane_config_adopted_total"), adopted);
    json_decref(after);
    json_decref(before);
    g_free(version);
}
END_TEST

typedef struct {
    const char *method;
    const char *path;
    const char *headers;
    uint16_t status;
} endpoint_case_t;

static const endpoint_case_t endpoint_cases[] = {
    {"GET", "/metrics", NULL, 200},
    {"GET", "/health", NULL, 200},
    {"GET", "/no-such-page", NULL, 404},
    {"POST", "/drain", NULL, 401},
    {"POST", "/drain", "Authorization: Bearer wrong\r\n", 401},
    {"POST", "/drain", TOKEN, 200},
    {"GET", "/health", NULL, 503},
};

/*
 * A request that changes the state of a node must be refused without the
 * operator token, and a node that drains must report that it is not healthy.
 * The cases run in order on one node.
 */
START_TEST(test_endpoints)
{
    const endpoint_case_t *row = &endpoint_cases[_i];
    size_t last = cluster_size(fixture->cluster) - 1;
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, last)->operators,
                     row->method, row->path, row->headers, NULL);
    ck_assert_uint_eq(reply.status, row->status);
    bv_http_reply_clear(&reply);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"commands", test_commands, G_N_ELEMENTS(command_cases)},
        {"explain_request", test_explain_request, 1},
        {"config_figures", test_config_figures, 1},
        {"conflicting_bundle", test_conflicting_bundle, 1},
        {"endpoints", test_endpoints, G_N_ELEMENTS(endpoint_cases)},
        {NULL}};
    return fixture_run(&fixture, "path.json", "operator", tests);
}
