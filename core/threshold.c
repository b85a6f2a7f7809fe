#include "berylvane/core/threshold.h"

#define WINDOW_US 20000
/* Limit of the windows for which the threshold falls in one update. */
#define FALL_WINDOWS_LIMIT 50
/* In each window, the threshold moves by these shares of the class's admitted
 * levels, multiplied by the relative excess or shortfall of the delay. */
#define RISE_GAIN 0.05
#define RISE_SHARE_LIMIT 0.15
#define FALL_GAIN 0.1
/* Levels by which the threshold falls in addition; without them, a class of
 * which nothing is admitted would never be admitted again. */
#define FALL_LEVELS 0.1
/* A class of which fewer levels than this would be admitted is closed. */
#define CLOSED_LEVELS 0.5
/* The fall is reduced to this share while all slots are in use. */
#define BUSY_FALL_SHARE 0.2
/* Critical work is refused at this multiple of the target delay. */
#define CRITICAL_TARGET_FACTOR 25
#define CRITICAL_LEVEL ((double)(BV_CLASS_CRITICAL * BV_PRIORITY_LEVELS))
/* A class of which nothing is offered for this long is skipped. */
#define ABSENT_AFTER_US 2000000

void
bv_threshold_record_offer(bv_threshold_t *threshold, int64_t now_us,
                          uint16_t priority)
{
    threshold->last_offered_us[priority / BV_PRIORITY_LEVELS] = now_us;
}

void
bv_threshold_record_wait(bv_threshold_t *threshold, int64_t waited_us)
{
    threshold->wait_sum_us += waited_us;
    threshold->wait_count++;
}

/* Relative excess of the delay over a target: -1 without delay, 0 at the
 * target. */
static double
relative_excess(const bv_threshold_t *threshold,
                const bv_threshold_input_t *input, int64_t target_us)
{
    int64_t waited_us = threshold->wait_count > 0
                            ? threshold->wait_sum_us / threshold->wait_count
                            : 0;
    int64_t delay_us = MAX(waited_us, input->expected_wait_us);
    return (double)delay_us / (double)MAX(1, target_us) - 1;
}

static bool
is_absent(const bv_threshold_t *threshold, int64_t now_us, int class)
{
    return threshold->last_offered_us[class] == 0 ||
           now_us - threshold->last_offered_us[class] > ABSENT_AFTER_US;
}

/* Moves the threshold past classes of which no work is offered. */
static void
skip_absent_classes(bv_threshold_t *threshold, int64_t now_us, bool rising)
{
    int class = (int)threshold->level / BV_PRIORITY_LEVELS;
    if (rising) {
        while (class < BV_CLASS_CRITICAL &&
               is_absent(threshold, now_us, class)) {
            class ++;
            threshold->level = class * BV_PRIORITY_LEVELS;
        }
        return;
    }
    while (class >= 0 && class <= BV_CLASS_CRITICAL &&
           is_absent(threshold, now_us, class)) {
        threshold->level = class * BV_PRIORITY_LEVELS;
        class --;
    }
}

/* Number of levels of the threshold's class that are admitted. */
static double
open_levels(const bv_threshold_t *threshold)
{
    int class = (int)threshold->level / BV_PRIORITY_LEVELS;
    return (class + 1) * BV_PRIORITY_LEVELS - threshold->level;
}

static void
rise(bv_threshold_t *threshold, int64_t now_us, double excess)
{
    skip_absent_classes(threshold, now_us, true);
    double open = open_levels(threshold);
    double step = open * MIN(excess * RISE_GAIN, RISE_SHARE_LIMIT);
    if (open - step < CLOSED_LEVELS) {
        step = open;
    }
    threshold->level = MIN(threshold->level + step, BV_PRIORITY_LIMIT);
}

static void
fall(bv_threshold_t *threshold, int64_t now_us, double shortfall)
{
    if (threshold->level <= 0) {
        return;
    }
    /* At the lower end of a class, the fall goes on into the class below, of
     * which no level is admitted. */
    double open = open_levels(threshold);
    if (open >= BV_PRIORITY_LEVELS) {
        open = 0;
    }
    double step = open * shortfall * FALL_GAIN + FALL_LEVELS * shortfall;
    threshold->level = MAX(0, threshold->level - step);
    skip_absent_classes(threshold, now_us, false);
}

static void
fall_for_windows(bv_threshold_t *threshold, int64_t now_us, double shortfall,
                 int64_t windows)
{
    for (int64_t i = 0; i < MIN(windows, FALL_WINDOWS_LIMIT); i++) {
        fall(threshold, now_us, shortfall);
    }
}

/* While only critical work is admitted, a higher target delay applies. */
static void
move_above_critical(bv_threshold_t *threshold, int64_t now_us,
                    const bv_threshold_input_t *input, int64_t windows)
{
    double excess = relative_excess(
        threshold, input, input->target_wait_us * CRITICAL_TARGET_FACTOR);
    if (excess > 0 && input->may_refuse_critical) {
        rise(threshold, now_us, excess);
    }
    else if (excess < 0 && threshold->level > CRITICAL_LEVEL) {
        fall_for_windows(threshold, now_us, -excess, windows);
        threshold->level = MAX(threshold->level, CRITICAL_LEVEL);
    }
}

static void
move_level(bv_threshold_t *threshold, int64_t now_us,
           const bv_threshold_input_t *input, int64_t windows)
{
    double excess = relative_excess(threshold, input, input->target_wait_us);
    if (excess < 0) {
        double shortfall =
            input->has_free_slot ? -excess : -excess * BUSY_FALL_SHARE;
        fall_for_windows(threshold, now_us, shortfall, windows);
    }
    else if (threshold->level >= CRITICAL_LEVEL) {
        move_above_critical(threshold, now_us, input, windows);
    }
    else if (excess > 0) {
        rise(threshold, now_us, excess);
        threshold->level = MIN(threshold->level, CRITICAL_LEVEL);
    }
}

void
bv_threshold_update(bv_threshold_t *threshold, int64_t now_us,
                    const bv_threshold_input_t *input)
{
    int64_t windows = (now_us - threshold->window_started_us) / WINDOW_US;
    if (windows <= 0) {
        return;
    }
    move_level(threshold, now_us, input, windows);
    if (!input->may_refuse_critical) {
        threshold->level = MIN(threshold->level, CRITICAL_LEVEL);
    }
    threshold->window_started_us = now_us;
    threshold->wait_sum_us = 0;
    threshold->wait_count = 0;
}

uint16_t
bv_threshold_level(const bv_threshold_t *threshold)
{
    return (uint16_t)threshold->level;
}
