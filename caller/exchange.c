#include "exchange.h"

#include <stddef.h>

bv_exchange_t *
bv_exchange_create(bv_listener_t *listener, bv_connection_t *connection,
                   const bv_request_head_t *head)
{
    bv_exchange_t *exchange = g_new0(bv_exchange_t, 1);
    exchange->listener = listener;
    exchange->connection = connection;
    exchange->received_body = g_byte_array_new();
    exchange->keeps_alive = head->keeps_alive;
    exchange->is_http_1_0 = head->is_http_1_0;
    exchange->call.method = g_strdup(head->method);
    exchange->call.path = g_strdup(head->target);
    return exchange;
}

void
bv_exchange_destroy(bv_exchange_t *exchange)
{
    if (exchange == NULL) {
        return;
    }
    bv_call_clear(&exchange->call);
    g_clear_pointer(&exchange->received_body, g_byte_array_unref);
    bv_response_destroy(exchange->response);
    g_free(exchange);
}

bv_exchange_t *
bv_exchange_of(bv_call_t *call)
{
    return (bv_exchange_t *)((char *)call - offsetof(bv_exchange_t, call));
}

bv_response_ending_t
bv_exchange_ending(const bv_exchange_t *exchange, bool is_last)
{
    if (is_last) {
        return BV_RESPONSE_CLOSES;
    }
    return exchange->is_http_1_0 ? BV_RESPONSE_STATES_KEEPING
                                 : BV_RESPONSE_KEEPS;
}
