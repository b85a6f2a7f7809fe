#ifndef TESTS_NETWORK_H
#define TESTS_NETWORK_H

#include "berylvane/core/outgoing_sessions.h"
#include "berylvane/core/request.h"
#include "berylvane/core/session.h"
#include "support.h"

/*
 * network - a caller and targets on a simulated network
 *
 * The network loses, reorders and duplicates messages, and some sessions lose
 * all of them. Targets pause and restart. Each execution is recorded and
 * checked against the result that the caller received.
 */
#define NETWORK_CALLER "entry-1"
#define NETWORK_TARGETS 4

typedef enum {
    SEND_DISPATCH,
    SEND_ANSWER,
    SEND_FENCE,
    SEND_FENCED,
    SEND_PROGRESS_QUERY,
    SEND_PROGRESS,
    SEND_CANCEL,
} send_kind_t;

typedef struct {
    send_kind_t kind;
    gint32 target;
    uint64_t caller_incarnation;
    uint64_t target_incarnation;
    uint64_t session;
    uint64_t attempt;
    uint64_t serial;
    uint32_t credit;
    bv_outcome_t outcome;
    bv_reason_t reason;
    bv_served_state_t served;
    /*
     * The message was duplicated. A target with another incarnation than the
     * message's ignores it instead of refusing it: links do not deliver one
     * message to two incarnations, so the other copy may have been accepted.
     */
    bool is_copied;
} message_t;

typedef struct {
    message_t dispatch;
    bv_attempt_key_t key;
    bool started;
} work_t;

typedef struct {
    char name[BV_NAME_BYTES];
    uint64_t incarnation;
    bv_sessions_t *sessions;
    /* work_t and message_t by attempt key. */
    GHashTable *work;
    GHashTable *answers;
    int64_t paused_until_us;
} target_t;

/* What happened to one request, at the caller and at all targets. */
typedef struct {
    uint64_t serial;
    bool idempotent;
    bool is_reported_not_run;
    uint32_t executions;
    uint32_t retries;
    bv_id_t id;
    bv_request_t *request;
} record_t;

typedef struct {
    GRand *random;
    int64_t now_us;
    uint64_t caller_incarnation;
    uint64_t next_attempt;
    target_t targets[NETWORK_TARGETS];
    /* Messages in flight; delivered in random order. */
    GArray *messages;
    /* All records by serial, and those whose request has not ended. */
    GPtrArray *records;
    GPtrArray *open_records;
    /* Records by the number of an attempt. */
    GHashTable *attempts;
    bv_outgoing_sessions_t *outgoing;
    bv_credits_t *credits;
    uint64_t outcomes[BV_OUTCOME_UNKNOWN + 1];
    uint64_t retries;
    uint64_t fences;
    /* Numbers of saved answers sent again, and of sessions replaced. */
    uint64_t resent;
    uint64_t replaced;
} network_t;

/* Returns true once in `count` calls on average. */
bool network_one_in(network_t *network, gint32 count);

/* Queues a message for delivery; it may be lost or duplicated. */
void network_send(network_t *network, message_t message);

/*
 * Delivers a message to its target, which refuses or ignores it if it was sent
 * to another incarnation.
 */
void network_deliver_to_target(network_t *network, const message_t *message);

/* Starts or finishes one piece of work on a target unless it is paused. */
void network_advance_target(network_t *network, target_t *target);

/* Starts a target with the next incarnation, without its former state. */
void network_restart_target(target_t *target);

/* Frees the state of a target. */
void network_clear_target(target_t *target);

#endif
