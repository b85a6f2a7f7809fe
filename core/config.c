#include "config_internal.h"

#include "berylvane/common/clock.h"

#include <string.h>
#include <xxhash.h>

static const char *const mode_choices[] = {"bypass", "observe", "enforce",
                                           NULL};

/* Bytes of a name, and rejected entries, that findings show. */
#define SHOWN_NAME_BYTES 200
#define LISTED_REJECTIONS 20

typedef struct {
    json_t *retry;
    json_t *admission;
    json_t *fencing;
    json_t *callers;
    json_t *departments;
    json_t *accounts;
    json_t *services;
} sections_t;

typedef struct {
    char *department;
    json_t *routes;
} service_fields_t;

typedef struct {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_timeout_ms;
    int64_t idle_timeout_ms;
} caller_fields_t;

typedef struct {
    int64_t credits;
    int64_t ratio_percent;
    int64_t reserve;
    int64_t shared_reserve;
    int64_t window_ms;
    int64_t reroutes;
    int64_t queue_target_ms;
    int64_t queue_limit;
    int64_t long_share_percent;
    bool fixed_limit;
    int64_t before_deadline_ms;
} number_fields_t;

#define NUMBER(key, member, low, high)                                        \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(number_fields_t, member), .minimum = (low),        \
        .maximum = (high)                                                     \
    }

static const bv_field_t section_fields[] = {
    {.name = "retry",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(sections_t, retry)},
    {.name = "admission",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(sections_t, admission)},
    {.name = "fencing",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(sections_t, fencing)},
    {.name = "callers",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(sections_t, callers)},
    {.name = "departments",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(sections_t, departments)},
    {.name = "accounts",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(sections_t, accounts)},
    {.name = "services",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(sections_t, services),
     .required = true},
    {NULL}};

static const bv_field_t retry_fields[] = {
    NUMBER("credits", credits, 0, 16),
    NUMBER("ratio_percent", ratio_percent, 0, 100),
    NUMBER("reserve", reserve, 1, 1000),
    NUMBER("shared_reserve", shared_reserve, 0, 100000),
    NUMBER("window_ms", window_ms, 100, 600000),
    NUMBER("reroutes", reroutes, 0, 4),
    {NULL}};

static const bv_field_t admission_fields[] = {
    NUMBER("queue_target_ms", queue_target_ms, 1, 1000),
    NUMBER("queue_limit", queue_limit, 1, 100000),
    NUMBER("long_share_percent", long_share_percent, 1, 100),
    {.name = "fixed_limit",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(number_fields_t, fixed_limit)},
    {NULL}};

static const bv_field_t fencing_fields[] = {
    NUMBER("before_deadline_ms", before_deadline_ms, 1, 5000), {NULL}};

#define CALLERS_NUMBER(key, member, high)                                     \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(caller_fields_t, member), .minimum = 1,            \
        .maximum = (high)                                                     \
    }

static const bv_field_t callers_fields[] = {
    CALLERS_NUMBER("header_bytes", header_bytes, 1 << 20),
    CALLERS_NUMBER("body_bytes", body_bytes, 1 << 30),
    CALLERS_NUMBER("header_timeout_ms", header_timeout_ms, 600000),
    CALLERS_NUMBER("idle_timeout_ms", idle_timeout_ms, 3600000),
    {NULL}};

static const bv_field_t service_fields[] = {
    {.name = "department",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(service_fields_t, department),
     .maximum = BV_CONFIG_NAME_LIMIT_BYTES},
    {.name = "routes",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(service_fields_t, routes),
     .required = true},
    {NULL}};

const char *
bv_mode_name(bv_mode_t mode)
{
    return mode_choices[mode];
}

json_t *
bv_merge_patch(const json_t *document, const json_t *patch)
{
    if (!json_is_object(patch)) {
        return json_deep_copy(patch);
    }
    json_t *merged = json_is_object(document) ? json_copy((json_t *)document)
                                              : json_object();
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)patch, key, value) {
        if (json_is_null(value)) {
            json_object_del(merged, key);
            continue;
        }
        json_object_set_new(
            merged, key, bv_merge_patch(json_object_get(merged, key), value));
    }
    return merged;
}

