#ifndef BERYLVANE_CORE_ACCOUNTS_H
#define BERYLVANE_CORE_ACCOUNTS_H

#include "berylvane/common/findings.h"
#include "berylvane/core/types.h"

/*
 * accounts - the client accounts of a configuration and their API keys
 *
 * Keys are held as keyed digests, so that neither a configuration that nodes
 * pass on nor a dump of a process contains a key. The time of a lookup does
 * not depend on the number of accounts.
 */
#define BV_KEY_DIGEST_BYTES 32
/* Longest API key, and longest name of an account. */
#define BV_API_KEY_LIMIT_BYTES 1024
#define BV_ACCOUNT_NAME_LIMIT_BYTES 200

typedef struct {
    uint8_t bytes[BV_KEY_DIGEST_BYTES];
} bv_key_digest_t;

/* Key of the digests of API keys. */
typedef struct {
    uint8_t bytes[32];
} bv_key_secret_t;

typedef struct {
    char *name;
    /* Whether `importance` replaces that of the route. */
    bool has_importance;
    bv_class_t importance;
    /* Requests per second over all nodes; 0 for no limit. */
    uint32_t rate_per_s;
    /* Requests beyond the rate that may come at once. */
    uint32_t burst;
} bv_account_t;

typedef struct bv_accounts bv_accounts_t;

/*
 * Derives the secret from a key of the cluster, given as 64 hexadecimal
 * digits. Returns false when `cluster_key` is malformed.
 */
bool bv_key_secret_derive(const char *cluster_key, bv_key_secret_t *secret);

void bv_key_digest(const bv_key_secret_t *secret, const char *key,
                   size_t length, bv_key_digest_t *digest);

/* Returns whether `key` can be sent in a header: visible ASCII, not empty. */
bool bv_api_key_is_valid(const char *key, size_t length);

/*
 * Returns whether an account's name can be sent in a header: 1 to
 * BV_ACCOUNT_NAME_LIMIT_BYTES bytes, no control characters, no space at either
 * end.
 */
bool bv_account_name_is_valid(const char *name);

/*
 * Builds the accounts from the section "accounts" of a configuration. Adds a
 * finding with its place, below `pointer`, for each entry that is not valid.
 */
bv_accounts_t *bv_accounts_build(const json_t *section, const char *source,
                                 const char *pointer, bv_findings_t *findings);

/* Frees the accounts; NULL is allowed. */
void bv_accounts_destroy(bv_accounts_t *accounts);

/* Returns the account that holds the key with this digest, or NULL. */
const bv_account_t *bv_accounts_find_by_key(const bv_accounts_t *accounts,
                                            const bv_key_digest_t *digest);

/* Returns the account with this name, or NULL. */
const bv_account_t *bv_accounts_find(const bv_accounts_t *accounts,
                                     const char *name);

/*
 * Returns the class of a call to a route of the class `route_class`: that of
 * the account, if it has one. `account` may be NULL.
 */
bv_class_t bv_account_class(const bv_account_t *account,
                            bv_class_t route_class);

/* Calls `visit` for each account, in no particular order. */
void bv_accounts_foreach(const bv_accounts_t *accounts,
                         void (*visit)(void *context,
                                       const bv_account_t *account),
                         void *context);

#endif
