#ifndef TESTS_CONFIG_MODEL_H
#define TESTS_CONFIG_MODEL_H

#include "berylvane/core/config_fetcher.h"

/*
 * config_model - reference model of the config fetcher
 *
 * It keeps all versions and bundles that reached a node, and searches them.
 */
typedef struct {
    /* Of bv_config_version_t: versions received, and of bundles received. */
    GArray *versions;
    GArray *bodies;
} config_model_t;

void config_model_init(config_model_t *model);
void config_model_clear(config_model_t *model);

/* Records a version unless one of the same generation is recorded. */
void config_model_add_version(config_model_t *model,
                              const bv_config_version_t *version);

/*
 * Returns the highest generation of which a version and the bundle with its
 * digest were received; 0 if there is none.
 */
uint64_t config_model_in_force(const config_model_t *model);

/*
 * Removes versions and bundles of generations below `generation`, the one in
 * force, since they can no longer be adopted.
 */
void config_model_forget_older(const config_model_t *model,
                               uint64_t generation);

#endif
