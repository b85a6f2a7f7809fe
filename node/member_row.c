#include "berylvane/node/member_row.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/findings.h"

#include <arpa/inet.h>
#include <string.h>
#include <xxhash.h>

/*
 * Incarnations are wall-clock times. One that is further ahead of this node's
 * clock would hide the records of the real member for good.
 */
#define INCARNATION_AHEAD_LIMIT_US (24 * 3600 * BV_US_PER_S)
/* Leaves room for the member to raise its version above that of a row. */
#define VERSION_LIMIT (1 << 30)
#define SLOTS_LIMIT 1000000

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
#define NUMBER(key, member, least, limit)                                     \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(row_t, member), .required = true,                  \
        .minimum = (least), .maximum = (limit)                                \
    }

static const bv_field_t row_fields[] = {
    TEXT("name", name, BV_NAME_BYTES - 1),
    {.name = "service",
     .kind = BV_FIELD_STRING,
     .offset = offsetof(row_t, service),
     .maximum = BV_CONFIG_NAME_LIMIT_BYTES},
    TEXT("data_centre", data_centre, BV_NAME_BYTES - 1),
    TEXT("region", region, BV_NAME_BYTES - 1),
    TEXT("address", address, BV_ADDRESS_BYTES - 1),
    NUMBER("peer_port", peer_port, 1, UINT16_MAX),
    NUMBER("gossip_port", gossip_port, 1, UINT16_MAX),
    NUMBER("incarnation", incarnation, 1, INT64_MAX),
    NUMBER("version", version, 0, VERSION_LIMIT),
    NUMBER("slots", slots, 0, SLOTS_LIMIT),
    TEXT("state", state, BV_NAME_BYTES - 1),
    NUMBER("generation", generation, 0, INT64_MAX),
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

/* Whether `address` can be used without a query to a name server. */
static bool
is_ip_address(const char *address)
{
    struct in_addr parsed;
    return inet_pton(AF_INET, address, &parsed) == 1;
}

static bool
is_too_far_ahead(int64_t incarnation)
{
    return incarnation - bv_clock_wall_us() > INCARNATION_AHEAD_LIMIT_US;
}

/* A member writes no row in which it is suspect or gone. */
static bool
is_state_of_row(bv_member_state_t state)
{
    return state == BV_MEMBER_ALIVE || state == BV_MEMBER_DRAINING;
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
        is_valid = bv_member_state_parse(row.state, &member->state) &&
                   is_state_of_row(member->state) &&
                   is_ip_address(row.address) &&
                   !is_too_far_ahead(row.incarnation);
        g_strlcpy(member->name, row.name, BV_NAME_BYTES);
        g_strlcpy(member->service, row.service != NULL ? row.service : "",
                  BV_SERVICE_BYTES);
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

char *
bv_member_row_key(const char *name)
{
    return g_strdup_printf(BV_MEMBER_ROW_PREFIX "%016" G_GINT64_MODIFIER
                                                "x/%s",
                           (guint64)XXH3_64bits(name, strlen(name)), name);
}

bool
bv_member_row_read(const json_t *row, bv_member_t *member)
{
    if (!bv_member_row_parse(json_object_get(row, "value"), member)) {
        return false;
    }
    char *key = bv_member_row_key(member->name);
    bool has_own_key =
        g_strcmp0(key, json_string_value(json_object_get(row, "key"))) == 0;
    g_free(key);
    return has_own_key;
}
