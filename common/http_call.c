#include "berylvane/common/http_call.h"

#include "berylvane/common/latch.h"

#define ANSWER_LIMIT (64 * 1024 * 1024)

typedef struct {
    bv_latch_t *answered;
    bv_http_reply_t reply;
} wait_t;

static void
on_answer(void *context, const bv_http_answer_t *answer)
{
    wait_t *wait = context;
    wait->reply.result = answer->result;
    wait->reply.status = answer->status;
    wait->reply.headers = g_strdup(answer->headers);
    wait->reply.body = g_bytes_ref(answer->body);
    bv_latch_open(wait->answered);
}

bv_http_reply_t
bv_http_call(const bv_http_call_t *call)
{
    wait_t wait = {0};
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    wait.answered = bv_latch_create(pool);
    bv_http_client_options_t options = {.ring_capacity = 4,
                                        .kept_connections = 1};
    bv_http_client_t *client = bv_http_client_start(pool, &options);
    bv_http_request_t *request =
        bv_http_request_create(call->method, call->url);
    request->headers = g_strdup(call->headers);
    request->body = call->body != NULL ? g_bytes_ref(call->body) : NULL;
    request->uses_fresh_connection = true;
    request->timeout_us = call->timeout_us;
    request->answer_limit_bytes = ANSWER_LIMIT;
    request->on_answer = on_answer;
    request->context = &wait;
    bv_http_client_send(client, request);
    bv_latch_wait(wait.answered);
    bv_http_client_stop(client);
    apr_pool_destroy(pool);
    return wait.reply;
}

void
bv_http_reply_clear(bv_http_reply_t *reply)
{
    g_free(reply->headers);
    g_clear_pointer(&reply->body, g_bytes_unref);
    reply->headers = NULL;
}
