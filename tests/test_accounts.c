#include "berylvane/common/account_counters.h"
#include "berylvane/common/clock.h"
#include "berylvane/core/access.h"
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

/* Guards against an account's calls that are shed by the class of the route.
 */
typedef struct {
    bv_account_t account;
    bv_class_t route_class;
    bv_class_t expected;
} class_case_t;

static const class_case_t class_cases[] = {
    {{.has_importance = true, .importance = BV_CLASS_CRITICAL},
     BV_CLASS_BATCH,
     BV_CLASS_CRITICAL},
    {{.has_importance = true, .importance = BV_CLASS_BATCH},
     BV_CLASS_CRITICAL,
     BV_CLASS_BATCH},
    {{.importance = BV_CLASS_NORMAL}, BV_CLASS_CRITICAL, BV_CLASS_CRITICAL},
};

START_TEST(test_classes)
{
    const class_case_t *row = &class_cases[_i];
    ck_assert_int_eq(bv_account_class(&row->account, row->route_class),
                     row->expected);
    ck_assert_int_eq(bv_account_class(NULL, row->route_class),
                     row->route_class);
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

/*
 * Header lines of a caller. Guards against a key that is read from a malformed
 * header, which two parsers may understand differently.
 */
typedef struct {
    const char *headers;
    bv_api_key_state_t state;
    const char *key;
} header_case_t;

#define OTHER "Host: h\r\n"

static const header_case_t header_cases[] = {
    {NULL, BV_API_KEY_ABSENT, NULL},
    {OTHER, BV_API_KEY_ABSENT, NULL},
    {"X-Authorization: Bearer k1\r\n", BV_API_KEY_ABSENT, NULL},
    {"Authorization: Bearer k1\r\n", BV_API_KEY_PRESENT, "k1"},
    {OTHER "authorization: bearer k1\r\n", BV_API_KEY_PRESENT, "k1"},
    {"AUTHORIZATION:BEARER k1\r\n" OTHER, BV_API_KEY_PRESENT, "k1"},
    {"Authorization:   Bearer k1  \r\n", BV_API_KEY_PRESENT, "k1"},
    {"Authorization: Bearer K1+/~._-=\r\n", BV_API_KEY_PRESENT, "K1+/~._-="},
    {"Authorization:\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer \r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearerk1\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Basic k1\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: k1\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer  k1\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer\tk1\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer k1 k2\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer k1, Bearer k2\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer k\x01\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer k\x7f\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer k\xc3\xa9\r\n", BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer k1\r\n" OTHER "Authorization: Bearer k1\r\n",
     BV_API_KEY_MALFORMED, NULL},
    {"Authorization: Bearer k1\r\nauthorization : Bearer k2\r\n",
     BV_API_KEY_MALFORMED, NULL},
};

START_TEST(test_headers)
{
    const header_case_t *row = &header_cases[_i];
    char *key;
    ck_assert_int_eq(bv_api_key_read(row->headers, &key), row->state);
    if (row->key != NULL) {
        ck_assert_str_eq(key, row->key);
    }
    else {
        ck_assert_ptr_null(key);
    }
    bv_api_key_free(key);
}
END_TEST

/* Around the longest key, and far beyond it. */
static const size_t key_lengths[] = {1, BV_API_KEY_LIMIT_BYTES,
                                     BV_API_KEY_LIMIT_BYTES + 1, 1000000};

START_TEST(test_key_lengths)
{
    size_t length = key_lengths[_i];
    char *text = g_strnfill(length, 'k');
    char *headers = g_strdup_printf("Authorization: Bearer %s\r\n", text);
    char *key;
    ck_assert_int_eq(bv_api_key_read(headers, &key),
                     length <= BV_API_KEY_LIMIT_BYTES ? BV_API_KEY_PRESENT
                                                      : BV_API_KEY_MALFORMED);
    bv_api_key_free(key);
    g_free(headers);
    g_free(text);
}
END_TEST

/*
 * Guards against a call that runs without a valid key, a call that is refused
 * although it needs none, and a refusal for good by a node that knows of a
 * newer configuration.
 */
typedef struct {
    bool has_accounts;
    bool is_outside;
    bool is_public;
    bool is_behind;
    bool is_outdated;
    /* NULL for no header. */
    const char *key;
    bv_access_t access;
    /* NULL if no account applies. */
    const char *account;
} access_case_t;

static const access_case_t access_cases[] = {
    {false, true, false, false, false, NULL, BV_ACCESS_GRANTED, NULL},
    {false, true, false, true, true, "k1", BV_ACCESS_GRANTED, NULL},
    {true, true, false, false, false, "k1", BV_ACCESS_GRANTED, "a"},
    {true, true, false, false, false, "k2", BV_ACCESS_GRANTED, "b"},
    {true, true, false, false, false, "k3", BV_ACCESS_DENIED, NULL},
    {true, true, false, false, false, NULL, BV_ACCESS_DENIED, NULL},
    {true, true, false, true, false, "k1", BV_ACCESS_GRANTED, "a"},
    {true, true, false, true, false, "k3", BV_ACCESS_UNDECIDED, NULL},
    {true, true, false, true, false, NULL, BV_ACCESS_UNDECIDED, NULL},
    {true, true, false, false, true, "k1", BV_ACCESS_OUTDATED, NULL},
    {true, true, false, false, true, "k3", BV_ACCESS_OUTDATED, NULL},
    {true, true, true, false, false, NULL, BV_ACCESS_GRANTED, NULL},
    {true, true, true, false, false, "k1", BV_ACCESS_GRANTED, NULL},
    {true, true, true, false, false, "k3", BV_ACCESS_GRANTED, NULL},
    {true, true, true, true, true, "k3", BV_ACCESS_GRANTED, NULL},
    {true, false, false, false, false, NULL, BV_ACCESS_GRANTED, NULL},
    {true, false, false, true, true, "k1", BV_ACCESS_GRANTED, NULL},
};

/* The first key was digested with the secret of the previous cluster key. */
static json_t *
two_accounts(void)
{
    bv_key_digest_t digest;
    char text[2 * BV_KEY_DIGEST_BYTES + 1];
    digest_of(OTHER_CLUSTER_KEY, "k1", &digest);
    bv_hex_write(text, digest.bytes, sizeof(digest.bytes));
    return json_pack("{s:{s:[s]}, s:{s:[o]}}", "a", "key_digests", text, "b",
                     "key_digests", digest_text("k2"));
}

START_TEST(test_access)
{
    const access_case_t *row = &access_cases[_i];
    bv_key_secret_t secrets[2];
    ck_assert(bv_key_secret_derive(CLUSTER_KEY, &secrets[0]));
    ck_assert(bv_key_secret_derive(OTHER_CLUSTER_KEY, &secrets[1]));
    json_t *section = two_accounts();
    bv_accounts_t *accounts = build(section);
    char *headers =
        row->key != NULL
            ? g_strdup_printf("Authorization: Bearer %s\r\n", row->key)
            : NULL;
    bv_access_input_t input = {
        .accounts = row->has_accounts ? accounts : NULL,
        .secrets = secrets,
        .secret_count = G_N_ELEMENTS(secrets),
        .headers = headers,
        .is_outside = row->is_outside,
        .is_public = row->is_public,
        .is_behind = row->is_behind,
        .is_outdated = row->is_outdated,
    };
    const bv_account_t *account;
    ck_assert_int_eq(bv_access_decide(&input, &account), row->access);
    if (row->account != NULL) {
        ck_assert_str_eq(account->name, row->account);
    }
    else {
        ck_assert_ptr_null(account);
    }
    g_free(headers);
    bv_accounts_destroy(accounts);
    json_decref(section);
}
END_TEST

/*
 * Guards against a key that reaches a target, and against a caller that
 * chooses the account that a target is told.
 */
typedef struct {
    const char *headers;
    const char *account_header;
    const char *account;
    const char *forwarded;
} forwarding_case_t;

static const forwarding_case_t forwarding_cases[] = {
    {OTHER "Authorization: Bearer k\r\nX: 1\r\n", "Tenant-Id", "a",
     OTHER "X: 1\r\nTenant-Id: a\r\n"},
    {"Tenant-Id: b\r\ntenant-id: c\r\n" OTHER, "Tenant-Id", "a",
     OTHER "Tenant-Id: a\r\n"},
    {"Tenant-Id: b\r\nauthorization: Bearer k\r\n" OTHER, "Tenant-Id", NULL,
     OTHER},
    {"Authorization : x\r\nTenant-Id : b\r\n" OTHER, "Tenant-Id", NULL, OTHER},
    {"Tenant-Id: b\r\nAuthorization: k\r\n", NULL, "a", "Tenant-Id: b\r\n"},
    {NULL, "Tenant-Id", "a", "Tenant-Id: a\r\n"},
};

START_TEST(test_forwarded_headers)
{
    const forwarding_case_t *row = &forwarding_cases[_i];
    char *headers = bv_access_forwarded_headers(
        row->headers, row->account_header, row->account);
    ck_assert_str_eq(headers, row->forwarded);
    g_free(headers);
}
END_TEST

/*
 * Guards against metrics that grow with the number of accounts, and against
 * statuses that are counted as one.
 */
START_TEST(test_counters)
{
    static const uint16_t statuses[] = {200, 304, 401, 403, 404,
                                        422, 429, 503, 504};
    GString *text = g_string_new(NULL);
    bv_account_counters_clear();
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        bv_account_counters_add("a\"b", statuses[i], true);
    }
    bv_account_counters_add(NULL, 401, true);
    bv_account_counters_add("a\"b", 503, false);
    for (int i = 0; i < 3 * BV_ACCOUNT_LABELS; i++) {
        char *name = g_strdup_printf("account-%d", i);
        bv_account_counters_add(name, 200, false);
        g_free(name);
    }
    bv_account_counters_render(text);
    char **lines = g_strsplit(text->str, "\n", -1);
    /* Two accounts with 10 and 1 kinds, 98 others with 1, the rest as one. */
    ck_assert_uint_eq(g_strv_length(lines), 2 + 10 + 1 + 98 + 1 + 1);
    const char *const expected[] = {
        "{account=\"a\\\"b\",status=\"401\",by=\"node\"} 1\n",
        "{account=\"a\\\"b\",status=\"429\",by=\"node\"} 1\n",
        "{account=\"a\\\"b\",status=\"503\",by=\"target\"} 1\n",
        "{account=\"a\\\"b\",status=\"4xx\",by=\"node\"} 1\n",
        "{account=\"\",status=\"401\",by=\"node\"} 1\n",
        "{account=\"(others)\",status=\"2xx\",by=\"target\"} 202\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        ck_assert_msg(strstr(text->str, expected[i]) != NULL, "no %s in %s",
                      expected[i], text->str);
    }
    g_strfreev(lines);
    g_string_free(text, TRUE);
    bv_account_counters_clear();
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"digest", test_digest, 1},
        {"fields", test_fields, 1},
        {"duplicates", test_duplicates, G_N_ELEMENTS(duplicate_places)},
        {"classes", test_classes, G_N_ELEMENTS(class_cases)},
        {"names", test_names, G_N_ELEMENTS(name_cases)},
        {"many", test_many, 1},
        {"section", test_section, 1},
        {"headers", test_headers, G_N_ELEMENTS(header_cases)},
        {"key_lengths", test_key_lengths, G_N_ELEMENTS(key_lengths)},
        {"access", test_access, G_N_ELEMENTS(access_cases)},
        {"forwarded_headers", test_forwarded_headers,
         G_N_ELEMENTS(forwarding_cases)},
        {"counters", test_counters, 1},
        {NULL}};
    return support_run("accounts", tests);
}
