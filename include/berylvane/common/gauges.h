#ifndef BERYLVANE_COMMON_GAUGES_H
#define BERYLVANE_COMMON_GAUGES_H

#include <glib.h>
#include <stdint.h>

/*
 * gauges - metric gauges of the process; any thread may use them
 *
 * Each line of the list holds a symbol, the metric's name, its kind and its
 * help text. /metrics shows the metric as berylvane_NAME.
 *
 * A gauge of kind AGE holds a time of bv_clock_now_us(), 0 if there is none
 * yet. It is shown as the seconds since then, so that it grows until the next
 * bv_gauge_set(), and is left out while there is none.
 */
#define BV_GAUGE_LIST(X)                                                      \
    X(CONFIG_GENERATION, "config_generation", VALUE,                          \
      "generation of the configuration in force, 0 without one")              \
    X(CONFIG_HEARD_GENERATION, "config_heard_generation", VALUE,              \
      "newest generation of the configuration heard of")                      \
    X(CONFIG_SOURCE_AGE, "config_source_age_seconds", AGE,                    \
      "time since the store last answered for the configuration, "            \
      "or since the start")                                                   \
    X(CONFIG_IN_FORCE_AGE, "config_in_force_age_seconds", AGE,                \
      "time since the configuration in force was adopted")                    \
    X(HELD_BYTES, "held_bytes", VALUE,                                        \
      "bytes of requests, responses and messages held")                       \
    X(HELD_BYTES_PEAK, "held_bytes_peak", VALUE,                              \
      "most bytes held since the start")

typedef enum {
#define BV_GAUGE_SYMBOL(symbol, name, kind, help) BV_GAUGE_##symbol,
    BV_GAUGE_LIST(BV_GAUGE_SYMBOL)
#undef BV_GAUGE_SYMBOL
    BV_GAUGE_END
} bv_gauge_t;

/* Sets a gauge to a value, or to a time for one of kind AGE. */
void bv_gauge_set(bv_gauge_t gauge, int64_t value);

/* Returns what bv_gauge_set() set last, 0 before. */
int64_t bv_gauge_get(bv_gauge_t gauge);

/* Returns the age at `now_us` of a gauge of kind AGE; -1 without a time. */
int64_t bv_gauge_age_us(bv_gauge_t gauge, int64_t now_us);

/*
 * Appends all gauges to `out` in the Prometheus text format, with the ages at
 * `now_us`.
 */
void bv_gauges_render(GString *out, int64_t now_us);

#endif
