#include "berylvane/core/retry_after.h"
#include "support.h"

#define US_PER_MS 1000

typedef struct {
    bv_retry_after_input_t input;
    int64_t least_us;
    int64_t most_us;
} case_t;

static const case_t cases[] = {
    {{0, 5000 * US_PER_MS}, 100 * US_PER_MS, 200 * US_PER_MS},
    {{400 * US_PER_MS, 5000 * US_PER_MS}, 400 * US_PER_MS, 800 * US_PER_MS},
    {{4000 * US_PER_MS, 3000 * US_PER_MS}, 1000 * US_PER_MS, 1000 * US_PER_MS},
    {{0, 0}, 100 * US_PER_MS, 100 * US_PER_MS},
};

/*
 * The time must lie between the expected wait and twice that, so that callers
 * do not return together, but not beyond a third of the time left.
 */
START_TEST(test_range)
{
    const case_t *row = &cases[_i];
    GRand *random = g_rand_new_with_seed(1);
    for (int i = 0; i < 1000; i++) {
        int64_t after_us = bv_retry_after_us(&row->input, random);
        ck_assert_int_ge(after_us, row->least_us);
        ck_assert_int_le(after_us, row->most_us);
    }
    g_rand_free(random);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"range", test_range, G_N_ELEMENTS(cases)},
                                    {NULL}};
    return support_run("retry_after", tests);
}
