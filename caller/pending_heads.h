#ifndef BERYLVANE_CALLER_PENDING_HEADS_H
#define BERYLVANE_CALLER_PENDING_HEADS_H

#include <microhttpd.h>
#include <stdarg.h>

/*
 * pending_heads - connections from which libmicrohttpd is reading a head
 *
 * libmicrohttpd refuses some malformed heads itself, for example a
 * Content-Length that is not a number, and then sends the head of its response
 * twice. It reports such a refusal only in a log message. This module
 * therefore receives the log messages, sends a single response to a refused
 * request and shuts down the connection. All functions must be called on the
 * thread of the libmicrohttpd daemon.
 */
typedef struct bv_pending_heads bv_pending_heads_t;

bv_pending_heads_t *bv_pending_heads_create(void);
void bv_pending_heads_destroy(bv_pending_heads_t *pending);

/*
 * A connection is added when its request line has been read, and removed when
 * the head was passed to the application or the request has ended.
 */
void bv_pending_heads_add(bv_pending_heads_t *pending,
                          struct MHD_Connection *connection);
void bv_pending_heads_remove(bv_pending_heads_t *pending,
                             struct MHD_Connection *connection);

/* Logger for MHD_OPTION_EXTERNAL_LOGGER; `context` is a bv_pending_heads_t. */
void bv_pending_heads_log(void *context, const char *format,
                          va_list arguments);

#endif
