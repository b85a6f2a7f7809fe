#include "platform_fixture.h"

#include "berylvane/common/program.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Guards against queued work that starts at a target which has announced that
 * it drains, where the target's exit would cut it off; against running work
 * that is cut off by the drain; and against a node that stays out of use after
 * its target is ready again.
 */
#define POLL_US 10000
#define CALLS 7
#define CONFIG                                                                \
    "{\"Version\":\"r1\",\"Services\":[{\"Name\":\"front\"},{\"Name\":"       \
    "\"back\"}],\"VirtualHosts\":[{\"Hostname\":\"h.example\",\"Paths\":["    \
    "{\"Name\":\"one\",\"Prefix\":\"/a/\",\"Type\":\"unsafe\",\"TimeoutMs\":" \
    "60000,\"Priority\":0,\"Service\":\"back\"}]}]}"

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

/* Number of pieces of work in the queue of a node. */
static int64_t
queued_work(size_t node_index)
{
    return platform_status_number(&fixture, node_index, "queued");
}

static void *
run_call(void *data)
{
    char *url =
        g_strdup_printf("http://127.0.0.1:%u/a/1",
                        fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND]);
    bv_http_call_t request = {
        .method = "POST",
        .url = url,
        .headers = "Host: h.example\r\nRequest-Id: 7\r\n",
        .body = data,
        .timeout_us = PLATFORM_STATE_TIMEOUT_US,
    };
    bv_http_reply_t reply = bv_http_call(&request);
    guint status = reply.status;
    bv_http_reply_clear(&reply);
    g_free(url);
    return GUINT_TO_POINTER(status);
}

/*
 * Returns how many of the calls were answered with `status`; the others must
 * have been refused as not run.
 */
static uint32_t
join_calls(GThread *const threads[CALLS], guint status)
{
    uint32_t count = 0;
    uint32_t refused = 0;
    for (size_t i = 0; i < CALLS; i++) {
        guint answered = GPOINTER_TO_UINT(g_thread_join(threads[i]));
        count += answered == status;
        refused += answered == 503;
    }
    ck_assert_uint_eq(count + refused, CALLS);
    return count;
}

static void
wait_until_queued(size_t node_index)
{
    const platform_node_t *back = &fixture.nodes[node_index];
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (queued_work(node_index) == 0 ||
           g_atomic_int_get(&back->arrived) + queued_work(node_index) <
               CALLS) {
        ck_assert(bv_clock_now_us() < end_us);
        ck_assert_uint_eq(platform_heartbeat(&fixture, node_index, "ready"),
                          200);
        usleep(POLL_US);
    }
}

static uint16_t
announce_drain(void)
{
    return platform_heartbeat(&fixture, 1, "draining");
}

/* The heartbeats that follow are those of a new start. */
static uint16_t
announce_departure(void)
{
    uint16_t status = platform_deregister(&fixture, 1);
    fixture.nodes[1].born_ms = bv_clock_wall_us() / BV_US_PER_MS;
    return status;
}

static uint16_t (*const ways_to_leave[])(void) = {announce_drain,
                                                  announce_departure};

START_TEST(test_queue_of_a_draining_target)
{
    apr_pool_t *pool = bv_program_start();
    platform_node_t *back = &fixture.nodes[1];
    GThread *threads[CALLS];
    GBytes *body = g_bytes_new_static("order", 5);
    memset(&fixture, 0, sizeof(fixture));
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_row(&fixture, "op", "config", CONFIG);
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    g_atomic_int_set(&back->arrived, 0);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_HOLD);
    for (size_t i = 0; i < CALLS; i++) {
        threads[i] = g_thread_new("call", run_call, body);
    }
    wait_until_queued(1);
    uint32_t running = (uint32_t)g_atomic_int_get(&back->arrived);
    ck_assert_uint_eq(ways_to_leave[_i](), 200);
    platform_release_calls(back);
    ck_assert_uint_eq(join_calls(threads, 200), running);
    ck_assert_int_eq(g_atomic_int_get(&back->arrived), (int)running);
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    platform_stop(&fixture);
    g_bytes_unref(body);
    bv_program_stop(pool);
}
END_TEST

/*
 * Guards against an answer that promises nothing (504) for a call that waited
 * at its node and never reached the target, when the node stops at its limit.
 * Only the calls that the target holds have an unknown outcome.
 */
START_TEST(test_queue_of_a_stopped_node)
{
    apr_pool_t *pool = bv_program_start();
    platform_node_t *back = &fixture.nodes[0];
    GThread *threads[CALLS];
    GBytes *body = g_bytes_new_static("order", 5);
    memset(&fixture, 0, sizeof(fixture));
    fixture.drain_limit_ms = 1000;
    platform_start_store(&fixture);
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_row(&fixture, "op", "config", CONFIG);
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    g_atomic_int_set(&back->arrived, 0);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_HOLD);
    for (size_t i = 0; i < CALLS; i++) {
        threads[i] = g_thread_new("call", run_call, body);
    }
    wait_until_queued(0);
    uint32_t running = (uint32_t)g_atomic_int_get(&back->arrived);
    kill(back->pid, SIGTERM);
    ck_assert_uint_eq(join_calls(threads, 504), running);
    ck_assert_int_eq(g_atomic_int_get(&back->arrived), (int)running);
    platform_release_calls(back);
    platform_stop(&fixture);
    g_bytes_unref(body);
    bv_program_stop(pool);
}
END_TEST

/*
 * Guards against requests that reach a target after it left, because the node
 * beside it had restarted, heard of the departure first and of an earlier
 * heartbeat later.
 */
START_TEST(test_departure_heard_first)
{
    apr_pool_t *pool = bv_program_start();
    platform_node_t *back = &fixture.nodes[0];
    memset(&fixture, 0, sizeof(fixture));
    platform_start_store(&fixture);
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    uint16_t status = 0;
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (status != 200) {
        ck_assert(bv_clock_now_us() < end_us);
        status =
            platform_request_status(back->ports[PLATFORM_PORT_CONTROL], "POST",
                                    "/v1/instances/i-0/deregister", NULL, "");
        usleep(POLL_US);
    }
    platform_write_row(&fixture, "op", "config", CONFIG);
    platform_wait_for_status(&fixture, 0, "/none/1", 404);
    ck_assert_uint_eq(platform_heartbeat(&fixture, 0, "ready"), 200);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 503);
    ck_assert_int_eq(g_atomic_int_get(&back->arrived), 0);
    back->born_ms = bv_clock_wall_us() / BV_US_PER_MS + 1;
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    platform_stop(&fixture);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"queue_of_a_draining_target", test_queue_of_a_draining_target,
         G_N_ELEMENTS(ways_to_leave)},
        {"queue_of_a_stopped_node", test_queue_of_a_stopped_node, 1},
        {"departure_heard_first", test_departure_heard_first, 1},
        {NULL}};
    atexit(kill_remaining);
    return support_run("target_drain", tests);
}
