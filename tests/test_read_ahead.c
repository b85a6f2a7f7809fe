#include "e2e/raw.h"
#include "listener_fixture.h"
#include "support.h"

#include <string.h>
#include <unistd.h>

/*
 * Requests that are read while earlier ones of their connection run. Guards
 * against answers that reach another request than their own, and against calls
 * that are passed on although their caller will send them again.
 */
#define LARGE_BYTES (4 * 1024 * 1024)

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
play_step(listener_fixture_t *fixture, const char *step)
{
    char letter = step[1];
    size_t length = strlen(step);
    gint answered_before;
    if (step[0] == '>') {
        ck_assert_int_eq(listener_fixture_take_call(fixture, &answered_before),
                         letter);
        /* All requests before one that may run only once were answered. */
        if (g_ascii_isupper(letter)) {
            ck_assert_int_eq(answered_before,
                             g_atomic_int_get(&fixture->answered));
        }
        return;
    }
    uint16_t status = (uint16_t)g_ascii_strtoull(step + 2, NULL, 10);
    listener_fixture_answer(fixture, letter, status,
                            step[length - 1] == '*' ? LARGE_BYTES : 2,
                            step[length - 1] == '!');
}

/* Sends the requests in two parts, so that they are cut at `cut`. */
static void
play_case(const exchange_case_t *row, size_t cut)
{
    listener_fixture_t fixture;
    listener_fixture_start(&fixture);
    char *requests = listener_fixture_write_requests(row->requests);
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
        ck_assert_int_eq(
            listener_fixture_take_call(&fixture, &answered_before), 'z');
        listener_fixture_answer(&fixture, 'z', 200, 2, false);
    }
    char *answers = raw_read(fd);
    char *summary = listener_fixture_summarize(answers);
    char *expected = g_str_has_suffix(row->answers, "!")
                         ? g_strdup(row->answers)
                         : g_strconcat(row->answers, " 200z!", NULL);
    ck_assert_str_eq(summary, expected);
    ck_assert_ptr_null(bv_ring_pop(fixture.passed));
    close(fd);
    listener_fixture_stop(&fixture);
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
    char *requests = listener_fixture_write_requests(row.requests);
    size_t size = strlen(requests);
    g_free(requests);
    for (size_t cut = 1; cut < size; cut++) {
        play_case(&row, cut);
    }
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"exchanges", test_exchanges, G_N_ELEMENTS(exchange_cases)},
        {"cuts", test_cuts, 1},
        {NULL}};
    listener_fixture_init();
    return support_run("read_ahead", tests);
}
