#include "e2e/raw.h"
#include "listener_fixture.h"
#include "support.h"

#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Callers that send without end, or a byte now and then. Guards against open
 * calls and connections beyond their bounds.
 */

/* Sends until the socket takes no more; returns the bytes that it took. */
static size_t
send_without_end(int fd, const char *text)
{
    size_t sent_bytes = 0;
    size_t size = strlen(text);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    for (int idle = 0; idle < 20;) {
        ssize_t sent = send(fd, text + sent_bytes % size,
                            size - sent_bytes % size, MSG_NOSIGNAL);
        if (sent > 0) {
            sent_bytes += (size_t)sent;
            idle = 0;
            continue;
        }
        usleep(10000);
        idle++;
    }
    return sent_bytes;
}

/*
 * A caller that sends without end and reads nothing is not read any more: the
 * calls that it has open stay within the bound.
 */
START_TEST(test_endless_sender)
{
    listener_fixture_t fixture;
    listener_fixture_start(&fixture);
    char *requests = listener_fixture_write_requests("a");
    int fd = raw_connect(fixture.port);
    size_t sent = send_without_end(fd, requests);
    ck_assert_uint_gt(sent / strlen(requests), READ_AHEAD_REQUESTS);
    guint passed_count = 0;
    passed_call_t *passed;
    while ((passed = bv_ring_wait(fixture.passed, BV_US_PER_S / 10)) != NULL) {
        passed_count++;
        bv_call_drop(passed->call);
        g_free(passed);
        if (passed_count == READ_AHEAD_REQUESTS) {
            break;
        }
    }
    ck_assert_uint_eq(passed_count, READ_AHEAD_REQUESTS);
    ck_assert_ptr_null(bv_ring_wait(fixture.passed, BV_US_PER_S / 10));
    close(fd);
    listener_fixture_stop(&fixture);
    g_free(requests);
}
END_TEST

#define SLOW_SENDERS 4
#define SLOW_INTERVAL_US 50000

/*
 * Guards against senders of a byte now and then that keep all connections of a
 * listener: each byte counted as activity, so that none of them was closed and
 * no other caller was accepted.
 */
START_TEST(test_slow_senders)
{
    listener_fixture_t fixture;
    int slow_fds[SLOW_SENDERS];
    listener_fixture_start_limited(&fixture, SLOW_SENDERS);
    char *requests = listener_fixture_write_requests("a");
    for (int i = 0; i < SLOW_SENDERS; i++) {
        slow_fds[i] = raw_connect(fixture.port);
        ck_assert_int_ge(slow_fds[i], 0);
        raw_send(slow_fds[i], requests, 5, FALSE);
    }
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), FALSE);
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    passed_call_t *passed = NULL;
    while (passed == NULL && bv_clock_now_us() < end_us) {
        for (int i = 0; i < SLOW_SENDERS; i++) {
            (void)send(slow_fds[i], "a", 1, MSG_NOSIGNAL);
        }
        passed = bv_ring_wait(fixture.passed, SLOW_INTERVAL_US);
    }
    ck_assert_msg(passed != NULL, "no call is passed on");
    ck_assert_str_eq(passed->call->path, "/a");
    bv_call_drop(passed->call);
    g_free(passed);
    for (int i = 0; i < SLOW_SENDERS; i++) {
        close(slow_fds[i]);
    }
    close(fd);
    listener_fixture_stop(&fixture);
    g_free(requests);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"endless_sender", test_endless_sender, 1},
                                    {"slow_senders", test_slow_senders, 1},
                                    {NULL}};
    listener_fixture_init();
    return support_run("listener_flood", tests);
}
