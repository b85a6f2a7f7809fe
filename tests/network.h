#ifndef TESTS_NETWORK_H
#define TESTS_NETWORK_H

#include "berylvane/core/outgoing_sessions.h"
#include "berylvane/core/request.h"
#include "berylvane/core/session.h"
#include "support.h"

/*
 * network - a caller and targets over a network that loses, reorders and
 * copies, with silent connections, pauses and restarts. The judge sees every
 * execution.
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
    /* A link never carries one message to two incarnations. */
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
    GHashTable *work;
    GHashTable *answers;
    int64_t paused_until_us;
} target_t;

/* The judge's record of one request. */
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
    GArray *messages;
    GPtrArray *records;
    GPtrArray *open_records;
    GHashTable *attempts;
    bv_outgoing_sessions_t *outgoing;
    bv_credits_t *credits;
    uint64_t outcomes[BV_OUTCOME_UNKNOWN + 1];
    uint64_t retries;
    uint64_t fences;
    uint64_t resent;
    uint64_t replaced;
} network_t;

bool network_one_in(network_t *network, gint32 count);

/* Sends a message; it may be lost or copied. */
void network_send(network_t *network, message_t message);

/* Hands a message to its target; ignored by a wrong incarnation. */
void network_deliver_to_target(network_t *network, const message_t *message);

/* Lets a target start or finish some work. */
void network_advance_target(network_t *network, target_t *target);

/* Starts a target for the first time or again. */
void network_restart_target(target_t *target);
void network_clear_target(target_t *target);

#endif
