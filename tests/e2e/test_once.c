#include "fixture.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define INSTANCES 3
#define WAIT_US (60 * BV_US_PER_S)
#define POLL_US 20000
#define LONG_TRIES 60
#define SHAKE_US 700000

static fixture_t *fixture;

/* One order by a caller, and what it was told. */
typedef struct {
    size_t node;
    const char *key;
    /* What is ordered; NULL for one saddle. */
    const char *wish;
    GThread *thread;
    uint16_t status;
    char *outcome;
    char *reason;
    char *ran_status;
    char *body;
} order_t;

static void
place(order_t *order)
{
    char *headers =
        g_strdup_printf("%s: %s\r\n", BV_HEADER_IDEMPOTENCY_KEY, order->key);
    bv_http_reply_t reply = cluster_call(
        cluster_ports(fixture->cluster, order->node)->outside, "POST",
        "/orders", headers, order->wish != NULL ? order->wish : "one saddle");
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
place_in_thread(gpointer data)
{
    place(data);
    return NULL;
}

static void
start(order_t *order)
{
    order->thread = g_thread_new("order", place_in_thread, order);
}

static void
finish(order_t *order)
{
    g_thread_join(order->thread);
}

static void
clear(order_t *order)
{
    g_free(order->outcome);
    g_free(order->reason);
    g_free(order->ran_status);
    g_free(order->body);
    memset(order, 0, sizeof(*order));
}

static bool
told(const order_t *order, const char *outcome)
{
    return order->outcome != NULL && strcmp(order->outcome, outcome) == 0;
}

/* Places an order and checks what the caller is told. */
static void
expect(size_t node, const char *key, const char *outcome)
{
    order_t order = {.node = node, .key = key};
    place(&order);
    ck_assert_msg(told(&order, outcome), "%s at %zu: %u %s, not %s", key, node,
                  order.status, order.outcome, outcome);
    clear(&order);
}

/* Repeats an order, from node to node, until it is told `ran`. */
static bool
repeat_until_ran(const char *key)
{
    bool ran = false;
    for (size_t i = 0; i < LONG_TRIES && !ran; i++) {
        order_t order = {.node = i % INSTANCES, .key = key};
        place(&order);
        ran = told(&order, "ran");
        clear(&order);
    }
    return ran;
}

static void
wait_executed(const char *key)
{
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    while (fixture_executions(fixture, key) == 0) {
        ck_assert_msg(bv_clock_now_us() < end_us, "%s did not run", key);
        usleep(POLL_US);
    }
}

static void
platform(const char *json)
{
    ck_assert(cluster_set_faults(cluster_platform_port(fixture->cluster),
                                 "/control", json));
}

static void
platform_is_well(void)
{
    platform("{\"mode\": \"up\", \"delay_ms\": 0, "
             "\"lose_answers_percent\": 0}");
}

static void
targets(const char *json)
{
    for (size_t i = 0; i < INSTANCES; i++) {
        ck_assert(
            cluster_set_faults(cluster_ports(fixture->cluster, i)->target,
                               "/standin/control", json));
    }
}

static uint64_t
sum(const char *counter)
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

/* The same key at all nodes at once, several times each. */
START_TEST(test_many_nodes)
{
    order_t orders[4 * INSTANCES] = {0};
    char key[32];
    g_snprintf(key, sizeof(key), "many-%02d", _i);
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        orders[i].node = i % INSTANCES;
        orders[i].key = key;
        start(&orders[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        finish(&orders[i]);
        ck_assert_str_eq(orders[i].outcome, "ran");
        ck_assert_str_eq(orders[i].body, orders[0].body);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        clear(&orders[i]);
    }
    ck_assert_uint_eq(fixture_executions(fixture, key), 1);
}
END_TEST

static const char *const store_faults[] = {
    "{\"lose_answers_percent\": 70}",
    "{\"delay_ms\": 400}",
    "{\"delay_ms\": 900}",
    "{\"mode\": \"hang\"}",
    "{\"mode\": \"down\"}",
};

/* With the store at fault, then well again; the caller repeats throughout. */
START_TEST(test_store_faults)
{
    order_t orders[2 * INSTANCES] = {0};
    char key[32];
    g_snprintf(key, sizeof(key), "store-%02d", _i);
    platform(store_faults[_i]);
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        orders[i].node = i % INSTANCES;
        orders[i].key = key;
        start(&orders[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        finish(&orders[i]);
        ck_assert_ptr_nonnull(orders[i].outcome);
    }
    size_t executions = fixture_executions(fixture, key);
    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        ck_assert(!told(&orders[i], "ran") || executions == 1);
        clear(&orders[i]);
    }
    platform_is_well();
    ck_assert(repeat_until_ran(key));
    ck_assert_uint_eq(fixture_executions(fixture, key), 1);
}
END_TEST

START_TEST(test_store_down_does_not_run)
{
    platform("{\"mode\": \"down\"}");
    expect(0, "down-1", "unknown");
    ck_assert_uint_eq(fixture_executions(fixture, "down-1"), 0);
    platform_is_well();
    ck_assert(repeat_until_ran("down-1"));
    ck_assert_uint_eq(fixture_executions(fixture, "down-1"), 1);
}
END_TEST

/* The claimant is paused with its claim under way, and resumed later. */
START_TEST(test_pause_while_claiming)
{
    order_t first = {.node = 0, .key = "pause-1"};
    platform("{\"delay_ms\": 300}");
    start(&first);
    usleep(150000);
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGSTOP);
    expect(1, "pause-1", "unknown");
    expect(2, "pause-1", "unknown");
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGCONT);
    finish(&first);
    platform_is_well();
    order_t again = {.node = 1, .key = "pause-1"};
    place(&again);
    ck_assert_uint_le(fixture_executions(fixture, "pause-1"), 1);
    ck_assert(!told(&again, "ran") ||
              fixture_executions(fixture, "pause-1") == 1);
    clear(&first);
    clear(&again);
}
END_TEST

