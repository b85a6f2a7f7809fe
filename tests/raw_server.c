#include "raw_server.h"

#include <arpa/inet.h>
#include <check.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 64
#define REQUEST_TIMEOUT_US G_TIME_SPAN_MINUTE

struct raw_server {
    raw_server_options_t options;
    int listener;
    uint16_t port;
    GThread *thread;
    gint requests;
    GMutex mutex;
    /* First line of the first request; the mutex guards it. */
    char *first_line;
    GCond first_request;
    /* Threads of connections and their sockets; the mutex guards both. */
    GPtrArray *threads;
    GArray *sockets;
};

typedef struct {
    raw_server_t *server;
    int fd;
} connection_t;

static bool
send_text(int fd, const char *text)
{
    size_t size = strlen(text);
    return send(fd, text, size, MSG_NOSIGNAL) == (ssize_t)size;
}

static const raw_reply_t *
next_reply(raw_server_t *server)
{
    guint number = (guint)g_atomic_int_add(&server->requests, 1);
    guint last = server->options.reply_count - 1;
    return &server->options.replies[MIN(number, last)];
}

static void
note_request(raw_server_t *server, const char *request, size_t size)
{
    g_mutex_lock(&server->mutex);
    if (server->first_line == NULL) {
        const char *end = memchr(request, '\r', size);
        size_t length = end != NULL ? (size_t)(end - request) : size;
        server->first_line = g_strndup(request, length);
        g_cond_broadcast(&server->first_request);
    }
    g_mutex_unlock(&server->mutex);
}

/* Answers one request for each piece that arrives; requests are short. */
static gpointer
run_connection(gpointer data)
{
    connection_t *connection = data;
    char request[4096];
    ssize_t size;
    while ((size = recv(connection->fd, request, sizeof(request), 0)) > 0) {
        note_request(connection->server, request, (size_t)size);
        const raw_reply_t *reply = next_reply(connection->server);
        if (!send_text(connection->fd, reply->bytes)) {
            break;
        }
        while (reply->endless != NULL &&
               send_text(connection->fd, reply->endless)) {
        }
    }
    g_free(connection);
    return NULL;
}

static gpointer
run_server(gpointer data)
{
    raw_server_t *server = data;
    for (;;) {
        int fd = accept(server->listener, NULL, NULL);
        if (fd < 0) {
            return NULL;
        }
        connection_t *connection = g_new0(connection_t, 1);
        *connection = (connection_t){server, fd};
        g_mutex_lock(&server->mutex);
        g_array_append_val(server->sockets, fd);
        g_ptr_array_add(
            server->threads,
            g_thread_new("connection", run_connection, connection));
        g_mutex_unlock(&server->mutex);
    }
}

raw_server_t *
raw_server_start(const raw_server_options_t *options)
{
    raw_server_t *server = g_new0(raw_server_t, 1);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    server->options = *options;
    g_mutex_init(&server->mutex);
    g_cond_init(&server->first_request);
    server->threads = g_ptr_array_new();
    server->sockets = g_array_new(FALSE, FALSE, sizeof(int));
    server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(server->listener, (struct sockaddr *)&address, size),
                     0);
    ck_assert_int_eq(listen(server->listener, BACKLOG), 0);
    getsockname(server->listener, (struct sockaddr *)&address, &size);
    server->port = ntohs(address.sin_port);
    server->thread = g_thread_new("server", run_server, server);
    return server;
}

void
raw_server_stop(raw_server_t *server)
{
    shutdown(server->listener, SHUT_RDWR);
    g_thread_join(server->thread);
    close(server->listener);
    for (guint i = 0; i < server->sockets->len; i++) {
        shutdown(g_array_index(server->sockets, int, i), SHUT_RDWR);
        g_thread_join(server->threads->pdata[i]);
        close(g_array_index(server->sockets, int, i));
    }
    g_ptr_array_unref(server->threads);
    g_array_unref(server->sockets);
    g_cond_clear(&server->first_request);
    g_mutex_clear(&server->mutex);
    g_free(server->first_line);
    g_free(server);
}

uint16_t
raw_server_port(const raw_server_t *server)
{
    return server->port;
}

uint32_t
raw_server_connections(raw_server_t *server)
{
    g_mutex_lock(&server->mutex);
    uint32_t connections = server->sockets->len;
    g_mutex_unlock(&server->mutex);
    return connections;
}

char *
raw_server_wait_for_request(raw_server_t *server)
{
    gint64 end_us = g_get_monotonic_time() + REQUEST_TIMEOUT_US;
    bool is_waiting = true;
    g_mutex_lock(&server->mutex);
    while (server->first_line == NULL && is_waiting) {
        is_waiting =
            g_cond_wait_until(&server->first_request, &server->mutex, end_us);
    }
    char *first_line = g_strdup(server->first_line);
    g_mutex_unlock(&server->mutex);
    return first_line;
}
