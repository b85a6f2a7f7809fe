#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/node.h"

#include <string.h>
#include <xxhash.h>

/*
 * Rows are ordered by the digest of their name, so that a range of keys is a
 * sample of all members: a node that starts reads ranges until it knows
 * enough.
 */
#define TABLE_PREFIX "member/"
#define RANGE_ROWS 64
#define FEW_MEMBERS 4
#define FIRST_RETRY_US (BV_US_PER_S / 4)
#define RETRY_US BV_US_PER_S
#define SEED_RETRY_US (BV_US_PER_S / 2)
#define JITTER_LOW 0.8
#define JITTER_HIGH 1.2

static char *
key_of(const char *name)
{
    return g_strdup_printf(TABLE_PREFIX "%016" G_GINT64_MODIFIER "x/%s",
                           (guint64)XXH3_64bits(name, strlen(name)), name);
}

static json_t *
render_row(const bv_member_t *member)
{
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I, s:s, s:I}", "name",
        member->name, "service", member->service, "data_centre",
        member->data_centre, "region", member->region, "address",
        member->address, "peer_port", member->peer_port, "gossip_port",
        member->gossip_port, "incarnation", (json_int_t)member->incarnation,
        "version", (json_int_t)member->version, "slots",
        (json_int_t)member->slots, "state",
        bv_member_state_name(member->state), "generation",
        (json_int_t)member->generation);
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
        .offset = offsetof(row_t, member), .required = true, .most = (limit)  \
    }
#define NUMBER(key, member, limit)                                            \
    {                                                                         \
        .name = key, .kind = BV_FIELD_INTEGER,                                \
        .offset = offsetof(row_t, member), .required = true, .most = (limit)  \
    }

static const bv_field_t row_fields[] = {
    TEXT("name", name, BV_NAME_BYTES - 1),
    TEXT("service", service, BV_NAME_BYTES - 1),
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
free_row(row_t *row)
{
    g_free(row->name);
    g_free(row->service);
    g_free(row->data_centre);
    g_free(row->region);
    g_free(row->address);
    g_free(row->state);
}

static bool
parse_row(const json_t *json, bv_member_t *member)
{
    row_t row = {0};
    bv_findings_t *findings = bv_findings_create();
    bv_fields_read(json, row_fields, &row, "row", "", findings);
    bool good = bv_findings_empty(findings) && row.name[0] != '\0';
    bv_findings_destroy(findings);
    memset(member, 0, sizeof(*member));
    if (good) {
        good = bv_member_state_parse(row.state, &member->state);
        g_strlcpy(member->name, row.name, BV_NAME_BYTES);
        g_strlcpy(member->service, row.service, BV_NAME_BYTES);
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
    free_row(&row);
    return good;
}

static void
learn(bv_node_t *node, const json_t *rows)
{
    size_t index;
    json_t *row;
    json_array_foreach((json_t *)rows, index, row) {
        bv_member_t member;
        if (parse_row(json_object_get(row, "value"), &member)) {
            bv_membership_learn(node->membership, node->now_us, &member);
        }
    }
}

/* A range that is not full reaches the end: the next one is the first. */
static void
take_rows(bv_node_t *node, void *data)
{
    json_t *answer = data;
    const json_t *rows = json_object_get(answer, "rows");
    bv_rendezvous_t *rendezvous = &node->rendezvous;
    rendezvous->walked |= rendezvous->from == 0;
    rendezvous->from = 0;
    rendezvous->answered = true;
    learn(node, rows);
    if (!rendezvous->walked && json_array_size(rows) < RANGE_ROWS) {
        rendezvous->scan_due_us = node->now_us;
    }
    json_decref(answer);
}

static void
on_scan(void *context, bv_store_answer_t *answer)
{
    if (answer->result == BV_STORE_OK && answer->json != NULL) {
        bv_node_deliver(context, take_rows, bv_store_take_json(answer));
    }
}

static void
on_row_written(void *context, bv_store_answer_t *answer)
{
    (void)context;
    if (answer->result != BV_STORE_OK) {
        bv_log(BV_LOG_WARN, "row_not_written", "result",
               BV_NUM(answer->result), NULL);
    }
}

static int64_t
jittered_us(const bv_node_t *node, int64_t period_us)
{
    double factor = g_rand_double_range(node->random, JITTER_LOW, JITTER_HIGH);
    return (int64_t)((double)period_us * factor);
}

static int64_t
period_us(const bv_node_t *node)
{
    return node->settings->rendezvous_ms * BV_US_PER_MS;
}

static void
write_row(bv_node_t *node)
{
    const bv_member_t *self = bv_membership_self(node->membership);
    char *key = key_of(self->name);
    json_t *operations = json_array();
    json_array_append_new(operations, bv_store_op_put(key, render_row(self)));
    g_free(key);
    bv_store_write(node->store, operations, true, on_row_written, NULL);
}

static void
read_range(bv_node_t *node)
{
    char from[24];
    g_snprintf(from, sizeof(from), "%08x", node->rendezvous.from);
    bv_store_scan(node->store, TABLE_PREFIX,
                  node->rendezvous.from == 0 ? NULL : from, RANGE_ROWS,
                  on_scan, node);
}

/*
 * Quickly at first, until enough members are known or all rows were read;
 * slowly when few are known; else seldom, so that two groups of nodes that
 * started apart find each other.
 */
static int64_t
next_scan_us(const bv_node_t *node)
{
    uint32_t present = bv_membership_present(node->membership);
    if (!node->rendezvous.answered) {
        return FIRST_RETRY_US;
    }
    if (present < FEW_MEMBERS) {
        return MIN(period_us(node), RETRY_US);
    }
    return period_us(node);
}

/* Seeds are control endpoints; gossip has the same port on all instances. */
static void
contact_seeds(bv_node_t *node)
{
    size_t index;
    json_t *seed;
    json_array_foreach(node->settings->seeds, index, seed) {
        const char *text = json_string_value(seed);
        const char *colon = text != NULL ? strchr(text, ':') : NULL;
        if (colon == NULL) {
            continue;
        }
        char *address = g_strndup(text, (gsize)(colon - text));
        bv_membership_contact(node->membership, address,
                              (uint16_t)node->settings->gossip_port);
        g_free(address);
    }
}

void
bv_rendezvous_create(bv_node_t *node)
{
    node->rendezvous.from = g_rand_int(node->random) | 1;
}

void
bv_rendezvous_withdraw(bv_node_t *node)
{
    char *key = key_of(node->settings->name);
    json_t *operations = json_array();
    json_array_append_new(operations, bv_store_op_drop(key));
    g_free(key);
    node->rendezvous.renew_due_us = INT64_MAX;
    bv_store_write(node->store, operations, true, on_row_written, NULL);
}

void
bv_rendezvous_tick(bv_node_t *node)
{
    bv_rendezvous_t *rendezvous = &node->rendezvous;
    if (node->now_us >= rendezvous->renew_due_us) {
        rendezvous->renew_due_us =
            node->now_us + jittered_us(node, period_us(node));
        write_row(node);
    }
    if (node->now_us >= rendezvous->scan_due_us) {
        rendezvous->scan_due_us =
            node->now_us + jittered_us(node, next_scan_us(node));
        read_range(node);
    }
    if (node->now_us >= rendezvous->seed_due_us &&
        bv_membership_present(node->membership) < FEW_MEMBERS) {
        rendezvous->seed_due_us =
            node->now_us + jittered_us(node, SEED_RETRY_US);
        contact_seeds(node);
    }
}
