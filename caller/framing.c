#include "berylvane/caller/framing.h"

#include "berylvane/common/headers.h"

#include <stdbool.h>
#include <string.h>

#define STATUS_BAD_REQUEST 400

typedef struct {
    uint32_t hosts;
    uint32_t lengths;
    uint32_t encodings;
    bool bad;
} head_t;

/* A header's name is a token of RFC 9110. */
static bool
is_token(const char *name)
{
    static const char marks[] = "!#$%&'*+-.^_`|~";
    if (name[0] == '\0') {
        return false;
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr(marks, *c) == NULL) {
            return false;
        }
    }
    return true;
}

static bool
is_number(const char *value)
{
    return value[0] != '\0' && strspn(value, "0123456789") == strlen(value);
}

static void
take_line(void *context, const char *name, const char *value)
{
    head_t *head = context;
    if (!is_token(name)) {
        head->bad = true;
    }
    if (g_ascii_strcasecmp(name, "Host") == 0) {
        head->hosts++;
    }
    if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        head->lengths++;
        head->bad |= !is_number(value);
    }
    if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        head->encodings++;
        head->bad |= g_ascii_strcasecmp(value, "chunked") != 0;
    }
}

uint16_t
bv_framing_check(const char *lines)
{
    head_t head = {0};
    bv_headers_foreach(lines, take_line, &head);
    bool clear = head.hosts == 1 && head.lengths + head.encodings <= 1;
    return clear && !head.bad ? 0 : STATUS_BAD_REQUEST;
}
