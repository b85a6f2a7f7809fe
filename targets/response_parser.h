#ifndef BERYLVANE_TARGETS_RESPONSE_PARSER_H
#define BERYLVANE_TARGETS_RESPONSE_PARSER_H

#include "berylvane/common/response_head.h"
#include "response_body.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * response_parser - reads one final response from the bytes of a connection
 *
 * A response ends where its Content-Length or its last chunk says, or, if it
 * has neither, where the connection ends. Informational responses (1xx) are
 * skipped and trailers are ignored: they must not change the meaning of a
 * response.
 */
typedef struct {
    bv_response_share_t *share;
    /* A longer body is broken. */
    size_t body_limit_bytes;
    /*
     * Header that identifies the response; NULL for none. Both strings must
     * outlive the parser. See bv_target_head_t for the rule.
     */
    const char *echo_name;
    const char *echo_value;
    /* The request was HEAD: the response has no body. */
    bool is_head_request;
    /* Another request was sent on the connection before. */
    bool is_on_used_connection;
} bv_response_parser_options_t;

typedef enum {
    BV_RESPONSE_INCOMPLETE,
    BV_RESPONSE_COMPLETE,
    BV_RESPONSE_BROKEN,
} bv_response_state_t;

typedef struct {
    bv_response_parser_options_t options;
    bv_response_state_t state;
    /* Why the response is broken; NULL if it is not. */
    const char *error;
    bv_response_head_t head;
    bv_response_body_t body;
    /* The target keeps the connection open, and nothing else followed. */
    bool is_connection_reusable;
} bv_response_parser_t;

void bv_response_parser_init(bv_response_parser_t *parser,
                             const bv_response_parser_options_t *options);

/* Frees what the parser holds; a body that was not taken leaves the share. */
void bv_response_parser_clear(bv_response_parser_t *parser);

/*
 * Reads bytes of the connection. Bytes that follow a complete response are not
 * read, and make the connection not reusable.
 */
bv_response_state_t bv_response_parser_feed(bv_response_parser_t *parser,
                                            const char *data, size_t size);

/* Tells the parser that the target has closed its side of the connection. */
bv_response_state_t bv_response_parser_end(bv_response_parser_t *parser);

/* Ends the response as broken; `error` is kept if there is none yet. */
bv_response_state_t bv_response_parser_fail(bv_response_parser_t *parser,
                                            const char *error);

/* Whether any byte was received. */
bool bv_response_parser_has_started(const bv_response_parser_t *parser);

/* Moves the body to the caller, by which it leaves the share. */
GBytes *bv_response_parser_take_body(bv_response_parser_t *parser);

#endif
