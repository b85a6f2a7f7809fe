#ifndef BERYLVANE_CORE_CLAIM_H
#define BERYLVANE_CORE_CLAIM_H

#include "berylvane/core/claim_row.h"
#include "berylvane/core/ticket.h"

/*
 * claim - at-most-once execution of a key
 *
 * A node claims a caller's own Idempotency-Key in the table service before it
 * dispatches: insert-if-absent of a row that names the attempt. A write whose
 * answer is lost may still land at any time, so it is settled by sending the
 * same write again, never by a read. A claim has no lease: nobody takes a row
 * over unless its owner said that it will never start that attempt. A ticket
 * needs no row: only the incarnation that minted it may start it.
 *
 * Every call that joins a key by bv_claims_begin() is answered once by
 * ops->answer, unless it leaves by bv_claims_leave().
 */
typedef struct bv_claims bv_claims_t;

/* The result of a key. */
typedef struct {
    bv_outcome_t outcome;
    bv_reason_t reason;
    uint16_t status;
    char *headers;
    GBytes *body;
    /* Digest of the body; set also where the body is not known. */
    uint64_t body_digest;
} bv_key_result_t;

typedef enum {
    BV_CLAIM_INSERT,
    /* Replaces a row that its owner gave up. */
    BV_CLAIM_REPLACE,
    /* Adds the result to the own row; may be delayed. */
    BV_CLAIM_RESULT,
    BV_CLAIM_DELETE,
} bv_claim_op_t;

/* A write to the table; borrowed. `revision` counts except for INSERT. */
typedef struct {
    const char *key;
    uint64_t sequence;
    bv_claim_op_t op;
    bv_claim_row_t row;
    int64_t revision;
} bv_claim_write_t;

typedef enum {
    BV_CLAIM_WRITTEN,
    /* The condition did not hold; `present` and `row` tell what is there. */
    BV_CLAIM_CONFLICT,
    /* No answer: the write may have landed, or may yet land. */
    BV_CLAIM_NO_REPLY,
} bv_claim_write_status_t;

typedef struct {
    bv_claim_write_status_t status;
    bool row_exists;
    /* False when the row's value could not be read. */
    bool is_row_readable;
    bv_claim_row_t row;
    int64_t revision;
} bv_claim_write_result_t;

/* What an owner says of an attempt. */
typedef enum {
    BV_OWNER_PENDING,
    /* The attempt was not started and never will be. */
    BV_OWNER_ABANDONED,
    BV_OWNER_COMPLETED,
    /* The owner does not know any more, or its incarnation is gone. */
    BV_OWNER_UNKNOWN,
} bv_owner_state_t;

/* What the state machine asks for. */
typedef struct {
    /* Writes to the table; answered by bv_claims_write_done(). */
    void (*write)(void *context, const bv_claim_write_t *write);
    /*
     * Asks the owner of `row` for its state; answered by
     * bv_claims_owner_replied(). False when the owner's incarnation is known
     * to be gone.
     */
    bool (*ask_owner)(void *context, const char *key,
                      const bv_claim_row_t *row);
    /* The key is held: start the call `waiter`; bv_claims_settle() follows. */
    void (*start)(void *context, const char *key, uint64_t waiter);
    /* The final word for a call that joined the key. */
    void (*answer)(void *context, uint64_t waiter,
                   const bv_key_result_t *kept);
} bv_claims_ops_t;

typedef struct {
    char owner[BV_NAME_BYTES];
    uint64_t incarnation;
    /* How long results and given-up attempts are remembered. */
    int64_t retention_us;
    /* Keys in memory, and bytes of kept results. */
    uint32_t keys_limit;
    size_t results_limit_bytes;
    /* Pauses before a lost write is sent again, and between two asks. */
    int64_t resend_delay_us;
    int64_t resend_delay_limit_us;
    int64_t owner_poll_us;
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
    /* Digest of what the call asks for. */
    uint64_t request_digest;
    /* Names the call in the callbacks. */
    uint64_t waiter;
    /* Serial number of a ticket of this incarnation, else 0. */
    uint64_t ticket_serial;
} bv_claim_call_t;

void bv_claims_begin(bv_claims_t *claims, int64_t now_us,
                     const bv_claim_call_t *call);

/* The answer to a write; answers to other than the last one are ignored. */
void bv_claims_write_done(bv_claims_t *claims, int64_t now_us, const char *key,
                          uint64_t sequence,
                          const bv_claim_write_result_t *written);

/* An owner's answer about its `attempt`; `kept` counts for KEPT. */
void bv_claims_owner_replied(bv_claims_t *claims, int64_t now_us,
                             const char *key, uint64_t attempt,
                             bv_owner_state_t state,
                             const bv_key_result_t *kept);

/*
 * The call that ops->go started ended. RAN and UNKNOWN are kept. NOT_RUN gives
 * the row up first, and only then answers those who wait.
 */
void bv_claims_settle(bv_claims_t *claims, int64_t now_us, const char *key,
                      const bv_key_result_t *kept);

/*
 * The call `waiter`, which does not run, stops waiting. `kept` is set to what
 * can be said of it in truth.
 */
void bv_claims_leave(bv_claims_t *claims, int64_t now_us, const char *key,
                     uint64_t waiter, bv_key_result_t *kept);

/* What to tell another node that asks about an attempt; `kept` is borrowed. */
bv_owner_state_t bv_claims_attempt_state(const bv_claims_t *claims,
                                         const char *key, uint64_t attempt,
                                         const bv_key_result_t **kept);

void bv_claims_tick(bv_claims_t *claims, int64_t now_us);
uint32_t bv_claims_count(const bv_claims_t *claims);

#endif
