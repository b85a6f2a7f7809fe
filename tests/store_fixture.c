#include "store_fixture.h"

#include "support.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/program.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_MS 20
#define TIMEOUT_US (5 * BV_US_PER_S)
#define SOUND_BODY "{\"Rows\":[],\"Ver\":7,\"NowMs\":1}"

static void
answer(const store_server_t *server, int fd)
{
    char *text =
        g_strdup_printf("HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s",
                        server->header, strlen(server->body), server->body);
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    g_free(text);
}

static void
serve_sockets(store_server_t *server)
{
    char buffer[4096];
    for (nfds_t i = 1; i < server->socket_count; i++) {
        struct pollfd *entry = &server->sockets[i];
        if (entry->revents == 0) {
            continue;
        }
        ssize_t size = recv(entry->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (size < 0 && errno == EAGAIN) {
            /* The events are those of an earlier poll if one is interrupted.
             */
            continue;
        }
        if (size <= 0) {
            entry->events = 0;
            continue;
        }
        answer(server, entry->fd);
    }
}

static gpointer
run_server(gpointer data)
{
    store_server_t *server = data;
    while (!g_atomic_int_get(&server->is_stopping)) {
        poll(server->sockets, server->socket_count, POLL_MS);
        serve_sockets(server);
        if (server->sockets[0].revents != 0 &&
            server->socket_count < STORE_CONNECTIONS_LIMIT) {
            int fd = accept(server->sockets[0].fd, NULL, NULL);
            server->sockets[server->socket_count++] =
                (struct pollfd){.fd = fd, .events = POLLIN};
            g_atomic_int_inc(&server->accepted);
        }
    }
    for (nfds_t i = 0; i < server->socket_count; i++) {
        close(server->sockets[i].fd);
    }
    return NULL;
}

static uint16_t
server_listen(store_server_t *server)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, size), 0);
    ck_assert_int_eq(listen(fd, STORE_CONNECTIONS_LIMIT), 0);
    getsockname(fd, (struct sockaddr *)&address, &size);
    server->sockets[0] = (struct pollfd){.fd = fd, .events = POLLIN};
    server->socket_count = 1;
    return ntohs(address.sin_port);
}

static void
on_era(void *context, int64_t era)
{
    store_fixture_t *fixture = context;
    fixture->eras_reported++;
    fixture->last_era = era;
}

static void
on_answer(void *context, bv_store_answer_t *store_answer)
{
    store_fixture_t *fixture = context;
    fixture->result = store_answer->result;
    fixture->era = store_answer->era;
    bv_latch_open(fixture->latch);
}

void
store_fixture_open(store_fixture_t *fixture)
{
    fixture->server.header = "";
    fixture->server.body = SOUND_BODY;
    char *url = g_strdup_printf("http://127.0.0.1:%u",
                                server_listen(&fixture->server));
    fixture->thread = g_thread_new("server", run_server, &fixture->server);
    fixture->pool = bv_program_start();
    bv_store_options_t options = {
        .url = url,
        .timeout_us = TIMEOUT_US,
        .ring_capacity = STORE_CONNECTIONS_LIMIT,
        .on_era = on_era,
        .context = fixture,
    };
    fixture->store = bv_store_start(fixture->pool, &options);
    g_free(url);
}

void
store_fixture_close(store_fixture_t *fixture)
{
    bv_store_stop(fixture->store);
    g_atomic_int_set(&fixture->server.is_stopping, 1);
    g_thread_join(fixture->thread);
    bv_program_stop(fixture->pool);
}

void
store_fixture_read(store_fixture_t *fixture, bool uses_fresh_connection)
{
    const bv_store_request_options_t options = {
        .uses_fresh_connection = uses_fresh_connection,
    };
    fixture->latch = bv_latch_create(fixture->pool);
    ck_assert(bv_store_read(fixture->store, "op/config", &options, on_answer,
                            fixture));
    bv_latch_wait(fixture->latch);
}

void
store_fixture_watch(store_fixture_t *fixture, bool uses_fresh_connection)
{
    char table[] = "op";
    const bv_store_watch_t watch = {.table = table, .version = 7};
    const bv_store_request_options_t options = {
        .uses_fresh_connection = uses_fresh_connection,
    };
    fixture->latch = bv_latch_create(fixture->pool);
    ck_assert(
        bv_store_watch(fixture->store, &watch, &options, on_answer, fixture));
    bv_latch_wait(fixture->latch);
}
