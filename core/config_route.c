#include "config_internal.h"

#include "berylvane/common/clock.h"

#include <string.h>

#define WEIGHT_LIMIT 1000000
#define ATTEMPTS_DEFAULT 8
#define HOST_LIMIT_BYTES 255

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
    bool is_public;
    int64_t attempts;
    int64_t timeout_ms;
    int64_t aim_ms;
} route_fields_t;

static const bv_field_t route_fields[] = {
    {.name = "method",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(route_fields_t, method),
     .required = true,
     .maximum = 16},
    {.name = "host",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(route_fields_t, host)},
    {.name = "parts",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(route_fields_t, parts)},
    {.name = "prefix",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(route_fields_t, prefix),
     .required = true},
    {.name = "class",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(route_fields_t, importance),
     .choices = class_choices},
    {.name = "idempotent",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_fields_t, idempotent)},
    {.name = "long",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_fields_t, long_work)},
    {.name = "hedge",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_fields_t, hedge)},
    {.name = "timeout_ms",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(route_fields_t, timeout_ms),
     .minimum = 10,
     .maximum = 600000},
    {.name = "keyed",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_fields_t, keyed)},
    {.name = "public",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(route_fields_t, is_public)},
    {.name = "attempts",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(route_fields_t, attempts),
     .minimum = 1,
     .maximum = 100},
    {.name = "aim_ms",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(route_fields_t, aim_ms),
     .minimum = 1,
     .maximum = 600000},
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
clear_weighted_service(gpointer data)
{
    g_free(((bv_weighted_service_t *)data)->service);
}

static void
reject_part(config_builder_t *builder, const char *pointer, const char *name)
{
    char *shown_name = config_shown_name(name);
    char *part_pointer = g_strdup_printf("%s/parts/%s", pointer, shown_name);
    config_reject_entry(builder, part_pointer, "the name is too long");
    g_free(part_pointer);
    g_free(shown_name);
}

/*
 * Returns the services of a route's parts, without those whose name is too
 * long. A route that has no other part gets NULL, and is left out.
 */
static GArray *
build_weighted_services(config_builder_t *builder, const json_t *entries,
                        const char *pointer)
{
    GArray *services = g_array_new(FALSE, TRUE, sizeof(bv_weighted_service_t));
    g_array_set_clear_func(services, clear_weighted_service);
    const char *name;
    json_t *weight;
    uint64_t total = 0;
    uint64_t rejected_total = 0;
    json_object_foreach((json_t *)entries, name, weight) {
        json_int_t number = json_integer_value(weight);
        if (!json_is_integer(weight) || number < 0 || number > WEIGHT_LIMIT) {
            bv_findings_add(builder->findings, builder->source, pointer,
                            "part \"%s\": weight is not 0 to %d", name,
                            WEIGHT_LIMIT);
            continue;
        }
        if (strlen(name) > BV_CONFIG_NAME_LIMIT_BYTES) {
            reject_part(builder, pointer, name);
            rejected_total += (uint64_t)number;
            continue;
        }
        bv_weighted_service_t share = {g_strdup(name), (uint32_t)number};
        g_array_append_val(services, share);
        total += share.weight;
    }
    if (entries != NULL && total == 0 && rejected_total > 0) {
        g_array_unref(services);
        return NULL;
    }
    if (entries != NULL && total == 0) {
        bv_findings_add(builder->findings, builder->source, pointer,
                        "at least one part needs a weight above 0");
    }
    return services;
}

static void
clear_fields(route_fields_t *fields)
{
    g_free(fields->method);
    g_free(fields->host);
    g_free(fields->prefix);
}

/* No host name that a caller can resolve is as long. */
static bool
is_host_too_long(const route_fields_t *fields)
{
    return fields->host != NULL && strlen(fields->host) > HOST_LIMIT_BYTES;
}

void
config_build_route(config_builder_t *builder, const char *service,
                   const char *name, const json_t *entry, bv_mode_t mode,
                   const char *pointer)
{
    route_fields_t fields = {.importance = BV_CLASS_NORMAL,
                             .keyed = true,
                             .attempts = ATTEMPTS_DEFAULT,
                             .timeout_ms = 2000};
    bv_fields_read(entry, route_fields, &fields, builder->source, pointer,
                   builder->findings);
    if (fields.prefix != NULL && fields.prefix[0] != '/') {
        bv_findings_add(builder->findings, builder->source, pointer,
                        "prefix must start with /");
    }
    if (fields.hedge && !fields.idempotent) {
        bv_findings_add(builder->findings, builder->source, pointer,
                        "only an idempotent route can be hedged");
    }
    GArray *weighted_services =
        build_weighted_services(builder, fields.parts, pointer);
    if (is_host_too_long(&fields) || weighted_services == NULL) {
        config_reject_entry(builder, pointer,
                            "its host or its parts have too long names");
        g_clear_pointer(&weighted_services, g_array_unref);
        clear_fields(&fields);
        return;
    }
    bv_route_t *route = g_new0(bv_route_t, 1);
    route->name = g_strdup_printf("%s/%s", service, name);
    route->service = g_strdup(service);
    route->weighted_services = weighted_services;
    route->method = fields.method;
    route->host = fields.host;
    route->is_keyed = fields.keyed;
    route->is_public = fields.is_public;
    route->attempts_limit = (uint32_t)fields.attempts;
    route->latency_objective_us = fields.aim_ms * BV_US_PER_MS;
    route->prefix = fields.prefix;
    route->importance = (bv_class_t)fields.importance;
    route->mode = mode;
    route->is_idempotent = fields.idempotent;
    route->is_long_running = fields.long_work;
    route->is_hedged = fields.hedge;
    route->timeout_us = fields.timeout_ms * BV_US_PER_MS;
    g_ptr_array_add(builder->config->routes, route);
}

static bool
matches(const bv_route_t *route, const char *host, const char *method,
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
takes_precedence(const bv_route_t *left, const bv_route_t *right)
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
        if (matches(route, host, method, path) &&
            takes_precedence(route, best)) {
            best = route;
        }
    }
    return best;
}
