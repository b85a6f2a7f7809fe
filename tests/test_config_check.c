#include "berylvane/core/config_check.h"
#include "berylvane/core/config_compare.h"
#include "support.h"

#include <string.h>

/*
 * Guards against a mistake in a valid configuration that is found only in
 * production, a correct configuration that is called wrong, and a change that
 * is not told or tells a key's digest.
 */

#define ROUTE(name, fields) "'" name "':{" fields "}"
#define SERVICE(name, routes) "'" name "':{'routes':{" routes "}}"
#define BASE(sections, services) "{" sections "'services':{" services "}}"
/* A base with one route, and sections before its services. */
#define ONE(sections, fields)                                                 \
    BASE(sections, SERVICE("a", ROUTE("r", "'prefix':'/x'," fields)))
#define GET "'method':'GET'"
#define DIGEST                                                                \
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define OTHER_DIGEST                                                          \
    "1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* Reads JSON in which ' stands for ". */
static json_t *
parse(const char *text)
{
    char *json = g_strdelimit(g_strdup(text), "'", '"');
    json_error_t error;
    json_t *value = json_loads(json, JSON_REJECT_DUPLICATES, &error);
    ck_assert_msg(value != NULL, "%s in %s", error.text, json);
    g_free(json);
    return value;
}

/* Returns a bundle with an overlay of the site n1 if `overlay` is not NULL. */
static json_t *
bundle_of(const char *base, const char *overlay)
{
    json_t *bundle = json_pack("{s:o, s:{}}", "base", parse(base), "overlays");
    if (overlay != NULL) {
        json_object_set_new(json_object_get(bundle, "overlays"), "n1",
                            parse(overlay));
    }
    return bundle;
}

static void
assert_lines(bv_findings_t *findings, const char *expected)
{
    char *text = bv_findings_to_string(findings);
    ck_assert_str_eq(text, expected);
    g_free(text);
    bv_findings_destroy(findings);
}

typedef struct {
    /* The mistake, or why there is none. */
    const char *name;
    const char *base;
    const char *overlay;
    /* All lines expected. */
    const char *errors;
    const char *warnings;
} check_case_t;

