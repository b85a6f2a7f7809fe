#include "berylvane/node/dialect.h"

#include <string.h>

/* The local target of berylvane's own dialect is reached over loopback. */
#define TARGET_ADDRESS "127.0.0.1"

typedef struct {
    char *service;
    int64_t port;
    int64_t slots;
} record_t;

static const bv_field_t fields[] = {{.name = "service",
                                     .kind = BV_FIELD_STRING,
                                     .offset = offsetof(record_t, service),
                                     .required = true,
                                     .most = BV_NAME_BYTES - 1},
                                    {.name = "port",
                                     .kind = BV_FIELD_INTEGER,
                                     .offset = offsetof(record_t, port),
                                     .required = true,
                                     .least = 1,
                                     .most = 65535},
                                    {.name = "slots",
                                     .kind = BV_FIELD_INTEGER,
                                     .offset = offsetof(record_t, slots),
                                     .required = true,
                                     .least = 1,
                                     .most = 100000},
                                    {NULL}};

static bool
read_announcement(void *context, const bv_call_t *call,
                  bv_announcement_t *announcement, bv_findings_t *findings)
{
    (void)context;
    gsize size;
    const char *text = g_bytes_get_data(call->body, &size);
    json_t *root = json_loadb(text, size, 0, NULL);
    record_t record = {0};
    bv_fields_read(root, fields, &record, "announcement", "", findings);
    bool good = bv_findings_empty(findings);
    if (good) {
        g_strlcpy(announcement->service, record.service, BV_NAME_BYTES);
        g_strlcpy(announcement->address, TARGET_ADDRESS, BV_ADDRESS_BYTES);
        announcement->port = (uint16_t)record.port;
        announcement->slots = (uint32_t)record.slots;
    }
    g_free(record.service);
    json_decref(root);
    return good;
}

const bv_dialect_t bv_own_dialect = {
    .caller = {NULL},
    .target = {NULL},
    .read_announcement = read_announcement,
};
