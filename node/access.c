#include "berylvane/node/access.h"

#include "berylvane/common/account_counters.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/gauges.h"
#include "berylvane/common/http_status.h"
#include "berylvane/core/access.h"

/* RFC 9110, section 11.6.1: a response 401 names the scheme. */
#define CHALLENGE "WWW-Authenticate: Bearer\r\n"
/* Bounds of held calls; a call beyond them is answered with 503 at once. */
#define HELD_CALLS_LIMIT 256
#define HELD_BYTES_LIMIT (4 * 1024 * 1024)
#define HELD_RETRY_AFTER_US BV_US_PER_S

/* What the decision about a held call depends on. */
typedef struct {
    uint64_t generation;
    bool is_behind;
    bool is_outdated;
} decision_inputs_t;

struct bv_access_gate {
    /* Secrets of the gossip key and of the previous one, if there is one. */
    bv_key_secret_t secrets[2];
    size_t secret_count;
    /* Of held_call_t, the oldest first. */
    GQueue held;
    size_t held_bytes;
    /* Last known basis, and whether it changed since calls were judged. */
    decision_inputs_t basis;
    bool has_basis_changed;
};

typedef struct {
    bv_call_t *call;
    int64_t due_us;
} held_call_t;

static void
add_secret(bv_access_gate_t *gate, const char *cluster_key)
{
    if (cluster_key != NULL &&
        bv_key_secret_derive(cluster_key,
                             &gate->secrets[gate->secret_count])) {
        gate->secret_count++;
    }
}

void
bv_access_create(bv_node_t *node)
{
    bv_access_gate_t *gate = g_new0(bv_access_gate_t, 1);
    g_queue_init(&gate->held);
    add_secret(gate, node->settings->gossip_key);
    add_secret(gate, node->settings->gossip_key_previous);
    node->access = gate;
}

void
bv_access_destroy(bv_node_t *node)
{
    g_queue_clear_full(&node->access->held, g_free);
    g_free(node->access);
}

/* Whether a newer configuration is known, was not rejected, and is awaited. */
static bool
is_behind(const bv_node_t *node)
{
    return bv_config_fetcher_wanted(node->config_fetcher)->generation >
           node->config->generation;
}

static bool
is_outdated(const bv_node_t *node)
{
    const bv_settings_t *settings = node->settings;
    return settings->revoke_fails_closed && settings->revoke_ms > 0 &&
           bv_gauge_age_us(BV_GAUGE_CONFIG_SOURCE_AGE, node->now_us) >=
               settings->revoke_ms * BV_US_PER_MS;
}

/* Whether the request that a call of the target names runs on the target. */
static bool
is_of_running_work(const bv_node_t *node, const bv_call_t *call)
{
    bv_id_t id;
    return call->request_id != NULL && bv_id_parse(call->request_id, &id) &&
           g_hash_table_contains(node->served_by_request, &id);
}

static bv_access_t
decide(const bv_node_t *node, const bv_call_t *call, const bv_config_t *config,
       const bv_route_t *route, const bv_account_t **account)
{
    bv_access_input_t input = {
        .accounts = config->accounts,
        .secrets = node->access->secrets,
        .secret_count = node->access->secret_count,
        .headers = call->headers,
        .is_outside = call->is_outside,
        .is_unverified =
            call->is_unverified && !is_of_running_work(node, call),
        .is_public = route != NULL && route->is_public,
        .is_behind = is_behind(node),
        .is_outdated = is_outdated(node),
    };
    return bv_access_decide(&input, account);
}

/* Decides about a call by the configuration in force. */
static bv_access_t
decide_now(const bv_node_t *node, const bv_call_t *call)
{
    const bv_account_t *account;
    if (node->config->accounts == NULL || !call->is_outside) {
        return BV_ACCESS_GRANTED;
    }
    const bv_route_t *route = bv_config_find_route(node->config, call->host,
                                                   call->method, call->path);
    return decide(node, call, node->config, route, &account);
}

