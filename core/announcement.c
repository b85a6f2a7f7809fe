#include "berylvane/core/announcement.h"

#include <string.h>

static bool
has_announcement(const bv_announcement_t *newest)
{
    return newest->port != 0 || newest->instance[0] != '\0';
}

static bv_announcement_result_t
apply_left(bv_announcement_t *newest, const bv_announcement_t *announcement)
{
    if (strcmp(newest->instance, announcement->instance) != 0 ||
        newest->state == BV_ANNOUNCED_LEFT) {
        return BV_ANNOUNCED_STALE;
    }
    newest->state = BV_ANNOUNCED_LEFT;
    return BV_ANNOUNCED_CHANGED;
}

static bool
is_older(const bv_announcement_t *newest,
         const bv_announcement_t *announcement)
{
    bool ordered = newest->incarnation_start_ms != 0 &&
                   announcement->incarnation_start_ms != 0;
    if (ordered &&
        announcement->incarnation_start_ms != newest->incarnation_start_ms) {
        return announcement->incarnation_start_ms <
               newest->incarnation_start_ms;
    }
    if (strcmp(newest->instance, announcement->instance) != 0) {
        return false;
    }
    return announcement->sequence != 0 &&
           announcement->sequence <= newest->sequence;
}

static bool
has_same_content(const bv_announcement_t *newest,
                 const bv_announcement_t *announcement)
{
    return strcmp(newest->instance, announcement->instance) == 0 &&
           strcmp(newest->service, announcement->service) == 0 &&
           strcmp(newest->address, announcement->address) == 0 &&
           newest->port == announcement->port &&
           newest->slots == announcement->slots &&
           newest->state == announcement->state &&
           newest->incarnation_start_ms == announcement->incarnation_start_ms;
}

/* A target that has left returns only with a new start of its incarnation. */
static bool
is_after_leaving(const bv_announcement_t *newest,
                 const bv_announcement_t *announcement)
{
    return newest->state == BV_ANNOUNCED_LEFT &&
           strcmp(newest->instance, announcement->instance) == 0 &&
           newest->incarnation_start_ms == announcement->incarnation_start_ms;
}

static bool
is_in_conflict(const bv_announcement_t *newest,
               const bv_announcement_t *announcement)
{
    return newest->incarnation_start_ms != 0 &&
           newest->incarnation_start_ms ==
               announcement->incarnation_start_ms &&
           strcmp(newest->instance, announcement->instance) == 0 &&
           (strcmp(newest->service, announcement->service) != 0 ||
            strcmp(newest->address, announcement->address) != 0 ||
            newest->port != announcement->port);
}

bv_announcement_result_t
bv_announcement_apply(bv_announcement_t *newest,
                      const bv_announcement_t *announcement)
{
    if (announcement->state == BV_ANNOUNCED_LEFT) {
        return apply_left(newest, announcement);
    }
    if (is_in_conflict(newest, announcement)) {
        return BV_ANNOUNCED_CONFLICT;
    }
    if (has_announcement(newest) && (is_older(newest, announcement) ||
                                     is_after_leaving(newest, announcement))) {
        return BV_ANNOUNCED_STALE;
    }
    bool same =
        has_announcement(newest) && has_same_content(newest, announcement);
    *newest = *announcement;
    return same ? BV_ANNOUNCED_RENEWED : BV_ANNOUNCED_CHANGED;
}
