#include "berylvane/core/peer_intake.h"

#include "berylvane/common/clock.h"

#include <stddef.h>

/*
 * Longest time without reading. Peers take a node that answers nothing for
 * longer for silent and open further connections to it.
 */
#define PAUSE_LIMIT_US (100 * BV_US_PER_MS)

void
bv_peer_intake_update(bv_peer_intake_t *intake, int64_t now_us,
                      const bv_memory_budget_t *budget, uint64_t queued_bytes)
{
    bv_byte_level_t level = bv_memory_budget_level(budget);
    bool is_relieved_by_waiting =
        level == BV_BYTES_FULL &&
        bv_memory_budget_can_relieve(budget, queued_bytes);
    intake->is_limited = level != BV_BYTES_NORMAL;
    if (!is_relieved_by_waiting) {
        intake->is_paused = false;
        intake->is_full = false;
        return;
    }
    if (!intake->is_full) {
        intake->is_full = true;
        intake->pauses++;
        intake->paused_us = now_us;
    }
    intake->is_paused = now_us - intake->paused_us < PAUSE_LIMIT_US;
    if (!intake->is_paused) {
        intake->paused_us = now_us;
    }
}

size_t
bv_peer_intake_bytes(const bv_peer_intake_t *intake, size_t small_bytes)
{
    if (intake->is_paused) {
        return 0;
    }
    return intake->is_limited ? small_bytes : SIZE_MAX;
}
