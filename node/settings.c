#include "berylvane/node/settings.h"

#include "berylvane/core/types.h"

#include <arpa/inet.h>
#include <string.h>

#define CURVE_KEY_LENGTH 40
#define HEX_KEY_LENGTH 64

#define ENDPOINT_BYTES 64
#define LOOPBACK "127.0.0.1"

static const char *const dialect_names[] = {"own", "platform", NULL};
static const char *const log_level_names[] = {"debug", "info", "warn", "error",
                                              NULL};

/* In the order of bv_placement_mode_t. */
static const char *const placement_names[] = {"off", "observe", "on", NULL};

#define TEXT(key, member, is_required, most_bytes)                            \
    {                                                                         \
        .name = key, .kind = BV_FIELD_STRING,                                 \
        .offset = offsetof(bv_settings_t, member), .required = (is_required), \
        .maximum = (most_bytes)                                               \
    }
#define NUMBER(key, member, is_required, smallest, largest)                   \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(bv_settings_t, member), .required = (is_required), \
        .minimum = (smallest), .maximum = (largest)                           \
    }
#define PORT(key, member, is_required)                                        \
    NUMBER(key, member, is_required, 1, 65535)
#define JSON(key, member)                                                     \
    {                                                                         \
        .name = key, .kind = BV_FIELD_JSON,                                   \
        .offset = offsetof(bv_settings_t, member)                             \
    }

static const bv_field_t settings_fields[] = {
    TEXT("name", name, true, BV_NAME_BYTES - 1),
    TEXT("data_centre", data_centre, true, BV_NAME_BYTES - 1),
    TEXT("region", region, true, BV_NAME_BYTES - 1),
    TEXT("address", address, true, BV_ADDRESS_BYTES - 1),
    {.name = "dialect",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(bv_settings_t, dialect),
     .choices = dialect_names},
    TEXT("service", service, false, BV_CONFIG_NAME_LIMIT_BYTES),
    TEXT("outside", outside_text, false, ENDPOINT_BYTES),
    TEXT("local", local_text, false, ENDPOINT_BYTES),
    TEXT("control", control_text, false, ENDPOINT_BYTES),
    TEXT("ready", ready_text, false, ENDPOINT_BYTES),
    TEXT("operators", operator_text, false, ENDPOINT_BYTES),
    PORT("outside_port", outside_port, false),
    PORT("local_port", local_port, false),
    PORT("peer_port", peer_port, true),
    PORT("gossip_port", gossip_port, true),
    PORT("operator_port", operator_port, false),
    TEXT("outside_address", outside_address, false, BV_ADDRESS_BYTES - 1),
    NUMBER("advertised_peer_port", advertised_peer_port, false, 1, 65535),
    NUMBER("advertised_gossip_port", advertised_gossip_port, false, 1, 65535),
    TEXT("platform_url", platform_url, true, 256),
    TEXT("collector_url", collector_url, false, 256),
    TEXT("operator_token", operator_token, false, 256),
    TEXT("curve_public_key", curve_public_key, false, CURVE_KEY_LENGTH),
    TEXT("curve_secret_key", curve_secret_key, false, CURVE_KEY_LENGTH),
    TEXT("gossip_key", gossip_key, true, HEX_KEY_LENGTH),
    TEXT("gossip_key_previous", gossip_key_previous, false, HEX_KEY_LENGTH),
    TEXT("ticket_key", ticket_key, false, HEX_KEY_LENGTH),
    TEXT("ticket_key_previous", ticket_key_previous, false, HEX_KEY_LENGTH),
    {.name = "log_level",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(bv_settings_t, log_level),
     .choices = log_level_names},
    {.name = "placement",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(bv_settings_t, placement),
     .choices = placement_names},
    NUMBER("body_limit_bytes", body_limit_bytes, false, 1024, 8388608),
    NUMBER("read_ahead_requests", read_ahead_requests, false, 1, 64),
    NUMBER("read_ahead_bytes", read_ahead_bytes, false, 1024, 8388608),
    NUMBER("memory_limit_mb", memory_limit_mb, false, 0, 1048576),
    NUMBER("descriptor_limit", descriptor_limit, false, 0, 1048576),
    NUMBER("trace_percent", trace_percent, false, 0, 100),
    NUMBER("probe_interval_ms", probe_interval_ms, false, 50, 60000),
    NUMBER("suspect_timeout_ms", suspect_timeout_ms, false, 100, 600000),
    NUMBER("config_poll_ms", config_poll_ms, false, 100, 600000),
    NUMBER("config_apply_ms", config_apply_ms, false, 0, 600000),
    NUMBER("revoke_ms", revoke_ms, false, 0, 600000),
    {.name = "revoke_fails_closed",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(bv_settings_t, revoke_fails_closed)},
    NUMBER("quota_window_ms", quota_window_ms, false, 100, 600000),
    NUMBER("quota_overage_percent", quota_overage_percent, false, 0, 1000),
    NUMBER("quota_slack", quota_slack, false, 0, 1000000),
    NUMBER("rendezvous_ms", rendezvous_ms, false, 100, 3600000),
    NUMBER("store_timeout_ms", store_timeout_ms, false, 50, 60000),
    NUMBER("claim_window_ms", claim_window_ms, false, 0, 1000),
    NUMBER("drain_notice_ms", drain_notice_ms, false, 0, 60000),
    NUMBER("drain_limit_ms", drain_limit_ms, false, 0, 3600000),
    JSON("seeds", seeds),
    JSON("policy", policy),
    JSON("bounds", bounds),
    {NULL}};

