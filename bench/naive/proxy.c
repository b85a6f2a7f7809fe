#include "naive.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/core/types.h"

#include <string.h>
#include <unistd.h>

#define EVENT_WAIT_US (100 * BV_US_PER_MS)
#define ANSWER_LIMIT_BYTES (16 * 1024 * 1024)
#define STATUS_UNAVAILABLE 503
#define STATUS_BAD_GATEWAY 502

typedef enum {
    /* A call from a caller or the local target. */
    EVENT_CALLER_CALL,
    /* A call from another proxy, for this proxy's target. */
    EVENT_PEER_CALL,
    /* The end of an attempt that was sent to another proxy. */
    EVENT_PEER_ANSWER,
    /* The end of an attempt that was sent to this proxy's target. */
    EVENT_TARGET_ANSWER,
} event_kind_t;

/* A call in progress, with the answer to its last attempt. */
typedef struct {
    /* The event that the call stands for in the queue of events. */
    event_kind_t kind;
    naive_proxy_t *proxy;
    bv_call_t *call;
    /* NULL for a call from another proxy. */
    const naive_route_t *route;
    /*
     * Idempotency key from the call, or one that this proxy generated for a
     * POST request; NULL if there is none.
     */
    char *key;
    int64_t retries_left;
    /* 0 if the last attempt got no answer. */
    uint16_t status;
    char *headers;
    GBytes *body;
} exchange_t;

static bool
enqueue_event(naive_proxy_t *proxy, bv_call_t *call, event_kind_t kind)
{
    exchange_t *exchange = g_new0(exchange_t, 1);
    exchange->kind = kind;
    exchange->proxy = proxy;
    exchange->call = call;
    exchange->retries_left = proxy->settings->retries;
    exchange->key = g_strdup(call->idempotency_key);
    if (bv_ring_push(proxy->events, exchange)) {
        return true;
    }
    g_free(exchange->key);
    g_free(exchange);
    return false;
}

bool
naive_on_caller_call(void *proxy, bv_call_t *call)
{
    return enqueue_event(proxy, call, EVENT_CALLER_CALL);
}

bool
naive_on_peer_call(void *proxy, bv_call_t *call)
{
    return enqueue_event(proxy, call, EVENT_PEER_CALL);
}

static const naive_route_t *
find_route(const naive_settings_t *settings, const char *path)
{
    const naive_route_t *longest = NULL;
    for (size_t i = 0; i < settings->route_count; i++) {
        const naive_route_t *route = &settings->routes[i];
        if (g_str_has_prefix(path, route->prefix) &&
            (longest == NULL ||
             strlen(route->prefix) > strlen(longest->prefix))) {
            longest = route;
        }
    }
    return longest;
}

static void
clear_answer(exchange_t *exchange)
{
    g_clear_pointer(&exchange->headers, g_free);
    g_clear_pointer(&exchange->body, g_bytes_unref);
    exchange->status = 0;
}

static void
reply(exchange_t *exchange)
{
    bv_reply_t answer = {
        .status =
            exchange->status != 0 ? exchange->status : STATUS_BAD_GATEWAY,
        .outcome =
            exchange->status == 200 ? BV_OUTCOME_RAN : BV_OUTCOME_UNKNOWN,
        .headers = exchange->headers,
        .idempotency_key = exchange->key,
        .body = exchange->body,
    };
    bv_call_reply(exchange->call, &answer);
    clear_answer(exchange);
    g_free(exchange->key);
    g_free(exchange);
}

static void
on_answer(void *context, const bv_http_answer_t *answer)
{
    exchange_t *exchange = context;
    if (answer->result == BV_HTTP_ANSWERED) {
        exchange->status = answer->status;
        exchange->headers = bv_headers_filter(answer->headers);
        exchange->body = g_bytes_ref(answer->body);
    }
    while (!bv_ring_push(exchange->proxy->events, exchange)) {
        usleep(BV_US_PER_MS);
    }
}

static char *
build_headers(const exchange_t *exchange)
{
    const bv_call_t *call = exchange->call;
    if (exchange->key == NULL) {
        return g_strdup(call->headers);
    }
    return g_strdup_printf("%s%s: %s\r\n",
                           call->headers != NULL ? call->headers : "",
                           BV_HEADER_IDEMPOTENCY_KEY, exchange->key);
}

