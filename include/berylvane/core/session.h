#ifndef BERYLVANE_CORE_SESSION_H
#define BERYLVANE_CORE_SESSION_H

#include "berylvane/core/types.h"

/*
 * session - the target side's record of attempts and their fences
 *
 * Each caller numbers its sessions and its attempts, both upwards. Opening
 * session n makes every dispatch of a session below n refused for good, so a
 * message that a transport kept and sent late cannot run after it was answered
 * as not run.
 *
 * Settled attempts are forgotten to bound memory. A caller's mark is the
 * highest attempt forgotten of it: an attempt at or below the mark that has no
 * record may have run, so it is never accepted and never answered as not run.
 * Time and the limits only decide how much is remembered.
 *
 * One entry is kept for each caller name, for its highest incarnation; lower
 * ones are treated like forgotten attempts. Entries are never dropped, as a
 * dropped one would make stale sessions acceptable again.
 */
typedef struct bv_sessions bv_sessions_t;

/* An attempt of one incarnation of a caller; zero it before it is filled. */
typedef struct {
    char caller[BV_NAME_BYTES];
    uint64_t incarnation;
    uint64_t attempt;
} bv_attempt_key_t;

typedef enum {
    BV_DISPATCH_ACCEPTED,
    BV_DISPATCH_STALE_SESSION,
    BV_DISPATCH_DUPLICATE,
    BV_DISPATCH_FENCED,
    /* May have run before; neither run it nor answer. */
    BV_DISPATCH_FORGOTTEN,
    /* From a caller name beyond callers_limit. */
    BV_DISPATCH_CALLERS_FULL,
} bv_dispatch_result_t;

typedef enum {
    BV_SERVED_UNSEEN,
    BV_SERVED_QUEUED,
    BV_SERVED_STARTED,
    BV_SERVED_FINISHED,
    BV_SERVED_FENCED,
    BV_SERVED_FORGOTTEN,
} bv_served_state_t;

typedef struct {
    /* How long a settled attempt is remembered for repeats and fences. */
    int64_t retention_us;
    /* Settled attempts remembered; 0 for no limit. */
    uint32_t settled_limit;
    /* Caller names met; those beyond are refused. 0 for no limit. */
    uint32_t callers_limit;
} bv_sessions_options_t;

/* Fills a key. */
bv_attempt_key_t bv_attempt_key(const char *caller, uint64_t incarnation,
                                uint64_t attempt);

/* Hash and equality for GHashTable keys of type bv_attempt_key_t. */
guint bv_attempt_key_hash(gconstpointer key);
gboolean bv_attempt_key_equal(gconstpointer left, gconstpointer right);

bv_sessions_t *bv_sessions_create(const bv_sessions_options_t *options);
void bv_sessions_destroy(bv_sessions_t *sessions);

/* The caller incarnation opened `session`; lower numbers are stale. */
void bv_sessions_open(bv_sessions_t *sessions, const char *caller,
                      uint64_t incarnation, uint64_t session);

/* A dispatch arrived; it may be queued only when ACCEPTED. */
bv_dispatch_result_t bv_sessions_dispatch(bv_sessions_t *sessions,
                                          const bv_attempt_key_t *key,
                                          uint64_t session);

/* The attempt is about to be sent to the target; false when fenced. */
bool bv_sessions_start(bv_sessions_t *sessions, const bv_attempt_key_t *key);

/* The attempt is settled: it ran, or it was refused after all. */
void bv_sessions_finish(bv_sessions_t *sessions, int64_t now_us,
                        const bv_attempt_key_t *key, bool ran);

/*
 * Fences an attempt: unseen and queued ones become FENCED. Returns the state
 * before the call; UNSEEN, QUEUED and FENCED prove that it never runs.
 */
bv_served_state_t bv_sessions_fence(bv_sessions_t *sessions, int64_t now_us,
                                    const bv_attempt_key_t *key);

/*
 * Like bv_sessions_fence(), but leaves queued attempts queued: for an attempt
 * whose session was replaced.
 */
bv_served_state_t bv_sessions_fence_unseen(bv_sessions_t *sessions,
                                           int64_t now_us,
                                           const bv_attempt_key_t *key);

/* Forgets settled attempts that are too old or too many. */
void bv_sessions_tick(bv_sessions_t *sessions, int64_t now_us);

/* Number of attempts remembered. */
uint32_t bv_sessions_count(const bv_sessions_t *sessions);

#endif
