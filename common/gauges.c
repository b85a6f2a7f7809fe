#include "berylvane/common/gauges.h"

#include "berylvane/common/clock.h"

#include <stdatomic.h>

typedef enum {
    GAUGE_KIND_VALUE,
    GAUGE_KIND_AGE,
} gauge_kind_t;

static _Atomic int64_t gauges[BV_GAUGE_END];

static const struct {
    const char *name;
    gauge_kind_t kind;
    const char *help;
} descriptions[BV_GAUGE_END] = {
#define BV_GAUGE_TEXT(symbol, name, kind, help)                               \
    {name, GAUGE_KIND_##kind, help},
    BV_GAUGE_LIST(BV_GAUGE_TEXT)
#undef BV_GAUGE_TEXT
};

void
bv_gauge_set(bv_gauge_t gauge, int64_t value)
{
    atomic_store_explicit(&gauges[gauge], value, memory_order_relaxed);
}

int64_t
bv_gauge_get(bv_gauge_t gauge)
{
    return atomic_load_explicit(&gauges[gauge], memory_order_relaxed);
}

int64_t
bv_gauge_age_us(bv_gauge_t gauge, int64_t now_us)
{
    int64_t since_us = bv_gauge_get(gauge);
    /* Another thread may have set a time after `now_us` was read. */
    return since_us == 0 ? -1 : MAX(0, now_us - since_us);
}

static void
render_age(GString *out, bv_gauge_t gauge, int64_t now_us)
{
    int64_t age_us = bv_gauge_age_us(gauge, now_us);
    if (age_us >= 0) {
        g_string_append_printf(
            out, "berylvane_%s %" G_GINT64_FORMAT ".%03" G_GINT64_FORMAT "\n",
            descriptions[gauge].name, (gint64)(age_us / BV_US_PER_S),
            (gint64)(age_us % BV_US_PER_S / BV_US_PER_MS));
    }
}

static void
render_value(GString *out, bv_gauge_t gauge)
{
    g_string_append_printf(out, "berylvane_%s %" G_GINT64_FORMAT "\n",
                           descriptions[gauge].name,
                           (gint64)bv_gauge_get(gauge));
}

void
bv_gauges_render(GString *out, int64_t now_us)
{
    for (int i = 0; i < BV_GAUGE_END; i++) {
        g_string_append_printf(out,
                               "# HELP berylvane_%s %s\n"
                               "# TYPE berylvane_%s gauge\n",
                               descriptions[i].name, descriptions[i].help,
                               descriptions[i].name);
        if (descriptions[i].kind == GAUGE_KIND_AGE) {
            render_age(out, (bv_gauge_t)i, now_us);
        }
        else {
            render_value(out, (bv_gauge_t)i);
        }
    }
}
