#ifndef BERYLVANE_NODE_JOURNAL_H
#define BERYLVANE_NODE_JOURNAL_H

#include "berylvane/core/types.h"

#include <jansson.h>

/*
 * journal - ring buffer of a node's latest decisions
 *
 * "berylvanectl explain" shows the entries. The buffer holds a fixed number of
 * entries; a new entry overwrites the oldest. Decisions are also counted by
 * kind and reason; these counts cover the lifetime of the process.
 */
typedef struct bv_journal bv_journal_t;

typedef enum {
    BV_DECISION_ROUTED,
    BV_DECISION_RETRIED,
    BV_DECISION_REROUTED,
    BV_DECISION_HEDGED,
    /* Budget, credit or backpressure prevented a retry or hedge. */
    BV_DECISION_NOT_RETRIED,
    BV_DECISION_FENCED,
    BV_DECISION_CANCELLED,
    BV_DECISION_ANSWERED,
    BV_DECISION_ADMITTED,
    BV_DECISION_REFUSED,
    /* The target answered, or the work on it failed. */
    BV_DECISION_SERVED,
    /* A call was charged to its account; the subject is the permit's source.
     */
    BV_DECISION_CHARGED,
    BV_DECISION_MEMBER,
    BV_DECISION_ADOPTED,
    BV_DECISION_REJECTED,
    BV_DECISION_END,
} bv_decision_kind_t;

typedef struct {
    bv_decision_kind_t kind;
    /* Request id; all zero for decisions that are not about a request. */
    bv_id_t request;
    /* Member, route, service or instance of the decision; may be NULL. */
    const char *subject;
    bv_reason_t reason;
    bv_outcome_t outcome;
    /* Configuration generation, HTTP status or member state, by kind. */
    int64_t number;
    /* The remaining fields are logged, but not kept in the journal. */
    /* The caller's name for the request, or NULL. */
    const char *label;
    /* Attempts so far; for a refusal, the requests running on the target. */
    uint32_t attempts;
    /* Time until the deadline. */
    int64_t left_us;
    /* Time since the call arrived or, for a fence, the attempt was sent. */
    int64_t took_us;
    /* Estimated queueing wait at the member. */
    int64_t wait_us;
    /* Age of the report that the estimate comes from. */
    int64_t wait_age_us;
} bv_decision_t;

const char *bv_decision_name(bv_decision_kind_t kind);

bv_journal_t *bv_journal_create(uint32_t capacity);
void bv_journal_destroy(bv_journal_t *journal);

/*
 * Adds a decision that was taken at the wall-clock time `wall_us`; `subject`
 * is copied and truncated to BV_NAME_BYTES.
 */
void bv_journal_add(bv_journal_t *journal, int64_t wall_us,
                    const bv_decision_t *decision);

/*
 * Return the kept decisions about a request, a subject or the configuration,
 * oldest first, as a new JSON array that the caller owns.
 */
json_t *bv_journal_list_by_request(const bv_journal_t *journal,
                                   const bv_id_t *id);
json_t *bv_journal_list_by_subject(const bv_journal_t *journal,
                                   const char *subject);
json_t *bv_journal_list_config(const bv_journal_t *journal);

/*
 * Returns the counts of all decisions as a new JSON object: from the kind's
 * name to an object from the reason's name to its count, if not zero.
 */
json_t *bv_journal_count_decisions(const bv_journal_t *journal);

#endif
