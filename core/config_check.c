#include "berylvane/core/config_check.h"

#include "config_internal.h"

#include "berylvane/common/clock.h"

#include <string.h>

/* The document under review; `root` is the base merged with an overlay. */
typedef struct {
    const json_t *root;
    const bv_config_t *config;
    const char *source;
    bv_findings_t *warnings;
} review_t;

/* The last route for each method, host and prefix, by route_key(). */
typedef GHashTable last_routes_t;

/* Returns the key of a route in its service's object "routes". */
static const char *
route_entry_name(const bv_route_t *route)
{
    return route->name + strlen(route->service) + 1;
}

static char *
route_pointer(const bv_route_t *route)
{
    char *service = config_append_name("/services", route->service);
    char *routes = config_append_name(service, "routes");
    char *pointer = config_append_name(routes, route_entry_name(route));
    g_free(routes);
    g_free(service);
    return pointer;
}

static const json_t *
route_entry(const review_t *review, const bv_route_t *route)
{
    const json_t *services = json_object_get(review->root, "services");
    const json_t *service = json_object_get(services, route->service);
    return json_object_get(json_object_get(service, "routes"),
                           route_entry_name(route));
}

static void G_GNUC_PRINTF(3, 4)
    warn_route(const review_t *review, const bv_route_t *route,
               const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *message = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    char *pointer = route_pointer(route);
    bv_findings_add(review->warnings, review->source, pointer, "%s", message);
    g_free(pointer);
    g_free(message);
}

/*
 * Hosts are compared without regard to case. A method and a host contain no
 * newline that a request could match, and the prefix stands last.
 */
static char *
route_key(const bv_route_t *route, const char *method)
{
    char *host = route->host != NULL ? g_ascii_strdown(route->host, -1) : NULL;
    char *key =
        g_strdup_printf("%s\n%s%s\n%s", method, host != NULL ? "host " : "any",
                        host != NULL ? host : "", route->prefix);
    g_free(host);
    return key;
}

static last_routes_t *
find_last_routes(const bv_config_t *config)
{
    last_routes_t *last =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < config->routes->len; i++) {
        const bv_route_t *route = config->routes->pdata[i];
        g_hash_table_replace(last, route_key(route, route->method),
                             GUINT_TO_POINTER(i + 1));
    }
    return last;
}

/* Returns the position of the last route for `method`, from 1; 0 for none. */
static guint
last_route(last_routes_t *last, const bv_route_t *route, const char *method)
{
    char *key = route_key(route, method);
    guint position = GPOINTER_TO_UINT(g_hash_table_lookup(last, key));
    g_free(key);
    return position;
}

/*
 * Of routes with the same host and prefix, bv_config_find_route() returns the
 * last one that matches the method. A longer prefix never hides a shorter one,
 * since the path that equals the shorter prefix still reaches it.
 */
static void
check_shadowing(const review_t *review)
{
    last_routes_t *last = find_last_routes(review->config);
    const GPtrArray *routes = review->config->routes;
    for (guint i = 0; i < routes->len; i++) {
        const bv_route_t *route = routes->pdata[i];
        guint winner = MAX(last_route(last, route, route->method),
                           last_route(last, route, "*"));
        if (winner > i + 1) {
            char *pointer = route_pointer(routes->pdata[winner - 1]);
            warn_route(review, route,
                       "never matches: %s has the same host and prefix, "
                       "covers its method and takes precedence",
                       pointer);
            g_free(pointer);
        }
    }
    g_hash_table_unref(last);
}

