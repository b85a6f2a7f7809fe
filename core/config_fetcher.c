#include "berylvane/core/config_fetcher.h"

#include "berylvane/common/invariant.h"

#include <string.h>
#include <xxhash.h>

#define SOURCES_LIMIT 4
/* Members whose reports allow the first adoption without the head row. */
#define GATHER_MEMBERS 3
/* Counts as a reporter for offered bundles; no member has this name. */
#define OFFER_REPORTER "(offer)"
/* Time between reads of the head row before the first adoption. */
#define STARTUP_POLL_US 500000
/* Requests after which the time between requests grows by a fetch timeout. */
#define REQUESTS_PER_BACKOFF 4
/* Largest multiple of the fetch timeout that is waited between requests. */
#define BACKOFF_LIMIT 5
/* Polls are spread over this range of the interval. */
#define JITTER_LOW 0.8
#define JITTER_HIGH 1.2

typedef struct {
    char names[SOURCES_LIMIT][BV_NAME_BYTES];
    uint32_t count;
} member_names_t;

struct bv_config_fetcher {
    bv_config_fetcher_options_t options;
    bv_config_version_t in_force;
    /* The newest version received, and the members that have it in force. */
    bv_config_version_t wanted;
    member_names_t sources;
    uint32_t next_source;
    uint32_t oldest_source;
    /* Requests sent for the bundle of `wanted`. */
    uint32_t requests;
    int64_t fetch_due_us;
    int64_t poll_due_us;
    /* The last version found invalid on this node; not fetched again. */
    bv_config_version_t rejected;
    /* The bundle of `wanted` until it can be adopted, or NULL. */
    GBytes *pending_body;
    /* The conditions of the first adoption: see may_adopt(). */
    bool is_head_known;
    member_names_t reporters;
    int64_t gather_end_us;
};

uint64_t
bv_config_bundle_digest(GBytes *body)
{
    gsize size;
    const void *data = g_bytes_get_data(body, &size);
    return XXH3_64bits(data, size);
}

bv_config_fetcher_t *
bv_config_fetcher_create(const bv_config_fetcher_options_t *options)
{
    bv_config_fetcher_t *fetcher = g_new0(bv_config_fetcher_t, 1);
    fetcher->options = *options;
    return fetcher;
}

void
bv_config_fetcher_destroy(bv_config_fetcher_t *fetcher)
{
    if (fetcher == NULL) {
        return;
    }
    g_clear_pointer(&fetcher->pending_body, g_bytes_unref);
    g_free(fetcher);
}

const bv_config_version_t *
bv_config_fetcher_in_force(const bv_config_fetcher_t *fetcher)
{
    return &fetcher->in_force;
}

const bv_config_version_t *
bv_config_fetcher_wanted(const bv_config_fetcher_t *fetcher)
{
    return &fetcher->wanted;
}

static bool
is_same_version(const bv_config_version_t *left,
                const bv_config_version_t *right)
{
    return left->generation == right->generation &&
           left->digest == right->digest;
}

