#include "berylvane/core/session.h"

#include "berylvane/common/invariant.h"

#include <string.h>
#include <xxhash.h>

/* Record of an attempt. */
typedef struct {
    bv_attempt_key_t key;
    bv_served_state_t state;
    int64_t settled_us;
} served_t;

typedef struct {
    char name[BV_NAME_BYTES];
    uint64_t incarnation;
    uint64_t newest_session;
    /* Highest attempt of this incarnation whose record was evicted. */
    uint64_t highest_evicted;
} caller_t;

struct bv_sessions {
    bv_sessions_options_t options;
    GHashTable *callers;
    GHashTable *served;
    GQueue settled;
};

bv_attempt_key_t
bv_attempt_key(const char *caller, uint64_t incarnation, uint64_t attempt)
{
    bv_attempt_key_t key;
    memset(&key, 0, sizeof(key));
    g_strlcpy(key.caller, caller, BV_NAME_BYTES);
    key.incarnation = incarnation;
    key.attempt = attempt;
    return key;
}

guint
bv_attempt_key_hash(gconstpointer key)
{
    return (guint)XXH3_64bits(key, sizeof(bv_attempt_key_t));
}

gboolean
bv_attempt_key_equal(gconstpointer left, gconstpointer right)
{
    const bv_attempt_key_t *a = left;
    const bv_attempt_key_t *b = right;
    return a->attempt == b->attempt && a->incarnation == b->incarnation &&
           strcmp(a->caller, b->caller) == 0;
}

bv_sessions_t *
bv_sessions_create(const bv_sessions_options_t *options)
{
    bv_sessions_t *sessions = g_new0(bv_sessions_t, 1);
    sessions->options = *options;
    sessions->callers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    sessions->served = g_hash_table_new_full(
        bv_attempt_key_hash, bv_attempt_key_equal, NULL, g_free);
    g_queue_init(&sessions->settled);
    return sessions;
}

void
bv_sessions_destroy(bv_sessions_t *sessions)
{
    if (sessions == NULL) {
        return;
    }
    g_queue_clear(&sessions->settled);
    g_hash_table_destroy(sessions->served);
    g_hash_table_destroy(sessions->callers);
    g_free(sessions);
}

/*
 * Returns the caller's entry, raised to `incarnation` if it is lower. Returns
 * NULL when the caller is new and the limit of callers is reached.
 */
static caller_t *
find_or_add_caller(bv_sessions_t *sessions, const char *name,
                   uint64_t incarnation)
{
    caller_t *caller = g_hash_table_lookup(sessions->callers, name);
    uint32_t limit = sessions->options.callers_limit;
    if (caller == NULL) {
        if (limit != 0 && g_hash_table_size(sessions->callers) >= limit) {
            return NULL;
        }
        caller = g_new0(caller_t, 1);
        g_strlcpy(caller->name, name, BV_NAME_BYTES);
        caller->incarnation = incarnation;
        g_hash_table_insert(sessions->callers, caller->name, caller);
    }
    if (incarnation > caller->incarnation) {
        caller->incarnation = incarnation;
        caller->newest_session = 0;
        caller->highest_evicted = 0;
    }
    return caller;
}

void
bv_sessions_open(bv_sessions_t *sessions, const char *name,
                 uint64_t incarnation, uint64_t session)
{
    caller_t *caller = find_or_add_caller(sessions, name, incarnation);
    if (caller != NULL && caller->incarnation == incarnation) {
        caller->newest_session = MAX(caller->newest_session, session);
    }
}

static served_t *
find_served(const bv_sessions_t *sessions, const bv_attempt_key_t *key)
{
    return g_hash_table_lookup(sessions->served, key);
}

static served_t *
add_served(bv_sessions_t *sessions, const bv_attempt_key_t *key,
           bv_served_state_t state)
{
    served_t *served = g_new0(served_t, 1);
    served->key = *key;
    served->state = state;
    g_hash_table_insert(sessions->served, &served->key, served);
    return served;
}

static void
mark_settled(bv_sessions_t *sessions, served_t *served, int64_t now_us)
{
    served->settled_us = now_us;
    g_queue_push_tail(&sessions->settled, served);
}

static bool
may_have_been_evicted(const caller_t *caller, const bv_attempt_key_t *key)
{
    return key->incarnation != caller->incarnation ||
           key->attempt <= caller->highest_evicted;
}

