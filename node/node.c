#include "berylvane/node/node.h"
#include "berylvane/node/configs.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/common/shutdown.h"
#include "berylvane/node/access.h"
#include "berylvane/node/call.h"
#include "berylvane/node/departures.h"
#include "berylvane/node/fair_shares.h"
#include "berylvane/node/memory.h"
#include "berylvane/node/quotas.h"

#include <string.h>

#define EVENT_RING_CAPACITY 16384
#define STORE_RING_CAPACITY 4096
#define SPAN_RING_CAPACITY 8192
#define TARGET_IDLE_CONNECTIONS_LIMIT 512
#define TARGET_ANSWER_LIMIT_BYTES BV_PEER_BODY_LIMIT_BYTES
#define TARGET_ANSWERS_LIMIT_BYTES (48 * 1024 * 1024)
#define SESSION_RETENTION_US (120 * BV_US_PER_S)
#define SETTLED_ATTEMPTS_LIMIT 65536
#define SESSION_CALLERS_LIMIT 65536
#define ANSWER_CACHE_LIMIT_BYTES (8 * 1024 * 1024)
#define JOURNAL_CAPACITY 8192
/*
 * Longest path, and longest header lines, of a caller that any peer accepts:
 * lines grow by up to a quarter when they are written anew.
 */
#define CALLER_HEADERS_LIMIT_BYTES (BV_PEER_HEADERS_LIMIT_BYTES / 2)
#define CLOSE_WAIT_US (5 * BV_US_PER_MS)

static bool
on_call(void *context, bv_call_t *call)
{
    return bv_node_post(context, bv_calls_receive, call);
}

static void
on_caller_gone(void *context, uint64_t tag)
{
    bv_node_post(context, bv_calls_handle_caller_gone,
                 g_memdup2(&tag, sizeof(tag)));
}

static bool
on_query(void *context, bv_call_t *call)
{
    return bv_node_post(context, bv_status_handle_query, call);
}

static void
on_message(void *context, bv_peer_message_t *message)
{
    bv_node_post_blocking(context, bv_peers_handle_message, message);
}

static void
on_result(void *context, bv_target_result_t *result)
{
    bv_node_post_blocking(context, bv_serve_handle_result, result);
}

static bool
may_read_answer(void *context, size_t bytes, bool has_turn)
{
    return bv_memory_may_receive(context, bytes, has_turn);
}

static void
handle_era(bv_node_t *node, void *data)
{
    int64_t *era = data;
    bv_counter_add(BV_COUNT_STORE_RESTORES, 1);
    bv_log(BV_LOG_WARN, "store_restored", "era", BV_NUM(*era), NULL);
    bv_rendezvous_renew(node);
    bv_departures_handle_restore(node);
    bv_config_watch_restart(&node->config_watch, node->now_us);
    bv_keyed_handle_restore(node);
    g_free(era);
}

static void
on_era(void *context, int64_t era)
{
    bv_node_post_blocking(context, handle_era, g_memdup2(&era, sizeof(era)));
}

static void
create_core(bv_node_t *node)
{
    bv_sessions_options_t sessions = {
        .retention_us = SESSION_RETENTION_US,
        .settled_limit = SETTLED_ATTEMPTS_LIMIT,
        .callers_limit = SESSION_CALLERS_LIMIT,
    };
    bv_admission_options_t admission = {.slots = 0, .queue_limit = 1};
    bv_router_options_t router = {
        .placement = (bv_placement_mode_t)node->settings->placement,
        .random = node->random,
    };
    g_strlcpy(router.name, node->settings->name, BV_NAME_BYTES);
    g_strlcpy(router.data_centre, node->settings->data_centre, BV_NAME_BYTES);
    g_strlcpy(router.region, node->settings->region, BV_NAME_BYTES);
    node->journal = bv_journal_create(JOURNAL_CAPACITY);
    node->credits = bv_credits_create();
    node->sessions = bv_sessions_create(&sessions);
    bv_keyed_create(node);
    bv_access_create(node);
    bv_quotas_create(node);
    bv_fair_shares_create(node);
    node->admission = bv_admission_create(&admission);
    node->router = bv_router_create(&router);
    bv_node_placement_create(node);
    node->traffic_split = bv_traffic_split_create(node->random);
    node->retry_budgets = bv_retry_budgets_create();
    node->called_backpressure = bv_backpressure_table_create();
    node->downstream_backpressure = bv_backpressure_table_create();
    node->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    node->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    node->finished_calls =
        g_ptr_array_new_with_free_func(bv_call_state_destroy);
    node->call_timers = g_sequence_new(NULL);
    bv_calls_create_sessions(node);
    node->answer_cache = bv_answer_cache_create(ANSWER_CACHE_LIMIT_BYTES);
    node->served_by_attempt =
        g_hash_table_new(bv_attempt_key_hash, bv_attempt_key_equal);
    node->served = g_hash_table_new(g_int64_hash, g_int64_equal);
    node->served_by_request = g_hash_table_new(bv_id_hash, bv_id_equal);
    bv_target_create(node);
    g_queue_init(&node->loopback_messages);
    g_queue_init(&node->local_events);
}

