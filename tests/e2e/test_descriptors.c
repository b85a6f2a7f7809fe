#include "fixture.h"
#include "raw.h"

#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/*
 * Guards against a node that has no descriptor left for a connection to its
 * target and takes the target for unreachable: it then refuses all work until
 * it hears the target again.
 */

static fixture_t *fixture;

#define HEAD(path, connection)                                                \
    "GET " path " HTTP/1.1\r\nHost: x\r\nConnection: " connection "\r\n\r\n"
#define FIRST_REQUEST HEAD("/nothing", "keep-alive")
#define REQUEST HEAD("/depot/level", "close")
/* Below the descriptors that any node has open: it can open none. */
#define NO_DESCRIPTORS_LIMIT 8

/* Sets the limit of a node; returns the one before. */
static rlim_t
set_descriptor_limit(size_t instance, rlim_t limit)
{
    pid_t pid = cluster_pid(fixture->cluster, CLUSTER_NODE, instance);
    struct rlimit limits;
    ck_assert_int_eq(prlimit(pid, RLIMIT_NOFILE, NULL, &limits), 0);
    rlim_t previous = limits.rlim_cur;
    limits.rlim_cur = limit;
    ck_assert_int_eq(prlimit(pid, RLIMIT_NOFILE, &limits, NULL), 0);
    return previous;
}

/* Returns a connection that the node has accepted and answered once. */
static int
connect_to_node(uint16_t port)
{
    char byte;
    int fd = raw_connect(port);
    ck_assert_int_ge(fd, 0);
    raw_send(fd, FIRST_REQUEST, strlen(FIRST_REQUEST), FALSE);
    ck_assert_int_eq(read(fd, &byte, 1), 1);
    return fd;
}

/* Returns the response to REQUEST; the caller frees it. */
static char *
request_depot(int fd)
{
    raw_send(fd, REQUEST, strlen(REQUEST), FALSE);
    char *input = raw_read(fd);
    const char *response = g_strrstr(input, "HTTP/1.1 ");
    ck_assert_ptr_nonnull(response);
    char *copy = g_strdup(response);
    g_free(input);
    close(fd);
    return copy;
}

START_TEST(test_none_left)
{
    size_t depot = cluster_find_instance(fixture->cluster, "depot-1");
    uint16_t port = cluster_ports(fixture->cluster, depot)->outside;
    int first = connect_to_node(port);
    int second = connect_to_node(port);
    rlim_t limit = set_descriptor_limit(depot, NO_DESCRIPTORS_LIMIT);
    char *refusal = request_depot(first);
    set_descriptor_limit(depot, limit);
    ck_assert_msg(g_str_has_prefix(refusal, "HTTP/1.1 503 "), "%s", refusal);
    ck_assert_ptr_nonnull(strstr(refusal, "Berylvane-Outcome: not-run\r\n"));
    ck_assert_ptr_nonnull(
        strstr(refusal, "Berylvane-Reason: descriptors\r\n"));
    ck_assert_uint_ge(fixture_counter(fixture, depot, "reason_descriptors"),
                      1);
    ck_assert_uint_eq(fixture_executions(fixture, "/depot/level"), 0);
    char *answer = request_depot(second);
    ck_assert_msg(g_str_has_prefix(answer, "HTTP/1.1 200 "), "%s", answer);
    g_free(refusal);
    g_free(answer);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"none_left", test_none_left, 1}, {NULL}};
    return fixture_run(&fixture, "path.json", "descriptors", tests);
}