/* Returns false, after replying 503, if the client's queue is full. */
static bool
send_attempt(naive_proxy_t *proxy, exchange_t *exchange, char *url)
{
    const bv_call_t *call = exchange->call;
    bv_http_request_t *request = bv_http_request_create(call->method, url);
    g_free(url);
    request->id = ++proxy->next_id;
    request->source_address = g_strdup(proxy->settings->address);
    request->headers = build_headers(exchange);
    request->uses_fresh_connection = strcmp(call->method, "POST") == 0;
    if (call->body != NULL && g_bytes_get_size(call->body) > 0) {
        request->body = g_bytes_ref(call->body);
    }
    request->timeout_us = proxy->settings->timeout_ms * BV_US_PER_MS;
    request->answer_limit_bytes = ANSWER_LIMIT_BYTES;
    request->on_answer = on_answer;
    request->context = exchange;
    clear_answer(exchange);
    if (!bv_http_client_send(proxy->http_client, request)) {
        exchange->status = STATUS_UNAVAILABLE;
        reply(exchange);
        return false;
    }
    return true;
}

static void
send_to_peer(naive_proxy_t *proxy, exchange_t *exchange)
{
    const naive_route_t *route = exchange->route;
    const char *instance =
        route->instances[proxy->next_turn++ % route->instance_count];
    exchange->kind = EVENT_PEER_ANSWER;
    send_attempt(
        proxy, exchange,
        g_strdup_printf("http://%s%s", instance, exchange->call->path));
}

/* Occupies a slot if the call was sent. */
static void
send_to_target(naive_proxy_t *proxy, exchange_t *exchange)
{
    exchange->kind = EVENT_TARGET_ANSWER;
    char *url = g_strdup_printf("http://127.0.0.1:%d%s",
                                (int)proxy->settings->target_port,
                                exchange->call->path);
    if (send_attempt(proxy, exchange, url)) {
        proxy->running_count++;
    }
}

static bool
has_free_slot(const naive_proxy_t *proxy)
{
    return proxy->running_count < (size_t)proxy->settings->slots;
}

static void
handle_caller_call(naive_proxy_t *proxy, exchange_t *exchange)
{
    exchange->route = find_route(proxy->settings, exchange->call->path);
    if (exchange->route == NULL || exchange->route->instance_count == 0) {
        exchange->status = 404;
        reply(exchange);
        return;
    }
    if (exchange->key == NULL && strcmp(exchange->call->method, "POST") == 0) {
        bv_id_t id = bv_id_random(proxy->random);
        char text[BV_ID_TEXT_BYTES];
        exchange->key = g_strdup(bv_id_text(&id, text));
    }
    send_to_peer(proxy, exchange);
}

static void
handle_peer_call(naive_proxy_t *proxy, exchange_t *exchange)
{
    const naive_settings_t *settings = proxy->settings;
    if (has_free_slot(proxy)) {
        send_to_target(proxy, exchange);
        return;
    }
    if (g_queue_get_length(&proxy->waiting) < (guint)settings->queue_limit) {
        g_queue_push_tail(&proxy->waiting, exchange);
        return;
    }
    exchange->status = STATUS_UNAVAILABLE;
    reply(exchange);
}

static void
handle_peer_answer(naive_proxy_t *proxy, exchange_t *exchange)
{
    if (exchange->status == 200 || exchange->retries_left == 0) {
        reply(exchange);
        return;
    }
    exchange->retries_left--;
    send_to_peer(proxy, exchange);
}

static void
handle_target_answer(naive_proxy_t *proxy, exchange_t *exchange)
{
    reply(exchange);
    proxy->running_count--;
    while (has_free_slot(proxy) && !g_queue_is_empty(&proxy->waiting)) {
        send_to_target(proxy, g_queue_pop_head(&proxy->waiting));
    }
}

void
naive_run(naive_proxy_t *proxy)
{
    while (!g_atomic_int_get(&proxy->is_stopping)) {
        exchange_t *exchange = bv_ring_wait(proxy->events, EVENT_WAIT_US);
        if (exchange == NULL) {
            continue;
        }
        switch (exchange->kind) {
        case EVENT_CALLER_CALL:
            handle_caller_call(proxy, exchange);
            break;
        case EVENT_PEER_CALL:
            handle_peer_call(proxy, exchange);
            break;
        case EVENT_PEER_ANSWER:
            handle_peer_answer(proxy, exchange);
            break;
        case EVENT_TARGET_ANSWER:
            handle_target_answer(proxy, exchange);
            break;
        }
    }
}
