#ifndef BERYLVANE_COMMON_HTTP_CALL_H
#define BERYLVANE_COMMON_HTTP_CALL_H

#include "berylvane/common/http_client.h"

/*
 * http_call - blocking HTTP requests
 */
typedef struct {
    const char *method;
    const char *url;
    /* Header lines, each ended by CR LF; NULL for none. */
    const char *headers;
    /* NULL for no body. */
    GBytes *body;
    int64_t timeout_us;
} bv_http_call_t;

/* What a call returned; bv_http_reply_clear() frees the members. */
typedef struct {
    bv_http_result_t result;
    /* Text for users; "No error" for an answered request. Not freed. */
    const char *error;
    /* HTTP status; 0 if no complete answer came. */
    uint16_t status;
    /* All header lines of the answer, each ended by CR LF. */
    char *headers;
    GBytes *body;
} bv_http_reply_t;

/*
 * Sends a request once, over a fresh connection, and blocks until the request
 * is answered, has failed or has timed out. An answer with a body of more than
 * 64 MiB ends the request as BV_HTTP_BROKEN.
 */
bv_http_reply_t bv_http_call(const bv_http_call_t *call);
void bv_http_reply_clear(bv_http_reply_t *reply);

#endif
