#include "berylvane/core/config.h"
#include "berylvane/platform/dialect.h"
#include "support.h"

#include <string.h>

/*
 * The translation of the platform's configurations into bundles.
 */

static bv_settings_t settings = {.service = "shop"};

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

#define LONG_100                                                              \
    "01234567890123456789012345678901234567890123456789"                      \
    "01234567890123456789012345678901234567890123456789"

static const config_case_t config_cases[] = {
    {ROUTE("\"Prefix\":\"/x/\",\"Service\":\"a\""), NULL},
    {ROUTE("\"Prefix\":\"/x/\",\"WeightedServices\":[{\"Service\":\"a\","
           "\"Weight\":9},{\"Service\":\"b\",\"Weight\":1}]"),
     NULL},
    /* Names of 32 bytes and more, and prefixes of more than 256. */
    {"{\"Version\":\"r7\",\"Services\":[{\"Name\":\"a\"},{\"Name\":\"" LONG_100
         LONG_100
     "\"}],\"VirtualHosts\":[{\"Hostname\":\"h.example\",\"Paths\":["
     "{\"Name\":\"" LONG_100 "\",\"Type\":\"safe\",\"Prefix\":\"/x/\","
     "\"Service\":\"" LONG_100 LONG_100
     "\"},{\"Name\":\"two\",\"Type\":\"safe\","
     "\"Prefix\":\"/" LONG_100 LONG_100 LONG_100 "/\",\"Service\":\"a\"}]}]}",
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

int
main(void)
{
    const support_test_t tests[] = {{"translate_configuration",
                                     test_translate_configuration,
                                     G_N_ELEMENTS(config_cases)},
                                    {NULL}};
    return support_run("platform_configuration", tests);
}
