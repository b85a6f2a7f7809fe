#include "platform_fixture.h"
#include "raw.h"

#include "berylvane/common/program.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against requests that reach a target after it has announced that it
 * leaves, from places other than the queue of its node, which
 * test_target_drain guards.
 */
#define POLL_US 10000
#define CALLS 8
#define FRONT 0
#define BACK 1
/* More connections than a listener with a backlog of 0 takes. */
#define FILLERS 4
/* Covers two repeats of a connection attempt, after 1 s and 3 s. */
#define ACCEPT_ROUNDS 45
#define ACCEPT_ROUND_MS 100
#define HEAD "Host: h.example\r\nRequest-Id: 7\r\nRequest-Deadline: 20000\r\n"

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

static void
start_deployment(const char *kind)
{
    /* A failed check leaves its processes behind. */
    platform_kill_remaining(&fixture);
    memset(&fixture, 0, sizeof(fixture));
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    char *config = g_strdup_printf(
        "{\"Version\":\"r1\",\"Services\":[{\"Name\":\"front\"},{\"Name\":"
        "\"back\"}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        "\"MaxBodyBytes\":67108864},\"VirtualHosts\":[{\"Hostname\":"
        "\"h.example\",\"Paths\":[{\"Name\":\"one\",\"Prefix\":\"/a/\","
        "\"Type\":\"%s\",\"TimeoutMs\":20000,\"Priority\":0,\"Service\":"
        "\"back\",\"MaxAttempts\":2}]}]}",
        kind);
    platform_write_row(&fixture, "op", "config", config);
    g_free(config);
    platform_wait_for_status(&fixture, FRONT, "/a/1", 200);
    g_atomic_int_set(&fixture.nodes[BACK].arrived, 0);
}

static void
drain_back(void)
{
    ck_assert_uint_eq(platform_heartbeat(&fixture, BACK, "draining"), 200);
}

static void *
run_call(void *data)
{
    (void)data;
    char *url =
        g_strdup_printf("http://127.0.0.1:%u/a/1",
                        fixture.nodes[FRONT].ports[PLATFORM_PORT_OUTBOUND]);
    bv_http_call_t request = {
        .method = "GET",
        .url = url,
        .headers = HEAD,
        .timeout_us = PLATFORM_STATE_TIMEOUT_US,
    };
    bv_http_reply_t reply = bv_http_call(&request);
    guint status = reply.status;
    bv_http_reply_clear(&reply);
    g_free(url);
    return GUINT_TO_POINTER(status);
}

static guint
join_call(GThread *thread)
{
    return GPOINTER_TO_UINT(g_thread_join(thread));
}

static void
wait_until_arrived(int count)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (g_atomic_int_get(&fixture.nodes[BACK].arrived) < count) {
        ck_assert(bv_clock_now_us() < end_us);
        usleep(POLL_US);
    }
}

/*
 * The callers' node does not run while the target announces that it drains;
 * the calls that wait at it are sent before or just after it hears of that.
 */
START_TEST(test_calls_of_a_node_that_has_not_heard)
{
    GThread *threads[CALLS];
    start_deployment("unsafe");
    ck_assert_int_eq(kill(fixture.nodes[FRONT].pid, SIGSTOP), 0);
    for (size_t i = 0; i < CALLS; i++) {
        threads[i] = g_thread_new("call", run_call, NULL);
    }
    drain_back();
    ck_assert_int_eq(kill(fixture.nodes[FRONT].pid, SIGCONT), 0);
    for (size_t i = 0; i < CALLS; i++) {
        ck_assert_uint_eq(join_call(threads[i]), 503);
    }
    ck_assert_int_eq(g_atomic_int_get(&fixture.nodes[BACK].arrived), 0);
    platform_stop(&fixture);
}
END_TEST