static size_t
held_size(const bv_call_t *call)
{
    return call->body != NULL ? g_bytes_get_size(call->body) : 0;
}

static bool
has_room(const bv_access_gate_t *gate, const bv_call_t *call)
{
    return gate->held.length < HELD_CALLS_LIMIT &&
           gate->held_bytes + held_size(call) <= HELD_BYTES_LIMIT;
}

static void
update_basis(bv_node_t *node)
{
    bv_access_gate_t *gate = node->access;
    decision_inputs_t basis = {
        .generation = node->config->generation,
        .is_behind = is_behind(node),
        .is_outdated = is_outdated(node),
    };
    if (basis.generation != gate->basis.generation ||
        basis.is_behind != gate->basis.is_behind ||
        basis.is_outdated != gate->basis.is_outdated) {
        gate->basis = basis;
        gate->has_basis_changed = true;
    }
}

bool
bv_access_try_hold(bv_node_t *node, bv_call_t *call)
{
    bv_access_gate_t *gate = node->access;
    if (node->config == NULL || !is_behind(node) || !has_room(gate, call) ||
        decide_now(node, call) != BV_ACCESS_UNDECIDED) {
        return false;
    }
    held_call_t *held = g_new0(held_call_t, 1);
    held->call = call;
    held->due_us = node->now_us + BV_ACCESS_HOLD_US;
    if (call->timeout_us > 0) {
        held->due_us = MIN(held->due_us, call->arrived_us + call->timeout_us);
    }
    update_basis(node);
    g_queue_push_tail(&gate->held, held);
    gate->held_bytes += held_size(call);
    bv_counter_add(BV_COUNT_ACCESS_HELD, 1);
    return true;
}

/* Returns the next held call, which is no longer held; NULL at the end. */
static bv_call_t *
take_held(bv_access_gate_t *gate, GList *link)
{
    held_call_t *held = link->data;
    bv_call_t *call = held->call;
    gate->held_bytes -= held_size(call);
    g_queue_delete_link(&gate->held, link);
    g_free(held);
    return call;
}

static void
refuse_held(bv_node_t *node, bv_call_t *call)
{
    bv_reply_t reply = {
        .status = BV_STATUS_UNAVAILABLE,
        .outcome = call->idempotency_key != NULL ? BV_OUTCOME_UNKNOWN
                                                 : BV_OUTCOME_NOT_RUN,
        .reason = BV_REASON_CONFIG_BEHIND,
        .retry_after_us = HELD_RETRY_AFTER_US,
        .closes_connection = node->draining,
    };
    bv_decision_t decision = {
        .kind = BV_DECISION_ANSWERED,
        .reason = reply.reason,
        .outcome = reply.outcome,
        .number = reply.status,
        .label = call->label,
        .took_us = MAX(0, node->now_us - call->arrived_us),
    };
    bv_node_record_decision(node, &decision);
    bv_counter_add(BV_COUNT_ANSWERS_NOT_RUN, 1);
    bv_counter_add(BV_COUNT_ACCESS_UNDECIDED, 1);
    bv_account_counters_add(NULL, reply.status, true);
    bv_call_reply(call, &reply);
}

void
bv_access_tick(bv_node_t *node)
{
    bv_access_gate_t *gate = node->access;
    GList *next;
    if (gate->held.head == NULL) {
        return;
    }
    update_basis(node);
    /* Judging each call in each iteration would hash its key each time. */
    bool must_judge = gate->has_basis_changed;
    gate->has_basis_changed = false;
    for (GList *link = gate->held.head; link != NULL; link = next) {
        const held_call_t *held = link->data;
        next = link->next;
        if (must_judge &&
            decide_now(node, held->call) != BV_ACCESS_UNDECIDED) {
            bv_calls_start(node, take_held(gate, link));
        }
        else if (node->now_us >= held->due_us) {
            refuse_held(node, take_held(gate, link));
        }
    }
}

