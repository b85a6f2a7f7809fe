#ifndef BERYLVANE_NODE_CALL_H
#define BERYLVANE_NODE_CALL_H

#include "berylvane/node/node.h"

/*
 * call - the caller side's state of one call, and the target side's of one
 * piece of served work
 */
typedef struct {
    bv_call_t *call;
    uint64_t tag;
    bv_id_t id;
    bv_config_t *config;
    const bv_route_t *route;
    /* The service that the call goes to; of the route. */
    const char *service;
    /* Hash of the route's name. */
    uint32_t route_hash;
    char *customer;
    bv_trace_t trace;
    bv_trace_t parent;
    int64_t deadline_us;
    /* How long the caller itself waits; not before `deadline_us`. */
    int64_t caller_deadline_us;
    int64_t start_wall_us;
    /* Key under which the call runs at most once; NULL for idempotent. */
    char *key;
    /* The key in the claims' memory, while the call is joined to it. */
    char *claim_key;
    /* The message by which another node handed the call over, or NULL. */
    bv_peer_message_t *handed_over;
    bv_loan_t loan;
    bv_request_t *request;
    /* Place in the node's timers. */
    int64_t due_us;
    GSequenceIter *timer;
    uint16_t priority;
    /* Holds the request's ledger open: the entry node opened it. */
    bool is_entry;
    /* Work further up the chain is a further try. */
    bool is_upstream_retry;
    bool bypasses_admission;
    bool is_traced;
    /* Holds the key. */
    bool holds_key;
    bool answered;
} bv_call_state_t;

typedef struct bv_served bv_served_t;
struct bv_served {
    uint64_t id;
    bv_attempt_key_t key;
    /* Other started work of the same request. */
    bv_served_t *next_same_request;
    bv_peer_message_t *dispatch;
    int64_t deadline_us;
    int64_t started_us;
    int64_t arrived_wall_us;
    int64_t arrived_us;
    bool started;
    /* It holds a slot of admission. */
    bool admitted;
    /* Hash of the route's name, and the mode of its department. */
    uint32_t route_hash;
    bv_mode_t mode;
    /* Calls of the target for this work: open now, and time with any open. */
    uint32_t open_children;
    int64_t children_open_since_us;
    int64_t children_total_us;
    /* Largest pressure that those calls met. */
    bv_backpressure_t backpressure_below;
    bv_trace_t trace;
};

/* Starts the attempts of a call whose key, if any, is held. */
void bv_calls_start_attempts(bv_node_t *node, bv_call_state_t *state);

/* Whether attempts are under way; else the call waits for its key. */
bool bv_call_has_open_attempts(const bv_call_state_t *state);

/* A message that hands the call over: request to body, but no credit. */
bv_peer_message_t *bv_calls_create_message(const bv_node_t *node,
                                           const bv_call_state_t *state,
                                           bv_peer_kind_t kind);

/* Answers the caller without any attempt, or with a kept result. */
void bv_calls_finish(bv_node_t *node, bv_call_state_t *state,
                     const bv_reply_t *reply);

/* Frees a call's state; for GDestroyNotify. */
void bv_call_state_destroy(void *state);

/* Notes when a call with attempts is next due; after each of its events. */
void bv_calls_reschedule(bv_node_t *node, bv_call_state_t *state);

/* Finds a call by tag; NULL when it is gone. */
bv_call_state_t *bv_calls_find(const bv_node_t *node, uint64_t tag);

/* picks: which member serves a call, and whether another try is paid for. */
bool bv_routing_choose_member(bv_node_t *node, const bv_call_state_t *state,
                              bv_picked_t *picked, bv_reason_t *reason);
bool bv_routing_pay_attempt(bv_node_t *node, const bv_call_state_t *state,
                            bv_attempt_kind_t kind, bv_reason_t *reason);

/* Whether the services below would admit the call; counts a refusal. */
bool bv_routing_admit(bv_node_t *node, const bv_call_state_t *state,
                      bv_reason_t *reason);

/* An answer came for an attempt; or none will. */
void bv_routing_settle_answered(bv_node_t *node, const bv_call_state_t *state,
                                const bv_peer_message_t *message);
void bv_routing_settle_unanswered(bv_node_t *node, const char *member);
int64_t bv_routing_hedge_after_us(const bv_node_t *node,
                                  const bv_call_state_t *state);

/* serve: drops the state of work that was answered. */
void bv_serve_remove(bv_node_t *node, bv_served_t *served);

/* serve: refuses work that has not started. */
void bv_serve_refuse(bv_node_t *node, bv_served_t *served, bv_reason_t reason);

/* parents: started work, found by the calls that its target makes for it. */
void bv_parents_add(bv_node_t *node, bv_served_t *served);
void bv_parents_remove(bv_node_t *node, bv_served_t *served);

/*
 * The local target began or ended a call for the work of a request; `kind` is
 * the hash of the call's route.
 */
void bv_parents_child_started(bv_node_t *node, const bv_id_t *request);
void bv_parents_child_ended(bv_node_t *node, const bv_id_t *request,
                            uint32_t kind);

/* keyed: at-most-once for non-idempotent calls. */
void bv_keyed_begin(bv_node_t *node, bv_call_state_t *state);

/* The deadline of a call that waits for its key has passed. */
void bv_keyed_expire(bv_node_t *node, bv_call_state_t *state);
void bv_keyed_settle(bv_node_t *node, bv_call_state_t *state,
                     const bv_reply_t *reply);

#endif
