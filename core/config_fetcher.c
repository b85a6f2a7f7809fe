#include "berylvane/core/config_fetcher.h"

#include "berylvane/common/invariant.h"

#include <string.h>
#include <xxhash.h>

#define SOURCES_LIMIT 4
#define GATHER_MEMBERS 3
#define FIRST_POLL_US 500000
#define BACKOFF_LIMIT 5
#define JITTER_LOW 0.8
#define JITTER_HIGH 1.2

typedef struct {
    char names[SOURCES_LIMIT][BV_NAME_BYTES];
    uint32_t count;
} names_t;

struct bv_config_fetcher {
    bv_config_fetcher_options_t options;
    bv_config_version_t in_force;
    /* The newest version known of, and who has it. */
    bv_config_version_t wanted;
    names_t sources;
    uint32_t next_source;
    uint32_t rounds;
    int64_t try_due_us;
    int64_t poll_due_us;
    /* A version that is not valid here; it is not fetched again. */
    bv_config_version_t refused;
    GBytes *held;
    /* Before the first adoption. */
    bool head_known;
    names_t gathered;
    int64_t gather_end_us;
};

uint64_t
bv_config_body_digest(GBytes *body)
{
    gsize size;
    const void *data = g_bytes_get_data(body, &size);
    return XXH3_64bits(data, size);
}

bv_config_fetcher_t *
bv_config_fetcher_create(const bv_config_fetcher_options_t *options)
{
    bv_config_fetcher_t *spread = g_new0(bv_config_fetcher_t, 1);
    spread->options = *options;
    return spread;
}

void
bv_config_fetcher_destroy(bv_config_fetcher_t *spread)
{
    if (spread == NULL) {
        return;
    }
    g_clear_pointer(&spread->held, g_bytes_unref);
    g_free(spread);
}

const bv_config_version_t *
bv_config_fetcher_in_force(const bv_config_fetcher_t *spread)
{
    return &spread->in_force;
}

static bool
same_version(const bv_config_version_t *left, const bv_config_version_t *right)
{
    return left->generation == right->generation &&
           left->digest == right->digest;
}

static bool
add_name(names_t *names, const char *name)
{
    for (uint32_t i = 0; i < names->count; i++) {
        if (strcmp(names->names[i], name) == 0) {
            return false;
        }
    }
    if (names->count == SOURCES_LIMIT) {
        return false;
    }
    g_strlcpy(names->names[names->count], name, BV_NAME_BYTES);
    names->count++;
    return true;
}

static bool
is_missing(const bv_config_fetcher_t *spread)
{
    return spread->wanted.generation > spread->in_force.generation &&
           spread->held == NULL;
}

/* After each round over all sources the next one waits longer. */
static void
begin_try(bv_config_fetcher_t *spread, int64_t now_us)
{
    uint32_t factor = MIN(spread->rounds + 1, BACKOFF_LIMIT);
    spread->try_due_us = now_us + spread->options.fetch_timeout_us * factor;
}

static void
fetch(bv_config_fetcher_t *spread, int64_t now_us)
{
    const bv_config_fetcher_options_t *options = &spread->options;
    begin_try(spread, now_us);
    while (spread->next_source < spread->sources.count) {
        const char *member = spread->sources.names[spread->next_source++];
        if (options->ops->request_from_member(options->context, member,
                                              spread->wanted.generation)) {
            return;
        }
    }
    spread->next_source = 0;
    spread->rounds++;
    options->ops->read_object(options->context, &spread->wanted);
}

static void
want(bv_config_fetcher_t *spread, const bv_config_version_t *version)
{
    bv_invariant(version->generation >= spread->wanted.generation,
                 "wanted_moves_forward", "config_spread");
    spread->wanted = *version;
    spread->sources.count = 0;
    spread->next_source = 0;
    spread->rounds = 0;
    g_clear_pointer(&spread->held, g_bytes_unref);
}

static bool
may_adopt(const bv_config_fetcher_t *spread, int64_t now_us)
{
    return spread->in_force.generation > 0 || spread->head_known ||
           spread->gathered.count >= GATHER_MEMBERS ||
           (spread->gathered.count > 0 && now_us >= spread->gather_end_us);
}

