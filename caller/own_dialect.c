#include "berylvane/caller/dialect.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"

#include <string.h>

#define TIMEOUT_LIMIT_MS 600000
#define ANNOUNCEMENT_PREFIX "/berylvane/"

static uint16_t
read_head(void *context, bv_listener_role_t role, const char *lines,
          bv_call_t *call)
{
    (void)context;
    call->is_outside = role == BV_LISTENER_OUTSIDE;
    if (!call->is_outside &&
        g_str_has_prefix(call->path, ANNOUNCEMENT_PREFIX)) {
        call->kind = BV_CALL_ANNOUNCEMENT;
    }
    call->headers = bv_headers_filter(lines);
    call->idempotency_key = bv_headers_get(lines, BV_HEADER_IDEMPOTENCY_KEY);
    call->label = g_strdup(call->idempotency_key);
    call->customer = bv_headers_get(lines, BV_HEADER_CUSTOMER);
    call->traceparent = bv_headers_get(lines, BV_HEADER_TRACEPARENT);
    if (!call->is_outside) {
        call->request_id = bv_headers_get(lines, BV_HEADER_REQUEST_ID);
    }
    char *timeout = bv_headers_get(lines, BV_HEADER_TIMEOUT);
    guint64 timeout_ms = 0;
    if (timeout != NULL &&
        g_ascii_string_to_unsigned(timeout, 10, 1, TIMEOUT_LIMIT_MS,
                                   &timeout_ms, NULL)) {
        call->timeout_us = (int64_t)timeout_ms * BV_US_PER_MS;
    }
    g_free(timeout);
    return 0;
}

static void
append_header(GString *lines, const char *name, const char *value)
{
    if (value != NULL) {
        bv_headers_append_line(lines, name, value);
    }
}

static void
write_head(void *context, const bv_reply_t *reply, GString *lines)
{
    (void)context;
    append_header(lines, BV_HEADER_OUTCOME, bv_outcome_name(reply->outcome));
    if (reply->reason != BV_REASON_NONE) {
        append_header(lines, BV_HEADER_REASON, bv_reason_name(reply->reason));
    }
    append_header(lines, BV_HEADER_REQUEST_ID, reply->request_id);
    append_header(lines, BV_HEADER_IDEMPOTENCY_KEY, reply->idempotency_key);
    append_header(lines, BV_HEADER_TICKET, reply->ticket);
    if (reply->retry_after_us > 0) {
        int64_t seconds =
            (reply->retry_after_us + BV_US_PER_S - 1) / BV_US_PER_S;
        g_string_append_printf(lines, "Retry-After: %" G_GINT64_FORMAT "\r\n",
                               (gint64)seconds);
    }
}

const bv_caller_dialect_t bv_caller_own_dialect = {
    .read_head = read_head,
    .write_head = write_head,
};
