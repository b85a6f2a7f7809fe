#ifndef BERYLVANE_CORE_LOCAL_RETRY_H
#define BERYLVANE_CORE_LOCAL_RETRY_H

#include "berylvane/core/credit.h"
#include "berylvane/core/retry_budget.h"

/*
 * local_retry - whether the node beside a target sends a request again
 *
 * A target that closes its idle connections, or restarts, loses requests that
 * are sent on them at that moment. An idempotent one may be sent again, once,
 * on a new connection, without the way back to the caller's node. The retry is
 * charged like any other, so that a target that closes every connection does
 * not multiply the load: to the retry budget of the service and to the credits
 * of the request.
 */
typedef struct {
    int64_t now_us;
    int64_t deadline_us;
    /* Service of the target. */
    const char *service;
    bv_id_t request_id;
    uint16_t priority;
    /* How the attempt ended. */
    bv_outcome_t outcome;
    bv_reason_t reason;
    bool is_idempotent;
    /* The attempt was a local retry. */
    bool is_retry;
    /* The target still takes requests. */
    bool is_target_usable;
    /* The mode of the route permits retries. */
    bool is_permitted;
    /* The caller's node has cancelled the attempt. */
    bool is_cancelled;
} bv_local_retry_t;

typedef enum {
    /* The retry is charged and is to be sent. */
    BV_LOCAL_RETRY_SEND,
    /* The result is not one that is retried here. */
    BV_LOCAL_RETRY_NONE,
    /* Refused by the retry budget or the credits. */
    BV_LOCAL_RETRY_NO_BUDGET,
    BV_LOCAL_RETRY_NO_CREDIT,
} bv_local_retry_verdict_t;

/* Decides on a retry and charges it. */
bv_local_retry_verdict_t
bv_local_retry_try_charge(const bv_local_retry_t *retry,
                          bv_retry_budgets_t *budgets, bv_credits_t *credits);

#endif
