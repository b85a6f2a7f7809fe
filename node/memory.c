#include "berylvane/node/memory.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/gauges.h"
#include "berylvane/common/log.h"
#include "berylvane/core/descriptor_shares.h"
#include "berylvane/core/peer_intake.h"
#include "berylvane/node/quotas.h"

#include <malloc.h>

#define BYTES_PER_MB (UINT64_C(1024) * 1024)
#define SMALL_BYTES 65536
/*
 * Idempotent calls of one route that are open before the size of any of its
 * responses is known. As many of the largest responses fit into the smallest
 * instance.
 */
#define UNKNOWN_CALLS_LIMIT 7
/* Part of the expected size that a smaller response takes away. */
#define EXPECTED_DECAY 8
#define ROUTES_LIMIT 4096
/* A call waits for memory for at most these three quarters of its time. */
#define WAIT_NUMERATOR 3
#define WAIT_DENOMINATOR 4
#define LOG_INTERVAL_US BV_US_PER_S
/*
 * Replaces the threshold of main.c while memory is bounded: blocks from this
 * size on are mapped separately, so that freeing them returns their memory to
 * the system.
 */
#define BOUNDED_MMAP_THRESHOLD_BYTES (128 * 1024)

struct bv_memory {
    bv_memory_budget_t *budget;
    /* Bytes that bv_memory_tick() charged in the last iteration. */
    uint64_t charged_bytes;
    /* Bodies of the work for the local target. */
    uint64_t work_bytes;
    /* Expected bytes of the responses of open calls. */
    uint64_t expected_bytes;
    /* Expected size of a response by the hash of the route's name. */
    GHashTable *expected_by_route;
    /* Open calls by the hash of a route of which no size is known. */
    GHashTable *unknown_calls;
    /* Tags of the calls that wait for memory, in the order of arrival. */
    GQueue waiting;
    bv_peer_intake_t peer_intake;
    /* Connections closed and not logged yet. */
    uint32_t closed_count;
    int64_t log_due_us;
};

static uint64_t
bound_of(const bv_settings_t *settings)
{
    return bv_memory_budget_bound((uint64_t)settings->memory_limit_mb *
                                  BYTES_PER_MB);
}

void
bv_memory_create(bv_node_t *node)
{
    bv_memory_t *memory = g_new0(bv_memory_t, 1);
    bv_memory_budget_options_t options = {
        .bound_bytes = bound_of(node->settings),
        .small_bytes = SMALL_BYTES,
    };
    memory->budget = bv_memory_budget_create(&options);
    memory->expected_by_route = g_hash_table_new(NULL, NULL);
    memory->unknown_calls = g_hash_table_new(NULL, NULL);
    g_queue_init(&memory->waiting);
    if (options.bound_bytes > 0) {
        mallopt(M_MMAP_THRESHOLD, BOUNDED_MMAP_THRESHOLD_BYTES);
    }
    node->memory = memory;
    node->memory_budget = memory->budget;
}

void
bv_memory_destroy(bv_node_t *node)
{
    bv_memory_t *memory = node->memory;
    g_queue_clear_full(&memory->waiting, g_free);
    g_hash_table_destroy(memory->expected_by_route);
    g_hash_table_destroy(memory->unknown_calls);
    bv_memory_budget_destroy(memory->budget);
    g_free(memory);
}

void
bv_memory_apply_settings(bv_node_t *node)
{
    bv_memory_budget_set_bound(node->memory_budget, bound_of(node->settings));
}

uint32_t
bv_memory_connections_limit(const bv_node_t *node, bv_listener_role_t role)
{
    static const bv_descriptor_use_t uses[BV_LISTENER_ROLE_END] = {
        [BV_LISTENER_OUTSIDE] = BV_DESCRIPTORS_CALLERS,
        [BV_LISTENER_LOCAL] = BV_DESCRIPTORS_LOCAL,
        [BV_LISTENER_CONTROL] = BV_DESCRIPTORS_CONTROL,
        [BV_LISTENER_READINESS] = BV_DESCRIPTORS_READINESS,
    };
    return bv_descriptor_share((uint32_t)node->settings->descriptor_limit,
                               uses[role]);
}

/* Returns whether a size is known; calls that may run once need no room. */
static bool
is_size_known(const bv_memory_t *memory, const bv_call_state_t *state,
              uint64_t *bytes)
{
    gpointer value = NULL;
    bool is_known = g_hash_table_lookup_extended(
        memory->expected_by_route, GUINT_TO_POINTER(state->route_hash), NULL,
        &value);
    *bytes = GPOINTER_TO_SIZE(value);
    return is_known || !state->route->is_idempotent;
}

static guint
count_unknown(const bv_memory_t *memory, const bv_call_state_t *state)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(
        memory->unknown_calls, GUINT_TO_POINTER(state->route_hash)));
}

