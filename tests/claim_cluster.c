#include "claim_cluster.h"

#include "berylvane/common/invariant.h"
#include "support.h"

#include <string.h>

#define BEGINS_EACH_KEY 60
#define TICKET_WINDOW 64
#define SECOND_US 1000000
#define REMEMBER_US (2 * SECOND_US)
#define DEADLINE_US SECOND_US

typedef enum {
    EVENT_BEGIN,
    EVENT_STORE,
    EVENT_WRITTEN,
    EVENT_ASKED,
    EVENT_TOLD,
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
    uint64_t waiter;
    bv_claim_write_t write;
    bv_claim_write_result_t written;
    bv_claim_row_t row;
    bv_owner_state_t state;
    bv_key_result_t kept;
} event_t;

typedef struct {
    bv_claim_row_t row;
    int64_t revision;
} table_row_t;

static void run_event(void *context, void *data);

static bool
chance(const world_t *world, int percent)
{
    return sim_chance(world->sim, percent);
}

static int64_t
between(const world_t *world, int64_t low_us, int64_t high_us)
{
    return sim_random_between(world->sim, (int)low_us, (int)high_us);
}

static void
schedule(world_t *world, const event_t *event, int64_t delay_us)
{
    sim_schedule(world->sim, delay_us, run_event,
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
    world_t *world = node->world;
    event_t event = event_at(node, EVENT_STORE, write->key);
    event.write = *write;
    int copies = chance(world, 5) ? 2 : 1;
    bool lost =
        !world->calm && (chance(world, 10) ||
                         sim_now_us(world->sim) < world->store_down_until_us);
    for (int i = 0; i < copies && !(lost && chance(world, 50)); i++) {
        event.waiter = lost;
        schedule(world, &event, between(world, 100, lost ? 900000 : 20000));
    }
    if (lost) {
        event.kind = EVENT_WRITTEN;
        event.written.status = BV_CLAIM_NO_REPLY;
        schedule(world, &event, between(world, 1000, 200000));
    }
}

static bool
on_ask(void *context, const char *key, const bv_claim_row_t *row)
{
    node_t *node = context;
    world_t *world = node->world;
    const node_t *owner = &world->nodes[row->owner[0] - 'a'];
    bool suspected =
        owner->paused_until_us > sim_now_us(world->sim) && chance(world, 20);
    if (owner->incarnation != row->incarnation || suspected) {
        return false;
    }
    event_t event = event_at(node, EVENT_ASKED, key);
    event.row = *row;
    if (world->calm || !chance(world, 10)) {
        schedule(world, &event, between(world, 100, 30000));
    }
    return true;
}

static void
execute(world_t *world, const char *key, waiter_t *waiter)
{
    bv_invariant(!g_hash_table_contains(world->executions, key),
                 "key_runs_once", key);
    waiter->executed = true;
    world->ran++;
    g_hash_table_insert(world->executions, g_strdup(key),
                        g_memdup2(&waiter->request, sizeof(uint64_t)));
}

static uint64_t
digest_of(const char *key)
{
    return g_str_hash(key);
}

static void
on_go(void *context, const char *key, uint64_t id)
{
    node_t *node = context;
    world_t *world = node->world;
    waiter_t *waiter = g_hash_table_lookup(world->waiters, &id);
    event_t event = event_at(node, EVENT_SETTLE, key);
    static const bv_outcome_t outcomes[] = {
        BV_OUTCOME_RAN, BV_OUTCOME_RAN, BV_OUTCOME_UNKNOWN, BV_OUTCOME_NOT_RUN,
        BV_OUTCOME_NOT_RUN};
    event.kept.outcome =
        outcomes[sim_random_between(world->sim, 0, G_N_ELEMENTS(outcomes))];
    event.kept.status = 200;
    event.kept.body_digest = digest_of(key);
    waiter->runs = true;
    if (world->calm) {
        return;
    }
    if (event.kept.outcome != BV_OUTCOME_NOT_RUN) {
        execute(world, key, waiter);
    }
    event.waiter = id;
    schedule(world, &event, between(world, 100, 300000));
}

static void
judge(world_t *world, const waiter_t *waiter, const bv_key_result_t *kept)
{
    ck_assert(kept->outcome != BV_OUTCOME_NOT_RUN || !waiter->executed);
    if (kept->outcome != BV_OUTCOME_RAN) {
        return;
    }
    const uint64_t *request =
        g_hash_table_lookup(world->executions, waiter->key);
    ck_assert_ptr_nonnull(request);
    if (kept->reason != BV_REASON_ANSWER_GONE) {
        ck_assert_uint_eq(*request, waiter->request);
        ck_assert_uint_eq(kept->body_digest, digest_of(waiter->key));
    }
}

static void
on_answer(void *context, uint64_t id, const bv_key_result_t *kept)
{
    node_t *node = context;
    waiter_t *waiter = g_hash_table_lookup(node->world->waiters, &id);
    ck_assert_ptr_nonnull(waiter);
    if (node->world->calm) {
        ck_assert(!waiter->answered);
        waiter->answered = true;
        waiter->kept = *kept;
        return;
    }
    judge(node->world, waiter, kept);
    g_hash_table_remove(node->world->waiters, &id);
}

static const bv_claims_ops_t ops = {on_write, on_ask, on_go, on_answer};

static void
boot(world_t *world, uint32_t index)
{
    node_t *node = &world->nodes[index];
    bv_claims_destroy(node->claims);
    bv_tickets_destroy(node->tickets);
    node->world = world;
    node->index = index;
    node->incarnation = ++world->next_id;
    node->paused_until_us = 0;
    node->tickets = bv_tickets_create(TICKET_WINDOW);
    bv_claims_options_t options = {
        .owner = {(char)('a' + index)},
        .incarnation = node->incarnation,
        .retention_us = world->calm ? INT64_MAX / 2 : REMEMBER_US,
        .keys_limit = world->calm ? UINT32_MAX : 2 * KEYS_AT_ONCE,
        .results_limit_bytes = 1024,
        .resend_delay_us = 10000,
        .resend_delay_limit_us = SECOND_US,
        .owner_poll_us = 20000,
        .tickets = node->tickets,
        .random = sim_random(world->sim),
        .ops = &ops,
        .context = node,
    };
    node->claims = bv_claims_create(&options);
}

static gboolean
waits_at(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    return ((waiter_t *)value)->node == *(uint32_t *)context;
}

static void
crash(world_t *world, uint32_t index)
{
    g_hash_table_foreach_remove(world->waiters, waits_at, &index);
    boot(world, index);
}

waiter_t *
world_begin(world_t *world, uint32_t index, const char *key, uint64_t request,
            uint64_t serial)
{
    const node_t *node = &world->nodes[index];
    waiter_t *waiter = g_new0(waiter_t, 1);
    waiter->id = ++world->next_id;
    waiter->node = index;
    g_strlcpy(waiter->key, key, KEY_BYTES);
    waiter->request = request;
    bv_claim_call_t call = {key, waiter->request, waiter->id, serial};
    event_t leave = event_at(node, EVENT_LEAVE, key);
    leave.waiter = waiter->id;
    g_hash_table_insert(world->waiters, &waiter->id, waiter);
    if (!world->calm) {
        schedule(world, &leave, DEADLINE_US);
    }
    bv_claims_begin(node->claims, sim_now_us(world->sim), &call);
    return waiter;
}

static void
run_begin(world_t *world, node_t *node)
{
    char key[KEY_BYTES];
    uint64_t serial = 0;
    uint64_t number =
        ++world->begun / BEGINS_EACH_KEY +
        (uint64_t)sim_random_between(world->sim, 0, KEYS_AT_ONCE);
    g_snprintf(key, sizeof(key), "key-%" G_GUINT64_FORMAT, (guint64)number);
    if (chance(world, 30)) {
        uint64_t newest = bv_tickets_issue(node->tickets);
        uint64_t age = (uint64_t)sim_random_between(world->sim, 0, 100);
        serial = newest > age ? newest - age : newest;
        g_snprintf(key, sizeof(key),
                   "bv1.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                   (guint64)node->incarnation, (guint64)serial);
    }
    world_begin(world, node->index, key, chance(world, 5), serial);
}

static void
run_store(world_t *world, const event_t *event)
{
    const bv_claim_write_t *write = &event->write;
    table_row_t *row = g_hash_table_lookup(world->table, event->key);
    event_t answer = *event;
    answer.kind = EVENT_WRITTEN;
    int64_t expected = write->op == BV_CLAIM_INSERT ? 0 : write->revision;
    memset(&answer.written, 0, sizeof(answer.written));
    answer.written.status = BV_CLAIM_WRITTEN;
    if ((row != NULL ? row->revision : 0) != expected) {
        answer.written.status = BV_CLAIM_CONFLICT;
        answer.written.row_exists = answer.written.is_row_readable =
            row != NULL;
        answer.written.revision = row != NULL ? row->revision : 0;
        answer.written.row = row != NULL ? row->row : write->row;
    }
    else if (write->op == BV_CLAIM_DELETE) {
        g_hash_table_remove(world->table, event->key);
    }
    else {
        table_row_t made = {write->row, ++world->revision};
        answer.written.revision = made.revision;
        g_hash_table_replace(world->table, g_strdup(event->key),
                             g_memdup2(&made, sizeof(made)));
    }
    if (event->waiter == 0) {
        schedule(world, &answer, between(world, 100, 20000));
    }
}

static void
run_asked(world_t *world, const event_t *event)
{
    node_t *owner = &world->nodes[event->row.owner[0] - 'a'];
    const bv_key_result_t *kept = NULL;
    event_t told = *event;
    if (owner->incarnation != event->row.incarnation ||
        (!world->calm && chance(world, 10)) ||
        owner->paused_until_us > sim_now_us(world->sim)) {
        return;
    }
    told.kind = EVENT_TOLD;
    told.state = bv_claims_attempt_state(owner->claims, event->key,
                                         event->row.attempt, &kept);
    told.kept = kept != NULL ? *kept : told.kept;
    schedule(world, &told, between(world, 100, 30000));
}

static void
run_leave(world_t *world, node_t *node, const event_t *event)
{
    bv_key_result_t kept;
    const waiter_t *waiter =
        g_hash_table_lookup(world->waiters, &event->waiter);
    if (waiter == NULL || waiter->runs) {
        return;
    }
    bv_claims_leave(node->claims, sim_now_us(world->sim), event->key,
                    event->waiter, &kept);
    judge(world, waiter, &kept);
    g_hash_table_remove(world->waiters, &event->waiter);
}

static void
run_fault(world_t *world)
{
    uint32_t index = (uint32_t)sim_random_between(world->sim, 0, NODES);
    if (chance(world, 20)) {
        crash(world, index);
    }
    else if (chance(world, 50)) {
        world->nodes[index].paused_until_us =
            sim_now_us(world->sim) + between(world, 1000, 3 * SECOND_US);
    }
    else {
        world->store_down_until_us =
            sim_now_us(world->sim) + between(world, 1000, 2 * SECOND_US);
    }
}

static void
run_at_node(world_t *world, node_t *node, const event_t *event)
{
    switch (event->kind) {
    case EVENT_WRITTEN:
        bv_claims_write_done(node->claims, sim_now_us(world->sim), event->key,
                             event->write.sequence, &event->written);
        return;
    case EVENT_TOLD:
        bv_claims_owner_replied(node->claims, sim_now_us(world->sim),
                                event->key, event->row.attempt, event->state,
                                &event->kept);
        return;
    case EVENT_SETTLE:
        bv_claims_settle(node->claims, sim_now_us(world->sim), event->key,
                         &event->kept);
        return;
    case EVENT_LEAVE:
        run_leave(world, node, event);
        return;
    default:
        return;
    }
}

static void
run_world_event(world_t *world, const event_t *event)
{
    uint32_t index = (uint32_t)sim_random_between(world->sim, 0, NODES);
    node_t *node = &world->nodes[index];
    switch (event->kind) {
    case EVENT_BEGIN:
        run_begin(world, node);
        schedule(world, event, between(world, 100, 20000));
        return;
    case EVENT_TICK:
        for (uint32_t i = 0; i < NODES; i++) {
            if (world->nodes[i].paused_until_us <= sim_now_us(world->sim)) {
                bv_claims_tick(world->nodes[i].claims, sim_now_us(world->sim));
            }
        }
        schedule(world, event, 10000);
        return;
    case EVENT_FAULT:
        run_fault(world);
        schedule(world, event, between(world, 1000, 4 * SECOND_US));
        return;
    case EVENT_STORE:
        run_store(world, event);
        return;
    default:
        run_asked(world, event);
        return;
    }
}

static bool
is_for_node(event_kind_t kind)
{
    return kind == EVENT_WRITTEN || kind == EVENT_TOLD ||
           kind == EVENT_SETTLE || kind == EVENT_LEAVE;
}

static void
run_event(void *context, void *data)
{
    world_t *world = context;
    const event_t *event = data;
    node_t *node = &world->nodes[event->node];
    if (!is_for_node(event->kind)) {
        run_world_event(world, event);
        return;
    }
    if (event->incarnation != node->incarnation) {
        return;
    }
    int64_t wait_us = node->paused_until_us - sim_now_us(world->sim);
    if (wait_us > 0) {
        schedule(world, event, wait_us);
        return;
    }
    run_at_node(world, node, event);
}

void
world_create(world_t *world, guint32 seed, bool calm)
{
    static const event_kind_t sources[] = {EVENT_TICK, EVENT_BEGIN,
                                           EVENT_FAULT};
    memset(world, 0, sizeof(*world));
    world->calm = calm;
    world->sim = sim_create(seed, world);
    world->table =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    world->waiters =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    world->executions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (uint32_t i = 0; i < NODES; i++) {
        boot(world, i);
    }
    for (size_t i = 0; i < (calm ? 1 : G_N_ELEMENTS(sources)); i++) {
        event_t event = {.kind = sources[i]};
        schedule(world, &event, 1);
    }
}

void
world_destroy(world_t *world)
{
    for (uint32_t i = 0; i < NODES; i++) {
        bv_claims_destroy(world->nodes[i].claims);
        bv_tickets_destroy(world->nodes[i].tickets);
    }
    sim_destroy(world->sim);
    g_hash_table_destroy(world->table);
    g_hash_table_destroy(world->waiters);
    g_hash_table_destroy(world->executions);
}
