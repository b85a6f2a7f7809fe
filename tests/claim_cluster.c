#include "claim_cluster.h"

#include "berylvane/common/invariant.h"
#include "support.h"

#include <string.h>

#define CALLS_PER_KEY 60
#define TICKET_WINDOW 64
#define SECOND_US 1000000
#define RETENTION_US (2 * SECOND_US)
#define DEADLINE_US SECOND_US

typedef enum {
    EVENT_CALL,
    EVENT_TABLE_WRITE,
    EVENT_WRITE_DONE,
    EVENT_OWNER_QUERY,
    EVENT_OWNER_REPLY,
    EVENT_SETTLE,
    EVENT_LEAVE,
    EVENT_TICK,
    EVENT_FAULT,
} event_kind_t;

typedef struct {
    event_kind_t kind;
    uint32_t node;
    uint64_t incarnation;
    char key[KEY_BYTES];
    /* Id of the call. In an event of a table write: 1 if the reply is lost,
     * else 0. */
    uint64_t call_id;
    bv_claim_write_t write;
    bv_claim_write_result_t write_result;
    bv_claim_row_t row;
    bv_owner_state_t state;
    bv_key_result_t result;
} event_t;

typedef struct {
    bv_claim_row_t row;
    int64_t revision;
} table_row_t;

static void run_event(void *context, void *data);

static bool
chance(const claim_cluster_t *cluster, int percent)
{
    return sim_chance(cluster->sim, percent);
}

static int64_t
random_between(const claim_cluster_t *cluster, int64_t low_us, int64_t high_us)
{
    return sim_random_between(cluster->sim, (int)low_us, (int)high_us);
}

static void
schedule(claim_cluster_t *cluster, const event_t *event, int64_t delay_us)
{
    sim_schedule(cluster->sim, delay_us, run_event,
                 g_memdup2(event, sizeof(*event)));
}

static event_t
event_at(const node_t *node, event_kind_t kind, const char *key)
{
    event_t event = {.kind = kind, .node = node->index};
    event.incarnation = node->incarnation;
    g_strlcpy(event.key, key, KEY_BYTES);
    return event;
}

static void
on_write(void *context, const bv_claim_write_t *write)
{
    node_t *node = context;
    claim_cluster_t *cluster = node->cluster;
    event_t event = event_at(node, EVENT_TABLE_WRITE, write->key);
    event.write = *write;
    int copies = chance(cluster, 5) ? 2 : 1;
    bool is_reply_lost =
        !cluster->is_reliable &&
        (chance(cluster, 10) ||
         sim_now_us(cluster->sim) < cluster->store_down_until_us);
    for (int i = 0; i < copies && !(is_reply_lost && chance(cluster, 50));
         i++) {
        event.call_id = is_reply_lost;
        schedule(cluster, &event,
                 random_between(cluster, 100, is_reply_lost ? 900000 : 20000));
    }
    if (is_reply_lost) {
        event.kind = EVENT_WRITE_DONE;
        event.write_result.status = BV_CLAIM_NO_REPLY;
        schedule(cluster, &event, random_between(cluster, 1000, 200000));
    }
}

static bool
on_query_owner(void *context, const char *key, const bv_claim_row_t *row)
{
    node_t *node = context;
    claim_cluster_t *cluster = node->cluster;
    const node_t *owner = &cluster->nodes[row->owner[0] - 'a'];
    bool is_suspected = owner->paused_until_us > sim_now_us(cluster->sim) &&
                        chance(cluster, 20);
    if (owner->incarnation != row->incarnation || is_suspected) {
        return false;
    }
    event_t event = event_at(node, EVENT_OWNER_QUERY, key);
    event.row = *row;
    if (cluster->is_reliable || !chance(cluster, 10)) {
        schedule(cluster, &event, random_between(cluster, 100, 30000));
    }
    return true;
}

static void
execute(claim_cluster_t *cluster, const char *key, call_t *call)
{
    bv_invariant(!g_hash_table_contains(cluster->executions, key),
                 "key_runs_once", key);
    call->is_executed = true;
    cluster->executions_count++;
    g_hash_table_insert(cluster->executions, g_strdup(key),
                        g_memdup2(&call->request_digest, sizeof(uint64_t)));
}

