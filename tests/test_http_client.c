#include "berylvane/common/http_client.h"

#include "berylvane/common/latch.h"
#include "berylvane/common/program.h"
#include "raw_server.h"
#include "support.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Tests how the HTTP client classifies what a server sends. A caller must not
 * get the answer to another request, nor a truncated answer, as an answer to
 * its request: such answers come about when connections are mixed up, cut or
 * reset. Each case uses a real connection on the loopback interface.
 */
#define REQUEST_TIMEOUT_US 5000000
#define OK "HTTP/1.1 200 OK\r\n"

/* What the server sends, and the result that the client must report. */
typedef struct {
    const char *bytes;
    /* The server resets the connection instead of closing it. */
    bool is_reset;
    bv_http_result_t result;
} answer_case_t;

static const answer_case_t answer_cases[] = {
    {OK "X-Id: 7\r\nContent-Length: 2\r\n\r\nok", false, BV_HTTP_ANSWERED},
    {OK "x-id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     false, BV_HTTP_ANSWERED},
    /* A successful answer to another request, or without the echo header. */
    {OK "X-Id: 8\r\nContent-Length: 2\r\n\r\nok", false, BV_HTTP_BROKEN},
    {OK "Content-Length: 2\r\n\r\nok", false, BV_HTTP_BROKEN},
    /*
     * The first answer on a connection may omit the echo header if it is a
     * refusal, but must not have another value.
     */
    {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false,
     BV_HTTP_ANSWERED},
    {"HTTP/1.1 503 Busy\r\nX-Id: 8\r\nContent-Length: 0\r\n\r\n", false,
     BV_HTTP_BROKEN},
    /* Truncated bodies, no answer at all, bytes that are not HTTP. */
    {OK "X-Id: 7\r\nContent-Length: 9\r\n\r\nok", false, BV_HTTP_BROKEN},
    {OK "X-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false,
     BV_HTTP_BROKEN},
    {"", false, BV_HTTP_BROKEN},
    {"nonsense\r\n\r\n", false, BV_HTTP_BROKEN},
    /*
     * Without a length, the body ends where the server closes the connection.
     * A reset connection means that the body may be truncated.
     */
    {OK "X-Id: 7\r\n\r\nok", false, BV_HTTP_ANSWERED},
    {OK "X-Id: 7\r\n\r\nok", true, BV_HTTP_BROKEN},
};

typedef struct {
    int listener;
    const answer_case_t *answer_case;
} server_t;

static gpointer
run_server(gpointer data)
{
    const server_t *server = data;
    char request[4096];
    int fd = accept(server->listener, NULL, NULL);
    ssize_t received = recv(fd, request, sizeof(request), 0);
    ck_assert_int_gt(received, 0);
    const char *bytes = server->answer_case->bytes;
    ssize_t sent = send(fd, bytes, strlen(bytes), MSG_NOSIGNAL);
    ck_assert_int_eq(sent, (ssize_t)strlen(bytes));
    if (server->answer_case->is_reset) {
        struct linger linger = {.l_onoff = 1};
        usleep(50000);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    }
    else {
        shutdown(fd, SHUT_WR);
    }
    close(fd);
    return NULL;
}

static uint16_t
listen_on_free_port(int *fd)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    *fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(*fd, (struct sockaddr *)&address, size), 0);
    ck_assert_int_eq(listen(*fd, 4), 0);
    getsockname(*fd, (struct sockaddr *)&address, &size);
    return ntohs(address.sin_port);
}

typedef struct {
    bv_latch_t *latch;
    bv_http_result_t result;
} pending_request_t;

static void
on_answer(void *context, const bv_http_answer_t *answer)
{
    pending_request_t *pending = context;
    pending->result = answer->result;
    bv_latch_open(pending->latch);
}

