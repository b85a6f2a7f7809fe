#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/core/retry_after.h"
#include "berylvane/node/access.h"
#include "berylvane/node/fair_shares.h"
#include "berylvane/node/keyed.h"
#include "berylvane/node/memory.h"
#include "berylvane/node/quotas.h"

#include <string.h>

/* Returns the delay of a refused caller's retry; 0 for other answers. */
static int64_t
retry_after_us(bv_node_t *node, const bv_call_state_t *state,
               const bv_reply_t *reply)
{
    if (reply->reason == BV_REASON_QUOTA) {
        return state->quota_retry_us > 0 ? state->quota_retry_us
                                         : bv_quotas_least_retry_us(node);
    }
    if (reply->outcome == BV_OUTCOME_RAN || reply->status != 503) {
        return 0;
    }
    bv_backpressure_t pressure = bv_backpressure_table_get(
        node->called_backpressure, node->now_us, state->route_hash);
    bv_retry_after_input_t input = {
        .wait_us = pressure.wait_us,
        .remaining_us = state->caller_deadline_us - node->now_us,
    };
    return bv_retry_after_us(&input, node->random);
}

bv_call_state_t *
bv_calls_find(const bv_node_t *node, uint64_t tag)
{
    return g_hash_table_lookup(node->calls, &tag);
}

static void
count_outcome(bv_outcome_t outcome)
{
    static const bv_counter_t counters[] = {
        [BV_OUTCOME_NOT_RUN] = BV_COUNT_ANSWERS_NOT_RUN,
        [BV_OUTCOME_RAN] = BV_COUNT_ANSWERS_RAN,
        [BV_OUTCOME_UNKNOWN] = BV_COUNT_ANSWERS_UNKNOWN,
    };
    bv_counter_add(counters[outcome], 1);
}

static void
export_span(bv_node_t *node, const bv_call_state_t *state,
            const bv_reply_t *reply)
{
    if (!state->is_traced) {
        return;
    }
    bv_span_t span = {
        .trace = state->trace,
        .kind = BV_SPAN_CLIENT,
        .outcome = reply->outcome,
        .reason = reply->reason,
        .status = reply->status,
        .start_wall_us = state->start_wall_us,
        .duration_us = node->now_us - state->call->arrived_us,
    };
    memcpy(span.parent_span_id, state->parent.span_id, BV_SPAN_BYTES);
    g_strlcpy(span.name, state->route != NULL ? state->route->name : "call",
              sizeof(span.name));
    bv_exporter_add_span(node->exporter, &span);
}

void
bv_call_state_destroy(void *data)
{
    bv_call_state_t *state = data;
    bv_request_destroy(state->request);
    bv_config_unref(state->config);
    g_free(state->customer);
    g_free(state->key);
    g_free(state->claim_key);
    if (state->forwarded_message != NULL) {
        bv_key_peers_call_destroy(state->call);
        bv_peer_message_destroy(state->forwarded_message);
    }
    g_free(state);
}

static void
reply_to_caller(bv_node_t *node, bv_call_state_t *state, bv_reply_t *reply)
{
    const bv_call_t *call = state->call;
    if (state->forwarded_message != NULL) {
        bv_key_peers_reply(node, state, reply);
        return;
    }
    char *ticket = NULL;
    if (call->is_outside && strcmp(call->method, "GET") == 0) {
        ticket = bv_tickets_mint(node);
    }
    reply->ticket = ticket;
    bv_call_reply(state->call, reply);
    g_free(ticket);
}

void
bv_calls_finish(bv_node_t *node, bv_call_state_t *state,
                const bv_reply_t *reply)
{
    char id[BV_ID_TEXT_BYTES];
    bv_reply_t full_reply = *reply;
    full_reply.request_id = bv_id_text(&state->id, id);
    full_reply.idempotency_key = state->key;
    full_reply.retry_after_us = retry_after_us(node, state, reply);
    full_reply.closes_connection = node->draining && state->call->is_outside;
    count_outcome(reply->outcome);
    bv_access_count_reply(state, reply);
    bv_quotas_settle(node, state, reply->outcome);
    bv_decision_t decision = {
        .kind = BV_DECISION_ANSWERED,
        .request = state->id,
        .subject = state->route != NULL ? state->route->name : NULL,
        .reason = reply->reason,
        .outcome = reply->outcome,
        .number = reply->status,
        .label = state->call->label,
        .attempts = state->request != NULL
                        ? bv_request_attempt_count(state->request)
                        : 0,
        .left_us =
            state->deadline_us > 0 ? state->deadline_us - node->now_us : 0,
        .took_us = MAX(0, node->now_us - state->call->arrived_us),
    };
    bv_node_record_decision(node, &decision);
    export_span(node, state, reply);
    if (state->is_entry) {
        bv_credits_close(node->credits, &state->id, 0);
    }
    else {
        bv_parents_child_ended(node, &state->id, state->route_hash);
    }
    if (state->timer != NULL) {
        g_sequence_remove(state->timer);
        state->timer = NULL;
    }
    state->answered = true;
    bv_memory_call_ended(node, state, reply);
    reply_to_caller(node, state, &full_reply);
    g_hash_table_remove(node->calls, &state->tag);
    g_ptr_array_add(node->finished_calls, state);
}

