#include "silent_server.h"

#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 20

struct silent_server {
    const char *answer;
    uint16_t port;
    GThread *thread;
    int listener;
    struct pollfd sockets[SILENT_SERVER_CONNECTIONS];
    nfds_t socket_count;
    /* Requests are answered together when so many have arrived. */
    gint answers_together;
    /* Sockets with a lower index are not answered. */
    gint silent_sockets;
    gint is_stopping;
};

static void
answer_all(silent_server_t *server,
           bool has_request[SILENT_SERVER_CONNECTIONS])
{
    for (nfds_t i = 1; i < server->socket_count; i++) {
        if (!has_request[i]) {
            continue;
        }
        size_t size = strlen(server->answer);
        ssize_t sent =
            send(server->sockets[i].fd, server->answer, size, MSG_NOSIGNAL);
        ck_assert_int_eq(sent, (ssize_t)size);
        has_request[i] = false;
    }
}

static gint
receive_requests(silent_server_t *server,
                 bool has_request[SILENT_SERVER_CONNECTIONS])
{
    gint waiting = 0;
    char buffer[4096];
    for (nfds_t i = 1; i < server->socket_count; i++) {
        struct pollfd *entry = &server->sockets[i];
        if (entry->revents != 0 &&
            recv(entry->fd, buffer, sizeof(buffer), MSG_DONTWAIT) <= 0) {
            entry->events = 0;
        }
        else if (entry->revents != 0 &&
                 (gint)i >= g_atomic_int_get(&server->silent_sockets)) {
            has_request[i] = true;
        }
        waiting += has_request[i];
    }
    return waiting;
}

static gpointer
run_server(gpointer data)
{
    silent_server_t *server = data;
    bool has_request[SILENT_SERVER_CONNECTIONS] = {false};
    while (!g_atomic_int_get(&server->is_stopping)) {
        poll(server->sockets, server->socket_count, POLL_MS);
        gint waiting = receive_requests(server, has_request);
        if (waiting >= g_atomic_int_get(&server->answers_together)) {
            answer_all(server, has_request);
        }
        if (server->sockets[0].revents != 0 &&
            server->socket_count < SILENT_SERVER_CONNECTIONS) {
            server->sockets[server->socket_count++] = (struct pollfd){
                .fd = accept(server->listener, NULL, NULL), .events = POLLIN};
        }
    }
    for (nfds_t i = 0; i < server->socket_count; i++) {
        close(server->sockets[i].fd);
    }
    return NULL;
}

static void
server_listen(silent_server_t *server)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(server->listener, (struct sockaddr *)&address, size),
                     0);
    ck_assert_int_eq(listen(server->listener, SILENT_SERVER_CONNECTIONS), 0);
    getsockname(server->listener, (struct sockaddr *)&address, &size);
    server->sockets[0] =
        (struct pollfd){.fd = server->listener, .events = POLLIN};
    server->socket_count = 1;
    server->port = ntohs(address.sin_port);
}

silent_server_t *
silent_server_start(const char *answer, int32_t answers_together)
{
    silent_server_t *server = g_new0(silent_server_t, 1);
    server->answer = answer;
    server->answers_together = answers_together;
    server_listen(server);
    server->thread = g_thread_new("server", run_server, server);
    return server;
}

void
silent_server_stop(silent_server_t *server)
{
    g_atomic_int_set(&server->is_stopping, 1);
    g_thread_join(server->thread);
    g_free(server);
}

uint16_t
silent_server_port(const silent_server_t *server)
{
    return server->port;
}

void
silent_server_silence(silent_server_t *server, int32_t count)
{
    g_atomic_int_set(&server->answers_together, 1);
    /* The first socket is the listener. */
    g_atomic_int_set(&server->silent_sockets, count + 1);
}
