#include "target.h"

#define NUMBER(key, member, is_required, low, high)                           \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(target_settings_t, member),                        \
        .required = (is_required), .minimum = (low), .maximum = (high)        \
    }

static const bv_field_t fields[] = {
    {.name = "service",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(target_settings_t, service),
     .required = true,
     .maximum = 31},
    NUMBER("port", port, true, 1, 65535),
    NUMBER("node_port", node_port, true, 1, 65535),
    NUMBER("slots", slots, true, 1, 10000),
    NUMBER("service_us", service_us, false, 0, 600000000),
    NUMBER("long_us", long_us, false, 0, 600000000),
    NUMBER("seed", seed, false, 0, INT32_MAX),
    NUMBER("cold_start_ms", cold_start_ms, false, 0, 600000),
    {.name = "record_file",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(target_settings_t, record_file)},
    {.name = "calls",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(target_settings_t, calls_json)},
    {NULL}};

static const bv_field_t call_fields[] = {
    {.name = "method",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(target_call_t, method),
     .required = true},
    {.name = "path",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(target_call_t, path),
     .required = true},
    {.name = "to",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(target_call_t, addresses)},
    {NULL}};

static void
read_calls(const char *path, target_settings_t *settings,
           bv_findings_t *findings)
{
    size_t index;
    json_t *call;
    if (json_array_size(settings->calls_json) > TARGET_CALLS_LIMIT) {
        bv_findings_add(findings, path, "/calls", "more than %d entries",
                        TARGET_CALLS_LIMIT);
        return;
    }
    json_array_foreach(settings->calls_json, index, call) {
        char pointer[32];
        g_snprintf(pointer, sizeof(pointer), "/calls/%zu", index);
        bv_fields_read(call, call_fields, &settings->call_list[index], path,
                       pointer, findings);
        json_incref(settings->call_list[index].addresses);
        settings->call_count++;
    }
    settings->calls_json = NULL;
}

bool
target_settings_load(const char *path, target_settings_t *settings,
                     bv_findings_t *findings)
{
    json_t *root = bv_json_load(path, findings);
    if (root == NULL) {
        return false;
    }
    settings->service_us = 1000;
    settings->long_us = 100000;
    settings->seed = 1;
    bv_fields_read(root, fields, settings, path, "", findings);
    read_calls(path, settings, findings);
    json_decref(root);
    return bv_findings_is_empty(findings);
}

void
target_settings_clear(target_settings_t *settings)
{
    g_free(settings->service);
    g_free(settings->record_file);
    for (size_t i = 0; i < settings->call_count; i++) {
        g_free(settings->call_list[i].method);
        g_free(settings->call_list[i].path);
        json_decref(settings->call_list[i].addresses);
    }
}
