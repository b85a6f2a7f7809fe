#include "berylvane/node/departures.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/log.h"
#include "berylvane/node/departure_row.h"

#include <string.h>

/* Targets wait a second for the answer to an announcement. */
#define ACKNOWLEDGEMENT_LIMIT_US (600 * BV_US_PER_MS)
/* Longest time after the start in which an earlier target is not used. */
#define RECALL_LIMIT_US BV_US_PER_S
#define STORE_RETRY_FIRST_US (250 * BV_US_PER_MS)
#define STORE_RETRY_LIMIT_US (8 * BV_US_PER_S)

struct bv_departure_keeper {
    char *row_key;
    /* The row as far as it is known; its revision is 0 if there is none. */
    bv_departures_t stored;
    int64_t revision;
    /* The row was read or written since the start. */
    bool is_row_known;
    /* A call to the store is open, which writes `written`, or only reads. */
    bool is_store_busy;
    bv_departures_t written;
    int64_t store_due_us;
    int64_t store_retry_us;
    /* Departures that at least one member has. */
    bv_departures_t reported;
    bool has_peer_answered;
    bool is_recall_ended;
    /* The departures that were last passed on, and when. */
    bv_departures_t current;
    int64_t changed_us;
    /* Announcements that wait for their acknowledgement, of bv_call_t. */
    GQueue waiting;
};

/* The answer of the store, on its way to the decision thread. */
typedef struct {
    bv_store_result_t result;
    json_t *json;
} store_reply_t;

void
bv_departures_create(bv_node_t *node)
{
    bv_departure_keeper_t *keeper = g_new0(bv_departure_keeper_t, 1);
    keeper->row_key = bv_departure_row_key(node->settings->name);
    keeper->store_retry_us = STORE_RETRY_FIRST_US;
    g_queue_init(&keeper->waiting);
    node->departures = keeper;
}

void
bv_departures_destroy(bv_node_t *node)
{
    if (node->departures == NULL) {
        return;
    }
    g_free(node->departures->row_key);
    g_clear_pointer(&node->departures, g_free);
}

static bool
is_stored(const bv_departure_keeper_t *keeper)
{
    return keeper->is_row_known &&
           bv_departures_include(&keeper->stored, &keeper->current);
}

static bool
is_reported(const bv_departure_keeper_t *keeper)
{
    return bv_departures_include(&keeper->reported, &keeper->current);
}

/* Whether a departure is kept wherever it can be, or long enough tried. */
static bool
is_wait_over(const bv_node_t *node)
{
    const bv_departure_keeper_t *keeper = node->departures;
    bool has_peers = bv_membership_count_present(node->membership) > 0;
    return (is_stored(keeper) && (is_reported(keeper) || !has_peers)) ||
           node->now_us - keeper->changed_us >= ACKNOWLEDGEMENT_LIMIT_US;
}

static void
log_kept(const bv_node_t *node)
{
    const bv_departure_keeper_t *keeper = node->departures;
    bool is_kept = is_stored(keeper) || is_reported(keeper);
    bv_log(is_kept ? BV_LOG_INFO : BV_LOG_WARN, "departure_acknowledged",
           "acknowledged", BV_NUM(is_kept), "running",
           BV_NUM(bv_admission_running(node->admission)), "in_store",
           BV_NUM(is_stored(keeper)), "at_members",
           BV_NUM(is_reported(keeper)), "waited_ms",
           BV_NUM((node->now_us - keeper->changed_us) / BV_US_PER_MS), NULL);
}

/*
 * Answers an announcement. A departure that is kept nowhere would not bind the
 * next process of this node, so it is not acknowledged.
 */
static void
reply(bv_node_t *node, bv_call_t *call)
{
    const bv_departure_keeper_t *keeper = node->departures;
    static const char refusal[] = "the departure is not kept yet: neither the "
                                  "store nor a member has answered";
    bv_reply_t reply = {.status = 200, .outcome = BV_OUTCOME_RAN};
    if (!is_stored(keeper) && !is_reported(keeper)) {
        reply.status = 503;
        reply.outcome = BV_OUTCOME_UNKNOWN;
        reply.body = g_bytes_new_static(refusal, sizeof(refusal) - 1);
    }
    bv_call_reply(call, &reply);
    g_clear_pointer(&reply.body, g_bytes_unref);
}

