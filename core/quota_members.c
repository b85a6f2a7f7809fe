#include "berylvane/core/quota_members.h"

#include <string.h>
#include <xxhash.h>

/*
 * Time for which a dead member counts as one that may be cut off. A longer
 * time would keep a node from lending after most members were replaced under
 * other names.
 */
#define DEAD_MEMBER_COUNTED_US (INT64_C(120) * 1000000)
/* Time after which a dead member is removed from the list. */
#define FORGET_AFTER_US (INT64_C(3600) * 1000000)
/* Interval of checks that no change of a member causes. */
#define CHECK_US 100000

typedef struct {
    char name[BV_NAME_BYTES];
    uint64_t hash;
    uint64_t incarnation;
    /* Time from which a present member may be chosen. */
    int64_t settled_us;
    /* Time at which a member that is not present was seen as dead. */
    int64_t died_us;
    bool is_settled;
    bool is_present;
    bool is_suspect;
} candidate_t;

struct bv_quota_members {
    bv_quota_members_options_t options;
    /* Of candidate_t; the first is this node. Dead members stay. */
    GArray *candidates;
    int64_t started_us;
    int64_t last_tick_us;
    /* Least time at which a candidate is to be chosen from or forgotten. */
    int64_t due_us;
    int64_t since_us;
    uint32_t most_seen;
    bool has_changed;
    /* Whether this node is in the smaller part, and when to check it next. */
    bool is_minority;
    int64_t check_due_us;
};

static uint64_t
hash_of(const char *name)
{
    return XXH3_64bits(name, strlen(name));
}

/* Time from which a candidate may be chosen, or a dead one is forgotten. */
static int64_t
next_due_us(const candidate_t *candidate)
{
    return candidate->is_present ? candidate->settled_us
                                 : candidate->died_us + FORGET_AFTER_US;
}

static candidate_t *
candidate_at(const bv_quota_members_t *members, guint index)
{
    return &g_array_index(members->candidates, candidate_t, index);
}

static candidate_t *
self_of(const bv_quota_members_t *members)
{
    return candidate_at(members, 0);
}

bv_quota_members_t *
bv_quota_members_create(const bv_quota_members_options_t *options,
                        int64_t now_us)
{
    bv_quota_members_t *members = g_new0(bv_quota_members_t, 1);
    members->options = *options;
    members->candidates = g_array_new(FALSE, TRUE, sizeof(candidate_t));
    candidate_t self = {
        .hash = hash_of(options->name),
        .incarnation = options->incarnation,
        .settled_us = now_us + options->own_settle_us,
        .is_present = true,
    };
    g_strlcpy(self.name, options->name, BV_NAME_BYTES);
    g_array_append_val(members->candidates, self);
    members->started_us = now_us;
    members->last_tick_us = now_us;
    members->since_us = self.settled_us;
    members->most_seen = 1;
    return members;
}

void
bv_quota_members_destroy(bv_quota_members_t *members)
{
    if (members == NULL) {
        return;
    }
    g_array_unref(members->candidates);
    g_free(members);
}

/*
 * Removes a candidate from the choice; other members may take its place, and
 * fill their buckets from `since_us` on.
 */
static void
remove_from_choice(bv_quota_members_t *members, int64_t since_us,
                   candidate_t *candidate)
{
    if (candidate->is_settled) {
        members->since_us = MAX(members->since_us, since_us);
        members->has_changed = true;
    }
    candidate->is_settled = false;
}

static candidate_t *
find_or_add(bv_quota_members_t *members, const char *name)
{
    for (guint i = 1; i < members->candidates->len; i++) {
        if (strcmp(candidate_at(members, i)->name, name) == 0) {
            return candidate_at(members, i);
        }
    }
    candidate_t candidate = {.hash = hash_of(name)};
    g_strlcpy(candidate.name, name, BV_NAME_BYTES);
    g_array_append_val(members->candidates, candidate);
    return candidate_at(members, members->candidates->len - 1);
}

static void
remove_candidate(bv_quota_members_t *members, const char *name)
{
    for (guint i = 1; i < members->candidates->len; i++) {
        if (strcmp(candidate_at(members, i)->name, name) == 0) {
            g_array_remove_index_fast(members->candidates, i);
            return;
        }
    }
}

static uint32_t
count_present(const bv_quota_members_t *members)
{
    uint32_t count = 0;
    for (guint i = 0; i < members->candidates->len; i++) {
        count += candidate_at(members, i)->is_present;
    }
    return count;
}

static void
add_present(bv_quota_members_t *members, int64_t now_us,
            const bv_member_t *record)
{
    candidate_t *candidate = find_or_add(members, record->name);
    candidate->is_suspect = record->state == BV_MEMBER_SUSPECT;
    bool is_new = !candidate->is_present ||
                  candidate->incarnation != record->incarnation;
    if (!is_new) {
        return;
    }
    remove_from_choice(members, now_us + members->options.handover_us,
                       candidate);
    candidate->is_present = true;
    candidate->incarnation = record->incarnation;
    /*
     * A node that has just started lends nothing, so it may choose a member
     * at once; the member decides whether it is the lessor.
     */
    bool has_started = bv_quota_members_has_started(members, now_us);
    candidate->settled_us =
        now_us + (has_started ? members->options.settle_us : 0);
    members->due_us = MIN(members->due_us, candidate->settled_us);
    members->most_seen = MAX(members->most_seen, count_present(members));
}

