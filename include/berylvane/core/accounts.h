#ifndef BERYLVANE_CORE_ACCOUNTS_H
#define BERYLVANE_CORE_ACCOUNTS_H

#include "berylvane/common/findings.h"
#include "berylvane/core/types.h"

/*
 * accounts - the client accounts of a configuration and their API keys
 *
 * Keys are held as keyed digests, so that neither a configuration that nodes
 * pass on nor a dump of a process contains a key.
 */
#define BV_KEY_DIGEST_BYTES 32

typedef struct {
    uint8_t bytes[BV_KEY_DIGEST_BYTES];
} bv_key_digest_t;

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
 * Builds the accounts from the section "accounts" of a configuration. Adds a
 * finding with its place, below `pointer`, for each entry that is not valid.
 */
bv_accounts_t *bv_accounts_build(const json_t *section, const char *source,
                                 const char *pointer, bv_findings_t *findings);
void bv_accounts_destroy(bv_accounts_t *accounts);

/* Returns the account that holds the key with this digest, or NULL. */
const bv_account_t *bv_accounts_find_by_key(const bv_accounts_t *accounts,
                                            const bv_key_digest_t *digest);

/* Returns the account with this name, or NULL. */
const bv_account_t *bv_accounts_find(const bv_accounts_t *accounts,
                                     const char *name);

/* Calls `visit` for each account, in no particular order. */
void bv_accounts_foreach(const bv_accounts_t *accounts,
                         void (*visit)(void *context,
                                       const bv_account_t *account),
                         void *context);

#endif