static void
start_clients(bv_node_t *node)
{
    const bv_settings_t *settings = node->settings;
    bv_store_options_t store = {
        .url = settings->platform_url,
        .timeout_us = settings->store_timeout_ms * BV_US_PER_MS,
        .ring_capacity = STORE_RING_CAPACITY,
        .on_era = on_era,
        .context = node,
    };
    bv_target_client_options_t target = {
        .kept_connections = TARGET_IDLE_CONNECTIONS_LIMIT,
        .answer_limit_bytes = TARGET_ANSWER_LIMIT_BYTES,
        .answers_limit_bytes = TARGET_ANSWERS_LIMIT_BYTES,
        .dialect = node->dialect->target.write_head != NULL
                       ? &node->dialect->target
                       : NULL,
        .may_read = may_read_answer,
        .on_result = on_result,
        .context = node,
    };
    bv_exporter_options_t exporter = {
        .url = settings->collector_url,
        .name = settings->name,
        .ring_capacity = SPAN_RING_CAPACITY,
    };
    node->store = bv_store_start(node->pool, &store);
    node->target_client = bv_target_client_start(node->pool, &target);
    if (settings->collector_url != NULL) {
        node->exporter = bv_exporter_start(node->pool, &exporter);
    }
}

static size_t
peer_intake_bytes(void *context)
{
    return bv_memory_peer_intake_bytes(context);
}

static bool
start_link(bv_node_t *node, GError **error)
{
    const bv_settings_t *settings = node->settings;
    bv_link_options_t options = {
        .name = settings->name,
        .address = settings->address,
        .port = (uint16_t)settings->peer_port,
        .public_key = settings->curve_public_key,
        .secret_key = settings->curve_secret_key,
        .intake_bytes = peer_intake_bytes,
        .bounds_received = settings->memory_limit_mb > 0,
        .on_message = on_message,
        .context = node,
    };
    node->link = bv_link_start(node->pool, &options, error);
    return node->link != NULL;
}

static bv_listener_limits_t
settings_limits(const bv_settings_t *settings)
{
    return (bv_listener_limits_t){
        .body_bytes = (uint32_t)settings->body_limit_bytes,
        .carried_body_bytes = BV_PEER_BODY_LIMIT_BYTES,
        .read_ahead_requests = (uint32_t)settings->read_ahead_requests,
        .read_ahead_bytes = (uint32_t)settings->read_ahead_bytes,
    };
}

static bool
start_listener(bv_node_t *node, bv_listener_role_t role,
               const bv_endpoint_t *endpoint, GError **error)
{
    bool takes_calls =
        role == BV_LISTENER_OUTSIDE || role == BV_LISTENER_LOCAL;
    bv_listener_options_t options = {
        .address = endpoint->address,
        .port = endpoint->port,
        .role = role,
        .limits = settings_limits(node->settings),
        .dialect = node->dialect->caller.read_head != NULL
                       ? &node->dialect->caller
                       : NULL,
        .on_call = on_call,
        .check_head =
            role == BV_LISTENER_OUTSIDE ? bv_access_check_head : NULL,
        .may_run_ahead = takes_calls ? bv_calls_may_run_ahead : NULL,
        .on_disconnect = takes_calls ? on_caller_gone : NULL,
        .is_threadless = true,
        .budget = node->memory_budget,
        .connections_limit = bv_memory_connections_limit(node, role),
        .context = node,
    };
    if (endpoint->port == 0) {
        return true;
    }
    node->listeners[role] = bv_listener_start(&options, error);
    if (node->listeners[role] == NULL) {
        return false;
    }
    bv_loop_add_listener(node, role);
    return true;
}

