#include "berylvane/caller/listener.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/program.h"
#include "berylvane/common/ring.h"
#include "e2e/raw.h"
#include "support.h"

#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against answers on one connection that reach another request than
 * their own, and against calls that are passed on although their caller will
 * send them again.
 *
 * A request is named by a letter: a small one is idempotent (GET), a large one
 * may run only once (POST). Its answer has the letter as its body.
 */

#define WAIT_US (30 * BV_US_PER_S)
#define READ_AHEAD_REQUESTS 8
#define READ_AHEAD_BYTES 65536
#define LARGE_BYTES (4 * 1024 * 1024)
#define RING_CAPACITY 1024
#define PORT_FIRST 21400
#define PORT_COUNT 200

typedef struct {
    bv_call_t *call;
    /* Answers that had been given when the call was passed on. */
    gint answered_before;
} passed_t;

typedef struct {
    bv_listener_t *listener;
    uint16_t port;
    bv_ring_t *passed;
    gint answered;
    gint disconnects;
    /* Open calls by letter. */
    bv_call_t *open[128];
} fixture_t;

static apr_pool_t *pool;

static bool
on_call(void *context, bv_call_t *call)
{
    fixture_t *fixture = context;
    passed_t *passed = g_new0(passed_t, 1);
    passed->call = call;
    passed->answered_before = g_atomic_int_get(&fixture->answered);
    ck_assert(bv_ring_push(fixture->passed, passed));
    return true;
}

/* Refuses the calls "%" and "@", if it is asked before their body is read. */
static uint16_t
check_head(void *context, const bv_call_t *call)
{
    (void)context;
    return strcmp(call->path, "/%") == 0 || strcmp(call->path, "/@") == 0 ? 401
                                                                          : 0;
}

static bool
may_run_ahead(void *context, const bv_call_t *call)
{
    (void)context;
    return strcmp(call->method, "GET") == 0;
}

static void
on_disconnect(void *context, uint64_t tag)
{
    fixture_t *fixture = context;
    ck_assert_uint_gt(tag, 0);
    g_atomic_int_inc(&fixture->disconnects);
}

static void
start_limited(fixture_t *fixture, uint32_t connections_limit)
{
    bv_listener_options_t options = {
        .address = "127.0.0.1",
        .role = BV_LISTENER_OUTSIDE,
        .connections_limit = connections_limit,
        .limits = {.read_ahead_requests = READ_AHEAD_REQUESTS,
                   .read_ahead_bytes = READ_AHEAD_BYTES},
        .on_call = on_call,
        .check_head = check_head,
        .may_run_ahead = may_run_ahead,
        .on_disconnect = on_disconnect,
        .context = fixture,
    };
    *fixture = (fixture_t){.passed = bv_ring_create(pool, RING_CAPACITY)};
    for (int i = 0; i < PORT_COUNT && fixture->listener == NULL; i++) {
        options.port = (uint16_t)(PORT_FIRST + i);
        fixture->listener = bv_listener_start(&options, NULL);
    }
    ck_assert_ptr_nonnull(fixture->listener);
    fixture->port = options.port;
}

static void
start(fixture_t *fixture)
{
    start_limited(fixture, 0);
}

static void
answer(fixture_t *fixture, char letter, uint16_t status, size_t size,
       bool closes)
{
    bv_call_t *call = fixture->open[(int)letter];
    ck_assert_ptr_nonnull(call);
    char *text = g_malloc(size);
    memset(text, letter, size);
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_RAN,
        .body = g_bytes_new_take(text, size),
        .closes_connection = closes,
    };
    fixture->open[(int)letter] = NULL;
    g_atomic_int_inc(&fixture->answered);
    bv_call_reply(call, &reply);
    g_bytes_unref(reply.body);
}

static passed_t *
wait_passed(fixture_t *fixture)
{
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    passed_t *passed = NULL;
    while (passed == NULL && bv_clock_now_us() < end_us) {
        passed = bv_ring_wait(fixture->passed, BV_US_PER_S);
    }
    ck_assert_msg(passed != NULL, "no call is passed on");
    return passed;
}

/* Returns the letter of the next call; it is kept open. */
static char
take_call(fixture_t *fixture, gint *answered_before)
{
    passed_t *passed = wait_passed(fixture);
    char letter = passed->call->path[1];
    ck_assert_ptr_null(fixture->open[(int)letter]);
    fixture->open[(int)letter] = passed->call;
    *answered_before = passed->answered_before;
    g_free(passed);
    return letter;
}

