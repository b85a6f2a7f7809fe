#include "berylvane/core/access.h"

#include "berylvane/common/headers.h"

#include <sodium.h>
#include <string.h>

#define SCHEME "Bearer "

typedef struct {
    uint32_t count;
    /* The value of the first header; NULL before. */
    char *value;
} key_header_t;

typedef struct {
    GString *lines;
    const char *account_header;
} forwarding_t;

/* HTTP parsers differ in whether blanks beside a name belong to it. */
static bool
is_named(const char *name, const char *expected)
{
    size_t length = strlen(expected);
    name += strspn(name, " \t");
    return g_ascii_strncasecmp(name, expected, length) == 0 &&
           name[length + strspn(name + length, " \t")] == '\0';
}

static void
find_key_header(void *context, const char *name, const char *value)
{
    key_header_t *header = context;
    if (!is_named(name, BV_ACCESS_HEADER)) {
        return;
    }
    header->count++;
    if (header->value == NULL) {
        header->value = g_strdup(value);
    }
}

void
bv_api_key_free(char *key)
{
    if (key != NULL) {
        sodium_memzero(key, strlen(key));
        g_free(key);
    }
}

/* Returns the key in the value of the header, or NULL if it is malformed. */
static char *
parse_value(const char *value)
{
    size_t length = strlen(SCHEME);
    if (g_ascii_strncasecmp(value, SCHEME, length) != 0) {
        return NULL;
    }
    const char *key = value + length;
    return bv_api_key_is_valid(key, strlen(key)) ? g_strdup(key) : NULL;
}

bv_api_key_state_t
bv_api_key_read(const char *headers, char **key)
{
    key_header_t header = {0};
    *key = NULL;
    bv_headers_foreach(headers, find_key_header, &header);
    if (header.count == 1) {
        *key = parse_value(header.value);
    }
    bv_api_key_free(header.value);
    if (header.count == 0) {
        return BV_API_KEY_ABSENT;
    }
    return *key != NULL ? BV_API_KEY_PRESENT : BV_API_KEY_MALFORMED;
}

static const bv_account_t *
find_account(const bv_access_input_t *input)
{
    char *key;
    const bv_account_t *account = NULL;
    if (bv_api_key_read(input->headers, &key) != BV_API_KEY_PRESENT) {
        return NULL;
    }
    for (size_t i = 0; i < input->secret_count && account == NULL; i++) {
        bv_key_digest_t digest;
        bv_key_digest(&input->secrets[i], key, strlen(key), &digest);
        account = bv_accounts_find_by_key(input->accounts, &digest);
    }
    bv_api_key_free(key);
    return account;
}

bv_access_t
bv_access_decide(const bv_access_input_t *input, const bv_account_t **account)
{
    *account = NULL;
    if (input->accounts == NULL || input->is_public) {
        return BV_ACCESS_GRANTED;
    }
    if (!input->is_outside) {
        return input->is_unverified ? BV_ACCESS_UNVERIFIED : BV_ACCESS_GRANTED;
    }
    if (input->is_outdated) {
        return BV_ACCESS_OUTDATED;
    }
    *account = find_account(input);
    if (*account != NULL) {
        return BV_ACCESS_GRANTED;
    }
    return input->is_behind ? BV_ACCESS_UNDECIDED : BV_ACCESS_DENIED;
}

static void
forward_line(void *context, const char *name, const char *value)
{
    forwarding_t *forwarding = context;
    const char *account_header = forwarding->account_header;
    if (is_named(name, BV_ACCESS_HEADER) ||
        (account_header != NULL && is_named(name, account_header))) {
        return;
    }
    g_string_append_printf(forwarding->lines, "%s: %s\r\n", name, value);
}

char *
bv_access_forwarded_headers(const char *headers, const char *account_header,
                            const char *account_name)
{
    forwarding_t forwarding = {
        .lines = g_string_new(NULL),
        .account_header = account_header,
    };
    bv_headers_foreach(headers, forward_line, &forwarding);
    if (account_header != NULL && account_name != NULL) {
        g_string_append_printf(forwarding.lines, "%s: %s\r\n", account_header,
                               account_name);
    }
    return g_string_free(forwarding.lines, FALSE);
}
