#include "fixture.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

/*
 * Guards against an order that runs more than once when it is repeated with
 * its key or ticket, at any node, while nodes, targets or the store fail.
 */

#define INSTANCES 3
#define WAIT_US (60 * BV_US_PER_S)
#define POLL_US 20000
#define REPEATS_LIMIT 60
#define FAULT_STEP_US 700000

static fixture_t *fixture;

/* An order and its answer; if the item is NULL, "one saddle" is ordered. */
typedef struct {
    size_t node;
    const char *key;
    const char *item;
    GThread *thread;
    uint16_t status;
    char *outcome;
    char *reason;
    char *ran_status;
    char *body;
} order_t;

static void
place_order(order_t *order)
{
    char *headers =
        g_strdup_printf("%s: %s\r\n", BV_HEADER_IDEMPOTENCY_KEY, order->key);
    bv_http_reply_t reply = cluster_call(
        cluster_ports(fixture->cluster, order->node)->outside, "POST",
        "/orders", headers, order->item != NULL ? order->item : "one saddle");
    gsize size;
    const char *body = g_bytes_get_data(reply.body, &size);
    order->status = reply.status;
    order->outcome = bv_headers_get(reply.headers, BV_HEADER_OUTCOME);
    order->reason = bv_headers_get(reply.headers, BV_HEADER_REASON);
    order->ran_status = bv_headers_get(reply.headers, BV_HEADER_RAN_STATUS);
    order->body = g_strndup(body, size);
    bv_http_reply_clear(&reply);
    g_free(headers);
}

static gpointer
run_order_thread(gpointer data)
{
    place_order(data);
    return NULL;
}

static void
start_order(order_t *order)
{
    order->thread = g_thread_new("order", run_order_thread, order);
}

static void
join_order(order_t *order)
{
    g_thread_join(order->thread);
}

static void
clear_order(order_t *order)
{
    g_free(order->outcome);
    g_free(order->reason);
    g_free(order->ran_status);
    g_free(order->body);
    memset(order, 0, sizeof(*order));
}

static bool
has_outcome(const order_t *order, const char *outcome)
{
    return order->outcome != NULL && strcmp(order->outcome, outcome) == 0;
}

/* Places an order and checks the outcome of its answer. */
static void
expect_outcome(size_t node, const char *key, const char *outcome)
{
    order_t order = {.node = node, .key = key};
    place_order(&order);
    ck_assert_msg(has_outcome(&order, outcome),
                  "key %s at node %zu: status %u, outcome %s, not %s", key,
                  node, order.status, order.outcome, outcome);
    clear_order(&order);
}

/* Repeats an order at one node after another until its outcome is "ran". */
static bool
repeat_until_ran(const char *key)
{
    bool ran = false;
    for (size_t i = 0; i < REPEATS_LIMIT && !ran; i++) {
        order_t order = {.node = i % INSTANCES, .key = key};
        place_order(&order);
        ran = has_outcome(&order, "ran");
        clear_order(&order);
    }
    return ran;
}

static void
wait_executed(const char *key)
{
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    while (fixture_executions(fixture, key) == 0) {
        ck_assert_msg(bv_clock_now_us() < end_us, "no target ran %s", key);
        usleep(POLL_US);
    }
}

static void
set_platform_faults(const char *json)
{
    ck_assert(cluster_set_faults(cluster_platform_port(fixture->cluster),
                                 "/control", json));
}

static void
clear_platform_faults(void)
{
    set_platform_faults("{\"mode\": \"up\", \"delay_ms\": 0, "
                        "\"lose_answers_percent\": 0}");
}

static void
set_target_faults(const char *json)
{
    for (size_t i = 0; i < INSTANCES; i++) {
        ck_assert(
            cluster_set_faults(cluster_ports(fixture->cluster, i)->target,
                               "/standin/control", json));
    }
}

static uint64_t
counter_sum(const char *counter)
{
    uint64_t total = 0;
    for (size_t i = 0; i < INSTANCES; i++) {
        total += fixture_counter(fixture, i, counter);
    }
    return total;
}