static void
add_unknown(bv_memory_t *memory, bv_call_state_t *state, int change)
{
    gpointer route = GUINT_TO_POINTER(state->route_hash);
    guint count = count_unknown(memory, state) + (guint)change;
    state->has_unknown_size = change > 0;
    if (count == 0) {
        g_hash_table_remove(memory->unknown_calls, route);
        return;
    }
    g_hash_table_insert(memory->unknown_calls, route, GUINT_TO_POINTER(count));
}

static void
learn_response(bv_memory_t *memory, const bv_call_state_t *state,
               uint64_t bytes)
{
    GHashTable *expected = memory->expected_by_route;
    gpointer route = GUINT_TO_POINTER(state->route_hash);
    uint64_t before = GPOINTER_TO_SIZE(g_hash_table_lookup(expected, route));
    uint64_t after = MAX(bytes, before - before / EXPECTED_DECAY);
    if (g_hash_table_size(expected) >= ROUTES_LIMIT) {
        g_hash_table_remove_all(expected);
    }
    g_hash_table_insert(expected, route, GSIZE_TO_POINTER(after));
}

static void
reserve(bv_memory_t *memory, bv_call_state_t *state, uint64_t bytes)
{
    state->expected_bytes += bytes;
    memory->expected_bytes += bytes;
    memory->charged_bytes += bytes;
    bv_memory_budget_charge(memory->budget, bytes);
}

/*
 * Reserves memory for the response of a call, if there is any. `has_turn` is
 * cleared by the first call with a large response that there is no room for,
 * so that later ones do not overtake it.
 */
static bool
try_reserve(bv_node_t *node, bv_call_state_t *state, bool *has_turn)
{
    bv_memory_t *memory = node->memory;
    uint64_t bytes;
    if (!is_size_known(memory, state, &bytes)) {
        if (count_unknown(memory, state) >= UNKNOWN_CALLS_LIMIT) {
            return false;
        }
        add_unknown(memory, state, 1);
        reserve(memory, state, SMALL_BYTES);
        return true;
    }
    if (bytes > SMALL_BYTES &&
        (!*has_turn || !bv_memory_budget_admits(memory->budget, bytes))) {
        *has_turn = false;
        return false;
    }
    reserve(memory, state, bytes);
    return true;
}

bool
bv_memory_reserve_or_wait(bv_node_t *node, bv_call_state_t *state)
{
    bv_memory_t *memory = node->memory;
    if (node->settings->memory_limit_mb == 0) {
        return true;
    }
    bool has_turn = memory->waiting.length == 0;
    if (try_reserve(node, state, &has_turn)) {
        return true;
    }
    state->memory_until_us =
        node->now_us + (state->deadline_us - node->now_us) / WAIT_DENOMINATOR *
                           WAIT_NUMERATOR;
    g_queue_push_tail(&memory->waiting,
                      g_memdup2(&state->tag, sizeof(state->tag)));
    bv_counter_add(BV_COUNT_CALLS_DELAYED_MEMORY, 1);
    return false;
}

bool
bv_memory_reserve_repeat(bv_node_t *node, bv_call_state_t *state)
{
    bv_memory_t *memory = node->memory;
    uint64_t bytes;
    if (node->settings->memory_limit_mb == 0 || state->has_reserved_repeat ||
        !is_size_known(memory, state, &bytes) || bytes <= SMALL_BYTES) {
        return true;
    }
    if (!bv_memory_budget_admits(memory->budget, bytes)) {
        bv_counter_add(BV_COUNT_FENCES_DELAYED_MEMORY, 1);
        return false;
    }
    state->has_reserved_repeat = true;
    reserve(memory, state, bytes);
    return true;
}

void
bv_memory_call_ended(bv_node_t *node, bv_call_state_t *state,
                     const bv_reply_t *reply)
{
    bv_memory_t *memory = node->memory;
    memory->expected_bytes -= state->expected_bytes;
    state->expected_bytes = 0;
    state->has_reserved_repeat = false;
    state->memory_until_us = 0;
    if (state->has_unknown_size) {
        add_unknown(memory, state, -1);
    }
    if (reply->outcome == BV_OUTCOME_RAN && state->route != NULL) {
        learn_response(memory, state,
                       reply->body != NULL ? g_bytes_get_size(reply->body)
                                           : 0);
    }
}

static uint64_t
body_bytes(const bv_peer_message_t *message)
{
    return message->body != NULL ? g_bytes_get_size(message->body) : 0;
}

bool
bv_memory_refuses(const bv_node_t *node, const bv_peer_message_t *dispatch)
{
    return !bv_memory_budget_admits(node->memory_budget, body_bytes(dispatch));
}

void
bv_memory_work_added(bv_node_t *node, const bv_peer_message_t *dispatch)
{
    node->memory->work_bytes += body_bytes(dispatch);
}

void
bv_memory_work_removed(bv_node_t *node, const bv_peer_message_t *dispatch)
{
    node->memory->work_bytes -= body_bytes(dispatch);
}

