#include "berylvane/caller/framing.h"

#include "berylvane/common/headers.h"
#include "berylvane/common/http_syntax.h"

#include <stdbool.h>
#include <string.h>

#define STATUS_BAD_REQUEST 400

/* Counts of headers that may occur once, and whether any is malformed. */
typedef struct {
    uint32_t host_count;
    uint32_t content_length_count;
    uint32_t transfer_encoding_count;
    bool is_malformed;
} framing_headers_t;

static bool
is_decimal_number(const char *value)
{
    return value[0] != '\0' && strspn(value, "0123456789") == strlen(value);
}

static void
check_line(void *context, const char *name, const char *value)
{
    framing_headers_t *headers = context;
    if (!bv_http_is_token(name)) {
        headers->is_malformed = true;
    }
    if (g_ascii_strcasecmp(name, "Host") == 0) {
        headers->host_count++;
    }
    if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        headers->content_length_count++;
        headers->is_malformed |= !is_decimal_number(value);
    }
    if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        headers->transfer_encoding_count++;
        headers->is_malformed |= g_ascii_strcasecmp(value, "chunked") != 0;
    }
}

uint16_t
bv_framing_check(const char *lines)
{
    framing_headers_t headers = {0};
    bv_headers_foreach(lines, check_line, &headers);
    bool is_unambiguous =
        headers.host_count == 1 &&
        headers.content_length_count + headers.transfer_encoding_count <= 1;
    return is_unambiguous && !headers.is_malformed ? 0 : STATUS_BAD_REQUEST;
}