static const check_case_t check_cases[] = {
    {"none", ONE("", GET), NULL, "", ""},
    {"not valid", "{}", NULL, "t: /: missing key \"services\"\n", ""},
    {"weights that sum to nothing", ONE("", GET ",'parts':{'b':0}"), NULL,
     "t: /services/a/routes/r: at least one part needs a weight above 0\n",
     ""},
    {"equal routes in two services",
     BASE("", SERVICE("a", ROUTE("r", GET ",'prefix':'/x'")) "," SERVICE(
                  "b", ROUTE("s", GET ",'prefix':'/x'"))),
     NULL, "",
     "t: /services/a/routes/r: never matches: /services/b/routes/s has the "
     "same host and prefix, covers its method and takes precedence\n"},
    {"the order of the file does not count",
     BASE("", SERVICE("b", ROUTE("s", GET ",'prefix':'/x'")) "," SERVICE(
                  "a", ROUTE("r", GET ",'prefix':'/x'"))),
     NULL, "",
     "t: /services/a/routes/r: never matches: /services/b/routes/s has the "
     "same host and prefix, covers its method and takes precedence\n"},
    {"a later route for * hides one method",
     BASE("", SERVICE("a", ROUTE("r", GET ",'prefix':'/x'") "," ROUTE(
                               "s", "'method':'*','prefix':'/x'"))),
     NULL, "",
     "t: /services/a/routes/r: never matches: /services/a/routes/s has the "
     "same host and prefix, covers its method and takes precedence\n"},
    {"an earlier route for * hides no method",
     BASE("", SERVICE("a", ROUTE("r", "'method':'*','prefix':'/x'") "," ROUTE(
                               "s", GET ",'prefix':'/x'"))),
     NULL, "", ""},
    {"other method",
     BASE("", SERVICE("a", ROUTE("r", GET ",'prefix':'/x'") "," ROUTE(
                               "s", "'method':'PUT','prefix':'/x'"))),
     NULL, "", ""},
    {"longer prefix",
     BASE("", SERVICE("a", ROUTE("r", GET ",'prefix':'/x'") "," ROUTE(
                               "s", GET ",'prefix':'/x/'"))),
     NULL, "", ""},
    {"other host",
     BASE("", SERVICE("a", ROUTE("r", GET ",'prefix':'/x'") "," ROUTE(
                               "s", GET ",'prefix':'/x','host':'h'"))),
     NULL, "", ""},
    {"hosts that differ in case",
     BASE("",
          SERVICE("a", ROUTE("r", GET ",'prefix':'/x','host':'H'") "," ROUTE(
                           "s", GET ",'prefix':'/x','host':'h'"))),
     NULL, "",
     "t: /services/a/routes/r: never matches: /services/a/routes/s has the "
     "same host and prefix, covers its method and takes precedence\n"},
    {"aim above the timeout", ONE("", GET ",'timeout_ms':500,'aim_ms':501"),
     NULL, "",
     "t: /services/a/routes/r: aim_ms 501 is above timeout_ms 500\n"},
    {"aim at the timeout", ONE("", GET ",'timeout_ms':500,'aim_ms':500"), NULL,
     "", ""},
    {"fence at the timeout",
     ONE("'fencing':{'before_deadline_ms':300},", GET ",'timeout_ms':300"),
     NULL, "",
     "t: /services/a/routes/r: fencing.before_deadline_ms 300 is not below "
     "timeout_ms 300\n"},
    {"fence before the timeout",
     ONE("'fencing':{'before_deadline_ms':299},", GET ",'timeout_ms':300"),
     NULL, "", ""},
    {"default fence above the timeout", ONE("", GET ",'timeout_ms':100"), NULL,
     "",
     "t: /services/a/routes/r: fencing.before_deadline_ms 200 is not below "
     "timeout_ms 100\n"},
    {"queue target above the timeout",
     ONE("'admission':{'queue_target_ms':501},", GET ",'timeout_ms':500"),
     NULL, "",
     "t: /services/a/routes/r: admission.queue_target_ms 501 is above "
     "timeout_ms 500\n"},
    {"queue target at the timeout",
     ONE("'admission':{'queue_target_ms':500},", GET ",'timeout_ms':500"),
     NULL, "", ""},
    {"attempts without credits",
     ONE("'retry':{'credits':0},", GET ",'idempotent':true,'attempts':2"),
     NULL, "",
     "t: /services/a/routes/r: attempts 2 allows no retry: retry.credits is "
     "0\n"},
    {"one attempt without credits",
     ONE("'retry':{'credits':0},", GET ",'idempotent':true,'attempts':1"),
     NULL, "", ""},
    {"default attempts without credits",
     ONE("'retry':{'credits':0},", GET ",'idempotent':true"), NULL, "", ""},
    {"attempts of a route that is not idempotent",
     ONE("'retry':{'credits':0},", GET ",'attempts':2"), NULL, "", ""},
    {"hedge without credits",
     ONE("'retry':{'credits':0},", GET ",'idempotent':true,'hedge':true"),
     NULL, "",
     "t: /services/a/routes/r: hedge has no effect: retry.credits is 0\n"},
    {"hedge with credits", ONE("", GET ",'idempotent':true,'hedge':true"),
     NULL, "", ""},
    {"burst without a rate", ONE("'accounts':{'c':{'burst':5}},", GET), NULL,
     "", "t: /accounts/c: burst 5 has no effect: rate_per_s is 0\n"},
    {"burst with a rate",
     ONE("'accounts':{'c':{'burst':5,'rate_per_s':1}},", GET), NULL, "", ""},
    {"names that a pointer escapes",
     BASE("", SERVICE("a/b", ROUTE("~r", GET ",'prefix':'/x','timeout_ms':10,"
                                             "'aim_ms':11"))),
     NULL, "",
     "t: /services/a~1b/routes/~0r: aim_ms 11 is above timeout_ms 10\n"
     "t: /services/a~1b/routes/~0r: fencing.before_deadline_ms 200 is not "
     "below timeout_ms 10\n"},
    {"mistake of an overlay", ONE("", GET),
     "{'services':{'a':{'routes':{'r':{'aim_ms':3000}}}}}", "",
     "site n1: /services/a/routes/r: aim_ms 3000 is above timeout_ms 2000\n"},
    {"mistake of the base, told once", ONE("", GET ",'aim_ms':3000"), "{}", "",
     "t: /services/a/routes/r: aim_ms 3000 is above timeout_ms 2000\n"},
};

