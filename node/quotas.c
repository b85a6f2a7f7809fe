#include "berylvane/node/quotas.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/http_status.h"
#include "berylvane/core/quota_holder.h"
#include "berylvane/core/quota_lessor.h"
#include "berylvane/core/quota_members.h"
#include "berylvane/node/keyed.h"
#include "berylvane/peer/quota_codec.h"

#include <string.h>

/* Longer than an update takes to reach all members. */
#define SETTLE_US BV_US_PER_S
/* Longest time until all members see a new one. */
#define SEEN_BY_ALL_US (700 * BV_US_PER_MS)
/* Longer than the lifetime of a permit. */
#define HANDOVER_US (600 * BV_US_PER_MS)
#define OWN_SETTLE_US (SETTLE_US + SEEN_BY_ALL_US + HANDOVER_US)
/* Less than the shortest time from a suspicion to an eviction. */
#define SUSPENSION_US BV_US_PER_S
/* The stated delay is spread up to this part above the least. */
#define RETRY_SPREAD 0.5
#define RETRY_LEAST_US (50 * BV_US_PER_MS)
#define STATUS_ACCOUNTS_LIMIT 200
#define PERCENT 100.0

struct bv_quotas {
    bv_quota_members_t *members;
    bv_quota_lessor_t *lessor;
    bv_quota_holder_t *holder;
};

static bool
is_lessor(void *context, const char *account, uint32_t part)
{
    const bv_node_t *node = context;
    return bv_quota_members_is_lessor(node->quotas->members, account, part);
}

/* Applies the time, and returns it. Must precede each lending. */
static int64_t
advance(bv_node_t *node)
{
    bv_quotas_t *quotas = node->quotas;
    int64_t now_us = bv_clock_boot_us();
    if (bv_quota_members_tick(quotas->members, now_us,
                              bv_membership_is_cut_off(node->membership))) {
        bv_quota_lessor_forget(quotas->lessor, is_lessor, node);
    }
    return now_us;
}

static const char *
on_lessor(void *context, const char *account, uint32_t part,
          uint64_t *incarnation)
{
    const bv_node_t *node = context;
    return bv_quota_members_lessor(node->quotas->members, account, part,
                                   incarnation);
}

static bv_quota_reply_t
lend(bv_node_t *node, int64_t now_us, const bv_quota_request_t *request)
{
    const bv_quotas_t *quotas = node->quotas;
    bv_quota_reply_t reply = {
        .account = request->account,
        .part = request->part,
        .status = BV_QUOTA_NOT_LESSOR,
    };
    if (bv_quota_members_is_lessor(quotas->members, request->account,
                                   request->part)) {
        reply = bv_quota_lessor_lend(
            quotas->lessor, now_us, bv_quota_members_since_us(quotas->members),
            request);
    }
    else {
        reply.retry_us = bv_quota_members_wait_us(quotas->members, now_us);
    }
    bv_counter_add(reply.status == BV_QUOTA_GRANTED ? BV_COUNT_QUOTA_LENT
                                                    : BV_COUNT_QUOTA_NOT_LENT,
                   reply.status == BV_QUOTA_GRANTED ? reply.granted : 1);
    return reply;
}

static void
ask_self(bv_node_t *node, uint64_t sequence,
         const bv_quota_request_t *requests, uint32_t count)
{
    int64_t now_us = advance(node);
    for (uint32_t i = 0; i < count; i++) {
        bv_quota_reply_t reply = lend(node, now_us, &requests[i]);
        bv_quota_holder_handle_reply(node->quotas->holder, now_us, sequence,
                                     &reply);
    }
}

static void
on_ask(void *context, const char *lessor, uint64_t incarnation,
       uint64_t sequence, const bv_quota_request_t *requests, uint32_t count)
{
    bv_node_t *node = context;
    if (strcmp(lessor, node->settings->name) == 0) {
        ask_self(node, sequence, requests, count);
        return;
    }
    bv_peer_message_t *message = bv_peer_message_create(BV_PEER_QUOTA_REQUEST);
    message->to_incarnation = incarnation;
    message->attempt = sequence;
    message->body = bv_quota_requests_encode(requests, count);
    bv_counter_add(BV_COUNT_QUOTA_ASKED, 1);
    bv_peers_send(node, lessor, message);
}

