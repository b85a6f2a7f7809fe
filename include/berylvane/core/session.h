#ifndef BERYLVANE_CORE_SESSION_H
#define BERYLVANE_CORE_SESSION_H

#include "berylvane/core/types.h"

/*
 * session - record of attempts, sessions and fences at the receiving node
 *
 * Each caller numbers its sessions and its attempts in ascending order. Once
 * session n is open, every dispatch of a session below n is refused for good.
 * So a message that the transport delayed cannot run after its attempt was
 * reported as not run.
 *
 * Records of settled attempts are evicted to bound memory. For each caller the
 * highest evicted attempt number is kept: an attempt without a record that is
 * not above this number may have run, so it is never accepted and never
 * reported as not run. The retention time and the limits only decide how many
 * records are kept; they do not affect correctness.
 *
 * Each caller name has one entry, for the highest incarnation seen. Attempts
 * of lower incarnations are treated like evicted ones. Entries are never
 * removed, because stale sessions would be accepted again without the entry.
 */
typedef struct bv_sessions bv_sessions_t;

/*
 * Identifies an attempt of one incarnation of a caller. The key is hashed as
 * raw bytes, so its unused bytes must be zero: see bv_attempt_key().
 */
typedef struct {
    char caller[BV_NAME_BYTES];
    uint64_t incarnation;
    uint64_t attempt;
} bv_attempt_key_t;

/* What becomes of a dispatch that arrived. */
typedef enum {
    BV_DISPATCH_ACCEPTED,
    /* The caller has opened a newer session. */
    BV_DISPATCH_STALE_SESSION,
    /* A dispatch of the same attempt arrived before. */
    BV_DISPATCH_DUPLICATE,
    BV_DISPATCH_FENCED,
    /* May have run before: the attempt must neither run nor be answered. */
    BV_DISPATCH_FORGOTTEN,
    /* The caller's name is new and callers_limit is reached. */
    BV_DISPATCH_CALLERS_FULL,
} bv_dispatch_result_t;

/* State of an attempt at the receiving node. */
typedef enum {
    BV_SERVED_UNSEEN,
    BV_SERVED_QUEUED,
    BV_SERVED_STARTED,
    BV_SERVED_FINISHED,
    BV_SERVED_FENCED,
    /* The attempt's record may have been evicted; the attempt may have run. */
    BV_SERVED_FORGOTTEN,
} bv_served_state_t;

typedef struct {
    /* How long the record of a settled attempt is kept. */
    int64_t retention_us;
    /* Limit of records of settled attempts; 0 for no limit. */
    uint32_t settled_limit;
    /* Limit of caller names; further callers are refused. 0 for no limit. */
    uint32_t callers_limit;
} bv_sessions_options_t;

/* Returns a key whose unused bytes are zero. */
bv_attempt_key_t bv_attempt_key(const char *caller, uint64_t incarnation,
                                uint64_t attempt);

/* Hash and equality for GHashTable keys of type bv_attempt_key_t. */
guint bv_attempt_key_hash(gconstpointer key);
gboolean bv_attempt_key_equal(gconstpointer left, gconstpointer right);

bv_sessions_t *bv_sessions_create(const bv_sessions_options_t *options);
void bv_sessions_destroy(bv_sessions_t *sessions);

/* Records that a caller opened `session`, which makes lower ones stale. */
void bv_sessions_open(bv_sessions_t *sessions, const char *caller,
                      uint64_t incarnation, uint64_t session);

/*
 * Records a dispatch that arrived. The attempt may be queued only when the
 * result is BV_DISPATCH_ACCEPTED.
 */
bv_dispatch_result_t bv_sessions_dispatch(bv_sessions_t *sessions,
                                          const bv_attempt_key_t *key,
                                          uint64_t session);

/*
 * Records that a queued attempt is about to be sent to the target. Returns
 * false when it must not be sent, because it was fenced or is not queued.
 */
bool bv_sessions_start(bv_sessions_t *sessions, const bv_attempt_key_t *key);

/* Settles an attempt: it ran, or it was refused after it was accepted. */
void bv_sessions_finish(bv_sessions_t *sessions, int64_t now_us,
                        const bv_attempt_key_t *key, bool ran);

/*
 * Fences an attempt that is unseen or queued. Returns the state before the
 * call; UNSEEN, QUEUED and FENCED prove that the attempt never runs.
 */
bv_served_state_t bv_sessions_fence(bv_sessions_t *sessions, int64_t now_us,
                                    const bv_attempt_key_t *key);

/*
 * Fences an attempt that is unseen and leaves a queued one queued. Used for
 * attempts whose session was replaced. Returns the state before the call;
 * UNSEEN and FENCED prove that the attempt never runs.
 */
bv_served_state_t bv_sessions_fence_unseen(bv_sessions_t *sessions,
                                           int64_t now_us,
                                           const bv_attempt_key_t *key);

/* Evicts records of settled attempts that are too old or too many. */
void bv_sessions_tick(bv_sessions_t *sessions, int64_t now_us);

/* Returns the number of attempts on record. */
uint32_t bv_sessions_count(const bv_sessions_t *sessions);

#endif
