#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/member_row.h"
#include "berylvane/node/node.h"

#include <string.h>

/*
 * A range of keys is a random sample of the members. A node that starts
 * therefore reads ranges of limited size until it has found enough members.
 */
#define RANGE_ROWS_LIMIT 64
#define ENOUGH_MEMBERS 4
#define FIRST_SCAN_RETRY_US (BV_US_PER_S / 4)
#define FEW_MEMBERS_SCAN_US BV_US_PER_S
#define SEED_PERIOD_US (BV_US_PER_S / 2)
/*
 * Rows that all nodes renew at once are spread over this time for each node,
 * that is, to 200 writes a second.
 */
#define RENEWAL_SPACING_PER_NODE_US (5 * BV_US_PER_MS)
#define JITTER_LOW 0.8
#define JITTER_HIGH 1.2

static void
report_bad_row(bv_node_t *node, const json_t *row)
{
    if (!bv_log_budget_try_consume(&node->log_budget, node->now_us,
                                   BV_LOG_CLASS_INVALID_INPUT)) {
        return;
    }
    const char *key = json_string_value(json_object_get(row, "key"));
    bv_log(BV_LOG_WARN, "member_row_bad", "key", key != NULL ? key : "", NULL);
}

static void
merge_rows(bv_node_t *node, const json_t *rows)
{
    size_t index;
    json_t *row;
    json_array_foreach((json_t *)rows, index, row) {
        bv_member_t member;
        if (!bv_member_row_read(row, &member)) {
            report_bad_row(node, row);
            continue;
        }
        bv_membership_merge_record(node->membership, node->now_us, &member);
    }
}

/*
 * Merges the rows of a range into the membership. A range with fewer rows than
 * the limit reaches the end of the table; the first range is then read without
 * delay, unless it was read before.
 */
static void
handle_rows(bv_node_t *node, void *data)
{
    json_t *answer = data;
    const json_t *rows = json_object_get(answer, "rows");
    bv_rendezvous_t *rendezvous = &node->rendezvous;
    rendezvous->has_read_first_range |= rendezvous->range_start == 0;
    rendezvous->range_start = 0;
    rendezvous->has_read_range = true;
    merge_rows(node, rows);
    bv_log(BV_LOG_INFO, "rows_read", "rows",
           BV_NUM((gint64)json_array_size(rows)), "members",
           BV_NUM(bv_membership_count_present(node->membership)), NULL);
    if (!rendezvous->has_read_first_range &&
        json_array_size(rows) < RANGE_ROWS_LIMIT) {
        rendezvous->scan_due_us = node->now_us;
    }
    json_decref(answer);
}

static void
on_rows_read(void *context, bv_store_answer_t *answer)
{
    if (answer->result != BV_STORE_OK || answer->json == NULL) {
        bv_log(BV_LOG_WARN, "rows_not_read", "result", BV_NUM(answer->result),
               NULL);
        return;
    }
    bv_node_post_blocking(context, handle_rows, bv_store_take_json(answer));
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
jittered_us(const bv_node_t *node, int64_t delay_us)
{
    double factor = g_rand_double_range(node->random, JITTER_LOW, JITTER_HIGH);
    return (int64_t)((double)delay_us * factor);
}

static int64_t
rendezvous_period_us(const bv_node_t *node)
{
    return node->settings->rendezvous_ms * BV_US_PER_MS;
}

static void
write_row(bv_node_t *node)
{
    const bv_member_t *self = bv_membership_self(node->membership);
    char *key = bv_member_row_key(self->name);
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
    bv_store_scan(node->store, BV_MEMBER_ROW_PREFIX,
                  node->rendezvous.range_start == 0 ? NULL : from,
                  RANGE_ROWS_LIMIT, on_rows_read, node);
}

/*
 * Returns the delay until the next scan: FIRST_SCAN_RETRY_US until a range was
 * read, at most FEW_MEMBERS_SCAN_US while fewer than ENOUGH_MEMBERS are
 * present, and the rendezvous period otherwise. Scans never end, so that
 * groups of nodes without contact find each other.
 */
static int64_t
next_scan_delay_us(const bv_node_t *node)
{
    uint32_t present = bv_membership_count_present(node->membership);
    if (!node->rendezvous.has_read_range) {
        return FIRST_SCAN_RETRY_US;
    }
    if (present < ENOUGH_MEMBERS) {
        return MIN(rendezvous_period_us(node), FEW_MEMBERS_SCAN_US);
    }
    return rendezvous_period_us(node);
}

/*
 * Pings the seeds. A seed is a control endpoint, of which only the address is
 * used, since the gossip port is the same on all instances.
 */
static void
ping_seeds(bv_node_t *node)
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
bv_rendezvous_renew(bv_node_t *node)
{
    bv_rendezvous_t *rendezvous = &node->rendezvous;
    if (rendezvous->is_withdrawn) {
        return;
    }
    uint32_t nodes = bv_membership_count_present(node->membership) + 1;
    int64_t spread_us = nodes * RENEWAL_SPACING_PER_NODE_US;
    rendezvous->renew_due_us =
        node->now_us +
        (int64_t)(g_rand_double(node->random) * (double)spread_us);
}

void
bv_rendezvous_withdraw(bv_node_t *node)
{
    char *key = bv_member_row_key(node->settings->name);
    json_t *operations = json_array();
    json_array_append_new(operations, bv_store_op_drop(key));
    g_free(key);
    node->rendezvous.is_withdrawn = true;
    node->rendezvous.renew_due_us = INT64_MAX;
    bv_store_write(node->store, operations, true, on_row_written, NULL);
}

void
bv_rendezvous_tick(bv_node_t *node)
{
    bv_rendezvous_t *rendezvous = &node->rendezvous;
    if (node->now_us >= rendezvous->renew_due_us) {
        rendezvous->renew_due_us =
            node->now_us + jittered_us(node, rendezvous_period_us(node));
        write_row(node);
    }
    if (node->now_us >= rendezvous->scan_due_us) {
        rendezvous->scan_due_us =
            node->now_us + jittered_us(node, next_scan_delay_us(node));
        read_range(node);
    }
    if (node->now_us >= rendezvous->seed_due_us &&
        bv_membership_count_present(node->membership) < ENOUGH_MEMBERS) {
        rendezvous->seed_due_us =
            node->now_us + jittered_us(node, SEED_PERIOD_US);
        ping_seeds(node);
    }
}
