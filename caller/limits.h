#ifndef BERYLVANE_CALLER_LIMITS_H
#define BERYLVANE_CALLER_LIMITS_H

#include "berylvane/caller/listener.h"

/*
 * limits - the limits of a listener's connections
 *
 * Any thread may change them; each limit takes effect by itself.
 */
typedef struct {
    gint header_bytes;
    gint body_bytes;
    gint carried_body_bytes;
    gint header_timeout_s;
    gint idle_timeout_s;
    gint read_ahead_requests;
    gint read_ahead_bytes;
} bv_connection_limits_t;

void bv_connection_limits_init(bv_connection_limits_t *limits);

/* Takes over the limits that are not 0; times are rounded up to seconds. */
void bv_connection_limits_set(bv_connection_limits_t *limits,
                              const bv_listener_limits_t *values);

/* Returns the current value of a limit. */
size_t bv_limit(const gint *limit);

/* Returns the current value of a limit in seconds. */
int64_t bv_limit_us(const gint *limit_s);

#endif
