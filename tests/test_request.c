#include "network.h"

#include <stdio.h>
#include <string.h>

#define OPEN_REQUESTS_LIMIT 32
#define MESSAGES_LIMIT 400
#define CREDITS 3
#define FENCE_BEFORE_US 8000
#define PAUSE_US 50000

static message_t
message_to_target(const network_t *network, const bv_attempt_t *attempt,
                  send_kind_t kind)
{
    return (message_t){
        .kind = kind,
        .target = attempt->member[0] - '0',
        .caller_incarnation = network->caller_incarnation,
        .target_incarnation = attempt->incarnation,
        .session = attempt->session,
        .attempt = attempt->id,
    };
}

static record_t *
record_of_request(const bv_request_t *request)
{
    return bv_request_call(request);
}

static bool
on_dispatch(void *context, bv_request_t *request, bv_attempt_kind_t kind,
            bv_attempt_t *attempt, bv_reason_t *reason)
{
    network_t *network = context;
    record_t *record = record_of_request(request);
    if ((kind == BV_RETRY || kind == BV_HEDGE) &&
        !bv_credits_spend(network->credits, &record->id)) {
        *reason = BV_REASON_NO_CREDIT;
        return false;
    }
    record->retries += kind == BV_RETRY || kind == BV_HEDGE;
    ck_assert_uint_le(record->retries, CREDITS);
    gint32 index = g_rand_int_range(network->random, 0, NETWORK_TARGETS);
    const target_t *target = &network->targets[index];
    g_strlcpy(attempt->member, target->name, BV_NAME_BYTES);
    attempt->id = ++network->next_attempt;
    attempt->incarnation = target->incarnation;
    attempt->session = bv_outgoing_sessions_current(
        network->outgoing, network->now_us, target->name, target->incarnation);
    attempt->loan = bv_credits_lend(network->credits, &record->id);
    message_t message = message_to_target(network, attempt, SEND_DISPATCH);
    message.credit = attempt->loan.amount;
    message.serial = record->serial;
    bv_outgoing_sessions_attempt_sent(network->outgoing, network->now_us,
                                      target->name);
    g_hash_table_insert(network->attempts,
                        g_memdup2(&attempt->id, sizeof(attempt->id)), record);
    network_send(network, message);
    return true;
}

static void
on_fence(void *context, bv_request_t *request, const bv_attempt_t *attempt)
{
    network_t *network = context;
    message_t message = message_to_target(network, attempt, SEND_FENCE);
    message.session = bv_outgoing_sessions_newer(
        network->outgoing, network->now_us, attempt->member,
        attempt->incarnation, attempt->session, attempt->last_fence_us);
    bv_request_find_attempt(request, attempt->id)->last_fence_us =
        network->now_us;
    network->fences++;
    network_send(network, message);
}

static void
on_cancel(void *context, bv_request_t *request, const bv_attempt_t *attempt)
{
    (void)request;
    network_send(context, message_to_target(context, attempt, SEND_CANCEL));
}

static void
on_answer(void *context, bv_request_t *request, const bv_call_result_t *result)
{
    network_t *network = context;
    record_t *record = record_of_request(request);
    const message_t *answer = result->detail;
    network->outcomes[result->outcome]++;
    network->retries += record->retries;
    if (result->outcome == BV_OUTCOME_NOT_RUN) {
        record->is_reported_not_run = true;
        ck_assert_uint_eq(record->executions, 0);
    }
    if (result->outcome == BV_OUTCOME_RAN) {
        ck_assert_ptr_eq(network->records->pdata[answer->serial], record);
        ck_assert_uint_ge(record->executions, 1);
    }
    bv_credits_close(network->credits, &record->id, 0);
}

static const bv_request_ops_t request_ops = {
    .dispatch = on_dispatch,
    .fence = on_fence,
    .cancel = on_cancel,
    .answer = on_answer,
};