/* The claimant is paused while its order runs. */
START_TEST(test_pause_while_running)
{
    order_t first = {.node = 0, .key = "pause-2"};
    targets("{\"slow_percent\": 50000}");
    start(&first);
    wait_executed("pause-2");
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGSTOP);
    expect(1, "pause-2", "unknown");
    cluster_signal(fixture->cluster, CLUSTER_NODE, 0, SIGCONT);
    finish(&first);
    targets("{\"slow_percent\": 100}");
    ck_assert(cluster_wait_health(fixture->cluster, 0, 200, WAIT_US));
    ck_assert_uint_eq(fixture_executions(fixture, "pause-2"), 1);
    clear(&first);
}
END_TEST

typedef struct {
    const char *key;
    const char *wish;
} close_case_t;

/* Without a body the library has nothing to rewind, so it sends again. */
static const close_case_t close_cases[] = {
    {"close-body", "one saddle"},
    {"close-empty", ""},
};

/* libcurl sends a request again when a reused connection closes unanswered. */
START_TEST(test_close_unanswered)
{
    const close_case_t *row = &close_cases[_i];
    for (size_t i = 0; i < 10 * INSTANCES; i++) {
        bv_http_reply_t reply =
            cluster_call(cluster_ports(fixture->cluster, 0)->outside, "GET",
                         "/orders", NULL, NULL);
        bv_http_reply_clear(&reply);
    }
    targets("{\"close_unanswered\": true}");
    for (size_t i = 0; i < 2 * (size_t)INSTANCES; i++) {
        order_t order = {
            .node = i % INSTANCES, .key = row->key, .wish = row->wish};
        place(&order);
        ck_assert_str_eq(order.outcome, "unknown");
        clear(&order);
    }
    targets("{\"close_unanswered\": false}");
    ck_assert_uint_eq(fixture_executions(fixture, row->key), 1);
}
END_TEST

/* The entry node dies with the order under way. */
START_TEST(test_entry_killed)
{
    order_t first = {.node = 0, .key = "killed-1"};
    targets("{\"slow_percent\": 50000}");
    start(&first);
    wait_executed("killed-1");
    kill_node(0);
    finish(&first);
    ck_assert_ptr_null(first.outcome);
    targets("{\"slow_percent\": 100}");
    expect(1, "killed-1", "unknown");
    platform("{\"mode\": \"down\"}");
    expect(2, "killed-1", "unknown");
    platform_is_well();
    restart_node(0);
    expect(0, "killed-1", "unknown");
    expect(2, "killed-1", "unknown");
    ck_assert_uint_eq(fixture_executions(fixture, "killed-1"), 1);
    clear(&first);
}
END_TEST

/* The entry node dies after it noted the result in the row. */
START_TEST(test_entry_killed_after)
{
    uint64_t claims = fixture_counter(fixture, 0, "claims");
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    expect(0, "killed-2", "ran");
    while (fixture_counter(fixture, 0, "claims") < claims + 2) {
        ck_assert(bv_clock_now_us() < end_us);
        usleep(POLL_US);
    }
    usleep(POLL_US);
    kill_node(0);
    order_t again = {.node = 1, .key = "killed-2"};
    place(&again);
    ck_assert_str_eq(again.outcome, "ran");
    ck_assert_uint_eq(again.status, 409);
    ck_assert_str_eq(again.ran_status, "200");
    restart_node(0);
    ck_assert_uint_eq(fixture_executions(fixture, "killed-2"), 1);
    clear(&again);
}
END_TEST

