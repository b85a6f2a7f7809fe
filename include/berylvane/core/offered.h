#ifndef BERYLVANE_CORE_OFFERED_H
#define BERYLVANE_CORE_OFFERED_H

#include "berylvane/core/types.h"

/*
 * offered - the part of a target's slots that arriving work asks for
 *
 * Work counts with the time that it is expected to hold a slot, whether it is
 * then admitted or not, and fades with time. 1 is as much as the target can
 * do; overload shows at once, before a queue has grown.
 */
typedef struct {
    /* Slot time asked for, faded to `at_us`; by class. */
    double asked_us[BV_CLASS_CRITICAL + 1];
    int64_t at_us;
} bv_offered_t;

/* Work of a class arrived that is expected to hold a slot for `slot_us`. */
void bv_offered_add(bv_offered_t *offered, int64_t now_us,
                    bv_class_t importance, int64_t slot_us);

/*
 * The part of `slots` that work of this class and of higher ones asks for;
 * 0 without slots.
 */
double bv_offered_share(const bv_offered_t *offered, int64_t now_us,
                        bv_class_t importance, uint32_t slots);

#endif
