#ifndef BERYLVANE_CORE_ANNOUNCEMENT_H
#define BERYLVANE_CORE_ANNOUNCEMENT_H

#include "berylvane/core/types.h"

/*
 * announcement - the newest announcement of the local target
 *
 * Announcements can arrive late and out of order, and can come from an
 * incarnation that has ended. Incarnations are ordered by their start time,
 * announcements of one incarnation by their sequence number. In both fields 0
 * means that the target did not send a value.
 */
#define BV_INSTANCE_BYTES 128

typedef enum {
    BV_ANNOUNCED_READY,
    BV_ANNOUNCED_DRAINING,
    BV_ANNOUNCED_LEFT,
} bv_announcement_state_t;

typedef struct {
    /* Name of the target's incarnation; empty if the target sends none. */
    char instance[BV_INSTANCE_BYTES];
    char service[BV_SERVICE_BYTES];
    char address[BV_ADDRESS_BYTES];
    uint16_t port;
    /* Calls that the target can run at the same time. */
    uint32_t slots;
    bv_announcement_state_t state;
    /* Wall-clock start of the incarnation. */
    uint64_t incarnation_start_ms;
    uint64_t sequence;
    /* Remaining time in which the target is slow after its start. */
    int64_t cold_start_us;
} bv_announcement_t;

typedef enum {
    /* Older than the newest announcement, which stays as it was. */
    BV_ANNOUNCED_STALE,
    /* Newer, from the same incarnation, without a change for callers. */
    BV_ANNOUNCED_RENEWED,
    /* The incarnation, state, service, address, port or slots changed. */
    BV_ANNOUNCED_CHANGED,
    /* Names another service than the node's; see local_target.h. */
    BV_ANNOUNCED_OTHER_SERVICE,
    /*
     * States another service or address than `newest` for the same start of
     * the same instance, which a target does not change.
     */
    BV_ANNOUNCED_CONFLICT,
} bv_announcement_result_t;

/*
 * Compares `announcement` with `newest` (all zero if there is none yet) and
 * copies it to `newest` unless it is stale or in conflict. An announcement in
 * the state BV_ANNOUNCED_LEFT carries only the instance name: it is stale
 * unless `newest` has that name and has not left, and changes only its state.
 */
bv_announcement_result_t
bv_announcement_apply(bv_announcement_t *newest,
                      const bv_announcement_t *announcement);

#endif
