#ifndef BERYLVANE_CORE_OUTGOING_SESSIONS_H
#define BERYLVANE_CORE_OUTGOING_SESSIONS_H

#include "berylvane/core/types.h"

/*
 * outgoing_sessions - sessions of the calling node with the members it calls
 *
 * There is one session for each member, carried by one connection. Session
 * numbers come from one counter for all members, so that a member which was
 * removed and added again gets a higher number than before.
 *
 * If a connection with unsettled attempts is silent, a progress request is
 * sent over it. If the silence goes on, the session is replaced by a new one.
 * The time until a replacement doubles with each replacement, until a message
 * arrives from the member.
 *
 * A member that does not answer a progress request counts as silent until a
 * message arrives from it. While no attempt is unsettled it is asked again, so
 * that its return is noticed without a call.
 */
typedef struct bv_outgoing_sessions bv_outgoing_sessions_t;

typedef struct {
    /* Silence, while attempts are unsettled, before a progress request. */
    int64_t request_progress_after_us;
    /*
     * Silence after the progress request before the session is replaced, and
     * before the member counts as silent.
     */
    int64_t replace_after_us;
    /* Upper limit of `replace_after_us` when it doubles. */
    int64_t replace_limit_us;
    /* Interval of requests to a silent member without unsettled attempts. */
    int64_t probe_interval_us;
    /* Time since its last use after which a session without unsettled attempts
     * is removed. */
    int64_t idle_limit_us;
    /* Sends a progress request over the session. */
    void (*request_progress)(void *context, const char *member,
                             uint64_t incarnation, uint64_t session);
    /* Called after the member's session was replaced by `session`. */
    void (*replaced)(void *context, const char *member, uint64_t incarnation,
                     uint64_t session);
    /* Called when a member has not answered a progress request. */
    void (*silent)(void *context, const char *member, uint64_t incarnation);
    /*
     * Called when a message arrives from a silent member. The callbacks may
     * open sessions, and must not remove any.
     */
    void (*regained)(void *context, const char *member, uint64_t incarnation);
    void *context;
} bv_outgoing_sessions_options_t;

/* Creates an instance and copies the options; the caller destroys it. */
bv_outgoing_sessions_t *
bv_outgoing_sessions_create(const bv_outgoing_sessions_options_t *options);
void bv_outgoing_sessions_destroy(bv_outgoing_sessions_t *sessions);

/*
 * Returns the number of the session with a member's incarnation; creates a
 * session if there is none.
 */
uint64_t bv_outgoing_sessions_current(bv_outgoing_sessions_t *sessions,
                                      int64_t now_us, const char *member,
                                      uint64_t incarnation);

/*
 * Returns the number of a session that is newer than session `above`: the
 * current one if it is newer, otherwise a new one. `last_fence_us` is the time
 * of the attempt's previous fence, or 0; a session on which nothing was
 * received since then is replaced as well.
 */
uint64_t bv_outgoing_sessions_newer(bv_outgoing_sessions_t *sessions,
                                    int64_t now_us, const char *member,
                                    uint64_t incarnation, uint64_t above,
                                    int64_t last_fence_us);

/* Records that an attempt was sent to the member. */
void bv_outgoing_sessions_attempt_sent(bv_outgoing_sessions_t *sessions,
                                       int64_t now_us, const char *member);

/* Records that one of the member's attempts is settled. */
void bv_outgoing_sessions_attempt_settled(bv_outgoing_sessions_t *sessions,
                                          const char *member);

/* Records that a message arrived over the connection of session `number`. */
void bv_outgoing_sessions_message_received(bv_outgoing_sessions_t *sessions,
                                           int64_t now_us, const char *member,
                                           uint64_t number);

/*
 * Removes the session of a member that has left, once its attempts are
 * settled: it would be taken for silent and asked again and again.
 */
void bv_outgoing_sessions_member_left(bv_outgoing_sessions_t *sessions,
                                      const char *member,
                                      uint64_t incarnation);

/* Removes the session of a member that is dead. */
void bv_outgoing_sessions_remove(bv_outgoing_sessions_t *sessions,
                                 const char *member);

/*
 * Sends progress requests, replaces silent sessions and removes idle ones; to
 * be called periodically.
 */
void bv_outgoing_sessions_tick(bv_outgoing_sessions_t *sessions,
                               int64_t now_us);

/* Number of members with a session. */
uint32_t bv_outgoing_sessions_count(const bv_outgoing_sessions_t *sessions);

#endif
