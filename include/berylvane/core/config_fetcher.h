#ifndef BERYLVANE_CORE_CONFIG_FETCHER_H
#define BERYLVANE_CORE_CONFIG_FETCHER_H

#include "berylvane/core/types.h"

/*
 * config_spread - how a node learns, fetches and adopts configurations
 *
 * A version is a generation and the digest of its bundle; the table's head
 * row gives each generation exactly one. Versions are heard from members or
 * read from the head. The newest is fetched from a member that has it, or from
 * the object store, until it has come; only a body with the version's digest
 * is adopted, and only when its generation is higher than the one in force.
 *
 * The first adoption waits until the head is known or several members were
 * heard, so that a node does not begin to serve with an old generation.
 */
typedef struct {
    uint64_t generation;
    uint64_t digest;
} bv_config_version_t;

typedef struct {
    /* Asks a member for its bundle; false when it cannot be asked. */
    bool (*request_from_member)(void *context, const char *member,
                                uint64_t generation);
    /* Reads the head row; ends in bv_config_fetcher_handle_head() or not at
     * all. */
    void (*read_head)(void *context);
    /* Reads an object; ends in bv_config_fetcher_handle_body() or not at all.
     */
    void (*read_object)(void *context, const bv_config_version_t *version);
    /* Puts a bundle in force; false when it is not valid here. */
    bool (*adopt)(void *context, const bv_config_version_t *version,
                  GBytes *body);
    /* Two digests were seen for one generation. */
    void (*report_conflict)(void *context, const bv_config_version_t *version);
} bv_config_fetcher_ops_t;

typedef struct {
    int64_t poll_interval_us;
    /* How long one try of a fetch may take before the next source. */
    int64_t fetch_timeout_us;
    /* How long to gather members' versions when the head is not known. */
    int64_t gather_timeout_us;
    GRand *random;
    const bv_config_fetcher_ops_t *ops;
    void *context;
} bv_config_fetcher_options_t;

typedef struct bv_config_fetcher bv_config_fetcher_t;

bv_config_fetcher_t *
bv_config_fetcher_create(const bv_config_fetcher_options_t *options);
void bv_config_fetcher_destroy(bv_config_fetcher_t *spread);

/* A member says that a version is in force there. */
void bv_config_fetcher_handle_version(bv_config_fetcher_t *spread,
                                      int64_t now_us,
                                      const bv_config_version_t *version,
                                      const char *member);

/* The head row as read; generation 0 when there is none yet. */
void bv_config_fetcher_handle_head(bv_config_fetcher_t *spread, int64_t now_us,
                                   const bv_config_version_t *version);

/* A bundle arrived; false when it is not what was asked for. */
bool bv_config_fetcher_handle_body(bv_config_fetcher_t *spread, int64_t now_us,
                                   uint64_t generation, GBytes *body);

void bv_config_fetcher_tick(bv_config_fetcher_t *spread, int64_t now_us);

/* The version in force; generation 0 before the first. */
const bv_config_version_t *
bv_config_fetcher_in_force(const bv_config_fetcher_t *spread);

/* The digest that versions carry. */
uint64_t bv_config_body_digest(GBytes *body);

#endif
