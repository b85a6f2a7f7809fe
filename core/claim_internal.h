#ifndef CORE_CLAIM_INTERNAL_H
#define CORE_CLAIM_INTERNAL_H

#include "berylvane/core/claim.h"

/*
 * claim_internal - types and functions shared by claim.c (calls and queries),
 * claim_memory.c (claims and results in memory) and claim_table.c (the key's
 * row in the table, and timers)
 */
typedef enum {
    /* The write that inserts or replaces the key's row is not finished. */
    CLAIM_ACQUIRING,
    /* This node holds the key, and the first waiting call runs. */
    CLAIM_HELD,
    /* The call is proved not run; this node's row is being deleted. */
    CLAIM_RELEASING,
    /* The result is in memory. */
    CLAIM_COMPLETED,
    /* Another node holds the key; its owner is queried repeatedly. */
    CLAIM_OTHER_OWNER,
} claim_state_t;

typedef struct {
    char *key;
    claim_state_t state;
    uint64_t request_digest;
    uint64_t ticket_serial;
    uint64_t attempt;
    /* Revision of this node's row, or of another owner's; 0 if unknown. */
    int64_t revision;
    bv_claim_op_t last_op;
    /* Sequence of the last write until its result is reported; else 0. */
    uint64_t pending_sequence;
    uint32_t resend_count;
    /* When to resend the last write or to query the owner again. */
    int64_t timer_us;
    /* The other owner's row, and whether that owner's incarnation ended. */
    bv_claim_row_t holder_row;
    bool is_owner_gone;
    /* Calls that wait for the result; while held, the first one runs. */
    GArray *waiters;
    /* Calls that joined during a release and claim the key again after it. */
    GArray *deferred_waiters;
    bv_key_result_t result;
    size_t result_bytes;
    GList *results_link;
    int64_t completed_us;
} claim_t;

/* An attempt that has not run and will never be started. */
typedef struct {
    uint64_t attempt;
    int64_t abandoned_us;
} abandoned_attempt_t;

struct bv_claims {
    bv_claims_options_t options;
    /* All claims by key. */
    GHashTable *claims;
    /* Completed claims, oldest first, and the size of their results. */
    GQueue results;
    size_t results_bytes;
    /* Abandoned attempts by number, and the same in order of time. */
    GHashTable *abandoned;
    GQueue abandoned_order;
    uint64_t last_sequence;
    /* No claim's timer is due before this time. */
    int64_t timer_us;
};

/* Frees the headers and the body of a result. */
void claim_clear_result(bv_key_result_t *result);

/* Returns the claim of a key, or NULL when the key is not in memory. */
claim_t *claim_find(const bv_claims_t *claims, const char *key);

/* Evicts the record of the oldest abandoned attempt. */
void claim_evict_oldest_abandoned(bv_claims_t *claims);

/* Records that an attempt will never be started; ignored for attempt 0. */
void claim_record_abandoned(bv_claims_t *claims, int64_t now_us,
                            uint64_t attempt);

/* Removes a claim and its result from memory. */
void claim_remove(bv_claims_t *claims, claim_t *claim);

/* Answers all calls of a list and frees the list. */
void claim_answer_waiters(bv_claims_t *claims, GArray *waiters,
                          const bv_key_result_t *result);

/* Returns the list of waiting calls, and leaves an empty list in the claim. */
GArray *claim_detach_waiters(claim_t *claim);

/* Removes a claim whose attempt never started, and answers its calls. */
void claim_abandon(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                   const bv_key_result_t *result);

/* Evicts the oldest result with its claim. */
void claim_evict_oldest_result(bv_claims_t *claims);

/* Stores a copy of the result for repeats of the key. */
void claim_store_result(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                        const bv_key_result_t *result);

/* Evicts the oldest results until the others fit into the limit of bytes. */
void claim_evict_excess_results(bv_claims_t *claims);

/* Returns a result of unknown outcome with status 504. */
bv_key_result_t claim_result_unknown(bv_reason_t reason);

/*
 * Returns a result of unknown outcome with status 503: this call did not run,
 * but an earlier call with the same key may have run.
 */
bv_key_result_t claim_result_not_looked_up(bv_reason_t reason);

/* Returns a result for a call that is proved not to have run. */
bv_key_result_t claim_result_not_run(uint16_t status, bv_reason_t reason);

/* Sends a write under a new sequence; results of older writes are ignored. */
void claim_send_write(bv_claims_t *claims, claim_t *claim, bv_claim_op_t op);

/* Starts a new attempt, and sends the write that inserts its row. */
void claim_acquire(bv_claims_t *claims, claim_t *claim);

/*
 * Deletes this node's row. If the row's revision is unknown, the insert may
 * still take effect; so the insert is sent again first.
 */
void claim_release(bv_claims_t *claims, claim_t *claim);

/* Starts the first waiting call; releases the key if no call waits. */
void claim_on_acquired(bv_claims_t *claims, claim_t *claim, int64_t revision);

/*
 * Queries the owner of the row that holds the key. If the owner's incarnation
 * has ended, sends an insert instead: its conflict returns the current row,
 * which shows whether the row has changed.
 */
void claim_query_owner(bv_claims_t *claims, int64_t now_us, claim_t *claim);

/* Replaces the row of an attempt that its owner abandoned. */
void claim_replace_row(bv_claims_t *claims, claim_t *claim);

/*
 * Handles the end of a release: answers the waiting calls, and claims the key
 * again for the calls that joined during the release.
 */
void claim_on_released(bv_claims_t *claims, int64_t now_us, claim_t *claim);

/* Resends the writes and the queries that are due. */
void claim_run_due_timers(bv_claims_t *claims, int64_t now_us);

#endif