static void
kill_node(size_t node)
{
    cluster_signal(fixture->cluster, CLUSTER_NODE, node, SIGKILL);
    ck_assert_int_ge(
        cluster_wait_exit(fixture->cluster, CLUSTER_NODE, node, WAIT_US), 0);
}

static void
restart_node(size_t node)
{
    ck_assert(cluster_restart(fixture->cluster, CLUSTER_NODE, node, NULL));
    ck_assert(cluster_wait_health(fixture->cluster, node, 200, WAIT_US));
}

/* The same key is sent to all nodes at once, several times each. */
START_TEST(test_key_at_all_nodes)
{
    order_t orders[4 * INSTANCES] = {0};
    char key[32];
    g_snprintf(key, sizeof(key), "many-%02d", _i);
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        orders[i].node = i % INSTANCES;
        orders[i].key = key;
        start_order(&orders[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        join_order(&orders[i]);
        ck_assert_str_eq(orders[i].outcome, "ran");
        ck_assert_str_eq(orders[i].body, orders[0].body);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        clear_order(&orders[i]);
    }
    ck_assert_uint_eq(fixture_executions(fixture, key), 1);
}
END_TEST

static const char *const store_faults[] = {
    "{\"lose_answers_percent\": 70}", "{\"delay_ms\": 400}",
    "{\"delay_ms\": 900}", "{\"mode\": \"hang\"}", "{\"mode\": \"down\"}"};

/* Orders with one key are placed while the store fails, then repeated. */
START_TEST(test_store_recovers)
{
    order_t orders[2 * INSTANCES] = {0};
    char key[32];
    g_snprintf(key, sizeof(key), "store-%02d", _i);
    set_platform_faults(store_faults[_i]);
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        orders[i].node = i % INSTANCES;
        orders[i].key = key;
        start_order(&orders[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        join_order(&orders[i]);
        ck_assert_ptr_nonnull(orders[i].outcome);
    }
    size_t executions = fixture_executions(fixture, key);
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        ck_assert(!has_outcome(&orders[i], "ran") || executions == 1);
        clear_order(&orders[i]);
    }
    clear_platform_faults();
    ck_assert(repeat_until_ran(key));
    ck_assert_uint_eq(fixture_executions(fixture, key), 1);
}
END_TEST

/* An order must not run while its key cannot be claimed in the store. */
START_TEST(test_store_down_does_not_run)
{
    set_platform_faults("{\"mode\": \"down\"}");
    expect_outcome(0, "down-1", "unknown");
    ck_assert_uint_eq(fixture_executions(fixture, "down-1"), 0);
    clear_platform_faults();
    ck_assert(repeat_until_ran("down-1"));
    ck_assert_uint_eq(fixture_executions(fixture, "down-1"), 1);
}
END_TEST

/* The node that claims the key is paused before the store has answered. */
START_TEST(test_node_paused_while_claiming)
{
    order_t first = {.node = 0, .key = "pause-1"};
    set_platform_faults("{\"delay_ms\": 300}");
    start_order(&first);
    usleep(150000);
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGSTOP);
    expect_outcome(1, "pause-1", "unknown");
    expect_outcome(2, "pause-1", "unknown");
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGCONT);
    join_order(&first);
    clear_platform_faults();
    order_t again = {.node = 1, .key = "pause-1"};
    place_order(&again);
    ck_assert_uint_le(fixture_executions(fixture, "pause-1"), 1);
    ck_assert(!has_outcome(&again, "ran") ||
              fixture_executions(fixture, "pause-1") == 1);
    clear_order(&first);
    clear_order(&again);
}
END_TEST

/* The node that claimed the key is paused while the order runs. */
START_TEST(test_node_paused_while_running)
{
    order_t first = {.node = 0, .key = "pause-2"};
    set_target_faults("{\"slow_percent\": 50000}");
    start_order(&first);
    wait_executed("pause-2");
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGSTOP);
    expect_outcome(1, "pause-2", "unknown");
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGCONT);
    join_order(&first);
    set_target_faults("{\"slow_percent\": 100}");
    ck_assert(cluster_wait_health(fixture->cluster, 0, 200, WAIT_US));
    ck_assert_uint_eq(fixture_executions(fixture, "pause-2"), 1);
    clear_order(&first);
}
END_TEST

