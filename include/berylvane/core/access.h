#ifndef BERYLVANE_CORE_ACCESS_H
#define BERYLVANE_CORE_ACCESS_H

#include "berylvane/core/accounts.h"

/*
 * access - whether a call may run, by the API key that its caller sent
 *
 * Handles callers without a valid key, and nodes that do not have the newest
 * configuration: such a node must not refuse a key for good that a newer
 * version may contain.
 *
 * A key is sent as "Authorization: Bearer KEY". The scheme's case is ignored;
 * one space separates it from the key, which consists of visible ASCII
 * characters (see bv_api_key_is_valid()). Anything else is malformed, and so
 * is a second header.
 */
#define BV_ACCESS_HEADER "Authorization"

typedef enum {
    BV_API_KEY_ABSENT,
    BV_API_KEY_MALFORMED,
    BV_API_KEY_PRESENT,
} bv_api_key_state_t;

/*
 * Reads the key from a block of header lines. Sets `key` to a new text, to be
 * freed with bv_api_key_free(), if the key is present, otherwise to NULL.
 */
bv_api_key_state_t bv_api_key_read(const char *headers, char **key);

/* Overwrites and frees a key; NULL is allowed. */
void bv_api_key_free(char *key);

typedef enum {
    /* The call may run, for an account or for none. */
    BV_ACCESS_GRANTED,
    /* The call must not run: there is no valid key. */
    BV_ACCESS_DENIED,
    /* There is no valid key, but a newer configuration may contain it. */
    BV_ACCESS_UNDECIDED,
    /*
     * The call says that the local target makes it, for a request that does
     * not run there: it is late, or an outside caller tries to avoid the key.
     */
    BV_ACCESS_UNVERIFIED,
    /*
     * The configuration is too old to tell whether keys are still valid, and
     * the node is set to refuse calls then.
     */
    BV_ACCESS_OUTDATED,
} bv_access_t;

typedef struct {
    /* NULL if no keys are needed. */
    const bv_accounts_t *accounts;
    /* Secrets to try; the accounts' digests were made with one of them. */
    const bv_key_secret_t *secrets;
    size_t secret_count;
    /* Header lines of the call. */
    const char *headers;
    /* The call came from an outside caller. */
    bool is_outside;
    /* The call says that the local target makes it, and this is not shown. */
    bool is_unverified;
    /* The route needs no key. */
    bool is_public;
    /* A newer configuration is known and not in force. */
    bool is_behind;
    /* Calls are refused because the configuration is too old. */
    bool is_outdated;
} bv_access_input_t;

/*
 * Decides about a call. Sets `account` to the account of its key, or to NULL
 * if no account applies.
 */
bv_access_t bv_access_decide(const bv_access_input_t *input,
                             const bv_account_t **account);

/*
 * Returns the lines that a target gets of `headers`: without the key, and with
 * the header `account_header` only if `account_name` is not NULL. The header's
 * name may be NULL if the dialect passes the account in another way. The
 * caller frees the text with g_free().
 */
char *bv_access_forwarded_headers(const char *headers,
                                  const char *account_header,
                                  const char *account_name);

#endif
