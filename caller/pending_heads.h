#ifndef BERYLVANE_CALLER_HEADS_H
#define BERYLVANE_CALLER_HEADS_H

#include <microhttpd.h>
#include <stdarg.h>

/*
 * heads - requests whose head libmicrohttpd is still reading
 *
 * libmicrohttpd refuses some heads by itself, such as a Content-Length that is
 * no number, and then writes the head of its answer twice. It says so to its
 * log only, so the log is where the refusal is answered in its place: once,
 * with the connection closed behind it. All calls are of the daemon's thread.
 */
typedef struct bv_pending_heads bv_pending_heads_t;

bv_pending_heads_t *bv_pending_heads_create(void);
void bv_pending_heads_destroy(bv_pending_heads_t *heads);

/* From the request line on, until the application has seen the head. */
void bv_pending_heads_add(bv_pending_heads_t *heads,
                          struct MHD_Connection *connection);
void bv_pending_heads_remove(bv_pending_heads_t *heads,
                             struct MHD_Connection *connection);

/* MHD_OPTION_EXTERNAL_LOGGER, with `context` the heads. */
void bv_pending_heads_log(void *context, const char *format,
                          va_list arguments);

#endif
