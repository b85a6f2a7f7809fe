#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/member_row.h"
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

static void
learn(bv_node_t *node, const json_t *rows)
{
    size_t index;
    json_t *row;
    json_array_foreach((json_t *)rows, index, row) {
        bv_member_t member;
        if (bv_member_row_parse(json_object_get(row, "value"), &member)) {
            bv_membership_merge_record(node->membership, node->now_us,
                                       &member);
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
    rendezvous->has_read_first_range |= rendezvous->range_start == 0;
    rendezvous->range_start = 0;
    rendezvous->has_read_range = true;
    learn(node, rows);
    bv_log(BV_LOG_INFO, "rows_read", "rows",
           BV_NUM((gint64)json_array_size(rows)), "members",
           BV_NUM(bv_membership_count_present(node->membership)), NULL);
    if (!rendezvous->has_read_first_range &&
        json_array_size(rows) < RANGE_ROWS) {
        rendezvous->scan_due_us = node->now_us;
    }
    json_decref(answer);
}

static void
on_scan(void *context, bv_store_answer_t *answer)
{
    if (answer->result != BV_STORE_OK || answer->json == NULL) {
        bv_log(BV_LOG_WARN, "rows_not_read", "result", BV_NUM(answer->result),
               NULL);
        return;
    }
    bv_node_post_blocking(context, take_rows, bv_store_take_json(answer));
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
    json_array_append_new(operations,
                          bv_store_op_put(key, bv_member_row_render(self)));
    g_free(key);
    bv_store_write(node->store, operations, true, on_row_written, NULL);
}

static void
read_range(bv_node_t *node)
{
    char from[24];
    g_snprintf(from, sizeof(from), "%08x", node->rendezvous.range_start);
    bv_store_scan(node->store, TABLE_PREFIX,
                  node->rendezvous.range_start == 0 ? NULL : from, RANGE_ROWS,
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
    uint32_t present = bv_membership_count_present(node->membership);
    if (!node->rendezvous.has_read_range) {
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
        bv_membership_ping_address(node->membership, address,
                                   (uint16_t)node->settings->gossip_port);
        g_free(address);
    }
}

void
bv_rendezvous_create(bv_node_t *node)
{
    node->rendezvous.range_start = g_rand_int(node->random) | 1;
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
        bv_membership_count_present(node->membership) < FEW_MEMBERS) {
        rendezvous->seed_due_us =
            node->now_us + jittered_us(node, SEED_RETRY_US);
        contact_seeds(node);
    }
}
