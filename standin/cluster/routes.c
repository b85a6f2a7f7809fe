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
    const char *wanted =
        json_string_value(json_object_get(cluster->deployment, "setting"));
    for (size_t i = 0; wanted != NULL && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], wanted) == 0) {
            return (proxy_kind_t)i;
        }
    }
    return PROXY_KIND_NODE;
}

static json_t *
service_instances(const cluster_t *cluster, const char *service)
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

/* Calls `visit` with each route's prefix and service. */
static void
each_route(const cluster_t *cluster,
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

typedef struct {
    const char *path;
    const char *service;
    size_t length;
} search_t;

static void
match_route(void *context, const char *prefix, const char *service)
{
    search_t *search = context;
    size_t length = strlen(prefix);
    if (g_str_has_prefix(search->path, prefix) && length > search->length) {
        search->service = service;
        search->length = length;
    }
}

json_t *
settings_service_addresses(const cluster_t *cluster, const char *path)
{
    search_t search = {.path = path, .service = ""};
    each_route(cluster, match_route, &search);
    return service_instances(cluster, search.service);
}

typedef struct {
    const cluster_t *cluster;
    json_t *routes;
} render_t;

static void
render_route(void *context, const char *prefix, const char *service)
{
    const render_t *render = context;
    json_array_append_new(
        render->routes,
        json_pack("{s:s, s:o}", "prefix", prefix, "instances",
                  service_instances(render->cluster, service)));
}

json_t *
settings_naive_proxy(const cluster_t *cluster, const instance_t *instance)
{
    const cluster_ports_t *ports = &instance->ports;
    render_t render = {cluster, json_array()};
    each_route(cluster, render_route, &render);
    json_t *settings = json_pack(
        "{s:s, s:i, s:i, s:i, s:i, s:O, s:i, s:o}", "address",
        instance->address, "outside_port", ports->outside, "local_port",
        ports->local, "peer_port", ports->peer, "target_port", ports->target,
        "slots",
        json_object_get(json_object_get(instance->service, "target"), "slots"),
        "seed", ports->outside, "routes", render.routes);
    json_object_update(settings,
                       json_object_get(cluster->deployment, "naive"));
    return settings;
}