static void
remove_answered_requests(network_t *network)
{
    for (guint i = network->open_records->len; i > 0; i--) {
        record_t *record = network->open_records->pdata[i - 1];
        if (!bv_request_is_done(record->request)) {
            continue;
        }
        const bv_attempt_t *attempts;
        uint32_t count = bv_request_attempts(record->request, &attempts);
        for (uint32_t j = 0; j < count; j++) {
            if (g_hash_table_remove(network->attempts, &attempts[j].id)) {
                bv_outgoing_sessions_attempt_settled(network->outgoing,
                                                     attempts[j].member);
            }
        }
        bv_request_destroy(record->request);
        record->request = NULL;
        g_ptr_array_remove_index_fast(network->open_records, i - 1);
    }
}

static void
begin_request(network_t *network)
{
    if (network->open_records->len >= OPEN_REQUESTS_LIMIT) {
        return;
    }
    record_t *record = g_new0(record_t, 1);
    record->serial = network->records->len;
    record->idempotent = network_one_in(network, 2);
    record->id = bv_id_random(network->random);
    bv_request_options_t options = {
        .id = record->id,
        .is_idempotent = record->idempotent,
        .deadline_us =
            network->now_us + g_rand_int_range(network->random, 20000, 60000),
        .fence_before_us = FENCE_BEFORE_US,
        .hedge_after_us = network_one_in(network, 2) ? 5000 : 0,
        .reroutes_limit = 2,
        .ops = &request_ops,
        .context = network,
        .call = record,
    };
    g_ptr_array_add(network->records, record);
    g_ptr_array_add(network->open_records, record);
    bv_credits_open(network->credits, &record->id, CREDITS);
    record->request = bv_request_create(&options);
    bv_request_start(record->request, network->now_us);
}

static void
deliver_to_caller(network_t *network, message_t *message)
{
    record_t *record =
        g_hash_table_lookup(network->attempts, &message->attempt);
    const char *name = network->targets[message->target].name;
    if (message->caller_incarnation != network->caller_incarnation) {
        return;
    }
    bv_outgoing_sessions_message_received(network->outgoing, network->now_us,
                                          name, message->session);
    if (record == NULL) {
        return;
    }
    bv_attempt_result_t result = {
        .attempt = message->attempt,
        .member = name,
        .incarnation = message->target_incarnation,
        .outcome = message->outcome,
        .reason = message->reason,
        .detail = message,
    };
    if (message->kind != SEND_ANSWER) {
        bool is_fence_reply = message->kind == SEND_FENCED;
        bool is_proof =
            message->served == BV_SERVED_UNSEEN ||
            message->served == BV_SERVED_FENCED ||
            (is_fence_reply && message->served == BV_SERVED_QUEUED);
        if (!is_proof && message->served != BV_SERVED_FORGOTTEN) {
            return;
        }
        result.outcome = is_proof ? BV_OUTCOME_NOT_RUN : BV_OUTCOME_UNKNOWN;
        result.reason = BV_REASON_FENCED;
        message->credit = 0;
    }
    if (!bv_request_owns_result(record->request, &result)) {
        return;
    }
    bv_attempt_t *attempt =
        bv_request_find_attempt(record->request, message->attempt);
    bv_credits_return(network->credits, &record->id, &attempt->loan,
                      message->credit);
    bv_outgoing_sessions_attempt_settled(network->outgoing, name);
    g_hash_table_remove(network->attempts, &message->attempt);
    bv_request_handle_result(record->request, network->now_us, &result);
}

static void
deliver_random_message(network_t *network)
{
    if (network->messages->len == 0) {
        return;
    }
    guint index = (guint)g_rand_int_range(network->random, 0,
                                          (gint32)network->messages->len);
    message_t message = g_array_index(network->messages, message_t, index);
    const target_t *target = &network->targets[message.target];
    bool is_to_caller = message.kind == SEND_ANSWER ||
                        message.kind == SEND_FENCED ||
                        message.kind == SEND_PROGRESS;
    if (!is_to_caller && target->paused_until_us > network->now_us) {
        return;
    }
    g_array_remove_index_fast(network->messages, index);
    if (is_to_caller) {
        deliver_to_caller(network, &message);
    }
    else {
        network_deliver_to_target(network, &message);
    }
}

