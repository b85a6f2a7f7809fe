#ifndef BERYLVANE_CORE_REQUEST_H
#define BERYLVANE_CORE_REQUEST_H

#include "berylvane/core/credit.h"

/*
 * request - the caller side's state machine of one call
 *
 * Decides when to dispatch, retry, hedge, fence and answer, and with which
 * outcome. "Not run" is answered only when every attempt is proved not run.
 * A non-idempotent call has at most one attempt that is not proved not run.
 */
#define BV_ATTEMPTS_LIMIT 8

typedef enum {
    BV_ATTEMPT_PENDING,
    BV_ATTEMPT_NOT_RUN,
    BV_ATTEMPT_RAN,
    BV_ATTEMPT_UNKNOWN,
} bv_attempt_state_t;

typedef struct {
    uint64_t id;
    char member[BV_NAME_BYTES];
    uint64_t incarnation;
    uint64_t session;
    bv_attempt_state_t state;
    bool is_hedge;
    /* Its work did not get as far as a target. */
    bool never_reached_target;
    int64_t sent_us;
    /* What the attempt was lent; its answer gives back what is left. */
    bv_loan_t loan;
    /* When its last fence was sent; 0 for none. */
    int64_t last_fence_us;
} bv_attempt_t;

/* The result of an attempt and who gave it. */
typedef struct {
    uint64_t attempt;
    const char *member;
    uint64_t incarnation;
    bv_outcome_t outcome;
    bv_reason_t reason;
    /* Passed on to the verdict if this result settles the call. */
    void *detail;
} bv_attempt_result_t;

/* Why an attempt follows an earlier one. */
typedef enum {
    BV_FIRST_TRY,
    BV_RETRY,
    BV_REROUTE,
    BV_HEDGE,
} bv_attempt_kind_t;

typedef struct bv_request bv_request_t;

/* The final word on a call. `detail` is what bv_request_handle_result() was
 * given. */
typedef struct {
    bv_outcome_t outcome;
    bv_reason_t reason;
    void *detail;
} bv_call_result_t;

/* What the state machine asks for; `context` is from the options. */
typedef struct {
    /*
     * Starts an attempt: chooses a member, fills `attempt` and sends it.
     * False, with nothing sent, when no member can be had or when a try of
     * this kind is not paid for.
     */
    bool (*dispatch)(void *context, bv_request_t *request,
                     bv_attempt_kind_t kind, bv_attempt_t *attempt,
                     bv_reason_t *reason);
    /*
     * Asks the attempt's member to fence it, over a connection newer than the
     * attempt's; repeated until the attempt is settled or the deadline.
     */
    void (*fence)(void *context, bv_request_t *request,
                  const bv_attempt_t *attempt);
    /* Tells the attempt's member that its answer is not wanted. */
    void (*cancel)(void *context, bv_request_t *request,
                   const bv_attempt_t *attempt);
    /* Answers the caller; called exactly once. */
    void (*answer)(void *context, bv_request_t *request,
                   const bv_call_result_t *verdict);
} bv_request_ops_t;

typedef struct {
    bv_id_t id;
    bool is_idempotent;
    int64_t deadline_us;
    /* Time before the deadline at which pending attempts are fenced. */
    int64_t fence_before_us;
    /* Age of the first attempt at which it is hedged; 0 for never. */
    int64_t hedge_after_us;
    uint32_t reroutes_limit;
    /* Targets that may be reached, at most. */
    uint32_t attempts_limit;
    const bv_request_ops_t *ops;
    void *context;
    /* What bv_request_call() yields. */
    void *call;
} bv_request_options_t;

bv_request_t *bv_request_create(const bv_request_options_t *options);
void bv_request_destroy(bv_request_t *request);

/* Sends the first attempt, or answers at once when none can be sent. */
void bv_request_start(bv_request_t *request, int64_t now_us);

/*
 * Whether a result is of an attempt of this request, from the member and
 * incarnation that it was sent to. Only a refusal for a wrong incarnation may
 * come from another incarnation.
 */
bool bv_request_owns_result(const bv_request_t *request,
                            const bv_attempt_result_t *result);

/*
 * Takes the result of an attempt that the request owns. A result of a settled
 * attempt is ignored, but for a late "ran" of one that was unknown. True when
 * it settled the call and `detail` was passed on.
 */
bool bv_request_handle_result(bv_request_t *request, int64_t now_us,
                              const bv_attempt_result_t *result);

/*
 * The member holding an attempt restarted or left for good. Pending attempts
 * of that incarnation and lower ones become unknown.
 */
void bv_request_member_gone(bv_request_t *request, int64_t now_us,
                            const char *member, uint64_t incarnation);

/* The caller is gone: pending attempts are cancelled. */
void bv_request_caller_gone(bv_request_t *request, int64_t now_us);

/* Lets time pass. */
void bv_request_tick(bv_request_t *request, int64_t now_us);

/* When bv_request_tick() is next due. */
int64_t bv_request_due_us(const bv_request_t *request);

/* Whether the answer was given. */
bool bv_request_is_done(const bv_request_t *request);

/* Finds an attempt; NULL when the request has none of that id. */
bv_attempt_t *bv_request_find_attempt(bv_request_t *request, uint64_t id);

/* Attempts made so far. */
uint32_t bv_request_attempts(const bv_request_t *request,
                             const bv_attempt_t **attempts);

uint32_t bv_request_attempt_count(const bv_request_t *request);

/* The `call` of the options. */
void *bv_request_call(const bv_request_t *request);

#endif
