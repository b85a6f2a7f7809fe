#ifndef CORE_QUOTA_HOLDER_INTERNAL_H
#define CORE_QUOTA_HOLDER_INTERNAL_H

#include "berylvane/core/quota_holder.h"
#include "quota_floor.h"
#include "quota_stock.h"

/*
 * quota_holder_internal - types and functions that the sources of quota_holder
 * share
 *
 *  - quota_holder.c: the accounts, their limits and use
 *  - quota_holder_charge.c: charges calls, and returns their permits
 *  - quota_holder_parts.c: which part of a quota to ask
 *  - quota_holder_waiters.c: the calls that wait for a permit
 *  - quota_holder_requests.c: sends the requests to the lessors
 *  - quota_holder_replies.c: handles replies, timeouts and silent lessors
 */

#define US_PER_MS 1000
/* Time after which a request counts as unanswered; two inter-region round
 * trips take 120 ms. */
#define ANSWER_TIMEOUT_US (250 * US_PER_MS)
/* Period over which the calls of an account are counted. */
#define USE_PERIOD_US (100 * US_PER_MS)
/* The stock that a node aims at is the use in this part of a second. */
#define STOCK_DIVISOR 5
/* Least retry time that is stated when no lessor answers. */
#define FLOOR_RETRY_US (1000 * US_PER_MS)

/* A request to a lessor that may still be answered. */
typedef struct {
    uint64_t sequence;
    uint32_t part;
    int64_t sent_us;
    /* Calls that wait for the answer, and permits wanted beyond. */
    uint32_t needed;
    uint32_t extra;
    /* Permits that were requested, whether calls still wait for them or not.
     */
    uint32_t wanted;
    bool has_timed_out;
} open_request_t;

/* A part of an account's quota, as far as its lessor has answered. */
typedef struct {
    /* The lessor does not answer; it is probed from `probe_due_us` on. */
    bool is_silent;
    int64_t probe_due_us;
    /* Time from which a silent lessor lends, as it stated; past if unknown. */
    int64_t lends_from_us;
    int64_t refused_until_us;
    int64_t refused_retry_us;
} part_t;

/* A call that waits for a permit. */
typedef struct {
    uint64_t call;
    /* Refusals; the call is refused at BV_QUOTA_PARTS. */
    uint32_t refusals;
} waiter_t;

/* An account with a limit at this node. */
typedef struct {
    char *name;
    bv_quota_limit_t limit;
    quota_stock_t stock;
    part_t parts[BV_QUOTA_PARTS];
    /* Part that is asked first; it differs between the nodes. */
    uint32_t first_part;
    /* Of waiter_t, in order of arrival; the first `waiters_requested` are in
     * requests. */
    GQueue waiters;
    uint32_t waiters_requested;
    /* Of open_request_t, in order of sending. */
    GQueue open_requests;
    uint32_t extra_requested;
    int64_t last_refused_us;
    quota_floor_t floor;
    /* Admitted in this period, and average per second. */
    uint32_t used;
    double use_per_s;
    int64_t prefetch_due_us;
    bool is_pending;
    bool is_active;
    uint64_t admitted;
    uint64_t admitted_from_floor;
    uint64_t refused;
} account_t;

struct bv_quota_holder {
    bv_quota_holder_options_t options;
    bv_quota_bounds_t bounds;
    uint32_t floor_members;
    /* account_t by name. */
    GHashTable *accounts;
    /* Accounts that have something to send, and accounts in use. */
    GPtrArray *pending;
    GPtrArray *active;
    uint64_t sequence;
    int64_t tick_due_us;
    int64_t use_due_us;
};

/* Puts the account among those whose requests the next flush sends. */
void quota_holder_mark_pending(bv_quota_holder_t *holder, account_t *account);

/* Whether so little is in stock that permits should be requested ahead. */
bool quota_holder_is_stock_low(const account_t *account, int64_t now_us);

/*
 * Returns the part to ask for a permit: the one whose last refusal is the
 * oldest, so that a call that is refused asks each part once. BV_QUOTA_PARTS
 * if each one has refused recently or has a silent lessor.
 */
uint32_t quota_holder_choose_part(const account_t *account, int64_t now_us);

/* Number of parts whose lessor does not answer. */
uint32_t quota_holder_count_silent(const account_t *account);

/* Time to state to a caller while no part can be asked. */
int64_t quota_holder_retry_us(const account_t *account, int64_t now_us);

/* Marks a part as one whose lessor does not answer, to be probed from then. */
void quota_holder_silence_part(account_t *account, uint32_t index,
                               int64_t probe_due_us);

/* Ends the times for which refusals stand. */
void quota_holder_forget_refusals(account_t *account);

/*
 * Takes one request out of the floor. False while a lessor answers, and if the
 * floor admits no more.
 */
bool quota_holder_take_from_floor(const bv_quota_holder_t *holder,
                                  account_t *account, int64_t now_us);

/* Counts an admitted call. */
void quota_holder_count_admitted(account_t *account,
                                 const bv_quota_permit_t *permit);

/* Admits the call that has waited longest. */
void quota_holder_admit_first(const bv_quota_holder_t *holder,
                              account_t *account,
                              const bv_quota_permit_t *permit);

/* Refuses the call that has waited longest. */
void quota_holder_refuse_first(const bv_quota_holder_t *holder,
                               account_t *account, int64_t retry_us);

/* Takes one call out of the oldest request that calls wait for. */
void quota_holder_reduce_requested(account_t *account);

/*
 * Ends the waits of the calls that are in no request, as no part can be asked:
 * from the floor, or by a refusal.
 */
void quota_holder_end_waits(bv_quota_holder_t *holder, account_t *account,
                            int64_t now_us);

/*
 * Checks that each call that a request counts still waits; otherwise the calls
 * that are in no request would be miscounted.
 */
void quota_holder_check_requested(const account_t *account);

/* Handles the open requests that were not answered in time. */
void quota_holder_check_open_requests(bv_quota_holder_t *holder,
                                      account_t *account, int64_t now_us);

#endif
