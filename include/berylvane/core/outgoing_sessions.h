#ifndef BERYLVANE_CORE_OUTGOING_SESSIONS_H
#define BERYLVANE_CORE_OUTGOING_SESSIONS_H

#include "berylvane/core/types.h"

/*
 * outgoing - the caller side's sessions with the members it calls
 *
 * Each session is carried by one connection. Numbers are drawn from one
 * counter for all members, so a member that was forgotten never gets a number
 * again that is as low as one it had.
 *
 * A connection that owes answers and is silent is asked for progress; when it
 * stays silent, its session is replaced by the next one. The wait doubles with
 * each replacement until the member is heard again.
 */
typedef struct bv_outgoing bv_outgoing_sessions_t;

typedef struct {
    /* Silence after which a connection that owes answers is asked. */
    int64_t request_progress_after_us;
    /* Silence after the question at which its session is replaced. */
    int64_t replace_after_us;
    /* Longest wait that doubling leads to. */
    int64_t replace_limit_us;
    /* Age at which the session of a member without attempts is dropped. */
    int64_t idle_limit_us;
    /* Sends a question over the session. */
    void (*request_progress)(void *context, const char *member,
                             uint64_t incarnation, uint64_t session);
    /* The session was replaced by `session`. */
    void (*replaced)(void *context, const char *member, uint64_t incarnation,
                     uint64_t session);
    void *context;
} bv_outgoing_sessions_options_t;

bv_outgoing_sessions_t *
bv_outgoing_sessions_create(const bv_outgoing_sessions_options_t *options);
void bv_outgoing_sessions_destroy(bv_outgoing_sessions_t *outgoing);

/* The session in use with a member's incarnation; a new one when none is. */
uint64_t bv_outgoing_sessions_current(bv_outgoing_sessions_t *outgoing,
                                      int64_t now_us, const char *member,
                                      uint64_t incarnation);

/*
 * A session newer than `above`: the one in use if it is, else a new one. A
 * session that nothing was heard on since `asked_us` is replaced too; 0 for
 * never.
 */
uint64_t bv_outgoing_sessions_newer(bv_outgoing_sessions_t *outgoing,
                                    int64_t now_us, const char *member,
                                    uint64_t incarnation, uint64_t above,
                                    int64_t asked_us);

/* An attempt was sent to the member, or one of its attempts is settled. */
void bv_outgoing_sessions_attempt_sent(bv_outgoing_sessions_t *outgoing,
                                       int64_t now_us, const char *member);
void bv_outgoing_sessions_attempt_settled(bv_outgoing_sessions_t *outgoing,
                                          const char *member);

/* Something arrived over the connection that carries `session`. */
void bv_outgoing_sessions_message_received(bv_outgoing_sessions_t *outgoing,
                                           int64_t now_us, const char *member,
                                           uint64_t session);

/* The member is gone. */
void bv_outgoing_sessions_remove(bv_outgoing_sessions_t *outgoing,
                                 const char *member);

/* Lets time pass. */
void bv_outgoing_sessions_tick(bv_outgoing_sessions_t *outgoing,
                               int64_t now_us);

/* Number of members with a session. */
uint32_t bv_outgoing_sessions_count(const bv_outgoing_sessions_t *outgoing);

#endif
