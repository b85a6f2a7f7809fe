#include "request_parser.h"

#include "berylvane/common/chunked.h"
#include "berylvane/common/headers.h"

#include <http_parser.h>
#include <string.h>

#define STATUS_BAD_REQUEST 400
#define STATUS_URI_TOO_LONG 414
#define STATUS_HEADERS_TOO_LARGE 431
#define STATUS_VERSION_NOT_SUPPORTED 505
#define LINE_END "\r\n"
#define HEAD_END "\r\n\r\n"
#define EXTENSION_LIMIT_BYTES 8192
#define TRAILER_LIMIT_BYTES 8192

typedef enum {
    STAGE_IDLE,
    STAGE_HEAD,
    STAGE_BODY,
    STAGE_CHUNKED_BODY,
} stage_t;

struct bv_request_parser {
    bv_request_parser_options_t options;
    stage_t stage;
    /* The head as received, up to its empty line. */
    GString *head;
    /* Length of the request line; 0 while it is incomplete. */
    size_t request_line_bytes;
    /* Bytes of the body that are to come. */
    uint64_t body_left;
    bv_chunked_t chunked;
};

/* What http_parser reads of a complete head. */
typedef struct {
    GString *target;
    GString *lines;
    GString *name;
    GString *value;
    uint64_t content_length;
    bool is_chunked;
    bool keeps_alive;
    bool expects_continue;
    bool is_complete;
} fields_t;

bv_request_parser_t *
bv_request_parser_create(const bv_request_parser_options_t *options)
{
    bv_request_parser_t *parser = g_new0(bv_request_parser_t, 1);
    parser->options = *options;
    parser->head = g_string_new(NULL);
    return parser;
}

void
bv_request_parser_destroy(bv_request_parser_t *parser)
{
    g_string_free(parser->head, TRUE);
    g_free(parser);
}

static int
on_url(http_parser *http, const char *data, size_t size)
{
    fields_t *fields = http->data;
    g_string_append_len(fields->target, data, (gssize)size);
    return 0;
}

static int
on_header_field(http_parser *http, const char *data, size_t size)
{
    fields_t *fields = http->data;
    g_string_append_len(fields->name, data, (gssize)size);
    return 0;
}

/* The head is parsed at once, so that each value comes in one piece. */
static int
on_header_value(http_parser *http, const char *data, size_t size)
{
    fields_t *fields = http->data;
    g_string_append_len(fields->value, data, (gssize)size);
    const char *value = g_strstrip(fields->value->str);
    if (g_ascii_strcasecmp(fields->name->str, "Expect") == 0) {
        fields->expects_continue =
            g_ascii_strcasecmp(value, "100-continue") == 0;
    }
    if (g_ascii_strcasecmp(fields->name->str, "Transfer-Encoding") == 0) {
        fields->is_chunked = true;
    }
    bv_headers_append_line(fields->lines, fields->name->str, value);
    g_string_truncate(fields->name, 0);
    g_string_truncate(fields->value, 0);
    return 0;
}

