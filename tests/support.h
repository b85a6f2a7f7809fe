#ifndef TESTS_SUPPORT_H
#define TESTS_SUPPORT_H

#include <check.h>
#include <glib.h>
#include <stdint.h>

/*
 * support - functions that all test programs share
 */
typedef struct {
    const char *name;
    const TTest *test;
    /* Number of rows in the test's table of cases; 1 without a table. */
    size_t case_count;
} support_test_t;

/*
 * Runs an array of tests that ends with a NULL name; returns the exit status
 * of the program.
 */
int support_run(const char *suite, const support_test_t *tests);

/* Parameters of a random run. */
typedef struct {
    guint32 seed;
    uint64_t events;
} support_random_run_t;

/*
 * Reads "--seed N" and "--events N" from the command line, with which a random
 * run can be repeated.
 */
void support_parse_arguments(int argc, char **argv);

/*
 * Returns the parameters of a random run, from the command line or else the
 * given defaults, and prints them.
 */
support_random_run_t support_random_run(guint32 seed, uint64_t events);

#endif