typedef struct {
    const char *key;
    const char *item;
} close_case_t;

/* libcurl repeats only requests without a body, which need no rewinding. */
static const close_case_t close_cases[] = {{"close-body", "one saddle"},
                                           {"close-empty", ""}};

/* libcurl repeats a request when a reused connection closes unanswered. */
START_TEST(test_target_closes)
{
    const close_case_t *row = &close_cases[_i];
    for (size_t i = 0; i < 10 * INSTANCES; i++) {
        bv_http_reply_t reply =
            cluster_call(cluster_ports(fixture->cluster, 0)->outside, "GET",
                         "/orders", NULL, NULL);
        bv_http_reply_clear(&reply);
    }
    set_target_faults("{\"close_unanswered\": true}");
    for (size_t i = 0; i < 2 * (size_t)INSTANCES; i++) {
        order_t order = {
            .node = i % INSTANCES, .key = row->key, .item = row->item};
        place_order(&order);
        ck_assert_str_eq(order.outcome, "unknown");
        clear_order(&order);
    }
    set_target_faults("{\"close_unanswered\": false}");
    ck_assert_uint_eq(fixture_executions(fixture, row->key), 1);
}
END_TEST

/* The node that received the order is killed while the order runs. */
START_TEST(test_node_killed_while_running)
{
    order_t first = {.node = 0, .key = "killed-1"};
    set_target_faults("{\"slow_percent\": 50000}");
    start_order(&first);
    wait_executed("killed-1");
    kill_node(0);
    join_order(&first);
    ck_assert_ptr_null(first.outcome);
    set_target_faults("{\"slow_percent\": 100}");
    expect_outcome(1, "killed-1", "unknown");
    set_platform_faults("{\"mode\": \"down\"}");
    expect_outcome(2, "killed-1", "unknown");
    clear_platform_faults();
    restart_node(0);
    expect_outcome(0, "killed-1", "unknown");
    expect_outcome(2, "killed-1", "unknown");
    ck_assert_uint_eq(fixture_executions(fixture, "killed-1"), 1);
    clear_order(&first);
}
END_TEST

/* The node that received the order is killed after it stored the result. */
START_TEST(test_node_killed_after_result)
{
    uint64_t claims = fixture_counter(fixture, 0, "claims");
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    expect_outcome(0, "killed-2", "ran");
    while (fixture_counter(fixture, 0, "claims") < claims + 2) {
        ck_assert(bv_clock_now_us() < end_us);
        usleep(POLL_US);
    }
    usleep(POLL_US);
    kill_node(0);
    order_t again = {.node = 1, .key = "killed-2"};
    place_order(&again);
    ck_assert_str_eq(again.outcome, "ran");
    ck_assert_uint_eq(again.status, 409);
    ck_assert_str_eq(again.ran_status, "200");
    restart_node(0);
    ck_assert_uint_eq(fixture_executions(fixture, "killed-2"), 1);
    clear_order(&again);
}
END_TEST

static char *
fetch_ticket(size_t node)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, node)->outside, "GET",
                     "/orders", NULL, NULL);
    char *ticket = bv_headers_get(reply.headers, BV_HEADER_TICKET);
    bv_http_reply_clear(&reply);
    ck_assert_ptr_nonnull(ticket);
    return ticket;
}

/* Waits until nodes have stored all results, which they do up to 1 s late. */
static uint64_t
wait_for_steady_claims(void)
{
    uint64_t before = 0;
    uint64_t claims = counter_sum("claims");
    while (claims != before) {
        before = claims;
        usleep(3 * BV_US_PER_S);
        claims = counter_sum("claims");
    }
    return claims;
}

/* An order with a ticket runs once at whichever node, without store writes. */
START_TEST(test_ticket_at_all_nodes)
{
    char *ticket = fetch_ticket(0);
    uint64_t claims = wait_for_steady_claims();
    set_platform_faults("{\"mode\": \"down\"}");
    for (size_t i = 0; i < 2 * (size_t)INSTANCES; i++) {
        expect_outcome((i + 1) % INSTANCES, ticket, "ran");
    }
    clear_platform_faults();
    ck_assert_uint_eq(counter_sum("claims"), claims);
    ck_assert_uint_eq(fixture_executions(fixture, ticket), 1);
    g_free(ticket);
}
END_TEST