bool
bv_access_handle_caller_gone(bv_node_t *node, uint64_t tag)
{
    bv_access_gate_t *gate = node->access;
    for (GList *link = gate->held.head; link != NULL; link = link->next) {
        const held_call_t *held = link->data;
        if (held->call->tag == tag) {
            refuse_held(node, take_held(gate, link));
            return true;
        }
    }
    return false;
}

void
bv_access_answer_held(bv_node_t *node)
{
    bv_access_gate_t *gate = node->access;
    while (gate->held.head != NULL) {
        refuse_held(node, take_held(gate, gate->held.head));
    }
}

/* What is forwarded tells the target the account, and not the key. */
static void
apply_account(const bv_node_t *node, bv_call_state_t *state)
{
    bv_call_t *call = state->call;
    const char *name = state->account != NULL ? state->account->name : NULL;
    char *headers = bv_access_forwarded_headers(
        call->headers, node->dialect->account_header, name);
    g_free(call->headers);
    call->headers = headers;
    if (call->is_outside) {
        g_free(state->customer);
        state->customer = g_strdup(name);
    }
}

bool
bv_access_admit(bv_node_t *node, bv_call_state_t *state, bv_reply_t *refusal)
{
    if (state->config->accounts == NULL) {
        return true;
    }
    switch (decide(node, state->call, state->config, state->route,
                   &state->account)) {
    case BV_ACCESS_GRANTED:
        apply_account(node, state);
        return true;
    case BV_ACCESS_DENIED:
        bv_counter_add(BV_COUNT_ACCESS_DENIED, 1);
        refusal->status = BV_STATUS_UNAUTHORIZED;
        refusal->reason = BV_REASON_UNAUTHORIZED;
        refusal->headers = CHALLENGE;
        return false;
    case BV_ACCESS_UNVERIFIED:
        bv_counter_add(BV_COUNT_ACCESS_UNVERIFIED, 1);
        refusal->status = BV_STATUS_UNAVAILABLE;
        refusal->reason = BV_REASON_UNAUTHORIZED;
        return false;
    case BV_ACCESS_UNDECIDED:
    case BV_ACCESS_OUTDATED:
        bv_counter_add(BV_COUNT_ACCESS_UNDECIDED, 1);
        refusal->status = BV_STATUS_UNAVAILABLE;
        refusal->reason = BV_REASON_CONFIG_BEHIND;
        return false;
    }
    return false;
}

uint16_t
bv_access_check_head(void *context, const bv_call_t *call)
{
    bv_node_t *node = context;
    if (node->config == NULL || node->draining ||
        call->kind != BV_CALL_REQUEST ||
        decide_now(node, call) != BV_ACCESS_DENIED) {
        return 0;
    }
    bv_decision_t decision = {
        .kind = BV_DECISION_ANSWERED,
        .reason = BV_REASON_UNAUTHORIZED,
        .outcome = BV_OUTCOME_NOT_RUN,
        .number = BV_STATUS_UNAUTHORIZED,
        .label = call->label,
    };
    bv_node_record_decision(node, &decision);
    bv_counter_add(BV_COUNT_ACCESS_DENIED, 1);
    bv_account_counters_add(NULL, BV_STATUS_UNAUTHORIZED, true);
    return BV_STATUS_UNAUTHORIZED;
}

/* A full queue drops the work of the least priority. */
static bool
is_refused_by_priority(const bv_reply_t *reply)
{
    return reply->outcome != BV_OUTCOME_RAN &&
           (reply->reason == BV_REASON_THRESHOLD ||
            reply->reason == BV_REASON_QUEUE_FULL);
}

void
bv_access_count_reply(const bv_call_state_t *state, const bv_reply_t *reply)
{
    if (state->config == NULL || state->config->accounts == NULL ||
        !state->call->is_outside || state->forwarded_message != NULL) {
        return;
    }
    bv_account_counters_add(state->account != NULL ? state->account->name
                                                   : NULL,
                            reply->status, reply->outcome != BV_OUTCOME_RAN);
    if (state->account != NULL && is_refused_by_priority(reply)) {
        bv_account_counters_add_refused(state->account->name);
    }
}
