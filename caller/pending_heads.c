#include "pending_heads.h"

#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

#define REFUSAL_RESPONSE                                                      \
    "HTTP/1.1 400 Bad Request\r\n"                                            \
    "Content-Length: 0\r\nConnection: close\r\n\r\n"

struct bv_pending_heads {
    /* Set of struct MHD_Connection pointers. */
    GHashTable *connections;
};

bv_pending_heads_t *
bv_pending_heads_create(void)
{
    bv_pending_heads_t *pending = g_new0(bv_pending_heads_t, 1);
    pending->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    return pending;
}

void
bv_pending_heads_destroy(bv_pending_heads_t *pending)
{
    g_hash_table_destroy(pending->connections);
    g_free(pending);
}

void
bv_pending_heads_add(bv_pending_heads_t *pending,
                     struct MHD_Connection *connection)
{
    g_hash_table_add(pending->connections, connection);
}

void
bv_pending_heads_remove(bv_pending_heads_t *pending,
                        struct MHD_Connection *connection)
{
    g_hash_table_remove(pending->connections, connection);
}

/*
 * Whether libmicrohttpd has refused the head of a pending connection. The size
 * of a head is known once the head is complete; an accepted head would have
 * been passed to the application, and the connection would not be pending.
 */
static bool
is_head_refused(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(
               connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE) != NULL;
}

/*
 * Sends the response and shuts down the sending side of the socket, so that
 * libmicrohttpd cannot send its own response.
 */
static void
send_refusal(struct MHD_Connection *connection)
{
    int fd =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    ssize_t sent = send(fd, REFUSAL_RESPONSE, sizeof(REFUSAL_RESPONSE) - 1,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(fd, SHUT_WR);
    bv_counter_add(BV_COUNT_ANSWERS_NOT_RUN, 1);
    bv_log(BV_LOG_INFO, "head_refused", "sent", BV_NUM(sent), NULL);
}

void
bv_pending_heads_log(void *context, const char *format, va_list arguments)
{
    bv_pending_heads_t *pending = context;
    GHashTableIter iter;
    gpointer connection;
    char text[256];
    g_vsnprintf(text, sizeof(text), format, arguments);
    bv_log(BV_LOG_DEBUG, "http_server", "message", g_strchomp(text), NULL);
    g_hash_table_iter_init(&iter, pending->connections);
    while (g_hash_table_iter_next(&iter, &connection, NULL)) {
        if (is_head_refused(connection)) {
            g_hash_table_iter_remove(&iter);
            send_refusal(connection);
        }
    }
}
