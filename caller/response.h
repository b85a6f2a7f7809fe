#ifndef CALLER_RESPONSE_H
#define CALLER_RESPONSE_H

#include "berylvane/caller/dialect.h"

#include <microhttpd.h>

/*
 * response - converts a reply to a response of libmicrohttpd
 *
 * The result must be released with MHD_destroy_response(). It holds its own
 * reference to the body of the reply.
 */
struct MHD_Response *bv_response_build(const bv_caller_dialect_t *dialect,
                                       const bv_reply_t *reply);

#endif