json_t *
bv_bundle_render(const json_t *bundle, const char *site)
{
    const json_t *base = json_object_get(bundle, "base");
    const json_t *overlay =
        json_object_get(json_object_get(bundle, "overlays"), site);
    if (overlay == NULL) {
        return json_incref((json_t *)base);
    }
    return bv_merge_patch(base, overlay);
}

void
bv_document_digest(const json_t *document, char digest[17])
{
    char *text =
        json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
    XXH64_hash_t hash = XXH3_64bits(text, strlen(text));
    g_snprintf(digest, 17, "%016" G_GINT64_MODIFIER "x", (guint64)hash);
    free(text);
}

static bv_mode_t
department_mode(const config_builder_t *builder, const char *department,
                const char *pointer)
{
    if (department == NULL) {
        return BV_MODE_ENFORCE;
    }
    const json_t *entry = json_object_get(builder->departments, department);
    if (entry == NULL) {
        bv_findings_add(builder->findings, builder->source, pointer,
                        "department \"%s\" is not declared", department);
        return BV_MODE_BYPASS;
    }
    int64_t mode = BV_MODE_ENFORCE;
    const bv_field_t fields[] = {{.name = "mode",
                                  .kind = BV_FIELD_CHOICE,
                                  .required = true,
                                  .choices = mode_choices},
                                 {NULL}};
    char *section_pointer = g_strdup_printf("/departments/%s", department);
    bv_fields_read(entry, fields, &mode, builder->source, section_pointer,
                   builder->findings);
    g_free(section_pointer);
    return (bv_mode_t)mode;
}

char *
config_shown_name(const char *name)
{
    char *start = g_strndup(name, SHOWN_NAME_BYTES);
    char *valid = g_utf8_make_valid(start, -1);
    g_free(start);
    return valid;
}

void
config_reject_entry(config_builder_t *builder, const char *pointer,
                    const char *problem)
{
    builder->rejected_entries++;
    if (builder->rejected_entries <= LISTED_REJECTIONS) {
        builder->rejection_lines++;
        bv_findings_add(builder->findings, builder->source, pointer,
                        "entry left out: %s", problem);
    }
}

static void
count_unlisted_rejections(config_builder_t *builder)
{
    if (builder->rejected_entries > LISTED_REJECTIONS) {
        builder->rejection_lines++;
        bv_findings_add(builder->findings, builder->source, "",
                        "%u further entries left out",
                        builder->rejected_entries - LISTED_REJECTIONS);
    }
}

static void
build_service(config_builder_t *builder, const char *name, const json_t *entry)
{
    char *shown_name = config_shown_name(name);
    char *pointer = g_strdup_printf("/services/%s", shown_name);
    g_free(shown_name);
    if (strlen(name) > BV_CONFIG_NAME_LIMIT_BYTES) {
        config_reject_entry(builder, pointer, "the name is too long");
        g_free(pointer);
        return;
    }
    service_fields_t service = {0};
    bv_fields_read(entry, service_fields, &service, builder->source, pointer,
                   builder->findings);
    bv_mode_t mode = department_mode(builder, service.department, pointer);
    const char *key;
    json_t *route;
    json_object_foreach(service.routes, key, route) {
        char *shown_key = config_shown_name(key);
        char *route_pointer =
            g_strdup_printf("%s/routes/%s", pointer, shown_key);
        g_free(shown_key);
        config_build_route(builder, name, key, route, mode, route_pointer);
        g_free(route_pointer);
    }
    g_free(service.department);
    g_free(pointer);
}

static void
read_section(const config_builder_t *builder, const json_t *section,
             const bv_field_t *fields, const char *pointer,
             number_fields_t *numbers)
{
    if (section != NULL) {
        bv_fields_read(section, fields, numbers, builder->source, pointer,
                       builder->findings);
    }
}

