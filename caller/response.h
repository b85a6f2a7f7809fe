#ifndef BERYLVANE_CALLER_RESPONSE_H
#define BERYLVANE_CALLER_RESPONSE_H

#include "berylvane/caller/dialect.h"

/*
 * response - the HTTP response to a call
 */
typedef struct {
    /* Status line and header lines, without those of the connection. */
    GString *head;
    /* NULL for an empty body. */
    GBytes *body;
    /* The response is to close its connection. */
    bool closes;
} bv_response_t;

typedef enum {
    /* The connection stays open, as is usual. */
    BV_RESPONSE_KEEPS,
    /* The connection stays open, which HTTP/1.0 has to be told. */
    BV_RESPONSE_STATES_KEEPING,
    BV_RESPONSE_CLOSES,
} bv_response_ending_t;

/* Writes the reply to a request with the method `method`. */
bv_response_t *bv_response_build(const bv_caller_dialect_t *dialect,
                                 const bv_reply_t *reply, const char *method);

/* Returns the complete head; `response` can then only be destroyed. */
GBytes *bv_response_end_head(bv_response_t *response,
                             bv_response_ending_t ending);

size_t bv_response_size(const bv_response_t *response);

void bv_response_destroy(bv_response_t *response);

#endif
