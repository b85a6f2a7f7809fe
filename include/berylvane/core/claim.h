#ifndef BERYLVANE_CORE_CLAIM_H
#define BERYLVANE_CORE_CLAIM_H

#include "berylvane/core/claim_row.h"
#include "berylvane/core/ticket.h"

/*
 * claim - at-most-once execution of calls with an idempotency key
 *
 * Before a node dispatches a call that carries a caller's own Idempotency-Key,
 * it claims the key in the table service: it inserts a row that names the
 * attempt, provided that the key has no row yet. A write whose reply is lost
 * may still take effect at any later time, so its result is determined by
 * sending the same write again, never by a read. A claim has no lease: a node
 * replaces the row of another owner only after that owner has confirmed that
 * it will never start the attempt. A ticket (a key that a node minted) needs
 * no row, because only the incarnation that minted it may start it.
 *
 * Every call that joins a key by bv_claims_begin() gets exactly one result by
 * ops->answer, unless the call leaves by bv_claims_leave().
 */
typedef struct bv_claims bv_claims_t;

/* The result of a call with a key; headers and body may be NULL. */
typedef struct {
    bv_outcome_t outcome;
    bv_reason_t reason;
    uint16_t status;
    char *headers;
    GBytes *body;
    /* Digest of the body; also set when the body itself is not available. */
    uint64_t body_digest;
} bv_key_result_t;

typedef enum {
    BV_CLAIM_INSERT,
    /* Replaces the row of an attempt that its owner abandoned. */
    BV_CLAIM_REPLACE,
    /* Adds the result to this node's row; the write may be delayed. */
    BV_CLAIM_RESULT,
    BV_CLAIM_DELETE,
} bv_claim_op_t;

/*
 * A conditional write to the key's row in the table. INSERT requires that the
 * key has no row; the other operations require that the row is at `revision`.
 * The struct and its key are borrowed for the duration of ops->write.
 */
typedef struct {
    const char *key;
    uint64_t sequence;
    bv_claim_op_t op;
    bv_claim_row_t row;
    int64_t revision;
} bv_claim_write_t;

typedef enum {
    BV_CLAIM_WRITTEN,
    /* The condition did not hold, and the table was not changed. */
    BV_CLAIM_CONFLICT,
    /* The reply was lost: the write may have taken effect, or still may. */
    BV_CLAIM_NO_REPLY,
} bv_claim_write_status_t;

/*
 * The result of a write. `revision` is the row's revision after the write; the
 * other members that describe the row are read only after a conflict.
 */
typedef struct {
    bv_claim_write_status_t status;
    bool row_exists;
    /* False when the row's value could not be parsed. */
    bool is_row_readable;
    bv_claim_row_t row;
    int64_t revision;
} bv_claim_write_result_t;

/* State of an attempt at the node that owns it. */
typedef enum {
    /* The attempt may still start, or it runs. */
    BV_OWNER_PENDING,
    /* The attempt has not run and will never be started. */
    BV_OWNER_ABANDONED,
    /* The attempt has ended and the owner still has its result. */
    BV_OWNER_COMPLETED,
    /* The owner has no record of the attempt, or the owner's incarnation has
     * ended. */
    BV_OWNER_UNKNOWN,
} bv_owner_state_t;

/* Callbacks of the state machine; each gets the `context` of the options. */
typedef struct {
    /* Writes to the table; bv_claims_write_done() reports the result. */
    void (*write)(void *context, const bv_claim_write_t *write);
    /*
     * Queries the owner of `row` for the state of the attempt;
     * bv_claims_owner_replied() reports the reply. Returns false when the
     * owner's incarnation is known to have ended.
     */
    bool (*query_owner)(void *context, const char *key,
                        const bv_claim_row_t *row);
    /*
     * Starts the call `waiter`, as this node holds the key. The end of the
     * call is reported by bv_claims_settle().
     */
    void (*start)(void *context, const char *key, uint64_t waiter);
    /* Gives a call that joined the key its final result, which is borrowed. */
    void (*answer)(void *context, uint64_t waiter,
                   const bv_key_result_t *result);
} bv_claims_ops_t;

