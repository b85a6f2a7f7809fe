#ifndef BERYLVANE_CORE_CONFIG_H
#define BERYLVANE_CORE_CONFIG_H

#include "berylvane/common/findings.h"
#include "berylvane/core/accounts.h"
#include "berylvane/core/types.h"

/*
 * config - the configuration in force at a site
 *
 * A site is a data centre. A bundle holds the base document and at most one
 * overlay (RFC 7396 merge patch) for each site. Base and overlay merged are
 * the configuration of the site, which is validated as a whole.
 */
typedef enum {
    /* Calls are forwarded without admission control, retries or hedges. */
    BV_MODE_BYPASS,
    /* Decisions are made and recorded, but not applied. */
    BV_MODE_OBSERVE,
    BV_MODE_ENFORCE,
} bv_mode_t;

/* One of several services among which a route's calls are divided. */
typedef struct {
    char *service;
    uint32_t weight;
} bv_weighted_service_t;

typedef struct {
    char *name;
    char *service;
    /* Of bv_weighted_service_t; empty if all calls go to `service`. */
    GArray *weighted_services;
    /* HTTP method; "*" for any. */
    char *method;
    /* Virtual host; NULL for any. */
    char *host;
    char *prefix;
    bv_class_t importance;
    bv_mode_t mode;
    bool is_idempotent;
    bool is_long_running;
    bool is_hedged;
    /*
     * A non-idempotent call with an idempotency key runs at most once for its
     * key, not only at most once for each call that a client sends.
     */
    bool is_keyed;
    /* Outside callers need no API key. */
    bool is_public;
    /* Maximum number of targets that one call is sent to. */
    uint32_t attempts_limit;
    int64_t timeout_us;
    /* 0 if the route has no latency objective. */
    int64_t latency_objective_us;
} bv_route_t;

/* Limits on callers; where a field is 0, the node's own setting applies. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    int64_t header_timeout_us;
    int64_t idle_timeout_us;
} bv_caller_limits_t;

typedef struct {
    gint references;
    uint64_t generation;
    /* Limit of retries and hedges of a customer request in all its calls. */
    uint32_t retry_credits;
    /* Retries that 100 first attempts to a service earn. */
    uint32_t retry_ratio_percent;
    /* Limit of retries of a node in each window that need not be earned. */
    uint32_t retry_reserve;
    /* Reserve that all nodes share; 0 if it is bounded for each node only. */
    uint32_t retry_shared_reserve;
    /* Time after which an earned retry expires. */
    int64_t retry_window_us;
    /* Limit of reroutes: attempts to another target that cost no credit. */
    uint32_t reroutes_limit;
    /* Waiting time in the admission queue above which calls are shed. */
    int64_t queue_target_us;
    /* Limit of the calls that wait for admission at one target. */
    uint32_t queue_limit;
    /* Share of a target's limit that long-running calls may always use. */
    uint32_t long_share_percent;
    /* The limit of a target is its number of slots, whatever its latency. */
    bool has_fixed_limit;
    /* How long before the deadline unfinished attempts are fenced. */
    int64_t fence_before_deadline_us;
    bv_caller_limits_t caller_limits;
    /* NULL if outside callers need no API keys. */
    bv_accounts_t *accounts;
    /* Of bv_route_t; owned by the configuration. */
    GPtrArray *routes;
} bv_config_t;

/*
 * Builds the configuration of `site` from a bundle. Returns a new reference,
 * or NULL after it has added findings; `source` names the bundle in their
 * texts.
 *
 * An entry with a name of more than BV_CONFIG_NAME_LIMIT_BYTES bytes (a
 * service, a part of a route) or a host of more than 255 is left out: a
 * finding has its location, and the rest of the configuration is returned.
 */
bv_config_t *bv_config_build(const json_t *bundle, const char *site,
                             uint64_t generation, const char *source,
                             bv_findings_t *findings);

bv_config_t *bv_config_ref(bv_config_t *config);
void bv_config_unref(bv_config_t *config);

/*
 * Returns the matching route with the longest prefix, or NULL if no route
 * matches. A route of a virtual host takes precedence over a route for any
 * host. The route belongs to the configuration.
 */
const bv_route_t *bv_config_find_route(const bv_config_t *config,
                                       const char *host, const char *method,
                                       const char *path);

/* Applies an RFC 7396 merge patch; returns a new reference. */
json_t *bv_merge_patch(const json_t *document, const json_t *patch);

/*
 * Merges the base document and the overlay of `site`. Returns a new reference
 * to a document that must not be changed, since it may be the bundle's own, or
 * NULL if the bundle has no base document.
 */
json_t *bv_bundle_render(const json_t *bundle, const char *site);

/* Writes the digest of a document's canonical text as 16 hex digits. */
void bv_document_digest(const json_t *document, char digest[17]);

const char *bv_mode_name(bv_mode_t mode);

#endif