static void
check_result(const answer_case_t *answer_case)
{
    server_t server = {.answer_case = answer_case};
    uint16_t port = listen_on_free_port(&server.listener);
    GThread *thread = g_thread_new("server", run_server, &server);
    apr_pool_t *pool = bv_program_start();
    pending_request_t pending = {.latch = bv_latch_create(pool)};
    bv_http_client_options_t options = {.ring_capacity = 4,
                                        .kept_connections = 1};
    bv_http_client_t *client = bv_http_client_start(pool, &options);
    char *url = g_strdup_printf("http://127.0.0.1:%u/a", port);
    bv_http_request_t *request = bv_http_request_create("GET", url);
    request->uses_fresh_connection = true;
    request->echo_name = g_strdup("X-Id");
    request->echo_value = g_strdup("7");
    request->timeout_us = REQUEST_TIMEOUT_US;
    request->answer_limit_bytes = 1024;
    request->on_answer = on_answer;
    request->context = &pending;
    ck_assert(bv_http_client_send(client, request));
    bv_latch_wait(pending.latch);
    ck_assert_msg(pending.result == server.answer_case->result, "%s: %d",
                  server.answer_case->bytes, pending.result);
    bv_http_client_stop(client);
    g_thread_join(thread);
    close(server.listener);
    g_free(url);
    bv_program_stop(pool);
}

START_TEST(test_results_of_answers)
{
    check_result(&answer_cases[_i]);
}
END_TEST

typedef struct {
    const char *bytes;
    /*
     * Bytes at the end without which the answer is taken as whole: the body
     * is complete with its last chunk (RFC 9112, section 8).
     */
    size_t optional_bytes;
} whole_answer_t;

static const whole_answer_t whole_answers[] = {
    {OK "X-Id: 7\r\nX-Signature: a\r\nContent-Length: 2\r\n\r\nok", 0},
    {OK "X-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     1},
    {"HTTP/1.1 503 Busy\r\nX-Id: 7\r\nNot-Executed: 1\r\n"
     "Content-Length: 0\r\n\r\n",
     0},
};

/* An answer whose connection ends at any byte before its end is broken. */
START_TEST(test_cut_answers)
{
    const whole_answer_t *whole = &whole_answers[_i];
    size_t size = strlen(whole->bytes);
    for (size_t cut = 0; cut <= size; cut++) {
        char *part = g_strndup(whole->bytes, cut);
        bool is_whole = cut + whole->optional_bytes >= size;
        answer_case_t answer_case = {
            part, false, is_whole ? BV_HTTP_ANSWERED : BV_HTTP_BROKEN};
        check_result(&answer_case);
        g_free(part);
    }
}
END_TEST

/*
 * Guards against a request for another resource than the one named: libcurl by
 * itself removes dot segments.
 */
static const char *const paths[] = {"/a/../b", "/../b",     "/a/./b",
                                    "/a/.",    "/a/..",     "/./",
                                    "/a//b/.", "/..?x=/..", "/a/%2e%2e/b"};

START_TEST(test_path_arrives_unchanged)
{
    const char *path = paths[_i];
    const raw_reply_t reply = {
        .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    raw_server_options_t server_options = {&reply, 1};
    raw_server_t *server = raw_server_start(&server_options);
    apr_pool_t *pool = bv_program_start();
    pending_request_t pending = {.latch = bv_latch_create(pool)};
    bv_http_client_options_t options = {.ring_capacity = 4,
                                        .kept_connections = 1};
    bv_http_client_t *client = bv_http_client_start(pool, &options);
    char *url = g_strdup_printf("http://127.0.0.1:%u%s",
                                raw_server_port(server), path);
    bv_http_request_t *request = bv_http_request_create("GET", url);
    request->timeout_us = REQUEST_TIMEOUT_US;
    request->on_answer = on_answer;
    request->context = &pending;
    ck_assert(bv_http_client_send(client, request));
    bv_latch_wait(pending.latch);
    char *expected = g_strdup_printf("GET %s HTTP/1.1", path);
    char *first_line = raw_server_wait_for_request(server);
    ck_assert_str_eq(first_line, expected);
    ck_assert_int_eq(pending.result, BV_HTTP_ANSWERED);
    bv_http_client_stop(client);
    raw_server_stop(server);
    g_free(first_line);
    g_free(expected);
    g_free(url);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"path_arrives_unchanged", test_path_arrives_unchanged,
         G_N_ELEMENTS(paths)},
        {"results_of_answers", test_results_of_answers,
         G_N_ELEMENTS(answer_cases)},
        {"cut_answers", test_cut_answers, G_N_ELEMENTS(whole_answers)},
        {NULL}};
    return support_run("http_client", tests);
}
