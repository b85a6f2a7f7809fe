#include "berylvane/core/config.h"
#include "support.h"

#include <string.h>

/*
 * Guards against a merge that differs from RFC 7396, which would put another
 * configuration in force than the one that was reviewed, and against a wrong
 * document that is accepted or reported without the place of the error.
 */
typedef struct {
    const char *document;
    const char *patch;
    const char *merged;
} merge_case_t;

static const merge_case_t merge_cases[] = {
    {"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
    {"{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}"},
    {"{\"a\":\"b\"}", "{\"a\":null}", "{}"},
    {"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
    {"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}",
     "{\"a\":{\"b\":\"d\"}}"},
    {"{\"e\":null}", "{\"a\":1}", "{\"e\":null,\"a\":1}"},
    {"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
    {"[\"a\",\"b\"]", "[\"c\",\"d\"]", "[\"c\",\"d\"]"},
};

/* The cases are examples of RFC 7396, appendix A. */
START_TEST(test_merge_patch)
{
    const merge_case_t *row = &merge_cases[_i];
    json_t *document = json_loads(row->document, 0, NULL);
    json_t *patch = json_loads(row->patch, 0, NULL);
    json_t *expected = json_loads(row->merged, 0, NULL);
    json_t *merged = bv_merge_patch(document, patch);
    ck_assert(json_equal(merged, expected));
    json_decref(merged);
    json_decref(expected);
    json_decref(patch);
    json_decref(document);
}
END_TEST

typedef struct {
    const char *base;
    const char *finding;
} finding_case_t;

static const finding_case_t finding_cases[] = {
    {"{}", "t: /: missing key \"services\""},
    {"{\"services\":{},\"x\":1}", "t: /x: unknown key"},
    {"{\"services\":{},\"retry\":{\"credits\":99}}",
     "t: /retry/credits: 99 is outside 0 to 16"},
    {"{\"services\":{\"a\":{\"department\":\"d\",\"routes\":{}}}}",
     "t: /services/a: department \"d\" is not declared"},
    {"{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"GET\"}}}}}",
     "t: /services/a/routes/r: missing key \"prefix\""},
    {"{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"GET\","
     "\"prefix\":\"x\"}}}}}",
     "t: /services/a/routes/r: prefix must start with /"},
    {"{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"POST\","
     "\"prefix\":\"/x\",\"hedge\":true}}}}}",
     "t: /services/a/routes/r: only an idempotent route can be hedged"},
    {"{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"GET\","
     "\"prefix\":\"/x\",\"class\":\"top\"}}}}}",
     "t: /services/a/routes/r/class: expected batch | normal | critical"},
    {"{\"services\":{},\"accounts\":[]}", "t: /accounts: expected an object"},
    {"{\"services\":{},\"accounts\":{\"\":{}}}",
     "t: /accounts/: name is empty"},
    {"{\"services\":{},\"accounts\":{\"a\":{\"rate_per_s\":-1}}}",
     "t: /accounts/a/rate_per_s: -1 is outside 0 to 4294967295"},
    {"{\"services\":{},\"accounts\":{\"a\":{\"key_digests\":[\"12\"]}}}",
     "t: /accounts/a/key_digests/0: expected 64 hexadecimal digits"},
    {"{\"services\":{},\"accounts\":{\"a\":{\"class\":\"top\"}}}",
     "t: /accounts/a/class: expected batch | normal | critical"},
    {"{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"GET\","
     "\"prefix\":\"/x\",\"public\":1}}}}}",
     "t: /services/a/routes/r/public: expected"},
};

START_TEST(test_findings)
{
    const finding_case_t *row = &finding_cases[_i];
    json_t *bundle =
        json_pack("{s:o}", "base", json_loads(row->base, 0, NULL));
    bv_findings_t *findings = bv_findings_create();
    ck_assert_ptr_null(bv_config_build(bundle, "site", 1, "t", findings));
    char *text = bv_findings_to_string(findings);
    ck_assert_msg(strstr(text, row->finding) != NULL, "got: %s", text);
    g_free(text);
    bv_findings_destroy(findings);
    json_decref(bundle);
}
END_TEST

/*
 * Long names. Guards against a configuration that is rejected as a whole, so
 * that its other changes do not apply, and against an entry that is left out
 * without a finding. TEXT stands for a text of some length.
 */
typedef struct {
    const char *base;
    /* Start of the finding without its TEXT; NULL: no finding. */
    const char *finding;
    guint length;
    /* Whether the route with the long name is there. */
    bool is_complete;
} length_case_t;

#define TEXT "TEXT"
#define OTHER                                                                 \
    "\"z\":{\"routes\":{\"r\":{\"method\":\"*\",\"prefix\":\"/z/\"}}}"
#define SERVICE_BASE                                                          \
    "{\"services\":{\"" TEXT "\":{\"routes\":{\"r\":{\"method\":\"*\","       \
    "\"prefix\":\"/x/\"}}}," OTHER "}}"
#define ROUTE_BASE                                                            \
    "{\"services\":{\"a\":{\"routes\":{\"" TEXT "\":{\"method\":\"*\","       \
    "\"prefix\":\"/x/\"}}}," OTHER "}}"
#define PREFIX_BASE                                                           \
    "{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"*\","              \
    "\"prefix\":\"/x/" TEXT "/\"},\"s\":{\"method\":\"*\","                   \
    "\"prefix\":\"/x/\"}}}," OTHER "}}"
#define HOST_BASE                                                             \
    "{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"*\","              \
    "\"prefix\":\"/x/\",\"host\":\"" TEXT "\"}}}," OTHER "}}"
#define PART_BASE                                                             \
    "{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"*\","              \
    "\"prefix\":\"/x/\",\"parts\":{\"a\":1,\"" TEXT "\":1}}}}," OTHER "}}"
#define ONLY_PART_BASE                                                        \
    "{\"services\":{\"a\":{\"routes\":{\"r\":{\"method\":\"*\","              \
    "\"prefix\":\"/x/\",\"parts\":{\"" TEXT "\":1}}}}," OTHER "}}"
#define DEPARTMENT_BASE                                                       \
    "{\"departments\":{\"" TEXT "\":{\"mode\":\"enforce\"}},\"services\":{"   \
    "\"a\":{\"department\":\"" TEXT "\",\"routes\":{\"r\":{\"method\":\"*\"," \
    "\"prefix\":\"/x/\"}}}," OTHER "}}"

static const length_case_t length_cases[] = {
    {SERVICE_BASE, NULL, 31, true},
    {SERVICE_BASE, NULL, 32, true},
    {SERVICE_BASE, NULL, 200, true},
    {SERVICE_BASE, "t: /services/xxx", 201, false},
    {SERVICE_BASE, "t: /services/xxx", 100000, false},
    {ROUTE_BASE, NULL, 32, true},
    {ROUTE_BASE, NULL, 1000, true},
    {PREFIX_BASE, NULL, 257, true},
    {PREFIX_BASE, NULL, 5000, true},
    {HOST_BASE, NULL, 255, true},
    {HOST_BASE, "t: /services/a/routes/r: entry left out", 256, false},
    {PART_BASE, NULL, 200, true},
    {PART_BASE, "t: /services/a/routes/r/parts/xxx", 201, true},
    {ONLY_PART_BASE, NULL, 200, true},
    {ONLY_PART_BASE, "t: /services/a/routes/r/parts/xxx", 201, false},
    {DEPARTMENT_BASE, NULL, 32, true},
    {DEPARTMENT_BASE, NULL, 200, true},
};

static json_t *
build_long_bundle(const length_case_t *row)
{
    char *text = g_strnfill(row->length, 'x');
    char **parts = g_strsplit(row->base, TEXT, -1);
    char *base = g_strjoinv(text, parts);
    json_t *bundle = json_pack("{s:o}", "base", json_loads(base, 0, NULL));
    g_free(base);
    g_strfreev(parts);
    g_free(text);
    return bundle;
}

START_TEST(test_long_names)
{
    const length_case_t *row = &length_cases[_i];
    json_t *bundle = build_long_bundle(row);
    char *host = g_strnfill(row->length, 'x');
    bv_findings_t *findings = bv_findings_create();
    bv_config_t *config = bv_config_build(bundle, "site", 1, "t", findings);
    char *text = bv_findings_to_string(findings);
    ck_assert_msg(config != NULL, "length %u: %.500s", row->length, text);
    ck_assert_ptr_nonnull(bv_config_find_route(config, host, "GET", "/z/1"));
    ck_assert_int_eq(bv_config_find_route(config, host, "GET", "/x/1") != NULL,
                     row->is_complete);
    ck_assert_int_eq(bv_findings_is_empty(findings), row->finding == NULL);
    if (row->finding != NULL) {
        ck_assert_msg(g_str_has_prefix(text, row->finding), "got: %.500s",
                      text);
        ck_assert_uint_lt(strlen(text), 1000);
    }
    g_free(text);
    g_free(host);
    bv_config_unref(config);
    bv_findings_destroy(findings);
    json_decref(bundle);
}
END_TEST

#define MANY_ENTRIES 1000

/* Guards against findings, and so log lines, without bound. */
START_TEST(test_many_long_names)
{
    json_t *services = json_object();
    for (int i = 0; i < MANY_ENTRIES; i++) {
        char *name = g_strdup_printf("%0201d", i);
        json_object_set_new(services, name, json_pack("{s:{}}", "routes"));
        g_free(name);
    }
    json_t *bundle = json_pack("{s:{s:o}}", "base", "services", services);
    bv_findings_t *findings = bv_findings_create();
    bv_config_t *config = bv_config_build(bundle, "site", 1, "t", findings);
    ck_assert_ptr_nonnull(config);
    ck_assert_uint_eq(findings->entries->len, 21);
    char *text = bv_findings_to_string(findings);
    ck_assert_ptr_nonnull(strstr(text, "980 further entries"));
    g_free(text);
    bv_config_unref(config);
    bv_findings_destroy(findings);
    json_decref(bundle);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"merge_patch", test_merge_patch, G_N_ELEMENTS(merge_cases)},
        {"findings", test_findings, G_N_ELEMENTS(finding_cases)},
        {"long_names", test_long_names, G_N_ELEMENTS(length_cases)},
        {"many_long_names", test_many_long_names, 1},
        {NULL}};
    return support_run("config", tests);
}