typedef struct {
    /* Name and incarnation of this node. */
    char owner[BV_NAME_BYTES];
    uint64_t incarnation;
    /* How long results and abandoned attempts are remembered. */
    int64_t retention_us;
    /* Limit of keys in memory, and likewise of abandoned attempts. */
    uint32_t keys_limit;
    /* Limit of the headers and bodies of results in memory. */
    size_t results_limit_bytes;
    /*
     * Delay before a write without a reply is sent again. The delay doubles
     * with each resend, up to the limit.
     */
    int64_t resend_delay_us;
    int64_t resend_delay_limit_us;
    /* Interval between two queries to an owner. */
    int64_t owner_poll_us;
    /* States of this incarnation's tickets; borrowed until destruction, as
     * are `random`, `ops` and `context`. */
    bv_tickets_t *tickets;
    GRand *random;
    const bv_claims_ops_t *ops;
    void *context;
} bv_claims_options_t;

bv_claims_t *bv_claims_create(const bv_claims_options_t *options);
void bv_claims_destroy(bv_claims_t *claims);

/* A call that carries a key. */
typedef struct {
    const char *key;
    /* Digest of the request's content. */
    uint64_t request_digest;
    /* Identifies the call in the callbacks. */
    uint64_t waiter;
    /* Serial number if the key is a ticket of this incarnation, else 0. */
    uint64_t ticket_serial;
} bv_claim_call_t;

/*
 * Joins a call to its key. The call is answered at once when the key's result
 * is in memory, when the key was used for another request (not run, status
 * 422), or when too many keys are in use (unknown, status 503).
 */
void bv_claims_begin(bv_claims_t *claims, int64_t now_us,
                     const bv_claim_call_t *call);

/*
 * Reports the result of the write `sequence`. Results of other writes than the
 * key's last one are ignored.
 */
void bv_claims_write_done(bv_claims_t *claims, int64_t now_us, const char *key,
                          uint64_t sequence,
                          const bv_claim_write_result_t *write_result);

/*
 * Reports the state of `attempt` at its owner. `result` is read only when the
 * state is BV_OWNER_COMPLETED.
 */
void bv_claims_owner_replied(bv_claims_t *claims, int64_t now_us,
                             const char *key, uint64_t attempt,
                             bv_owner_state_t state,
                             const bv_key_result_t *result);

/*
 * Reports the end of the call that ops->start started. Results with the
 * outcome RAN or UNKNOWN are stored for repeats of the key. After NOT_RUN the
 * key's row is deleted first, and only then are the waiting calls answered.
 * The result is copied.
 */
void bv_claims_settle(bv_claims_t *claims, int64_t now_us, const char *key,
                      const bv_key_result_t *result);

/*
 * Removes the call `waiter`, which was not started, from its key. Sets
 * `result` to what is proved about the key's execution at this time.
 */
void bv_claims_leave(bv_claims_t *claims, int64_t now_us, const char *key,
                     uint64_t waiter, bv_key_result_t *result);

/*
 * Returns the state of an attempt of this node, for the reply to another
 * node's query. Sets `result`, which is borrowed, only for BV_OWNER_COMPLETED.
 */
bv_owner_state_t bv_claims_attempt_state(const bv_claims_t *claims,
                                         const char *key, uint64_t attempt,
                                         const bv_key_result_t **result);

/* Runs the timers that are due, and evicts what has expired. */
void bv_claims_tick(bv_claims_t *claims, int64_t now_us);

/* Returns the number of keys in memory. */
uint32_t bv_claims_count(const bv_claims_t *claims);

/* Returns the size of the results that are kept for repeats. */
size_t bv_claims_results_bytes(const bv_claims_t *claims);

/*
 * Handles the return of the table service from an older copy of its data. Rows
 * of this node may be gone, and their revisions may have been given to other
 * rows, so that no write may use them. Writes the rows of attempts that are
 * held or have run again, unless another attempt has the key by now.
 */
void bv_claims_handle_restore(bv_claims_t *claims);

#endif
