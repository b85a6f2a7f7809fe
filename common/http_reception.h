#ifndef COMMON_HTTP_RECEPTION_H
#define COMMON_HTTP_RECEPTION_H

#include "berylvane/common/http_client.h"

#include <curl/curl.h>

/*
 * http_reception - the answer to one request while it is received
 *
 * A reception is part of a larger object and must not be moved.
 */
typedef struct {
    const bv_http_request_t *request;
    CURL *easy;
    GByteArray *body;
    GString *headers;
    bool is_body_too_large;
    /* Header lines that follow are trailers. */
    bool is_head_complete;
    /* The answer has the header `echo_name` with the value `echo_value`. */
    bool has_echo;
} http_reception_t;

/* Makes `easy` hand the answer to `request` to the reception. */
void http_reception_init(http_reception_t *reception,
                         const bv_http_request_t *request, CURL *easy);

/* Moves the body to the caller; called once. */
GBytes *http_reception_take_body(http_reception_t *reception);

/* Frees what remains after the body was moved. */
void http_reception_clear(http_reception_t *reception);

#endif