static void
build_numbers(config_builder_t *builder, const sections_t *sections)
{
    number_fields_t numbers = {
        .credits = 3,
        .ratio_percent = 10,
        .reserve = 10,
        .window_ms = 10000,
        .reroutes = 2,
        .queue_target_ms = 10,
        .queue_limit = 1000,
        .long_share_percent = 40,
        .before_deadline_ms = 200,
    };
    read_section(builder, sections->retry, retry_fields, "/retry", &numbers);
    read_section(builder, sections->admission, admission_fields, "/admission",
                 &numbers);
    read_section(builder, sections->fencing, fencing_fields, "/fencing",
                 &numbers);
    bv_config_t *config = builder->config;
    config->retry_credits = (uint32_t)numbers.credits;
    config->retry_ratio_percent = (uint32_t)numbers.ratio_percent;
    config->retry_reserve = (uint32_t)numbers.reserve;
    config->retry_window_us = numbers.window_ms * BV_US_PER_MS;
    config->retry_shared_reserve = (uint32_t)numbers.shared_reserve;
    config->reroutes_limit = (uint32_t)numbers.reroutes;
    config->queue_target_us = numbers.queue_target_ms * BV_US_PER_MS;
    config->queue_limit = (uint32_t)numbers.queue_limit;
    config->long_share_percent = (uint32_t)numbers.long_share_percent;
    config->has_fixed_limit = numbers.fixed_limit;
    config->fence_before_deadline_us =
        numbers.before_deadline_ms * BV_US_PER_MS;
}

static void
build_callers(config_builder_t *builder, const json_t *section)
{
    caller_fields_t callers = {0};
    if (section == NULL) {
        return;
    }
    bv_fields_read(section, callers_fields, &callers, builder->source,
                   "/callers", builder->findings);
    bv_caller_limits_t *limits = &builder->config->caller_limits;
    limits->header_bytes = (uint32_t)callers.header_bytes;
    limits->body_bytes = (uint32_t)callers.body_bytes;
    limits->header_timeout_us = callers.header_timeout_ms * BV_US_PER_MS;
    limits->idle_timeout_us = callers.idle_timeout_ms * BV_US_PER_MS;
}

static bv_config_t *
build_document(const json_t *root, uint64_t generation, const char *source,
               bv_findings_t *findings)
{
    sections_t sections = {0};
    guint findings_before = findings->entries->len;
    bv_fields_read(root, section_fields, &sections, source, "", findings);
    bv_config_t *config = g_new0(bv_config_t, 1);
    config->references = 1;
    config->generation = generation;
    config->routes = g_ptr_array_new_with_free_func(config_free_route);
    config_builder_t builder = {source, findings, sections.departments,
                                config, 0,        0};
    build_numbers(&builder, &sections);
    build_callers(&builder, sections.callers);
    if (sections.accounts != NULL) {
        config->accounts = bv_accounts_build(sections.accounts, source,
                                             "/accounts", findings);
    }
    const char *name;
    json_t *entry;
    json_object_foreach(sections.services, name, entry) {
        build_service(&builder, name, entry);
    }
    count_unlisted_rejections(&builder);
    if (findings->entries->len > findings_before + builder.rejection_lines) {
        bv_config_unref(config);
        return NULL;
    }
    return config;
}

bv_config_t *
bv_config_build(const json_t *bundle, const char *site, uint64_t generation,
                const char *source, bv_findings_t *findings)
{
    json_t *root = bv_bundle_render(bundle, site);
    if (root == NULL) {
        bv_findings_add(findings, source, "/base", "missing base document");
        return NULL;
    }
    bv_config_t *config = build_document(root, generation, source, findings);
    json_decref(root);
    return config;
}

bv_config_t *
bv_config_ref(bv_config_t *config)
{
    g_atomic_int_inc(&config->references);
    return config;
}

void
bv_config_unref(bv_config_t *config)
{
    if (config == NULL || !g_atomic_int_dec_and_test(&config->references)) {
        return;
    }
    g_ptr_array_unref(config->routes);
    bv_accounts_destroy(config->accounts);
    g_free(config);
}
