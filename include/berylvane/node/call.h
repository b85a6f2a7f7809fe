#ifndef BERYLVANE_NODE_CALL_H
#define BERYLVANE_NODE_CALL_H

#include "berylvane/core/quota_holder.h"
#include "berylvane/node/node.h"

/*
 * call - state of one call on the caller side, and of one piece of dispatched
 * work on the target side
 */

/* A call from its arrival to its answer, on the node that received it. */
typedef struct {
    bv_call_t *call;
    uint64_t tag;
    bv_id_t id;
    bv_config_t *config;
    const bv_route_t *route;
    /* Service that the call is sent to; owned by the route. */
    const char *service;
    /* Hash of the route's name. */
    uint32_t route_hash;
    char *customer;
    /* Account of the outside caller, owned by `config`; NULL for none. */
    const bv_account_t *account;
    /* Span of this call, and the caller's span. */
    bv_trace_t trace;
    bv_trace_t parent;
    int64_t deadline_us;
    /* When the caller stops waiting; not before `deadline_us`. */
    int64_t caller_deadline_us;
    int64_t start_wall_us;
    /* Key under which the call runs at most once; NULL when it has none. */
    char *key;
    /*
     * Service and key, as bv_claims_t stores them; NULL until the call has
     * joined its key.
     */
    char *claim_key;
    /* The message by which another node forwarded the call, or NULL. */
    bv_peer_message_t *forwarded_message;
    /* Credits lent to the node that the call was forwarded to. */
    bv_loan_t forward_loan;
    bv_request_t *request;
    /* Time of the call's next timer, and its entry in `call_timers`. */
    int64_t due_us;
    GSequenceIter *timer;
    /* Permit of the account that the call uses. */
    bv_quota_permit_t permit;
    /* Delay that a caller who is over quota is told. */
    int64_t quota_retry_us;
    bool waits_for_permit;
    /* Memory reserved for the response. */
    uint64_t expected_bytes;
    /* They include a repeat of the response, which a fence requests. */
    bool has_reserved_repeat;
    /* The call counts among those of its route before a size was known. */
    bool has_unknown_size;
    /* Until when the call waits for memory; 0 if it does not. */
    int64_t memory_until_us;
    uint16_t priority;
    /* The call entered the cluster here, and opened the credit ledger. */
    bool is_entry;
    /* The work that makes this call is a retry, or was called by one. */
    bool is_upstream_retry;
    bool bypasses_admission;
    bool is_traced;
    /* The call runs for its key; other calls with the key wait for it. */
    bool holds_key;
    bool answered;
} bv_call_state_t;

/* Work that was dispatched to the local target, until it is answered. */
typedef struct bv_served bv_served_t;
struct bv_served {
    uint64_t id;
    bv_attempt_key_t key;
    /* Next in the list of started work of the same request. */
    bv_served_t *next_same_request;
    bv_peer_message_t *dispatch;
    int64_t deadline_us;
    int64_t started_us;
    int64_t arrived_wall_us;
    int64_t arrived_us;
    /* Work that ran at the target when this started, with this. */
    uint32_t running_at_start;
    bool started;
    /* The work holds an admission slot. */
    bool admitted;
    /* The work was sent to the target again. */
    bool is_local_retry;
    /* Cancelled after its start; its result may already wait to be handled. */
    bool is_cancelled;
    /* Hash of the route's name; 0 when the route is not known here. */
    uint32_t route_hash;
    bv_mode_t mode;
    /* Open calls that the target makes for this work. */
    uint32_t open_children;
    /* When `open_children` last rose from 0. */
    int64_t children_open_since_us;
    /* Total time in which at least one call of the target was open. */
    int64_t children_total_us;
    /* Largest backpressure on the routes of the calls that have ended. */
    bv_backpressure_t downstream_backpressure;
    bv_trace_t trace;
};

/* placement: records work that the target has run. */
void bv_node_placement_record(bv_node_t *node, const bv_served_t *served,
                              const bv_target_result_t *result);

