#include "berylvane/core/local_target.h"

#include <string.h>

void
bv_local_target_init(bv_local_target_t *target,
                     const bv_local_target_options_t *options)
{
    memset(target, 0, sizeof(*target));
    target->options = *options;
}

static bool
is_of_other_service(const bv_local_target_t *target,
                    const bv_announcement_t *announcement)
{
    return target->options.service != NULL &&
           announcement->state != BV_ANNOUNCED_LEFT &&
           strcmp(target->options.service, announcement->service) != 0;
}

/* Returns the place of the instance's departure; -1 if there is none. */
static int
find_departure(const bv_local_target_t *target, uint64_t instance_digest)
{
    uint32_t count = MIN(target->departure_count, BV_DEPARTURES_LIMIT);
    for (uint32_t i = 0; i < count; i++) {
        if (target->departures[i].instance_digest == instance_digest) {
            return (int)i;
        }
    }
    return -1;
}

bool
bv_local_target_knows_departure(const bv_local_target_t *target,
                                const bv_departure_t *departure)
{
    int place = find_departure(target, departure->instance_digest);
    return place >= 0 &&
           bv_departure_includes(&target->departures[place], departure);
}

/* Returns false if the departure, or a later one, was recorded before. */
static bool
record_departure(bv_local_target_t *target, const bv_departure_t *departure)
{
    if (bv_local_target_knows_departure(target, departure)) {
        return false;
    }
    int place = find_departure(target, departure->instance_digest);
    if (place < 0) {
        place = (int)(target->departure_count++ % BV_DEPARTURES_LIMIT);
    }
    target->departures[place] = *departure;
    bv_departures_add(&target->latest_departures, departure);
    return true;
}

static uint64_t
last_start_ms(const bv_local_target_t *target, const char *instance,
              uint64_t wall_ms)
{
    const bv_announcement_t *newest = &target->last_announcement;
    bool is_known = newest->incarnation_start_ms != 0 &&
                    strcmp(newest->instance, instance) == 0;
    return is_known ? newest->incarnation_start_ms : wall_ms;
}

static void
record_leaving(bv_local_target_t *target, const char *instance,
               uint64_t wall_ms)
{
    bv_departure_t departure = {
        .instance_digest = bv_departure_digest(instance),
        .start_ms = last_start_ms(target, instance, wall_ms),
        .sequence = BV_DEPARTURE_WHOLE_START,
    };
    record_departure(target, &departure);
}

/*
 * Records that the target drains. Without a start or a sequence, earlier and
 * later announcements cannot be told apart.
 */
static void
record_draining(bv_local_target_t *target)
{
    const bv_announcement_t *newest = &target->last_announcement;
    if (newest->incarnation_start_ms == 0 || newest->sequence == 0) {
        return;
    }
    bv_departure_t departure = {
        .instance_digest = bv_departure_digest(newest->instance),
        .start_ms = newest->incarnation_start_ms,
        .sequence = newest->sequence,
    };
    record_departure(target, &departure);
}

static bool
has_departed(const bv_local_target_t *target,
             const bv_announcement_t *announcement)
{
    int place =
        find_departure(target, bv_departure_digest(announcement->instance));
    return place >= 0 &&
           bv_departure_covers(&target->departures[place], announcement);
}

bv_announcement_result_t
bv_local_target_apply(bv_local_target_t *target, int64_t now_us,
                      uint64_t wall_ms, const bv_announcement_t *announcement)
{
    if (announcement->state == BV_ANNOUNCED_LEFT) {
        record_leaving(target, announcement->instance, wall_ms);
    }
    else if (has_departed(target, announcement)) {
        return BV_ANNOUNCED_STALE;
    }
    if (is_of_other_service(target, announcement)) {
        return BV_ANNOUNCED_OTHER_SERVICE;
    }
    bool was_usable = bv_local_target_is_usable(target);
    bool was_leaving = bv_local_target_is_leaving(target);
    bv_announcement_result_t result =
        bv_announcement_apply(&target->last_announcement, announcement);
    if (result != BV_ANNOUNCED_RENEWED && result != BV_ANNOUNCED_CHANGED) {
        return result;
    }
    target->announced_us = now_us;
    target->announced = true;
    target->unreachable = false;
    if (announcement->state == BV_ANNOUNCED_DRAINING &&
        (!was_leaving || result == BV_ANNOUNCED_CHANGED)) {
        record_draining(target);
    }
    return was_usable ? result : BV_ANNOUNCED_CHANGED;
}

bool
bv_local_target_recall(bv_local_target_t *target,
                       const bv_departure_t *departure)
{
    bv_announcement_t *newest = &target->last_announcement;
    bool is_new = record_departure(target, departure);
    if (!is_new || newest->state == BV_ANNOUNCED_LEFT ||
        !bv_departure_covers(departure, newest)) {
        return false;
    }
    bool has_left = departure->sequence == BV_DEPARTURE_WHOLE_START ||
                    newest->incarnation_start_ms < departure->start_ms;
    newest->state = has_left ? BV_ANNOUNCED_LEFT : BV_ANNOUNCED_DRAINING;
    return true;
}

bool
bv_local_target_end_recall(bv_local_target_t *target)
{
    bool was_usable = bv_local_target_is_usable(target);
    target->is_recall_ended = true;
    return !was_usable && bv_local_target_is_usable(target);
}

static bool
is_awaiting_recall(const bv_local_target_t *target)
{
    uint64_t start_ms = target->last_announcement.incarnation_start_ms;
    return !target->is_recall_ended && start_ms != 0 &&
           start_ms <= target->options.node_start_ms;
}

bool
bv_local_target_is_usable(const bv_local_target_t *target)
{
    return target->announced && !target->unreachable &&
           !is_awaiting_recall(target) &&
           target->last_announcement.state == BV_ANNOUNCED_READY;
}

bool
bv_local_target_is_leaving(const bv_local_target_t *target)
{
    return target->last_announcement.state != BV_ANNOUNCED_READY;
}

bool
bv_local_target_check_silence(bv_local_target_t *target, int64_t now_us)
{
    if (!target->announced ||
        now_us - target->announced_us <= target->options.silence_us) {
        return false;
    }
    target->announced = false;
    return true;
}

bool
bv_local_target_set_unreachable(bv_local_target_t *target)
{
    if (!bv_local_target_is_usable(target)) {
        return false;
    }
    target->unreachable = true;
    return true;
}
