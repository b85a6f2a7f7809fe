#include "soak.h"

#include "berylvane/common/clock.h"

#define SERIES_INTERVAL_US (2 * BV_US_PER_S)
#define REPEATS_MAX 4
#define DURATION_MIN_US (BV_US_PER_S / 20)
#define DURATION_MAX_US (2 * BV_US_PER_S)
#define INTERVAL_MAX_US BV_US_PER_S

/* Returns a random number that is at least `low` and less than `high`. */
static int64_t
random_between(GRand *random, int64_t low, int64_t high)
{
    return g_rand_int_range(random, (gint32)low, (gint32)high);
}

static gint
compare_steps(gconstpointer a, gconstpointer b)
{
    const soak_step_t *first = a;
    const soak_step_t *second = b;
    return (first->at_us > second->at_us) - (first->at_us < second->at_us);
}

static void
add_step(GArray *plan, soak_step_t step, int64_t at_us, bool begins)
{
    step.at_us = at_us;
    step.begins = begins;
    g_array_append_val(plan, step);
}

/*
 * Adds one kind of fault up to four times in a row, either always at the same
 * instance or at a random instance each time.
 */
static void
add_series(GArray *plan, GRand *random, size_t instances, int64_t length_us)
{
    int64_t at_us = random_between(random, 0, length_us);
    int64_t repeats = random_between(random, 1, REPEATS_MAX + 1);
    bool changes_instance = g_rand_boolean(random);
    soak_step_t step = {
        .fault = (size_t)random_between(random, 0, (int64_t)soak_fault_count),
        .instance = (size_t)random_between(random, 0, (int64_t)instances),
    };
    for (int64_t i = 0; i < repeats; i++) {
        int64_t duration_us =
            random_between(random, DURATION_MIN_US, DURATION_MAX_US);
        add_step(plan, step, at_us, true);
        add_step(plan, step, at_us + duration_us, false);
        at_us += duration_us + random_between(random, 0, INTERVAL_MAX_US);
        if (changes_instance) {
            step.instance =
                (size_t)random_between(random, 0, (int64_t)instances);
        }
    }
}

GArray *
soak_plan(uint32_t seed, size_t instances, int64_t length_us)
{
    GRand *random = g_rand_new_with_seed(seed);
    GArray *plan = g_array_new(FALSE, FALSE, sizeof(soak_step_t));
    int64_t series = 2 + length_us / SERIES_INTERVAL_US;
    for (int64_t i = 0; i < series; i++) {
        add_series(plan, random, instances, length_us);
    }
    soak_step_t key_change = {.fault = soak_fault_count};
    add_step(plan, key_change, length_us / 2, true);
    g_array_sort(plan, compare_steps);
    g_rand_free(random);
    return plan;
}
