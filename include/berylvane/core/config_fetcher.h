#ifndef BERYLVANE_CORE_CONFIG_FETCHER_H
#define BERYLVANE_CORE_CONFIG_FETCHER_H

#include "berylvane/core/types.h"

/*
 * config_fetcher - discovers, fetches and adopts new configurations
 *
 * A version is a generation and the digest of its bundle. The head row of the
 * store's table assigns exactly one digest to each generation. The fetcher
 * receives versions from gossip and from reads of the head row. It requests
 * the bundle of the newest version from the members that have it and from the
 * object store in turn until the bundle has arrived. It adopts a
 * bundle only if the digest is that of the version and the generation is
 * higher than the one in force.
 *
 * A node that has just started adopts nothing until the head row was read or
 * several members have reported their versions, so that it does not begin to
 * serve with an old generation.
 */
typedef struct {
    uint64_t generation;
    uint64_t digest;
} bv_config_version_t;

typedef struct {
    /*
     * Requests a member's bundle, which arrives through
     * bv_config_fetcher_handle_bundle(); false if no request could be sent.
     */
    bool (*request_from_member)(void *context, const char *member,
                                uint64_t generation);
    /*
     * Starts a read of the head row. A read that succeeds calls
     * bv_config_fetcher_handle_head(); one that fails calls nothing.
     */
    void (*read_head)(void *context);
    /*
     * Starts a read of a version's bundle from the store. A read that succeeds
     * calls bv_config_fetcher_handle_bundle(), or
     * bv_config_fetcher_handle_offer() if it may bring another version; one
     * that fails calls nothing.
     */
    void (*read_from_store)(void *context, const bv_config_version_t *version);
    /* Puts a bundle in force; false if the bundle is invalid on this node. */
    bool (*adopt)(void *context, const bv_config_version_t *version,
                  GBytes *body);
    /* Two different digests were received for one generation. */
    void (*report_conflict)(void *context, const bv_config_version_t *version);
} bv_config_fetcher_ops_t;

typedef struct {
    /* Mean time between reads of the head row. */
    int64_t poll_interval_us;
    /* Time that one source has to deliver before the next is asked. */
    int64_t fetch_timeout_us;
    /*
     * Time after the first member's version at which the first adoption no
     * longer waits for more members, if the head row could not be read.
     */
    int64_t gather_timeout_us;
    /* `random`, `ops` and `context` must outlive the fetcher. */
    GRand *random;
    const bv_config_fetcher_ops_t *ops;
    void *context;
} bv_config_fetcher_options_t;

typedef enum {
    /* The bundle is in force, will be, or is older than what is wanted. */
    BV_CONFIG_OFFER_TAKEN,
    /*
     * Another bundle of the same generation is in force, or is wanted and the
     * offer is not the version of the head row. Nothing changes.
     */
    BV_CONFIG_OFFER_CONFLICT,
    /* The bundle was found invalid on this node before. */
    BV_CONFIG_OFFER_REFUSED,
} bv_config_offer_result_t;

typedef struct bv_config_fetcher bv_config_fetcher_t;

bv_config_fetcher_t *
bv_config_fetcher_create(const bv_config_fetcher_options_t *options);
void bv_config_fetcher_destroy(bv_config_fetcher_t *fetcher);

/* Handles a member's report that `version` is in force on that member. */
void bv_config_fetcher_handle_version(bv_config_fetcher_t *fetcher,
                                      int64_t now_us,
                                      const bv_config_version_t *version,
                                      const char *member);

/* Handles the head row as read; generation 0 if the row does not exist yet. */
void bv_config_fetcher_handle_head(bv_config_fetcher_t *fetcher,
                                   int64_t now_us,
                                   const bv_config_version_t *version);

/*
 * Handles a bundle that arrived together with its version and was not
 * requested. With `is_head_version`, its version counts as the one that the
 * head row names. A conflict is reported by report_conflict() too.
 */
bv_config_offer_result_t
bv_config_fetcher_handle_offer(bv_config_fetcher_t *fetcher, int64_t now_us,
                               const bv_config_version_t *version,
                               GBytes *body, bool is_head_version);

/*
 * Handles a bundle that has arrived. Returns false if it is not the bundle of
 * any requested version: its digest differs, or its generation is higher than
 * that of the newest version. The fetcher takes its own reference to
 * `body` if it keeps it.
 */
bool bv_config_fetcher_handle_bundle(bv_config_fetcher_t *fetcher,
                                     int64_t now_us, uint64_t generation,
                                     GBytes *body);

/* Reads the head row if a poll is due, and repeats a fetch that is due. */
void bv_config_fetcher_tick(bv_config_fetcher_t *fetcher, int64_t now_us);

/* Returns the version in force; generation 0 before the first adoption. */
const bv_config_version_t *
bv_config_fetcher_in_force(const bv_config_fetcher_t *fetcher);

/*
 * Returns the newest version known, which is fetched until it is in force;
 * generation 0 before the first report.
 */
const bv_config_version_t *
bv_config_fetcher_wanted(const bv_config_fetcher_t *fetcher);

/* Returns the digest of a bundle, as versions hold it. */
uint64_t bv_config_bundle_digest(GBytes *body);

#endif
