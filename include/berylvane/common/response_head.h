#ifndef BERYLVANE_COMMON_RESPONSE_HEAD_H
#define BERYLVANE_COMMON_RESPONSE_HEAD_H

#include "berylvane/common/field_lines.h"
#include "berylvane/common/response_framing.h"
#include "berylvane/common/status_line.h"

#include <glib.h>

/*
 * response_head - reads the head of a response, byte by byte
 *
 * Heads of informational responses (1xx) come before it and are skipped. All
 * are checked; what RFC 9112 does not allow makes the response broken.
 */

/* Limit of all heads of one response. */
#define BV_RESPONSE_HEAD_LIMIT_BYTES ((size_t)64 * 1024)

typedef struct {
    /*
     * Header that identifies the response; NULL for none. Another value than
     * `echo_value` is that of another request. Both must outlive the head.
     */
    const char *echo_name;
    const char *echo_value;
} bv_response_head_options_t;

typedef struct {
    bv_response_head_options_t options;
    /* Of the head that is read. */
    bv_status_line_t status_line;
    bv_field_lines_t field_lines;
    /* Its field lines as they were received; NULL after the final one. */
    GString *received;
    /* Bytes of all heads so far. */
    size_t size;
    /* What is wrong; NULL if nothing was found so far. */
    const char *error;

    /* The final head was read, and what follows is known. */
    bool is_complete;
    uint16_t status;
    /* Header lines, each "Name: value" and CR LF; a folded value is one line.
     */
    GString *lines;
    bv_response_framing_t framing;
    bool has_echo;
    /* The server keeps the connection open after the response. */
    bool keeps_connection;
} bv_response_head_t;

void bv_response_head_init(bv_response_head_t *head,
                           const bv_response_head_options_t *options);
void bv_response_head_clear(bv_response_head_t *head);

/*
 * Reads bytes up to the end of the final head or to the first one that is
 * wrong, and returns how many.
 */
size_t bv_response_head_read(bv_response_head_t *head, const char *data,
                             size_t size);

/*
 * Whether a complete head identifies its response as far as it must: one of a
 * success, and any on a connection that was used before, has the header.
 */
bool bv_response_head_is_identified(const bv_response_head_t *head,
                                    bool is_on_used_connection);

/*
 * Returns what is wrong with a status and header lines that another node has
 * read from a target, by the rules of a final head; NULL for nothing. `lines`
 * may be NULL.
 */
const char *bv_response_head_check(uint16_t status, const char *lines);

/* Whether a body follows the complete head. */
bool bv_response_head_has_body(const bv_response_head_t *head,
                               bool is_head_request);

#endif
