#include "membership_internal.h"

#define MASS_SUSPICION_LEAST 4
#define SUSPECT_SCALE 4
#define FAILURES_IN_A_ROW 4
#define WARN_INTERVALS 2
#define TELL_SUSPECTS 3

static void
set_state(bv_membership_t *membership, int64_t now_us, const entry_t *entry,
          bv_member_state_t state)
{
    bv_member_t record = entry->member;
    record.state = state;
    membership_take(membership, now_us, &record, true);
}

/*
 * A draining member keeps its state, and one of a tier that this node is cut
 * off from too: then the suspicion is not told to others.
 */
void
membership_suspect(bv_membership_t *membership, int64_t now_us, entry_t *entry)
{
    if (entry->suspect_since_us != 0) {
        return;
    }
    if (entry->member.state == BV_MEMBER_ALIVE &&
        !membership->health[membership_tier_of(membership, entry)].cut_off) {
        set_state(membership, now_us, entry, BV_MEMBER_SUSPECT);
        entry->probe_failed = true;
        return;
    }
    if (membership_is_present(entry)) {
        entry->suspect_since_us = now_us;
    }
}

void
membership_record_probe(bv_membership_t *membership, const entry_t *entry,
                        bool failed)
{
    membership->health[membership_tier_of(membership, entry)].last_failed =
        failed;
    membership->failures_in_a_row =
        failed ? membership->failures_in_a_row + 1 : 0;
}

bool
bv_membership_is_cut_off(const bv_membership_t *membership)
{
    for (tier_t tier = 0; tier < TIER_GONE; tier++) {
        if (membership->health[tier].cut_off) {
            return true;
        }
    }
    return false;
}

typedef struct {
    uint32_t present;
    uint32_t suspects;
} tier_count_t;

/*
 * A large share of a tier is suspect, and this node's own newest probe there
 * failed too; or no probe at all is answered any more.
 */
static bool
is_mass_suspicion(const bv_membership_t *membership, tier_t tier,
                  const tier_count_t *count, uint32_t suspects)
{
    if (suspects < MASS_SUSPICION_LEAST) {
        return false;
    }
    if (membership->failures_in_a_row >= FAILURES_IN_A_ROW) {
        return true;
    }
    return membership->health[tier].last_failed &&
           count->suspects >= MASS_SUSPICION_LEAST &&
           count->suspects * 100 >=
               count->present * membership->options.mass_suspicion_percent;
}

static int64_t
suspect_timeout_us(const bv_membership_t *membership)
{
    int64_t scale = SUSPECT_SCALE;
    int64_t bits = 1;
    for (guint size = membership->order->len; size > 1; size /= 2) {
        bits++;
    }
    return membership->options.suspect_timeout_us * MAX(bits, scale) / scale;
}

/* Back in touch: what was suspected meanwhile is judged afresh. */
static void
drop_suspicions(bv_membership_t *membership, tier_t tier)
{
    const bv_membership_options_t *options = &membership->options;
    for (guint i = 0; i < membership->order->len; i++) {
        entry_t *entry = membership->order->pdata[i];
        if (entry->suspect_since_us == 0 ||
            membership_tier_of(membership, entry) != tier) {
            continue;
        }
        entry->suspect_since_us = 0;
        if (entry->member.state == BV_MEMBER_SUSPECT) {
            entry->member.state = BV_MEMBER_ALIVE;
            entry->spread_left = 0;
            options->ops->member_changed(options->context, &entry->member);
        }
    }
}

static void
judge_tier(bv_membership_t *membership, int64_t now_us, tier_t tier,
           bool cut_off)
{
    tier_health_t *health = &membership->health[tier];
    bool was = health->cut_off;
    health->cut_off = cut_off;
    if (cut_off && !was) {
        health->cut_off_since_us = now_us;
    }
    if (was && !cut_off &&
        now_us - health->cut_off_since_us >= suspect_timeout_us(membership)) {
        drop_suspicions(membership, tier);
    }
}

static void
judge_tiers(bv_membership_t *membership, int64_t now_us)
{
    tier_count_t counts[TIER_END] = {0};
    uint32_t suspects = 0;
    for (guint i = 0; i < membership->order->len; i++) {
        const entry_t *entry = membership->order->pdata[i];
        tier_count_t *count = &counts[membership_tier_of(membership, entry)];
        count->present++;
        count->suspects += entry->suspect_since_us != 0;
        suspects += entry->suspect_since_us != 0;
    }
    for (tier_t tier = 0; tier < TIER_GONE; tier++) {
        judge_tier(
            membership, now_us, tier,
            is_mass_suspicion(membership, tier, &counts[tier], suspects));
    }
}

/* A suspect must hear of it to refute it. */
void
membership_tell_suspects(bv_membership_t *membership)
{
    uint32_t told = 0;
    for (guint i = 0; i < membership->order->len && told < TELL_SUSPECTS;
         i++) {
        const entry_t *entry = membership->order->pdata[i];
        if (entry->probe_failed && entry->suspect_since_us != 0) {
            membership_send(membership, &entry->member, BV_GOSSIP_PING,
                            ++membership->sequence, NULL);
            told++;
        }
    }
}

/* Nobody is declared dead unless this node has told it of the suspicion. */
static void
warn(bv_membership_t *membership, int64_t now_us, entry_t *entry)
{
    entry->warned = true;
    entry->suspect_since_us =
        now_us - suspect_timeout_us(membership) +
        WARN_INTERVALS * membership->options.probe_interval_us;
    membership_send(membership, &entry->member, BV_GOSSIP_PING,
                    ++membership->sequence, NULL);
}

/* While cut off, the suspicion's time starts anew. */
void
membership_judge_suspects(bv_membership_t *membership, int64_t now_us)
{
    judge_tiers(membership, now_us);
    int64_t timeout_us = suspect_timeout_us(membership);
    for (guint i = 0; i < membership->order->len; i++) {
        entry_t *entry = membership->order->pdata[i];
        if (entry->suspect_since_us == 0) {
            continue;
        }
        if (membership->health[membership_tier_of(membership, entry)]
                .cut_off) {
            entry->suspect_since_us = now_us;
        }
        else if (now_us - entry->suspect_since_us < timeout_us) {
            continue;
        }
        else if (!entry->warned && !entry->probe_failed) {
            warn(membership, now_us, entry);
        }
        else {
            set_state(membership, now_us, entry, BV_MEMBER_DEAD);
        }
    }
}
