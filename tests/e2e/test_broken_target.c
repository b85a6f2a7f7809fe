#include "../memory_peak.h"
#include "../raw_server.h"
#include "platform_fixture.h"
#include "raw.h"

#include "berylvane/common/program.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/*
 * Guards against a target in trouble whose broken answers reach callers, or
 * that brings down the node beside it and with it the requests of others: its
 * node kept bytes that were no answer, without end.
 */
#define MEMORY_LIMIT_MB 160
#define DESCRIPTOR_LIMIT 4000
#define TEST_DESCRIPTORS 4096
#define SETTINGS                                                              \
    "\"memory_limit_mb\": " G_STRINGIFY(                                      \
        MEMORY_LIMIT_MB) ", "                                                 \
                         "\"descriptor_limit\": " G_STRINGIFY(                \
                             DESCRIPTOR_LIMIT) ", "

/* The node beside the target in trouble, and one beside a sound target. */
#define BROKEN 0
#define SOUND 1
#define RENDEZVOUS_MS 1000
#define CROWD 300
#define SLOTS 2000
#define OTHERS_CALLS 10

#define CONFIG                                                                \
    "{\"Version\":\"r1\",\"Services\":[{\"Name\":\"broken\"},{\"Name\":"      \
    "\"sound\"}],\"VirtualHosts\":[{\"Hostname\":\"h.example\",\"Paths\":["   \
    "{\"Name\":\"one\",\"Prefix\":\"/a/\",\"Type\":\"safe\",\"TimeoutMs\":"   \
    "4000,\"Service\":\"broken\"},{\"Name\":\"two\",\"Prefix\":\"/u/\","      \
    "\"Type\":\"unsafe\",\"TimeoutMs\":4000,\"Service\":\"broken\"},"         \
    "{\"Name\":\"three\",\"Prefix\":\"/s/\",\"Type\":\"safe\",\"Service\":"   \
    "\"sound\"}]}]}"
/* Those of the fixture have another ID. */
#define REQUEST(line)                                                         \
    line " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: 8\r\n"                  \
         "Request-Deadline: 4000\r\nConnection: close\r\n"                    \
         "Content-Length: 0\r\n\r\n"
#define SIGNED "Request-Id: 8\r\nResponse-Signature: s\r\n"
#define HEAD "HTTP/1.1 200 OK\r\n" SIGNED

static platform_fixture_t fixture;

/*
 * Starts the nodes, of which BROKEN is beside a target that answers each
 * request with `reply`. Returns when both nodes send requests there.
 */
static raw_server_t *
start_deployment(const raw_reply_t *reply)
{
    raw_server_options_t options = {reply, 1};
    raw_server_t *server = raw_server_start(&options);
    /* A failed test leaves its processes behind. */
    platform_kill_remaining(&fixture);
    fixture = (platform_fixture_t){.extra_settings = SETTINGS,
                                   .rendezvous_ms = RENDEZVOUS_MS,
                                   .keeps_logs = true};
    platform_start_store(&fixture);
    platform_start_node(&fixture, "broken");
    platform_start_node(&fixture, "sound");
    fixture.nodes[BROKEN].slots = SLOTS;
    fixture.nodes[BROKEN].ports[PLATFORM_PORT_TARGET] =
        raw_server_port(server);
    platform_wait_for_store(&fixture);
    platform_write_row(&fixture, "op", "config", CONFIG);
    platform_wait_for_status(&fixture, BROKEN, "/s/1", 200);
    platform_wait_for_status(&fixture, BROKEN, "/a/1", 504);
    platform_wait_for_status(&fixture, SOUND, "/a/1", 504);
    return server;
}

/* Sends a request of others at the node beside the target in trouble. */
static uint16_t
call_of_others(void)
{
    return platform_call(&fixture, BROKEN, "/s/1", "");
}

typedef struct {
    const char *name;
    raw_reply_t reply;
    /* What the log says of it. */
    const char *error;
} broken_case_t;