/* A request whose body is still on its way to the callers' node. */
START_TEST(test_body_that_arrives_later)
{
    static const char first[] =
        "POST /a/1 HTTP/1.1\r\n" HEAD "Content-Length: 10\r\n"
        "Connection: close\r\n\r\n01234";
    static const char rest[] = "56789";
    start_deployment("unsafe");
    int fd = raw_connect(fixture.nodes[FRONT].ports[PLATFORM_PORT_OUTBOUND]);
    ck_assert_int_ge(fd, 0);
    raw_send(fd, first, sizeof(first) - 1, FALSE);
    drain_back();
    raw_send(fd, rest, sizeof(rest) - 1, FALSE);
    char *answer = raw_read(fd);
    ck_assert_msg(strstr(answer, " 503 ") != NULL, "answered %s", answer);
    ck_assert_int_eq(g_atomic_int_get(&fixture.nodes[BACK].arrived), 0);
    g_free(answer);
    close(fd);
    platform_stop(&fixture);
}
END_TEST

/*
 * The target closes the kept connection of an idempotent request, which its
 * node would send again on a new one.
 */
START_TEST(test_retry_beside_the_target)
{
    platform_node_t *back = &fixture.nodes[BACK];
    start_deployment("safe");
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_HOLD);
    GThread *thread = g_thread_new("call", run_call, NULL);
    wait_until_arrived(1);
    drain_back();
    platform_drop_held(&fixture, BACK);
    ck_assert_uint_ne(join_call(thread), 200);
    ck_assert_int_eq(g_atomic_int_get(&back->arrived), 1);
    platform_stop(&fixture);
}
END_TEST

/*
 * Opens a listener that accepts no further connection before
 * accept_connections(): its backlog is full. Returns its socket.
 */
static int
open_full_listener(uint16_t *port, int fillers[FILLERS])
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, size), 0);
    ck_assert_int_eq(listen(listener, 0), 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    for (size_t i = 0; i < FILLERS; i++) {
        fillers[i] =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)connect(fillers[i], (struct sockaddr *)&address, size);
    }
    return listener;
}

static void
wait_until_running(size_t node_index)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (platform_status_number(&fixture, node_index, "running") == 0) {
        ck_assert(bv_clock_now_us() < end_us);
        usleep(POLL_US);
    }
}

/* Accepts connections for a while; returns how many brought a request. */
static int
accept_requests(int listener)
{
    int requests = 0;
    for (int round = 0; round < ACCEPT_ROUNDS; round++) {
        struct pollfd entry = {listener, POLLIN, 0};
        if (poll(&entry, 1, ACCEPT_ROUND_MS) <= 0) {
            continue;
        }
        int fd = accept(listener, NULL, NULL);
        struct pollfd input = {fd, POLLIN, 0};
        char byte;
        requests +=
            poll(&input, 1, ACCEPT_ROUND_MS) > 0 && recv(fd, &byte, 1, 0) == 1;
        close(fd);
    }
    return requests;
}

/*
 * The target is slow to accept connections: the request was handed to the
 * client of the target, whose connection is made only after the drain. Nothing
 * of it was sent, so that it has not run.
 */
START_TEST(test_request_without_a_connection)
{
    int fillers[FILLERS];
    platform_node_t *back = &fixture.nodes[BACK];
    start_deployment("unsafe");
    int listener =
        open_full_listener(&back->ports[PLATFORM_PORT_TARGET], fillers);
    back->born_ms = bv_clock_wall_us() / BV_US_PER_MS;
    ck_assert_uint_eq(platform_heartbeat(&fixture, BACK, "ready"), 200);
    GThread *thread = g_thread_new("call", run_call, NULL);
    wait_until_running(BACK);
    drain_back();
    for (size_t i = 0; i < FILLERS; i++) {
        close(fillers[i]);
    }
    ck_assert_int_eq(accept_requests(listener), 0);
    ck_assert_uint_eq(join_call(thread), 503);
    close(listener);
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"calls_of_a_node_that_has_not_heard",
         test_calls_of_a_node_that_has_not_heard, 1},
        {"body_that_arrives_later", test_body_that_arrives_later, 1},
        {"retry_beside_the_target", test_retry_beside_the_target, 1},
        {"request_without_a_connection", test_request_without_a_connection, 1},
        {NULL}};
    bv_program_start();
    atexit(kill_remaining);
    return support_run("leaving_target", tests);
}
