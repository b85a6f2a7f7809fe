#ifndef BERYLVANE_CALLER_REQUEST_PARSER_H
#define BERYLVANE_CALLER_REQUEST_PARSER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * request_parser - reads the HTTP requests of one connection
 *
 * Lines must end with CR LF. A complete head is read with http_parser; how it
 * is cut into pieces before does not matter. The parser stops behind each
 * request, so that the owner decides when the next one is read.
 */
typedef struct bv_request_parser bv_request_parser_t;

/* The head of a request; valid during on_head. */
typedef struct {
    const char *method;
    /* Path and query as received. */
    const char *target;
    /* All header lines, each ended by CR LF. */
    const char *lines;
    /* Declared length of the body; 0 for a chunked body. */
    uint64_t content_length;
    /* A body follows, with a length above 0 or in chunks. */
    bool has_body;
    /* The sender waits for "100 Continue" before it sends the body. */
    bool expects_continue;
    /* The connection may stay open after the answer. */
    bool keeps_alive;
    /* HTTP/1.0, in whose answers a kept connection has to be stated. */
    bool is_http_1_0;
} bv_request_head_t;

typedef struct {
    /*
     * Handles a complete head and a piece of the body. Both return 0, or the
     * HTTP status that the request is refused with.
     */
    uint16_t (*on_head)(void *context, const bv_request_head_t *head);
    uint16_t (*on_body)(void *context, const char *data, size_t size);
    void *context;
} bv_request_parser_options_t;

typedef enum {
    BV_PARSE_INCOMPLETE,
    /* A request has ended; on_head was called for it. */
    BV_PARSE_COMPLETE,
    /* The request is refused; nothing behind it can be read. */
    BV_PARSE_REFUSED,
} bv_parse_state_t;

typedef struct {
    bv_parse_state_t state;
    /* Bytes that were read. */
    size_t consumed;
    /* HTTP status of a refusal. */
    uint16_t status;
} bv_parse_result_t;

bv_request_parser_t *
bv_request_parser_create(const bv_request_parser_options_t *options);
void bv_request_parser_destroy(bv_request_parser_t *parser);

/*
 * Reads up to the end of a request. The request line and the header lines are
 * each limited to `head_bytes`.
 */
bv_parse_result_t bv_request_parser_feed(bv_request_parser_t *parser,
                                         const char *data, size_t size,
                                         size_t head_bytes);

/* Whether no byte of the next request was read. */
bool bv_request_parser_is_idle(const bv_request_parser_t *parser);

#endif
