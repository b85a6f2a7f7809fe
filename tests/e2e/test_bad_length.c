#include "fixture.h"
#include "raw.h"

#include <string.h>
#include <unistd.h>

/*
 * Guards against a request whose Content-Length is not a number and that is
 * answered twice or hides a second request, which is then executed.
 */

static fixture_t *fixture;

#define SMUGGLED_REQUEST "GET /catalogue/hidden HTTP/1.1\r\nHost: x\r\n\r\n"
#define HEAD_BEFORE_LENGTH                                                    \
    "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: "

/* Requests whose length is not a number, each followed by a second one. */
static const char *const requests[] = {
    HEAD_BEFORE_LENGTH "-1\r\n\r\n" SMUGGLED_REQUEST,
    HEAD_BEFORE_LENGTH "+1\r\n\r\n" SMUGGLED_REQUEST,
    HEAD_BEFORE_LENGTH "0x4\r\n\r\n" SMUGGLED_REQUEST,
};

static size_t
count_occurrences(const char *text, const char *substring)
{
    size_t count = 0;
    for (const char *match = strstr(text, substring); match != NULL;
         match = strstr(match + 1, substring)) {
        count++;
    }
    return count;
}

/*
 * A request whose Content-Length is not a number must be refused once and its
 * connection closed, and the request after it must not be executed.
 */
START_TEST(test_refused)
{
    int fd = raw_connect(cluster_ports(fixture->cluster, 0)->outside);
    ck_assert_int_ge(fd, 0);
    raw_send(fd, requests[_i], strlen(requests[_i]), FALSE);
    char *answer = raw_read(fd);
    close(fd);
    size_t response_count = count_occurrences(answer, "HTTP/1.1 ");
    bool is_refused = g_str_has_prefix(answer, "HTTP/1.1 400 ");
    g_free(answer);
    ck_assert_uint_eq(fixture_executions(fixture, "/catalogue/hidden"), 0);
    ck_assert(is_refused);
    ck_assert_uint_eq(response_count, 1);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"refused", test_refused, G_N_ELEMENTS(requests)}, {NULL}};
    return fixture_run(&fixture, "path.json", "bad_length", tests);
}
