#include "berylvane/core/accounts.h"

#include <sodium.h>
#include <string.h>

#define SECRET_PURPOSE "berylvane digests of api keys"
#define DIGEST_TEXT_LENGTH ((size_t)2 * BV_KEY_DIGEST_BYTES)
#define NO_CLASS (-1)

static const char *const class_choices[] = {"batch", "normal", "critical",
                                            NULL};

struct bv_accounts {
    /* bv_account_t by name; owns the accounts. */
    GHashTable *by_name;
    /* bv_account_t by bv_key_digest_t; owns the digests. */
    GHashTable *by_key;
};

typedef struct {
    bv_accounts_t *accounts;
    const char *source;
    bv_findings_t *findings;
} accounts_builder_t;

typedef struct {
    json_t *key_digests;
    int64_t importance;
    int64_t rate_per_s;
    int64_t burst;
} account_fields_t;

static const bv_field_t account_fields[] = {
    {.name = "key_digests",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(account_fields_t, key_digests)},
    {.name = "class",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(account_fields_t, importance),
     .choices = class_choices},
    {.name = "rate_per_s",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(account_fields_t, rate_per_s),
     .maximum = UINT32_MAX},
    {.name = "burst",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(account_fields_t, burst),
     .maximum = UINT32_MAX},
    {NULL}};

/* Digests are uniformly distributed, so that any four bytes are a hash. */
static guint
hash_digest(gconstpointer digest)
{
    guint hash;
    memcpy(&hash, digest, sizeof(hash));
    return hash;
}

static gboolean
equal_digests(gconstpointer left, gconstpointer right)
{
    return sodium_memcmp(left, right, BV_KEY_DIGEST_BYTES) == 0;
}

static void
free_account(gpointer data)
{
    bv_account_t *account = data;
    g_free(account->name);
    g_free(account);
}

bool
bv_key_secret_derive(const char *cluster_key, bv_key_secret_t *secret)
{
    uint8_t key[crypto_generichash_KEYBYTES];
    size_t size;
    if (sodium_hex2bin(key, sizeof(key), cluster_key, strlen(cluster_key),
                       NULL, &size, NULL) != 0 ||
        size != sizeof(key)) {
        return false;
    }
    crypto_generichash(secret->bytes, sizeof(secret->bytes),
                       (const uint8_t *)SECRET_PURPOSE, strlen(SECRET_PURPOSE),
                       key, sizeof(key));
    sodium_memzero(key, sizeof(key));
    return true;
}

void
bv_key_digest(const bv_key_secret_t *secret, const char *key, size_t length,
              bv_key_digest_t *digest)
{
    crypto_generichash(digest->bytes, BV_KEY_DIGEST_BYTES,
                       (const uint8_t *)key, length, secret->bytes,
                       sizeof(secret->bytes));
}

bool
bv_api_key_is_valid(const char *key, size_t length)
{
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(key[i])) {
            return false;
        }
    }
    return length > 0 && length <= BV_API_KEY_LIMIT_BYTES;
}

bool
bv_account_name_is_valid(const char *name)
{
    size_t length = strlen(name);
    if (length == 0 || length > BV_ACCOUNT_NAME_LIMIT_BYTES ||
        name[0] == ' ' || name[length - 1] == ' ') {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (g_ascii_iscntrl(name[i])) {
            return false;
        }
    }
    return true;
}

static bool
parse_digest(const json_t *value, bv_key_digest_t *digest)
{
    const char *text = json_string_value(value);
    size_t size;
    return text != NULL && strlen(text) == DIGEST_TEXT_LENGTH &&
           sodium_hex2bin(digest->bytes, sizeof(digest->bytes), text,
                          DIGEST_TEXT_LENGTH, NULL, &size, NULL) == 0 &&
           size == sizeof(digest->bytes);
}

static void
add_key_finding(const accounts_builder_t *builder, const char *pointer,
                size_t index, const char *problem)
{
    char *place = g_strdup_printf("%s/key_digests/%zu", pointer, index);
    bv_findings_add(builder->findings, builder->source, place, "%s", problem);
    g_free(place);
}

