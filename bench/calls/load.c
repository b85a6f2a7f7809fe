#include "calls.h"

#include "berylvane/common/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define ANSWER_TIMEOUT_S 10

/* One connection and the thread that uses it. */
typedef struct {
    const calls_kind_t *kind;
    GBytes *request;
    uint16_t port;
    int64_t pause_us;
    int64_t end_us;
    calls_load_result_t result;
} client_t;

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    struct timeval timeout = {.tv_sec = ANSWER_TIMEOUT_S};
    int enabled = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_request(int fd, GBytes *request)
{
    gsize size;
    const char *data = g_bytes_get_data(request, &size);
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= (gsize)sent;
    }
    return true;
}

static int
on_complete(http_parser *parser)
{
    *(bool *)parser->data = true;
    return 0;
}

/* Returns the status of the next answer; 0 if the connection broke. */
static uint16_t
receive_answer(int fd)
{
    static const http_parser_settings settings = {.on_message_complete =
                                                      on_complete};
    char buffer[READ_BYTES];
    bool is_complete = false;
    http_parser parser;
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = &is_complete;
    while (!is_complete) {
        ssize_t size = recv(fd, buffer, sizeof(buffer), 0);
        if (size <= 0 || http_parser_execute(&parser, &settings, buffer,
                                             (size_t)size) != (size_t)size) {
            return 0;
        }
    }
    return (uint16_t)parser.status_code;
}

static gpointer
run_client(gpointer data)
{
    client_t *client = data;
    int fd = connect_to(client->port);
    while (fd >= 0 && bv_clock_now_us() < client->end_us) {
        uint16_t status =
            send_request(fd, client->request) ? receive_answer(fd) : 0;
        client->result.answered += status != 0;
        client->result.failed += status != client->kind->expected_status;
        if (status == 0) {
            close(fd);
            fd = connect_to(client->port);
        }
        if (client->pause_us > 0) {
            usleep((useconds_t)client->pause_us);
        }
    }
    if (fd < 0) {
        client->result.failed++;
        return NULL;
    }
    close(fd);
    return NULL;
}

static GBytes *
build_request(const calls_kind_t *kind)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: bench\r\n",
                           kind->method, kind->path);
    if (kind->body_bytes > 0) {
        g_string_append_printf(text, "Content-Length: %zu\r\n",
                               kind->body_bytes);
    }
    g_string_append(text, "\r\n");
    for (size_t i = 0; i < kind->body_bytes; i++) {
        g_string_append_c(text, 'x');
    }
    return g_string_free_to_bytes(text);
}

calls_load_result_t
calls_load_run(const calls_kind_t *kind, const calls_load_options_t *options)
{
    calls_load_result_t sum = {0};
    uint32_t count = options->connection_count;
    client_t *clients = g_new0(client_t, count);
    GThread **threads = g_new0(GThread *, count);
    GBytes *request = build_request(kind);
    int64_t end_us = bv_clock_now_us() + options->duration_us;
    for (uint32_t i = 0; i < count; i++) {
        clients[i] = (client_t){
            .kind = kind,
            .request = request,
            .port = options->port,
            .pause_us = options->pause_us,
            .end_us = end_us,
        };
        threads[i] = g_thread_new("client", run_client, &clients[i]);
    }
    for (uint32_t i = 0; i < count; i++) {
        g_thread_join(threads[i]);
        sum.answered += clients[i].result.answered;
        sum.failed += clients[i].result.failed;
    }
    g_bytes_unref(request);
    g_free(threads);
    g_free(clients);
    return sum;
}