/* Pauses http_parser: bodies are not read with it. */
static int
on_headers_complete(http_parser *http)
{
    fields_t *fields = http->data;
    fields->is_complete = true;
    fields->content_length =
        http->content_length == UINT64_MAX ? 0 : http->content_length;
    fields->keeps_alive = http_should_keep_alive(http) != 0;
    http_parser_pause(http, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
};

/*
 * Reads the version, which http_parser as built by Debian takes for granted.
 * Returns 0, or the HTTP status that the request is refused with.
 */
static uint16_t
read_version(const char *head, size_t request_line_bytes, bool *is_http_1_0)
{
    static const char prefix[] = " HTTP/";
    const char *end = head + request_line_bytes;
    size_t size = strlen(" HTTP/1.1");
    const char *version = end - size;
    if (request_line_bytes <= size ||
        strncmp(version, prefix, strlen(prefix)) != 0) {
        return STATUS_BAD_REQUEST;
    }
    *is_http_1_0 = strncmp(version, " HTTP/1.0", size) == 0;
    bool is_http_1 = *is_http_1_0 || strncmp(version, " HTTP/1.1", size) == 0;
    return is_http_1 ? 0 : STATUS_VERSION_NOT_SUPPORTED;
}

static void
start_body(bv_request_parser_t *parser, const fields_t *fields)
{
    bv_chunked_options_t options = {
        .extension_limit_bytes = EXTENSION_LIMIT_BYTES,
        .trailer_limit_bytes = TRAILER_LIMIT_BYTES,
    };
    parser->stage = fields->is_chunked ? STAGE_CHUNKED_BODY : STAGE_BODY;
    parser->body_left = fields->content_length;
    bv_chunked_init(&parser->chunked, &options);
}

static uint16_t
pass_head(bv_request_parser_t *parser, fields_t *fields, bool is_http_1_0)
{
    http_parser http;
    http_parser_init(&http, HTTP_REQUEST);
    http.data = fields;
    http_parser_execute(&http, &callbacks, parser->head->str,
                        parser->head->len);
    if (!fields->is_complete) {
        return STATUS_BAD_REQUEST;
    }
    bv_request_head_t head = {
        .method = http_method_str((enum http_method)http.method),
        .target = fields->target->str,
        .lines = fields->lines->str,
        .content_length = fields->content_length,
        .has_body = fields->is_chunked || fields->content_length > 0,
        .expects_continue = fields->expects_continue && !is_http_1_0,
        .keeps_alive = fields->keeps_alive,
        .is_http_1_0 = is_http_1_0,
    };
    start_body(parser, fields);
    return parser->options.on_head(parser->options.context, &head);
}

static uint16_t
end_head(bv_request_parser_t *parser)
{
    bool is_http_1_0 = false;
    uint16_t status = read_version(parser->head->str,
                                   parser->request_line_bytes, &is_http_1_0);
    if (status != 0) {
        return status;
    }
    fields_t fields = {
        .target = g_string_new(NULL),
        .lines = g_string_new(NULL),
        .name = g_string_new(NULL),
        .value = g_string_new(NULL),
    };
    status = pass_head(parser, &fields, is_http_1_0);
    g_string_free(fields.target, TRUE);
    g_string_free(fields.lines, TRUE);
    g_string_free(fields.name, TRUE);
    g_string_free(fields.value, TRUE);
    return status;
}

/*
 * Whether `c` may follow in a head: CR and LF come only together, a line
 * starts with no blank (obsolete folding), and there is no NUL.
 */
static bool
may_follow(const GString *head, char c)
{
    char last = '\n';
    if (head->len > 0) {
        last = head->str[head->len - 1];
    }
    if ((c == '\n') != (last == '\r') || c == '\0') {
        return false;
    }
    return last != '\n' || (c != ' ' && c != '\t');
}

static uint16_t
check_head_size(const bv_request_parser_t *parser, size_t head_bytes)
{
    size_t size = parser->head->len - parser->request_line_bytes;
    if (size <= head_bytes) {
        return 0;
    }
    return parser->request_line_bytes == 0 ? STATUS_URI_TOO_LONG
                                           : STATUS_HEADERS_TOO_LARGE;
}

/* Adds a byte of a head. Returns 0, or the HTTP status of a refusal. */
static uint16_t
read_head_byte(bv_request_parser_t *parser, char c, size_t head_bytes)
{
    GString *head = parser->head;
    if (!may_follow(head, c)) {
        return STATUS_BAD_REQUEST;
    }
    g_string_append_c(head, c);
    if (c != '\n') {
        return check_head_size(parser, head_bytes);
    }
    /* Empty lines before a request are skipped (RFC 9112, section 2.2). */
    if (strcmp(head->str, LINE_END) == 0) {
        g_string_truncate(head, 0);
        return 0;
    }
    if (parser->request_line_bytes == 0) {
        parser->request_line_bytes = head->len - strlen(LINE_END);
    }
    return g_str_has_suffix(head->str, HEAD_END) ? end_head(parser) : 0;
}

static void
start_head(bv_request_parser_t *parser)
{
    parser->stage = STAGE_HEAD;
    parser->request_line_bytes = 0;
    g_string_truncate(parser->head, 0);
}

static uint16_t
read_head(bv_request_parser_t *parser, const char *data, size_t size,
          size_t head_bytes, size_t *consumed)
{
    uint16_t status = 0;
    while (*consumed < size && status == 0 && parser->stage == STAGE_HEAD) {
        status = read_head_byte(parser, data[*consumed], head_bytes);
        (*consumed)++;
    }
    return status;
}

static uint16_t
pass_body(const bv_request_parser_t *parser, const char *data, size_t size)
{
    return size > 0
               ? parser->options.on_body(parser->options.context, data, size)
               : 0;
}

static uint16_t
read_body(bv_request_parser_t *parser, const char *data, size_t size,
          size_t *consumed)
{
    size_t part = MIN(size - *consumed, parser->body_left);
    uint16_t status = pass_body(parser, data + *consumed, part);
    *consumed += part;
    parser->body_left -= part;
    if (parser->body_left == 0) {
        parser->stage = STAGE_IDLE;
    }
    return status;
}

static uint16_t
read_chunks(bv_request_parser_t *parser, const char *data, size_t size,
            size_t *consumed)
{
    uint16_t status = 0;
    while (*consumed < size && status == 0 &&
           parser->chunked.state < BV_CHUNK_END) {
        const char *piece;
        size_t piece_size;
        *consumed += bv_chunked_read(&parser->chunked, data + *consumed,
                                     size - *consumed, &piece, &piece_size);
        status = pass_body(parser, piece, piece_size);
    }
    if (parser->chunked.state == BV_CHUNK_END) {
        parser->stage = STAGE_IDLE;
    }
    return parser->chunked.state == BV_CHUNK_MALFORMED ? STATUS_BAD_REQUEST
                                                       : status;
}

bv_parse_result_t
bv_request_parser_feed(bv_request_parser_t *parser, const char *data,
                       size_t size, size_t head_bytes)
{
    bv_parse_result_t result = {.state = BV_PARSE_INCOMPLETE};
    if (parser->stage == STAGE_IDLE) {
        start_head(parser);
    }
    if (parser->stage == STAGE_HEAD) {
        result.status =
            read_head(parser, data, size, head_bytes, &result.consumed);
    }
    if (result.status == 0 && parser->stage == STAGE_BODY) {
        result.status = read_body(parser, data, size, &result.consumed);
    }
    if (result.status == 0 && parser->stage == STAGE_CHUNKED_BODY) {
        result.status = read_chunks(parser, data, size, &result.consumed);
    }
    if (result.status != 0) {
        result.state = BV_PARSE_REFUSED;
    }
    else if (parser->stage == STAGE_IDLE) {
        result.state = BV_PARSE_COMPLETE;
    }
    return result;
}

bool
bv_request_parser_is_idle(const bv_request_parser_t *parser)
{
    return parser->stage == STAGE_IDLE;
}