static uint64_t
digest_of(const char *key)
{
    return g_str_hash(key);
}

static void
on_start(void *context, const char *key, uint64_t id)
{
    node_t *node = context;
    claim_cluster_t *cluster = node->cluster;
    call_t *call = g_hash_table_lookup(cluster->calls, &id);
    event_t event = event_at(node, EVENT_SETTLE, key);
    static const bv_outcome_t outcomes[] = {
        BV_OUTCOME_RAN, BV_OUTCOME_RAN, BV_OUTCOME_UNKNOWN, BV_OUTCOME_NOT_RUN,
        BV_OUTCOME_NOT_RUN};
    event.result.outcome =
        outcomes[sim_random_between(cluster->sim, 0, G_N_ELEMENTS(outcomes))];
    event.result.status = 200;
    event.result.body_digest = digest_of(key);
    call->is_started = true;
    if (cluster->is_reliable) {
        return;
    }
    if (event.result.outcome != BV_OUTCOME_NOT_RUN) {
        execute(cluster, key, call);
    }
    event.call_id = id;
    schedule(cluster, &event, random_between(cluster, 100, 300000));
}

static void
check_result(claim_cluster_t *cluster, const call_t *call,
             const bv_key_result_t *result)
{
    ck_assert(result->outcome != BV_OUTCOME_NOT_RUN || !call->is_executed);
    if (result->outcome != BV_OUTCOME_RAN) {
        return;
    }
    const uint64_t *request_digest =
        g_hash_table_lookup(cluster->executions, call->key);
    ck_assert_ptr_nonnull(request_digest);
    if (result->reason != BV_REASON_ANSWER_GONE) {
        ck_assert_uint_eq(*request_digest, call->request_digest);
        ck_assert_uint_eq(result->body_digest, digest_of(call->key));
    }
}

static void
on_answer(void *context, uint64_t id, const bv_key_result_t *result)
{
    node_t *node = context;
    call_t *call = g_hash_table_lookup(node->cluster->calls, &id);
    ck_assert_ptr_nonnull(call);
    if (node->cluster->is_reliable) {
        ck_assert(!call->is_answered);
        call->is_answered = true;
        call->result = *result;
        return;
    }
    check_result(node->cluster, call, result);
    g_hash_table_remove(node->cluster->calls, &id);
}

static const bv_claims_ops_t ops = {on_write, on_query_owner, on_start,
                                    on_answer};

static void
start_node(claim_cluster_t *cluster, uint32_t index)
{
    node_t *node = &cluster->nodes[index];
    bv_claims_destroy(node->claims);
    bv_tickets_destroy(node->tickets);
    node->cluster = cluster;
    node->index = index;
    node->incarnation = ++cluster->next_id;
    node->paused_until_us = 0;
    node->tickets = bv_tickets_create(TICKET_WINDOW);
    bv_claims_options_t options = {
        .owner = {(char)('a' + index)},
        .incarnation = node->incarnation,
        .retention_us = cluster->is_reliable ? INT64_MAX / 2 : RETENTION_US,
        .keys_limit = cluster->is_reliable ? UINT32_MAX : 2 * KEYS_AT_ONCE,
        .results_limit_bytes = 1024,
        .resend_delay_us = 10000,
        .resend_delay_limit_us = SECOND_US,
        .owner_poll_us = 20000,
        .tickets = node->tickets,
        .random = sim_random(cluster->sim),
        .ops = &ops,
        .context = node,
    };
    node->claims = bv_claims_create(&options);
}

static gboolean
is_at_node(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    return ((call_t *)value)->node == *(uint32_t *)context;
}

static void
restart_node(claim_cluster_t *cluster, uint32_t index)
{
    g_hash_table_foreach_remove(cluster->calls, is_at_node, &index);
    start_node(cluster, index);
}

call_t *
claim_cluster_begin_call(claim_cluster_t *cluster, uint32_t index,
                         const char *key, uint64_t request_digest,
                         uint64_t serial)
{
    const node_t *node = &cluster->nodes[index];
    call_t *call = g_new0(call_t, 1);
    call->id = ++cluster->next_id;
    call->node = index;
    g_strlcpy(call->key, key, KEY_BYTES);
    call->request_digest = request_digest;
    bv_claim_call_t claim_call = {key, call->request_digest, call->id, serial};
    event_t leave = event_at(node, EVENT_LEAVE, key);
    leave.call_id = call->id;
    g_hash_table_insert(cluster->calls, &call->id, call);
    if (!cluster->is_reliable) {
        schedule(cluster, &leave, DEADLINE_US);
    }
    bv_claims_begin(node->claims, sim_now_us(cluster->sim), &claim_call);
    return call;
}

