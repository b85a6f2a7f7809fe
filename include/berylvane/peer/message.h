#ifndef BERYLVANE_PEER_MESSAGE_H
#define BERYLVANE_PEER_MESSAGE_H

#include "berylvane/core/capacity.h"
#include "berylvane/core/membership.h"
#include "berylvane/core/session.h"

/*
 * message - messages between nodes, and their encoding
 *
 * A message is encoded as a MessagePack array. Every length is checked against
 * a limit before it is used. A message that is malformed is counted (peer_bad)
 * and dropped.
 */
#define BV_PEER_VERSION 2
#define BV_PEER_TEXT_LIMIT_BYTES 2048
#define BV_PEER_PATH_LIMIT_BYTES (64 * 1024)
#define BV_PEER_HEADERS_LIMIT_BYTES (128 * 1024)
#define BV_PEER_BODY_LIMIT_BYTES (8 * 1024 * 1024)

/*
 * Value of `generation` in a DISPATCH whose sender reads capacity reports.
 * Nodes that do not know reports ignore the field in a DISPATCH, so they are
 * never sent an answer in the longer form.
 */
#define BV_PEER_WANTS_CAPACITY 1

#define BV_PEER_ERROR (bv_peer_error_quark())
GQuark bv_peer_error_quark(void);

typedef enum {
    BV_PEER_ERROR_VERSION,
    /* A message is malformed, or an address cannot be bound. */
    BV_PEER_ERROR_INVALID,
    BV_PEER_ERROR_SIZE,
} bv_peer_error_t;

/* Kinds of messages; bv_peer_message_t lists the fields that each uses. */
typedef enum {
    /* Requests that the receiver run an attempt on its target. */
    BV_PEER_DISPATCH = 1,
    /* Result of an attempt. */
    BV_PEER_ANSWER,
    /* Opens a session, which makes older sessions of the sender stale. */
    BV_PEER_OPEN,
    /* Prevents an attempt from starting if it has not started. */
    BV_PEER_FENCE,
    /* State that an attempt had when it was fenced. */
    BV_PEER_FENCED,
    /* Cancels an attempt whose result is no longer needed. */
    BV_PEER_CANCEL,
    /* Requests a configuration bundle. */
    BV_PEER_CONFIG_REQUEST,
    /* The bundle that is in force on the sender. */
    BV_PEER_CONFIG_BODY,
    /*
     * Queries the state of the attempt in an idempotency key's row, or
     * forwards a call with a ticket to the node that issued the ticket.
     */
    BV_PEER_KEY_QUERY,
    /* Result of a KEY_QUERY, with the stored answer if there is one. */
    BV_PEER_KEY_ANSWER,
    /*
     * Queries the state of an attempt and fences an attempt that was not
     * received, or queries only whether the peer answers.
     */
    BV_PEER_PROGRESS_QUERY,
    /* State that an attempt had when it was queried. */
    BV_PEER_PROGRESS,
    /* Requests permits of accounts from their lessor. */
    BV_PEER_QUOTA_REQUEST,
    /* Permits that the lessor grants. */
    BV_PEER_QUOTA_REPLY,
    BV_PEER_KIND_END,
} bv_peer_kind_t;

/*
 * A message. All kinds use kind, from, from_incarnation and to_incarnation.
 * The other fields that a kind uses:
 *
 * - DISPATCH: session, attempt, request_id to remaining_us, digest, method,
 *   host, path, headers, idempotency_key, customer, label, traceparent, body,
 *   generation (BV_PEER_WANTS_CAPACITY, else 0)
 * - ANSWER: attempt, credit, outcome, reason, status, threshold, wait_us,
 *   served_state (BV_SERVED_QUEUED with the reason "draining": the target
 *   drains, not its node), digest, headers, body;
 *   and capacity, served_us if the DISPATCH wanted them
 * - OPEN: session
 * - FENCE: session, attempt
 * - FENCED: attempt, served_state
 * - CANCEL: session, attempt
 * - CONFIG_REQUEST: generation
 * - CONFIG_BODY: generation, digest, body
 * - KEY_QUERY without a method: attempt (a number that the answer repeats),
 *   idempotency_key, generation (the attempt in the key's row)
 * - KEY_QUERY with a method, which forwards a call: attempt (a number that the
 *   answer repeats) and the fields of DISPATCH but digest
 * - KEY_ANSWER: attempt, credit, outcome, reason, status, digest, headers,
 *   body; outcome "unknown" without a reason: the attempt is still running
 * - PROGRESS_QUERY: session, attempt (0 to learn only whether the peer
 *   answers)
 * - PROGRESS: attempt, served_state
 * - QUOTA_REQUEST, QUOTA_REPLY: attempt (a number that the reply repeats),
 *   body (see peer/quota_codec.h)
 */
