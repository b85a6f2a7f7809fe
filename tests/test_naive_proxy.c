#include "../bench/naive/naive.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/http_call.h"
#include "berylvane/common/latch.h"
#include "berylvane/common/program.h"
#include "support.h"

/*
 * Tests that the naive proxy of the benchmarks gives a slot back when the
 * queue of its HTTP client is full. A slot that is lost for good makes the
 * baseline refuse more than its settings say, and the comparison with it too
 * favourable.
 */
#define PORT_FIRST 23400
#define PORT_COUNT 200
#define RING_CAPACITY 64
#define CALL_TIMEOUT_US (60 * BV_US_PER_S)
#define CALLERS 3
#define FAILING_REQUEST_ID G_MAXUINT64
/* Id that no request has. */
#define UNUSED_ID 0

typedef struct {
    apr_pool_t *pool;
    naive_settings_t settings;
    naive_proxy_t proxy;
    GThread *proxy_thread;
    bv_listener_t *peer_listener;
    bv_listener_t *target_listener;
    uint16_t peer_port;
    /* Calls that arrived at the target and were not answered. */
    bv_ring_t *target_calls;
    bv_latch_t *client_is_blocked;
    bv_latch_t *client_may_go_on;
    bv_latch_t *client_queue_is_empty;
    /* Statuses of the calls that were answered, in this order. */
    bv_ring_t *statuses;
} fixture_t;

static bool
on_target_call(void *context, bv_call_t *call)
{
    fixture_t *fixture = context;
    return bv_ring_push(fixture->target_calls, call);
}

static bv_listener_t *
listen_on_free_port(bv_listener_options_t *options)
{
    bv_listener_t *listener = NULL;
    options->address = "127.0.0.1";
    options->role = BV_LISTENER_LOCAL;
    for (int i = 0; i < PORT_COUNT && listener == NULL; i++) {
        options->port = (uint16_t)(PORT_FIRST + i);
        listener = bv_listener_start(options, NULL);
    }
    ck_assert_ptr_nonnull(listener);
    return listener;
}

static gpointer
run_proxy(gpointer data)
{
    naive_run(data);
    return NULL;
}

static void
start_proxy(fixture_t *fixture)
{
    g_atomic_int_set(&fixture->proxy.is_stopping, 0);
    fixture->proxy_thread = g_thread_new("proxy", run_proxy, &fixture->proxy);
}

static void
stop_proxy(fixture_t *fixture)
{
    g_atomic_int_set(&fixture->proxy.is_stopping, 1);
    bv_ring_wake_consumer(fixture->proxy.events);
    g_thread_join(fixture->proxy_thread);
}

static void
start(fixture_t *fixture)
{
    apr_pool_t *pool = bv_program_start();
    bv_http_client_options_t http = {.ring_capacity = 1,
                                     .kept_connections = 1};
    *fixture = (fixture_t){
        .pool = pool,
        .target_calls = bv_ring_create(pool, RING_CAPACITY),
        .client_is_blocked = bv_latch_create(pool),
        .client_may_go_on = bv_latch_create(pool),
        .client_queue_is_empty = bv_latch_create(pool),
        .statuses = bv_ring_create(pool, RING_CAPACITY),
    };
    bv_listener_options_t target = {.on_call = on_target_call,
                                    .context = fixture};
    fixture->target_listener = listen_on_free_port(&target);
    fixture->settings = (naive_settings_t){
        .address = "127.0.0.1",
        .target_port = target.port,
        .slots = 1,
        .queue_limit = 1,
        .timeout_ms = CALL_TIMEOUT_US / BV_US_PER_MS,
    };
    fixture->proxy = (naive_proxy_t){
        .settings = &fixture->settings,
        .events = bv_ring_create(pool, RING_CAPACITY),
        .http_client = bv_http_client_start(pool, &http),
    };
    g_queue_init(&fixture->proxy.waiting);
    bv_listener_options_t peers = {.on_call = naive_on_peer_call,
                                   .context = &fixture->proxy};
    fixture->peer_listener = listen_on_free_port(&peers);
    fixture->peer_port = peers.port;
}

static void
stop(fixture_t *fixture)
{
    bv_http_client_stop(fixture->proxy.http_client);
    bv_listener_close(fixture->peer_listener);
    bv_listener_stop(fixture->peer_listener);
    bv_listener_close(fixture->target_listener);
    bv_listener_stop(fixture->target_listener);
    bv_program_stop(fixture->pool);
}

/* Sends a request that fails at once; returns false if the queue is full. */
static bool
send_failing_request(fixture_t *fixture,
                     void (*on_answer)(void *, const bv_http_answer_t *))
{
    bv_http_request_t *request = bv_http_request_create("GET", "invalid://");
    request->id = FAILING_REQUEST_ID;
    request->timeout_us = CALL_TIMEOUT_US;
    request->on_answer = on_answer;
    request->context = fixture;
    return bv_http_client_send(fixture->proxy.http_client, request);
}

static void
block_client(void *context, const bv_http_answer_t *answer)
{
    fixture_t *fixture = context;
    (void)answer;
    bv_latch_open(fixture->client_is_blocked);
    bv_latch_wait(fixture->client_may_go_on);
}