static void
record_charge(bv_node_t *node, const bv_call_state_t *state)
{
    static const char *const sources[] = {
        [BV_QUOTA_FROM_STOCK] = "stock",
        [BV_QUOTA_FROM_LESSOR] = "lessor",
        [BV_QUOTA_FROM_FLOOR] = "floor",
    };
    bv_decision_t decision = {
        .kind = BV_DECISION_CHARGED,
        .request = state->id,
        .subject = sources[state->permit.source],
        .label = state->call->label,
        .left_us = state->deadline_us - node->now_us,
        .took_us = MAX(0, node->now_us - state->call->arrived_us),
    };
    if (state->permit.source == BV_QUOTA_FROM_FLOOR) {
        bv_counter_add(BV_COUNT_QUOTA_FLOOR, 1);
    }
    bv_node_record_decision(node, &decision);
}

static void
start(bv_node_t *node, bv_call_state_t *state, const bv_quota_permit_t *permit)
{
    state->permit = *permit;
    state->waits_for_permit = false;
    record_charge(node, state);
    bv_calls_start_attempts(node, state);
}

/* Answers a call that has not run; a call with a key through its key. */
static void
answer(bv_node_t *node, bv_call_state_t *state, uint16_t status,
       bv_reason_t reason)
{
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_NOT_RUN,
        .reason = reason,
    };
    if (state->holds_key) {
        bv_keyed_settle(node, state, &reply);
        return;
    }
    bv_calls_finish(node, state, &reply);
}

/*
 * Callers that were refused together are told different times, so that they
 * do not return together.
 */
static int64_t
spread_retry_us(bv_node_t *node, int64_t retry_us)
{
    double spread = 1 + RETRY_SPREAD * g_rand_double(node->random);
    return (int64_t)((double)MAX(retry_us, RETRY_LEAST_US) * spread);
}

int64_t
bv_quotas_least_retry_us(bv_node_t *node)
{
    return spread_retry_us(node, RETRY_LEAST_US);
}

static void
refuse(bv_node_t *node, bv_call_state_t *state, int64_t retry_us)
{
    state->waits_for_permit = false;
    state->quota_retry_us = spread_retry_us(node, retry_us);
    bv_node_count_reason(BV_REASON_QUOTA);
    answer(node, state, BV_STATUS_TOO_MANY_REQUESTS, BV_REASON_QUOTA);
}

/* Returns NULL if the call was observed only, and has started or ended. */
static bv_call_state_t *
find_waiting(const bv_node_t *node, uint64_t waiter)
{
    bv_call_state_t *state = bv_calls_find(node, waiter);
    return state != NULL && state->waits_for_permit ? state : NULL;
}

/* The permit of a call that was observed only is used up. */
static void
on_admitted(void *context, uint64_t waiter, const bv_quota_permit_t *permit)
{
    bv_call_state_t *state = find_waiting(context, waiter);
    if (state != NULL) {
        start(context, state, permit);
    }
}

static void
on_refused(void *context, uint64_t waiter, int64_t retry_us)
{
    bv_call_state_t *state = find_waiting(context, waiter);
    if (state == NULL) {
        bv_node_count_reason(BV_REASON_QUOTA);
        return;
    }
    refuse(context, state, retry_us);
}

static const bv_quota_holder_ops_t holder_ops = {
    .lessor = on_lessor,
    .ask = on_ask,
    .admitted = on_admitted,
    .refused = on_refused,
};

void
bv_quotas_create(bv_node_t *node)
{
    bv_quotas_t *quotas = g_new0(bv_quotas_t, 1);
    bv_quota_members_options_t members = {
        .incarnation = node->incarnation,
        .settle_us = SETTLE_US,
        .own_settle_us = OWN_SETTLE_US,
        .handover_us = HANDOVER_US,
        .suspension_us = SUSPENSION_US,
    };
    bv_quota_holder_options_t holder = {.ops = &holder_ops, .context = node};
    g_strlcpy(members.name, node->settings->name, BV_NAME_BYTES);
    g_strlcpy(holder.name, node->settings->name, BV_NAME_BYTES);
    quotas->members = bv_quota_members_create(&members, bv_clock_boot_us());
    quotas->lessor = bv_quota_lessor_create();
    quotas->holder = bv_quota_holder_create(&holder);
    node->quotas = quotas;
}

void
bv_quotas_destroy(bv_node_t *node)
{
    bv_quotas_t *quotas = node->quotas;
    bv_quota_members_destroy(quotas->members);
    bv_quota_lessor_destroy(quotas->lessor);
    bv_quota_holder_destroy(quotas->holder);
    g_free(quotas);
}

