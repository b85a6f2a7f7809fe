#ifndef BERYLVANE_CORE_CONFIG_H
#define BERYLVANE_CORE_CONFIG_H

#include "berylvane/common/findings.h"
#include "berylvane/core/types.h"

/*
 * config - the configuration in force at a site
 *
 * A bundle holds the base document and one overlay (RFC 7396 merge patch) for
 * each site, a site being a data centre. Merging both gives a site's
 * configuration, which is checked as a whole.
 */
typedef enum {
    BV_MODE_BYPASS,
    BV_MODE_OBSERVE,
    BV_MODE_ENFORCE,
} bv_mode_t;

/* One of the services that share a route's calls. */
typedef struct {
    char *service;
    uint32_t weight;
} bv_weighted_service_t;

typedef struct {
    char *name;
    char *service;
    /* The services by weight; empty when all calls go to `service`. */
    GArray *weighted_services;
    /* "*" for any. */
    char *method;
    /* Virtual host; NULL for any. */
    char *host;
    char *prefix;
    bv_class_t importance;
    bv_mode_t mode;
    bool is_idempotent;
    bool is_long_running;
    bool is_hedged;
    /* A non-idempotent call runs at most once a key, not only once a call. */
    bool is_keyed;
    /* Targets that one call may be sent to, at most. */
    uint32_t attempts_limit;
    int64_t timeout_us;
    /* Latency objective; 0 when there is none. */
    int64_t latency_objective_us;
} bv_route_t;

/* What callers may send; zero fields leave the node's settings in force. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    int64_t header_timeout_us;
    int64_t idle_timeout_us;
} bv_caller_limits_t;

typedef struct {
    gint references;
    uint64_t generation;
    uint32_t retry_credits;
    uint32_t retry_ratio_percent;
    /* Further tries to a service that a node may make at once. */
    uint32_t retry_reserve;
    /* Reserve of all nodes together; 0: each has one of its own. */
    uint32_t retry_shared_reserve;
    /* Time in which earned retries can be spent. */
    int64_t retry_window_us;
    uint32_t reroutes_limit;
    int64_t queue_target_us;
    uint32_t queue_limit;
    uint32_t long_share_percent;
    /* Targets run as many calls as they have slots, whatever their latency. */
    bool has_fixed_limit;
    int64_t fence_before_deadline_us;
    bv_caller_limits_t caller_limits;
    GPtrArray *routes;
} bv_config_t;

/*
 * Builds the configuration of `site` from a bundle. Returns NULL when there
 * are findings; `source` names the bundle in them.
 */
bv_config_t *bv_config_build(const json_t *bundle, const char *site,
                             uint64_t generation, const char *source,
                             bv_findings_t *findings);

bv_config_t *bv_config_ref(bv_config_t *config);
void bv_config_unref(bv_config_t *config);

/*
 * The route with the longest matching prefix, or NULL. A route of a virtual
 * host goes before one for any host.
 */
const bv_route_t *bv_config_find_route(const bv_config_t *config,
                                       const char *host, const char *method,
                                       const char *path);

/* Applies an RFC 7396 merge patch; returns a new value. */
json_t *bv_merge_patch(const json_t *document, const json_t *patch);

/* Base and the overlay of `site` merged; a new value. */
json_t *bv_bundle_render(const json_t *bundle, const char *site);

/* Digest of a document's canonical text as 16 hexadecimal digits. */
void bv_document_digest(const json_t *document, char digest[17]);

const char *bv_mode_name(bv_mode_t mode);

#endif
