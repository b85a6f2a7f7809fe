#include "berylvane/common/clock.h"
#include "berylvane/core/config.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

/*
 * Guards against a key that is accepted for the wrong account or for none, a
 * digest that differs between nodes with the same cluster key, and a lookup
 * that grows with the number of accounts.
 */
#define CLUSTER_KEY                                                           \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define OTHER_CLUSTER_KEY                                                     \
    "10112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define MANY_ACCOUNTS 10000
#define KEYS_OF_EACH 5

static void
digest_of(const char *cluster_key, const char *key, bv_key_digest_t *digest)
{
    bv_key_secret_t secret;
    ck_assert(bv_key_secret_derive(cluster_key, &secret));
    bv_key_digest(&secret, key, strlen(key), digest);
}

static json_t *
digest_text(const char *key)
{
    bv_key_digest_t digest;
    char text[2 * BV_KEY_DIGEST_BYTES + 1];
    digest_of(CLUSTER_KEY, key, &digest);
    bv_hex_write(text, digest.bytes, sizeof(digest.bytes));
    return json_string(text);
}

static bv_accounts_t *
build(const json_t *section)
{
    bv_findings_t *findings = bv_findings_create();
    bv_accounts_t *accounts =
        bv_accounts_build(section, "t", "/accounts", findings);
    char *text = bv_findings_to_string(findings);
    ck_assert_msg(bv_findings_is_empty(findings), "got: %s", text);
    g_free(text);
    bv_findings_destroy(findings);
    return accounts;
}

static const bv_account_t *
find(const bv_accounts_t *accounts, const char *key)
{
    bv_key_digest_t digest;
    digest_of(CLUSTER_KEY, key, &digest);
    return bv_accounts_find_by_key(accounts, &digest);
}

START_TEST(test_digest)
{
    bv_key_digest_t first;
    bv_key_digest_t second;
    bv_key_secret_t secret;
    digest_of(CLUSTER_KEY, "key", &first);
    digest_of(CLUSTER_KEY, "key", &second);
    ck_assert_mem_eq(&first, &second, sizeof(first));
    digest_of(CLUSTER_KEY, "kez", &second);
    ck_assert_mem_ne(&first, &second, sizeof(first));
    digest_of(OTHER_CLUSTER_KEY, "key", &second);
    ck_assert_mem_ne(&first, &second, sizeof(first));
    ck_assert(!bv_key_secret_derive("0011", &secret));
    ck_assert(!bv_key_secret_derive("zz", &secret));
}
END_TEST

START_TEST(test_fields)
{
    json_t *section =
        json_pack("{s:{s:[o,o], s:s, s:i, s:i}, s:{s:[o]}, s:{}}", "gold",
                  "key_digests", digest_text("k1"), digest_text("k2"), "class",
                  "critical", "rate_per_s", 50, "burst", 100, "plain",
                  "key_digests", digest_text("k3"), "closed");
    bv_accounts_t *accounts = build(section);
    const bv_account_t *gold = bv_accounts_find(accounts, "gold");
    const bv_account_t *plain = bv_accounts_find(accounts, "plain");
    ck_assert_str_eq(gold->name, "gold");
    ck_assert(gold->has_importance);
    ck_assert_int_eq(gold->importance, BV_CLASS_CRITICAL);
    ck_assert_uint_eq(gold->rate_per_s, 50);
    ck_assert_uint_eq(gold->burst, 100);
    ck_assert(!plain->has_importance);
    ck_assert_uint_eq(plain->rate_per_s, 0);
    ck_assert_ptr_nonnull(bv_accounts_find(accounts, "closed"));
    ck_assert_ptr_null(bv_accounts_find(accounts, "none"));
    ck_assert_ptr_eq(find(accounts, "k1"), gold);
    ck_assert_ptr_eq(find(accounts, "k2"), gold);
    ck_assert_ptr_eq(find(accounts, "k3"), plain);
    ck_assert_ptr_null(find(accounts, "k4"));
    bv_accounts_destroy(accounts);
    json_decref(section);
}
END_TEST

static const char *const duplicate_places[] = {
    "t: /accounts/a/key_digests/1: duplicate key",
    "t: /accounts/b/key_digests/0: duplicate key",
};

START_TEST(test_duplicates)
{
    json_t *section = json_pack("{s:{s:[o,o]}, s:{s:[o]}}", "a", "key_digests",
                                digest_text("k"), digest_text("k"), "b",
                                "key_digests", digest_text("k"));
    bv_findings_t *findings = bv_findings_create();
    bv_accounts_t *accounts =
        bv_accounts_build(section, "t", "/accounts", findings);
    char *text = bv_findings_to_string(findings);
    ck_assert_msg(strstr(text, duplicate_places[_i]) != NULL, "got: %s", text);
    g_free(text);
    bv_findings_destroy(findings);
    bv_accounts_destroy(accounts);
    json_decref(section);
}
END_TEST