static void
stop(fixture_t *fixture)
{
    passed_t *passed;
    bv_listener_close(fixture->listener);
    while ((passed = bv_ring_pop(fixture->passed)) != NULL) {
        bv_call_drop(passed->call);
        g_free(passed);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(fixture->open); i++) {
        if (fixture->open[i] != NULL) {
            bv_call_drop(fixture->open[i]);
        }
    }
    bv_listener_stop(fixture->listener);
}

/*
 * "?" is no request; "#" and "@" announce a body that never comes; "%" has a
 * whole body.
 */
static char *
write_requests(const char *letters)
{
    GString *text = g_string_new(NULL);
    for (const char *c = letters; *c != '\0'; c++) {
        if (*c == '?') {
            g_string_append(text, "no request\r\n\r\n");
        }
        else if (*c == '#' || *c == '@') {
            g_string_append_printf(text,
                                   "POST /%c HTTP/1.1\r\nHost: x\r\n"
                                   "Content-Length: 10\r\n\r\n",
                                   *c);
        }
        else if (*c == '%') {
            g_string_append(text, "POST /% HTTP/1.1\r\nHost: x\r\n"
                                  "Content-Length: 3\r\n\r\none");
        }
        else if (g_ascii_isupper(*c)) {
            g_string_append_printf(text,
                                   "POST /%c HTTP/1.1\r\nHost: x\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "3\r\none\r\n0\r\n\r\n",
                                   *c);
        }
        else {
            g_string_append_printf(text, "GET /%c HTTP/1.1\r\nHost: x\r\n\r\n",
                                   *c);
        }
    }
    return g_string_free(text, FALSE);
}

/*
 * Returns a text such as "200a 503b!": status and first letter of the body of
 * each whole answer, and "!" if it closes the connection.
 */
static char *
summarize(const char *answers)
{
    GString *summary = g_string_new(NULL);
    const char *rest = answers;
    while (*rest != '\0') {
        const char *body = strstr(rest, "\r\n\r\n");
        ck_assert_msg(g_str_has_prefix(rest, "HTTP/1.1 ") && body != NULL,
                      "no answer: %.40s", rest);
        char *head = g_strndup(rest, (gsize)(body - rest));
        const char *length = strstr(head, "Content-Length: ");
        ck_assert_ptr_nonnull(length);
        size_t size =
            g_ascii_strtoull(length + strlen("Content-Length: "), NULL, 10);
        body += strlen("\r\n\r\n");
        ck_assert_uint_ge(strlen(body), size);
        g_string_append_printf(
            summary, "%s%.3s%.*s%s", summary->len > 0 ? " " : "",
            head + strlen("HTTP/1.1 "), size > 0 ? 1 : 0, body,
            strstr(head, "Connection: close") != NULL ? "!" : "");
        size_t same = 0;
        while (same < size && body[same] == body[0]) {
            same++;
        }
        ck_assert_msg(same == size, "bodies are mixed");
        g_free(head);
        rest = body + size;
    }
    return g_string_free(summary, FALSE);
}

typedef struct {
    const char *requests;
    /*
     * Steps, separated by spaces: ">x" the call x is passed on; "=x200" it is
     * answered so, with "*" after it by a large body, with "!" by an answer
     * that is to close the connection.
     */
    const char *steps;
    const char *answers;
} exchange_case_t;

static const exchange_case_t exchange_cases[] = {
    {"ab", ">a >b =b200 =a200", "200a 200b"},
    {"abcdefgh",
     ">a >b >c >d >e >f >g >h =h200 =g200 =f200 =e200 =d200 =c200 =b200 "
     "=a200",
     "200a 200b 200c 200d 200e 200f 200g 200h"},
    {"Ab", ">A >b =b200 =A200", "200A 200b"},
    {"aB", ">a =a200 >B =B200", "200a 200B"},
    {"aBc", ">a =a200 >B >c =c200 =B200", "200a 200B 200c"},
    {"ABC", ">A =A200 >B =B200 >C =C200", "200A 200B 200C"},
    {"abc", ">a >b >c =c200 =a200* =b200", "200a 200b 200c"},
    {"abc", ">a >b >c =b503 =c200 =a200", "200a 503b 200c"},
    {"abc", ">a >b >c =b504 =a500 =c200", "500a 504b 200c"},
    {"abc", ">a >b >c =b200! =c200 =a200", "200a 200b 200c!"},
    {"abC", ">a >b =a200! =b200", "200a 200b!"},
    {"aBc", ">a =a200!", "200a!"},
    {"ab?", ">a >b =b200 =a200", "200a 200b 400!"},
    {"aB?c", ">a =a200 >B =B200", "200a 200B 400!"},
    {"?a", "", "400!"},
    /* A call that nothing goes before is refused before its body is read. */
    {"@", "", "401!"},
    {"%a", "", "401!"},
    /* One that waits is passed on, and refused in its turn. */
    {"a%b", ">a =a200 >% >b =b200 =%401", "200a 401% 200b"},
    {"A%B", ">A =A200 >% =%401 >B =B200", "200A 401% 200B"},
    {"ab%", ">a >b =b200 =a200 >% =%401", "200a 200b 401%"},
};

