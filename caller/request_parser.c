#include "request_parser.h"

#include <http_parser.h>

#define STATUS_BAD_REQUEST 400
#define STATUS_URI_TOO_LONG 414
#define STATUS_HEADERS_TOO_LARGE 431
#define STATUS_VERSION_NOT_SUPPORTED 505
#define HTTP_MAJOR 1
/* Return value of a callback of http_parser that ends the parsing. */
#define STOP_PARSING (-1)

typedef enum {
    STAGE_IDLE,
    STAGE_HEAD,
    STAGE_BODY,
} stage_t;

struct bv_request_parser {
    bv_request_parser_options_t options;
    http_parser http;
    stage_t stage;
    GString *target;
    /* Complete header lines. */
    GString *lines;
    /* Header that is being read. */
    GString *name;
    GString *value;
    bool has_value;
    bool expects_continue;
    size_t head_limit_bytes;
    /* Status of a refusal by this module or its owner; 0 for none. */
    uint16_t refusal;
};

static int
refuse(bv_request_parser_t *parser, uint16_t status)
{
    parser->refusal = status;
    return STOP_PARSING;
}

static int
on_message_begin(http_parser *http)
{
    bv_request_parser_t *parser = http->data;
    parser->stage = STAGE_HEAD;
    parser->has_value = false;
    parser->expects_continue = false;
    g_string_truncate(parser->target, 0);
    g_string_truncate(parser->lines, 0);
    g_string_truncate(parser->name, 0);
    g_string_truncate(parser->value, 0);
    return 0;
}

static int
on_url(http_parser *http, const char *data, size_t size)
{
    bv_request_parser_t *parser = http->data;
    g_string_append_len(parser->target, data, (gssize)size);
    return parser->target->len > parser->head_limit_bytes
               ? refuse(parser, STATUS_URI_TOO_LONG)
               : 0;
}

static int
check_head_size(bv_request_parser_t *parser)
{
    size_t size = parser->lines->len + parser->name->len + parser->value->len;
    return size > parser->head_limit_bytes
               ? refuse(parser, STATUS_HEADERS_TOO_LARGE)
               : 0;
}

static void
end_header(bv_request_parser_t *parser)
{
    if (!parser->has_value) {
        return;
    }
    const char *value = g_strstrip(parser->value->str);
    if (g_ascii_strcasecmp(parser->name->str, "Expect") == 0) {
        parser->expects_continue =
            g_ascii_strcasecmp(value, "100-continue") == 0;
    }
    g_string_append_printf(parser->lines, "%s: %s\r\n", parser->name->str,
                           value);
    g_string_truncate(parser->name, 0);
    g_string_truncate(parser->value, 0);
    parser->has_value = false;
}

/* Trailers are read like headers, but after the body, and dropped. */
static int
on_header_field(http_parser *http, const char *data, size_t size)
{
    bv_request_parser_t *parser = http->data;
    if (parser->stage == STAGE_BODY) {
        return 0;
    }
    end_header(parser);
    g_string_append_len(parser->name, data, (gssize)size);
    return check_head_size(parser);
}

static int
on_header_value(http_parser *http, const char *data, size_t size)
{
    bv_request_parser_t *parser = http->data;
    if (parser->stage == STAGE_BODY) {
        return 0;
    }
    parser->has_value = true;
    g_string_append_len(parser->value, data, (gssize)size);
    return check_head_size(parser);
}

static int
on_headers_complete(http_parser *http)
{
    bv_request_parser_t *parser = http->data;
    end_header(parser);
    parser->stage = STAGE_BODY;
    /* http_parser would take what follows an upgrade for another protocol. */
    http->upgrade = 0;
    if (http->http_major != HTTP_MAJOR) {
        return refuse(parser, STATUS_VERSION_NOT_SUPPORTED);
    }
    bv_request_head_t head = {
        .method = http_method_str((enum http_method)http->method),
        .target = parser->target->str,
        .lines = parser->lines->str,
        .content_length =
            http->content_length == UINT64_MAX ? 0 : http->content_length,
        .expects_continue = parser->expects_continue && http->http_minor > 0,
        .keeps_alive = http_should_keep_alive(http) != 0,
        .is_http_1_0 = http->http_minor == 0,
    };
    uint16_t status = parser->options.on_head(parser->options.context, &head);
    return status != 0 ? refuse(parser, status) : 0;
}

static int
on_body(http_parser *http, const char *data, size_t size)
{
    bv_request_parser_t *parser = http->data;
    uint16_t status =
        parser->options.on_body(parser->options.context, data, size);
    return status != 0 ? refuse(parser, status) : 0;
}

static int
on_message_complete(http_parser *http)
{
    bv_request_parser_t *parser = http->data;
    parser->stage = STAGE_IDLE;
    http_parser_pause(http, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

bv_request_parser_t *
bv_request_parser_create(const bv_request_parser_options_t *options)
{
    bv_request_parser_t *parser = g_new0(bv_request_parser_t, 1);
    parser->options = *options;
    http_parser_init(&parser->http, HTTP_REQUEST);
    parser->http.data = parser;
    parser->target = g_string_new(NULL);
    parser->lines = g_string_new(NULL);
    parser->name = g_string_new(NULL);
    parser->value = g_string_new(NULL);
    return parser;
}

void
bv_request_parser_destroy(bv_request_parser_t *parser)
{
    g_string_free(parser->target, TRUE);
    g_string_free(parser->lines, TRUE);
    g_string_free(parser->name, TRUE);
    g_string_free(parser->value, TRUE);
    g_free(parser);
}

static uint16_t
refusal_status(const bv_request_parser_t *parser, enum http_errno error)
{
    if (parser->refusal != 0) {
        return parser->refusal;
    }
    return error == HPE_HEADER_OVERFLOW ? STATUS_HEADERS_TOO_LARGE
                                        : STATUS_BAD_REQUEST;
}

bv_parse_result_t
bv_request_parser_feed(bv_request_parser_t *parser, const char *data,
                       size_t size, size_t head_bytes)
{
    parser->head_limit_bytes = head_bytes;
    bv_parse_result_t result = {
        .consumed = http_parser_execute(&parser->http, &callbacks, data, size),
    };
    enum http_errno error = HTTP_PARSER_ERRNO(&parser->http);
    if (error == HPE_PAUSED) {
        http_parser_pause(&parser->http, 0);
        result.state = BV_PARSE_COMPLETE;
    }
    else if (error != HPE_OK) {
        result.state = BV_PARSE_REFUSED;
        result.status = refusal_status(parser, error);
    }
    return result;
}

bool
bv_request_parser_is_idle(const bv_request_parser_t *parser)
{
    return parser->stage == STAGE_IDLE;
}
