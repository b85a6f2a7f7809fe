#include "membership_internal.h"

/* Fewer suspects are not taken as a sign that this node is cut off. */
#define MASS_SUSPICION_MIN 4
/* The timeout grows with the bits of the member count above this number. */
#define SUSPECT_TIMEOUT_BITS 4
/* Unanswered probes in a row after which this node counts as cut off. */
#define CONSECUTIVE_FAILURES_LIMIT 4
/* Probe intervals that a suspect has to answer the last ping. */
#define WARNING_INTERVALS 2
#define SUSPECT_PINGS_LIMIT 3

static void
set_state(bv_membership_t *membership, int64_t now_us, const entry_t *entry,
          bv_member_state_t state)
{
    bv_member_t record = entry->member;
    record.state = state;
    membership_apply_record(membership, now_us, &record, true);
}

void
membership_suspect(bv_membership_t *membership, int64_t now_us, entry_t *entry)
{
    if (entry->suspect_since_us != 0) {
        return;
    }
    if (entry->member.state == BV_MEMBER_ALIVE &&
        !membership->health[membership_tier_of(membership, entry)]
             .is_cut_off) {
        set_state(membership, now_us, entry, BV_MEMBER_SUSPECT);
        entry->has_failed_probe = true;
        return;
    }
    if (membership_is_present(entry)) {
        entry->suspect_since_us = now_us;
    }
}

void
membership_record_probe_result(bv_membership_t *membership,
                               const entry_t *entry, bool failed)
{
    membership->health[membership_tier_of(membership, entry)]
        .last_probe_failed = failed;
    membership->consecutive_failures =
        failed ? membership->consecutive_failures + 1 : 0;
}

bool
bv_membership_is_cut_off(const bv_membership_t *membership)
{
    for (tier_t tier = 0; tier < TIER_GONE; tier++) {
        if (membership->health[tier].is_cut_off) {
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
 * Returns whether this node rather than the suspected members is at fault: a
 * large share of a tier is suspected and this node's latest probe of that tier
 * failed too, or the last probes, whatever their tiers, have all failed.
 */
static bool
is_mass_suspicion(const bv_membership_t *membership, tier_t tier,
                  const tier_count_t *count, uint32_t suspects)
{
    if (suspects < MASS_SUSPICION_MIN) {
        return false;
    }
    if (membership->consecutive_failures >= CONSECUTIVE_FAILURES_LIMIT) {
        return true;
    }
    return membership->health[tier].last_probe_failed &&
           count->suspects >= MASS_SUSPICION_MIN &&
           count->suspects * 100 >=
               count->present * membership->options.mass_suspicion_percent;
}

static int64_t
suspect_timeout_us(const bv_membership_t *membership)
{
    int64_t scale = SUSPECT_TIMEOUT_BITS;
    int64_t bits = 1;
    for (guint size = membership->probe_order->len; size > 1; size /= 2) {
        bits++;
    }
    return membership->options.suspect_timeout_us * MAX(bits, scale) / scale;
}

/*
 * Ends all suspicions in a tier that this node can reach again: while it was
 * cut off, unanswered probes proved nothing about the members.
 */
static void
clear_tier_suspicions(bv_membership_t *membership, tier_t tier)
{
    const bv_membership_options_t *options = &membership->options;
    for (guint i = 0; i < membership->probe_order->len; i++) {
        entry_t *entry = membership->probe_order->pdata[i];
        if (entry->suspect_since_us == 0 ||
            membership_tier_of(membership, entry) != tier) {
            continue;
        }
        entry->suspect_since_us = 0;
        if (entry->member.state == BV_MEMBER_SUSPECT) {
            entry->member.state = BV_MEMBER_ALIVE;
            entry->sends_left = 0;
            options->ops->member_changed(options->context, &entry->member);
        }
    }
}

static void
update_tier(bv_membership_t *membership, int64_t now_us, tier_t tier,
            bool cut_off)
{
    tier_health_t *health = &membership->health[tier];
    bool was_cut_off = health->is_cut_off;
    health->is_cut_off = cut_off;
    if (cut_off && !was_cut_off) {
        health->cut_off_since_us = now_us;
    }
    if (was_cut_off && !cut_off &&
        now_us - health->cut_off_since_us >= suspect_timeout_us(membership)) {
        clear_tier_suspicions(membership, tier);
    }
}

static void
update_tiers(bv_membership_t *membership, int64_t now_us)
{
    tier_count_t counts[TIER_END] = {0};
    uint32_t suspects = 0;
    for (guint i = 0; i < membership->probe_order->len; i++) {
        const entry_t *entry = membership->probe_order->pdata[i];
        tier_count_t *count = &counts[membership_tier_of(membership, entry)];
        count->present++;
        count->suspects += entry->suspect_since_us != 0;
        suspects += entry->suspect_since_us != 0;
    }
    for (tier_t tier = 0; tier < TIER_GONE; tier++) {
        update_tier(
            membership, now_us, tier,
            is_mass_suspicion(membership, tier, &counts[tier], suspects));
    }
}

void
membership_ping_suspects(bv_membership_t *membership)
{
    uint32_t pinged = 0;
    for (guint i = 0;
         i < membership->probe_order->len && pinged < SUSPECT_PINGS_LIMIT;
         i++) {
        const entry_t *entry = membership->probe_order->pdata[i];
        if (entry->has_failed_probe && entry->suspect_since_us != 0) {
            membership_send(membership, &entry->member, BV_GOSSIP_PING,
                            ++membership->sequence, NULL);
            pinged++;
        }
    }
}

/*
 * Sends a suspect its record a last time: a member is not declared dead unless
 * this node itself has notified the member of the suspicion.
 */
static void
warn_suspect(bv_membership_t *membership, int64_t now_us, entry_t *entry)
{
    entry->was_warned = true;
    entry->suspect_since_us =
        now_us - suspect_timeout_us(membership) +
        WARNING_INTERVALS * membership->options.probe_interval_us;
    membership_send(membership, &entry->member, BV_GOSSIP_PING,
                    ++membership->sequence, NULL);
}

/*
 * While this node is cut off from a member's tier, the time of the member's
 * suspicion is restarted, so that the member is not evicted.
 */
void
membership_evict_suspects(bv_membership_t *membership, int64_t now_us)
{
    update_tiers(membership, now_us);
    int64_t timeout_us = suspect_timeout_us(membership);
    for (guint i = 0; i < membership->probe_order->len; i++) {
        entry_t *entry = membership->probe_order->pdata[i];
        if (entry->suspect_since_us == 0) {
            continue;
        }
        if (membership->health[membership_tier_of(membership, entry)]
                .is_cut_off) {
            entry->suspect_since_us = now_us;
        }
        else if (now_us - entry->suspect_since_us < timeout_us) {
            continue;
        }
        else if (!entry->was_warned && !entry->has_failed_probe) {
            warn_suspect(membership, now_us, entry);
        }
        else {
            set_state(membership, now_us, entry, BV_MEMBER_DEAD);
        }
    }
}
