#include "load.h"

#define NUMBER(type, key, member, is_required, low, high)                     \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(type, member), .required = (is_required),          \
        .minimum = (low), .maximum = (high)                                   \
    }
#define TEXT(key, member)                                                     \
    {                                                                         \
        .name = key, .kind = BV_FIELD_STRING,                                 \
        .offset = offsetof(load_kind_t, member), .required = true             \
    }

static const bv_field_t settings_fields[] = {
    {.name = "entries",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(load_settings_t, entries_json)},
    {.name = "mix",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(load_settings_t, mix_json),
     .required = true},
    {.name = "phases",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(load_settings_t, phases_json)},
    NUMBER(load_settings_t, "rate_per_s", rate_per_s, true, 1, 200000),
    NUMBER(load_settings_t, "seconds", seconds, true, 1, 3600),
    NUMBER(load_settings_t, "seed", seed, false, 0, INT32_MAX),
    NUMBER(load_settings_t, "warmup_s", warmup_s, false, 0, 3600),
    NUMBER(load_settings_t, "customers", customers, false, 1, 1000000),
    {NULL}};

static const bv_field_t kind_fields[] = {
    TEXT("name", name),
    TEXT("method", method),
    TEXT("path", path),
    NUMBER(load_kind_t, "weight", weight, true, 1, 1000000),
    NUMBER(load_kind_t, "timeout_ms", timeout_ms, false, 10, 600000),
    NUMBER(load_kind_t, "body_bytes", body_bytes, false, 0, 1048576),
    NUMBER(load_kind_t, "retries", retries, false, 0, 100),
    {.name = "own_key",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(load_kind_t, sends_own_key)},
    {.name = "api_key",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(load_kind_t, api_key)},
    {.name = "entries",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(load_kind_t, entries_json)},
    {NULL}};

static const bv_field_t phase_fields[] = {
    NUMBER(load_phase_t, "at_s", at_s, true, 0, 3600),
    NUMBER(load_phase_t, "rate_percent", rate_percent, true, 1, 10000),
    {NULL}};

static void
read_entries(const char *path, const char *pointer, const json_t *json,
             load_entries_t *entries, bv_findings_t *findings)
{
    size_t index;
    json_t *element;
    json_array_foreach(json, index, element) {
        if (!json_is_string(element) || index >= LOAD_ENTRIES_LIMIT) {
            bv_findings_add(findings, path, pointer,
                            "element %zu of \"entries\" is not accepted: "
                            "expected at most %d strings \"IP:PORT\"",
                            index, LOAD_ENTRIES_LIMIT);
            return;
        }
        entries->addresses[entries->count++] =
            g_strdup(json_string_value(element));
    }
}

static void
read_mix(const char *path, load_settings_t *settings, bv_findings_t *findings)
{
    size_t index;
    json_t *element;
    json_array_foreach(settings->mix_json, index, element) {
        if (index >= LOAD_KINDS_LIMIT) {
            bv_findings_add(findings, path, "/mix",
                            "at most %d kinds of request are accepted",
                            LOAD_KINDS_LIMIT);
            return;
        }
        char pointer[32];
        g_snprintf(pointer, sizeof(pointer), "/mix/%zu", index);
        load_kind_t *kind = &settings->kinds[settings->kind_count++];
        kind->timeout_ms = 5000;
        bv_fields_read(element, kind_fields, kind, path, pointer, findings);
        read_entries(path, pointer, kind->entries_json, &kind->entries,
                     findings);
        kind->entries_json = NULL;
        if (kind->entries.count == 0 && settings->entries.count == 0) {
            bv_findings_add(
                findings, path, pointer,
                "no address to send to: \"entries\" is needed here "
                "or at the top level");
        }
    }
    if (settings->kind_count == 0) {
        bv_findings_add(findings, path, "/mix",
                        "expected a list of 1 to %d kinds of request",
                        LOAD_KINDS_LIMIT);
    }
}

static void
read_phases(const char *path, load_settings_t *settings,
            bv_findings_t *findings)
{
    size_t index;
    json_t *phase;
    json_array_foreach(settings->phases_json, index, phase) {
        char pointer[32];
        g_snprintf(pointer, sizeof(pointer), "/phases/%zu", index);
        if (index >= LOAD_PHASES_LIMIT) {
            bv_findings_add(findings, path, pointer,
                            "at most %d phases are accepted",
                            LOAD_PHASES_LIMIT);
            return;
        }
        load_phase_t *phase_settings =
            &settings->phases[settings->phase_count++];
        bv_fields_read(phase, phase_fields, phase_settings, path, pointer,
                       findings);
        if (index > 0 && phase_settings->at_s <= phase_settings[-1].at_s) {
            bv_findings_add(
                findings, path, pointer,
                "at_s must be greater than %d, the previous phase's",
                (int)phase_settings[-1].at_s);
        }
    }
}

bool
load_settings_load(const char *path, load_settings_t *settings,
                   bv_findings_t *findings)
{
    json_t *root = bv_json_load(path, findings);
    if (root == NULL) {
        return false;
    }
    settings->seed = 1;
    settings->customers = 1000;
    bv_fields_read(root, settings_fields, settings, path, "", findings);
    read_entries(path, "/entries", settings->entries_json, &settings->entries,
                 findings);
    read_mix(path, settings, findings);
    read_phases(path, settings, findings);
    settings->entries_json = NULL;
    settings->mix_json = NULL;
    settings->phases_json = NULL;
    json_decref(root);
    return bv_findings_is_empty(findings);
}

static void
clear_entries(load_entries_t *entries)
{
    for (size_t i = 0; i < entries->count; i++) {
        g_free(entries->addresses[i]);
    }
}

void
load_settings_clear(load_settings_t *settings)
{
    clear_entries(&settings->entries);
    for (size_t i = 0; i < settings->kind_count; i++) {
        g_free(settings->kinds[i].name);
        g_free(settings->kinds[i].method);
        g_free(settings->kinds[i].path);
        g_free(settings->kinds[i].api_key);
        clear_entries(&settings->kinds[i].entries);
    }
}
