#ifndef TESTS_E2E_FIXTURE_H
#define TESTS_E2E_FIXTURE_H

#include "berylvane/standin/cluster.h"

#include "../support.h"

/*
 * fixture - a deployment of real processes for an end-to-end test
 */
typedef struct {
    cluster_t *cluster;
    json_t *deployment;
    /* Folder with the settings, logs and records of the processes. */
    char *work_directory;
} fixture_t;

/*
 * Starts the deployment described by the file tests/e2e/FILE_NAME and returns
 * when every node is ready; the result is freed by fixture_stop(). On failure,
 * prints the cause to standard error and ends the program with status 3. The
 * folder with logs and records is printed to standard output.
 */
fixture_t *fixture_start(const char *file_name);

/*
 * Stops all processes and frees the fixture. Ends the program with status 3 if
 * a node did not exit with status 0. The folder with logs and records is
 * removed only if `passed` is set.
 */
void fixture_stop(fixture_t *fixture, bool passed);

/*
 * Returns the number of lines that contain `text` in the record files of all
 * targets. A target stand-in writes a line with its service, the method, the
 * path and the idempotency key (or "-") for each call that it executes.
 */
size_t fixture_executions(const fixture_t *fixture, const char *text);

/*
 * Returns the counter berylvane_NAME_total from /metrics of the node of an
 * instance; 0 if the page has no such counter.
 */
uint64_t fixture_counter(const fixture_t *fixture, size_t instance,
                         const char *name);

/* Returns the sum of a counter over all nodes; see fixture_counter(). */
uint64_t fixture_counter_sum(const fixture_t *fixture, const char *name);

/*
 * Starts a deployment, stores it in `*fixture`, runs an array of tests that
 * ends with a NULL name, and stops the deployment. Returns the exit status of
 * the program.
 */
int fixture_run(fixture_t **fixture, const char *file_name, const char *suite,
                const support_test_t *tests);

#endif