/*
 * The caller of a call with an idempotency key receives the outcome of all
 * calls with that key. A call that is refused before its key is looked up is
 * answered as unknown, because an earlier call with the key may have run.
 */
static bv_outcome_t
refusal_outcome(const bv_call_state_t *state)
{
    bool has_key = state->call->idempotency_key != NULL &&
                   (state->route == NULL || !state->route->is_idempotent);
    return has_key ? BV_OUTCOME_UNKNOWN : BV_OUTCOME_NOT_RUN;
}

static void
refuse_with(bv_node_t *node, bv_call_state_t *state, bv_reply_t *refusal)
{
    refusal->outcome = refusal_outcome(state);
    bv_calls_finish(node, state, refusal);
}

static void
refuse_call(bv_node_t *node, bv_call_state_t *state, uint16_t status,
            bv_reason_t reason)
{
    bv_reply_t reply = {.status = status, .reason = reason};
    refuse_with(node, state, &reply);
}

static const bv_served_t *
find_parent(const bv_node_t *node, const bv_call_state_t *state)
{
    return g_hash_table_lookup(node->served_by_request, &state->id);
}

static void
init_child(bv_node_t *node, bv_call_state_t *state, const bv_served_t *parent)
{
    bv_parents_child_started(node, &state->id);
    state->deadline_us = MIN(state->deadline_us, parent->deadline_us);
    state->priority = parent->dispatch->priority;
    state->is_upstream_retry = parent->dispatch->is_retry;
    g_free(state->customer);
    state->customer = g_strdup(parent->dispatch->customer);
}

/*
 * Initializes a call of the target that carries no id, or not the id of a
 * request that runs on the target. No credit ledger is open for such a call,
 * so it is never retried.
 */
static void
init_untagged(bv_node_t *node, bv_call_state_t *state)
{
    bv_counter_add(BV_COUNT_CALLS_UNTAGGED, 1);
    state->id = bv_id_random(node->random);
    state->priority = bv_priority(state->route->importance, 0);
}

/*
 * Overload is shared among the accounts by their demand. Without an account,
 * the level is derived from the label or the customer that the caller names,
 * so that shedding is spread over the calls.
 */
static uint8_t
entry_level(bv_node_t *node, const bv_call_state_t *state,
            bv_class_t importance)
{
    if (state->account != NULL) {
        return bv_fair_shares_level(node, state, importance);
    }
    const char *name =
        state->customer != NULL ? state->customer : state->call->label;
    return bv_customer_level(name != NULL ? name : "");
}

static void
init_entry(bv_node_t *node, bv_call_state_t *state)
{
    state->is_entry = true;
    uint32_t credits =
        state->bypasses_admission ? 0 : state->config->retry_credits;
    bv_credits_open(node->credits, &state->id, credits);
    bv_class_t importance =
        bv_account_class(state->account, state->route->importance);
    state->priority =
        bv_priority(importance, entry_level(node, state, importance));
}

static void
init_origin(bv_node_t *node, bv_call_state_t *state)
{
    const bv_call_t *call = state->call;
    bool has_valid_id =
        call->request_id != NULL && bv_id_parse(call->request_id, &state->id);
    if (!has_valid_id) {
        state->id = bv_id_random(node->random);
    }
    const bv_served_t *parent =
        has_valid_id && !call->is_outside ? find_parent(node, state) : NULL;
    if (parent != NULL) {
        init_child(node, state, parent);
    }
    else if (call->is_outside) {
        init_entry(node, state);
    }
    else {
        init_untagged(node, state);
    }
}

static void
init_trace(bv_node_t *node, bv_call_state_t *state)
{
    bool has_parent = bv_trace_parse(state->call->traceparent, &state->parent);
    state->trace =
        bv_trace_new_span(has_parent ? &state->parent : NULL, node->random);
    state->is_traced =
        node->exporter != NULL && state->trace.trace_id.bytes[0] * 100 <
                                      node->settings->trace_percent * 256;
}

