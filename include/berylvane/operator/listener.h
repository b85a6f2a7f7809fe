#ifndef BERYLVANE_OPERATOR_LISTENER_H
#define BERYLVANE_OPERATOR_LISTENER_H

#include "berylvane/caller/listener.h"

/*
 * operator listener - HTTP server for operators: metrics, health, state
 *
 * The listener replies to GET /metrics itself. All other requests are passed
 * to on_query and replied to with bv_operator_reply(). A request with another
 * method than GET is refused with 401 unless it carries the operator token of
 * the settings (Authorization: Bearer TOKEN).
 */
typedef struct bv_operator_listener bv_operator_listener_t;

typedef struct {
    const char *address;
    uint16_t port;
    /* NULL if only GET requests are accepted. */
    const char *token;
    /*
     * Called on the listener's thread. Returns false if the node's event queue
     * is full; the listener then refuses the request.
     */
    bool (*on_query)(void *context, bv_call_t *call);
    void *context;
} bv_operator_listener_options_t;

/* Returns NULL and sets `error` if the address cannot be bound. */
bv_operator_listener_t *
bv_operator_listener_start(const bv_operator_listener_options_t *options,
                           GError **error);

/* See bv_listener_close(), bv_listener_is_idle() and bv_listener_stop(). */
void bv_operator_listener_close(bv_operator_listener_t *listener);
bool bv_operator_listener_is_idle(const bv_operator_listener_t *listener);
void bv_operator_listener_stop(bv_operator_listener_t *listener);

/* Returns what the connections hold; 0 for NULL. For any thread. */
size_t bv_operator_listener_held_bytes(const bv_operator_listener_t *listener);

/* Replies to a query with JSON text; takes ownership of `text` (g_free). */
void bv_operator_reply(bv_call_t *call, uint16_t status, char *text);

#endif
