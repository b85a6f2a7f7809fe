#include "berylvane/node/member_row.h"

#include "berylvane/common/findings.h"

#include <string.h>

json_t *
bv_member_row_render(const bv_member_t *member)
{
    json_t *row = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I, s:s, s:I}", "name",
        member->name, "data_centre", member->data_centre, "region",
        member->region, "address", member->address, "peer_port",
        member->peer_port, "gossip_port", member->gossip_port, "incarnation",
        (json_int_t)member->incarnation, "version",
        (json_int_t)member->version, "slots", (json_int_t)member->slots,
        "state", bv_member_state_name(member->state), "generation",
        (json_int_t)member->generation);
    if (member->service[0] != '\0') {
        json_object_set_new(row, "service", json_string(member->service));
    }
    return row;
}

typedef struct {
    char *name;
    char *service;
    char *data_centre;
    char *region;
    char *address;
    int64_t peer_port;
    int64_t gossip_port;
    int64_t incarnation;
    int64_t version;
    int64_t slots;
    char *state;
    int64_t generation;
} row_t;

#define TEXT(key, member, limit)                                              \
    {                                                                         \
        .name = key, .kind = BV_FIELD_STRING,                                 \
        .offset = offsetof(row_t, member), .required = true,                  \
        .maximum = (limit)                                                    \
    }
#define NUMBER(key, member, limit)                                            \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(row_t, member), .required = true,                  \
        .maximum = (limit)                                                    \
    }

static const bv_field_t row_fields[] = {
    TEXT("name", name, BV_NAME_BYTES - 1),
    {.name = "service",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(row_t, service),
     .maximum = BV_NAME_BYTES - 1},
    TEXT("data_centre", data_centre, BV_NAME_BYTES - 1),
    TEXT("region", region, BV_NAME_BYTES - 1),
    TEXT("address", address, BV_ADDRESS_BYTES - 1),
    NUMBER("peer_port", peer_port, UINT16_MAX),
    NUMBER("gossip_port", gossip_port, UINT16_MAX),
    NUMBER("incarnation", incarnation, INT64_MAX),
    NUMBER("version", version, UINT32_MAX),
    NUMBER("slots", slots, UINT32_MAX),
    TEXT("state", state, BV_NAME_BYTES - 1),
    NUMBER("generation", generation, INT64_MAX),
    {NULL}};

static void
clear_row(row_t *row)
{
    g_free(row->name);
    g_free(row->service);
    g_free(row->data_centre);
    g_free(row->region);
    g_free(row->address);
    g_free(row->state);
}

bool
bv_member_row_parse(const json_t *json, bv_member_t *member)
{
    row_t row = {0};
    bv_findings_t *findings = bv_findings_create();
    bv_fields_read(json, row_fields, &row, "row", "", findings);
    bool is_valid = bv_findings_is_empty(findings) && row.name[0] != '\0';
    bv_findings_destroy(findings);
    memset(member, 0, sizeof(*member));
    if (is_valid) {
        is_valid = bv_member_state_parse(row.state, &member->state);
        g_strlcpy(member->name, row.name, BV_NAME_BYTES);
        g_strlcpy(member->service, row.service != NULL ? row.service : "",
                  BV_NAME_BYTES);
        g_strlcpy(member->data_centre, row.data_centre, BV_NAME_BYTES);
        g_strlcpy(member->region, row.region, BV_NAME_BYTES);
        g_strlcpy(member->address, row.address, BV_ADDRESS_BYTES);
    }
    member->peer_port = (uint16_t)row.peer_port;
    member->gossip_port = (uint16_t)row.gossip_port;
    member->incarnation = (uint64_t)row.incarnation;
    member->version = (uint32_t)row.version;
    member->slots = (uint32_t)row.slots;
    member->generation = (uint64_t)row.generation;
    clear_row(&row);
    return is_valid;
}