static void
play_step(fixture_t *fixture, const char *step)
{
    char letter = step[1];
    size_t length = strlen(step);
    gint answered_before;
    if (step[0] == '>') {
        ck_assert_int_eq(take_call(fixture, &answered_before), letter);
        /* All requests before one that may run only once were answered. */
        if (g_ascii_isupper(letter)) {
            ck_assert_int_eq(answered_before,
                             g_atomic_int_get(&fixture->answered));
        }
        return;
    }
    uint16_t status = (uint16_t)g_ascii_strtoull(step + 2, NULL, 10);
    answer(fixture, letter, status, step[length - 1] == '*' ? LARGE_BYTES : 2,
           step[length - 1] == '!');
}

/* Sends the requests in two parts, so that they are cut at `cut`. */
static void
play_case(const exchange_case_t *row, size_t cut)
{
    fixture_t fixture;
    start(&fixture);
    char *requests = write_requests(row->requests);
    char **steps = g_strsplit(row->steps, " ", -1);
    int fd = raw_connect(fixture.port);
    ck_assert_int_ge(fd, 0);
    raw_send(fd, requests, cut, FALSE);
    if (cut > 0) {
        usleep(1000);
    }
    raw_send(fd, requests + cut, strlen(requests) - cut, FALSE);
    for (char **step = steps; *step != NULL && **step != '\0'; step++) {
        play_step(&fixture, *step);
    }
    /* The last request makes sure that the connection is in order. */
    if (!g_str_has_suffix(row->answers, "!")) {
        const char *last =
            "GET /z HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        gint answered_before;
        raw_send(fd, last, strlen(last), FALSE);
        ck_assert_int_eq(take_call(&fixture, &answered_before), 'z');
        answer(&fixture, 'z', 200, 2, false);
    }
    char *answers = raw_read(fd);
    char *summary = summarize(answers);
    char *expected = g_str_has_suffix(row->answers, "!")
                         ? g_strdup(row->answers)
                         : g_strconcat(row->answers, " 200z!", NULL);
    ck_assert_str_eq(summary, expected);
    ck_assert_ptr_null(bv_ring_pop(fixture.passed));
    close(fd);
    stop(&fixture);
    g_free(expected);
    g_free(summary);
    g_free(answers);
    g_strfreev(steps);
    g_free(requests);
}

START_TEST(test_exchanges)
{
    play_case(&exchange_cases[_i], 0);
}
END_TEST

/* Requests that are cut at any byte are read as if they came at once. */
START_TEST(test_cuts)
{
    static const exchange_case_t row = {"aBc?", ">a =a200 >B >c =c200 =B200",
                                        "200a 200B 200c 400!"};
    char *requests = write_requests(row.requests);
    size_t size = strlen(requests);
    g_free(requests);
    for (size_t cut = 1; cut < size; cut++) {
        play_case(&row, cut);
    }
}
END_TEST