static bool
is_charged(const bv_call_state_t *state)
{
    return state->call->is_outside && state->account != NULL &&
           state->account->rate_per_s > 0 && !state->bypasses_admission;
}

/*
 * In observe mode the call is charged, but neither waits nor is refused. Its
 * entry in the holder's queue stays, so that a permit is requested for it and
 * a refusal is counted; the answer does not affect the call.
 */
static void
begin_observed(bv_node_t *node, bv_call_state_t *state,
               bv_quota_verdict_t verdict, const bv_quota_permit_t *permit)
{
    if (verdict == BV_QUOTA_REFUSED) {
        bv_node_count_reason(BV_REASON_QUOTA);
    }
    state->permit = *permit;
    bv_calls_start_attempts(node, state);
}

void
bv_quotas_begin(bv_node_t *node, bv_call_state_t *state)
{
    bv_quota_permit_t permit = {0};
    int64_t retry_us = 0;
    if (!is_charged(state)) {
        bv_calls_start_attempts(node, state);
        return;
    }
    bv_quota_verdict_t verdict = bv_quota_holder_charge(
        node->quotas->holder, advance(node), state->account->name, state->tag,
        &permit, &retry_us);
    if (state->route->mode == BV_MODE_OBSERVE) {
        begin_observed(node, state, verdict, &permit);
        return;
    }
    switch (verdict) {
    case BV_QUOTA_ADMITTED:
        start(node, state, &permit);
        return;
    case BV_QUOTA_REFUSED:
        refuse(node, state, retry_us);
        return;
    case BV_QUOTA_WAITING:
        state->waits_for_permit = true;
        bv_calls_reschedule(node, state);
        return;
    }
}

bool
bv_quotas_is_waiting(const bv_call_state_t *state)
{
    return state->waits_for_permit;
}

static void
leave(const bv_node_t *node, bv_call_state_t *state)
{
    if (state->waits_for_permit) {
        state->waits_for_permit = false;
        bv_quota_holder_leave(node->quotas->holder, state->account->name,
                              state->tag);
    }
}

void
bv_quotas_end_wait(bv_node_t *node, bv_call_state_t *state, bv_reason_t reason)
{
    leave(node, state);
    answer(node, state, BV_STATUS_UNAVAILABLE, reason);
}

void
bv_quotas_settle(bv_node_t *node, bv_call_state_t *state, bv_outcome_t outcome)
{
    leave(node, state);
    if (outcome == BV_OUTCOME_NOT_RUN && state->permit.expires_us > 0) {
        bv_quota_permit_t permit = state->permit;
        state->permit.expires_us = 0;
        bv_quota_holder_return(node->quotas->holder, bv_clock_boot_us(),
                               state->account->name, &permit);
    }
}

void
bv_quotas_handle_request(bv_node_t *node, const bv_peer_message_t *message)
{
    bv_quota_requests_t requests;
    bv_quota_reply_t replies[BV_QUOTA_ENTRIES_LIMIT];
    bool is_own = message->to_incarnation == node->incarnation;
    if (!bv_quota_requests_decode(message->body, &requests)) {
        bv_counter_add(BV_COUNT_PEER_BAD, 1);
        bv_quota_requests_clear(&requests);
        return;
    }
    int64_t now_us = advance(node);
    for (uint32_t i = 0; i < requests.count; i++) {
        replies[i] = (bv_quota_reply_t){
            .account = requests.entries[i].account,
            .part = requests.entries[i].part,
            .status = BV_QUOTA_NOT_LESSOR,
        };
        if (is_own) {
            replies[i] = lend(node, now_us, &requests.entries[i]);
        }
    }
    bv_peer_message_t *reply = bv_peer_message_create(BV_PEER_QUOTA_REPLY);
    reply->body = bv_quota_replies_encode(replies, requests.count);
    bv_peers_answer(node, message, reply);
    bv_quota_requests_clear(&requests);
}

void
bv_quotas_handle_reply(bv_node_t *node, const bv_peer_message_t *message)
{
    bv_quota_replies_t replies;
    bool is_valid = bv_quota_replies_decode(message->body, &replies);
    if (!is_valid) {
        bv_counter_add(BV_COUNT_PEER_BAD, 1);
    }
    for (uint32_t i = 0; is_valid && i < replies.count; i++) {
        bv_quota_holder_handle_reply(node->quotas->holder, bv_clock_boot_us(),
                                     message->attempt, &replies.entries[i]);
    }
    bv_quota_replies_clear(&replies);
}

