#ifndef BERYLVANE_CORE_QUOTA_LESSOR_H
#define BERYLVANE_CORE_QUOTA_LESSOR_H

#include "berylvane/core/quota.h"

/*
 * quota_lessor - token buckets from which a node lends permits
 *
 * Handles an account that sends more than its limit through any number of
 * nodes. Each part of its quota has a bucket of its own; the limits below are
 * divided equally among the parts. Two hold. In any window, no more is lent
 * than the quota of a window and a quarter of the allowed overage. A token
 * bucket spreads this over the window; it gains the quota of a window in a
 * window. It starts owing a burst, which the former lessor may have lent just
 * before, so that the permits of successive lessors stay within the bounds as
 * well. Its capacity is the burst and a quarter of the allowed overage, so
 * that accounts that use little are not refused below their quota.
 */
typedef struct {
    const char *account;
    uint32_t part;
    /* Limit of the account, of which this is one part. */
    bv_quota_limit_t limit;
    uint64_t granted;
    uint64_t refused;
    double permits;
} bv_quota_bucket_t;

typedef struct bv_quota_lessor bv_quota_lessor_t;

bv_quota_lessor_t *bv_quota_lessor_create(void);
void bv_quota_lessor_destroy(bv_quota_lessor_t *lessor);

/*
 * Sets the bounds of all quotas. When the window changes, the buckets in use
 * start again empty at `now_us`. Without bounds, or with a window of 0, there
 * is no limit by window, buckets gain the rate, and their capacity is the
 * burst, but at least what the rate gives in 50 ms. The bucket of a part holds
 * at least one permit.
 */
void bv_quota_lessor_set_bounds(bv_quota_lessor_t *lessor, int64_t now_us,
                                const bv_quota_bounds_t *bounds);

/* Sets the limit of an account. A new account's bucket is empty. */
void bv_quota_lessor_set_limit(bv_quota_lessor_t *lessor, int64_t now_us,
                               const char *account,
                               const bv_quota_limit_t *limit);

/* Removes the accounts for which `is_kept` returns false. */
void bv_quota_lessor_retain(bv_quota_lessor_t *lessor,
                            bool (*is_kept)(void *context,
                                            const char *account),
                            void *context);

/* Empties the buckets of the parts for which `is_lessor` returns false. */
void bv_quota_lessor_forget(bv_quota_lessor_t *lessor,
                            bool (*is_lessor)(void *context,
                                              const char *account,
                                              uint32_t part),
                            void *context);

/*
 * Lends permits. A bucket that is in use for the first time since it was
 * emptied counts as filled from `since_us` on, the time from which this node
 * has been the lessor. More than `needed` permits are lent only from the upper
 * half of the bucket, so that permits that expire unused cause no refusal
 * elsewhere. An unknown account or part is answered as BV_QUOTA_NOT_LESSOR.
 */
bv_quota_reply_t bv_quota_lessor_lend(bv_quota_lessor_t *lessor,
                                      int64_t now_us, int64_t since_us,
                                      const bv_quota_request_t *request);

/* Calls `visit` for each account whose bucket is in use. */
void bv_quota_lessor_foreach(const bv_quota_lessor_t *lessor,
                             void (*visit)(void *context,
                                           const bv_quota_bucket_t *bucket),
                             void *context);

#endif