static void
wait_disconnects(fixture_t *fixture, gint expected)
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
    fixture_t fixture;
    gint answered_before;
    start(&fixture);
    char *requests = write_requests("abCd");
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), FALSE);
    ck_assert_int_eq(take_call(&fixture, &answered_before), 'a');
    ck_assert_int_eq(take_call(&fixture, &answered_before), 'b');
    close(fd);
    wait_disconnects(&fixture, 2);
    answer(&fixture, 'b', 200, 2, false);
    answer(&fixture, 'a', 200, 2, false);
    ck_assert_ptr_null(bv_ring_wait(fixture.passed, BV_US_PER_S / 10));
    ck_assert_int_eq(g_atomic_int_get(&fixture.disconnects), 2);
    stop(&fixture);
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
    fixture_t fixture;
    gint answered_before;
    start(&fixture);
    char *requests = write_requests(letters);
    GString *expected = g_string_new(NULL);
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), TRUE);
    for (const char *c = letters; *c != '\0'; c++) {
        ck_assert_int_eq(take_call(&fixture, &answered_before), *c);
        /* Gives the listener time to see the end of the input. */
        usleep(20000);
        answer(&fixture, *c, 200, 2, false);
        g_string_append_printf(expected, "%s200%c", c > letters ? " " : "",
                               *c);
    }
    char *answers = raw_read(fd);
    char *summary = summarize(answers);
    ck_assert_str_eq(summary, expected->str);
    ck_assert_int_eq(g_atomic_int_get(&fixture.disconnects), 0);
    close(fd);
    stop(&fixture);
    g_string_free(expected, TRUE);
    g_free(summary);
    g_free(answers);
    g_free(requests);
}
END_TEST

/* A caller that leaves after it shut down its sending side is noticed. */
START_TEST(test_half_closed_leaves)
{
    fixture_t fixture;
    gint answered_before;
    start(&fixture);
    char *requests = write_requests("ab");
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), TRUE);
    ck_assert_int_eq(take_call(&fixture, &answered_before), 'a');
    ck_assert_int_eq(take_call(&fixture, &answered_before), 'b');
    usleep(20000);
    close(fd);
    wait_disconnects(&fixture, 2);
    stop(&fixture);
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
    fixture_t fixture;
    gint answered_before;
    start(&fixture);
    char *requests = write_requests("a#");
    char *others = write_requests("b");
    int fd = raw_connect(fixture.port);
    int other_fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), ends_first);
    ck_assert_int_eq(take_call(&fixture, &answered_before), 'a');
    raw_send(other_fd, others, strlen(others), ends_first);
    ck_assert_int_eq(take_call(&fixture, &answered_before), 'b');
    if (ends_first) {
        wait_written(fd);
        wait_written(other_fd);
    }
    answer(&fixture, 'a', 200, 2, false);
    answer(&fixture, 'b', 200, 2, false);
    if (!ends_first) {
        wait_written(fd);
        wait_written(other_fd);
        shutdown(fd, SHUT_WR);
        shutdown(other_fd, SHUT_WR);
    }
    char *answers = raw_read(fd);
    char *other_answers = raw_read(other_fd);
    char *summary = summarize(answers);
    char *other_summary = summarize(other_answers);
    ck_assert_str_eq(summary, "200a");
    ck_assert_str_eq(other_summary, "200b");
    ck_assert_int_eq(g_atomic_int_get(&fixture.disconnects), 0);
    close(fd);
    close(other_fd);
    stop(&fixture);
    g_free(summary);
    g_free(other_summary);
    g_free(answers);
    g_free(other_answers);
    g_free(requests);
    g_free(others);
}
END_TEST

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
    fixture_t fixture;
    start(&fixture);
    char *requests = write_requests("a");
    int fd = raw_connect(fixture.port);
    size_t sent = send_without_end(fd, requests);
    ck_assert_uint_gt(sent / strlen(requests), READ_AHEAD_REQUESTS);
    guint passed_count = 0;
    passed_t *passed;
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
    stop(&fixture);
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
    fixture_t fixture;
    int slow_fds[SLOW_SENDERS];
    start_limited(&fixture, SLOW_SENDERS);
    char *requests = write_requests("a");
    for (int i = 0; i < SLOW_SENDERS; i++) {
        slow_fds[i] = raw_connect(fixture.port);
        ck_assert_int_ge(slow_fds[i], 0);
        raw_send(slow_fds[i], requests, 5, FALSE);
    }
    int fd = raw_connect(fixture.port);
    raw_send(fd, requests, strlen(requests), FALSE);
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    passed_t *passed = NULL;
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
    stop(&fixture);
    g_free(requests);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"exchanges", test_exchanges, G_N_ELEMENTS(exchange_cases)},
        {"cuts", test_cuts, 1},
        {"caller_leaves", test_caller_leaves, 1},
        {"half_closed", test_half_closed, G_N_ELEMENTS(half_closed_cases)},
        {"half_closed_leaves", test_half_closed_leaves, 1},
        {"body_never_comes", test_body_never_comes, 2},
        {"endless_sender", test_endless_sender, 1},
        {"slow_senders", test_slow_senders, 1},
        {NULL}};
    pool = bv_program_start();
    return support_run("read_ahead", tests);
}
