#ifndef BERYLVANE_CORE_DEPARTURE_H
#define BERYLVANE_CORE_DEPARTURE_H

#include "berylvane/core/announcement.h"

/*
 * departure - a target's promise to leave, which outdates what the target
 * announced before
 *
 * A departure names its instance by a digest, so that it has a fixed size and
 * fits into a member's record (membership.h) and into a row of the store. It
 * stays true for ever: an ended start does not return, and an instance that
 * starts again under its name has a later start.
 */

/* `sequence` of a departure that covers all announcements of its start. */
#define BV_DEPARTURE_WHOLE_START UINT64_MAX

typedef struct {
    /* Digest of the instance's name; 0 if there is no departure. */
    uint64_t instance_digest;
    /* The start that leaves, by its wall-clock time; earlier ones have ended.
     */
    uint64_t start_ms;
    /* Announcements of that start up to this sequence number are outdated. */
    uint64_t sequence;
} bv_departure_t;

/* Departures of one node's target that outlast the node's process. */
#define BV_DEPARTURES_KEPT 2

/* Departures with the latest starts, in any order; unused entries come last.
 */
typedef struct {
    bv_departure_t items[BV_DEPARTURES_KEPT];
} bv_departures_t;

uint64_t bv_departure_digest(const char *instance);

/* Whether `announcement` was outdated by the departure. */
bool bv_departure_covers(const bv_departure_t *departure,
                         const bv_announcement_t *announcement);

/* Whether `left` covers all that `right` covers; true if `right` is unused. */
bool bv_departure_includes(const bv_departure_t *left,
                           const bv_departure_t *right);

/*
 * Adds a departure. It replaces an earlier one of the same instance, or, if
 * there is no room, the one with the earliest start. Returns false if the
 * departures stay as they were. In whatever order departures are added, the
 * same ones remain.
 */
bool bv_departures_add(bv_departures_t *departures,
                       const bv_departure_t *departure);

/* Adds the departures of `from` that `departures` does not include. */
void bv_departures_merge(bv_departures_t *departures,
                         const bv_departures_t *from);

/* Whether `left` includes every departure of `right`. */
bool bv_departures_include(const bv_departures_t *left,
                           const bv_departures_t *right);

uint32_t bv_departures_count(const bv_departures_t *departures);

#endif
