#include "response.h"

#include "berylvane/common/headers.h"

#include <http_parser.h>
#include <string.h>

#define STATUS_OK 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

/* Headers that frame the response or its connection. */
static const char *const framing_headers[] = {
    "Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding"};

static void
append_header(void *context, const char *name, const char *value)
{
    for (size_t i = 0; i < G_N_ELEMENTS(framing_headers); i++) {
        if (g_ascii_strcasecmp(name, framing_headers[i]) == 0) {
            return;
        }
    }
    bv_headers_append_line(context, name, value);
}

/* Whether a response with this status has a body (RFC 9110, section 6.4.1). */
static bool
has_body(uint16_t status)
{
    return status >= STATUS_OK && status != STATUS_NO_CONTENT &&
           status != STATUS_NOT_MODIFIED;
}

bv_response_t *
bv_response_build(const bv_caller_dialect_t *dialect, const bv_reply_t *reply,
                  const char *method)
{
    bv_response_t *response = g_new0(bv_response_t, 1);
    size_t size = reply->body != NULL ? g_bytes_get_size(reply->body) : 0;
    GString *lines = g_string_new(reply->headers);
    dialect->write_head(dialect->context, reply, lines);
    response->closes = reply->closes_connection;
    response->head = g_string_new(NULL);
    g_string_append_printf(response->head, "HTTP/1.1 %u %s\r\n", reply->status,
                           http_status_str((enum http_status)reply->status));
    bv_headers_foreach(lines->str, append_header, response->head);
    g_string_free(lines, TRUE);
    if (!has_body(reply->status)) {
        return response;
    }
    g_string_append_printf(response->head, "Content-Length: %zu\r\n", size);
    if (size > 0 && strcmp(method, "HEAD") != 0) {
        response->body = g_bytes_ref(reply->body);
    }
    return response;
}

GBytes *
bv_response_end_head(bv_response_t *response, bv_response_ending_t ending)
{
    static const char *const lines[] = {
        [BV_RESPONSE_KEEPS] = "\r\n",
        [BV_RESPONSE_STATES_KEEPING] = "Connection: keep-alive\r\n\r\n",
        [BV_RESPONSE_CLOSES] = "Connection: close\r\n\r\n",
    };
    g_string_append(response->head, lines[ending]);
    GBytes *head = g_string_free_to_bytes(response->head);
    response->head = NULL;
    return head;
}

size_t
bv_response_size(const bv_response_t *response)
{
    return response->head->len +
           (response->body != NULL ? g_bytes_get_size(response->body) : 0);
}

void
bv_response_destroy(bv_response_t *response)
{
    if (response == NULL) {
        return;
    }
    if (response->head != NULL) {
        g_string_free(response->head, TRUE);
    }
    g_clear_pointer(&response->body, g_bytes_unref);
    g_free(response);
}
