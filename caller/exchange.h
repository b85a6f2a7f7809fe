#ifndef BERYLVANE_CALLER_EXCHANGE_H
#define BERYLVANE_CALLER_EXCHANGE_H

#include "berylvane/caller/listener.h"
#include "request_parser.h"
#include "response.h"

typedef struct bv_connection bv_connection_t;

/*
 * exchange - a call and the response to it
 */
typedef struct {
    bv_call_t call;
    bv_listener_t *listener;
    /* NULL once the connection is closed. */
    bv_connection_t *connection;
    /* NULL once the whole body was received. */
    GByteArray *received_body;
    bool keeps_alive;
    bool is_http_1_0;
    /* NULL until the call is replied to, and if it is dropped. */
    bv_response_t *response;
} bv_exchange_t;

bv_exchange_t *bv_exchange_create(bv_listener_t *listener,
                                  bv_connection_t *connection,
                                  const bv_request_head_t *head);
void bv_exchange_destroy(bv_exchange_t *exchange);

/* Returns the exchange that `call` is part of. */
bv_exchange_t *bv_exchange_of(bv_call_t *call);

/* How the response ends if it is, or is not, the connection's last one. */
bv_response_ending_t bv_exchange_ending(const bv_exchange_t *exchange,
                                        bool is_last);

#endif
