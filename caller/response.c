#include "response.h"

#include "berylvane/common/headers.h"

static void
add_header(void *context, const char *name, const char *value)
{
    MHD_add_response_header(context, name, value);
}

static void
unref_body(void *bytes)
{
    g_bytes_unref(bytes);
}

static struct MHD_Response *
create_response(GBytes *body)
{
    if (body == NULL) {
        return MHD_create_response_from_buffer(0, "", MHD_RESPMEM_PERSISTENT);
    }
    gsize size;
    const void *data = g_bytes_get_data(body, &size);
    return MHD_create_response_from_buffer_with_free_callback_cls(
        size, (void *)data, unref_body, g_bytes_ref(body));
}

struct MHD_Response *
bv_response_build(const bv_caller_dialect_t *dialect, const bv_reply_t *reply)
{
    struct MHD_Response *response = create_response(reply->body);
    GString *lines = g_string_new(reply->headers);
    dialect->write_head(dialect->context, reply, lines);
    bv_headers_foreach(lines->str, add_header, response);
    g_string_free(lines, TRUE);
    if (reply->closes_connection) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    return response;
}
