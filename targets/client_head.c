#include "client_internal.h"

#include "berylvane/common/headers.h"

#include <string.h>

#define HEAD_TYPICAL_BYTES 1024

/* Whether a request without a body states that its length is 0. */
static bool
states_empty_body(const char *method)
{
    return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
           strcmp(method, "PATCH") == 0;
}

/* A dialect may forward the caller's Host header. */
static void
append_host(GString *lines, const bv_target_work_t *work)
{
    char *forwarded = bv_headers_get(work->headers, "Host");
    bool needs_brackets =
        strchr(work->address, ':') != NULL && work->address[0] != '[';
    if (forwarded == NULL) {
        g_string_append_printf(lines, "Host: %s%s%s:%u\r\n",
                               needs_brackets ? "[" : "", work->address,
                               needs_brackets ? "]" : "", work->port);
    }
    g_free(forwarded);
}

void
client_write_head(const bv_target_dialect_t *dialect,
                  const bv_target_work_t *work, bv_target_head_t *head)
{
    gsize body_bytes = work->body != NULL ? g_bytes_get_size(work->body) : 0;
    GString *lines = g_string_sized_new(HEAD_TYPICAL_BYTES);
    head->lines = lines;
    g_string_append(lines, work->method);
    g_string_append_c(lines, ' ');
    g_string_append(lines, work->path);
    g_string_append(lines, " HTTP/1.1\r\n");
    append_host(lines, work);
    g_string_append(lines, work->headers != NULL ? work->headers : "");
    dialect->write_head(dialect->context, work, head);
    if (body_bytes > 0 || states_empty_body(work->method)) {
        g_string_append_printf(
            lines, "Content-Length: %" G_GSIZE_FORMAT "\r\n", body_bytes);
    }
    g_string_append(lines, "\r\n");
}
