#include "silent_server.h"
#include "support.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/latch.h"
#include "berylvane/common/program.h"
#include "berylvane/platform/store.h"

/*
 * Guards against operations of the store that wait one after another for kept
 * connections which all became half-open together.
 */
#define RING_CAPACITY SILENT_SERVER_CONNECTIONS
/* Expires in the case under test. */
#define SHORT_TIMEOUT_US (300 * BV_US_PER_MS)
/* Does not expire unless the request is lost. */
#define LONG_TIMEOUT_US (5 * BV_US_PER_S)
#define ANSWER                                                                \
    "HTTP/1.1 200 OK\r\nContent-Length: 29\r\n\r\n"                           \
    "{\"Rows\":[],\"Ver\":7,\"NowMs\":1}"

typedef struct {
    bv_latch_t *latch;
    bv_store_result_t result;
} pending_t;

typedef struct {
    silent_server_t *server;
    apr_pool_t *pool;
    bv_store_t *store;
} fixture_t;

static void
on_done(void *context, bv_store_answer_t *answer)
{
    pending_t *pending = context;
    pending->result = answer->result;
    bv_latch_open(pending->latch);
}

static void
start_read(const fixture_t *fixture, int64_t timeout_us, pending_t *pending)
{
    const bv_store_request_options_t options = {.timeout_us = timeout_us};
    *pending = (pending_t){.latch = bv_latch_create(fixture->pool)};
    ck_assert(
        bv_store_read(fixture->store, "t/a", &options, on_done, pending));
}

static bv_store_result_t
read_row(const fixture_t *fixture, int64_t timeout_us)
{
    pending_t pending;
    start_read(fixture, timeout_us, &pending);
    bv_latch_wait(pending.latch);
    return pending.result;
}

/* Opens `kept` connections, which then become half-open. */
static void
fixture_open(fixture_t *fixture, int32_t kept)
{
    pending_t pending[SILENT_SERVER_CONNECTIONS];
    fixture->server = silent_server_start(ANSWER, kept);
    char *url = g_strdup_printf("http://127.0.0.1:%u",
                                silent_server_port(fixture->server));
    const bv_store_options_t options = {
        .url = url,
        .timeout_us = LONG_TIMEOUT_US,
        .ring_capacity = RING_CAPACITY,
    };
    fixture->pool = bv_program_start();
    fixture->store = bv_store_start(fixture->pool, &options);
    g_free(url);
    for (int32_t i = 0; i < kept; i++) {
        start_read(fixture, LONG_TIMEOUT_US, &pending[i]);
    }
    for (int32_t i = 0; i < kept; i++) {
        bv_latch_wait(pending[i].latch);
        ck_assert_int_eq(pending[i].result, BV_STORE_OK);
    }
    silent_server_silence(fixture->server, kept);
}

static void
fixture_close(fixture_t *fixture)
{
    bv_store_stop(fixture->store);
    silent_server_stop(fixture->server);
    bv_program_stop(fixture->pool);
}

/* Number of kept connections that become half-open. */
static const int32_t kept_cases[] = {1, 2, 3, 8};

START_TEST(test_only_one_read_waits_for_silent_connections)
{
    fixture_t fixture;
    fixture_open(&fixture, kept_cases[_i]);
    bv_store_result_t first = read_row(&fixture, SHORT_TIMEOUT_US);
    bv_store_result_t second = read_row(&fixture, LONG_TIMEOUT_US);
    fixture_close(&fixture);
    ck_assert_int_eq(first, BV_STORE_UNKNOWN);
    ck_assert_int_eq(second, BV_STORE_OK);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"only_one_read_waits_for_silent_connections",
         test_only_one_read_waits_for_silent_connections,
         G_N_ELEMENTS(kept_cases)},
        {NULL}};
    return support_run("store_silent", tests);
}
