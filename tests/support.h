#ifndef TESTS_SUPPORT_H
#define TESTS_SUPPORT_H

#include <check.h>
#include <glib.h>
#include <stdint.h>

/*
 * support - what the test programs share
 */
typedef struct {
    const char *name;
    const TTest *test;
    /* Rows of the test's table of cases; 1 for a test without one. */
    size_t case_count;
} support_test_t;

/* Runs tests (ended by a NULL name); the exit status of the program. */
int support_run(const char *suite, const support_test_t *tests);

/*
 * Reads "--seed N" and "--events N" from the command line, so that a random
 * run can be repeated; the seed is printed.
 */
typedef struct {
    guint32 seed;
    uint64_t events;
} support_random_run_t;

void support_parse_arguments(int argc, char **argv);

/* Seed and length of a random run; defaults when none was given. */
support_random_run_t support_random_run(guint32 seed, uint64_t events);

#endif
