#include "e2e/raw.h"
#include "listener_fixture.h"
#include "support.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Callers that leave or shut down their sending side. Guards against a caller
 * that is taken for one that left, and against one whose leaving is not seen.
 */

static void
wait_disconnects(listener_fixture_t *fixture, gint expected)
{
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    while (g_atomic_int_get(&fixture->disconnects) < expected) {
        ck_assert_msg(bv_clock_now_us() < end_us, "no disconnect reported");
        usleep(1000);
    }
}

/* A caller that leaves ends all its calls; what waited is not passed on. */
START_TEST(test_caller_leaves)
{
    listener_fixture_t fixture;
    gint answered_before;
    listener_fixture_start(&fixture);
    char *requests = listener_fixture_write_requests("abCd");
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), FALSE);
    ck_assert_int_eq(listener_fixture_take_call(&fixture, &answered_before),
                     'a');
    ck_assert_int_eq(listener_fixture_take_call(&fixture, &answered_before),
                     'b');
    close(fd);
    wait_disconnects(&fixture, 2);
    listener_fixture_answer(&fixture, 'b', 200, 2, false);
    listener_fixture_answer(&fixture, 'a', 200, 2, false);
    ck_assert_ptr_null(bv_ring_wait(fixture.passed, BV_US_PER_S / 10));
    ck_assert_int_eq(g_atomic_int_get(&fixture.disconnects), 2);
    listener_fixture_stop(&fixture);
    g_free(requests);
}
END_TEST

static const char *const half_closed_cases[] = {
    "a",
    "A",
    "abcd",
    "aBcD",
    "abcdefgh",
    "abcdefghijklmnopqrst",
    "AbcdEfghIjklMnopQrst",
};

/*
 * A caller that shuts down its sending side gets the responses to all that it
 * has sent, also to what was read ahead or not read yet, and is not taken for
 * one that left. It gets the same bytes as others.
 */
START_TEST(test_half_closed)
{
    const char *letters = half_closed_cases[_i];
    listener_fixture_t fixture;
    gint answered_before;
    listener_fixture_start(&fixture);
    char *requests = listener_fixture_write_requests(letters);
    GString *expected = g_string_new(NULL);
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), TRUE);
    for (const char *c = letters; *c != '\0'; c++) {
        ck_assert_int_eq(
            listener_fixture_take_call(&fixture, &answered_before), *c);
        /* Gives the listener time to see the end of the input. */
        usleep(20000);
        listener_fixture_answer(&fixture, *c, 200, 2, false);
        g_string_append_printf(expected, "%s200%c", c > letters ? " " : "",
                               *c);
    }
    char *answers = raw_read(fd);
    char *summary = listener_fixture_summarize(answers);
    ck_assert_str_eq(summary, expected->str);
    ck_assert_int_eq(g_atomic_int_get(&fixture.disconnects), 0);
    close(fd);
    listener_fixture_stop(&fixture);
    g_string_free(expected, TRUE);
    g_free(summary);
    g_free(answers);
    g_free(requests);
}
END_TEST

/* A caller that leaves after it shut down its sending side is noticed. */
START_TEST(test_half_closed_leaves)
{
    listener_fixture_t fixture;
    gint answered_before;
    listener_fixture_start(&fixture);
    char *requests = listener_fixture_write_requests("ab");
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), TRUE);
    ck_assert_int_eq(listener_fixture_take_call(&fixture, &answered_before),
                     'a');
    ck_assert_int_eq(listener_fixture_take_call(&fixture, &answered_before),
                     'b');
    usleep(20000);
    close(fd);
    wait_disconnects(&fixture, 2);
    listener_fixture_stop(&fixture);
    g_free(requests);
}
END_TEST

/* Waits until the listener has written something to the connection. */
static void
wait_written(int fd)
{
    char first;
    ck_assert_msg(recv(fd, &first, 1, MSG_PEEK) == 1, "nothing is written");
}

/*
 * A body that never comes costs its own connection alone, whether the input
 * ends before or after the call ahead of it is answered. The listener tells
 * that it has seen the end by the first bytes of the next response.
 */
START_TEST(test_body_never_comes)
{
    bool ends_first = _i == 1;
    listener_fixture_t fixture;
    gint answered_before;
    listener_fixture_start(&fixture);
    char *requests = listener_fixture_write_requests("a#");
    char *others = listener_fixture_write_requests("b");
    int fd = raw_connect(fixture.port);
    int other_fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), ends_first);
    ck_assert_int_eq(listener_fixture_take_call(&fixture, &answered_before),
                     'a');
    raw_send(other_fd, others, strlen(others), ends_first);
    ck_assert_int_eq(listener_fixture_take_call(&fixture, &answered_before),
                     'b');
    if (ends_first) {
        wait_written(fd);
        wait_written(other_fd);
    }
    listener_fixture_answer(&fixture, 'a', 200, 2, false);
    listener_fixture_answer(&fixture, 'b', 200, 2, false);
    if (!ends_first) {
        wait_written(fd);
        wait_written(other_fd);
        shutdown(fd, SHUT_WR);
        shutdown(other_fd, SHUT_WR);
    }
    char *answers = raw_read(fd);
    char *other_answers = raw_read(other_fd);
    char *summary = listener_fixture_summarize(answers);
    char *other_summary = listener_fixture_summarize(other_answers);
    ck_assert_str_eq(summary, "200a");
    ck_assert_str_eq(other_summary, "200b");
    ck_assert_int_eq(g_atomic_int_get(&fixture.disconnects), 0);
    close(fd);
    close(other_fd);
    listener_fixture_stop(&fixture);
    g_free(summary);
    g_free(other_summary);
    g_free(answers);
    g_free(other_answers);
    g_free(requests);
    g_free(others);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"caller_leaves", test_caller_leaves, 1},
        {"half_closed", test_half_closed, G_N_ELEMENTS(half_closed_cases)},
        {"half_closed_leaves", test_half_closed_leaves, 1},
        {"body_never_comes", test_body_never_comes, 2},
        {NULL}};
    listener_fixture_init();
    return support_run("listener_disconnect", tests);
}