bv_dispatch_result_t
bv_sessions_dispatch(bv_sessions_t *sessions, const bv_attempt_key_t *key,
                     uint64_t session)
{
    const served_t *served = find_served(sessions, key);
    if (served != NULL) {
        return served->state == BV_SERVED_FENCED ? BV_DISPATCH_FENCED
                                                 : BV_DISPATCH_DUPLICATE;
    }
    caller_t *caller =
        find_or_add_caller(sessions, key->caller, key->incarnation);
    if (caller == NULL) {
        return BV_DISPATCH_CALLERS_FULL;
    }
    if (may_have_been_evicted(caller, key)) {
        return BV_DISPATCH_FORGOTTEN;
    }
    if (session < caller->newest_session) {
        return BV_DISPATCH_STALE_SESSION;
    }
    caller->newest_session = session;
    add_served(sessions, key, BV_SERVED_QUEUED);
    return BV_DISPATCH_ACCEPTED;
}

bool
bv_sessions_start(bv_sessions_t *sessions, const bv_attempt_key_t *key)
{
    served_t *served = find_served(sessions, key);
    if (served == NULL || served->state != BV_SERVED_QUEUED) {
        return false;
    }
    served->state = BV_SERVED_STARTED;
    return true;
}

void
bv_sessions_finish(bv_sessions_t *sessions, int64_t now_us,
                   const bv_attempt_key_t *key, bool ran)
{
    served_t *served = find_served(sessions, key);
    if (served == NULL || served->state == BV_SERVED_FINISHED ||
        served->state == BV_SERVED_FENCED) {
        return;
    }
    bv_invariant(!ran || served->state == BV_SERVED_STARTED, "ran_was_started",
                 "finish");
    served->state = ran ? BV_SERVED_FINISHED : BV_SERVED_FENCED;
    mark_settled(sessions, served, now_us);
}

static bv_served_state_t
fence_without_record(bv_sessions_t *sessions, int64_t now_us,
                     const bv_attempt_key_t *key)
{
    const caller_t *caller =
        find_or_add_caller(sessions, key->caller, key->incarnation);
    if (caller == NULL) {
        /* A dispatch of the attempt will be refused as well: since entries of
         * callers are never removed, the limit stays reached. */
        return BV_SERVED_UNSEEN;
    }
    if (may_have_been_evicted(caller, key)) {
        return BV_SERVED_FORGOTTEN;
    }
    mark_settled(sessions, add_served(sessions, key, BV_SERVED_FENCED),
                 now_us);
    return BV_SERVED_UNSEEN;
}

bv_served_state_t
bv_sessions_fence(bv_sessions_t *sessions, int64_t now_us,
                  const bv_attempt_key_t *key)
{
    served_t *served = find_served(sessions, key);
    if (served == NULL) {
        return fence_without_record(sessions, now_us, key);
    }
    bv_served_state_t state_before = served->state;
    if (state_before == BV_SERVED_QUEUED) {
        served->state = BV_SERVED_FENCED;
        mark_settled(sessions, served, now_us);
    }
    return state_before;
}

bv_served_state_t
bv_sessions_fence_unseen(bv_sessions_t *sessions, int64_t now_us,
                         const bv_attempt_key_t *key)
{
    const served_t *served = find_served(sessions, key);
    return served != NULL ? served->state
                          : fence_without_record(sessions, now_us, key);
}

static void
evict(bv_sessions_t *sessions, const served_t *served)
{
    caller_t *caller =
        g_hash_table_lookup(sessions->callers, served->key.caller);
    if (caller != NULL && caller->incarnation == served->key.incarnation) {
        caller->highest_evicted =
            MAX(caller->highest_evicted, served->key.attempt);
    }
    bv_invariant(caller != NULL && may_have_been_evicted(caller, &served->key),
                 "forgotten_is_not_unseen", "forget");
    g_hash_table_remove(sessions->served, &served->key);
}

void
bv_sessions_tick(bv_sessions_t *sessions, int64_t now_us)
{
    const bv_sessions_options_t *options = &sessions->options;
    for (;;) {
        const served_t *oldest = g_queue_peek_head(&sessions->settled);
        bool is_over_limit = options->settled_limit != 0 &&
                             sessions->settled.length > options->settled_limit;
        if (oldest == NULL || (!is_over_limit && now_us - oldest->settled_us <
                                                     options->retention_us)) {
            return;
        }
        g_queue_pop_head(&sessions->settled);
        evict(sessions, oldest);
    }
}

uint32_t
bv_sessions_count(const bv_sessions_t *sessions)
{
    return g_hash_table_size(sessions->served);
}
