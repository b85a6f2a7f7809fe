#include "berylvane/common/http_client.h"

#include "berylvane/common/latch.h"
#include "berylvane/common/program.h"
#include "support.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US 5000000
#define OK "HTTP/1.1 200 OK\r\n"

/* What a server sends for one request, and how the answer is taken. */
typedef struct {
    const char *bytes;
    /* The connection is reset instead of closed. */
    bool reset;
    bv_http_result_t result;
} case_t;

static const case_t cases[] = {
    {OK "X-Id: 7\r\nContent-Length: 2\r\n\r\nok", false, BV_HTTP_ANSWERED},
    {OK "x-id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
     false, BV_HTTP_ANSWERED},
    /* An answer to another request, or one that does not say whose it is. */
    {OK "X-Id: 8\r\nContent-Length: 2\r\n\r\nok", false, BV_HTTP_BROKEN},
    {OK "Content-Length: 2\r\n\r\nok", false, BV_HTTP_BROKEN},
    /* A refusal need not say it, but must not name another. */
    {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false,
     BV_HTTP_ANSWERED},
    {"HTTP/1.1 503 Busy\r\nX-Id: 8\r\nContent-Length: 0\r\n\r\n", false,
     BV_HTTP_BROKEN},
    /* Cut short, no answer at all, no HTTP. */
    {OK "X-Id: 7\r\nContent-Length: 9\r\n\r\nok", false, BV_HTTP_BROKEN},
    {OK "X-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false,
     BV_HTTP_BROKEN},
    {"", false, BV_HTTP_BROKEN},
    {"nonsense\r\n\r\n", false, BV_HTTP_BROKEN},
    /* Without a length an answer ends with its connection, if unharmed. */
    {OK "X-Id: 7\r\n\r\nok", false, BV_HTTP_ANSWERED},
    {OK "X-Id: 7\r\n\r\nok", true, BV_HTTP_BROKEN},
};

typedef struct {
    int listener;
    const case_t *row;
} server_t;

static gpointer
serve(gpointer data)
{
    const server_t *server = data;
    char request[4096];
    int fd = accept(server->listener, NULL, NULL);
    ssize_t got = recv(fd, request, sizeof(request), 0);
    ck_assert_int_gt(got, 0);
    const char *bytes = server->row->bytes;
    ssize_t sent = send(fd, bytes, strlen(bytes), MSG_NOSIGNAL);
    ck_assert_int_eq(sent, (ssize_t)strlen(bytes));
    if (server->row->reset) {
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
listen_anywhere(int *fd)
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
} wait_t;

static void
on_answer(void *context, const bv_http_answer_t *answer)
{
    wait_t *wait = context;
    wait->result = answer->result;
    bv_latch_open(wait->latch);
}

START_TEST(test_answers)
{
    server_t server = {.row = &cases[_i]};
    uint16_t port = listen_anywhere(&server.listener);
    GThread *thread = g_thread_new("server", serve, &server);
    apr_pool_t *pool = bv_program_start();
    wait_t wait = {.latch = bv_latch_create(pool)};
    bv_http_client_options_t options = {.ring_capacity = 4,
                                        .kept_connections = 1};
    bv_http_client_t *client = bv_http_client_start(pool, &options);
    char *url = g_strdup_printf("http://127.0.0.1:%u/a", port);
    bv_http_request_t *request = bv_http_request_create("GET", url);
    request->uses_fresh_connection = true;
    request->echo_name = g_strdup("X-Id");
    request->echo_value = g_strdup("7");
    request->timeout_us = TIMEOUT_US;
    request->answer_limit_bytes = 1024;
    request->on_answer = on_answer;
    request->context = &wait;
    ck_assert(bv_http_client_send(client, request));
    bv_latch_wait(wait.latch);
    ck_assert_msg(wait.result == server.row->result, "%s: %d",
                  server.row->bytes, wait.result);
    bv_http_client_stop(client);
    g_thread_join(thread);
    close(server.listener);
    g_free(url);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"answers", test_answers, G_N_ELEMENTS(cases)}, {NULL}};
    return support_run("http_client", tests);
}