static void
answer_waiting(bv_node_t *node)
{
    GQueue *waiting = &node->departures->waiting;
    if (g_queue_is_empty(waiting)) {
        return;
    }
    log_kept(node);
    while (!g_queue_is_empty(waiting)) {
        reply(node, g_queue_pop_head(waiting));
    }
}

static void
answer_if_kept(bv_node_t *node)
{
    if (is_wait_over(node)) {
        answer_waiting(node);
    }
}

bool
bv_departures_hold(bv_node_t *node, bv_call_t *call)
{
    const bv_departure_keeper_t *keeper = node->departures;
    bool is_kept = is_stored(keeper) || is_reported(keeper);
    if (is_kept && is_wait_over(node)) {
        return false;
    }
    g_queue_push_tail(&node->departures->waiting, call);
    answer_if_kept(node);
    return true;
}

void
bv_departures_close(bv_node_t *node)
{
    answer_waiting(node);
}

/* Passes on the departures of the target if they have changed. */
void
bv_departures_update(bv_node_t *node)
{
    bv_departure_keeper_t *keeper = node->departures;
    const bv_departures_t *latest = &node->target.latest_departures;
    if (bv_departures_include(&keeper->current, latest)) {
        return;
    }
    keeper->current = *latest;
    keeper->changed_us = node->now_us;
    keeper->store_due_us = node->now_us;
    bv_membership_set_self_departures(node->membership, latest);
    bv_departures_tick(node);
}

/* Takes over departures that an earlier process of this node recorded. */
static void
recall(bv_node_t *node, const bv_departures_t *departures, const char *source)
{
    for (uint32_t i = 0; i < bv_departures_count(departures); i++) {
        const bv_departure_t *departure = &departures->items[i];
        if (bv_local_target_knows_departure(&node->target, departure)) {
            continue;
        }
        bv_log(BV_LOG_INFO, "departure_recalled", "source", source, "start_ms",
               BV_NUM((gint64)departure->start_ms), NULL);
        bv_target_recall(node, departure);
    }
    bv_departures_update(node);
}

void
bv_departures_handle_report(bv_node_t *node, const bv_member_t *record)
{
    bv_departure_keeper_t *keeper = node->departures;
    if (record->incarnation == node->incarnation) {
        bv_departures_merge(&keeper->reported, &record->departures);
    }
    recall(node, &record->departures, "member");
    answer_if_kept(node);
}

static void
end_recall_if_over(bv_node_t *node)
{
    bv_departure_keeper_t *keeper = node->departures;
    bool is_complete = keeper->is_row_known && keeper->has_peer_answered;
    bool is_late = node->now_us - node->started_us >= RECALL_LIMIT_US;
    if (keeper->is_recall_ended || (!is_complete && !is_late)) {
        return;
    }
    keeper->is_recall_ended = true;
    bv_log(is_complete ? BV_LOG_INFO : BV_LOG_WARN, "recall_ended",
           "store_answered", BV_NUM(keeper->is_row_known), "member_answered",
           BV_NUM(keeper->has_peer_answered), NULL);
    bv_target_end_recall(node);
}

void
bv_departures_handle_packet(bv_node_t *node, bv_gossip_kind_t kind)
{
    if (kind == BV_GOSSIP_ACK) {
        node->departures->has_peer_answered = true;
        end_recall_if_over(node);
    }
}

/* Handles a row of the store; `value` is NULL if there is none. */
static void
handle_row(bv_node_t *node, const json_t *value, int64_t revision)
{
    bv_departure_keeper_t *keeper = node->departures;
    keeper->revision = revision;
    keeper->is_row_known = true;
    memset(&keeper->stored, 0, sizeof(keeper->stored));
    if (value != NULL && !bv_departure_row_parse(value, &keeper->stored)) {
        bv_log(BV_LOG_WARN, "departure_row_bad", "key", keeper->row_key, NULL);
    }
    recall(node, &keeper->stored, "store");
}

