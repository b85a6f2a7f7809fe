#include "limits.h"

#include "berylvane/common/clock.h"

#define HEADERS_LIMIT_BYTES 32768
#define BODY_LIMIT_BYTES (1024 * 1024)
#define IDLE_TIMEOUT_US (120 * BV_US_PER_S)
/* Nothing is read ahead unless the owner asks for it. */
#define READ_AHEAD_REQUESTS 1
#define READ_AHEAD_BYTES (256 * 1024)

static int
seconds_rounded_up(int64_t time_us)
{
    return (int)((time_us + BV_US_PER_S - 1) / BV_US_PER_S);
}

static void
set_if_positive(gint *limit, int64_t value)
{
    if (value > 0) {
        g_atomic_int_set(limit, (gint)MIN(value, G_MAXINT));
    }
}

void
bv_connection_limits_set(bv_connection_limits_t *limits,
                         const bv_listener_limits_t *values)
{
    set_if_positive(&limits->header_bytes, values->header_bytes);
    set_if_positive(&limits->body_bytes, values->body_bytes);
    set_if_positive(&limits->carried_body_bytes, values->carried_body_bytes);
    set_if_positive(&limits->header_timeout_s,
                    seconds_rounded_up(values->header_timeout_us));
    set_if_positive(&limits->idle_timeout_s,
                    seconds_rounded_up(values->idle_timeout_us));
    set_if_positive(&limits->read_ahead_requests, values->read_ahead_requests);
    set_if_positive(&limits->read_ahead_bytes, values->read_ahead_bytes);
}

void
bv_connection_limits_init(bv_connection_limits_t *limits)
{
    bv_listener_limits_t values = {
        .header_bytes = HEADERS_LIMIT_BYTES,
        .body_bytes = BODY_LIMIT_BYTES,
        .carried_body_bytes = G_MAXINT,
        .header_timeout_us = IDLE_TIMEOUT_US,
        .idle_timeout_us = IDLE_TIMEOUT_US,
        .read_ahead_requests = READ_AHEAD_REQUESTS,
        .read_ahead_bytes = READ_AHEAD_BYTES,
    };
    bv_connection_limits_set(limits, &values);
}

size_t
bv_limit(const gint *limit)
{
    return (size_t)g_atomic_int_get(limit);
}

int64_t
bv_limit_us(const gint *limit_s)
{
    return (int64_t)g_atomic_int_get(limit_s) * BV_US_PER_S;
}
