#ifndef BERYLVANE_COMMON_STATUS_LINE_H
#define BERYLVANE_COMMON_STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * status_line - checks the status line of an HTTP/1 response, byte by byte
 *
 * The syntax is that of RFC 9112, section 4, without the leniency that it
 * leaves to recipients: http_parser and libcurl take more for a status line,
 * and what is spoiled may look like another status. The status must be one
 * that RFC 9110, section 15, allows: 100 to 599.
 */
typedef struct {
    /* Bytes read so far. */
    size_t size;
    uint16_t status;
    bool is_http_1_0;
    bool is_after_cr;
    /* The line was read up to its end. */
    bool is_complete;
    /* What is wrong with the line; NULL if nothing was found so far. */
    const char *error;
} bv_status_line_t;

void bv_status_line_init(bv_status_line_t *line);

/* Whether a status ends a response: 200 to 599. */
bool bv_status_is_final(uint16_t status);

/*
 * Reads bytes up to the end of the line or to the first one that is wrong, and
 * returns how many.
 */
size_t bv_status_line_read(bv_status_line_t *line, const char *data,
                           size_t size);

#endif