/* The last digit of a ticket is changed: no node may accept it. */
START_TEST(test_ticket_forged)
{
    char *ticket = fetch_ticket(0);
    char *last = ticket + strlen(ticket) - 1;
    *last = *last == '0' ? '1' : '0';
    order_t order = {.node = 0, .key = ticket};
    place_order(&order);
    ck_assert_uint_eq(order.status, 400);
    ck_assert_str_eq(order.outcome, "not-run");
    expect_outcome(1, ticket, "not-run");
    ck_assert_uint_eq(fixture_executions(fixture, ticket), 0);
    clear_order(&order);
    g_free(ticket);
}
END_TEST

/* The incarnation that issued the ticket has ended: the order never runs. */
START_TEST(test_ticket_orphaned)
{
    char *ticket = fetch_ticket(0);
    kill_node(0);
    order_t order = {.node = 1, .key = ticket};
    place_order(&order);
    ck_assert_str_eq(order.outcome, "unknown");
    restart_node(0);
    clear_order(&order);
    order.key = ticket;
    place_order(&order);
    ck_assert_str_eq(order.reason, "ticket_orphaned");
    clear_order(&order);
    expect_outcome(0, ticket, "unknown");
    expect_outcome(2, ticket, "unknown");
    ck_assert_uint_eq(fixture_executions(fixture, ticket), 0);
    g_free(ticket);
}
END_TEST

static const struct {
    const char *platform;
    const char *targets;
} faults[] = {
    {"{\"mode\": \"up\", \"delay_ms\": 0, \"lose_answers_percent\": 60}",
     "{\"close_unanswered\": true}"},
    {"{\"mode\": \"down\"}", "{\"close_unanswered\": false}"},
    {"{\"mode\": \"up\", \"delay_ms\": 400, \"lose_answers_percent\": 0}",
     "{\"close_unanswered\": true}"},
    {"{\"mode\": \"hang\", \"delay_ms\": 0}", "{\"close_unanswered\": false}"},
    {"{\"mode\": \"up\"}", "{\"slow_percent\": 20000}"},
    {"{\"mode\": \"up\"}", "{\"slow_percent\": 100}"},
};

static gpointer
run_fault_steps(gpointer data)
{
    gint *stop = data;
    for (size_t i = 0; !g_atomic_int_get(stop); i++) {
        set_platform_faults(faults[i % G_N_ELEMENTS(faults)].platform);
        set_target_faults(faults[i % G_N_ELEMENTS(faults)].targets);
        usleep(FAULT_STEP_US);
    }
    return NULL;
}

/* Callers repeat orders with and without a chosen key while faults change. */
START_TEST(test_load_under_faults)
{
    gint stop = 0;
    GThread *thread = g_thread_new("faults", run_fault_steps, &stop);
    int status = cluster_run_load(fixture->cluster,
                                  json_object_get(fixture->deployment, "load"),
                                  "once", NULL);
    g_atomic_int_set(&stop, 1);
    g_thread_join(thread);
    clear_platform_faults();
    set_target_faults("{\"slow_percent\": 100, \"close_unanswered\": false}");
    ck_assert_int_eq(status, 0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"key_at_all_nodes", test_key_at_all_nodes, 10},
        {"store_recovers", test_store_recovers, G_N_ELEMENTS(store_faults)},
        {"store_down_does_not_run", test_store_down_does_not_run, 1},
        {"node_paused_while_claiming", test_node_paused_while_claiming, 1},
        {"node_paused_while_running", test_node_paused_while_running, 1},
        {"connection_closed", test_target_closes, G_N_ELEMENTS(close_cases)},
        {"node_killed_while_running", test_node_killed_while_running, 1},
        {"node_killed_after_result", test_node_killed_after_result, 1},
        {"load_under_faults", test_load_under_faults, 1},
        {"ticket_at_all_nodes", test_ticket_at_all_nodes, 1},
        {"ticket_forged", test_ticket_forged, 1},
        {"ticket_orphaned", test_ticket_orphaned, 1},
        {NULL}};
    return fixture_run(&fixture, "once.json", "once", tests);
}