START_TEST(test_check)
{
    const check_case_t *row = &check_cases[_i];
    bv_findings_t *errors = bv_findings_create();
    bv_findings_t *warnings = bv_findings_create();
    json_t *bundle = bundle_of(row->base, row->overlay);
    bv_config_check(bundle, "t", errors, warnings);
    json_decref(bundle);
    assert_lines(errors, row->errors);
    assert_lines(warnings, row->warnings);
}
END_TEST

typedef struct {
    const char *name;
    const char *before;
    const char *after;
    const char *overlay;
    const char *changes;
} compare_case_t;

static const compare_case_t compare_cases[] = {
    {"none", ONE("", GET), ONE("", GET), "{}", ""},
    {"route added", BASE("", SERVICE("a", "")), ONE("", GET), NULL,
     "t: /services/a/routes/r: route added\n"},
    {"route and service removed", ONE("", GET), BASE("", ""), NULL,
     "t: /services/a: service removed\n"
     "t: /services/a/routes/r: route removed\n"},
    {"route changed", ONE("", GET ",'timeout_ms':500"),
     ONE("", "'method':'PUT','aim_ms':7,'timeout_ms':500"), NULL,
     "t: /services/a/routes/r: route changed: aim_ms from unset to 7, method "
     "from \"GET\" to \"PUT\"\n"},
    {"section and department changed",
     ONE("'retry':{'credits':1},'departments':{'d':{'mode':'observe'}},", GET),
     ONE("'retry':{'credits':0},'departments':{'d':{'mode':'enforce'}},", GET),
     NULL,
     "t: /retry: section changed: credits from 1 to 0\n"
     "t: /departments/d: department changed: mode from \"observe\" to "
     "\"enforce\"\n"},
    {"section added", ONE("", GET), ONE("'retry':{'credits':1},", GET), NULL,
     "t: /retry: section changed: credits from unset to 1\n"},
    {"accounts added, with a digest", ONE("", GET),
     ONE("'accounts':{'c':{'key_digests':['" DIGEST "']}},", GET), NULL,
     "t: /accounts: section added: callers need an API key\n"
     "t: /accounts/c: account added\n"},
    {"digest of an account changed, and its rate",
     ONE("'accounts':{'c':{'key_digests':['" DIGEST "']}},", GET),
     ONE("'accounts':{'c':{'key_digests':['" OTHER_DIGEST
         "'],'rate_per_s':5}},",
         GET),
     NULL,
     "t: /accounts/c: account changed: key_digests differ, rate_per_s from "
     "unset to 5\n"},
    {"account removed", ONE("'accounts':{'c':{},'d':{}},", GET),
     ONE("'accounts':{'d':{}},", GET), NULL,
     "t: /accounts/c: account removed\n"},
    {"change of an overlay", ONE("", GET), ONE("", GET),
     "{'services':{'a':{'routes':{'r':{'aim_ms':7}}}}}",
     "site n1: /services/a/routes/r: route changed: aim_ms from unset to "
     "7\n"},
    {"change of the base, told once", ONE("", GET), ONE("", GET ",'aim_ms':7"),
     "{}", "t: /services/a/routes/r: route changed: aim_ms from unset to 7\n"},
};

START_TEST(test_compare)
{
    const compare_case_t *row = &compare_cases[_i];
    bv_findings_t *changes = bv_findings_create();
    json_t *before = bundle_of(row->before, NULL);
    json_t *after = bundle_of(row->after, row->overlay);
    bv_config_compare(before, after, "t", changes);
    json_decref(before);
    json_decref(after);
    assert_lines(changes, row->changes);
}
END_TEST

/* Guards against an error that is missing in JSON for its file's name. */
START_TEST(test_json)
{
    bv_findings_t *findings = bv_findings_create();
    bv_findings_add(findings, "a\xff", "/x", "m");
    json_t *array = bv_findings_to_json(findings);
    json_t *expected = parse("[{'source':'a\\ufffd','place':'/x',"
                             "'message':'m'}]");
    ck_assert(json_equal(array, expected));
    json_decref(expected);
    json_decref(array);
    bv_findings_destroy(findings);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"check", test_check, G_N_ELEMENTS(check_cases)},
        {"compare", test_compare, G_N_ELEMENTS(compare_cases)},
        {"json", test_json, 1},
        {NULL}};
    return support_run("config_check", tests);
}