static bool
start_listeners(bv_node_t *node, GError **error)
{
    const bv_settings_t *settings = node->settings;
    bv_operator_listener_options_t operators = {
        .address = settings->operators.address,
        .port = settings->operators.port,
        .token = settings->operator_token,
        .on_query = on_query,
        .context = node,
    };
    const bv_endpoint_t *endpoints[BV_LISTENER_ROLE_END] = {
        [BV_LISTENER_OUTSIDE] = &settings->outside,
        [BV_LISTENER_LOCAL] = &settings->local,
        [BV_LISTENER_CONTROL] = &settings->control,
        [BV_LISTENER_READINESS] = &settings->ready,
    };
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        if (!start_listener(node, (bv_listener_role_t)role, endpoints[role],
                            error)) {
            return false;
        }
    }
    node->operator_listener = bv_operator_listener_start(&operators, error);
    return node->operator_listener != NULL;
}

void
bv_node_apply_caller_limits(bv_node_t *node)
{
    const bv_caller_limits_t *callers = &node->config->caller_limits;
    bv_listener_limits_t limits = {
        .header_bytes = MIN(callers->header_bytes, CALLER_HEADERS_LIMIT_BYTES),
        .body_bytes = callers->body_bytes,
        .header_timeout_us = callers->header_timeout_us,
        .idle_timeout_us = callers->idle_timeout_us,
    };
    if (node->listeners[BV_LISTENER_OUTSIDE] != NULL) {
        bv_listener_set_limits(node->listeners[BV_LISTENER_OUTSIDE], &limits);
    }
}

void
bv_node_apply_listener_settings(bv_node_t *node)
{
    bv_listener_limits_t limits = settings_limits(node->settings);
    bv_memory_apply_settings(node);
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        if (node->listeners[role] != NULL) {
            bv_listener_set_limits(node->listeners[role], &limits);
        }
    }
    if (node->config != NULL) {
        bv_node_apply_caller_limits(node);
    }
}

bv_node_t *
bv_node_create(apr_pool_t *pool, bv_settings_t *settings,
               const bv_dialect_t *dialect, GError **error)
{
    bv_node_t *node = g_new0(bv_node_t, 1);
    node->dialect = dialect;
    node->settings = settings;
    node->pool = pool;
    node->incarnation = (uint64_t)bv_clock_wall_us();
    node->random = g_rand_new();
    node->thread = pthread_self();
    node->now_us = bv_clock_now_us();
    node->started_us = node->now_us;
    node->events = bv_ring_create(pool, EVENT_RING_CAPACITY);
    bv_memory_create(node);
    create_core(node);
    if (!bv_members_create(node, error) || !start_link(node, error)) {
        return NULL;
    }
    start_clients(node);
    bv_rendezvous_create(node);
    bv_departures_create(node);
    bv_configs_create(node);
    bv_loop_create(node);
    if (!start_listeners(node, error)) {
        return NULL;
    }
    return node;
}

static void
request(bv_node_t *node, gint *is_requested)
{
    g_atomic_int_set(is_requested, 1);
    bv_ring_wake_consumer(node->events);
}

void
bv_node_request_drain(bv_node_t *node)
{
    request(node, &node->is_drain_requested);
}

void
bv_node_request_reload(bv_node_t *node)
{
    request(node, &node->is_reload_requested);
}

void
bv_node_run_requests(bv_node_t *node)
{
    if (g_atomic_int_compare_and_exchange(&node->is_reload_requested, 1, 0)) {
        bv_node_reload(node);
    }
    if (g_atomic_int_compare_and_exchange(&node->is_drain_requested, 1, 0)) {
        bv_node_start_drain(node);
    }
}