typedef struct {
    const char *name;
    bool is_valid;
} name_case_t;

/* A name is sent to targets in a header. */
static const name_case_t name_cases[] = {
    {"a", true},       {"Acme Ltd.", true}, {"\xc3\xa9t\xc3\xa9", true},
    {"", false},       {" a", false},       {"a ", false},
    {"a\r\nb", false}, {"a\tb", false},     {"a\x7f", false},
};

START_TEST(test_names)
{
    const name_case_t *row = &name_cases[_i];
    ck_assert_int_eq(bv_account_name_is_valid(row->name), row->is_valid);
}
END_TEST

static void
count_account(void *context, const bv_account_t *account)
{
    (void)account;
    (*(uint32_t *)context)++;
}

static char *
key_name(int account, int key)
{
    return g_strdup_printf("key-%d-%d", account, key);
}

static json_t *
many_accounts(void)
{
    json_t *section = json_object();
    for (int i = 0; i < MANY_ACCOUNTS; i++) {
        char *name = g_strdup_printf("account-%d", i);
        json_t *digests = json_array();
        for (int k = 0; k < KEYS_OF_EACH; k++) {
            char *key = key_name(i, k);
            json_array_append_new(digests, digest_text(key));
            g_free(key);
        }
        json_object_set_new(section, name,
                            json_pack("{s:o}", "key_digests", digests));
        g_free(name);
    }
    return section;
}

/* The printed times are information; no bound is asserted. */
START_TEST(test_many)
{
    uint32_t count = 0;
    json_t *section = many_accounts();
    int64_t start_us = bv_clock_now_us();
    bv_accounts_t *accounts = build(section);
    int64_t built_us = bv_clock_now_us();
    for (int i = 0; i < MANY_ACCOUNTS; i++) {
        char *name = g_strdup_printf("account-%d", i);
        for (int k = 0; k < KEYS_OF_EACH; k++) {
            char *key = key_name(i, k);
            const bv_account_t *account = find(accounts, key);
            ck_assert_ptr_nonnull(account);
            ck_assert_str_eq(account->name, name);
            g_free(key);
        }
        g_free(name);
    }
    printf("%d keys: built in %" G_GINT64_FORMAT
           " us, all digested and found in %" G_GINT64_FORMAT " us\n",
           MANY_ACCOUNTS * KEYS_OF_EACH, (gint64)(built_us - start_us),
           (gint64)(bv_clock_now_us() - built_us));
    bv_accounts_foreach(accounts, count_account, &count);
    ck_assert_uint_eq(count, MANY_ACCOUNTS);
    ck_assert_ptr_null(find(accounts, "key-10000-0"));
    bv_accounts_destroy(accounts);
    json_decref(section);
}
END_TEST

/* Without the section a configuration demands no key. */
START_TEST(test_section)
{
    json_t *bundle = json_pack(
        "{s:{s:{s:{s:{s:{s:s,s:s,s:b}, s:{s:s,s:s}}}}}}", "base", "services",
        "a", "routes", "open", "method", "GET", "prefix", "/open", "public", 1,
        "closed", "method", "GET", "prefix", "/closed");
    bv_findings_t *findings = bv_findings_create();
    bv_config_t *config = bv_config_build(bundle, "site", 1, "t", findings);
    ck_assert_ptr_null(config->accounts);
    ck_assert(bv_config_find_route(config, NULL, "GET", "/open")->is_public);
    ck_assert(
        !bv_config_find_route(config, NULL, "GET", "/closed")->is_public);
    bv_config_unref(config);
    json_object_set_new(json_object_get(bundle, "base"), "accounts",
                        json_pack("{s:{}}", "a"));
    config = bv_config_build(bundle, "site", 2, "t", findings);
    ck_assert_ptr_nonnull(bv_accounts_find(config->accounts, "a"));
    bv_config_unref(config);
    bv_findings_destroy(findings);
    json_decref(bundle);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"digest", test_digest, 1},
        {"fields", test_fields, 1},
        {"duplicates", test_duplicates, G_N_ELEMENTS(duplicate_places)},
        {"names", test_names, G_N_ELEMENTS(name_cases)},
        {"many", test_many, 1},
        {"section", test_section, 1},
        {NULL}};
    return support_run("accounts", tests);
}
