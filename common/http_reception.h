#ifndef COMMON_HTTP_RECEPTION_H
#define COMMON_HTTP_RECEPTION_H

#include "berylvane/common/chunked.h"
#include "berylvane/common/http_client.h"
#include "berylvane/common/response_head.h"
#include "berylvane/common/response_share.h"

#include <curl/curl.h>

/*
 * http_reception - the answer to one request while it is received
 *
 * libcurl finds the end of an answer. What it takes for heads and for chunks
 * is checked here: it takes more than RFC 9112 allows.
 *
 * A reception is part of a larger object and must not be moved.
 */

typedef struct {
    bv_response_share_t *share;
    /* What the answer holds of the share: its head and its body. */
    size_t held_bytes;
    const bv_http_request_t *request;
    CURL *easy;
    bv_response_head_t head;
    /* Of a body in chunks. */
    bv_chunked_t chunked;
    GByteArray *body;
    /* What is wrong with the answer; NULL if nothing was found. */
    const char *error;
} http_reception_t;

/*
 * Makes `easy` hand the answer to `request` to the reception. An answer ends
 * as too large if its header lines or its body exceed their limits, or if all
 * receptions together do and it holds more than an equal part.
 */
void http_reception_init(http_reception_t *reception,
                         bv_response_share_t *share,
                         const bv_http_request_t *request, CURL *easy);

/*
 * Whether an answer that libcurl takes for complete is whole. Else sets what
 * is wrong.
 */
bool http_reception_check_end(http_reception_t *reception);

/* Moves the body to the caller, by which the answer leaves the share; once. */
GBytes *http_reception_take_body(http_reception_t *reception);

/* Frees what remains after the body was moved. */
void http_reception_clear(http_reception_t *reception);

#endif
