#ifndef BERYLVANE_CORE_REQUEST_H
#define BERYLVANE_CORE_REQUEST_H

#include "berylvane/core/credit.h"

/*
 * request - state machine of one call at the calling node
 *
 * The state machine decides when to dispatch, retry, hedge, fence and answer,
 * and with which outcome. A call is answered as not run only when every
 * attempt is proved not to have run. A call that is not idempotent has at most
 * one attempt without this proof at any time.
 */

/* Maximum number of attempts of a call. */
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
    /* The attempt was refused before it reached a target. */
    bool never_reached_target;
    int64_t sent_us;
    /* Credits lent to the attempt; its answer returns the unspent ones. */
    bv_loan_t loan;
    /* When the last fence was sent; 0 for none. */
    int64_t last_fence_us;
} bv_attempt_t;

/* The result of an attempt, with the member and incarnation that sent it. */
typedef struct {
    uint64_t attempt;
    const char *member;
    uint64_t incarnation;
    bv_outcome_t outcome;
    bv_reason_t reason;
    /* Passed on to the call's result if this result settles the call. */
    void *detail;
} bv_attempt_result_t;

/* The reason for an attempt. */
typedef enum {
    BV_FIRST_ATTEMPT,
    BV_RETRY,
    /* The previous member could not accept the call; costs no credit. */
    BV_REROUTE,
    /* The first attempt has no answer yet and is still pending. */
    BV_HEDGE,
} bv_attempt_kind_t;

typedef struct bv_request bv_request_t;

/*
 * The final result of a call. `detail` is that of the attempt's result that
 * settled the call, or NULL if no such result did.
 */
typedef struct {
    bv_outcome_t outcome;
    bv_reason_t reason;
    void *detail;
} bv_call_result_t;

/* Callbacks of the state machine; each gets the `context` of the options. */
typedef struct {
    /*
     * Starts an attempt: chooses a member, fills `attempt` and sends it.
     * Returns false and sets `reason`, with nothing sent, when no member is
     * available or when no credit is left for an attempt of this kind.
     */
    bool (*dispatch)(void *context, bv_request_t *request,
                     bv_attempt_kind_t kind, bv_attempt_t *attempt,
                     bv_reason_t *reason);
    /*
     * Requests that the attempt's member fence the attempt, over a session
     * newer than the attempt's. Called repeatedly until the attempt is
     * settled or the deadline has passed.
     */
    void (*fence)(void *context, bv_request_t *request,
                  const bv_attempt_t *attempt);
    /* Informs the attempt's member that its answer is no longer needed. */
    void (*cancel)(void *context, bv_request_t *request,
                   const bv_attempt_t *attempt);
    /* Answers the caller; called exactly once. */
    void (*answer)(void *context, bv_request_t *request,
                   const bv_call_result_t *result);
} bv_request_ops_t;

typedef struct {
    bv_id_t id;
    bool is_idempotent;
    int64_t deadline_us;
    /* Time before the deadline at which pending attempts are fenced. */
    int64_t fence_before_us;
    /* Age at which the first attempt is hedged; 0 for never. */
    int64_t hedge_after_us;
    uint32_t reroutes_limit;
    /* Limit of attempts that may reach a target; 0 for no limit. */
    uint32_t attempts_limit;
    const bv_request_ops_t *ops;
    void *context;
    /* Returned by bv_request_call(). */
    void *call;
} bv_request_options_t;

bv_request_t *bv_request_create(const bv_request_options_t *options);
void bv_request_destroy(bv_request_t *request);

/* Sends the first attempt; answers as not run when it cannot be sent. */
void bv_request_start(bv_request_t *request, int64_t now_us);

/*
 * Returns whether a result belongs to an attempt of this request and was sent
 * by the member and incarnation that the attempt was sent to. Only a refusal
 * for a wrong incarnation may come from another incarnation.
 */
bool bv_request_owns_result(const bv_request_t *request,
                            const bv_attempt_result_t *result);

/*
 * Handles the result of an attempt that the request owns. The result of a
 * settled attempt is ignored, except for a late "ran" of an attempt whose
 * outcome was unknown. Returns true when the result settled the call and its
 * `detail` was passed on.
 */
bool bv_request_handle_result(bv_request_t *request, int64_t now_us,
                              const bv_attempt_result_t *result);

/*
 * Reports that an incarnation of a member ended: the member restarted or left
 * for good. Pending attempts at this incarnation or lower ones of the member
 * become unknown.
 */
void bv_request_member_gone(bv_request_t *request, int64_t now_us,
                            const char *member, uint64_t incarnation);

/*
 * Reports that a member answers nothing. An idempotent call all of whose
 * pending attempts were sent there is hedged at once; like other hedges, only
 * once.
 */
void bv_request_member_silent(bv_request_t *request, int64_t now_us,
                              const char *member, uint64_t incarnation);

/* Reports that the caller is gone: cancels the pending attempts. */
void bv_request_caller_gone(bv_request_t *request, int64_t now_us);

/* Fences, hedges or ends the call as is due at `now_us`. */
void bv_request_tick(bv_request_t *request, int64_t now_us);

/* Returns when bv_request_tick() is next due; INT64_MAX for never. */
int64_t bv_request_due_us(const bv_request_t *request);

/* Returns whether the caller was answered. */
bool bv_request_is_done(const bv_request_t *request);

/* Returns the attempt with this id, or NULL. */
bv_attempt_t *bv_request_find_attempt(bv_request_t *request, uint64_t id);

/* Sets `attempts` to the attempts made so far and returns their number. */
uint32_t bv_request_attempts(const bv_request_t *request,
                             const bv_attempt_t **attempts);

/* Whether the attempt was sent to this incarnation of the member. */
bool bv_attempt_is_at(const bv_attempt_t *attempt, const char *member,
                      uint64_t incarnation);

/* Returns the number of attempts made so far. */
uint32_t bv_request_attempt_count(const bv_request_t *request);

/* Returns the `call` of the options. */
void *bv_request_call(const bv_request_t *request);

#endif