static void
destroy_core(bv_node_t *node)
{
    g_ptr_array_unref(node->finished_calls);
    g_hash_table_destroy(node->calls);
    g_hash_table_destroy(node->attempts);
    g_sequence_free(node->call_timers);
    bv_outgoing_sessions_destroy(node->outgoing_sessions);
    bv_answer_cache_destroy(node->answer_cache);
    g_hash_table_destroy(node->served_by_attempt);
    g_hash_table_destroy(node->served);
    g_hash_table_destroy(node->served_by_request);
    bv_journal_destroy(node->journal);
    bv_membership_destroy(node->membership);
    bv_router_destroy(node->router);
    bv_node_placement_destroy(node);
    bv_traffic_split_destroy(node->traffic_split);
    bv_retry_budgets_destroy(node->retry_budgets);
    bv_backpressure_table_destroy(node->called_backpressure);
    bv_backpressure_table_destroy(node->downstream_backpressure);
    bv_admission_destroy(node->admission);
    bv_departures_destroy(node);
    bv_fair_shares_destroy(node);
    bv_quotas_destroy(node);
    bv_keyed_destroy(node);
    bv_access_destroy(node);
    bv_sessions_destroy(node->sessions);
    bv_credits_destroy(node->credits);
    bv_config_unref(node->config);
    bv_config_fetcher_destroy(node->config_fetcher);
    g_clear_pointer(&node->bundle, g_bytes_unref);
}

bool
bv_node_answers_are_written(const bv_node_t *node)
{
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        if (node->listeners[role] != NULL &&
            !bv_listener_is_written(node->listeners[role])) {
            return false;
        }
    }
    return true;
}

static bool
listeners_are_idle(const bv_node_t *node)
{
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        if (node->listeners[role] != NULL &&
            !bv_listener_is_idle(node->listeners[role])) {
            return false;
        }
    }
    return bv_operator_listener_is_idle(node->operator_listener);
}

/*
 * Closes all listeners and runs the loop until they are idle, so that calls
 * that arrived while the drain ended still get an answer.
 */
static void
close_listeners(bv_node_t *node)
{
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        if (node->listeners[role] != NULL) {
            bv_listener_close(node->listeners[role]);
        }
    }
    bv_operator_listener_close(node->operator_listener);
    bv_departures_close(node);
    do {
        bv_calls_answer_unknown(node);
        bv_loop_run_once(node, CLOSE_WAIT_US);
    } while (!listeners_are_idle(node));
    /* Sends the last replies. */
    bv_loop_run_once(node, CLOSE_WAIT_US);
}

void
bv_node_destroy(bv_node_t *node)
{
    bv_shutdown_begin(BV_SHUTDOWN_LISTENERS);
    close_listeners(node);
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        bv_listener_stop(node->listeners[role]);
    }
    bv_shutdown_begin(BV_SHUTDOWN_OPERATORS);
    bv_operator_listener_stop(node->operator_listener);
    /*
     * While the thread of another client is joined, nobody handles the ring of
     * events; a flood of gossip could fill it, and the client's thread would
     * wait for room.
     */
    bv_shutdown_begin(BV_SHUTDOWN_GOSSIP);
    bv_gossip_stop(node->gossip);
    bv_loop_run_events(node);
    bv_shutdown_begin(BV_SHUTDOWN_TARGET);
    bv_target_client_stop(node->target_client);
    bv_loop_run_events(node);
    bv_shutdown_begin(BV_SHUTDOWN_STORE);
    bv_store_stop(node->store);
    bv_loop_run_events(node);
    bv_shutdown_begin(BV_SHUTDOWN_COLLECTOR);
    bv_exporter_stop(node->exporter);
    node->exporter = NULL;
    bv_shutdown_begin(BV_SHUTDOWN_PEERS);
    bv_link_stop(node->link);
    bv_shutdown_begin(BV_SHUTDOWN_STATE);
    bv_loop_run_events(node);
    bv_loop_run_events(node);
    bv_loop_destroy(node);
    g_queue_clear_full(&node->loopback_messages,
                       (GDestroyNotify)bv_peer_message_destroy);
    destroy_core(node);
    bv_memory_destroy(node);
    g_rand_free(node->random);
    g_free(node);
}
