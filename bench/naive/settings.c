#include "naive.h"

#define NUMBER(key, needed, low, high)                                        \
    {                                                                         \
        .name = #key, .kind = BV_FIELD_INTEGER,                               \
        .offset = offsetof(naive_settings_t, key), .required = (needed),      \
        .minimum = (low), .maximum = (high)                                   \
    }
#define PORT(key) NUMBER(key, true, 1, 65535)

static const bv_field_t settings_fields[] = {
    {.name = "address",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(naive_settings_t, address),
     .required = true},
    PORT(outside_port),
    PORT(local_port),
    PORT(peer_port),
    PORT(target_port),
    NUMBER(slots, true, 1, 10000),
    NUMBER(queue_limit, false, 0, 1000000),
    NUMBER(retries, false, 0, 100),
    NUMBER(timeout_ms, false, 10, 600000),
    NUMBER(seed, false, 0, INT32_MAX),
    {.name = "routes",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(naive_settings_t, routes_json),
     .required = true},
    {NULL}};

static const bv_field_t route_fields[] = {
    {.name = "prefix",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(naive_route_t, prefix),
     .required = true},
    {.name = "instances",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(naive_route_t, instances_json),
     .required = true},
    {NULL}};

static void
read_instances(naive_route_t *route)
{
    size_t index;
    json_t *instance;
    json_array_foreach(route->instances_json, index, instance) {
        if (index < NAIVE_INSTANCES_LIMIT) {
            route->instances[route->instance_count++] =
                g_strdup(json_string_value(instance));
        }
    }
    route->instances_json = NULL;
}

bool
naive_settings_load(const char *path, naive_settings_t *settings,
                    bv_findings_t *findings)
{
    json_t *root = bv_json_load(path, findings);
    size_t index;
    json_t *route;
    if (root == NULL) {
        return false;
    }
    settings->queue_limit = 1000;
    settings->retries = 3;
    settings->timeout_ms = 2000;
    settings->seed = 1;
    bv_fields_read(root, settings_fields, settings, path, "", findings);
    json_array_foreach(settings->routes_json, index, route) {
        if (index < NAIVE_ROUTES_LIMIT) {
            naive_route_t *route_settings =
                &settings->routes[settings->route_count++];
            bv_fields_read(route, route_fields, route_settings, path,
                           "/routes", findings);
            read_instances(route_settings);
        }
    }
    settings->routes_json = NULL;
    json_decref(root);
    return bv_findings_is_empty(findings);
}

void
naive_settings_clear(naive_settings_t *settings)
{
    g_free(settings->address);
    for (size_t i = 0; i < settings->route_count; i++) {
        naive_route_t *route = &settings->routes[i];
        g_free(route->prefix);
        for (size_t j = 0; j < route->instance_count; j++) {
            g_free(route->instances[j]);
        }
    }
}
