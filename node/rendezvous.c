#include "berylvane/common/clock.h"
#include "berylvane/node/node.h"

#include <string.h>
#include <xxhash.h>

/*
 * Rows lie in pages by the digest of their name, so that one page is a sample
 * of all members: a node that starts reads pages until it knows enough.
 */
#define PAGES 16
#define PAGE_PREFIX_BYTES 16
#define ENOUGH_MEMBERS 16
#define FEW_MEMBERS 4
#define FIRST_WALK_US (BV_US_PER_S / 20)
#define RETRY_US (BV_US_PER_S / 2)
#define JITTER_LOW 0.8
#define JITTER_HIGH 1.2

static void
page_prefix(uint32_t page, char prefix[PAGE_PREFIX_BYTES])
{
    g_snprintf(prefix, PAGE_PREFIX_BYTES, "member/%02x/", page);
}

static uint32_t
page_of(const char *name)
{
    return (uint32_t)(XXH3_64bits(name, strlen(name)) % PAGES);
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
take_rows(bv_node_t *node, void *data)
{
    json_t *answer = data;
    size_t index;
    json_t *row;
    node->rendezvous.pages_read++;
    json_array_foreach(json_object_get(answer, "rows"), index, row) {
        bv_member_t member;
        if (parse_row(json_object_get(row, "value"), &member)) {
            bv_membership_learn(node->membership, node->now_us, &member);
        }
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
    (void)answer;
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
    char prefix[PAGE_PREFIX_BYTES];
    page_prefix(page_of(self->name), prefix);
    char *key = g_strconcat(prefix, self->name, NULL);
    json_t *operations = json_array();
    json_array_append_new(operations, bv_store_op_put(key, render_row(self)));
    g_free(key);
    bv_store_write(node->store, operations, false, on_row_written, NULL);
}

static void
read_page(bv_node_t *node)
{
    bv_rendezvous_t *rendezvous = &node->rendezvous;
    char prefix[PAGE_PREFIX_BYTES];
    page_prefix(rendezvous->next_page++ % PAGES, prefix);
    bv_store_scan(node->store, prefix, 0, on_scan, node);
}

/*
 * Quickly at first, until enough members are known or all pages were read;
 * slowly when few are known; else seldom, so that two groups of nodes that
 * started apart find each other.
 */
static int64_t
next_scan_us(const bv_node_t *node)
{
    uint32_t present = bv_membership_present(node->membership);
    if (node->rendezvous.pages_read < PAGES && present < ENOUGH_MEMBERS) {
        bool answered = node->rendezvous.pages_read > 0;
        return answered ? FIRST_WALK_US : RETRY_US;
    }
    if (present < FEW_MEMBERS) {
        return MIN(period_us(node), RETRY_US);
    }
    return period_us(node) * PAGES;
}

void
bv_rendezvous_create(bv_node_t *node)
{
    node->rendezvous.next_page = g_rand_int(node->random);
}

void
bv_rendezvous_renew(bv_node_t *node)
{
    node->rendezvous.renew_due_us = node->now_us;
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
        read_page(node);
    }
}
