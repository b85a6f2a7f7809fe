#include "berylvane/common/field_lines.h"

#include "berylvane/common/http_syntax.h"

#include <glib.h>

void
bv_field_lines_init(bv_field_lines_t *lines)
{
    *lines = (bv_field_lines_t){.state = BV_FIELD_FIRST_LINE};
}

static bv_field_state_t
fail(bv_field_lines_t *lines, const char *error)
{
    lines->error = error;
    return lines->state;
}

static bv_field_state_t
start_line(bv_field_lines_t *lines, char c)
{
    bool is_blank = c == ' ' || c == '\t';
    if (c == '\r') {
        return BV_FIELD_LAST_LF;
    }
    if (is_blank && lines->state == BV_FIELD_LINE_START) {
        return BV_FIELD_VALUE;
    }
    return bv_http_is_token_byte(c) ? BV_FIELD_NAME
                                    : fail(lines, "malformed header name");
}

static bv_field_state_t
read_name(bv_field_lines_t *lines, char c)
{
    if (c == ':') {
        return BV_FIELD_VALUE;
    }
    return bv_http_is_token_byte(c) ? BV_FIELD_NAME
                                    : fail(lines, "malformed header name");
}

static bv_field_state_t
read_value(bv_field_lines_t *lines, char c)
{
    if (c == '\r') {
        return BV_FIELD_LINE_LF;
    }
    return bv_http_is_text_byte(c)
               ? BV_FIELD_VALUE
               : fail(lines, "control byte in a header value");
}

static bv_field_state_t
read_byte(bv_field_lines_t *lines, char c)
{
    switch (lines->state) {
    case BV_FIELD_FIRST_LINE:
    case BV_FIELD_LINE_START:
        return start_line(lines, c);
    case BV_FIELD_NAME:
        return read_name(lines, c);
    case BV_FIELD_VALUE:
        return read_value(lines, c);
    case BV_FIELD_LINE_LF:
        return c == '\n' ? BV_FIELD_LINE_START
                         : fail(lines, "CR without LF in a header line");
    case BV_FIELD_LAST_LF:
        return c == '\n' ? BV_FIELD_END
                         : fail(lines, "CR without LF after the headers");
    case BV_FIELD_END:
        break;
    }
    return lines->state;
}

size_t
bv_field_lines_read(bv_field_lines_t *lines, const char *data, size_t size)
{
    size_t position = 0;
    while (position < size && lines->state != BV_FIELD_END &&
           lines->error == NULL) {
        lines->state = read_byte(lines, data[position++]);
    }
    return position;
}
