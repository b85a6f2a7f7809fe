#include "berylvane/caller/call.h"

void
bv_call_clear(bv_call_t *call)
{
    g_free(call->method);
    g_free(call->path);
    g_free(call->host);
    g_free(call->headers);
    g_free(call->idempotency_key);
    g_free(call->customer);
    g_free(call->traceparent);
    g_free(call->request_id);
    g_free(call->label);
    g_clear_pointer(&call->body, g_bytes_unref);
}