/* Sends the first attempt of a call; a call with a key must hold the key. */
void bv_calls_start_attempts(bv_node_t *node, bv_call_state_t *state);

/* Returns whether the call was started and is not answered yet. */
bool bv_call_has_open_attempts(const bv_call_state_t *state);

/*
 * Creates a message of `kind` that carries the call: its id, priority, time
 * left, HTTP request and trace context. Credit and receiver are not set.
 */
bv_peer_message_t *bv_calls_create_message(const bv_node_t *node,
                                           const bv_call_state_t *state,
                                           bv_peer_kind_t kind);

/*
 * Answers the caller and ends the call; its state is freed at the end of the
 * loop iteration.
 */
void bv_calls_finish(bv_node_t *node, bv_call_state_t *state,
                     const bv_reply_t *reply);

/* Frees a bv_call_state_t; a GDestroyNotify. */
void bv_call_state_destroy(void *state);

/* Updates the timer of a call; must follow each event of the call. */
void bv_calls_reschedule(bv_node_t *node, bv_call_state_t *state);

/* Returns the open call with `tag`, or NULL. */
bv_call_state_t *bv_calls_find(const bv_node_t *node, uint64_t tag);

/* routing: chooses members for attempts, charges retries and hedges. */

/* Chooses a member; returns false and sets `reason` when none is available. */
bool bv_routing_choose_member(bv_node_t *node, const bv_call_state_t *state,
                              bv_picked_t *picked, bv_reason_t *reason);

/*
 * Charges an attempt to the retry budget and the credits, as its kind demands.
 * Returns false and sets `reason` when a retry or hedge must not be made.
 */
bool bv_routing_charge_attempt(bv_node_t *node, const bv_call_state_t *state,
                               bv_attempt_kind_t kind, bv_reason_t *reason);

/*
 * Returns whether the downstream service would admit the call, by the
 * backpressure it reported. Otherwise counts the refusal and sets `reason`.
 */
bool bv_routing_admit(bv_node_t *node, const bv_call_state_t *state,
                      bv_reason_t *reason);

/* Reports the answer to an attempt to the router and the backpressure. */
void bv_routing_settle_answered(bv_node_t *node, const bv_call_state_t *state,
                                const bv_peer_message_t *message);

/* Ends an attempt to `member` in the router without a measurement. */
void bv_routing_settle_unanswered(bv_node_t *node, const char *member);

/* Returns the age at which an attempt is hedged; 0 for never. */
int64_t bv_routing_hedge_after_us(const bv_node_t *node,
                                  const bv_call_state_t *state);

/* serve: removes served work and frees it. */
void bv_serve_remove(bv_node_t *node, bv_served_t *served);

/* serve: refuses work that has not started; frees `served`. */
void bv_serve_refuse(bv_node_t *node, bv_served_t *served, bv_reason_t reason);

/*
 * parents: started work by request id, so that the calls that the local target
 * makes for a request are attributed to the work that makes them.
 */
void bv_parents_add(bv_node_t *node, bv_served_t *served);
void bv_parents_remove(bv_node_t *node, bv_served_t *served);

/*
 * Records that the local target started or ended a call for the work of a
 * request. `route_hash` is the hash of the route's name of that call.
 */
void bv_parents_child_started(bv_node_t *node, const bv_id_t *request);
void bv_parents_child_ended(bv_node_t *node, const bv_id_t *request,
                            uint32_t route_hash);

/*
 * keyed: at-most-once execution of non-idempotent calls.
 *
 * bv_keyed_begin() joins a call to its key: the caller's Idempotency-Key, or a
 * ticket that is minted here when the caller sent none.
 */
void bv_keyed_begin(bv_node_t *node, bv_call_state_t *state);

/* Ends a call whose deadline passed while it waited for its key. */
void bv_keyed_expire(bv_node_t *node, bv_call_state_t *state);

/*
 * Stores the result of the call that held the key; the call and all calls that
 * wait for the key are answered.
 */
void bv_keyed_settle(bv_node_t *node, bv_call_state_t *state,
                     const bv_reply_t *reply);

#endif
