#include "berylvane/node/settings.h"
#include "berylvane/platform/dialect.h"
#include "support.h"
#include "template.h"

#include <stdio.h>
#include <unistd.h>

/*
 * Guards against a bound of the users' platform that does not reach a node:
 * the template of the settings is filled in as the platform does it, and the
 * node's settings are read from the result.
 */

#define FIELDS(bounds)                                                        \
    "{\"NodeName\": \"side-a-1\", \"Service\": \"s1\", "                      \
    "\"Ip\": \"10.1.0.8\", \"Region\": \"r\", \"Zone\": \"z\", "              \
    "\"Listen\": {\"Outbound\": \"10.1.0.8:8304\", "                          \
    "\"Control\": \"10.1.0.8:8306\", \"Ready\": \"10.1.0.8:8302\"}, "         \
    "\"InternalPorts\": [7620, 7635], "                                       \
    "\"Platform\": {\"Address\": \"10.200.1.7:8309\"}, "                      \
    "\"Seeds\": [\"10.1.0.9:8306\"], \"Bounds\": {" bounds "}"

#define LIMITS                                                                \
    ", \"Limits\": {\"MemoryMb\": 260, \"MaxFds\": 4100, \"Cpu\": 0.4}"

typedef struct {
    const char *fields;
    int64_t drain_limit_ms;
    int64_t drain_notice_ms;
    int64_t config_apply_ms;
    json_int_t shared_reserve;
    int64_t revoke_ms;
    bool revoke_fails_closed;
    int64_t quota_window_ms;
    int64_t quota_overage_percent;
    int64_t quota_slack;
    int64_t memory_limit_mb;
    int64_t descriptor_limit;
} template_case_t;

#define DEFAULT_DRAIN_LIMIT_MS 120000
#define DRAIN_NOTICE_MS 2800
#define DEFAULT_REVOKE_MS 5000
/* Where the platform states no memory, that of its smallest instances. */
#define LEAST_MEMORY_MB 160

static const template_case_t cases[] = {
    {FIELDS("\"GraceS\": 6, \"ConfigApplyMs\": 2500, \"BudgetSlack\": 50, "
            "\"BudgetWindowS\": 10, \"RetryBudgetRatio\": 0.2, "
            "\"Unknown\": true") LIMITS "}",
     5150, DRAIN_NOTICE_MS, 2500, 48, DEFAULT_REVOKE_MS, false, 5000, 10, 20,
     260, 4100},
    {FIELDS("\"GraceS\": 3") "}", 2150, 1182, 0, 0, DEFAULT_REVOKE_MS, false,
     5000, 10, 20, LEAST_MEMORY_MB, 0},
    {FIELDS("\"RevokeMs\": 4000, \"RevokeFailClosed\": true") "}",
     DEFAULT_DRAIN_LIMIT_MS, DRAIN_NOTICE_MS, 0, 0, 4000, true, 5000, 10, 20,
     LEAST_MEMORY_MB, 0},
    {FIELDS("\"RevokeMs\": 4000, \"RevokeFailClosed\": false") "}",
     DEFAULT_DRAIN_LIMIT_MS, DRAIN_NOTICE_MS, 0, 0, 4000, false, 5000, 10, 20,
     LEAST_MEMORY_MB, 0},
    {FIELDS("\"BudgetSlack\": 124") "}", DEFAULT_DRAIN_LIMIT_MS,
     DRAIN_NOTICE_MS, 0, 122, DEFAULT_REVOKE_MS, false, 5000, 10, 20,
     LEAST_MEMORY_MB, 0},
    {FIELDS("") LIMITS "}", DEFAULT_DRAIN_LIMIT_MS, DRAIN_NOTICE_MS, 0, 0,
     DEFAULT_REVOKE_MS, false, 5000, 10, 20, 260, 4100},
    {FIELDS("\"QuotaWindowS\": 2.5, \"QuotaOverage\": 0.29, "
            "\"QuotaSlack\": 30") "}",
     DEFAULT_DRAIN_LIMIT_MS, DRAIN_NOTICE_MS, 0, 0, DEFAULT_REVOKE_MS, false,
     2500, 29, 30, LEAST_MEMORY_MB, 0},
    /* Not rounded up: the quota would exceed the platform's bound. */
    {FIELDS("\"QuotaOverage\": 0.125") "}", DEFAULT_DRAIN_LIMIT_MS,
     DRAIN_NOTICE_MS, 0, 0, DEFAULT_REVOKE_MS, false, 5000, 12, 20,
     LEAST_MEMORY_MB, 0},
};

static bv_settings_t *
load_settings(const char *fields)
{
    char *template = NULL;
    char *path = NULL;
    ck_assert(g_file_get_contents(TEMPLATE_PATH, &template, NULL, NULL));
    json_t *values = json_loads(fields, 0, NULL);
    ck_assert_ptr_nonnull(values);
    char *text = template_render(template, values);
    close(g_file_open_tmp("settings-XXXXXX.json", &path, NULL));
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    bv_findings_t *findings = bv_findings_create();
    bv_settings_t *settings = bv_settings_load(path, findings);
    char *problems = bv_findings_to_string(findings);
    ck_assert_msg(settings != NULL, "%s in\n%s", problems, text);
    remove(path);
    bv_findings_destroy(findings);
    json_decref(values);
    g_free(problems);
    g_free(path);
    g_free(text);
    g_free(template);
    return settings;
}

static json_int_t
shared_reserve(const bv_dialect_t *dialect)
{
    bv_findings_t *findings = bv_findings_create();
    json_t *row =
        json_loads("{\"Version\": \"r1\", \"VirtualHosts\": []}", 0, NULL);
    json_t *bundle =
        dialect->config_source->translate(dialect->context, row, findings);
    ck_assert_ptr_nonnull(bundle);
    json_t *retry = json_object_get(json_object_get(bundle, "base"), "retry");
    json_int_t reserve =
        json_integer_value(json_object_get(retry, "shared_reserve"));
    json_decref(bundle);
    json_decref(row);
    bv_findings_destroy(findings);
    return reserve;
}

START_TEST(test_bounds_reach_node)
{
    const template_case_t *row = &cases[_i];
    bv_settings_t *settings = load_settings(row->fields);
    const bv_dialect_t *dialect = bv_platform_dialect(settings);
    ck_assert_int_eq(settings->drain_limit_ms, row->drain_limit_ms);
    ck_assert_int_eq(settings->drain_notice_ms, row->drain_notice_ms);
    ck_assert_int_eq(settings->config_apply_ms, row->config_apply_ms);
    ck_assert_int_eq(settings->revoke_ms, row->revoke_ms);
    ck_assert_int_eq(settings->revoke_fails_closed, row->revoke_fails_closed);
    ck_assert_int_eq(settings->memory_limit_mb, row->memory_limit_mb);
    ck_assert_int_eq(settings->descriptor_limit, row->descriptor_limit);
    ck_assert_int_eq(shared_reserve(dialect), row->shared_reserve);
    ck_assert_int_eq(settings->quota_window_ms, row->quota_window_ms);
    ck_assert_int_eq(settings->quota_overage_percent,
                     row->quota_overage_percent);
    ck_assert_int_eq(settings->quota_slack, row->quota_slack);
    bv_settings_destroy(settings);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"bounds_reach_node", test_bounds_reach_node, G_N_ELEMENTS(cases)},
        {NULL}};
    return support_run("deploy_template", tests);
}