static void
check_hex_key(const char *path, const char *pointer, const char *key,
              bv_findings_t *findings)
{
    if (key == NULL) {
        return;
    }
    if (strlen(key) != HEX_KEY_LENGTH ||
        strspn(key, "0123456789abcdefABCDEF") != HEX_KEY_LENGTH) {
        bv_findings_add(findings, path, pointer,
                        "expected %d hexadecimal digits", HEX_KEY_LENGTH);
    }
}

static void
check_curve_key(const char *path, const char *pointer, const char *key,
                bv_findings_t *findings)
{
    if (key != NULL && strlen(key) != CURVE_KEY_LENGTH) {
        bv_findings_add(findings, path, pointer,
                        "expected %d characters of Z85", CURVE_KEY_LENGTH);
    }
}

static void
check_ip_address(const char *path, const char *pointer, const char *text,
                 bv_findings_t *findings)
{
    struct in_addr address;
    if (text != NULL && inet_pton(AF_INET, text, &address) != 1) {
        bv_findings_add(findings, path, pointer, "expected an IPv4 address");
    }
}

static void
read_endpoint(const char *text, const char *path, const char *pointer,
              bv_endpoint_t *endpoint, bv_findings_t *findings)
{
    guint64 port = 0;
    const char *colon = text != NULL ? strrchr(text, ':') : NULL;
    if (text == NULL) {
        return;
    }
    if (colon == NULL ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL)) {
        bv_findings_add(findings, path, pointer, "expected ADDRESS:PORT");
        return;
    }
    g_free(endpoint->address);
    endpoint->address = g_strndup(text, (gsize)(colon - text));
    endpoint->port = (uint16_t)port;
    check_ip_address(path, pointer, endpoint->address, findings);
}

static void
set_endpoint(bv_endpoint_t *endpoint, const char *address, int64_t port)
{
    endpoint->address = g_strdup(address);
    endpoint->port = (uint16_t)port;
}

static void
read_endpoints(bv_settings_t *settings, const char *path,
               bv_findings_t *findings)
{
    const char *outside = settings->outside_address != NULL
                              ? settings->outside_address
                              : settings->address;
    set_endpoint(&settings->outside, outside, settings->outside_port);
    set_endpoint(&settings->local, LOOPBACK, settings->local_port);
    set_endpoint(&settings->operators, LOOPBACK, settings->operator_port);
    read_endpoint(settings->outside_text, path, "/outside", &settings->outside,
                  findings);
    read_endpoint(settings->local_text, path, "/local", &settings->local,
                  findings);
    read_endpoint(settings->control_text, path, "/control", &settings->control,
                  findings);
    read_endpoint(settings->ready_text, path, "/ready", &settings->ready,
                  findings);
    read_endpoint(settings->operator_text, path, "/operators",
                  &settings->operators, findings);
    if (settings->outside.port == 0) {
        bv_findings_add(findings, path, "/", "missing key \"outside_port\"");
    }
    if (settings->local.port == 0 && settings->control.port == 0) {
        bv_findings_add(findings, path, "/", "missing key \"local_port\"");
    }
    if (settings->operators.port == 0) {
        bv_findings_add(findings, path, "/", "missing key \"operator_port\"");
    }
}

