#include "quota_floor.h"

#define OVERAGE_SHARE 0.5
#define MEMBERS_MIN 2

void
quota_floor_init(quota_floor_t *floor)
{
    g_queue_init(&floor->uses);
}

void
quota_floor_clear(quota_floor_t *floor)
{
    g_queue_clear_full(&floor->uses, g_free);
}

/* Requests that this node may admit in each window. */
static double
share_of(const bv_quota_limit_t *limit, const bv_quota_bounds_t *bounds,
         uint32_t members)
{
    if (members == 0) {
        return 0;
    }
    return OVERAGE_SHARE * bv_quota_overage(limit, bounds) /
           MAX(members, MEMBERS_MIN);
}

bool
quota_floor_take(quota_floor_t *floor, int64_t now_us,
                 const bv_quota_limit_t *limit,
                 const bv_quota_bounds_t *bounds, uint32_t members)
{
    GQueue *uses = &floor->uses;
    while (uses->length > 0 &&
           now_us - *(int64_t *)uses->head->data >= bounds->window_us) {
        g_free(g_queue_pop_head(uses));
    }
    if (uses->length + 1 > share_of(limit, bounds, members)) {
        return false;
    }
    g_queue_push_tail(uses, g_memdup2(&now_us, sizeof(now_us)));
    return true;
}
