#include "network.h"

#define RETENTION_US 10000

bool
network_one_in(network_t *network, gint32 count)
{
    return g_rand_int_range(network->random, 0, count) == 0;
}

/* One in 16 pairs of session and target loses all its messages. */
static bool
is_on_broken_session(const message_t *message)
{
    return (message->session * 7 + (uint64_t)message->target) % 16 == 0;
}

void
network_send(network_t *network, message_t message)
{
    if (is_on_broken_session(&message) || network_one_in(network, 20)) {
        return;
    }
    message.is_copied = network_one_in(network, 20);
    g_array_append_val(network->messages, message);
    if (message.is_copied) {
        g_array_append_val(network->messages, message);
    }
}

static void
send_reply(network_t *network, const message_t *query, message_t reply)
{
    const target_t *target = &network->targets[query->target];
    reply.target = query->target;
    reply.caller_incarnation = query->caller_incarnation;
    reply.target_incarnation = target->incarnation;
    reply.session = query->session;
    reply.attempt = query->attempt;
    network_send(network, reply);
}

static void
send_refusal(network_t *network, const message_t *dispatch, bv_reason_t reason)
{
    message_t reply = {
        .kind = SEND_ANSWER,
        .outcome = BV_OUTCOME_NOT_RUN,
        .reason = reason,
        .credit = dispatch->credit,
    };
    send_reply(network, dispatch, reply);
}

static void
handle_dispatch(network_t *network, target_t *target, const message_t *message)
{
    if (message->target_incarnation != target->incarnation) {
        if (!message->is_copied) {
            send_refusal(network, message, BV_REASON_WRONG_INCARNATION);
        }
        return;
    }
    bv_attempt_key_t key = bv_attempt_key(
        NETWORK_CALLER, message->caller_incarnation, message->attempt);
    switch (bv_sessions_dispatch(target->sessions, &key, message->session)) {
    case BV_DISPATCH_STALE_SESSION:
    case BV_DISPATCH_CALLERS_FULL:
        send_refusal(network, message, BV_REASON_STALE_SESSION);
        return;
    case BV_DISPATCH_FENCED:
        send_refusal(network, message, BV_REASON_FENCED);
        return;
    case BV_DISPATCH_DUPLICATE:
    case BV_DISPATCH_FORGOTTEN:
        return;
    case BV_DISPATCH_ACCEPTED:
        break;
    }
    if (network_one_in(network, 20)) {
        bv_sessions_finish(target->sessions, network->now_us, &key, false);
        send_refusal(network, message, BV_REASON_QUEUE_FULL);
        return;
    }
    work_t *work = g_new0(work_t, 1);
    work->dispatch = *message;
    work->key = key;
    g_hash_table_replace(target->work, &work->key, work);
}

static void
handle_query(network_t *network, target_t *target, const message_t *message)
{
    if (message->target_incarnation != target->incarnation) {
        return;
    }
    bool is_fence = message->kind == SEND_FENCE;
    bv_attempt_key_t key = bv_attempt_key(
        NETWORK_CALLER, message->caller_incarnation, message->attempt);
    bv_sessions_open(target->sessions, NETWORK_CALLER,
                     message->caller_incarnation, message->session);
    message_t reply = {
        .kind = is_fence ? SEND_FENCED : SEND_PROGRESS,
        .served = is_fence ? bv_sessions_fence(target->sessions,
                                               network->now_us, &key)
                           : bv_sessions_fence_unseen(target->sessions,
                                                      network->now_us, &key),
    };
    work_t *work = g_hash_table_lookup(target->work, &key);
    if (work != NULL) {
        work->dispatch.session = message->session;
    }
    if (is_fence && reply.served == BV_SERVED_QUEUED) {
        g_hash_table_remove(target->work, &key);
    }
    const message_t *saved_answer = g_hash_table_lookup(target->answers, &key);
    if (reply.served == BV_SERVED_FINISHED && saved_answer != NULL) {
        network->resent++;
        send_reply(network, message, *saved_answer);
    }
    send_reply(network, message, reply);
}

static void
handle_cancel(network_t *network, target_t *target, const message_t *message)
{
    bv_attempt_key_t key = bv_attempt_key(
        NETWORK_CALLER, message->caller_incarnation, message->attempt);
    const work_t *work = g_hash_table_lookup(target->work, &key);
    if (work == NULL || work->started ||
        message->target_incarnation != target->incarnation) {
        return;
    }
    bv_sessions_finish(target->sessions, network->now_us, &key, false);
    send_refusal(network, &work->dispatch, BV_REASON_CANCELLED);
    g_hash_table_remove(target->work, &key);
}

void
network_deliver_to_target(network_t *network, const message_t *message)
{
    target_t *target = &network->targets[message->target];
    switch (message->kind) {
    case SEND_DISPATCH:
        handle_dispatch(network, target, message);
        break;
    case SEND_CANCEL:
        handle_cancel(network, target, message);
        break;
    default:
        handle_query(network, target, message);
        break;
    }
}

/*
 * Starts queued work, and checks that no work runs after a result of "not run"
 * and that work which is not idempotent runs at most once.
 */
static void
start_work(network_t *network, target_t *target, work_t *work)
{
    if (!bv_sessions_start(target->sessions, &work->key)) {
        ck_abort_msg("fenced work is still queued");
    }
    record_t *record = network->records->pdata[work->dispatch.serial];
    work->started = true;
    record->executions++;
    ck_assert(!record->is_reported_not_run);
    ck_assert(record->idempotent || record->executions == 1);
}

static void
finish_work(network_t *network, target_t *target, const work_t *work)
{
    bv_sessions_finish(target->sessions, network->now_us, &work->key, true);
    message_t reply = {
        .kind = SEND_ANSWER,
        .outcome =
            network_one_in(network, 10) ? BV_OUTCOME_UNKNOWN : BV_OUTCOME_RAN,
        .serial = work->dispatch.serial,
        .credit = work->dispatch.credit,
    };
    send_reply(network, &work->dispatch, reply);
    g_hash_table_replace(target->answers,
                         g_memdup2(&work->key, sizeof(work->key)),
                         g_memdup2(&reply, sizeof(reply)));
    g_hash_table_remove(target->work, &work->key);
}

void
network_advance_target(network_t *network, target_t *target)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, target->work);
    if (target->paused_until_us > network->now_us ||
        !g_hash_table_iter_next(&iterator, NULL, &value)) {
        return;
    }
    work_t *work = value;
    if (work->started) {
        finish_work(network, target, work);
        return;
    }
    start_work(network, target, work);
}

void
network_clear_target(target_t *target)
{
    bv_sessions_destroy(target->sessions);
    g_clear_pointer(&target->work, g_hash_table_destroy);
    g_clear_pointer(&target->answers, g_hash_table_destroy);
}

void
network_restart_target(target_t *target)
{
    bv_sessions_options_t options = {.retention_us = RETENTION_US};
    network_clear_target(target);
    target->incarnation++;
    target->sessions = bv_sessions_create(&options);
    target->work = g_hash_table_new_full(bv_attempt_key_hash,
                                         bv_attempt_key_equal, NULL, g_free);
    target->answers = g_hash_table_new_full(
        bv_attempt_key_hash, bv_attempt_key_equal, g_free, g_free);
}
