#ifndef BERYLVANE_CORE_LOCAL_TARGET_H
#define BERYLVANE_CORE_LOCAL_TARGET_H

#include "berylvane/core/departure.h"

/*
 * local_target - the state of the target beside a node: whether it may be sent
 * work
 *
 * Handles announcements of other writers and other services, targets that
 * drain, leave or fall silent, targets that accept no connection, and
 * heartbeats that arrive after the departure of their target, also when the
 * departure is the first that a restarted node hears of it, or was announced
 * to an earlier process of the node.
 */

/* A further departure replaces the oldest one. */
#define BV_DEPARTURES_LIMIT 64

typedef struct {
    /* The service that the node's settings name; NULL if they name none. */
    const char *service;
    /* Time without an announcement after which a target counts as silent. */
    int64_t silence_us;
    /*
     * Start of the node's process, by its wall-clock time. A target that
     * started before may have left in an earlier process, and is not used
     * before bv_local_target_end_recall(). 0: there was no earlier process.
     */
    uint64_t node_start_ms;
} bv_local_target_options_t;

/* Only the functions below change the fields. */
typedef struct {
    bv_local_target_options_t options;
    /* The newest announcement of the target; all zero if there is none. */
    bv_announcement_t last_announcement;
    /* An announcement arrived recently; cleared when announcements cease. */
    bool announced;
    /* A connection to the target failed after its last announcement. */
    bool unreachable;
    bool is_recall_ended;
    int64_t announced_us;
    bv_departure_t departures[BV_DEPARTURES_LIMIT];
    /* Departures ever recorded; the next one's place, modulo the limit. */
    uint32_t departure_count;
    /* The departures that are to outlast the process. */
    bv_departures_t latest_departures;
} bv_local_target_t;

/* Initializes the state; `options->service` must outlive it. */
void bv_local_target_init(bv_local_target_t *target,
                          const bv_local_target_options_t *options);

/*
 * Applies an announcement. The target stays as it was if the result is
 * BV_ANNOUNCED_STALE, BV_ANNOUNCED_OTHER_SERVICE or BV_ANNOUNCED_CONFLICT.
 *
 * A departure is recorded, also that of an instance which was not announced
 * before. Its start is not known then, and counts as not later than `wall_ms`,
 * the wall-clock time. Announcements of the recorded start and of earlier ones
 * are stale. A target that begins to drain is recorded too: what it announced
 * before is stale.
 */
bv_announcement_result_t
bv_local_target_apply(bv_local_target_t *target, int64_t now_us,
                      uint64_t wall_ms, const bv_announcement_t *announcement);

/* Whether the departure, or a later one of its instance, was recorded. */
bool bv_local_target_knows_departure(const bv_local_target_t *target,
                                     const bv_departure_t *departure);

/*
 * Records a departure that was announced to an earlier process of the node.
 * Returns whether it takes the present target out.
 */
bool bv_local_target_recall(bv_local_target_t *target,
                            const bv_departure_t *departure);

/*
 * Lets the target be used: departures are known as far as they can be. Returns
 * whether the target has just become usable.
 */
bool bv_local_target_end_recall(bv_local_target_t *target);

/* Whether the target may be sent new work. */
bool bv_local_target_is_usable(const bv_local_target_t *target);

/* Whether the target drains or has left, so that no queued work may start. */
bool bv_local_target_is_leaving(const bv_local_target_t *target);

/*
 * Marks the target as silent if its announcements have ceased; returns whether
 * it has just become silent.
 */
bool bv_local_target_check_silence(bv_local_target_t *target, int64_t now_us);

/*
 * Marks the target as unreachable until its next announcement; returns whether
 * it was usable before.
 */
bool bv_local_target_set_unreachable(bv_local_target_t *target);

#endif
