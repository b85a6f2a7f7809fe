#ifndef CORE_CLAIM_INTERNAL_H
#define CORE_CLAIM_INTERNAL_H

#include "berylvane/core/claim.h"

/*
 * claim_internal - what the files of the claim state machine share: memory,
 * the table's answers, and the events
 */
typedef enum {
    /* An insert or a take-over is under way. */
    CLAIM_ASKING,
    /* Held, and the call runs. */
    CLAIM_HELD,
    /* Proved not run; the own row is being deleted. */
    CLAIM_RELEASING,
    /* The result is known. */
    CLAIM_KEPT,
    /* Another attempt's row holds the key. */
    CLAIM_FOREIGN,
} claim_state_t;

typedef struct {
    char *key;
    claim_state_t state;
    uint64_t request;
    uint64_t serial;
    uint64_t attempt;
    /* Revision of the own row, or of the row that holds the key. */
    int64_t revision;
    bv_claim_op_t op;
    /* Sequence of the last write, while its answer is awaited; else 0. */
    uint64_t sequence;
    uint32_t resends;
    int64_t due_us;
    /* The row that holds the key, and whether its owner is gone. */
    bv_claim_row_t other;
    bool owner_gone;
    /* Calls that hear the result; while held, the first one runs. */
    GArray *waiters;
    /* Calls that came during a release and start afresh after it. */
    GArray *next;
    bv_key_result_t kept;
    size_t bytes;
    GList *kept_link;
    int64_t kept_us;
} claim_t;

/* An attempt that was given up and is never started. */
typedef struct {
    uint64_t attempt;
    int64_t since_us;
} given_up_t;

struct bv_claims {
    bv_claims_options_t options;
    GHashTable *claims;
    GQueue kept;
    size_t kept_bytes;
    GHashTable *given_up;
    GQueue given_up_order;
    uint64_t next_sequence;
    int64_t due_us;
};

/* Frees what a result holds. */
void claim_clear_kept(bv_key_result_t *kept);

/* NULL when the key is not in memory. */
claim_t *claim_find(const bv_claims_t *claims, const char *key);

/* Forgets the oldest attempt that was given up. */
void claim_forget_given_up(bv_claims_t *claims);

/* Notes that an attempt is never started. */
void claim_give_up(bv_claims_t *claims, int64_t now_us, uint64_t attempt);

/* Frees a claim; what was kept of it is gone. */
void claim_remove(bv_claims_t *claims, claim_t *claim);

/* Answers calls and frees their list. */
void claim_answer_all(bv_claims_t *claims, GArray *waiters,
                      const bv_key_result_t *kept);

/* Takes the list of waiting calls, leaving an empty one. */
GArray *claim_take_waiters(claim_t *claim);

/* Forgets a claim that never started, and answers its calls. */
void claim_drop(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                const bv_key_result_t *kept);

/* Forgets the oldest result. */
void claim_drop_oldest(bv_claims_t *claims);

/* Keeps a result for repeats. */
void claim_keep(bv_claims_t *claims, int64_t now_us, claim_t *claim,
                const bv_key_result_t *kept);

/* Forgets the oldest results until the rest fits its limit. */
void claim_trim(bv_claims_t *claims);

/* Answers that say no more than their reason. */
bv_key_result_t claim_unknown(bv_reason_t reason);

/* This call did not run, but an earlier one with its key may have. */
bv_key_result_t claim_not_looked_up(bv_reason_t reason);
bv_key_result_t claim_not_run(uint16_t status, bv_reason_t reason);

/* Sends a write; its answer is awaited under a new sequence. */
void claim_write(bv_claims_t *claims, claim_t *claim, bv_claim_op_t op);

/* Claims the key by a new attempt. */
void claim_ask_table(bv_claims_t *claims, claim_t *claim);

/* Deletes the own row, which may not have landed yet. */
void claim_release(bv_claims_t *claims, claim_t *claim);

/* The key is held: starts the first call that waits. */
void claim_hold(bv_claims_t *claims, claim_t *claim, int64_t revision);

/* Asks the owner of the row that holds the key. */
void claim_ask_owner(bv_claims_t *claims, int64_t now_us, claim_t *claim);

/* Replaces a row whose owner gave it up. */
void claim_take_over(bv_claims_t *claims, claim_t *claim);

/* The row is gone: answers those who wait, starts who came since. */
void claim_released(bv_claims_t *claims, int64_t now_us, claim_t *claim);

/* Sends again what is due. */
void claim_wake_due(bv_claims_t *claims, int64_t now_us);

#endif