static void
check_times(const review_t *review, const bv_route_t *route)
{
    const bv_config_t *config = review->config;
    int64_t timeout_ms = route->timeout_us / BV_US_PER_MS;
    if (route->latency_objective_us > route->timeout_us) {
        warn_route(review, route,
                   "aim_ms %" G_GINT64_FORMAT
                   " is above timeout_ms %" G_GINT64_FORMAT,
                   route->latency_objective_us / BV_US_PER_MS, timeout_ms);
    }
    if (config->fence_before_deadline_us >= route->timeout_us) {
        warn_route(review, route,
                   "fencing.before_deadline_ms %" G_GINT64_FORMAT
                   " is not below timeout_ms %" G_GINT64_FORMAT,
                   config->fence_before_deadline_us / BV_US_PER_MS,
                   timeout_ms);
    }
    if (config->queue_target_us > route->timeout_us) {
        warn_route(review, route,
                   "admission.queue_target_ms %" G_GINT64_FORMAT
                   " is above timeout_ms %" G_GINT64_FORMAT,
                   config->queue_target_us / BV_US_PER_MS, timeout_ms);
    }
}

/*
 * Only a stated number of attempts contradicts a configuration without
 * retries; the default says nothing about the operator's intent.
 */
static bool
states_several_attempts(const review_t *review, const bv_route_t *route)
{
    return route->attempts_limit > 1 &&
           json_object_get(route_entry(review, route), "attempts") != NULL;
}

static void
check_retries(const review_t *review, const bv_route_t *route)
{
    if (review->config->retry_credits > 0) {
        return;
    }
    if (route->is_hedged) {
        warn_route(review, route, "hedge has no effect: retry.credits is 0");
    }
    if (route->is_idempotent && states_several_attempts(review, route)) {
        warn_route(review, route,
                   "attempts %u allows no retry: retry.credits is 0",
                   route->attempts_limit);
    }
}

static void
check_account(const review_t *review, const bv_account_t *account)
{
    if (account->burst > 0 && account->rate_per_s == 0) {
        char *pointer = config_append_name("/accounts", account->name);
        bv_findings_add(review->warnings, review->source, pointer,
                        "burst %u has no effect: rate_per_s is 0",
                        account->burst);
        g_free(pointer);
    }
}

static void
check_accounts(const review_t *review)
{
    const char *name;
    json_t *entry;
    json_object_foreach(json_object_get(review->root, "accounts"), name,
                        entry) {
        check_account(review,
                      bv_accounts_find(review->config->accounts, name));
    }
}

/* Checks the document of one site, or the base alone if `site` is empty. */
static void
check_document(const json_t *bundle, const char *site, const char *source,
               bv_findings_t *errors, bv_findings_t *warnings)
{
    bv_config_t *config = bv_config_build(bundle, site, 1, source, errors);
    if (config == NULL) {
        return;
    }
    json_t *root = bv_bundle_render(bundle, site);
    const review_t review = {root, config, source, warnings};
    check_shadowing(&review);
    for (guint i = 0; i < config->routes->len; i++) {
        check_times(&review, config->routes->pdata[i]);
        check_retries(&review, config->routes->pdata[i]);
    }
    check_accounts(&review);
    json_decref(root);
    bv_config_unref(config);
}

/* Returns a copy whose keys are in the order in which apply stores them. */
static json_t *
copy_in_stored_order(const json_t *bundle)
{
    char *text = json_dumps(bundle, JSON_COMPACT | JSON_SORT_KEYS);
    json_t *copy = json_loads(text, 0, NULL);
    free(text);
    return copy;
}

void
bv_config_check(const json_t *bundle, const char *source,
                bv_findings_t *errors, bv_findings_t *warnings)
{
    json_t *stored = copy_in_stored_order(bundle);
    bv_findings_t *of_base = bv_findings_create();
    const char *site;
    json_t *overlay;
    check_document(stored, "", source, errors, of_base);
    bv_findings_append(warnings, of_base);
    json_object_foreach(json_object_get(stored, "overlays"), site, overlay) {
        char *site_source = g_strdup_printf("site %s", site);
        bv_findings_t *of_site = bv_findings_create();
        check_document(stored, site, site_source, errors, of_site);
        config_remove_shared(of_site, of_base);
        bv_findings_append(warnings, of_site);
        bv_findings_destroy(of_site);
        g_free(site_source);
    }
    bv_findings_destroy(of_base);
    json_decref(stored);
}