/*
 * Blocks the thread of the proxy's HTTP client and fills its queue, so that
 * the proxy cannot send before release_client().
 */
static void
fill_client_queue(fixture_t *fixture)
{
    ck_assert(send_failing_request(fixture, block_client));
    bv_latch_wait(fixture->client_is_blocked);
    while (bv_http_client_cancel(fixture->proxy.http_client, UNUSED_ID)) {
    }
}

static void
report_empty_queue(void *context, const bv_http_answer_t *answer)
{
    fixture_t *fixture = context;
    (void)answer;
    bv_latch_open(fixture->client_queue_is_empty);
}

/* Lets the HTTP client go on; its queue is empty afterwards. */
static void
release_client(fixture_t *fixture)
{
    bv_latch_open(fixture->client_may_go_on);
    while (!send_failing_request(fixture, report_empty_queue)) {
        g_usleep(BV_US_PER_MS);
    }
    bv_latch_wait(fixture->client_queue_is_empty);
}

/* Sends a call as another proxy does. */
static gpointer
call_proxy(gpointer data)
{
    fixture_t *fixture = data;
    char *url = g_strdup_printf("http://127.0.0.1:%u/a", fixture->peer_port);
    bv_http_call_t call = {
        .method = "GET", .url = url, .timeout_us = CALL_TIMEOUT_US};
    bv_http_reply_t reply = bv_http_call(&call);
    ck_assert(bv_ring_push(fixture->statuses, GUINT_TO_POINTER(reply.status)));
    bv_http_reply_clear(&reply);
    g_free(url);
    return NULL;
}

/* Waits for the next item of a ring. */
static void *
wait_for_item(bv_ring_t *ring)
{
    void *item = NULL;
    while (item == NULL) {
        item = bv_ring_wait(ring, -1);
    }
    return item;
}

/* Checks the status of the next call that is answered. */
static void
check_next_status(fixture_t *fixture, uint32_t status)
{
    ck_assert_uint_eq(GPOINTER_TO_UINT(wait_for_item(fixture->statuses)),
                      status);
}

static void
answer_next_target_call(fixture_t *fixture)
{
    bv_reply_t reply = {.status = 200, .outcome = BV_OUTCOME_RAN};
    bv_call_reply(wait_for_item(fixture->target_calls), &reply);
}

/* Fails if the proxy has no slot left: the call is then refused or waits. */
static void
check_call_is_served(fixture_t *fixture)
{
    GThread *caller = g_thread_new("caller", call_proxy, fixture);
    answer_next_target_call(fixture);
    check_next_status(fixture, 200);
    g_thread_join(caller);
}

/* The only slot must be free again after a call that could not be sent. */
START_TEST(test_slot_of_call_not_sent)
{
    fixture_t fixture;
    start(&fixture);
    start_proxy(&fixture);
    fill_client_queue(&fixture);
    call_proxy(&fixture);
    check_next_status(&fixture, 503);
    stop_proxy(&fixture);
    ck_assert_uint_eq(fixture.proxy.running_count, 0);
    release_client(&fixture);
    start_proxy(&fixture);
    check_call_is_served(&fixture);
    stop_proxy(&fixture);
    stop(&fixture);
}
END_TEST

/* Waits until an event is queued, without handling it. */
static void
wait_for_event(fixture_t *fixture)
{
    void *event = wait_for_item(fixture->proxy.events);
    ck_assert(bv_ring_push(fixture->proxy.events, event));
}

/*
 * A call that waited for the slot and then cannot be sent must be answered,
 * and must not keep the slot. Of three calls one runs, one waits and one is
 * refused.
 */
START_TEST(test_slot_of_waiting_call_not_sent)
{
    fixture_t fixture;
    GThread *callers[CALLERS];
    start(&fixture);
    start_proxy(&fixture);
    for (int i = 0; i < CALLERS; i++) {
        callers[i] = g_thread_new("caller", call_proxy, &fixture);
    }
    check_next_status(&fixture, 503);
    stop_proxy(&fixture);
    answer_next_target_call(&fixture);
    wait_for_event(&fixture);
    fill_client_queue(&fixture);
    start_proxy(&fixture);
    uint32_t sum = 0;
    for (int i = 1; i < CALLERS; i++) {
        sum += GPOINTER_TO_UINT(wait_for_item(fixture.statuses));
    }
    ck_assert_uint_eq(sum, 200 + 503);
    for (int i = 0; i < CALLERS; i++) {
        g_thread_join(callers[i]);
    }
    stop_proxy(&fixture);
    ck_assert_uint_eq(fixture.proxy.running_count, 0);
    release_client(&fixture);
    start_proxy(&fixture);
    check_call_is_served(&fixture);
    stop_proxy(&fixture);
    stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"slot_of_call_not_sent", test_slot_of_call_not_sent, 1},
        {"slot_of_waiting_call_not_sent", test_slot_of_waiting_call_not_sent,
         1},
        {NULL}};
    return support_run("naive_proxy", tests);
}
