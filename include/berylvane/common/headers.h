#ifndef BERYLVANE_COMMON_HEADERS_H
#define BERYLVANE_COMMON_HEADERS_H

#include <glib.h>
#include <stdbool.h>

/*
 * headers - HTTP header names and blocks of header lines
 *
 * A block is a text of "Name: value\r\n" lines.
 */
#define BV_HEADER_IDEMPOTENCY_KEY "Idempotency-Key"
#define BV_HEADER_OUTCOME "Berylvane-Outcome"
#define BV_HEADER_REASON "Berylvane-Reason"
#define BV_HEADER_REQUEST_ID "Berylvane-Request"
#define BV_HEADER_CUSTOMER "Berylvane-Customer"
#define BV_HEADER_TIMEOUT "Berylvane-Timeout-Ms"
#define BV_HEADER_TICKET "Berylvane-Ticket"
#define BV_HEADER_RAN_STATUS "Berylvane-Ran-Status"
#define BV_HEADER_RAN_DIGEST "Berylvane-Ran-Digest"
#define BV_HEADER_TRACEPARENT "traceparent"

/*
 * Whether a header is forwarded between caller and target. Hop-by-hop headers
 * and headers that a node sets itself are not forwarded.
 */
bool bv_header_is_forwarded(const char *name);

/* Appends the line "Name: value\r\n", which costs less than a format. */
void bv_headers_append_line(GString *block, const char *name,
                            const char *value);

/*
 * Returns a new block with those headers of `block` that are forwarded; the
 * caller frees it with g_free(). Who reads the head bounds its size. Lines
 * grow by up to a quarter, since a blank follows each colon.
 */
char *bv_headers_filter(const char *block);

/*
 * Returns a copy of the value of the first header `name`, or NULL if there is
 * none. The name's case is ignored. The caller frees the copy with g_free().
 */
char *bv_headers_get(const char *block, const char *name);

/* Calls `visit` for each header of `block`; a NULL block has no headers. */
void bv_headers_foreach(const char *block,
                        void (*visit)(void *context, const char *name,
                                      const char *value),
                        void *context);

#endif
