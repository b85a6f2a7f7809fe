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

bv_announcement_result_t
bv_local_target_apply(bv_local_target_t *target, int64_t now_us,
                      const bv_announcement_t *announcement)
{
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
