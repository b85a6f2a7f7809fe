#include "berylvane/common/http_call.h"

#include "berylvane/common/latch.h"

#define ANSWER_LIMIT_BYTES (64 * 1024 * 1024)

typedef struct {
    bv_latch_t *answered;
    bv_http_reply_t reply;
} blocking_call_t;

static void
on_answer(void *context, const bv_http_answer_t *answer)
{
    blocking_call_t *blocking = context;
    blocking->reply.result = answer->result;
    blocking->reply.error = answer->error;
    blocking->reply.status = answer->status;
    blocking->reply.headers = g_strdup(answer->headers);
    blocking->reply.body = g_bytes_ref(answer->body);
    bv_latch_open(blocking->answered);
}

bv_http_reply_t
bv_http_call(const bv_http_call_t *call)
{
    blocking_call_t blocking = {0};
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    blocking.answered = bv_latch_create(pool);
    bv_http_client_options_t options = {.ring_capacity = 4,
                                        .kept_connections = 1};
    bv_http_client_t *client = bv_http_client_start(pool, &options);
    bv_http_request_t *request =
        bv_http_request_create(call->method, call->url);
    request->headers = g_strdup(call->headers);
    request->body = call->body != NULL ? g_bytes_ref(call->body) : NULL;
    request->uses_fresh_connection = true;
    request->timeout_us = call->timeout_us;
    request->answer_limit_bytes = ANSWER_LIMIT_BYTES;
    request->on_answer = on_answer;
    request->context = &blocking;
    bv_http_client_send(client, request);
    bv_latch_wait(blocking.answered);
    bv_http_client_stop(client);
    apr_pool_destroy(pool);
    return blocking.reply;
}

void
bv_http_reply_clear(bv_http_reply_t *reply)
{
    g_free(reply->headers);
    g_clear_pointer(&reply->body, g_bytes_unref);
    reply->headers = NULL;
}
