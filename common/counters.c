#include "berylvane/common/counters.h"

#include <stdatomic.h>

static _Atomic uint64_t counters[BV_COUNT_END];

static const struct {
    const char *name;
    const char *help;
} descriptions[BV_COUNT_END] = {
#define BV_COUNTER_TEXT(symbol, name, help) {name, help},
    BV_COUNTER_LIST(BV_COUNTER_TEXT)
#undef BV_COUNTER_TEXT
#define BV_COUNTER_REASON(symbol, name)                                       \
    {"reason_" name, "decisions for the reason " name},
        BV_REASON_LIST(BV_COUNTER_REASON)
#undef BV_COUNTER_REASON
};

void
bv_counter_add(bv_counter_t counter, uint64_t amount)
{
    atomic_fetch_add_explicit(&counters[counter], amount,
                              memory_order_relaxed);
}

uint64_t
bv_counter_get(bv_counter_t counter)
{
    return atomic_load_explicit(&counters[counter], memory_order_relaxed);
}

void
bv_counters_render(GString *out)
{
    for (int i = 0; i < BV_COUNT_END; i++) {
        g_string_append_printf(out,
                               "# HELP berylvane_%s_total %s\n"
                               "# TYPE berylvane_%s_total counter\n"
                               "berylvane_%s_total %" G_GUINT64_FORMAT "\n",
                               descriptions[i].name, descriptions[i].help,
                               descriptions[i].name, descriptions[i].name,
                               (guint64)bv_counter_get((bv_counter_t)i));
    }
}
