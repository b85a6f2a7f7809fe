#ifndef BERYLVANE_CORE_CONFIG_FRESHNESS_H
#define BERYLVANE_CORE_CONFIG_FRESHNESS_H

#include <stdint.h>

/*
 * config_freshness - whether a node has the newest configuration in force, as
 * far as it can tell
 */
typedef enum {
    /* No newer one is known, and the store answers. */
    BV_CONFIG_CURRENT,
    /* A newer one is known and not in force. */
    BV_CONFIG_BEHIND,
    /* No newer one is known, but the store has not answered for long. */
    BV_CONFIG_SOURCE_SILENT,
} bv_config_freshness_t;

/* What a node knows of the configuration. */
typedef struct {
    /* Generations in force and newest heard of. */
    uint64_t in_force;
    uint64_t heard;
    /* Time since the store answered for the configuration. */
    int64_t source_age_us;
    /* Longest time between two answers of a store that works. */
    int64_t query_interval_us;
} bv_config_knowledge_t;

bv_config_freshness_t
bv_config_freshness(const bv_config_knowledge_t *knowledge);

/* Returns the name of a freshness as in /status, such as "source_silent". */
const char *bv_config_freshness_name(bv_config_freshness_t freshness);

#endif
