#ifndef BERYLVANE_COMMON_HEADERS_H
#define BERYLVANE_COMMON_HEADERS_H

#include <glib.h>
#include <stdbool.h>

/*
 * headers - HTTP header names and blocks of header lines
 *
 * A block is text of "Name: value\r\n" lines that holds end-to-end headers
 * only: no hop-by-hop header and none that the system itself sets.
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

#define BV_HEADER_BLOCK_LIMIT_BYTES 16384

/* Whether a header is passed on between caller and target. */
bool bv_header_is_forwarded(const char *name);

/* Appends a line to a block when the header passes. */
void bv_headers_append(GString *block, const char *name, const char *value);

/* The lines of `block` that pass, as a new block. */
char *bv_headers_filter(const char *block);

/* A copy of the first value of `name`, or NULL. */
char *bv_headers_get(const char *block, const char *name);

/* Calls `visit` for each line of a block (NULL: none). */
void bv_headers_foreach(const char *block,
                        void (*visit)(void *context, const char *name,
                                      const char *value),
                        void *context);

#endif