static void
report_restart(network_t *network, const target_t *target)
{
    for (guint i = 0; i < network->open_records->len; i++) {
        record_t *record = network->open_records->pdata[i];
        bv_request_member_gone(record->request, network->now_us, target->name,
                               target->incarnation - 1);
    }
}

static void
on_request_progress(void *context, const char *member, uint64_t incarnation,
                    uint64_t session)
{
    network_t *network = context;
    message_t message = {
        .kind = SEND_PROGRESS_QUERY,
        .target = member[0] - '0',
        .caller_incarnation = network->caller_incarnation,
        .target_incarnation = incarnation,
        .session = session,
    };
    network_send(network, message);
}

static void
on_session_replaced(void *context, const char *member, uint64_t incarnation,
                    uint64_t session)
{
    network_t *network = context;
    network->replaced++;
    for (guint i = 0; i < network->open_records->len; i++) {
        const record_t *record = network->open_records->pdata[i];
        const bv_attempt_t *attempts;
        uint32_t count = bv_request_attempts(record->request, &attempts);
        for (uint32_t j = 0; j < count; j++) {
            if (strcmp(attempts[j].member, member) != 0 ||
                attempts[j].incarnation != incarnation) {
                continue;
            }
            message_t message =
                message_to_target(network, &attempts[j], SEND_PROGRESS_QUERY);
            message.session = session;
            network_send(network, message);
        }
    }
}

static void
on_silent(void *context, const char *member, uint64_t incarnation)
{
    const network_t *network = context;
    for (guint i = 0; i < network->open_records->len; i++) {
        const record_t *record = network->open_records->pdata[i];
        bv_request_member_silent(record->request, network->now_us, member,
                                 incarnation);
    }
}

static void
on_regained(void *context, const char *member, uint64_t incarnation)
{
    (void)context;
    (void)member;
    (void)incarnation;
}

static void
create_outgoing_sessions(network_t *network)
{
    bv_outgoing_sessions_options_t options = {
        .request_progress_after_us = 4000,
        .replace_after_us = 4000,
        .replace_limit_us = 20000,
        .probe_interval_us = 20000,
        .idle_limit_us = 100000,
        .request_progress = on_request_progress,
        .replaced = on_session_replaced,
        .silent = on_silent,
        .regained = on_regained,
        .context = network,
    };
    network->outgoing = bv_outgoing_sessions_create(&options);
}

/*
 * Restarts the caller: its state is lost, but its messages are still in
 * transit.
 */
static void
restart_caller(network_t *network)
{
    for (guint i = 0; i < network->open_records->len; i++) {
        record_t *record = network->open_records->pdata[i];
        bv_credits_close(network->credits, &record->id, 0);
        g_clear_pointer(&record->request, bv_request_destroy);
    }
    g_ptr_array_set_size(network->open_records, 0);
    g_hash_table_remove_all(network->attempts);
    bv_outgoing_sessions_destroy(network->outgoing);
    create_outgoing_sessions(network);
    network->caller_incarnation++;
    /* Attempt numbers repeat, as they do if a caller restarts soon after its
     * start. */
    network->next_attempt -= MIN(network->next_attempt, OPEN_REQUESTS_LIMIT);
}

static void
tick_caller(network_t *network)
{
    for (guint i = 0; i < network->open_records->len; i++) {
        record_t *record = network->open_records->pdata[i];
        if (bv_request_due_us(record->request) <= network->now_us) {
            bv_request_tick(record->request, network->now_us);
        }
    }
    bv_outgoing_sessions_tick(network->outgoing, network->now_us);
}

static void
run_fault(network_t *network, target_t *target)
{
    switch (g_rand_int_range(network->random, 0, 40)) {
    case 0:
        restart_caller(network);
        break;
    case 1:
    case 2:
        network->now_us += PAUSE_US;
        break;
    case 3:
    case 4:
    case 5:
        network_restart_target(target);
        break;
    case 6:
        report_restart(network, target);
        break;
    default:
        target->paused_until_us = network->now_us + PAUSE_US / 4;
        break;
    }
}

