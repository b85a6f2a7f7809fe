#include "berylvane/core/departure.h"

#include <string.h>
#include <xxhash.h>

uint64_t
bv_departure_digest(const char *instance)
{
    uint64_t digest = XXH3_64bits(instance, strlen(instance));
    return digest != 0 ? digest : 1;
}

bool
bv_departure_covers(const bv_departure_t *departure,
                    const bv_announcement_t *announcement)
{
    uint64_t start_ms = announcement->incarnation_start_ms;
    if (departure->instance_digest == 0 ||
        departure->instance_digest !=
            bv_departure_digest(announcement->instance)) {
        return false;
    }
    if (start_ms != departure->start_ms) {
        return start_ms < departure->start_ms;
    }
    bool is_ordered = announcement->sequence != 0;
    return departure->sequence == BV_DEPARTURE_WHOLE_START ||
           (is_ordered && announcement->sequence <= departure->sequence);
}

bool
bv_departure_includes(const bv_departure_t *left, const bv_departure_t *right)
{
    if (right->instance_digest == 0) {
        return true;
    }
    if (left->instance_digest != right->instance_digest) {
        return false;
    }
    return left->start_ms > right->start_ms ||
           (left->start_ms == right->start_ms &&
            left->sequence >= right->sequence);
}

static bool
includes_one(const bv_departures_t *departures,
             const bv_departure_t *departure)
{
    for (uint32_t i = 0; i < BV_DEPARTURES_KEPT; i++) {
        if (bv_departure_includes(&departures->items[i], departure)) {
            return true;
        }
    }
    return false;
}

/*
 * Returns the place of a new departure: that of its instance, a free one, or
 * that of the earliest start; BV_DEPARTURES_KEPT if all starts are later.
 */
static uint32_t
find_place(const bv_departures_t *departures, const bv_departure_t *departure)
{
    uint32_t count = bv_departures_count(departures);
    uint32_t earliest = 0;
    for (uint32_t i = 0; i < count; i++) {
        const bv_departure_t *item = &departures->items[i];
        if (item->instance_digest == departure->instance_digest) {
            return i;
        }
        if (item->start_ms < departures->items[earliest].start_ms) {
            earliest = i;
        }
    }
    if (count < BV_DEPARTURES_KEPT) {
        return count;
    }
    bool is_later = departure->start_ms > departures->items[earliest].start_ms;
    return is_later ? earliest : BV_DEPARTURES_KEPT;
}

bool
bv_departures_add(bv_departures_t *departures, const bv_departure_t *departure)
{
    if (includes_one(departures, departure)) {
        return false;
    }
    uint32_t place = find_place(departures, departure);
    if (place == BV_DEPARTURES_KEPT) {
        return false;
    }
    departures->items[place] = *departure;
    return true;
}

void
bv_departures_merge(bv_departures_t *departures, const bv_departures_t *from)
{
    for (uint32_t i = 0; i < BV_DEPARTURES_KEPT; i++) {
        bv_departures_add(departures, &from->items[i]);
    }
}

bool
bv_departures_include(const bv_departures_t *left,
                      const bv_departures_t *right)
{
    for (uint32_t i = 0; i < BV_DEPARTURES_KEPT; i++) {
        if (!includes_one(left, &right->items[i])) {
            return false;
        }
    }
    return true;
}

uint32_t
bv_departures_count(const bv_departures_t *departures)
{
    uint32_t count = 0;
    while (count < BV_DEPARTURES_KEPT &&
           departures->items[count].instance_digest != 0) {
        count++;
    }
    return count;
}
