#include "berylvane/common/http_client.h"

#include "berylvane/common/http_poll.h"
#include "berylvane/common/program.h"
#include "berylvane/common/ring.h"
#include "support.h"

#include <netdb.h>
#include <unistd.h>

/*
 * Guards against a stop of the HTTP client that waits: for the time-out of a
 * poll whose wake-up was lost, or for a resolver that does not answer. The
 * linker redirects the calls of the client to the __wrap_ functions below.
 */
#define POLL_US 1000
#define NEVER_TIMEOUT_US (3600LL * 1000000)
#define ANSWER_LIMIT_BYTES 1024

#define WRAPPED(result, name, ...)                                            \
    result __real_##name(__VA_ARGS__);                                        \
    result __wrap_##name(__VA_ARGS__);                                        \
    result __wrap_##name(__VA_ARGS__)

/* Whether the client's thread waits in bv_ring_clear_event() for the stop. */
static gint holds_thread;
static gint is_thread_held;
static gint is_stop_signalled;
static gint polls_after_stop;
static gint is_resolving;

static void
wait_until_set(gint *flag)
{
    while (!g_atomic_int_get(flag)) {
        usleep(POLL_US);
    }
}

WRAPPED(void, bv_ring_clear_event, bv_ring_t *ring)
{
    if (g_atomic_int_get(&holds_thread)) {
        g_atomic_int_set(&is_thread_held, 1);
        wait_until_set(&is_stop_signalled);
    }
    __real_bv_ring_clear_event(ring);
}

WRAPPED(void, bv_ring_wake_consumer, bv_ring_t *ring)
{
    __real_bv_ring_wake_consumer(ring);
    g_atomic_int_set(&is_stop_signalled, 1);
}

WRAPPED(void, bv_http_poll_run, bv_http_poll_t *poll, int limit_ms)
{
    if (g_atomic_int_get(&is_stop_signalled)) {
        g_atomic_int_inc(&polls_after_stop);
    }
    __real_bv_http_poll_run(poll, limit_ms);
}

/* Replaces the C library's resolver by one that never answers. */
int
getaddrinfo(const char *restrict name, const char *restrict service,
            const struct addrinfo *restrict hints,
            struct addrinfo **restrict addresses)
{
    (void)name;
    (void)service;
    (void)hints;
    (void)addresses;
    g_atomic_int_set(&is_resolving, 1);
    for (;;) {
        pause();
    }
}

static bv_http_client_t *
start_client(apr_pool_t *pool)
{
    bv_http_client_options_t options = {.ring_capacity = 4,
                                        .kept_connections = 1};
    g_atomic_int_set(&is_stop_signalled, 0);
    g_atomic_int_set(&polls_after_stop, 0);
    return bv_http_client_start(pool, &options);
}

/*
 * The stop comes while the thread clears the event that wakes it. The thread
 * must then not wait for another event, up to the time-out of its poll.
 */
START_TEST(test_stop_while_event_is_cleared)
{
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    g_atomic_int_set(&holds_thread, 1);
    bv_http_client_t *client = start_client(pool);
    wait_until_set(&is_thread_held);
    bv_http_client_stop(client);
    g_atomic_int_set(&holds_thread, 0);
    ck_assert_int_eq(g_atomic_int_get(&polls_after_stop), 0);
    apr_pool_destroy(pool);
}
END_TEST

static void
on_answer(void *context, const bv_http_answer_t *answer)
{
    bv_http_result_t *result = context;
    *result = answer->result;
}

/*
 * The resolver of the store's or the collector's name does not answer. libcurl
 * resolves in a thread, which it must not join when the request is cancelled.
 */
START_TEST(test_stop_while_resolving)
{
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    bv_http_result_t result = BV_HTTP_ANSWERED;
    bv_http_client_t *client = start_client(pool);
    bv_http_request_t *request =
        bv_http_request_create("GET", "http://store.invalid/");
    request->timeout_us = NEVER_TIMEOUT_US;
    request->answer_limit_bytes = ANSWER_LIMIT_BYTES;
    request->on_answer = on_answer;
    request->context = &result;
    ck_assert(bv_http_client_send(client, request));
    wait_until_set(&is_resolving);
    bv_http_client_stop(client);
    ck_assert_int_eq(result, BV_HTTP_CANCELLED);
    apr_pool_destroy(pool);
}
END_TEST

int
main(void)
{
    bv_program_start();
    const support_test_t tests[] = {
        {"stop_while_event_is_cleared", test_stop_while_event_is_cleared, 1},
        {"stop_while_resolving", test_stop_while_resolving, 1},
        {NULL}};
    return support_run("http_stop", tests);
}
