#include "response_parser.h"

void
bv_response_parser_init(bv_response_parser_t *parser,
                        const bv_response_parser_options_t *options)
{
    bv_response_head_options_t head = {
        .echo_name = options->echo_name,
        .echo_value = options->echo_value,
    };
    *parser = (bv_response_parser_t){.options = *options};
    bv_response_head_init(&parser->head, &head);
    bv_response_body_init(&parser->body, options->share,
                          options->body_limit_bytes);
}

GBytes *
bv_response_parser_take_body(bv_response_parser_t *parser)
{
    return bv_response_body_take(&parser->body);
}

void
bv_response_parser_clear(bv_response_parser_t *parser)
{
    bv_response_body_clear(&parser->body);
    bv_response_head_clear(&parser->head);
}

bv_response_state_t
bv_response_parser_fail(bv_response_parser_t *parser, const char *error)
{
    parser->state = BV_RESPONSE_BROKEN;
    if (parser->error == NULL) {
        parser->error = error;
    }
    return parser->state;
}

static void
start_body(bv_response_parser_t *parser)
{
    const bv_response_framing_t *framing = &parser->head.framing;
    bv_response_body_t *body = &parser->body;
    if (!bv_response_head_has_body(&parser->head,
                                   parser->options.is_head_request)) {
        bv_response_body_start(body, BV_BODY_OF_LENGTH, 0);
    }
    else if (framing->encodings > 0) {
        bv_response_body_start(body, BV_BODY_IN_CHUNKS, 0);
    }
    else if (framing->lengths > 0) {
        bv_response_body_start(body, BV_BODY_OF_LENGTH, framing->length_bytes);
    }
    else {
        bv_response_body_start(body, BV_BODY_UNTIL_CLOSE, 0);
    }
}

/* Ends the response if its body is complete or broken. */
static void
check_body(bv_response_parser_t *parser)
{
    if (parser->body.error != NULL) {
        bv_response_parser_fail(parser, parser->body.error);
    }
    else if (parser->body.is_complete) {
        parser->state = BV_RESPONSE_COMPLETE;
    }
}

static size_t
parse_head(bv_response_parser_t *parser, const char *data, size_t size)
{
    bv_response_head_t *head = &parser->head;
    size_t read = bv_response_head_read(head, data, size);
    bv_response_body_add_head(&parser->body, read);
    if (head->error != NULL) {
        bv_response_parser_fail(parser, head->error);
        return read;
    }
    if (!head->is_complete) {
        check_body(parser);
        return read;
    }
    if (!bv_response_head_is_identified(
            head, parser->options.is_on_used_connection)) {
        bv_response_parser_fail(parser, "response does not name its request");
        return read;
    }
    parser->is_connection_reusable = head->keeps_connection;
    start_body(parser);
    check_body(parser);
    return read;
}

static size_t
parse_body(bv_response_parser_t *parser, const char *data, size_t size)
{
    size_t read = bv_response_body_read(&parser->body, data, size);
    check_body(parser);
    return read;
}

bv_response_state_t
bv_response_parser_feed(bv_response_parser_t *parser, const char *data,
                        size_t size)
{
    size_t parsed = 0;
    while (parser->state == BV_RESPONSE_INCOMPLETE && parsed < size) {
        parsed += parser->head.is_complete
                      ? parse_body(parser, data + parsed, size - parsed)
                      : parse_head(parser, data + parsed, size - parsed);
    }
    if (parsed < size) {
        parser->is_connection_reusable = false;
    }
    return parser->state;
}

bv_response_state_t
bv_response_parser_end(bv_response_parser_t *parser)
{
    parser->is_connection_reusable = false;
    if (parser->state == BV_RESPONSE_INCOMPLETE && parser->head.is_complete) {
        bv_response_body_close(&parser->body);
        check_body(parser);
    }
    return parser->state == BV_RESPONSE_INCOMPLETE
               ? bv_response_parser_fail(
                     parser, "connection closed within the response")
               : parser->state;
}

bool
bv_response_parser_has_started(const bv_response_parser_t *parser)
{
    return parser->head.size > 0;
}
