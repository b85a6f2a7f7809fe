#include "berylvane/core/outgoing_sessions.h"

#include "berylvane/common/invariant.h"

typedef struct {
    char member[BV_NAME_BYTES];
    uint64_t incarnation;
    uint64_t number;
    uint32_t unsettled_attempts;
    int64_t last_used_us;
    int64_t last_received_us;
    /* Start of the current silence: the last message or replacement, or the
     * first attempt sent while none was unsettled. */
    int64_t silent_since_us;
    /* When a progress request was sent; 0 if none is open. */
    int64_t progress_requested_us;
    int64_t replace_after_us;
    int64_t last_message_us;
    /*
     * First attempt, and first progress request, since the last message; 0 if
     * there was none. Unlike the times above, they outlast a replacement and
     * attempts that end without a message.
     */
    int64_t unanswered_since_us;
    int64_t first_requested_us;
    /* When a silent member without unsettled attempts was asked last. */
    int64_t probed_us;
    bool is_silent;
    /* The member has left; removed once no attempt is unsettled. */
    bool has_left;
} session_t;

struct bv_outgoing_sessions {
    bv_outgoing_sessions_options_t options;
    GHashTable *by_member;
    uint64_t last_number;
};

bv_outgoing_sessions_t *
bv_outgoing_sessions_create(const bv_outgoing_sessions_options_t *options)
{
    bv_outgoing_sessions_t *sessions = g_new0(bv_outgoing_sessions_t, 1);
    sessions->options = *options;
    sessions->by_member =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return sessions;
}

void
bv_outgoing_sessions_destroy(bv_outgoing_sessions_t *sessions)
{
    if (sessions == NULL) {
        return;
    }
    g_hash_table_destroy(sessions->by_member);
    g_free(sessions);
}

static session_t *
find_session(const bv_outgoing_sessions_t *sessions, const char *member)
{
    return g_hash_table_lookup(sessions->by_member, member);
}

static void
assign_number(bv_outgoing_sessions_t *sessions, session_t *session,
              int64_t now_us)
{
    uint64_t previous_number = session->number;
    session->number = ++sessions->last_number;
    session->last_received_us = now_us;
    session->silent_since_us = now_us;
    session->progress_requested_us = 0;
    bv_invariant(session->number > previous_number, "sessions_increase",
                 "renew");
}

static session_t *
find_or_add_session(bv_outgoing_sessions_t *sessions, int64_t now_us,
                    const char *member, uint64_t incarnation)
{
    session_t *session = find_session(sessions, member);
    if (session == NULL) {
        session = g_new0(session_t, 1);
        g_strlcpy(session->member, member, BV_NAME_BYTES);
        g_hash_table_insert(sessions->by_member, session->member, session);
    }
    if (session->number == 0 || incarnation > session->incarnation) {
        session->incarnation = incarnation;
        session->replace_after_us = sessions->options.replace_after_us;
        session->unanswered_since_us = 0;
        session->first_requested_us = 0;
        session->is_silent = false;
        session->has_left = false;
        assign_number(sessions, session, now_us);
    }
    session->last_used_us = now_us;
    return session;
}

uint64_t
bv_outgoing_sessions_current(bv_outgoing_sessions_t *sessions, int64_t now_us,
                             const char *member, uint64_t incarnation)
{
    return find_or_add_session(sessions, now_us, member, incarnation)->number;
}

uint64_t
bv_outgoing_sessions_newer(bv_outgoing_sessions_t *sessions, int64_t now_us,
                           const char *member, uint64_t incarnation,
                           uint64_t above, int64_t last_fence_us)
{
    session_t *session =
        find_or_add_session(sessions, now_us, member, incarnation);
    bool is_silent =
        last_fence_us != 0 && session->last_received_us < last_fence_us;
    if (session->number <= above || is_silent) {
        assign_number(sessions, session, now_us);
    }
    return session->number;
}

void
bv_outgoing_sessions_attempt_sent(bv_outgoing_sessions_t *sessions,
                                  int64_t now_us, const char *member)
{
    session_t *session = find_session(sessions, member);
    if (session == NULL) {
        return;
    }
    if (session->unsettled_attempts == 0) {
        session->silent_since_us = now_us;
    }
    if (session->unanswered_since_us == 0) {
        session->unanswered_since_us = now_us;
    }
    session->unsettled_attempts++;
}

void
bv_outgoing_sessions_attempt_settled(bv_outgoing_sessions_t *sessions,
                                     const char *member)
{
    session_t *session = find_session(sessions, member);
    if (session == NULL || session->unsettled_attempts == 0) {
        return;
    }
    session->unsettled_attempts--;
    bool is_answered =
        session->unanswered_since_us <= session->last_message_us &&
        session->first_requested_us == 0;
    if (session->unsettled_attempts == 0 && is_answered) {
        session->unanswered_since_us = 0;
    }
}

