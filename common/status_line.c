#include "berylvane/common/status_line.h"

#include "berylvane/common/http_syntax.h"

#include <glib.h>
#include <string.h>

/* What comes before the reason phrase; each 0 stands for any digit. */
#define PATTERN "HTTP/1.0 000 "
#define PATTERN_BYTES (sizeof(PATTERN) - 1)
/* Offsets of the minor version and of the status in the pattern. */
#define MINOR_OFFSET 7
#define STATUS_OFFSET 9
#define STATUS_LOWEST 100
#define STATUS_FINAL 200
#define STATUS_HIGHEST 599

void
bv_status_line_init(bv_status_line_t *line)
{
    *line = (bv_status_line_t){0};
}

bool
bv_status_is_final(uint16_t status)
{
    return status >= STATUS_FINAL && status <= STATUS_HIGHEST;
}

static const char *
read_pattern(bv_status_line_t *line, char c)
{
    char expected = PATTERN[line->size];
    bool is_digit = expected == '0';
    if (is_digit ? !g_ascii_isdigit(c) : c != expected) {
        return "malformed status line";
    }
    if (line->size == MINOR_OFFSET) {
        line->is_http_1_0 = c == '0';
    }
    if (is_digit && line->size >= STATUS_OFFSET) {
        line->status = (uint16_t)(line->status * 10 + (c - '0'));
    }
    if (line->size == PATTERN_BYTES - 1 &&
        (line->status < STATUS_LOWEST || line->status > STATUS_HIGHEST)) {
        return "status outside 100 to 599";
    }
    return NULL;
}

static const char *
read_reason(bv_status_line_t *line, char c)
{
    if (line->is_after_cr) {
        line->is_complete = c == '\n';
        return line->is_complete ? NULL : "CR without LF in the status line";
    }
    line->is_after_cr = c == '\r';
    return line->is_after_cr || bv_http_is_text_byte(c)
               ? NULL
               : "control byte in the reason phrase";
}

size_t
bv_status_line_read(bv_status_line_t *line, const char *data, size_t size)
{
    size_t position = 0;
    while (position < size && !line->is_complete && line->error == NULL) {
        char c = data[position++];
        line->error = line->size < PATTERN_BYTES ? read_pattern(line, c)
                                                 : read_reason(line, c);
        line->size++;
    }
    return position;
}
