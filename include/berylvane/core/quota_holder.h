#ifndef BERYLVANE_CORE_QUOTA_HOLDER_H
#define BERYLVANE_CORE_QUOTA_HOLDER_H

#include "berylvane/core/quota.h"

/*
 * quota_holder - permits that a node was lent, and the calls that wait for one
 *
 * A call of an account with a limit uses one permit. Without a permit in stock
 * the call waits while the node asks the lessors of the account's parts, one
 * after the other, until one grants it or all have refused. Handles lessors
 * that do not answer: the others are asked; once none answers, the node admits
 * calls from its floor, an equal share of half of the allowed overage, and
 * refuses the others. No timeout creates permits.
 */

/* Time from the request of a permit to its expiry. */
#define BV_QUOTA_PERMIT_LIFETIME_US 500000

typedef enum {
    /* The call may run. */
    BV_QUOTA_ADMITTED,
    /* The account is over its quota. */
    BV_QUOTA_REFUSED,
    /* `admitted` or `refused` will be called. */
    BV_QUOTA_WAITING,
} bv_quota_verdict_t;

/* Where the permit of an admitted call came from. */
typedef enum {
    BV_QUOTA_FROM_STOCK,
    BV_QUOTA_FROM_LESSOR,
    BV_QUOTA_FROM_FLOOR,
} bv_quota_source_t;

typedef struct {
    bv_quota_source_t source;
    /* Time until which the permit may be returned; 0 for never. */
    int64_t expires_us;
} bv_quota_permit_t;

typedef struct {
    /*
     * Returns the name of the lessor of a part of the account's quota and
     * stores its incarnation; NULL if there is none.
     */
    const char *(*lessor)(void *context, const char *account, uint32_t part,
                          uint64_t *incarnation);
    /*
     * Sends the requests of one lessor. The reply with the same `sequence`
     * may be handled during the call.
     */
    void (*ask)(void *context, const char *lessor, uint64_t incarnation,
                uint64_t sequence, const bv_quota_request_t *requests,
                uint32_t count);
    void (*admitted)(void *context, uint64_t waiter,
                     const bv_quota_permit_t *permit);
    /* `retry_us` is the time after which the caller should return. */
    void (*refused)(void *context, uint64_t waiter, int64_t retry_us);
} bv_quota_holder_ops_t;

typedef struct {
    /* Name of this node: permits of its own buckets need no stock. */
    char name[BV_NAME_BYTES];
    const bv_quota_holder_ops_t *ops;
    void *context;
} bv_quota_holder_options_t;

/* Counts of one account at this node. */
typedef struct {
    const char *account;
    uint64_t admitted;
    uint64_t admitted_from_floor;
    uint64_t refused;
    uint32_t stock;
    uint32_t waiting;
    /* Parts whose lessor does not answer. */
    uint32_t silent_lessors;
} bv_quota_usage_t;

typedef struct bv_quota_holder bv_quota_holder_t;

bv_quota_holder_t *
bv_quota_holder_create(const bv_quota_holder_options_t *options);
void bv_quota_holder_destroy(bv_quota_holder_t *holder);

/*
 * Sets the bounds and the number of members among which the floor is divided,
 * at least 2; 0 for no floor.
 */
void bv_quota_holder_set_floor(bv_quota_holder_t *holder,
                               const bv_quota_bounds_t *bounds,
                               uint32_t members);

/* Sets the limit of an account; its rate is not 0. */
void bv_quota_holder_set_limit(bv_quota_holder_t *holder, const char *account,
                               const bv_quota_limit_t *limit);

/*
 * Removes the accounts for which `is_kept` returns false, except those for
 * which calls wait.
 */
void bv_quota_holder_retain(bv_quota_holder_t *holder,
                            bool (*is_kept)(void *context,
                                            const char *account),
                            void *context);

/*
 * Charges a call to an account. Stores the permit if the call is admitted, and
 * `retry_us` if it is refused. An account without a limit admits all calls.
 */
bv_quota_verdict_t bv_quota_holder_charge(bv_quota_holder_t *holder,
                                          int64_t now_us, const char *account,
                                          uint64_t waiter,
                                          bv_quota_permit_t *permit,
                                          int64_t *retry_us);

/* Removes a call that no longer waits. Its permit goes to the stock. */
void bv_quota_holder_leave(bv_quota_holder_t *holder, const char *account,
                           uint64_t waiter);

/* Returns the permit of a call that has not run and never will. */
void bv_quota_holder_return(bv_quota_holder_t *holder, int64_t now_us,
                            const char *account,
                            const bv_quota_permit_t *permit);

/* Sends the requests that are due, one message for each lessor. */
void bv_quota_holder_flush(bv_quota_holder_t *holder, int64_t now_us);

/*
 * Handles the reply to the request with this number for one part. Returns
 * false if no such request is open.
 */
bool bv_quota_holder_handle_reply(bv_quota_holder_t *holder, int64_t now_us,
                                  uint64_t sequence,
                                  const bv_quota_reply_t *reply);

/* Repeats requests, ends waits, and estimates the use of the accounts. */
void bv_quota_holder_tick(bv_quota_holder_t *holder, int64_t now_us);

/* Calls `visit` for each account that calls were charged to. */
void bv_quota_holder_foreach(const bv_quota_holder_t *holder,
                             void (*visit)(void *context,
                                           const bv_quota_usage_t *usage),
                             void *context);

#endif
