#ifndef BERYLVANE_CALLER_REQUEST_READER_H
#define BERYLVANE_CALLER_REQUEST_READER_H

#include "exchange.h"
#include "limits.h"

/*
 * request_reader - makes exchanges of the bytes that a connection receives
 */
typedef struct bv_request_reader bv_request_reader_t;

typedef struct {
    bv_listener_t *listener;
    bv_connection_t *connection;
    const bv_caller_dialect_t *dialect;
    bv_listener_role_t role;
    const bv_connection_limits_t *limits;
    /*
     * Called when a head was read and a body is to come: returns the status
     * that the call is refused with, or 0.
     */
    uint16_t (*check_head)(void *context, const bv_call_t *call);
    void *context;
    /* Decides whether a large body is received; NULL: always. */
    const bv_memory_budget_t *budget;
} bv_request_reader_options_t;

typedef struct {
    /* NULL while the request is incomplete. */
    bv_exchange_t *exchange;
    /*
     * The exchange has its response already, a refusal. The request's end is
     * not known, so that what follows it cannot be read.
     */
    bool is_refused;
    /* Bytes that were read by this call, and for the whole request. */
    size_t consumed;
    uint64_t request_bytes;
} bv_received_t;

/* `accepted_us`: time at which the connection was accepted. */
bv_request_reader_t *
bv_request_reader_create(const bv_request_reader_options_t *options,
                         int64_t accepted_us);
void bv_request_reader_destroy(bv_request_reader_t *reader);

/* Reads up to the end of a request. */
bv_received_t bv_request_reader_feed(bv_request_reader_t *reader,
                                     int64_t now_us, const char *data,
                                     size_t size);

/*
 * Time since which a head is awaited (the first one) or incomplete; 0 if none
 * is.
 */
int64_t bv_request_reader_head_since_us(const bv_request_reader_t *reader);

/*
 * Returns once for each request whether its sender waits for "100 Continue"
 * before it sends the body.
 */
bool bv_request_reader_take_continue(bv_request_reader_t *reader);

/*
 * Bytes of the request that is being received, with those of a body of known
 * length that are to come.
 */
uint64_t bv_request_reader_held_bytes(const bv_request_reader_t *reader);

/* Whether a body is being received whose whole length was admitted. */
bool bv_request_reader_is_reserved(const bv_request_reader_t *reader);

#endif
