#include "fixture.h"
#include "raw.h"

#include <string.h>
#include <unistd.h>

/*
 * Guards against memory that a node holds for operators and does not count as
 * held.
 */

static fixture_t *fixture;

#define LARGE_BYTES 8388608
#define POLL_US 10000
#define UNFINISHED                                                            \
    "POST /config HTTP/1.1\r\nHost: x\r\n"                                    \
    "Content-Length: " G_STRINGIFY(LARGE_BYTES) "\r\n\r\nabc"
#define GAUGE "\nberylvane_held_bytes "

/* Returns what a node holds by its metrics. */
static uint64_t
held_bytes(size_t instance)
{
    gsize size;
    uint16_t port = cluster_ports(fixture->cluster, instance)->operators;
    bv_http_reply_t reply = cluster_call(port, "GET", "/metrics", NULL, NULL);
    const char *data = g_bytes_get_data(reply.body, &size);
    char *text = g_strndup(data, size);
    const char *line = strstr(text, GAUGE);
    ck_assert_ptr_nonnull(line);
    uint64_t bytes = g_ascii_strtoull(line + strlen(GAUGE), NULL, 10);
    g_free(text);
    bv_http_reply_clear(&reply);
    return bytes;
}

START_TEST(test_operator)
{
    uint16_t port = cluster_ports(fixture->cluster, 0)->operators;
    int fd = raw_connect(port);
    ck_assert_int_ge(fd, 0);
    raw_send(fd, UNFINISHED, strlen(UNFINISHED), FALSE);
    while (held_bytes(0) < LARGE_BYTES) {
        g_usleep(POLL_US);
    }
    close(fd);
    while (held_bytes(0) >= LARGE_BYTES) {
        g_usleep(POLL_US);
    }
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"operator", test_operator, 1}, {NULL}};
    return fixture_run(&fixture, "path.json", "held_bytes", tests);
}
