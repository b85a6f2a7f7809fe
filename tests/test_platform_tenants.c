#include "berylvane/core/config.h"
#include "berylvane/platform/dialect.h"
#include "support.h"

#include <string.h>

/*
 * The platform's list of tenants, translated into client accounts.
 */
#define CLUSTER_KEY                                                           \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define TENANTS(list)                                                         \
    "{\"Version\":\"r7\",\"VirtualHosts\":[],\"Tenants\":" list "}"

/*
 * The list "Tenants". Guards against accounts that lose a key, a class or a
 * rate in translation, against keys in clear text in a bundle or a finding,
 * and against an invalid entry that is accepted or reported without its place.
 */
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
        "{\"Version\":\"r7\",\"Services\":[{\"Name\":\"a\"},{\"Name\":\"b\"}],"
        "\"VirtualHosts\":[{\"Hostname\":"
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

int
main(void)
{
    const support_test_t tests[] = {
        {"translate_tenants", test_translate_tenants,
         G_N_ELEMENTS(tenant_cases)},
        {"translated_keys_are_found", test_translated_keys_are_found, 1},
        {NULL}};
    return support_run("platform_tenants", tests);
}
