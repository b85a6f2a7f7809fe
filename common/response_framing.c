#include "berylvane/common/response_framing.h"

#include <glib.h>

#define DECIMAL_BASE 10

void
bv_response_framing_init(bv_response_framing_t *framing)
{
    *framing = (bv_response_framing_t){0};
}

static void
add_length(bv_response_framing_t *framing, const char *value)
{
    guint64 bytes;
    framing->lengths++;
    if (!g_ascii_string_to_unsigned(value, DECIMAL_BASE, 0, G_MAXINT64, &bytes,
                                    NULL)) {
        framing->error = "malformed content length";
        return;
    }
    framing->length_bytes = bytes;
}

void
bv_response_framing_add(bv_response_framing_t *framing, const char *name,
                        const char *value)
{
    if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        add_length(framing, value);
    }
    if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        framing->encodings++;
        if (g_ascii_strcasecmp(value, "chunked") != 0) {
            framing->error = "unknown transfer encoding";
        }
    }
}

const char *
bv_response_framing_check(const bv_response_framing_t *framing,
                          bool is_http_1_0)
{
    if (framing->error != NULL) {
        return framing->error;
    }
    if (framing->lengths > 1) {
        return "several content lengths";
    }
    if (framing->encodings > 1) {
        return "several transfer encodings";
    }
    if (framing->lengths > 0 && framing->encodings > 0) {
        return "content length and transfer encoding";
    }
    return is_http_1_0 && framing->encodings > 0
               ? "transfer encoding in HTTP/1.0"
               : NULL;
}