void
bv_quotas_handle_member(bv_node_t *node, const bv_member_t *member)
{
    bv_quota_members_update(node->quotas->members, bv_clock_boot_us(), member);
}

static void
apply_account(void *context, const bv_account_t *account)
{
    const bv_node_t *node = context;
    int64_t now_us = bv_clock_boot_us();
    bv_quota_limit_t limit = {account->rate_per_s, account->burst};
    bv_quota_lessor_set_limit(node->quotas->lessor, now_us, account->name,
                              &limit);
    if (limit.rate_per_s > 0) {
        bv_quota_holder_set_limit(node->quotas->holder, account->name, &limit);
    }
}

static bool
is_configured(void *context, const char *name)
{
    const bv_node_t *node = context;
    return node->config->accounts != NULL &&
           bv_accounts_find(node->config->accounts, name) != NULL;
}

static bool
has_limit(void *context, const char *name)
{
    const bv_node_t *node = context;
    return is_configured(context, name) &&
           bv_accounts_find(node->config->accounts, name)->rate_per_s > 0;
}

void
bv_quotas_apply_config(bv_node_t *node)
{
    bv_quota_lessor_retain(node->quotas->lessor, is_configured, node);
    bv_quota_holder_retain(node->quotas->holder, has_limit, node);
    if (node->config->accounts != NULL) {
        bv_accounts_foreach(node->config->accounts, apply_account, node);
    }
}

void
bv_quotas_flush(bv_node_t *node)
{
    bv_quota_holder_flush(node->quotas->holder, bv_clock_boot_us());
}

void
bv_quotas_tick(bv_node_t *node)
{
    const bv_settings_t *settings = node->settings;
    const bv_quotas_t *quotas = node->quotas;
    bv_quota_bounds_t bounds = {
        .window_us = settings->quota_window_ms * BV_US_PER_MS,
        .overage = (double)settings->quota_overage_percent / PERCENT,
        .slack = (double)settings->quota_slack,
    };
    int64_t now_us = advance(node);
    bv_quota_lessor_set_bounds(quotas->lessor, now_us, &bounds);
    bool has_started = bv_quota_members_has_started(quotas->members, now_us);
    uint32_t members = bv_quota_members_most_seen(quotas->members);
    bv_quota_holder_set_floor(quotas->holder, &bounds,
                              has_started ? members : 0);
    bv_quota_holder_tick(quotas->holder, now_us);
}

static void
append_usage(void *context, const bv_quota_usage_t *usage)
{
    if (json_array_size(context) >= STATUS_ACCOUNTS_LIMIT) {
        return;
    }
    json_array_append_new(
        context, json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I}", "account",
                           usage->account, "admitted",
                           (json_int_t)usage->admitted, "admitted_from_floor",
                           (json_int_t)usage->admitted_from_floor, "refused",
                           (json_int_t)usage->refused, "stock",
                           (json_int_t)usage->stock, "waiting",
                           (json_int_t)usage->waiting, "silent_lessors",
                           (json_int_t)usage->silent_lessors));
}

static void
append_bucket(void *context, const bv_quota_bucket_t *bucket)
{
    if (json_array_size(context) >= STATUS_ACCOUNTS_LIMIT) {
        return;
    }
    json_array_append_new(
        context, json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I}", "account",
                           bucket->account, "part", (json_int_t)bucket->part,
                           "rate_per_s", (json_int_t)bucket->limit.rate_per_s,
                           "burst", (json_int_t)bucket->limit.burst, "granted",
                           (json_int_t)bucket->granted, "refused",
                           (json_int_t)bucket->refused, "permits",
                           (json_int_t)bucket->permits));
}

json_t *
bv_quotas_render(const bv_node_t *node)
{
    json_t *used = json_array();
    json_t *lent = json_array();
    bv_quota_holder_foreach(node->quotas->holder, append_usage, used);
    bv_quota_lessor_foreach(node->quotas->lessor, append_bucket, lent);
    json_t *quotas = NULL;
    if (json_array_size(used) + json_array_size(lent) > 0) {
        quotas = json_pack("{s:O, s:O}", "used", used, "lent", lent);
    }
    json_decref(used);
    json_decref(lent);
    return quotas;
}
