#include "berylvane/core/offered.h"

#include <math.h>

/* Long enough for some hundred arrivals at a busy target. */
#define FADE_US 300000.0

static double
faded(const bv_offered_t *offered, int64_t now_us)
{
    return exp(-(double)MAX(0, now_us - offered->at_us) / FADE_US);
}

void
bv_offered_add(bv_offered_t *offered, int64_t now_us, bv_class_t importance,
               int64_t slot_us)
{
    double rest = faded(offered, now_us);
    for (int i = 0; i <= BV_CLASS_CRITICAL; i++) {
        offered->asked_us[i] *= rest;
    }
    offered->asked_us[importance] += (double)slot_us;
    offered->at_us = MAX(offered->at_us, now_us);
}

double
bv_offered_share(const bv_offered_t *offered, int64_t now_us,
                 bv_class_t importance, uint32_t slots)
{
    double asked_us = 0;
    for (int i = (int)importance; i <= BV_CLASS_CRITICAL; i++) {
        asked_us += offered->asked_us[i];
    }
    if (slots == 0) {
        return 0;
    }
    return asked_us * faded(offered, now_us) / FADE_US / slots;
}
