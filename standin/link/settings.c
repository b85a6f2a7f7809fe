#include "link.h"

#define NUMBER(type, key, member, is_required, low, high)                     \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(type, member), .required = (is_required),          \
        .minimum = (low), .maximum = (high)                                   \
    }
#define FAULT(key, high) NUMBER(link_faults_t, #key, key, false, 0, high)
#define SWITCH(key)                                                           \
    {                                                                         \
        .name = #key, .kind = BV_FIELD_BOOLEAN,                               \
        .offset = offsetof(link_faults_t, key)                                \
    }

static const char *const protocols[] = {"tcp", "udp", NULL};

static const bv_field_t fault_fields[] = {FAULT(delay_us, 10000000),
                                          FAULT(far_delay_us, 10000000),
                                          FAULT(bytes_per_s, INT64_MAX),
                                          FAULT(loss_percent, 100),
                                          FAULT(duplicate_percent, 100),
                                          SWITCH(cut),
                                          SWITCH(cut_far),
                                          SWITCH(hold_answers),
                                          SWITCH(silence),
                                          {NULL}};

static const bv_field_t relay_fields[] = {
    NUMBER(link_relay_t, "port", port, true, 1, 65535),
    NUMBER(link_relay_t, "to_port", to_port, true, 1, 65535),
    {.name = "protocol",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(link_relay_t, protocol),
     .required = true,
     .choices = protocols},
    {NULL}};

static const bv_field_t fields[] = {
    {.name = "address",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(link_settings_t, address),
     .required = true},
    NUMBER(link_settings_t, "control_port", control_port, true, 1, 65535),
    NUMBER(link_settings_t, "seed", seed, false, 0, INT32_MAX),
    {.name = "faults",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(link_settings_t, faults_json)},
    {.name = "relays",
     .kind = BV_FIELD_JSON,
     .offset = offsetof(link_settings_t, relays_json),
     .required = true},
    {NULL}};

bool
link_faults_read(const json_t *json, link_faults_t *faults, const char *source,
                 const char *pointer, bv_findings_t *findings)
{
    bv_fields_read(json, fault_fields, faults, source, pointer, findings);
    return bv_findings_is_empty(findings);
}

static void
read_relays(const char *path, link_settings_t *settings,
            bv_findings_t *findings)
{
    size_t index;
    json_t *relay;
    if (json_array_size(settings->relays_json) > LINK_RELAYS_LIMIT) {
        bv_findings_add(findings, path, "/relays", "more than %d entries",
                        LINK_RELAYS_LIMIT);
        return;
    }
    json_array_foreach(settings->relays_json, index, relay) {
        char pointer[32];
        g_snprintf(pointer, sizeof(pointer), "/relays/%zu", index);
        bv_fields_read(relay, relay_fields, &settings->relays[index], path,
                       pointer, findings);
        settings->relay_count++;
    }
}

bool
link_settings_load(const char *path, link_settings_t *settings,
                   bv_findings_t *findings)
{
    json_t *root = bv_json_load(path, findings);
    if (root == NULL) {
        return false;
    }
    settings->seed = 1;
    bv_fields_read(root, fields, settings, path, "", findings);
    read_relays(path, settings, findings);
    if (settings->faults_json != NULL) {
        link_faults_read(settings->faults_json, &settings->faults, path,
                         "/faults", findings);
    }
    settings->relays_json = NULL;
    settings->faults_json = NULL;
    json_decref(root);
    return bv_findings_is_empty(findings);
}

void
link_settings_clear(link_settings_t *settings)
{
    g_free(settings->address);
}