void
bv_calls_receive(bv_node_t *node, void *data)
{
    bv_call_t *call = data;
    bv_counter_add(
        call->is_outside ? BV_COUNT_CALLS_OUTSIDE : BV_COUNT_CALLS_LOCAL, 1);
    if (call->kind == BV_CALL_ANNOUNCEMENT) {
        bv_target_handle_announcement(node, call);
        return;
    }
    if (call->kind == BV_CALL_READINESS) {
        bv_readiness_answer(node, call);
        return;
    }
    if (!bv_access_try_hold(node, call)) {
        bv_calls_start(node, call);
    }
}

void
bv_calls_start(bv_node_t *node, bv_call_t *call)
{
    bv_reply_t refusal = {0};
    bv_call_state_t *state = g_new0(bv_call_state_t, 1);
    state->call = call;
    state->tag = call->tag;
    state->customer = g_strdup(call->customer);
    state->start_wall_us = bv_clock_wall_us();
    g_hash_table_insert(node->calls, &state->tag, state);
    if (node->config == NULL || bv_drain_refuses_call(node, call)) {
        refuse_call(node, state, 503,
                    node->config != NULL ? BV_REASON_DRAINING
                                         : BV_REASON_NO_CONFIG);
        return;
    }
    state->config = bv_config_ref(node->config);
    state->route = bv_config_find_route(node->config, call->host, call->method,
                                        call->path);
    if (!bv_access_admit(node, state, &refusal)) {
        refuse_with(node, state, &refusal);
        return;
    }
    if (state->route == NULL) {
        refuse_call(node, state, 404, BV_REASON_NO_ROUTE);
        return;
    }
    state->route_hash = g_str_hash(state->route->name);
    state->bypasses_admission = state->route->mode == BV_MODE_BYPASS;
    state->service =
        bv_traffic_split_choose(node->traffic_split, state->route);
    state->deadline_us = call->arrived_us + state->route->timeout_us;
    state->caller_deadline_us = state->deadline_us;
    if (call->timeout_us > 0) {
        state->caller_deadline_us = call->arrived_us + call->timeout_us;
        state->deadline_us =
            MIN(state->deadline_us, state->caller_deadline_us);
    }
    init_origin(node, state);
    init_trace(node, state);
    if (state->deadline_us <= node->now_us) {
        refuse_call(node, state, 503, BV_REASON_EXPIRED);
        return;
    }
    /*
     * Backpressure refuses a call with a key only once the call holds the key.
     * An earlier answer "not run" would be wrong if another call with the key
     * ran.
     */
    bv_reason_t reason;
    bool needs_key = !state->route->is_idempotent && state->route->is_keyed;
    if (!needs_key && !bv_routing_admit(node, state, &reason)) {
        refuse_call(node, state, 503, reason);
        return;
    }
    if (!needs_key) {
        if (bv_memory_reserve_or_wait(node, state)) {
            bv_quotas_begin(node, state);
        }
        return;
    }
    bv_keyed_begin(node, state);
}

bool
bv_calls_may_run_ahead(void *context, const bv_call_t *call)
{
    const bv_node_t *node = context;
    if (node->config == NULL || node->draining ||
        call->kind != BV_CALL_REQUEST) {
        return false;
    }
    const bv_route_t *route = bv_config_find_route(node->config, call->host,
                                                   call->method, call->path);
    return route != NULL && route->is_idempotent;
}

/*
 * A call with a key continues without its caller, because its result is stored
 * for the caller's retry. Other calls are cancelled.
 */
void
bv_calls_handle_caller_gone(bv_node_t *node, void *data)
{
    const uint64_t *tag = data;
    bv_call_state_t *state = bv_calls_find(node, *tag);
    if (state == NULL) {
        bv_access_handle_caller_gone(node, *tag);
    }
    else if (state->key == NULL && state->request != NULL) {
        bv_counter_add(BV_COUNT_CALLERS_GONE, 1);
        bv_request_caller_gone(state->request, node->now_us);
    }
    else if (state->key == NULL && bv_quotas_is_waiting(state)) {
        bv_counter_add(BV_COUNT_CALLERS_GONE, 1);
        bv_quotas_end_wait(node, state, BV_REASON_CANCELLED);
    }
    else if (state->key == NULL && bv_memory_is_waiting(state)) {
        bv_counter_add(BV_COUNT_CALLERS_GONE, 1);
        bv_memory_end_wait(node, state, BV_REASON_CANCELLED);
    }
    g_free(data);
}

static gint
compare_due(gconstpointer left, gconstpointer right, gpointer context)
{
    const bv_call_state_t *a = left;
    const bv_call_state_t *b = right;
    (void)context;
    return a->due_us < b->due_us ? -1 : a->due_us > b->due_us;
}

bool
bv_call_has_open_attempts(const bv_call_state_t *state)
{
    return state->request != NULL && !bv_request_is_done(state->request);
}

