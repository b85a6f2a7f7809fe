#include "berylvane/common/headers.h"

#include <string.h>

#define LINE_END "\r\n"

/*
 * Hop-by-hop headers, and headers that the HTTP library or the node sets.
 * Headers that start with "Berylvane-" are not forwarded either.
 */
static const char *const not_forwarded[] = {"Connection",
                                            "Keep-Alive",
                                            "Proxy-Authenticate",
                                            "Trailer",
                                            "Proxy-Authorization",
                                            "TE",
                                            "Transfer-Encoding",
                                            "Upgrade",
                                            "Host",
                                            "Content-Length",
                                            "Expect",
                                            "Date",
                                            BV_HEADER_TRACEPARENT,
                                            "tracestate",
                                            BV_HEADER_IDEMPOTENCY_KEY};

bool
bv_header_is_forwarded(const char *name)
{
    if (g_ascii_strncasecmp(name, "Berylvane-", 10) == 0) {
        return false;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(not_forwarded); i++) {
        if (g_ascii_strcasecmp(name, not_forwarded[i]) == 0) {
            return false;
        }
    }
    return true;
}

void
bv_headers_append_line(GString *block, const char *name, const char *value)
{
    g_string_append(block, name);
    g_string_append_len(block, ": ", 2);
    g_string_append(block, value);
    g_string_append_len(block, LINE_END, strlen(LINE_END));
}

/*
 * Cuts the first line off the text `*rest` and returns the line without its
 * CR LF. `*rest` is set to the following line, or to NULL after the last line.
 */
static char *
cut_line(char **rest)
{
    char *line = *rest;
    char *end = strstr(line, LINE_END);
    *rest = end != NULL ? end + strlen(LINE_END) : NULL;
    if (end != NULL) {
        *end = '\0';
    }
    return line;
}

void
bv_headers_foreach(const char *block,
                   void (*visit)(void *context, const char *name,
                                 const char *value),
                   void *context)
{
    if (block == NULL) {
        return;
    }
    char *copy = g_strdup(block);
    char *rest = copy;
    while (rest != NULL) {
        char *line = cut_line(&rest);
        char *colon = strchr(line, ':');
        if (colon == NULL) {
            continue;
        }
        *colon = '\0';
        visit(context, line, g_strstrip(colon + 1));
    }
    g_free(copy);
}

static void
append_if_forwarded(void *context, const char *name, const char *value)
{
    if (bv_header_is_forwarded(name)) {
        bv_headers_append_line(context, name, value);
    }
}

char *
bv_headers_filter(const char *block)
{
    GString *filtered = g_string_new(NULL);
    bv_headers_foreach(block, append_if_forwarded, filtered);
    return g_string_free(filtered, FALSE);
}

char *
bv_headers_get(const char *block, const char *name)
{
    size_t name_length = strlen(name);
    const char *line = block;
    while (line != NULL) {
        const char *end = strstr(line, LINE_END);
        size_t line_length = end != NULL ? (size_t)(end - line) : strlen(line);
        if (line_length > name_length && line[name_length] == ':' &&
            g_ascii_strncasecmp(line, name, name_length) == 0) {
            const char *value = line + name_length + 1;
            return g_strstrip(g_strndup(value, line_length - name_length - 1));
        }
        line = end != NULL ? end + strlen(LINE_END) : NULL;
    }
    return NULL;
}
