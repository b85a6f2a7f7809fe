#include "internal.h"

#include <string.h>

proxy_kind_t
settings_proxy_kind(const cluster_t *cluster)
{
    static const char *const names[] = {
        [PROXY_KIND_NODE] = "berylvane",
        [PROXY_KIND_NAIVE] = "naive",
        [PROXY_KIND_NONE] = "direct",
    };
    const char *configured =
        json_string_value(json_object_get(cluster->deployment, "setting"));
    for (size_t i = 0; configured != NULL && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], configured) == 0) {
            return (proxy_kind_t)i;
        }
    }
    return PROXY_KIND_NODE;
}

/* Returns a new array of the "IP:PORT" addresses of a service's instances. */
static json_t *
service_addresses(const cluster_t *cluster, const char *service)
{
    json_t *list = json_array();
    for (guint i = 0; i < cluster->instances->len; i++) {
        const instance_t *instance =
            &g_array_index(cluster->instances, instance_t, i);
        const char *name =
            json_string_value(json_object_get(instance->service, "name"));
        if (strcmp(name, service) != 0) {
            continue;
        }
        bool direct = settings_proxy_kind(cluster) == PROXY_KIND_NONE;
        char *text = g_strdup_printf(
            "%s:%u", direct ? "127.0.0.1" : instance->address,
            direct ? instance->ports.target : instance->ports.link_peer);
        json_array_append_new(list, json_string(text));
        g_free(text);
    }
    return list;
}

/* Calls `visit` with the prefix and service of each configured route. */
static void
for_each_route(const cluster_t *cluster,
               void (*visit)(void *context, const char *prefix,
                             const char *service),
               void *context)
{
    const char *service;
    json_t *value;
    json_object_foreach(json_object_get(cluster->base_document, "services"),
                        service, value) {
        const char *name;
        json_t *route;
        json_object_foreach(json_object_get(value, "routes"), name, route) {
            visit(context, json_string_value(json_object_get(route, "prefix")),
                  service);
        }
    }
}

/* The longest route prefix of `path` found so far, and the route's service. */
typedef struct {
    const char *path;
    const char *service;
    size_t prefix_length;
} longest_match_t;

static void
keep_longest_match(void *context, const char *prefix, const char *service)
{
    longest_match_t *longest = context;
    size_t prefix_length = strlen(prefix);
    if (g_str_has_prefix(longest->path, prefix) &&
        prefix_length > longest->prefix_length) {
        longest->service = service;
        longest->prefix_length = prefix_length;
    }
}

json_t *
settings_service_addresses(const cluster_t *cluster, const char *path)
{
    longest_match_t longest = {.path = path, .service = ""};
    for_each_route(cluster, keep_longest_match, &longest);
    return service_addresses(cluster, longest.service);
}

typedef struct {
    const cluster_t *cluster;
    json_t *routes;
} naive_routes_t;

static void
append_naive_route(void *context, const char *prefix, const char *service)
{
    const naive_routes_t *naive_routes = context;
    json_array_append_new(
        naive_routes->routes,
        json_pack("{s:s, s:o}", "prefix", prefix, "instances",
                  service_addresses(naive_routes->cluster, service)));
}

json_t *
settings_naive_proxy(const cluster_t *cluster, const instance_t *instance)
{
    const cluster_ports_t *ports = &instance->ports;
    naive_routes_t naive_routes = {cluster, json_array()};
    for_each_route(cluster, append_naive_route, &naive_routes);
    json_t *settings = json_pack(
        "{s:s, s:i, s:i, s:i, s:i, s:O, s:i, s:o}", "address",
        instance->address, "outside_port", ports->outside, "local_port",
        ports->local, "peer_port", ports->peer, "target_port", ports->target,
        "slots",
        json_object_get(json_object_get(instance->service, "target"), "slots"),
        "seed", ports->outside, "routes", naive_routes.routes);
    json_object_update(settings,
                       json_object_get(cluster->deployment, "naive"));
    return settings;
}
