#include "berylvane/core/config_freshness.h"

/* Query intervals without an answer after which the store counts as silent. */
#define SILENT_INTERVALS 3

static const char *const names[] = {
    [BV_CONFIG_CURRENT] = "current",
    [BV_CONFIG_BEHIND] = "behind",
    [BV_CONFIG_SOURCE_SILENT] = "source_silent",
};

bv_config_freshness_t
bv_config_freshness(const bv_config_knowledge_t *knowledge)
{
    if (knowledge->heard > knowledge->in_force) {
        return BV_CONFIG_BEHIND;
    }
    if (knowledge->source_age_us >
        SILENT_INTERVALS * knowledge->query_interval_us) {
        return BV_CONFIG_SOURCE_SILENT;
    }
    return BV_CONFIG_CURRENT;
}

const char *
bv_config_freshness_name(bv_config_freshness_t freshness)
{
    return names[freshness];
}
