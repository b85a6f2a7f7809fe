#include "berylvane/core/outgoing_sessions.h"

#include "berylvane/common/invariant.h"

typedef struct {
    char member[BV_NAME_BYTES];
    uint64_t incarnation;
    uint64_t session;
    /* Attempts sent and not settled. */
    uint32_t owed;
    int64_t used_us;
    int64_t heard_us;
    /* When the silence began that is being watched. */
    int64_t silent_us;
    /* When progress was asked for; 0 when it was not. */
    int64_t asked_us;
    int64_t wait_us;
} session_t;

struct bv_outgoing {
    bv_outgoing_sessions_options_t options;
    GHashTable *sessions;
    uint64_t newest;
};

bv_outgoing_sessions_t *
bv_outgoing_sessions_create(const bv_outgoing_sessions_options_t *options)
{
    bv_outgoing_sessions_t *outgoing = g_new0(bv_outgoing_sessions_t, 1);
    outgoing->options = *options;
    outgoing->sessions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return outgoing;
}

void
bv_outgoing_sessions_destroy(bv_outgoing_sessions_t *outgoing)
{
    if (outgoing == NULL) {
        return;
    }
    g_hash_table_destroy(outgoing->sessions);
    g_free(outgoing);
}

static session_t *
find(const bv_outgoing_sessions_t *outgoing, const char *member)
{
    return g_hash_table_lookup(outgoing->sessions, member);
}

static void
renew(bv_outgoing_sessions_t *outgoing, session_t *session, int64_t now_us)
{
    uint64_t before = session->session;
    session->session = ++outgoing->newest;
    session->heard_us = now_us;
    session->silent_us = now_us;
    session->asked_us = 0;
    bv_invariant(session->session > before, "sessions_increase", "renew");
}

static session_t *
session_for(bv_outgoing_sessions_t *outgoing, int64_t now_us,
            const char *member, uint64_t incarnation)
{
    session_t *session = find(outgoing, member);
    if (session == NULL) {
        session = g_new0(session_t, 1);
        g_strlcpy(session->member, member, BV_NAME_BYTES);
        g_hash_table_insert(outgoing->sessions, session->member, session);
    }
    if (session->session == 0 || incarnation > session->incarnation) {
        session->incarnation = incarnation;
        session->wait_us = outgoing->options.replace_after_us;
        renew(outgoing, session, now_us);
    }
    session->used_us = now_us;
    return session;
}

uint64_t
bv_outgoing_sessions_current(bv_outgoing_sessions_t *outgoing, int64_t now_us,
                             const char *member, uint64_t incarnation)
{
    return session_for(outgoing, now_us, member, incarnation)->session;
}

uint64_t
bv_outgoing_sessions_newer(bv_outgoing_sessions_t *outgoing, int64_t now_us,
                           const char *member, uint64_t incarnation,
                           uint64_t above, int64_t asked_us)
{
    session_t *session = session_for(outgoing, now_us, member, incarnation);
    bool silent = asked_us != 0 && session->heard_us < asked_us;
    if (session->session <= above || silent) {
        renew(outgoing, session, now_us);
    }
    return session->session;
}

void
bv_outgoing_sessions_attempt_sent(bv_outgoing_sessions_t *outgoing,
                                  int64_t now_us, const char *member)
{
    session_t *session = find(outgoing, member);
    if (session == NULL) {
        return;
    }
    if (session->owed == 0) {
        session->silent_us = now_us;
    }
    session->owed++;
}

void
bv_outgoing_sessions_attempt_settled(bv_outgoing_sessions_t *outgoing,
                                     const char *member)
{
    session_t *session = find(outgoing, member);
    if (session != NULL && session->owed > 0) {
        session->owed--;
    }
}

void
bv_outgoing_sessions_message_received(bv_outgoing_sessions_t *outgoing,
                                      int64_t now_us, const char *member,
                                      uint64_t number)
{
    session_t *session = find(outgoing, member);
    if (session == NULL || session->session != number) {
        return;
    }
    session->heard_us = now_us;
    session->silent_us = now_us;
    session->asked_us = 0;
    session->wait_us = outgoing->options.replace_after_us;
}

void
bv_outgoing_sessions_remove(bv_outgoing_sessions_t *outgoing,
                            const char *member)
{
    g_hash_table_remove(outgoing->sessions, member);
}

static void
replace(bv_outgoing_sessions_t *outgoing, session_t *session, int64_t now_us)
{
    const bv_outgoing_sessions_options_t *options = &outgoing->options;
    renew(outgoing, session, now_us);
    session->wait_us = MIN(session->wait_us * 2, options->replace_limit_us);
    options->replaced(options->context, session->member, session->incarnation,
                      session->session);
}

static void
watch(bv_outgoing_sessions_t *outgoing, session_t *session, int64_t now_us)
{
    const bv_outgoing_sessions_options_t *options = &outgoing->options;
    if (session->asked_us != 0) {
        if (now_us - session->asked_us >= session->wait_us) {
            replace(outgoing, session, now_us);
        }
        return;
    }
    if (now_us - session->silent_us >= options->request_progress_after_us) {
        session->asked_us = now_us;
        options->request_progress(options->context, session->member,
                                  session->incarnation, session->session);
    }
}

void
bv_outgoing_sessions_tick(bv_outgoing_sessions_t *outgoing, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, outgoing->sessions);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        session_t *session = value;
        if (session->owed > 0) {
            watch(outgoing, session, now_us);
        }
        else if (now_us - session->used_us >=
                 outgoing->options.idle_limit_us) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}

uint32_t
bv_outgoing_sessions_count(const bv_outgoing_sessions_t *outgoing)
{
    return g_hash_table_size(outgoing->sessions);
}
