#ifndef CALLER_RESPONSE_H
#define CALLER_RESPONSE_H

#include "berylvane/caller/dialect.h"

#include <microhttpd.h>

/*
 * response - a reply as libmicrohttpd's response
 */
struct MHD_Response *bv_response_build(const bv_caller_dialect_t *dialect,
                                       const bv_reply_t *reply);

#endif
