#ifndef BERYLVANE_OPERATOR_LISTENER_H
#define BERYLVANE_OPERATOR_LISTENER_H

#include "berylvane/caller/listener.h"

/*
 * operator listener - /metrics, /health and the node's state for operators
 *
 * GET /metrics is answered here. Everything else is passed on as a query,
 * which is answered with bv_operator_reply(). Requests that change something
 * need the token of the settings (Authorization: Bearer TOKEN).
 */
typedef struct bv_operator_listener bv_operator_listener_t;

typedef struct {
    const char *address;
    uint16_t port;
    /* NULL: no request that changes something is accepted. */
    const char *token;
    /* Called on the listener's thread; false when the ring is full. */
    bool (*on_query)(void *context, bv_call_t *call);
    void *context;
} bv_operator_listener_options_t;

bv_operator_listener_t *
bv_operator_listener_start(const bv_operator_listener_options_t *options,
                           GError **error);

/* See bv_listener_close() and bv_listener_is_idle(). */
void bv_operator_listener_close(bv_operator_listener_t *listener);
bool bv_operator_listener_is_idle(const bv_operator_listener_t *listener);
void bv_operator_listener_stop(bv_operator_listener_t *listener);

/* Answers a query with JSON text; takes `text`. */
void bv_operator_reply(bv_call_t *call, uint16_t status, char *text);

#endif