static void
add_keys(const accounts_builder_t *builder, bv_account_t *account,
         const json_t *digests, const char *pointer)
{
    size_t index;
    json_t *value;
    if (digests != NULL && !json_is_array(digests)) {
        bv_findings_add(builder->findings, builder->source, pointer,
                        "key_digests: expected a list");
    }
    json_array_foreach((json_t *)digests, index, value) {
        bv_key_digest_t digest;
        if (!parse_digest(value, &digest)) {
            add_key_finding(builder, pointer, index,
                            "expected 64 hexadecimal digits");
        }
        else if (g_hash_table_contains(builder->accounts->by_key, &digest)) {
            add_key_finding(builder, pointer, index, "duplicate key");
        }
        else {
            g_hash_table_insert(builder->accounts->by_key,
                                g_memdup2(&digest, sizeof(digest)), account);
        }
    }
}

static void
add_account(const accounts_builder_t *builder, const char *name,
            const json_t *entry, const char *pointer)
{
    account_fields_t fields = {.importance = NO_CLASS};
    if (!bv_account_name_is_valid(name)) {
        bv_findings_add(builder->findings, builder->source, pointer,
                        "name is empty, longer than %d bytes, or not valid "
                        "in a header",
                        BV_ACCOUNT_NAME_LIMIT_BYTES);
    }
    bv_fields_read(entry, account_fields, &fields, builder->source, pointer,
                   builder->findings);
    bv_account_t *account = g_new0(bv_account_t, 1);
    account->name = g_strdup(name);
    account->has_importance = fields.importance != NO_CLASS;
    account->importance = account->has_importance
                              ? (bv_class_t)fields.importance
                              : BV_CLASS_NORMAL;
    account->rate_per_s = (uint32_t)fields.rate_per_s;
    account->burst = (uint32_t)fields.burst;
    g_hash_table_insert(builder->accounts->by_name, account->name, account);
    add_keys(builder, account, fields.key_digests, pointer);
}

bv_accounts_t *
bv_accounts_build(const json_t *section, const char *source,
                  const char *pointer, bv_findings_t *findings)
{
    bv_accounts_t *accounts = g_new0(bv_accounts_t, 1);
    const accounts_builder_t builder = {accounts, source, findings};
    const char *name;
    json_t *entry;
    accounts->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
    accounts->by_key =
        g_hash_table_new_full(hash_digest, equal_digests, g_free, NULL);
    if (!json_is_object(section)) {
        bv_findings_add(findings, source, pointer, "expected an object");
    }
    json_object_foreach((json_t *)section, name, entry) {
        char *place = g_strdup_printf("%s/%s", pointer, name);
        add_account(&builder, name, entry, place);
        g_free(place);
    }
    return accounts;
}

void
bv_accounts_destroy(bv_accounts_t *accounts)
{
    if (accounts == NULL) {
        return;
    }
    g_hash_table_destroy(accounts->by_key);
    g_hash_table_destroy(accounts->by_name);
    g_free(accounts);
}

const bv_account_t *
bv_accounts_find_by_key(const bv_accounts_t *accounts,
                        const bv_key_digest_t *digest)
{
    return g_hash_table_lookup(accounts->by_key, digest);
}

const bv_account_t *
bv_accounts_find(const bv_accounts_t *accounts, const char *name)
{
    return g_hash_table_lookup(accounts->by_name, name);
}

bv_class_t
bv_account_class(const bv_account_t *account, bv_class_t route_class)
{
    return account != NULL && account->has_importance ? account->importance
                                                      : route_class;
}

void
bv_accounts_foreach(const bv_accounts_t *accounts,
                    void (*visit)(void *context, const bv_account_t *account),
                    void *context)
{
    GHashTableIter iterator;
    gpointer account;
    g_hash_table_iter_init(&iterator, accounts->by_name);
    while (g_hash_table_iter_next(&iterator, NULL, &account)) {
        visit(context, account);
    }
}
