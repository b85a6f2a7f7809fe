#include "berylvane/core/quota_window.h"

#include <glib.h>
#include <string.h>

void
bv_quota_window_init(bv_quota_window_t *window, int64_t length_us)
{
    memset(window, 0, sizeof(*window));
    /* One slot is in progress. */
    window->slot_us = MAX(1, length_us / (BV_QUOTA_WINDOW_SLOTS - 1));
}

static uint32_t *
slot_at(bv_quota_window_t *window, int64_t slot)
{
    return &window->counts[slot % BV_QUOTA_WINDOW_SLOTS];
}

static void
advance(bv_quota_window_t *window, int64_t now_us)
{
    int64_t slot = now_us / window->slot_us;
    int64_t first =
        MAX(window->newest_slot + 1, slot - BV_QUOTA_WINDOW_SLOTS + 1);
    for (int64_t i = first; i <= slot; i++) {
        window->total -= *slot_at(window, i);
        *slot_at(window, i) = 0;
    }
    window->newest_slot = MAX(window->newest_slot, slot);
}

void
bv_quota_window_add(bv_quota_window_t *window, int64_t now_us,
                    uint32_t permits)
{
    advance(window, now_us);
    *slot_at(window, window->newest_slot) += permits;
    window->total += permits;
}

uint64_t
bv_quota_window_count(bv_quota_window_t *window, int64_t now_us)
{
    advance(window, now_us);
    return window->total;
}

int64_t
bv_quota_window_wait_us(bv_quota_window_t *window, int64_t now_us)
{
    advance(window, now_us);
    int64_t oldest = window->newest_slot - BV_QUOTA_WINDOW_SLOTS + 1;
    for (int64_t i = MAX(0, oldest); i <= window->newest_slot; i++) {
        if (*slot_at(window, i) > 0) {
            int64_t leaves_us = (i + BV_QUOTA_WINDOW_SLOTS) * window->slot_us;
            return MAX(0, leaves_us - now_us);
        }
    }
    return 0;
}
