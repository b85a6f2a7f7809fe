#ifndef BERYLVANE_NODE_JOURNAL_H
#define BERYLVANE_NODE_JOURNAL_H

#include "berylvane/core/types.h"

#include <jansson.h>

/*
 * journal - the newest decisions of a node, for berylvanectl explain
 *
 * A fixed number of entries is kept; the oldest is overwritten. Decisions are
 * counted by kind and reason as well, for as long as the process runs.
 */
typedef struct bv_journal bv_journal_t;

typedef enum {
    BV_DECISION_ROUTED,
    BV_DECISION_RETRIED,
    BV_DECISION_REROUTED,
    BV_DECISION_HEDGED,
    /* A further try would have been made, and was not paid for. */
    BV_DECISION_NOT_RETRIED,
    BV_DECISION_FENCED,
    BV_DECISION_CANCELLED,
    BV_DECISION_ANSWERED,
    BV_DECISION_ADMITTED,
    BV_DECISION_REFUSED,
    /* The target answered, or will not. */
    BV_DECISION_SERVED,
    BV_DECISION_MEMBER,
    BV_DECISION_ADOPTED,
    BV_DECISION_REJECTED,
    BV_DECISION_END,
} bv_decision_kind_t;

typedef struct {
    bv_decision_kind_t kind;
    /* All zero for decisions that are not about a request. */
    bv_id_t request;
    /* Member or text that the decision is about; may be NULL. */
    const char *subject;
    bv_reason_t reason;
    bv_outcome_t outcome;
    /* Generation, status or state, by kind. */
    int64_t number;
    /* For the log: the caller's name for the request, or NULL; */
    const char *label;
    /* attempts so far, time until the deadline and since the arrival; */
    uint32_t attempts;
    int64_t left_us;
    int64_t took_us;
    /* the wait that was expected, and how old that word was. */
    int64_t wait_us;
    int64_t wait_age_us;
} bv_decision_t;

const char *bv_decision_name(bv_decision_kind_t kind);

bv_journal_t *bv_journal_create(uint32_t capacity);
void bv_journal_destroy(bv_journal_t *journal);

/* Adds a decision taken at the wall-clock time `wall_us`. */
void bv_journal_add(bv_journal_t *journal, int64_t wall_us,
                    const bv_decision_t *decision);

/* Decisions about a request, oldest first; a new JSON array. */
json_t *bv_journal_list_by_request(const bv_journal_t *journal,
                                   const bv_id_t *id);

/* Decisions about a member, oldest first. */
json_t *bv_journal_list_by_subject(const bv_journal_t *journal,
                                   const char *subject);

/* Decisions about configuration, oldest first. */
json_t *bv_journal_list_config(const bv_journal_t *journal);

/* Counts as an object: kind -> reason -> number. */
json_t *bv_journal_count_decisions(const bv_journal_t *journal);

#endif