typedef struct {
    bv_peer_kind_t kind;
    /* Name of the sending member. */
    char from[BV_NAME_BYTES];
    uint64_t from_incarnation;
    uint64_t to_incarnation;
    uint64_t session;
    uint64_t attempt;
    bv_id_t request_id;
    uint16_t priority;
    bool is_long_running;
    bool is_idempotent;
    bool bypasses_admission;
    /* The attempt is a retry or a hedge, or part of a retry made upstream. */
    bool is_retry;
    /* Retry credits that are lent with a call or returned with an answer. */
    uint32_t credit;
    /*
     * Time left until the deadline; a relative time, since the clocks of nodes
     * are not synchronized.
     */
    int64_t remaining_us;
    bv_outcome_t outcome;
    bv_reason_t reason;
    /* HTTP status of the answer. */
    uint16_t status;
    /*
     * Backpressure of the sender and the nodes downstream: least priority that
     * is admitted, and expected wait.
     */
    uint16_t threshold;
    int64_t wait_us;
    /*
     * Load of the sender's target, and the time that the call spent at the
     * sender. The fields are encoded only if has_capacity is set.
     */
    bool has_capacity;
    bv_capacity_report_t capacity;
    int64_t served_us;
    bv_served_state_t served_state;
    uint64_t generation;
    /* Digest of the message, of the body or of the configuration. */
    uint64_t digest;
    /* The strings below are NULL if they are not set. */
    char *method;
    /* Virtual host; NULL if routes are not chosen by host. */
    char *host;
    char *path;
    /* End-to-end header lines, each ended by CR LF; see headers.h. */
    char *headers;
    char *idempotency_key;
    char *customer;
    /* The caller's name for the call, for logs. */
    char *label;
    /* W3C trace context of the sending span. */
    char *traceparent;
    GBytes *body;
    /* ZeroMQ identity of the peer that an answer is sent to; not encoded. */
    GBytes *reply_identity;
    /*
     * Session of this node's connection that the message was received on, or
     * 0; not encoded.
     */
    uint64_t link_session;
} bv_peer_message_t;

/* Creates a message with all other fields zero. */
bv_peer_message_t *bv_peer_message_create(bv_peer_kind_t kind);

/* Frees a message and its fields; accepts NULL. */
void bv_peer_message_destroy(bv_peer_message_t *message);

/* Returns a copy of a message that shares the body. */
bv_peer_message_t *bv_peer_message_copy(const bv_peer_message_t *message);

/*
 * Returns what is wrong with the target's answer in an ANSWER or a KEY_ANSWER,
 * or NULL. A node of an earlier version passes on what it read, whatever that
 * is.
 */
const char *bv_peer_message_check_answer(const bv_peer_message_t *message);

/*
 * Returns a digest of the fields of a DISPATCH or an ANSWER that determine the
 * call or its result, including the body and its length.
 */
uint64_t bv_peer_message_digest(const bv_peer_message_t *message);

/* Returns the encoded message. */
GBytes *bv_peer_message_encode(const bv_peer_message_t *message);

/*
 * Decodes a message of `size` bytes. Returns NULL and sets a BV_PEER_ERROR if
 * the message is malformed or has another version.
 */
bv_peer_message_t *bv_peer_message_decode(const void *data, size_t size,
                                          GError **error);

/* Like bv_peer_message_decode(); a large body keeps `frame` and is not copied.
 */
bv_peer_message_t *bv_peer_message_decode_frame(GBytes *frame, GError **error);

/*
 * Encodes a gossip packet of the member `from` into `out` and returns its
 * length. Leaves out the last records if the packet would exceed
 * BV_GOSSIP_BYTES.
 */
size_t bv_gossip_encode(const bv_member_t *from,
                        const bv_gossip_packet_t *packet,
                        uint8_t out[BV_GOSSIP_BYTES]);

/* Decodes a gossip packet; false if it is malformed. */
bool bv_gossip_decode(const void *data, size_t size, bv_member_t *from,
                      bv_gossip_packet_t *packet);

#endif
