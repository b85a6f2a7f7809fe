#include "connection.h"

#include "berylvane/common/clock.h"

#include <glib.h>

int
bv_connection_fd(struct MHD_Connection *connection)
{
    return MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
}

void
bv_connection_mark_accepted(void **socket_context)
{
    *socket_context = GSIZE_TO_POINTER((gsize)bv_clock_now_us());
}

int64_t
bv_connection_accepted_us(struct MHD_Connection *connection)
{
    return (int64_t)GPOINTER_TO_SIZE(
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context);
}
