#include "support.h"

#include "berylvane/common/number_option.h"

#include <stdio.h>
#include <string.h>

#define TIMEOUT_S 600

static support_random_run_t command_line;

int
support_run(const char *name, const support_test_t *tests)
{
    Suite *suite = suite_create(name);
    for (const support_test_t *test = tests; test->name != NULL; test++) {
        TCase *tcase = tcase_create(test->name);
        tcase_set_timeout(tcase, TIMEOUT_S);
        tcase_add_loop_test(tcase, test->test, 0, (int)test->case_count);
        suite_add_tcase(suite, tcase);
    }
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? 0 : 1;
}

void
support_parse_arguments(int argc, char **argv)
{
    for (int i = 1; i + 1 < argc; i += 2) {
        if (strcmp(argv[i], "--seed") == 0) {
            command_line.seed = (guint32)bv_number_option(
                "--seed", argv[i + 1], 1, G_MAXUINT32);
        }
        if (strcmp(argv[i], "--events") == 0) {
            command_line.events = (uint64_t)bv_number_option(
                "--events", argv[i + 1], 1, G_MAXINT64);
        }
    }
}

support_random_run_t
support_random_run(guint32 seed, uint64_t events)
{
    support_random_run_t run = {
        .seed = command_line.seed != 0 ? command_line.seed : seed,
        .events = command_line.events != 0 ? command_line.events : events,
    };
    printf("seed %u, %" G_GUINT64_FORMAT " events\n", run.seed,
           (guint64)run.events);
    return run;
}
