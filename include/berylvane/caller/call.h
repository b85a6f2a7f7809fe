#ifndef BERYLVANE_CALLER_CALL_H
#define BERYLVANE_CALLER_CALL_H

#include "berylvane/core/types.h"

/*
 * call - one HTTP call as a listener hands it on, and the reply to it
 */

/* What a listener is for; a dialect reads calls by it. */
typedef enum {
    /* Calls of the local target, or of tools. */
    BV_LISTENER_LOCAL,
    /* Calls of outside callers. */
    BV_LISTENER_OUTSIDE,
    /* Announcements of the local target. */
    BV_LISTENER_CONTROL,
    /* Whether callers may be sent here. */
    BV_LISTENER_READINESS,
    BV_LISTENER_ROLE_END,
} bv_listener_role_t;

typedef enum {
    BV_CALL_REQUEST,
    BV_CALL_ANNOUNCEMENT,
    BV_CALL_READINESS,
} bv_call_kind_t;

/* One call. All but the answer is read-only once on_call has it. */
typedef struct {
    bv_call_kind_t kind;
    bool is_outside;
    char *method;
    /* Path and query as they came. */
    char *path;
    /* Virtual host; NULL where routes do not look at it. */
    char *host;
    /* End-to-end header lines. */
    char *headers;
    char *idempotency_key;
    char *customer;
    char *traceparent;
    /*
     * Id of the customer request over its whole chain, as text. Of an outside
     * call it is a name only; else it leads to the work that makes the call.
     */
    char *request_id;
    /* The caller's own name for this attempt, for logs; may be NULL. */
    char *label;
    /* Deadline that the caller set, or 0. */
    int64_t timeout_us;
    GBytes *body;
    int64_t arrived_us;
    /* Unique in the process; set when on_gone is used, which it names. */
    uint64_t tag;
} bv_call_t;

typedef struct {
    uint16_t status;
    bv_outcome_t outcome;
    bv_reason_t reason;
    /* End-to-end header lines; may be NULL. */
    const char *headers;
    /* Header Berylvane-Request; may be NULL. */
    const char *request_id;
    /* Idempotency-Key that was minted for the call; may be NULL. */
    const char *idempotency_key;
    /* A fresh ticket for the caller's next order; may be NULL. */
    const char *ticket;
    /* When to come back; 0: not said. */
    int64_t retry_after_us;
    /* Closes the connection after the answer. */
    bool closes_connection;
    GBytes *body;
} bv_reply_t;

/* Frees what a call holds, but not the call. */
void bv_call_clear(bv_call_t *call);

#endif
