#include "berylvane/common/http_client.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/latch.h"
#include "berylvane/common/program.h"
#include "silent_server.h"
#include "support.h"

/*
 * Guards against requests that wait one after another for kept connections
 * which all became half-open together.
 */
#define CONNECTIONS_LIMIT SILENT_SERVER_CONNECTIONS
/* Expires in the case under test. */
#define SHORT_TIMEOUT_US (300 * BV_US_PER_MS)
/* Does not expire unless the request is lost. */
#define LONG_TIMEOUT_US (5 * BV_US_PER_S)
/* Beyond the time in which no kept connection at all is used. */
#define LATER_US (3 * BV_US_PER_S)
#define ANSWER "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

typedef struct {
    bv_latch_t *latch;
    bv_http_result_t result;
} pending_request_t;

static void
on_answer(void *context, const bv_http_answer_t *answer)
{
    pending_request_t *pending = context;
    pending->result = answer->result;
    bv_latch_open(pending->latch);
}

static void
send_request(bv_http_client_t *client, const char *url, uint64_t id,
             int64_t timeout_us, pending_request_t *pending)
{
    bv_http_request_t *request = bv_http_request_create("GET", url);
    request->id = id;
    request->timeout_us = timeout_us;
    request->answer_limit_bytes = 1024;
    request->on_answer = on_answer;
    request->context = pending;
    ck_assert(bv_http_client_send(client, request));
}

/* Number of kept connections that become half-open. */
static const gint kept_cases[] = {1, 2, 3, 8};

typedef struct {
    silent_server_t *server;
    apr_pool_t *pool;
    bv_http_client_t *client;
    char *url;
    uint64_t next_id;
} fixture_t;

static bv_http_result_t
wait_for_result(pending_request_t *pending)
{
    bv_latch_wait(pending->latch);
    return pending->result;
}

static void
fixture_send(fixture_t *fixture, int64_t timeout_us,
             pending_request_t *pending)
{
    *pending = (pending_request_t){.latch = bv_latch_create(fixture->pool)};
    send_request(fixture->client, fixture->url, fixture->next_id++, timeout_us,
                 pending);
}

static void
fixture_start(fixture_t *fixture, gint kept)
{
    fixture->server = silent_server_start(ANSWER, kept);
    fixture->url = g_strdup_printf("http://127.0.0.1:%u/a",
                                   silent_server_port(fixture->server));
    fixture->pool = bv_program_start();
    bv_http_client_options_t options = {
        .ring_capacity = CONNECTIONS_LIMIT,
        .kept_connections = CONNECTIONS_LIMIT,
        .distrusts_kept_after_timeout = true,
    };
    fixture->client = bv_http_client_start(fixture->pool, &options);
}

/* Opens `kept` connections, which then become half-open. */
static void
fixture_open(fixture_t *fixture, gint kept)
{
    pending_request_t pending[CONNECTIONS_LIMIT];
    fixture_start(fixture, kept);
    for (gint i = 0; i < kept; i++) {
        fixture_send(fixture, LONG_TIMEOUT_US, &pending[i]);
    }
    for (gint i = 0; i < kept; i++) {
        ck_assert_int_eq(wait_for_result(&pending[i]), BV_HTTP_ANSWERED);
    }
    silent_server_silence(fixture->server, kept);
}

static void
fixture_close(fixture_t *fixture)
{
    bv_http_client_stop(fixture->client);
    silent_server_stop(fixture->server);
    g_free(fixture->url);
    bv_program_stop(fixture->pool);
}

/* Cases assert after fixture_close(), so that a failed one leaves no thread.
 */
START_TEST(test_only_one_request_waits_for_silent_connections)
{
    fixture_t fixture = {.next_id = 0};
    pending_request_t first;
    pending_request_t second;
    fixture_open(&fixture, kept_cases[_i]);
    fixture_send(&fixture, SHORT_TIMEOUT_US, &first);
    wait_for_result(&first);
    fixture_send(&fixture, LONG_TIMEOUT_US, &second);
    wait_for_result(&second);
    fixture_close(&fixture);
    ck_assert_int_eq(first.result, BV_HTTP_TIMEOUT);
    ck_assert_int_eq(second.result, BV_HTTP_ANSWERED);
}
END_TEST

/*
 * The age of a connection is known in whole seconds, so that a request some
 * seconds after the time-out takes another way than one that follows at once.
 * Requests sent together need more connections than the one opened since.
 */
START_TEST(test_no_later_request_waits_for_silent_connections)
{
    fixture_t fixture = {.next_id = 0};
    gint kept = kept_cases[_i];
    gint count = MIN(kept, CONNECTIONS_LIMIT - kept - 1);
    pending_request_t first;
    pending_request_t later[CONNECTIONS_LIMIT];
    fixture_open(&fixture, kept);
    fixture_send(&fixture, SHORT_TIMEOUT_US, &first);
    wait_for_result(&first);
    g_usleep(LATER_US);
    for (gint i = 0; i < count; i++) {
        fixture_send(&fixture, LONG_TIMEOUT_US, &later[i]);
    }
    for (gint i = 0; i < count; i++) {
        wait_for_result(&later[i]);
    }
    fixture_close(&fixture);
    ck_assert_int_eq(first.result, BV_HTTP_TIMEOUT);
    for (gint i = 0; i < count; i++) {
        ck_assert_int_eq(later[i].result, BV_HTTP_ANSWERED);
    }
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"only_one_request_waits_for_silent_connections",
         test_only_one_request_waits_for_silent_connections,
         G_N_ELEMENTS(kept_cases)},
        {"no_later_request_waits_for_silent_connections",
         test_no_later_request_waits_for_silent_connections,
         G_N_ELEMENTS(kept_cases)},
        {NULL}};
    return support_run("http_silent", tests);
}
