#ifndef TESTS_CONFIG_MODEL_H
#define TESTS_CONFIG_MODEL_H

#include "berylvane/core/config_fetcher.h"

/*
 * config_twin - the naive twin of config_spread: it keeps all that reached a
 * node, and searches it
 */
typedef struct {
    /* Arrays of bv_config_version_t: versions heard, and bodies that came. */
    GArray *versions;
    GArray *bodies;
} config_model_t;

void config_model_init(config_model_t *twin);
void config_model_clear(config_model_t *twin);
void config_model_add_version(config_model_t *twin,
                              const bv_config_version_t *version);

/* The highest generation whose body came with the digest that was heard. */
uint64_t config_model_in_force(const config_model_t *twin);

/* What is older than the version in force cannot matter any more. */
void config_model_forget_older(const config_model_t *twin,
                               uint64_t generation);

#endif
