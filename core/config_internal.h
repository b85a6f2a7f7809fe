#ifndef CORE_CONFIG_INTERNAL_H
#define CORE_CONFIG_INTERNAL_H

#include "berylvane/core/config.h"

/*
 * config_internal - what the parts of config share
 */
typedef struct {
    const char *source;
    bv_findings_t *findings;
    json_t *departments;
    bv_config_t *config;
} build_t;

/* Reads the route `name` of a service at `pointer` into the configuration. */
void config_build_route(build_t *build, const char *service, const char *name,
                        const json_t *entry, bv_mode_t mode,
                        const char *pointer);

/* Frees a route; for GDestroyNotify. */
void config_free_route(gpointer route);

#endif
