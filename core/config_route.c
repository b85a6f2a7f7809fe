#include "config_internal.h"

#include "berylvane/common/clock.h"

#include <string.h>

#define PART_WEIGHT_MOST 1000000
#define ATTEMPTS_DEFAULT 8

static const char *const class_choices[] = {"batch", "normal", "critical",
                                            NULL};

typedef struct {
    char *method;
    char *host;
    char *prefix;
    json_t *parts;
    int64_t importance;
    bool idempotent;
    bool long_work;
    bool hedge;
    bool keyed;
    int64_t attempts;
    int64_t timeout_ms;
    int64_t aim_ms;
} route_record_t;

static const bv_field_t route_fields[] = {
    {.name = "method",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(route_record_t, method),
     .required = true,
     .most = 16},
    {.name = "host",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(route_record_t, host),
     .most = 255},
    {.name = "parts",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(route_record_t, parts)},
    {.name = "prefix",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(route_record_t, prefix),
     .required = true,
     .most = 256},
    {.name = "class",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(route_record_t, importance),
     .choices = class_choices},
    {.name = "idempotent",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_record_t, idempotent)},
    {.name = "long",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_record_t, long_work)},
    {.name = "hedge",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_record_t, hedge)},
    {.name = "timeout_ms",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(route_record_t, timeout_ms),
     .least = 10,
     .most = 600000},
    {.name = "keyed",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_record_t, keyed)},
    {.name = "attempts",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(route_record_t, attempts),
     .least = 1,
     .most = 100},
    {.name = "aim_ms",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(route_record_t, aim_ms),
     .least = 1,
     .most = 600000},
    {NULL}};

void
config_free_route(gpointer data)
{
    bv_route_t *route = data;
    g_free(route->name);
    g_free(route->service);
    g_free(route->method);
    g_free(route->host);
    g_free(route->prefix);
    g_array_unref(route->weighted_services);
    g_free(route);
}

static void
clear_part(gpointer data)
{
    g_free(((bv_weighted_service_t *)data)->service);
}

static GArray *
build_parts(build_t *build, const json_t *entries, const char *pointer)
{
    GArray *parts = g_array_new(FALSE, TRUE, sizeof(bv_weighted_service_t));
    g_array_set_clear_func(parts, clear_part);
    const char *name;
    json_t *weight;
    uint64_t total = 0;
    json_object_foreach((json_t *)entries, name, weight) {
        json_int_t number = json_integer_value(weight);
        if (!json_is_integer(weight) || number < 0 ||
            number > PART_WEIGHT_MOST || strlen(name) >= BV_NAME_BYTES) {
            bv_findings_add(build->findings, build->source, pointer,
                            "part \"%s\" needs a weight of 0 to %d", name,
                            PART_WEIGHT_MOST);
            continue;
        }
        bv_weighted_service_t part = {g_strdup(name), (uint32_t)number};
        g_array_append_val(parts, part);
        total += part.weight;
    }
    if (entries != NULL && total == 0) {
        bv_findings_add(build->findings, build->source, pointer,
                        "no part has a weight");
    }
    return parts;
}

void
config_build_route(build_t *build, const char *service, const char *name,
                   const json_t *entry, bv_mode_t mode, const char *pointer)
{
    route_record_t record = {.importance = BV_CLASS_NORMAL,
                             .keyed = true,
                             .attempts = ATTEMPTS_DEFAULT,
                             .timeout_ms = 2000};
    bv_fields_read(entry, route_fields, &record, build->source, pointer,
                   build->findings);
    if (record.prefix != NULL && record.prefix[0] != '/') {
        bv_findings_add(build->findings, build->source, pointer,
                        "prefix must start with /");
    }
    if (record.hedge && !record.idempotent) {
        bv_findings_add(build->findings, build->source, pointer,
                        "only an idempotent route can be hedged");
    }
    bv_route_t *route = g_new0(bv_route_t, 1);
    route->name = g_strdup_printf("%s/%s", service, name);
    route->service = g_strdup(service);
    route->weighted_services = build_parts(build, record.parts, pointer);
    route->method = record.method;
    route->host = record.host;
    route->is_keyed = record.keyed;
    route->attempts_limit = (uint32_t)record.attempts;
    route->latency_objective_us = record.aim_ms * BV_US_PER_MS;
    route->prefix = record.prefix;
    route->importance = (bv_class_t)record.importance;
    route->mode = mode;
    route->is_idempotent = record.idempotent;
    route->is_long_running = record.long_work;
    route->is_hedged = record.hedge;
    route->timeout_us = record.timeout_ms * BV_US_PER_MS;
    g_ptr_array_add(build->config->routes, route);
}

static bool
is_match(const bv_route_t *route, const char *host, const char *method,
         const char *path)
{
    if (route->host != NULL &&
        (host == NULL || g_ascii_strcasecmp(route->host, host) != 0)) {
        return false;
    }
    return (strcmp(route->method, "*") == 0 ||
            strcmp(route->method, method) == 0) &&
           g_str_has_prefix(path, route->prefix);
}

static bool
is_closer(const bv_route_t *left, const bv_route_t *right)
{
    if (right == NULL || (left->host != NULL) != (right->host != NULL)) {
        return right == NULL || left->host != NULL;
    }
    return strlen(left->prefix) >= strlen(right->prefix);
}

const bv_route_t *
bv_config_find_route(const bv_config_t *config, const char *host,
                     const char *method, const char *path)
{
    const bv_route_t *best = NULL;
    for (guint i = 0; i < config->routes->len; i++) {
        const bv_route_t *route = config->routes->pdata[i];
        if (is_match(route, host, method, path) && is_closer(route, best)) {
            best = route;
        }
    }
    return best;
}