/* Charges what has changed since the last iteration. */
static void
update_budget(bv_node_t *node)
{
    bv_memory_t *memory = node->memory;
    uint64_t bytes = memory->work_bytes + memory->expected_bytes +
                     bv_answer_cache_bytes(node->answer_cache) +
                     bv_claims_results_bytes(node->claims) +
                     bv_operator_listener_held_bytes(node->operator_listener) +
                     bv_target_client_received_bytes(node->target_client) +
                     bv_link_queued_bytes(node->link);
    if (bytes > memory->charged_bytes) {
        bv_memory_budget_charge(memory->budget, bytes - memory->charged_bytes);
    }
    else {
        bv_memory_budget_release(memory->budget,
                                 memory->charged_bytes - bytes);
    }
    memory->charged_bytes = bytes;
    bv_gauge_set(BV_GAUGE_HELD_BYTES,
                 (int64_t)bv_memory_budget_used(memory->budget));
    bv_gauge_set(BV_GAUGE_HELD_BYTES_PEAK,
                 (int64_t)bv_memory_budget_peak(memory->budget));
}

/*
 * Whether what callers read, and what peers take, brings the use below the
 * bound. Otherwise a response that goes on is what frees memory.
 */
static bool
do_readers_relieve(const bv_node_t *node)
{
    return bv_memory_budget_can_relieve(node->memory_budget,
                                        bv_link_queued_bytes(node->link));
}

bool
bv_memory_may_receive(bv_node_t *node, size_t bytes, bool has_turn)
{
    if (bytes <= SMALL_BYTES || node->settings->memory_limit_mb == 0) {
        return true;
    }
    /* Many responses may have grown since the last iteration. */
    update_budget(node);
    if (has_turn) {
        return bv_memory_budget_level(node->memory_budget) < BV_BYTES_FULL ||
               !do_readers_relieve(node);
    }
    return bv_memory_budget_may_read(node->memory_budget, bytes);
}

static void
update_peer_intake(bv_node_t *node)
{
    bv_peer_intake_t *intake = &node->memory->peer_intake;
    uint64_t pauses = intake->pauses;
    bv_peer_intake_update(intake, node->now_us, node->memory_budget,
                          bv_link_queued_bytes(node->link));
    bv_counter_add(BV_COUNT_PEER_PAUSES, intake->pauses - pauses);
}

size_t
bv_memory_peer_intake_bytes(const bv_node_t *node)
{
    return bv_peer_intake_bytes(&node->memory->peer_intake, SMALL_BYTES);
}

static void
close_connections(bv_node_t *node)
{
    bv_memory_t *memory = node->memory;
    if (bv_memory_budget_level(memory->budget) >= BV_BYTES_PAUSING) {
        memory->closed_count += bv_listener_relieve(memory->budget);
    }
    if (memory->closed_count > 0 && node->now_us >= memory->log_due_us) {
        bv_log(BV_LOG_WARN, "connections_closed", "reason", "memory", "count",
               BV_NUM(memory->closed_count), "held_bytes",
               BV_NUM((gint64)bv_memory_budget_used(memory->budget)), NULL);
        memory->closed_count = 0;
        memory->log_due_us = node->now_us + LOG_INTERVAL_US;
    }
}

bool
bv_memory_is_waiting(const bv_call_state_t *state)
{
    return state->memory_until_us > 0;
}

/* start_waiting() removes the call's tag from the queue. */
void
bv_memory_end_wait(bv_node_t *node, bv_call_state_t *state, bv_reason_t reason)
{
    bv_reply_t reply = {
        .status = 503,
        .outcome = BV_OUTCOME_NOT_RUN,
        .reason = reason,
    };
    bv_calls_finish(node, state, &reply);
}

/* Returns false if the call goes on waiting; see try_reserve(). */
static bool
end_waiting(bv_node_t *node, bv_call_state_t *state, bool *has_turn)
{
    if (node->now_us >= state->memory_until_us) {
        bv_memory_end_wait(node, state, BV_REASON_NO_MEMORY);
        return true;
    }
    if (!try_reserve(node, state, has_turn)) {
        return false;
    }
    state->memory_until_us = 0;
    bv_quotas_begin(node, state);
    return true;
}

/* Starts the calls that there is memory for, in the order of their arrival. */
static void
start_waiting(bv_node_t *node)
{
    GQueue *waiting = &node->memory->waiting;
    bool has_turn = true;
    GList *next;
    for (GList *link = waiting->head; link != NULL; link = next) {
        bv_call_state_t *state = bv_calls_find(node, *(uint64_t *)link->data);
        next = link->next;
        if (state == NULL || state->memory_until_us == 0 ||
            end_waiting(node, state, &has_turn)) {
            g_free(link->data);
            g_queue_delete_link(waiting, link);
        }
    }
}

void
bv_memory_tick(bv_node_t *node)
{
    update_budget(node);
    update_peer_intake(node);
    if (node->settings->memory_limit_mb == 0 &&
        node->memory->waiting.length == 0) {
        return;
    }
    close_connections(node);
    start_waiting(node);
}
