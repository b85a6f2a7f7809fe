#ifndef BERYLVANE_COMMON_REASONS_H
#define BERYLVANE_COMMON_REASONS_H

/*
 * reasons - reasons for decisions
 *
 * Each line holds a symbol and a name. The list defines the type bv_reason_t
 * and the counters by reason; order and names are part of the wire format.
 *
 * A node of an earlier version rejects a peer message whose reason it does not
 * know. MODE therefore appears in the decisions of a node only, never in an
 * answer: it says why a retry or hedge was not made. DESCRIPTORS is sent as
 * QUEUE_FULL.
 */
#define BV_REASON_LIST(X)                                                     \
    X(NONE, "none")                                                           \
    X(QUEUE_FULL, "queue_full")                                               \
    X(THRESHOLD, "threshold")                                                 \
    X(EXPIRED, "expired")                                                     \
    X(DRAINING, "draining")                                                   \
    X(NO_TARGET, "no_target")                                                 \
    X(NO_CREDIT, "no_credit")                                                 \
    X(STALE_SESSION, "stale_session")                                         \
    X(WRONG_INCARNATION, "wrong_incarnation")                                 \
    X(FENCED, "fenced")                                                       \
    X(CANCELLED, "cancelled")                                                 \
    X(CONNECT, "connect")                                                     \
    X(BROKEN_ANSWER, "broken_answer")                                         \
    X(TIMEOUT, "timeout")                                                     \
    X(STORE, "store")                                                         \
    X(KEY_REUSED, "key_reused")                                               \
    X(OWNER_GONE, "owner_gone")                                               \
    X(RING_FULL, "ring_full")                                                 \
    X(NO_ROUTE, "no_route")                                                   \
    X(ANSWER_GONE, "answer_gone")                                             \
    X(KEYS_FULL, "keys_full")                                                 \
    X(BAD_KEY, "bad_key")                                                     \
    X(NO_BUDGET, "no_budget")                                                 \
    X(TICKET_ORPHANED, "ticket_orphaned")                                     \
    X(NO_CONFIG, "no_config")                                                 \
    X(TARGET_REFUSED, "target_refused")                                       \
    X(WRONG_TARGET, "wrong_target")                                           \
    X(ANSWER_FOREIGN, "answer_foreign")                                       \
    X(UNAUTHORIZED, "unauthorized")                                           \
    X(CONFIG_BEHIND, "config_behind")                                         \
    X(QUOTA, "quota")                                                         \
    X(CONNECTION_LOST, "connection_lost")                                     \
    X(NO_MEMORY, "no_memory")                                                 \
    X(BODY_TOO_LARGE, "body_too_large")                                       \
    X(MODE, "mode")                                                           \
    X(DESCRIPTORS, "descriptors")

#endif