static int64_t
revision_of(const json_t *row)
{
    return json_integer_value(json_object_get(row, "revision"));
}

static void
handle_read(bv_node_t *node, const store_reply_t *answer)
{
    const json_t *rows = json_object_get(answer->json, "rows");
    const json_t *row = json_array_get(rows, 0);
    handle_row(node, json_object_get(row, "value"), revision_of(row));
}

static void
handle_write(bv_node_t *node, const store_reply_t *answer)
{
    bv_departure_keeper_t *keeper = node->departures;
    const json_t *results = json_object_get(answer->json, "results");
    const json_t *row = json_array_get(results, 0);
    if (answer->result == BV_STORE_OK) {
        keeper->stored = keeper->written;
        keeper->revision = revision_of(row);
        keeper->is_row_known = true;
        return;
    }
    handle_row(node, json_object_get(row, "value"), revision_of(row));
}

static void
handle_store_reply(bv_node_t *node, void *data)
{
    bv_departure_keeper_t *keeper = node->departures;
    store_reply_t *answer = data;
    bool is_write = bv_departures_count(&keeper->written) > 0;
    keeper->is_store_busy = false;
    if (answer->result == BV_STORE_OK || answer->result == BV_STORE_CONFLICT) {
        keeper->store_retry_us = STORE_RETRY_FIRST_US;
        keeper->store_due_us = answer->result == BV_STORE_OK
                                   ? node->now_us
                                   : node->now_us + STORE_RETRY_FIRST_US;
        if (is_write) {
            handle_write(node, answer);
        }
        else {
            handle_read(node, answer);
        }
    }
    else {
        keeper->store_due_us = node->now_us + keeper->store_retry_us;
        keeper->store_retry_us =
            MIN(2 * keeper->store_retry_us, STORE_RETRY_LIMIT_US);
        bv_log(BV_LOG_WARN, "departures_not_exchanged", "result",
               BV_NUM(answer->result), NULL);
    }
    json_decref(answer->json);
    g_free(answer);
    bv_departures_tick(node);
}

static void
on_store_reply(void *context, bv_store_answer_t *answer)
{
    store_reply_t *moved = g_new0(store_reply_t, 1);
    moved->result = answer->result;
    moved->json = bv_store_take_json(answer);
    bv_node_post_blocking(context, handle_store_reply, moved);
}

static bool
send_write(bv_node_t *node)
{
    bv_departure_keeper_t *keeper = node->departures;
    json_t *value = bv_departure_row_render(&keeper->current);
    json_t *operations = json_array();
    json_array_append_new(
        operations,
        keeper->revision == 0
            ? bv_store_op_insert(keeper->row_key, value)
            : bv_store_op_update(keeper->row_key, value, keeper->revision));
    keeper->written = keeper->current;
    return bv_store_write(node->store, operations, true, on_store_reply, node);
}

static bool
send_read(bv_node_t *node)
{
    bv_departure_keeper_t *keeper = node->departures;
    memset(&keeper->written, 0, sizeof(keeper->written));
    return bv_store_read(node->store, keeper->row_key, NULL, on_store_reply,
                         node);
}

/* Reads the row once, and writes it whenever it lacks a departure. */
static void
exchange_with_store(bv_node_t *node)
{
    bv_departure_keeper_t *keeper = node->departures;
    if (keeper->is_store_busy || node->now_us < keeper->store_due_us ||
        (keeper->is_row_known && is_stored(keeper))) {
        return;
    }
    bool has_departures = bv_departures_count(&keeper->current) > 0;
    keeper->is_store_busy =
        has_departures ? send_write(node) : send_read(node);
    if (!keeper->is_store_busy) {
        keeper->store_due_us = node->now_us + STORE_RETRY_FIRST_US;
    }
}

void
bv_departures_handle_restore(bv_node_t *node)
{
    bv_departure_keeper_t *keeper = node->departures;
    keeper->is_row_known = false;
    keeper->store_due_us = node->now_us;
}

void
bv_departures_tick(bv_node_t *node)
{
    exchange_with_store(node);
    end_recall_if_over(node);
    answer_if_kept(node);
}
