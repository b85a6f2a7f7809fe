#include "pending_heads.h"

#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

#define REFUSAL                                                               \
    "HTTP/1.1 400 Bad Request\r\n"                                            \
    "Content-Length: 0\r\nConnection: close\r\n\r\n"

struct bv_pending_heads {
    /* Connections, as a set. */
    GHashTable *reading;
};

bv_pending_heads_t *
bv_pending_heads_create(void)
{
    bv_pending_heads_t *heads = g_new0(bv_pending_heads_t, 1);
    heads->reading = g_hash_table_new(g_direct_hash, g_direct_equal);
    return heads;
}

void
bv_pending_heads_destroy(bv_pending_heads_t *heads)
{
    g_hash_table_destroy(heads->reading);
    g_free(heads);
}

void
bv_pending_heads_add(bv_pending_heads_t *heads,
                     struct MHD_Connection *connection)
{
    g_hash_table_add(heads->reading, connection);
}

void
bv_pending_heads_remove(bv_pending_heads_t *heads,
                        struct MHD_Connection *connection)
{
    g_hash_table_remove(heads->reading, connection);
}

/* The application would have seen a head that is complete and accepted. */
static bool
is_refused(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(
               connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE) != NULL;
}

/* libmicrohttpd's own answer then meets a socket that sends nothing more. */
static void
refuse(struct MHD_Connection *connection)
{
    int fd =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    ssize_t sent =
        send(fd, REFUSAL, sizeof(REFUSAL) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
    shutdown(fd, SHUT_WR);
    bv_counter_add(BV_COUNT_ANSWERS_NOT_RUN, 1);
    bv_log(BV_LOG_INFO, "head_refused", "sent", BV_NUM(sent), NULL);
}

void
bv_pending_heads_log(void *context, const char *format, va_list arguments)
{
    bv_pending_heads_t *heads = context;
    GHashTableIter iter;
    gpointer connection;
    char text[256];
    g_vsnprintf(text, sizeof(text), format, arguments);
    bv_log(BV_LOG_DEBUG, "http_server", "message", g_strchomp(text), NULL);
    g_hash_table_iter_init(&iter, heads->reading);
    while (g_hash_table_iter_next(&iter, &connection, NULL)) {
        if (is_refused(connection)) {
            g_hash_table_iter_remove(&iter);
            refuse(connection);
        }
    }
}