void
bv_outgoing_sessions_message_received(bv_outgoing_sessions_t *sessions,
                                      int64_t now_us, const char *member,
                                      uint64_t number)
{
    const bv_outgoing_sessions_options_t *options = &sessions->options;
    session_t *session = find_session(sessions, member);
    if (session == NULL || session->number != number) {
        return;
    }
    session->last_received_us = now_us;
    session->silent_since_us = now_us;
    session->progress_requested_us = 0;
    session->replace_after_us = options->replace_after_us;
    session->last_message_us = now_us;
    session->unanswered_since_us =
        session->unsettled_attempts > 0 ? now_us : 0;
    session->first_requested_us = 0;
    if (session->is_silent) {
        session->is_silent = false;
        options->regained(options->context, session->member,
                          session->incarnation);
    }
}

void
bv_outgoing_sessions_remove(bv_outgoing_sessions_t *sessions,
                            const char *member)
{
    g_hash_table_remove(sessions->by_member, member);
}

static void
replace_session(bv_outgoing_sessions_t *sessions, session_t *session,
                int64_t now_us)
{
    const bv_outgoing_sessions_options_t *options = &sessions->options;
    assign_number(sessions, session, now_us);
    session->replace_after_us =
        MIN(session->replace_after_us * 2, options->replace_limit_us);
    options->replaced(options->context, session->member, session->incarnation,
                      session->number);
}

static void
request_progress(const bv_outgoing_sessions_t *sessions, session_t *session,
                 int64_t now_us)
{
    const bv_outgoing_sessions_options_t *options = &sessions->options;
    if (session->first_requested_us == 0) {
        session->first_requested_us = now_us;
    }
    options->request_progress(options->context, session->member,
                              session->incarnation, session->number);
}

static void
handle_silence(bv_outgoing_sessions_t *sessions, session_t *session,
               int64_t now_us)
{
    const bv_outgoing_sessions_options_t *options = &sessions->options;
    if (session->progress_requested_us != 0) {
        if (now_us - session->progress_requested_us >=
            session->replace_after_us) {
            replace_session(sessions, session, now_us);
        }
        return;
    }
    if (now_us - session->silent_since_us >=
        options->request_progress_after_us) {
        session->progress_requested_us = now_us;
        request_progress(sessions, session, now_us);
    }
}

/*
 * Asks a member once if nothing followed an attempt, and takes it for silent
 * if that is not answered either. Calls with little time left end too early
 * for handle_silence().
 */
static void
check_silent(const bv_outgoing_sessions_t *sessions, session_t *session,
             int64_t now_us)
{
    const bv_outgoing_sessions_options_t *options = &sessions->options;
    if (session->is_silent || session->unanswered_since_us == 0) {
        return;
    }
    if (session->first_requested_us == 0) {
        if (now_us - session->unanswered_since_us >=
            options->request_progress_after_us) {
            session->progress_requested_us = now_us;
            request_progress(sessions, session, now_us);
        }
        return;
    }
    if (now_us - session->first_requested_us >= options->replace_after_us) {
        session->is_silent = true;
        session->probed_us = now_us;
        options->silent(options->context, session->member,
                        session->incarnation);
    }
}

/* Asks a silent member over a new connection; no attempt is on the old one. */
static void
probe_silent(bv_outgoing_sessions_t *sessions, session_t *session,
             int64_t now_us)
{
    if (now_us - session->probed_us >= sessions->options.probe_interval_us) {
        session->probed_us = now_us;
        assign_number(sessions, session, now_us);
        request_progress(sessions, session, now_us);
    }
}

void
bv_outgoing_sessions_tick(bv_outgoing_sessions_t *sessions, int64_t now_us)
{
    /* A list, since the callbacks add sessions. */
    GList *values = g_hash_table_get_values(sessions->by_member);
    for (const GList *item = values; item != NULL; item = item->next) {
        session_t *session = item->data;
        check_silent(sessions, session, now_us);
        if (session->unsettled_attempts > 0) {
            handle_silence(sessions, session, now_us);
        }
        else if (session->has_left || now_us - session->last_used_us >=
                                          sessions->options.idle_limit_us) {
            g_hash_table_remove(sessions->by_member, session->member);
        }
        else if (session->is_silent) {
            probe_silent(sessions, session, now_us);
        }
    }
    g_list_free(values);
}

void
bv_outgoing_sessions_member_left(bv_outgoing_sessions_t *sessions,
                                 const char *member, uint64_t incarnation)
{
    session_t *session = find_session(sessions, member);
    if (session != NULL && session->incarnation <= incarnation) {
        session->has_left = true;
    }
}

uint32_t
bv_outgoing_sessions_count(const bv_outgoing_sessions_t *sessions)
{
    return g_hash_table_size(sessions->by_member);
}