static char *
take_ticket(size_t node)
{
    bv_http_reply_t reply =
        cluster_call(cluster_ports(fixture->cluster, node)->outside, "GET",
                     "/orders", NULL, NULL);
    char *ticket = bv_headers_get(reply.headers, BV_HEADER_TICKET);
    bv_http_reply_clear(&reply);
    ck_assert_ptr_nonnull(ticket);
    return ticket;
}

/* Results of earlier orders are written up to a second late. */
static uint64_t
settled_claims(void)
{
    uint64_t before = 0;
    uint64_t claims = sum("claims");
    while (claims != before) {
        before = claims;
        usleep(3 * BV_US_PER_S);
        claims = sum("claims");
    }
    return claims;
}

/* A ticket runs once wherever it is sent, without any write to the store. */
START_TEST(test_ticket)
{
    char *ticket = take_ticket(0);
    uint64_t claims = settled_claims();
    platform("{\"mode\": \"down\"}");
    for (size_t i = 0; i < 2 * (size_t)INSTANCES; i++) {
        expect((i + 1) % INSTANCES, ticket, "ran");
    }
    platform_is_well();
    ck_assert_uint_eq(sum("claims"), claims);
    ck_assert_uint_eq(fixture_executions(fixture, ticket), 1);
    g_free(ticket);
}
END_TEST

START_TEST(test_ticket_forged)
{
    char *ticket = take_ticket(0);
    char *last = ticket + strlen(ticket) - 1;
    *last = *last == '0' ? '1' : '0';
    order_t order = {.node = 0, .key = ticket};
    place(&order);
    ck_assert_uint_eq(order.status, 400);
    ck_assert_str_eq(order.outcome, "not-run");
    expect(1, ticket, "not-run");
    ck_assert_uint_eq(fixture_executions(fixture, ticket), 0);
    clear(&order);
    g_free(ticket);
}
END_TEST

/* The incarnation that minted the ticket is gone: it never runs. */
START_TEST(test_ticket_orphaned)
{
    char *ticket = take_ticket(0);
    kill_node(0);
    order_t order = {.node = 1, .key = ticket};
    place(&order);
    ck_assert_str_eq(order.outcome, "unknown");
    restart_node(0);
    clear(&order);
    order.key = ticket;
    place(&order);
    ck_assert_str_eq(order.reason, "ticket_orphaned");
    clear(&order);
    expect(0, ticket, "unknown");
    expect(2, ticket, "unknown");
    ck_assert_uint_eq(fixture_executions(fixture, ticket), 0);
    g_free(ticket);
}
END_TEST

typedef struct {
    const char *platform;
    const char *targets;
} shake_t;

static const shake_t shakes[] = {
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
shake(gpointer data)
{
    gint *stop = data;
    for (size_t i = 0; !g_atomic_int_get(stop); i++) {
        platform(shakes[i % G_N_ELEMENTS(shakes)].platform);
        targets(shakes[i % G_N_ELEMENTS(shakes)].targets);
        usleep(SHAKE_US);
    }
    return NULL;
}

/* Orders with and without own keys, repeated by callers, all through faults.
 */
START_TEST(test_load)
{
    gint stop = 0;
    GThread *thread = g_thread_new("shake", shake, &stop);
    int status = cluster_run_load(fixture->cluster,
                                  json_object_get(fixture->deployment, "load"),
                                  "once", NULL);
    g_atomic_int_set(&stop, 1);
    g_thread_join(thread);
    platform_is_well();
    targets("{\"slow_percent\": 100, \"close_unanswered\": false}");
    ck_assert_int_eq(status, 0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"many_nodes", test_many_nodes, 10},
        {"store_faults", test_store_faults, G_N_ELEMENTS(store_faults)},
        {"store_down_does_not_run", test_store_down_does_not_run, 1},
        {"pause_while_claiming", test_pause_while_claiming, 1},
        {"pause_while_running", test_pause_while_running, 1},
        {"close_unanswered", test_close_unanswered, G_N_ELEMENTS(close_cases)},
        {"entry_killed", test_entry_killed, 1},
        {"entry_killed_after", test_entry_killed_after, 1},
        {"load", test_load, 1},
        {"ticket", test_ticket, 1},
        {"ticket_forged", test_ticket_forged, 1},
        {"ticket_orphaned", test_ticket_orphaned, 1},
        {NULL}};
    return fixture_run(&fixture, "once.json", "once", tests);
}
