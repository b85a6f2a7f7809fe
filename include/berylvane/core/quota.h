#ifndef BERYLVANE_CORE_QUOTA_H
#define BERYLVANE_CORE_QUOTA_H

#include "berylvane/core/types.h"

/*
 * quota - types that the lessor and the holder of permits share
 *
 * An account may have a limit on its requests over all nodes together. Each
 * admitted request uses one permit. The quota is divided into equal parts.
 * Each part has one node that lends its permits from a token bucket, the
 * lessor; the others hold what they were lent for a short time. All times are
 * of a clock that counts suspension (CLOCK_BOOTTIME).
 */

/*
 * Parts of a quota. While a lessor that has died is not yet evicted, the other
 * two parts are two thirds of the quota.
 */
#define BV_QUOTA_PARTS 3

/* Accounts in one message between nodes. */
#define BV_QUOTA_ENTRIES_LIMIT 64
#define BV_QUOTA_NAME_LIMIT_BYTES 200
/* Permits in one entry of a message. */
#define BV_QUOTA_PERMITS_LIMIT 100000
/* Longest time that a lessor states. */
#define BV_QUOTA_WAIT_LIMIT_US 5000000

typedef struct {
    /* 0 for no limit. */
    uint32_t rate_per_s;
    uint32_t burst;
} bv_quota_limit_t;

/*
 * The bound on the requests of an account in any window, over all nodes:
 * (rate x window + burst) x (1 + overage) + slack.
 */
typedef struct {
    int64_t window_us;
    double overage;
    double slack;
} bv_quota_bounds_t;

/* Requests that an account may run in a window: rate x window + burst. */
double bv_quota_in_window(const bv_quota_limit_t *limit,
                          const bv_quota_bounds_t *bounds);

/* Requests beyond that which the bounds allow in a window. */
double bv_quota_overage(const bv_quota_limit_t *limit,
                        const bv_quota_bounds_t *bounds);

/* What a holder asks for one part of an account's quota. */
typedef struct {
    const char *account;
    /* Part of the quota, below BV_QUOTA_PARTS. */
    uint32_t part;
    /* Permits for calls that wait. */
    uint32_t needed;
    /* Permits that the holder can use; at least `needed`. */
    uint32_t wanted;
} bv_quota_request_t;

typedef enum {
    /* The lessor granted `granted` permits and refused the other needed. */
    BV_QUOTA_GRANTED,
    /* The receiver is not the lessor or may not lend; nothing happened. */
    BV_QUOTA_NOT_LESSOR,
} bv_quota_status_t;

typedef struct {
    const char *account;
    uint32_t part;
    bv_quota_status_t status;
    uint32_t granted;
    /*
     * Time until the next permit can be lent: the bucket holds it, and the
     * window has room for it.
     */
    int64_t wait_us;
    /*
     * Time after which a refused caller should return; from a node that is not
     * the lessor, the time until it may lend, 0 if it is not known.
     */
    int64_t retry_us;
} bv_quota_reply_t;

#endif
