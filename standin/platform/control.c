#include "service.h"

#include "berylvane/common/findings.h"

#include <string.h>

static const char *const modes[] = {"up", "down", "hang", NULL};

static const bv_field_t control_fields[] = {
    {.name = "mode",
     .kind = BV_FIELD_CHOICE,
     .offset = offsetof(service_t, mode),
     .choices = modes},
    {.name = "delay_ms",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(service_t, delay_ms),
     .maximum = 600000},
    {.name = "lose_answers_percent",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(service_t, lose_answers_percent),
     .maximum = 100},
    {.name = "refuse_percent",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(service_t, refuse_percent),
     .maximum = 100},
    {.name = "forget_history",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(service_t, forget_history)},
    {.name = "hold_watches",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(service_t, hold_watches)},
    {.name = "copy",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(service_t, copy)},
    {.name = "restore",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(service_t, restore)},
    {.name = "silence",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(service_t, silence)},
    {NULL}};

static void
check_control(const service_t *service, bv_findings_t *findings)
{
    if (service->restore && service->copy) {
        bv_findings_add(findings, "control", "/restore", "not beside a copy");
    }
    else if (service->restore && !backup_exists(service)) {
        bv_findings_add(findings, "control", "/restore", "there is no copy");
    }
}

static void
execute_actions(service_t *service)
{
    if (service->forget_history) {
        service->forgotten_version = service->version;
    }
    if (service->copy) {
        backup_take(service);
    }
    if (service->restore) {
        service_restore(service);
    }
    if (service->silence) {
        service_silence(service);
    }
}

static void
reset_actions(service_t *service)
{
    service->forget_history = false;
    service->copy = false;
    service->restore = false;
    service->silence = false;
}

GBytes *
control_handle(service_t *service, const bv_call_t *call, uint16_t *status)
{
    json_t *request = service_parse_body(call);
    bv_findings_t *findings = bv_findings_create();
    bv_fields_read(request, control_fields, service, "control", "", findings);
    check_control(service, findings);
    if (bv_findings_is_empty(findings)) {
        execute_actions(service);
    }
    else {
        *status = 400;
    }
    reset_actions(service);
    char *text = bv_findings_to_string(findings);
    bv_findings_destroy(findings);
    json_decref(request);
    return g_bytes_new_take(text, strlen(text));
}