void
bv_quota_members_update(bv_quota_members_t *members, int64_t now_us,
                        const bv_member_t *record)
{
    members->check_due_us = now_us;
    if (record->state < BV_MEMBER_LEFT) {
        add_present(members, now_us, record);
        return;
    }
    candidate_t *candidate = find_or_add(members, record->name);
    /* A dead member has lent nothing since it was suspected. */
    bool has_left = record->state == BV_MEMBER_LEFT;
    remove_from_choice(members,
                       now_us + (has_left ? members->options.handover_us : 0),
                       candidate);
    candidate->is_present = false;
    candidate->died_us = now_us;
    members->due_us = MIN(members->due_us, next_due_us(candidate));
    if (has_left) {
        remove_candidate(members, record->name);
    }
}

static bool
is_reached(const candidate_t *candidate)
{
    return candidate->is_present && !candidate->is_suspect;
}

/* Whether the member may run, as far as this node knows. */
static bool
is_counted(const candidate_t *candidate, int64_t now_us)
{
    return candidate->is_present ||
           now_us < candidate->died_us + DEAD_MEMBER_COUNTED_US;
}

/*
 * Returns whether this node is in the smaller part of a divided cluster. Of
 * two equal parts, the one with the first name counts as the larger. A suspect
 * counts as not reached: the smaller part must stop lending before the larger
 * one evicts it.
 */
static bool
check_minority(const bv_quota_members_t *members, int64_t now_us)
{
    uint32_t total = 0;
    uint32_t reached = 0;
    const candidate_t *first = self_of(members);
    for (guint i = 0; i < members->candidates->len; i++) {
        const candidate_t *candidate = candidate_at(members, i);
        if (!is_counted(candidate, now_us)) {
            continue;
        }
        total++;
        reached += is_reached(candidate);
        first = strcmp(candidate->name, first->name) < 0 ? candidate : first;
    }
    return reached * 2 < total || (reached * 2 == total && !is_reached(first));
}

static void
apply_due(bv_quota_members_t *members, int64_t now_us)
{
    members->due_us = INT64_MAX;
    for (guint i = members->candidates->len; i-- > 0;) {
        candidate_t *candidate = candidate_at(members, i);
        if (candidate->is_settled) {
            continue;
        }
        if (now_us < next_due_us(candidate)) {
            members->due_us = MIN(members->due_us, next_due_us(candidate));
        }
        else if (candidate->is_present) {
            candidate->is_settled = true;
            members->has_changed = true;
        }
        else {
            g_array_remove_index_fast(members->candidates, i);
        }
    }
}

bool
bv_quota_members_tick(bv_quota_members_t *members, int64_t now_us,
                      bool is_cut_off)
{
    candidate_t *self = self_of(members);
    bool was_suspended =
        now_us - members->last_tick_us >= members->options.suspension_us;
    if (now_us >= members->check_due_us) {
        members->is_minority = check_minority(members, now_us);
        members->check_due_us = now_us + CHECK_US;
    }
    if (was_suspended || is_cut_off || members->is_minority) {
        remove_from_choice(members, now_us, self);
        self->settled_us = now_us + members->options.own_settle_us;
        members->since_us = MAX(members->since_us, self->settled_us);
        members->due_us = MIN(members->due_us, self->settled_us);
    }
    members->last_tick_us = now_us;
    if (now_us >= members->due_us) {
        apply_due(members, now_us);
    }
    bool has_changed = members->has_changed;
    members->has_changed = false;
    return has_changed;
}

/*
 * Mixes the hashes of a part of an account and of a member (finalizer of
 * MurmurHash3).
 */
static uint64_t
score_of(uint64_t part_hash, uint64_t member_hash)
{
    uint64_t value = part_hash ^ member_hash;
    value = (value ^ (value >> 33)) * UINT64_C(0xff51afd7ed558ccd);
    value = (value ^ (value >> 33)) * UINT64_C(0xc4ceb9fe1a85ec53);
    return value ^ (value >> 33);
}

const char *
bv_quota_members_lessor(const bv_quota_members_t *members, const char *account,
                        uint32_t part, uint64_t *incarnation)
{
    uint64_t part_hash = XXH3_64bits_withSeed(account, strlen(account), part);
    uint64_t best_score = 0;
    const candidate_t *best = NULL;
    for (guint i = 0; i < members->candidates->len; i++) {
        const candidate_t *candidate = candidate_at(members, i);
        if (!candidate->is_settled) {
            continue;
        }
        uint64_t score = score_of(part_hash, candidate->hash);
        if (best == NULL || score > best_score) {
            best = candidate;
            best_score = score;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    *incarnation = best->incarnation;
    return best->name;
}

bool
bv_quota_members_is_lessor(const bv_quota_members_t *members,
                           const char *account, uint32_t part)
{
    uint64_t incarnation;
    const char *lessor =
        bv_quota_members_lessor(members, account, part, &incarnation);
    return lessor == self_of(members)->name;
}

int64_t
bv_quota_members_wait_us(const bv_quota_members_t *members, int64_t now_us)
{
    const candidate_t *self = self_of(members);
    return self->is_settled ? 0 : MAX(0, self->settled_us - now_us);
}

int64_t
bv_quota_members_since_us(const bv_quota_members_t *members)
{
    return members->since_us;
}

bool
bv_quota_members_has_started(const bv_quota_members_t *members, int64_t now_us)
{
    return now_us - members->started_us >= members->options.own_settle_us;
}

uint32_t
bv_quota_members_most_seen(const bv_quota_members_t *members)
{
    return members->most_seen;
}