static void
adopt_held(bv_config_fetcher_t *spread, int64_t now_us)
{
    const bv_config_fetcher_options_t *options = &spread->options;
    if (spread->held == NULL || !may_adopt(spread, now_us)) {
        return;
    }
    GBytes *body = g_steal_pointer(&spread->held);
    bv_config_version_t version = spread->wanted;
    bv_invariant(version.generation > spread->in_force.generation,
                 "config_moves_forward", "adopt");
    bv_invariant(bv_config_body_digest(body) == version.digest,
                 "config_has_its_digest", "adopt");
    if (options->ops->adopt(options->context, &version, body)) {
        spread->in_force = version;
    }
    else {
        spread->refused = version;
        spread->wanted = spread->in_force;
    }
    g_bytes_unref(body);
}

static void
gather(bv_config_fetcher_t *spread, int64_t now_us, const char *member)
{
    if (spread->in_force.generation > 0) {
        return;
    }
    if (spread->gathered.count == 0) {
        spread->gather_end_us = now_us + spread->options.gather_timeout_us;
    }
    add_name(&spread->gathered, member);
}

static void
report_conflict(bv_config_fetcher_t *spread,
                const bv_config_version_t *version)
{
    spread->poll_due_us = 0;
    spread->options.ops->report_conflict(spread->options.context, version);
}

/* False when nothing is to be done about the version. */
static bool
is_news(bv_config_fetcher_t *spread, const bv_config_version_t *version)
{
    if (version->generation < spread->in_force.generation ||
        same_version(version, &spread->refused)) {
        return false;
    }
    if (version->generation == spread->in_force.generation) {
        if (version->digest != spread->in_force.digest) {
            report_conflict(spread, version);
        }
        return false;
    }
    return version->generation >= spread->wanted.generation;
}

void
bv_config_fetcher_handle_version(bv_config_fetcher_t *spread, int64_t now_us,
                                 const bv_config_version_t *version,
                                 const char *member)
{
    if (version->generation == 0) {
        return;
    }
    gather(spread, now_us, member);
    if (is_news(spread, version)) {
        bool newer = version->generation > spread->wanted.generation;
        if (!newer && version->digest != spread->wanted.digest) {
            report_conflict(spread, version);
            return;
        }
        if (newer) {
            want(spread, version);
        }
        add_name(&spread->sources, member);
        if (newer) {
            fetch(spread, now_us);
        }
    }
    adopt_held(spread, now_us);
}

void
bv_config_fetcher_handle_head(bv_config_fetcher_t *spread, int64_t now_us,
                              const bv_config_version_t *version)
{
    spread->head_known = true;
    if (is_news(spread, version) && !same_version(version, &spread->wanted)) {
        want(spread, version);
        fetch(spread, now_us);
    }
    adopt_held(spread, now_us);
}

bool
bv_config_fetcher_handle_body(bv_config_fetcher_t *spread, int64_t now_us,
                              uint64_t generation, GBytes *body)
{
    if (!is_missing(spread) || generation != spread->wanted.generation) {
        return generation <= spread->wanted.generation;
    }
    if (bv_config_body_digest(body) != spread->wanted.digest) {
        return false;
    }
    spread->held = g_bytes_ref(body);
    adopt_held(spread, now_us);
    return true;
}

static void
poll(bv_config_fetcher_t *spread, int64_t now_us)
{
    const bv_config_fetcher_options_t *options = &spread->options;
    int64_t period_us = spread->in_force.generation > 0
                            ? options->poll_interval_us
                            : FIRST_POLL_US;
    double jitter =
        g_rand_double_range(options->random, JITTER_LOW, JITTER_HIGH);
    spread->poll_due_us = now_us + (int64_t)((double)period_us * jitter);
    options->ops->read_head(options->context);
}

void
bv_config_fetcher_tick(bv_config_fetcher_t *spread, int64_t now_us)
{
    if (now_us >= spread->poll_due_us) {
        poll(spread, now_us);
    }
    if (is_missing(spread) && now_us >= spread->try_due_us) {
        fetch(spread, now_us);
    }
    adopt_held(spread, now_us);
}
