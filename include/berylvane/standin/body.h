#ifndef BERYLVANE_STANDIN_BODY_H
#define BERYLVANE_STANDIN_BODY_H

#include <glib.h>

/*
 * body - the response body that a target stand-in returns for a request
 *
 * The body depends only on method, path and request body, so that the load
 * tool can compute the expected body and detect truncated or wrong responses.
 * The query argument "bytes" sets the length; smaller values than 16 bytes and
 * larger ones than 4 MiB are clamped, the default is 256 bytes. `request` may
 * be NULL. The caller owns the result.
 */
GBytes *bv_standin_body(const char *method, const char *path, GBytes *request);

#endif
