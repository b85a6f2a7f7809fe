#include "berylvane/common/response_head.h"

#include "berylvane/common/headers.h"
#include "berylvane/common/http_status.h"

#include <string.h>

#define LINE_END "\r\n"
#define LINE_END_BYTES (sizeof(LINE_END) - 1)
/* Room for the header lines of most responses. */
#define TYPICAL_BYTES 512
#define SWITCHING_PROTOCOLS 101

static void
start_head(bv_response_head_t *head)
{
    bv_status_line_init(&head->status_line);
    bv_field_lines_init(&head->field_lines);
    g_string_truncate(head->received, 0);
}

void
bv_response_head_init(bv_response_head_t *head,
                      const bv_response_head_options_t *options)
{
    *head = (bv_response_head_t){
        .options = *options,
        .received = g_string_sized_new(TYPICAL_BYTES),
        .lines = g_string_sized_new(TYPICAL_BYTES),
    };
    start_head(head);
}

static void
free_received(bv_response_head_t *head)
{
    if (head->received != NULL) {
        g_string_free(head->received, TRUE);
        head->received = NULL;
    }
}

void
bv_response_head_clear(bv_response_head_t *head)
{
    free_received(head);
    g_string_free(head->lines, TRUE);
}

/* Whether a value that is a list has the token. */
static bool
has_token(const char *value, const char *token)
{
    char **parts = g_strsplit(value, ",", -1);
    bool is_found = false;
    for (char **part = parts; *part != NULL; part++) {
        is_found |= g_ascii_strcasecmp(g_strstrip(*part), token) == 0;
    }
    g_strfreev(parts);
    return is_found;
}

static void
read_connection(bv_response_head_t *head, const char *value)
{
    if (has_token(value, "keep-alive")) {
        head->keeps_connection = true;
    }
    if (has_token(value, "close")) {
        head->keeps_connection = false;
    }
}

static void
add_line(bv_response_head_t *head, const char *name, const char *value)
{
    const bv_response_head_options_t *options = &head->options;
    bv_headers_append_line(head->lines, name, value);
    bv_response_framing_add(&head->framing, name, value);
    if (g_ascii_strcasecmp(name, "Connection") == 0) {
        read_connection(head, value);
    }
    if (options->echo_name != NULL &&
        g_ascii_strcasecmp(name, options->echo_name) == 0) {
        head->has_echo = strcmp(value, options->echo_value) == 0;
        if (!head->has_echo) {
            head->error = "response to another request";
        }
    }
}

/*
 * Joins a line with those that it is folded over, and returns the start of the
 * next one. The blanks after a fold stay (RFC 9112, section 5.2).
 */
static char *
unfold(char *line)
{
    char *end = strstr(line, LINE_END);
    char *next = end + LINE_END_BYTES;
    while (*next == ' ' || *next == '\t') {
        char *next_end = strstr(next, LINE_END);
        memmove(end, next, (size_t)(next_end - next));
        end += next_end - next;
        next = next_end + LINE_END_BYTES;
    }
    *end = '\0';
    return next;
}

/* The lines are checked: each has a colon, and an empty one ends them. */
static void
read_lines(bv_response_head_t *head)
{
    char *line = head->received->str;
    while (head->error == NULL && *line != '\r') {
        char *next = unfold(line);
        char *colon = strchr(line, ':');
        *colon = '\0';
        add_line(head, line, g_strstrip(colon + 1));
        line = next;
    }
}

static void
end_final_head(bv_response_head_t *head)
{
    head->status = head->status_line.status;
    head->keeps_connection = !head->status_line.is_http_1_0;
    read_lines(head);
    if (head->error == NULL) {
        head->error = bv_response_framing_check(&head->framing,
                                                head->status_line.is_http_1_0);
    }
    head->is_complete = head->error == NULL;
    free_received(head);
}

static void
end_head(bv_response_head_t *head)
{
    if (head->status_line.status == SWITCHING_PROTOCOLS) {
        head->error = "protocol switch without request";
        return;
    }
    if (!bv_status_is_final(head->status_line.status)) {
        start_head(head);
        return;
    }
    end_final_head(head);
}

static size_t
read_status_line(bv_response_head_t *head, const char *data, size_t size)
{
    size_t read = bv_status_line_read(&head->status_line, data, size);
    head->error = head->status_line.error;
    return read;
}

static size_t
read_field_lines(bv_response_head_t *head, const char *data, size_t size)
{
    size_t read = bv_field_lines_read(&head->field_lines, data, size);
    head->error = head->field_lines.error;
    g_string_append_len(head->received, data, (gssize)read);
    return read;
}

size_t
bv_response_head_read(bv_response_head_t *head, const char *data, size_t size)
{
    size_t position = 0;
    while (position < size && !head->is_complete && head->error == NULL) {
        const char *rest = data + position;
        /* One byte more shows that the limit is exceeded. */
        size_t room = BV_RESPONSE_HEAD_LIMIT_BYTES - head->size + 1;
        size_t part = MIN(size - position, room);
        size_t read = head->status_line.is_complete
                          ? read_field_lines(head, rest, part)
                          : read_status_line(head, rest, part);
        position += read;
        head->size += read;
        if (head->size > BV_RESPONSE_HEAD_LIMIT_BYTES) {
            head->error = "response head exceeds 64 KiB";
        }
        else if (head->error == NULL &&
                 head->field_lines.state == BV_FIELD_END) {
            end_head(head);
        }
    }
    return position;
}

bool
bv_response_head_is_identified(const bv_response_head_t *head,
                               bool is_on_used_connection)
{
    bool is_required = head->status / 100 == 2 || is_on_used_connection;
    return head->options.echo_name == NULL || !is_required || head->has_echo;
}

const char *
bv_response_head_check(uint16_t status, const char *lines)
{
    size_t size = lines != NULL ? strlen(lines) : 0;
    bv_field_lines_t field_lines;
    bv_field_lines_init(&field_lines);
    if (!bv_status_is_final(status)) {
        return "status outside 200 to 599";
    }
    if (bv_field_lines_read(&field_lines, lines, size) != size ||
        field_lines.error != NULL) {
        return "malformed header lines";
    }
    bool is_ended = field_lines.state == BV_FIELD_FIRST_LINE ||
                    field_lines.state == BV_FIELD_LINE_START;
    return is_ended ? NULL : "header line without its end";
}

bool
bv_response_head_has_body(const bv_response_head_t *head, bool is_head_request)
{
    return !is_head_request && head->status != BV_STATUS_NO_CONTENT &&
           head->status != BV_STATUS_NOT_MODIFIED;
}