static bool
has_member_name(const member_names_t *names, const char *name)
{
    for (uint32_t i = 0; i < names->count; i++) {
        if (strcmp(names->names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns false if there is no room, or the name is there already. */
static bool
add_member_name(member_names_t *names, const char *name)
{
    if (names->count == SOURCES_LIMIT || has_member_name(names, name)) {
        return false;
    }
    g_strlcpy(names->names[names->count], name, BV_NAME_BYTES);
    names->count++;
    return true;
}

/*
 * Adds a member that has the wanted version. It replaces the one that was
 * added first if there is no room, since that one may have ended.
 */
static void
add_source(bv_config_fetcher_t *fetcher, const char *member)
{
    member_names_t *sources = &fetcher->sources;
    if (add_member_name(sources, member) || has_member_name(sources, member)) {
        return;
    }
    g_strlcpy(sources->names[fetcher->oldest_source], member, BV_NAME_BYTES);
    fetcher->oldest_source = (fetcher->oldest_source + 1) % SOURCES_LIMIT;
}

static bool
needs_body(const bv_config_fetcher_t *fetcher)
{
    return fetcher->wanted.generation > fetcher->in_force.generation &&
           fetcher->pending_body == NULL;
}

static void
schedule_next_fetch(bv_config_fetcher_t *fetcher, int64_t now_us)
{
    uint32_t factor =
        MIN(1 + fetcher->requests / REQUESTS_PER_BACKOFF, BACKOFF_LIMIT);
    fetcher->fetch_due_us =
        now_us + fetcher->options.fetch_timeout_us * factor;
}

/* Returns false if no request could be sent to any member. */
static bool
request_from_next_member(bv_config_fetcher_t *fetcher)
{
    const bv_config_fetcher_options_t *options = &fetcher->options;
    for (uint32_t i = 0; i < fetcher->sources.count; i++) {
        const char *member = fetcher->sources.names[fetcher->next_source];
        fetcher->next_source =
            (fetcher->next_source + 1) % fetcher->sources.count;
        if (options->ops->request_from_member(options->context, member,
                                              fetcher->wanted.generation)) {
            return true;
        }
    }
    return false;
}

/*
 * Requests the bundle from a member and from the store in turn, since whatever
 * keeps one member from delivering may keep the others too.
 */
static void
fetch_from_next_source(bv_config_fetcher_t *fetcher, int64_t now_us)
{
    const bv_config_fetcher_options_t *options = &fetcher->options;
    schedule_next_fetch(fetcher, now_us);
    bool is_members_turn = fetcher->requests % 2 == 0;
    fetcher->requests++;
    if (!is_members_turn || !request_from_next_member(fetcher)) {
        options->ops->read_from_store(options->context, &fetcher->wanted);
    }
}

static void
set_wanted(bv_config_fetcher_t *fetcher, const bv_config_version_t *version)
{
    bv_invariant(version->generation >= fetcher->wanted.generation,
                 "wanted_moves_forward", "config_spread");
    fetcher->wanted = *version;
    fetcher->sources.count = 0;
    fetcher->next_source = 0;
    fetcher->oldest_source = 0;
    fetcher->requests = 0;
    g_clear_pointer(&fetcher->pending_body, g_bytes_unref);
}

/*
 * The first adoption waits for the head row, or for GATHER_MEMBERS members, or
 * for one member and the end of the gathering time.
 */
static bool
may_adopt(const bv_config_fetcher_t *fetcher, int64_t now_us)
{
    return fetcher->in_force.generation > 0 || fetcher->is_head_known ||
           fetcher->reporters.count >= GATHER_MEMBERS ||
           (fetcher->reporters.count > 0 && now_us >= fetcher->gather_end_us);
}

static void
adopt_pending(bv_config_fetcher_t *fetcher, int64_t now_us)
{
    const bv_config_fetcher_options_t *options = &fetcher->options;
    if (fetcher->pending_body == NULL || !may_adopt(fetcher, now_us)) {
        return;
    }
    GBytes *body = g_steal_pointer(&fetcher->pending_body);
    bv_config_version_t version = fetcher->wanted;
    bv_invariant(version.generation > fetcher->in_force.generation,
                 "config_moves_forward", "adopt");
    bv_invariant(bv_config_bundle_digest(body) == version.digest,
                 "config_has_its_digest", "adopt");
    if (options->ops->adopt(options->context, &version, body)) {
        fetcher->in_force = version;
    }
    else {
        fetcher->rejected = version;
        fetcher->wanted = fetcher->in_force;
    }
    g_bytes_unref(body);
}

static void
add_reporter(bv_config_fetcher_t *fetcher, int64_t now_us, const char *member)
{
    if (fetcher->in_force.generation > 0) {
        return;
    }
    if (fetcher->reporters.count == 0) {
        fetcher->gather_end_us = now_us + fetcher->options.gather_timeout_us;
    }
    add_member_name(&fetcher->reporters, member);
}

static void
report_conflict(bv_config_fetcher_t *fetcher,
                const bv_config_version_t *version)
{
    fetcher->poll_due_us = 0;
    fetcher->options.ops->report_conflict(fetcher->options.context, version);
}

/*
 * Returns whether the version can be the next to adopt. Reports a conflict if
 * its digest differs from the one in force for the same generation.
 */
static bool
is_relevant(bv_config_fetcher_t *fetcher, const bv_config_version_t *version)
{
    if (version->generation < fetcher->in_force.generation ||
        is_same_version(version, &fetcher->rejected)) {
        return false;
    }
    if (version->generation == fetcher->in_force.generation) {
        if (version->digest != fetcher->in_force.digest) {
            report_conflict(fetcher, version);
        }
        return false;
    }
    return version->generation >= fetcher->wanted.generation;
}

void
bv_config_fetcher_handle_version(bv_config_fetcher_t *fetcher, int64_t now_us,
                                 const bv_config_version_t *version,
                                 const char *member)
{
    if (version->generation == 0) {
        return;
    }
    add_reporter(fetcher, now_us, member);
    if (is_relevant(fetcher, version)) {
        bool newer = version->generation > fetcher->wanted.generation;
        if (!newer && version->digest != fetcher->wanted.digest) {
            report_conflict(fetcher, version);
            return;
        }
        if (newer) {
            set_wanted(fetcher, version);
        }
        add_source(fetcher, member);
        if (newer) {
            fetch_from_next_source(fetcher, now_us);
        }
    }
    adopt_pending(fetcher, now_us);
}

void
bv_config_fetcher_handle_head(bv_config_fetcher_t *fetcher, int64_t now_us,
                              const bv_config_version_t *version)
{
    fetcher->is_head_known = true;
    if (is_relevant(fetcher, version) &&
        !is_same_version(version, &fetcher->wanted)) {
        set_wanted(fetcher, version);
        fetch_from_next_source(fetcher, now_us);
    }
    adopt_pending(fetcher, now_us);
}

bool
bv_config_fetcher_handle_bundle(bv_config_fetcher_t *fetcher, int64_t now_us,
                                uint64_t generation, GBytes *body)
{
    if (!needs_body(fetcher) || generation != fetcher->wanted.generation) {
        return generation <= fetcher->wanted.generation;
    }
    if (bv_config_bundle_digest(body) != fetcher->wanted.digest) {
        return false;
    }
    fetcher->pending_body = g_bytes_ref(body);
    adopt_pending(fetcher, now_us);
    return true;
}

static bool
has_other_digest(const bv_config_version_t *version,
                 const bv_config_version_t *known)
{
    return version->generation == known->generation &&
           version->digest != known->digest;
}

bv_config_offer_result_t
bv_config_fetcher_handle_offer(bv_config_fetcher_t *fetcher, int64_t now_us,
                               const bv_config_version_t *version,
                               GBytes *body, bool is_head_version)
{
    fetcher->is_head_known |= is_head_version;
    if (!is_head_version) {
        add_reporter(fetcher, now_us, OFFER_REPORTER);
    }
    if (has_other_digest(version, &fetcher->in_force) ||
        (has_other_digest(version, &fetcher->wanted) && !is_head_version)) {
        report_conflict(fetcher, version);
        return BV_CONFIG_OFFER_CONFLICT;
    }
    if (is_relevant(fetcher, version) &&
        !is_same_version(version, &fetcher->wanted)) {
        set_wanted(fetcher, version);
        schedule_next_fetch(fetcher, now_us);
    }
    return bv_config_fetcher_handle_bundle(fetcher, now_us,
                                           version->generation, body)
               ? BV_CONFIG_OFFER_TAKEN
               : BV_CONFIG_OFFER_REFUSED;
}

static void
poll_head(bv_config_fetcher_t *fetcher, int64_t now_us)
{
    const bv_config_fetcher_options_t *options = &fetcher->options;
    int64_t period_us = fetcher->in_force.generation > 0
                            ? options->poll_interval_us
                            : STARTUP_POLL_US;
    double jitter =
        g_rand_double_range(options->random, JITTER_LOW, JITTER_HIGH);
    fetcher->poll_due_us = now_us + (int64_t)((double)period_us * jitter);
    options->ops->read_head(options->context);
}

void
bv_config_fetcher_tick(bv_config_fetcher_t *fetcher, int64_t now_us)
{
    if (now_us >= fetcher->poll_due_us) {
        poll_head(fetcher, now_us);
    }
    if (needs_body(fetcher) && now_us >= fetcher->fetch_due_us) {
        fetch_from_next_source(fetcher, now_us);
    }
    adopt_pending(fetcher, now_us);
}