static void
run_call(claim_cluster_t *cluster, node_t *node)
{
    char key[KEY_BYTES];
    uint64_t serial = 0;
    uint64_t number =
        ++cluster->calls_begun / CALLS_PER_KEY +
        (uint64_t)sim_random_between(cluster->sim, 0, KEYS_AT_ONCE);
    g_snprintf(key, sizeof(key), "key-%" G_GUINT64_FORMAT, (guint64)number);
    if (chance(cluster, 30)) {
        uint64_t newest = bv_tickets_issue(node->tickets);
        uint64_t age = (uint64_t)sim_random_between(cluster->sim, 0, 100);
        serial = newest > age ? newest - age : newest;
        g_snprintf(key, sizeof(key),
                   "bv1.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                   (guint64)node->incarnation, (guint64)serial);
    }
    claim_cluster_begin_call(cluster, node->index, key, chance(cluster, 5),
                             serial);
}

static void
run_table_write(claim_cluster_t *cluster, const event_t *event)
{
    const bv_claim_write_t *write = &event->write;
    table_row_t *row = g_hash_table_lookup(cluster->table, event->key);
    event_t reply = *event;
    reply.kind = EVENT_WRITE_DONE;
    int64_t expected = write->op == BV_CLAIM_INSERT ? 0 : write->revision;
    memset(&reply.write_result, 0, sizeof(reply.write_result));
    reply.write_result.status = BV_CLAIM_WRITTEN;
    if ((row != NULL ? row->revision : 0) != expected) {
        reply.write_result.status = BV_CLAIM_CONFLICT;
        reply.write_result.row_exists = reply.write_result.is_row_readable =
            row != NULL;
        reply.write_result.revision = row != NULL ? row->revision : 0;
        reply.write_result.row = row != NULL ? row->row : write->row;
    }
    else if (write->op == BV_CLAIM_DELETE) {
        g_hash_table_remove(cluster->table, event->key);
    }
    else {
        table_row_t new_row = {write->row, ++cluster->revision};
        reply.write_result.revision = new_row.revision;
        g_hash_table_replace(cluster->table, g_strdup(event->key),
                             g_memdup2(&new_row, sizeof(new_row)));
    }
    if (event->call_id == 0) {
        schedule(cluster, &reply, random_between(cluster, 100, 20000));
    }
}

static void
run_owner_query(claim_cluster_t *cluster, const event_t *event)
{
    node_t *owner = &cluster->nodes[event->row.owner[0] - 'a'];
    const bv_key_result_t *result = NULL;
    event_t reply = *event;
    if (owner->incarnation != event->row.incarnation ||
        (!cluster->is_reliable && chance(cluster, 10)) ||
        owner->paused_until_us > sim_now_us(cluster->sim)) {
        return;
    }
    reply.kind = EVENT_OWNER_REPLY;
    reply.state = bv_claims_attempt_state(owner->claims, event->key,
                                          event->row.attempt, &result);
    reply.result = result != NULL ? *result : reply.result;
    schedule(cluster, &reply, random_between(cluster, 100, 30000));
}

static void
run_leave(claim_cluster_t *cluster, node_t *node, const event_t *event)
{
    bv_key_result_t result;
    const call_t *call = g_hash_table_lookup(cluster->calls, &event->call_id);
    if (call == NULL || call->is_started) {
        return;
    }
    bv_claims_leave(node->claims, sim_now_us(cluster->sim), event->key,
                    event->call_id, &result);
    check_result(cluster, call, &result);
    g_hash_table_remove(cluster->calls, &event->call_id);
}

static void
run_fault(claim_cluster_t *cluster)
{
    uint32_t index = (uint32_t)sim_random_between(cluster->sim, 0, NODES);
    if (chance(cluster, 20)) {
        restart_node(cluster, index);
    }
    else if (chance(cluster, 50)) {
        cluster->nodes[index].paused_until_us =
            sim_now_us(cluster->sim) +
            random_between(cluster, 1000, 3 * SECOND_US);
    }
    else {
        cluster->store_down_until_us =
            sim_now_us(cluster->sim) +
            random_between(cluster, 1000, 2 * SECOND_US);
    }
}

static void
run_node_event(claim_cluster_t *cluster, node_t *node, const event_t *event)
{
    switch (event->kind) {
    case EVENT_WRITE_DONE:
        bv_claims_write_done(node->claims, sim_now_us(cluster->sim),
                             event->key, event->write.sequence,
                             &event->write_result);
        return;
    case EVENT_OWNER_REPLY:
        bv_claims_owner_replied(node->claims, sim_now_us(cluster->sim),
                                event->key, event->row.attempt, event->state,
                                &event->result);
        return;
    case EVENT_SETTLE:
        bv_claims_settle(node->claims, sim_now_us(cluster->sim), event->key,
                         &event->result);
        return;
    case EVENT_LEAVE:
        run_leave(cluster, node, event);
        return;
    default:
        return;
    }
}

static void
run_cluster_event(claim_cluster_t *cluster, const event_t *event)
{
    uint32_t index = (uint32_t)sim_random_between(cluster->sim, 0, NODES);
    node_t *node = &cluster->nodes[index];
    switch (event->kind) {
    case EVENT_CALL:
        run_call(cluster, node);
        schedule(cluster, event, random_between(cluster, 100, 20000));
        return;
    case EVENT_TICK:
        for (uint32_t i = 0; i < NODES; i++) {
            if (cluster->nodes[i].paused_until_us <=
                sim_now_us(cluster->sim)) {
                bv_claims_tick(cluster->nodes[i].claims,
                               sim_now_us(cluster->sim));
            }
        }
        schedule(cluster, event, 10000);
        return;
    case EVENT_FAULT:
        run_fault(cluster);
        schedule(cluster, event, random_between(cluster, 1000, 4 * SECOND_US));
        return;
    case EVENT_TABLE_WRITE:
        run_table_write(cluster, event);
        return;
    default:
        run_owner_query(cluster, event);
        return;
    }
}

static bool
is_node_event(event_kind_t kind)
{
    return kind == EVENT_WRITE_DONE || kind == EVENT_OWNER_REPLY ||
           kind == EVENT_SETTLE || kind == EVENT_LEAVE;
}

static void
run_event(void *context, void *data)
{
    claim_cluster_t *cluster = context;
    const event_t *event = data;
    node_t *node = &cluster->nodes[event->node];
    if (!is_node_event(event->kind)) {
        run_cluster_event(cluster, event);
        return;
    }
    if (event->incarnation != node->incarnation) {
        return;
    }
    int64_t wait_us = node->paused_until_us - sim_now_us(cluster->sim);
    if (wait_us > 0) {
        schedule(cluster, event, wait_us);
        return;
    }
    run_node_event(cluster, node, event);
}

void
claim_cluster_create(claim_cluster_t *cluster, guint32 seed, bool is_reliable)
{
    static const event_kind_t periodic_events[] = {EVENT_TICK, EVENT_CALL,
                                                   EVENT_FAULT};
    memset(cluster, 0, sizeof(*cluster));
    cluster->is_reliable = is_reliable;
    cluster->sim = sim_create(seed, cluster);
    cluster->table =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cluster->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cluster->executions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (uint32_t i = 0; i < NODES; i++) {
        start_node(cluster, i);
    }
    for (size_t i = 0; i < (is_reliable ? 1 : G_N_ELEMENTS(periodic_events));
         i++) {
        event_t event = {.kind = periodic_events[i]};
        schedule(cluster, &event, 1);
    }
}

void
claim_cluster_destroy(claim_cluster_t *cluster)
{
    for (uint32_t i = 0; i < NODES; i++) {
        bv_claims_destroy(cluster->nodes[i].claims);
        bv_tickets_destroy(cluster->nodes[i].tickets);
    }
    sim_destroy(cluster->sim);
    g_hash_table_destroy(cluster->table);
    g_hash_table_destroy(cluster->calls);
    g_hash_table_destroy(cluster->executions);
}
