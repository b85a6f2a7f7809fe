#include "berylvane/platform/dialect.h"
#include "support.h"

/*
 * The platform's bounds, applied to the node's settings and policy.
 */

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

int
main(void)
{
    const support_test_t tests[] = {
        {"revoke_bounds", test_revoke_bounds, G_N_ELEMENTS(revoke_cases)},
        {"apply_bounds", test_apply_bounds, G_N_ELEMENTS(bound_cases)},
        {NULL}};
    return support_run("platform_bounds", tests);
}