void
bv_calls_reschedule(bv_node_t *node, bv_call_state_t *state)
{
    if (state->answered) {
        return;
    }
    int64_t due_us = bv_call_has_open_attempts(state)
                         ? bv_request_due_us(state->request)
                         : state->deadline_us;
    if (state->timer == NULL) {
        state->due_us = due_us;
        state->timer = g_sequence_insert_sorted(node->call_timers, state,
                                                compare_due, NULL);
        return;
    }
    if (state->due_us != due_us) {
        state->due_us = due_us;
        g_sequence_sort_changed(state->timer, compare_due, NULL);
    }
}

static bv_call_state_t *
first_scheduled_call(const bv_node_t *node)
{
    GSequenceIter *first = g_sequence_get_begin_iter(node->call_timers);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static GPtrArray *
list_started_calls(const bv_node_t *node)
{
    GPtrArray *calls = g_ptr_array_new();
    GSequenceIter *item = g_sequence_get_begin_iter(node->call_timers);
    for (; !g_sequence_iter_is_end(item); item = g_sequence_iter_next(item)) {
        if (bv_call_has_open_attempts(g_sequence_get(item))) {
            g_ptr_array_add(calls, g_sequence_get(item));
        }
    }
    return calls;
}

/*
 * After a restart of a member, attempts at its earlier incarnation are settled
 * at once only for idempotent calls. Other attempts stay open until an answer
 * or the deadline settles them.
 */
static bool
must_settle_attempts(const bv_call_state_t *state, const bv_member_t *member)
{
    return member->state == BV_MEMBER_DEAD || state->route->is_idempotent;
}

void
bv_calls_handle_member_change(bv_node_t *node, const bv_member_t *member)
{
    if (member->incarnation == 0) {
        return;
    }
    /* A restart raises the incarnation; all lower incarnations have ended. */
    bool is_dead = member->state == BV_MEMBER_DEAD;
    uint64_t gone_incarnation =
        is_dead ? member->incarnation : member->incarnation - 1;
    GPtrArray *calls = list_started_calls(node);
    for (guint i = 0; i < calls->len; i++) {
        bv_call_state_t *state = calls->pdata[i];
        if (!must_settle_attempts(state, member)) {
            continue;
        }
        bv_request_member_gone(state->request, node->now_us, member->name,
                               gone_incarnation);
        bv_calls_reschedule(node, state);
    }
    g_ptr_array_unref(calls);
    if (is_dead) {
        bv_outgoing_sessions_remove(node->outgoing_sessions, member->name);
    }
    else if (member->state == BV_MEMBER_LEFT) {
        bv_outgoing_sessions_member_left(node->outgoing_sessions, member->name,
                                         member->incarnation);
    }
}

void
bv_calls_tick(bv_node_t *node)
{
    for (;;) {
        bv_call_state_t *state = first_scheduled_call(node);
        if (state == NULL || state->due_us > node->now_us) {
            break;
        }
        if (bv_quotas_is_waiting(state)) {
            bv_quotas_end_wait(node, state, BV_REASON_EXPIRED);
            continue;
        }
        if (!bv_call_has_open_attempts(state)) {
            bv_keyed_expire(node, state);
            continue;
        }
        bv_request_tick(state->request, node->now_us);
        bv_calls_reschedule(node, state);
    }
    bv_calls_tick_sessions(node);
    bv_access_tick(node);
    bv_fair_shares_tick(node);
}

int64_t
bv_calls_next_due_us(const bv_node_t *node)
{
    const bv_call_state_t *state = first_scheduled_call(node);
    return state != NULL ? state->due_us : INT64_MAX;
}

uint32_t
bv_calls_count(const bv_node_t *node)
{
    return g_hash_table_size(node->calls);
}

/* Whether the call has provably not run: it waits before its first attempt. */
static bool
has_not_run(const bv_call_state_t *state)
{
    return state->key == NULL &&
           (bv_quotas_is_waiting(state) || state->memory_until_us > 0);
}

void
bv_calls_answer_unknown(bv_node_t *node)
{
    GList *states = g_hash_table_get_values(node->calls);
    const bv_reply_t not_run = {
        .status = 503,
        .outcome = BV_OUTCOME_NOT_RUN,
        .reason = BV_REASON_DRAINING,
    };
    const bv_reply_t unknown = {
        .status = 504,
        .outcome = BV_OUTCOME_UNKNOWN,
        .reason = BV_REASON_DRAINING,
    };
    for (GList *item = states; item != NULL; item = item->next) {
        bv_calls_finish(node, item->data,
                        has_not_run(item->data) ? &not_run : &unknown);
    }
    g_list_free(states);
    g_hash_table_remove_all(node->attempts);
    bv_access_answer_held(node);
}
