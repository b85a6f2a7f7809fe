#ifndef BERYLVANE_PEER_MESSAGE_H
#define BERYLVANE_PEER_MESSAGE_H

#include "berylvane/core/membership.h"
#include "berylvane/core/session.h"

/*
 * message - what nodes say to each other over a peer link
 *
 * Encoded as a MessagePack array. Every length is bounded before use; a
 * message that does not decode is counted (peer_bad) and dropped.
 */
#define BV_PEER_VERSION 2
#define BV_PEER_TEXT_LIMIT_BYTES 2048
#define BV_PEER_HEADERS_LIMIT_BYTES 16384
#define BV_PEER_BODY_LIMIT_BYTES (8 * 1024 * 1024)

#define BV_PEER_ERROR (bv_peer_error_quark())
GQuark bv_peer_error_quark(void);

typedef enum {
    BV_PEER_ERROR_VERSION,
    BV_PEER_ERROR_INVALID,
    BV_PEER_ERROR_SIZE,
} bv_peer_error_t;

typedef enum {
    BV_PEER_DISPATCH = 1,
    BV_PEER_ANSWER,
    BV_PEER_OPEN,
    BV_PEER_FENCE,
    BV_PEER_FENCED,
    BV_PEER_CANCEL,
    BV_PEER_CONFIG_REQUEST,
    BV_PEER_CONFIG_BODY,
    BV_PEER_KEY_QUERY,
    BV_PEER_KEY_ANSWER,
    BV_PEER_PROGRESS_QUERY,
    BV_PEER_PROGRESS,
    BV_PEER_KIND_END,
} bv_peer_kind_t;

/*
 * One message. Which fields count depends on the kind:
 * DISPATCH     request..remaining_us, method, host, path, headers, key,
 * customer, label, span, body ANSWER       attempt, outcome, reason, status,
 * headers, credit, threshold, wait_us, digest, body OPEN         session FENCE
 * attempt, session FENCED       attempt, served CANCEL       attempt
 * CONFIG_ASK   generation; CONFIG_BODY generation, digest, body
 * KEY_ASK      attempt (echoed), key, generation: the attempt in its row;
 *              or, with a method, a call for the node that minted its ticket:
 *              attempt (echoed) and the fields of DISPATCH
 * KEY_ANSWER   attempt, outcome (unknown without reason: under way), reason,
 *              status, headers, digest, body, credit
 * PROGRESS_ASK attempt, or 0 to ask only for a sign of life, session;
 *              PROGRESS attempt, served
 */
typedef struct {
    bv_peer_kind_t kind;
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
    /* It is a further try, or was called by work that is one. */
    bool is_retry;
    uint32_t credit;
    /* Time left until the deadline; no clocks are compared. */
    int64_t remaining_us;
    bv_outcome_t outcome;
    bv_reason_t reason;
    uint16_t status;
    uint16_t threshold;
    int64_t wait_us;
    bv_served_state_t served_state;
    uint64_t generation;
    uint64_t digest;
    char *method;
    /* Virtual host; NULL where routes do not look at it. */
    char *host;
    char *path;
    /* End-to-end header lines, each ended by CR LF; see headers.h. */
    char *headers;
    char *idempotency_key;
    char *customer;
    /* The caller's own name for the call, for logs; may be NULL. */
    char *label;
    /* W3C trace context of the sending span. */
    char *traceparent;
    GBytes *body;
    /* ZeroMQ identity that an answer goes back to; not encoded. */
    GBytes *reply_identity;
    /* Session of the own connection that it arrived on; not encoded. */
    uint64_t link_session;
} bv_peer_message_t;

bv_peer_message_t *bv_peer_message_create(bv_peer_kind_t kind);
void bv_peer_message_destroy(bv_peer_message_t *message);

/* Copies a message; the body is shared. */
bv_peer_message_t *bv_peer_message_copy(const bv_peer_message_t *message);

/*
 * Digest of all that a DISPATCH or an ANSWER says to its receiver, the body
 * and its length included.
 */
uint64_t bv_peer_message_digest(const bv_peer_message_t *message);

/* Encodes a message. */
GBytes *bv_peer_message_encode(const bv_peer_message_t *message);

/* Decodes `size` bytes; NULL and a BV_PEER_ERROR when they are not ours. */
bv_peer_message_t *bv_peer_message_decode(const void *data, size_t size,
                                          GError **error);

/* Encodes a gossip packet from `from`; at most BV_GOSSIP_BYTES long. */
#define BV_GOSSIP_BYTES 1024
size_t bv_gossip_encode(const bv_member_t *from,
                        const bv_gossip_packet_t *packet,
                        uint8_t out[BV_GOSSIP_BYTES]);

/* Decodes a gossip packet; false when it is not ours. */
bool bv_gossip_decode(const void *data, size_t size, bv_member_t *from,
                      bv_gossip_packet_t *packet);

#endif
