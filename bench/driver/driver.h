#ifndef BENCH_DRIVER_DRIVER_H
#define BENCH_DRIVER_DRIVER_H

#include "berylvane/standin/cluster.h"

/*
 * driver - runs scenarios of bench/scenarios.json: each variant in turn with
 * the same seed, for several seeds, so that ratios come from one run
 */
typedef struct {
    const char *deployment_path;
    const char *scenarios_path;
    /* One scenario, or NULL for all. */
    const char *scenario_name;
    const char *build_directory;
    const char *work_directory;
    const char *out_directory;
    const char *commit_id;
    /* 0: as the scenario says. */
    int64_t seconds;
    int64_t seed_count;
} driver_options_t;

/*
 * Sizes of the deployments are the users' own; slots and connections are
 * scaled to one machine by this factor, 1/5.
 */
#define DRIVER_SCALE_DIVISOR 5

/*
 * The deployment of one run: the deployment file with the patches of the
 * scenario and the variant over it, scaled. A new value.
 */
json_t *driver_build_deployment(const driver_options_t *options,
                                const json_t *deployment,
                                const json_t *scenario, const char *variant,
                                int64_t seed);

/* Loads a file with the deployment's "words" put in; NULL and a message. */
json_t *driver_load_json(const char *path, const json_t *words);

/*
 * The numbers of one run from the report of its load; a new object of names
 * and numbers.
 */
json_t *driver_measure(const json_t *scenario, const json_t *deployment,
                       const json_t *report);

/*
 * Prints a scenario's table: each variant's median, least and most, and the
 * ratio to the scenario's "against" seed by seed. `runs` maps variants to
 * lists of measured numbers.
 */
void driver_print_scenario(const char *name, const json_t *scenario,
                           const json_t *runs);

/* Writes gnuplot's input for goodput over time; `reports`: one a variant. */
bool driver_write_plot(const char *directory, const char *name,
                       const json_t *reports);

#endif