static void
run_random_event(network_t *network)
{
    gint32 kind = g_rand_int_range(network->random, 0, 1000);
    target_t *target =
        &network
             ->targets[g_rand_int_range(network->random, 0, NETWORK_TARGETS)];
    network->now_us += g_rand_int_range(network->random, 0, 100);
    if (kind < 2) {
        run_fault(network, target);
    }
    else if (kind < 100) {
        begin_request(network);
    }
    else if (kind < 600 || network->messages->len > MESSAGES_LIMIT) {
        deliver_random_message(network);
    }
    else if (kind < 850) {
        network_advance_target(network, target);
    }
    else if (kind < 900) {
        bv_sessions_tick(target->sessions, network->now_us);
    }
    else {
        tick_caller(network);
    }
    remove_answered_requests(network);
}

static void
create_network(network_t *network, guint32 seed)
{
    network->random = g_rand_new_with_seed(seed);
    network->caller_incarnation = 1;
    network->messages = g_array_new(FALSE, FALSE, sizeof(message_t));
    network->records = g_ptr_array_new_with_free_func(g_free);
    network->open_records = g_ptr_array_new();
    network->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    network->credits = bv_credits_create();
    create_outgoing_sessions(network);
    for (gint32 i = 0; i < NETWORK_TARGETS; i++) {
        g_snprintf(network->targets[i].name, BV_NAME_BYTES, "%d-target", i);
        network_restart_target(&network->targets[i]);
    }
}

static void
destroy_network(network_t *network)
{
    restart_caller(network);
    ck_assert_uint_eq(bv_credits_count(network->credits), 0);
    for (gint32 i = 0; i < NETWORK_TARGETS; i++) {
        network_clear_target(&network->targets[i]);
    }
    bv_outgoing_sessions_destroy(network->outgoing);
    bv_credits_destroy(network->credits);
    g_hash_table_destroy(network->attempts);
    g_ptr_array_unref(network->open_records);
    g_ptr_array_unref(network->records);
    g_array_unref(network->messages);
    g_rand_free(network->random);
}

/*
 * Guards against a call that runs after it was answered as not run, a call
 * that is not idempotent and runs twice, a call that gets the answer of
 * another one, and more retries than credits. Requests, sessions and credits
 * run against targets over a network that loses, reorders and duplicates
 * messages, while caller and targets pause and restart. The run must include
 * calls not run, answers sent again and replaced sessions.
 */
START_TEST(test_unreliable_network)
{
    support_random_run_t run = support_random_run((guint32)_i + 1, 1000000);
    network_t network = {0};
    create_network(&network, run.seed);
    for (uint64_t i = 0; i < run.events; i++) {
        run_random_event(&network);
    }
    printf("%u requests: %" G_GUINT64_FORMAT " ran, %" G_GUINT64_FORMAT
           " not run, %" G_GUINT64_FORMAT " unknown; %" G_GUINT64_FORMAT
           " retries, %" G_GUINT64_FORMAT " fences, %" G_GUINT64_FORMAT
           " answers resent, %" G_GUINT64_FORMAT " sessions replaced\n",
           network.records->len, (guint64)network.outcomes[BV_OUTCOME_RAN],
           (guint64)network.outcomes[BV_OUTCOME_NOT_RUN],
           (guint64)network.outcomes[BV_OUTCOME_UNKNOWN],
           (guint64)network.retries, (guint64)network.fences,
           (guint64)network.resent, (guint64)network.replaced);
    ck_assert_uint_gt(network.outcomes[BV_OUTCOME_NOT_RUN], 0);
    ck_assert_uint_gt(network.resent, 0);
    ck_assert_uint_gt(network.replaced, 0);
    destroy_network(&network);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {{"random", test_unreliable_network, 1},
                                    {NULL}};
    return support_run("request", tests);
}