static void
check_settings(const bv_settings_t *settings, const char *path,
               bv_findings_t *findings)
{
    check_ip_address(path, "/address", settings->address, findings);
    check_ip_address(path, "/outside_address", settings->outside_address,
                     findings);
    check_hex_key(path, "/gossip_key", settings->gossip_key, findings);
    check_hex_key(path, "/gossip_key_previous", settings->gossip_key_previous,
                  findings);
    if (settings->ticket_key == NULL && settings->dialect == BV_DIALECT_OWN) {
        bv_findings_add(findings, path, "/", "missing key \"ticket_key\"");
    }
    check_hex_key(path, "/ticket_key", settings->ticket_key, findings);
    check_hex_key(path, "/ticket_key_previous", settings->ticket_key_previous,
                  findings);
    check_curve_key(path, "/curve_public_key", settings->curve_public_key,
                    findings);
    check_curve_key(path, "/curve_secret_key", settings->curve_secret_key,
                    findings);
    if ((settings->curve_public_key == NULL) !=
        (settings->curve_secret_key == NULL)) {
        bv_findings_add(findings, path, "/curve_public_key",
                        "both CURVE keys are needed, or none");
    }
}

/* Sets the settings whose default is the value of another setting. */
static void
set_derived_defaults(bv_settings_t *settings)
{
    if (settings->advertised_peer_port == 0) {
        settings->advertised_peer_port = settings->peer_port;
    }
    if (settings->advertised_gossip_port == 0) {
        settings->advertised_gossip_port = settings->gossip_port;
    }
}

bv_settings_t *
bv_settings_load(const char *path, bv_findings_t *findings)
{
    json_t *root = bv_json_load(path, findings);
    if (root == NULL) {
        return NULL;
    }
    bv_settings_t *settings = g_new0(bv_settings_t, 1);
    settings->path = g_strdup(path);
    settings->log_level = 1;
    settings->body_limit_bytes = 1048576;
    settings->read_ahead_requests = 8;
    settings->read_ahead_bytes = 262144;
    settings->trace_percent = 100;
    settings->probe_interval_ms = 1000;
    settings->suspect_timeout_ms = 5000;
    settings->config_poll_ms = 10000;
    settings->revoke_ms = 5000;
    settings->quota_window_ms = 5000;
    settings->quota_overage_percent = 10;
    settings->quota_slack = 20;
    settings->rendezvous_ms = 120000;
    settings->store_timeout_ms = 2000;
    settings->claim_window_ms = 10;
    settings->drain_notice_ms = 3000;
    settings->drain_limit_ms = 120000;
    bv_fields_read(root, settings_fields, settings, path, "", findings);
    json_incref(settings->seeds);
    json_incref(settings->policy);
    json_incref(settings->bounds);
    set_derived_defaults(settings);
    read_endpoints(settings, path, findings);
    check_settings(settings, path, findings);
    json_decref(root);
    if (!bv_findings_is_empty(findings)) {
        bv_settings_destroy(settings);
        return NULL;
    }
    return settings;
}

static bool
is_reloadable(const bv_field_t *field)
{
    return (field->kind == BV_FIELD_INTEGER &&
            !g_str_has_suffix(field->name, "_port")) ||
           field->kind == BV_FIELD_JSON;
}

/*
 * Swaps a field of the two settings. The replaced value is then freed together
 * with the settings that were loaded to replace it.
 */
static void
swap_field(const bv_field_t *field, bv_settings_t *left, bv_settings_t *right)
{
    char *left_value = (char *)left + field->offset;
    char *right_value = (char *)right + field->offset;
    uint8_t copy[sizeof(int64_t)];
    size_t size =
        field->kind == BV_FIELD_JSON ? sizeof(json_t *) : sizeof(int64_t);
    memcpy(copy, left_value, size);
    memcpy(left_value, right_value, size);
    memcpy(right_value, copy, size);
}

void
bv_settings_reload(bv_settings_t *settings, bv_findings_t *findings)
{
    bv_settings_t *loaded = bv_settings_load(settings->path, findings);
    if (loaded == NULL) {
        return;
    }
    for (const bv_field_t *field = settings_fields; field->name != NULL;
         field++) {
        if (is_reloadable(field)) {
            swap_field(field, settings, loaded);
        }
    }
    bv_settings_destroy(loaded);
}

void
bv_settings_destroy(bv_settings_t *settings)
{
    if (settings == NULL) {
        return;
    }
    for (const bv_field_t *field = settings_fields; field->name != NULL;
         field++) {
        if (field->kind == BV_FIELD_STRING) {
            g_free(*(char **)((char *)settings + field->offset));
        }
        if (field->kind == BV_FIELD_JSON) {
            json_decref(*(json_t **)((char *)settings + field->offset));
        }
    }
    g_free(settings->path);
    g_free(settings->outside.address);
    g_free(settings->local.address);
    g_free(settings->control.address);
    g_free(settings->ready.address);
    g_free(settings->operators.address);
    g_free(settings);
}
