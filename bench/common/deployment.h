#ifndef BENCH_COMMON_DEPLOYMENT_H
#define BENCH_COMMON_DEPLOYMENT_H

#include "berylvane/standin/cluster.h"

/*
 * deployment - reads the files of a deployment and starts it, for all
 * benchmarks
 */

/*
 * Loads a JSON file in whose text each key of `words` (may be NULL) is first
 * replaced by the key's value. Returns a new reference, or NULL after printing
 * the error.
 */
json_t *bench_load_json(const char *path, const json_t *words);

/*
 * Starts a deployment. Returns NULL after printing the error, which begins
 * with `label` unless that is NULL.
 */
cluster_t *bench_start_cluster(const cluster_options_t *options,
                               const char *label);

#endif
