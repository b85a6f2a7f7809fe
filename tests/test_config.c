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

int
main(void)
{
    const support_test_t tests[] = {
        {"merge_patch", test_merge_patch, G_N_ELEMENTS(merge_cases)},
        {"findings", test_findings, G_N_ELEMENTS(finding_cases)},
        {NULL}};
    return support_run("config", tests);
}
