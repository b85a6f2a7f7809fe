#include "berylvane/node/dialect.h"

#include <string.h>

/* berylvane's own dialect reaches the local target over loopback. */
#define TARGET_ADDRESS "127.0.0.1"

typedef struct {
    char *service;
    int64_t port;
    int64_t slots;
} announcement_body_t;

static const bv_field_t body_fields[] = {
    {.name = "service",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(announcement_body_t, service),
     .required = true,
     .maximum = BV_CONFIG_NAME_LIMIT_BYTES},
    {.name = "port",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(announcement_body_t, port),
     .required = true,
     .minimum = 1,
     .maximum = 65535},
    {.name = "slots",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(announcement_body_t, slots),
     .required = true,
     .minimum = 1,
     .maximum = 100000},
    {NULL}};

static bool
read_announcement(void *context, const bv_call_t *call,
                  bv_announcement_t *announcement, bv_findings_t *findings)
{
    (void)context;
    gsize size;
    const char *text = g_bytes_get_data(call->body, &size);
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
    announcement_body_t body = {0};
    bv_fields_read(root, body_fields, &body, "announcement", "", findings);
    bool is_valid = bv_findings_is_empty(findings);
    if (is_valid) {
        g_strlcpy(announcement->service, body.service, BV_SERVICE_BYTES);
        g_strlcpy(announcement->address, TARGET_ADDRESS, BV_ADDRESS_BYTES);
        announcement->port = (uint16_t)body.port;
        announcement->slots = (uint32_t)body.slots;
    }
    g_free(body.service);
    json_decref(root);
    return is_valid;
}

const bv_dialect_t bv_own_dialect = {
    .caller = {NULL},
    .target = {NULL},
    .read_announcement = read_announcement,
};