static const broken_case_t broken_cases[] = {
    {"status 000",
     {"HTTP/1.1 000 OK\r\n" SIGNED "Content-Length: 2\r\n\r\nok", NULL},
     "error=\"status outside 100 to 599\""},
    {"refusal with the status 50",
     {"HTTP/1.1 50 Busy\r\n" SIGNED "Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n",
      NULL},
     "error=\"malformed status line\""},
    {"blank in a name",
     {HEAD "A B: c\r\nContent-Length: 2\r\n\r\nok", NULL},
     "error=\"malformed header name\""},
    {"control byte in a name",
     {HEAD "A\x01: c\r\nContent-Length: 2\r\n\r\nok", NULL},
     "error=\"malformed header name\""},
    {"no signature",
     {"HTTP/1.1 200 OK\r\nRequest-Id: 8\r\nContent-Length: 2\r\n\r\nok", NULL},
     "error=\"success without a signature\""},
    {"chunk longer than its size",
     {HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n", NULL},
     "error=\"no CR LF where a chunk ends\""},
};

static void
check_answer(const char *name, const char *request)
{
    int fd = raw_connect(fixture.nodes[SOUND].ports[PLATFORM_PORT_OUTBOUND]);
    ck_assert_int_ge(fd, 0);
    raw_send(fd, request, strlen(request), FALSE);
    char *answer = raw_read(fd);
    ck_assert_msg(g_str_has_prefix(answer, "HTTP/1.1 504 "), "%s: %.60s", name,
                  answer);
    ck_assert_msg(strstr(answer, "Response-Signature") == NULL, "%s: signed",
                  name);
    g_free(answer);
    close(fd);
}

/* A line of a log that names a broken answer, its request and its error. */
static bool
is_line_of(const char *line, const broken_case_t *row)
{
    return strstr(line, "event=target_answer_broken") != NULL &&
           strstr(line, "request=8 ") != NULL &&
           strstr(line, row->error) != NULL;
}

static uint32_t
count_lines(const broken_case_t *row)
{
    uint32_t count = 0;
    char *log = platform_read_log(&fixture, BROKEN);
    char **lines = g_strsplit(log, "\n", -1);
    for (char **line = lines; *line != NULL; line++) {
        count += is_line_of(*line, row);
    }
    g_strfreev(lines);
    g_free(log);
    return count;
}

START_TEST(test_broken_answer)
{
    const broken_case_t *row = &broken_cases[_i];
    raw_server_t *server = start_deployment(&row->reply);
    uint32_t connections = raw_server_connections(server);
    check_answer(row->name, REQUEST("POST /u/1"));
    connections = raw_server_connections(server) - connections;
    ck_assert_msg(connections == 1, "%s: %u connections", row->name,
                  connections);
    check_answer(row->name, REQUEST("GET /a/1"));
    uint16_t status = call_of_others();
    ck_assert_msg(status == 200, "%s: others got %u", row->name, status);
    platform_stop(&fixture);
    raw_server_stop(server);
}
END_TEST

START_TEST(test_log_line)
{
    const broken_case_t *row = &broken_cases[_i];
    raw_server_t *server = start_deployment(&row->reply);
    check_answer(row->name, REQUEST("POST /u/1"));
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (count_lines(row) == 0) {
        ck_assert_msg(bv_clock_now_us() < end_us, "%s: no line", row->name);
        usleep(20000);
    }
    ck_assert_uint_eq(count_lines(row), 1);
    platform_stop(&fixture);
    raw_server_stop(server);
}
END_TEST

#define TEXT_16 "aaaaaaaaaaaaaaaa"
#define TEXT_64 TEXT_16 TEXT_16 TEXT_16 TEXT_16
#define TEXT_256 TEXT_64 TEXT_64 TEXT_64 TEXT_64
#define TEXT_1024 TEXT_256 TEXT_256 TEXT_256 TEXT_256
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

typedef struct {
    const char *name;
    const char *start;
    /* Sent after the start, so many times; 0: until the node closes. */
    const char *rest;
    uint32_t repeats;
} endless_case_t;

static const endless_case_t endless_cases[] = {
    {"no answer", "", TEXT_1024, 0},
    {"reason", "HTTP/1.1 200 ", TEXT_1024, 0},
    {"header line", HEAD "A: ", TEXT_1024, 0},
    {"header lines", HEAD, "A: " TEXT_1024 "\r\n", 0},
    {"folds", HEAD "A: a\r\n", " " TEXT_1024 "\r\n", 0},
    {"interim answers", "", "HTTP/1.1 103 Hints\r\nA: " TEXT_1024 "\r\n\r\n",
     0},
    {"body without a length", HEAD "\r\n", TEXT_1024, 0},
    {"body of a long length", HEAD "Content-Length: 9000000000\r\n\r\n",
     TEXT_1024, 0},
    {"chunks", CHUNKED, "400\r\n" TEXT_1024 "\r\n", 0},
    {"zeros of a chunk size", CHUNKED, "0000000000000000", 0},
    {"extension", CHUNKED "1;a=", TEXT_1024, 0},
    {"extensions", CHUNKED, "1;a=" TEXT_1024 "\r\na\r\n", 0},
    {"trailers", CHUNKED "0\r\n", "A: " TEXT_1024 "\r\n", 0},
    {"header line that stops", HEAD "A: ", TEXT_1024, 60},
    {"header lines that stop", HEAD, "A: " TEXT_1024 "\r\n", 60},
    {"body that stops", HEAD "\r\n", TEXT_1024, 100},
};

/* Returns the bytes of the start and of the repeats, which g_free() frees. */
static char *
build_start(const endless_case_t *row)
{
    GString *text = g_string_new(row->start);
    for (uint32_t i = 0; i < row->repeats; i++) {
        g_string_append(text, row->rest);
    }
    return g_string_free(text, FALSE);
}

/* Returns the first status other than 200 that others get, or 200. */
static uint16_t
call_of_others_repeatedly(void)
{
    uint16_t status = 200;
    for (int i = 0; i < OTHERS_CALLS && status == 200; i++) {
        status = call_of_others();
    }
    return status;
}

static int *
send_crowd(void)
{
    int *clients = g_new(int, CROWD);
    const char *request = REQUEST("GET /a/1");
    uint16_t port = fixture.nodes[BROKEN].ports[PLATFORM_PORT_OUTBOUND];
    for (size_t i = 0; i < CROWD; i++) {
        clients[i] = raw_connect(port);
        ck_assert_int_ge(clients[i], 0);
        raw_send(clients[i], request, strlen(request), FALSE);
    }
    return clients;
}

static void
check_crowd(const char *name, int *clients)
{
    for (size_t i = 0; i < CROWD; i++) {
        char *answer = raw_read(clients[i]);
        ck_assert_msg(g_str_has_prefix(answer, "HTTP/1.1 50"),
                      "%s: client %zu got \"%.60s\"", name, i, answer);
        g_free(answer);
        close(clients[i]);
    }
    g_free(clients);
}

START_TEST(test_endless_answers)
{
    const endless_case_t *row = &endless_cases[_i];
    char *start = build_start(row);
    raw_reply_t reply = {start, row->repeats == 0 ? row->rest : NULL};
    raw_server_t *server = start_deployment(&reply);
    int *clients = send_crowd();
    uint16_t status_beside = call_of_others_repeatedly();
    check_crowd(row->name, clients);
    uint16_t status_after = call_of_others();
    int memory_mb = memory_peak_mb(fixture.nodes[BROKEN].pid);
    printf("%s: the node had %d MB\n", row->name, memory_mb);
    platform_stop(&fixture);
    raw_server_stop(server);
    g_free(start);
    /* Last, so that a check which fails leaves no thread behind. */
    ck_assert_msg(status_beside == 200, "%s: others got %u", row->name,
                  status_beside);
    ck_assert_msg(status_after == 200, "%s: others got %u afterwards",
                  row->name, status_after);
    ck_assert_int_le(memory_mb, MEMORY_BOUND_MB(MEMORY_LIMIT_MB));
}
END_TEST

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

int
main(void)
{
    const support_test_t tests[] = {
        {"broken_answer", test_broken_answer, G_N_ELEMENTS(broken_cases)},
        {"log_line", test_log_line, G_N_ELEMENTS(broken_cases)},
        {"endless_answers", test_endless_answers, G_N_ELEMENTS(endless_cases)},
        {NULL}};
    struct rlimit limit;
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = MIN(limit.rlim_max, TEST_DESCRIPTORS);
    setrlimit(RLIMIT_NOFILE, &limit);
    setenv("ASAN_OPTIONS", MEMORY_ASAN_OPTIONS, 1);
    bv_program_start();
    atexit(kill_remaining);
    return support_run("broken_target", tests);
}
