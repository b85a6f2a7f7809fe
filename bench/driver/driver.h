#ifndef BENCH_DRIVER_DRIVER_H
#define BENCH_DRIVER_DRIVER_H

#include "berylvane/standin/cluster.h"

/*
 * driver - runs the scenarios of bench/scenarios.json
 *
 * For each seed, all variants of a scenario run one after another with that
 * seed, so that the ratio between two variants compares runs with the same
 * schedule of requests on the same machine.
 */
typedef struct {
    const char *deployment_path;
    const char *scenarios_path;
    /* Name of the only scenario to run; NULL: all. */
    const char *scenario_name;
    const char *build_directory;
    const char *work_directory;
    const char *out_directory;
    /* Written to the report. */
    const char *commit_id;
    /* Length of each run; 0: as the scenario sets it. */
    int64_t seconds;
    /* Seeds are 1 to `seed_count`. */
    int64_t seed_count;
} driver_options_t;

/*
 * Deployment files hold the users' real sizes. The slots of each target are
 * divided by this number, so that a deployment fits on one machine.
 */
#define DRIVER_SCALE_DIVISOR 5

/*
 * Returns the deployment of one run, a new reference: a copy of `deployment`
 * with the merge patches of the scenario and of the variant applied, the slots
 * scaled, and seed and length of the load set. Writes the base document to
 * base.json in the work directory.
 */
json_t *driver_build_deployment(const driver_options_t *options,
                                const json_t *deployment,
                                const json_t *scenario, const char *variant,
                                int64_t seed);

/*
 * Returns the results of one run, computed from the report of its load: a new
 * JSON object of numbers by name.
 */
json_t *driver_measure(const json_t *scenario, const json_t *deployment,
                       const json_t *report);

/*
 * Prints a scenario's table: each number's median, least and greatest value
 * for each variant, and its ratios, seed by seed, to the variant named by the
 * scenario's "against". Numbers that are 0 in all runs are left out. `runs`
 * maps each variant to a list of objects that driver_measure() returned, one
 * for each seed.
 */
void driver_print_scenario(const char *name, const json_t *scenario,
                           const json_t *runs);

/*
 * Writes NAME.dat and NAME.plot, gnuplot's input for a plot of goodput over
 * time, to `directory`. `reports` maps each variant to a report of its load.
 * Returns false when a file cannot be opened.
 */
bool driver_write_plot(const char *directory, const char *name,
                       const json_t *reports);

#endif
