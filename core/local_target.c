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

static bv_departure_t *
find_departure(bv_local_target_t *target, const char *instance)
{
    uint32_t count = MIN(target->departure_count, BV_DEPARTURES_LIMIT);
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(target->departures[i].instance, instance) == 0) {
            return &target->departures[i];
        }
    }
    return NULL;
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
record_departure(bv_local_target_t *target, const char *instance,
                 uint64_t wall_ms)
{
    bv_departure_t *departure = find_departure(target, instance);
    if (departure == NULL) {
        uint32_t place = target->departure_count++ % BV_DEPARTURES_LIMIT;
        departure = &target->departures[place];
        g_strlcpy(departure->instance, instance, BV_INSTANCE_BYTES);
        departure->last_start_ms = 0;
    }
    departure->last_start_ms = MAX(departure->last_start_ms,
                                   last_start_ms(target, instance, wall_ms));
}

static bool
has_departed(bv_local_target_t *target, const bv_announcement_t *announcement)
{
    const bv_departure_t *departure =
        find_departure(target, announcement->instance);
    return departure != NULL &&
           announcement->incarnation_start_ms <= departure->last_start_ms;
}

bv_announcement_result_t
bv_local_target_apply(bv_local_target_t *target, int64_t now_us,
                      uint64_t wall_ms, const bv_announcement_t *announcement)
{
    if (announcement->state == BV_ANNOUNCED_LEFT) {
        record_departure(target, announcement->instance, wall_ms);
    }
    else if (has_departed(target, announcement)) {
        return BV_ANNOUNCED_STALE;
    }
    if (is_of_other_service(target, announcement)) {
        return BV_ANNOUNCED_OTHER_SERVICE;
    }
    bool was_usable = bv_local_target_is_usable(target);
    bv_announcement_result_t result =
        bv_announcement_apply(&target->last_announcement, announcement);
    if (result != BV_ANNOUNCED_RENEWED && result != BV_ANNOUNCED_CHANGED) {
        return result;
    }
    target->announced_us = now_us;
    target->announced = true;
    target->unreachable = false;
    return was_usable ? result : BV_ANNOUNCED_CHANGED;
}

bool
bv_local_target_is_usable(const bv_local_target_t *target)
{
    return target->announced && !target->unreachable &&
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
