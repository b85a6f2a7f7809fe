#ifndef BERYLVANE_CALLER_CONNECTION_H
#define BERYLVANE_CALLER_CONNECTION_H

#include <microhttpd.h>
#include <stdint.h>

/*
 * connection - properties of a connection of libmicrohttpd
 */
int bv_connection_fd(struct MHD_Connection *connection);

/* Stores the current time in the context of a connection's socket. */
void bv_connection_mark_accepted(void **socket_context);

/* Returns the monotonic time of bv_connection_mark_accepted(). */
int64_t bv_connection_accepted_us(struct MHD_Connection *connection);

#endif
