#ifndef TESTS_E2E_FIXTURE_H
#define TESTS_E2E_FIXTURE_H

#include "berylvane/standin/cluster.h"

#include "../support.h"

/*
 * fixture - a running deployment for a test with real processes
 */
typedef struct {
    cluster_t *cluster;
    json_t *deployment;
    char *work_directory;
} fixture_t;

/*
 * Starts tests/e2e/NAME; the program ends when it does not start. The folder
 * with logs and records is kept when the test fails, and named.
 */
fixture_t *fixture_start(const char *deployment);

/*
 * Stops it; the program fails when a node did not exit 0. The folder is
 * removed only after a test that passed.
 */
void fixture_stop(fixture_t *fixture, bool passed);

/* Lines of all targets' records that hold `text`. */
size_t fixture_executions(const fixture_t *fixture, const char *text);

/* Reads a counter of a node's /metrics. */
uint64_t fixture_counter(const fixture_t *fixture, size_t instance,
                         const char *name);

/* Reads a counter of all nodes' /metrics and adds it up. */
uint64_t fixture_counter_sum(const fixture_t *fixture, const char *name);

/*
 * Starts a deployment into `*fixture`, runs tests (ended by a NULL name) and
 * stops it; the exit status of the program.
 */
int fixture_run(fixture_t **fixture, const char *deployment, const char *suite,
                const support_test_t *tests);

#endif
