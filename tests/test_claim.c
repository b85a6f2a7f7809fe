#include "claim_cluster.h"
#include "claim_model.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

/* Longer than a write, a question to an owner and their pauses take. */
#define QUIET_US 300000
#define KEYS_IN_CALM 12
#define ROUND_STEPS 100

/* Each key runs at most once, whatever is lost, late, paused or restarted. */
START_TEST(test_random)
{
    world_t world;
    support_random_run_t run = support_random_run(1, 2000000);
    world_create(&world, run.seed, false);
    for (uint64_t i = 0; i < run.events; i++) {
        sim_step(world.sim);
        uint32_t count = bv_claims_count(world.nodes[i % NODES].claims);
        ck_assert_uint_le(count, 2 * KEYS_AT_ONCE);
    }
    printf("%" G_GUINT64_FORMAT " calls, %" G_GUINT64_FORMAT " keys ran\n",
           (guint64)world.begun, (guint64)world.ran);
    ck_assert_uint_gt(world.ran, 0);
    world_destroy(&world);
}
END_TEST

static uint64_t
settle_down(world_t *world)
{
    uint64_t steps = 0;
    int64_t end_us = sim_now_us(world->sim) + QUIET_US;
    while (sim_now_us(world->sim) < end_us) {
        sim_step(world->sim);
        steps++;
    }
    return steps;
}

static GPtrArray *
calls_of(world_t *world, const char *key)
{
    GHashTableIter iterator;
    gpointer value;
    GPtrArray *calls = g_ptr_array_new();
    g_hash_table_iter_init(&iterator, world->waiters);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (strcmp(((waiter_t *)value)->key, key) == 0) {
            g_ptr_array_add(calls, value);
        }
    }
    return calls;
}

static waiter_t *
runner_of(const GPtrArray *calls)
{
    waiter_t *runner = NULL;
    for (guint i = 0; i < calls->len; i++) {
        waiter_t *call = calls->pdata[i];
        if (call->runs && !call->answered) {
            ck_assert_ptr_null(runner);
            runner = call;
        }
    }
    return runner;
}

/* Those that the twin says are answered, are; and they are forgotten. */
static void
check_answers(world_t *world, const GPtrArray *calls, bv_outcome_t outcome)
{
    for (guint i = 0; i < calls->len; i++) {
        waiter_t *call = calls->pdata[i];
        if (call->answered) {
            ck_assert_int_eq(call->kept.outcome, outcome);
            g_hash_table_remove(world->waiters, &call->id);
        }
    }
}

static uint64_t
compare_begin(world_t *world, twin_t *twin, const char *key)
{
    bv_outcome_t outcome;
    uint32_t node = (uint32_t)sim_random_between(world->sim, 0, NODES);
    uint64_t request = sim_random_between(world->sim, 0, 10) == 0;
    waiter_t *call = world_begin(world, node, key, request, 0);
    uint64_t steps = settle_down(world);
    switch (twin_begin(twin, key, request, &outcome)) {
    case TWIN_RUN:
        ck_assert(call->runs && !call->answered);
        break;
    case TWIN_WAIT:
        ck_assert(!call->runs && !call->answered);
        break;
    case TWIN_ANSWER:
        ck_assert(!call->runs && call->answered);
        ck_assert_int_eq(call->kept.outcome, outcome);
        g_hash_table_remove(world->waiters, &call->id);
        break;
    }
    return steps;
}

/* Calls at other nodes than the one that gave the key up: one of them runs. */
static void
check_next(world_t *world, twin_t *twin, const char *key)
{
    bv_outcome_t outcome;
    GPtrArray *left = calls_of(world, key);
    const waiter_t *next = runner_of(left);
    ck_assert((next != NULL) == (left->len > 0));
    if (next != NULL) {
        ck_assert_int_eq(twin_begin(twin, key, next->request, &outcome),
                         TWIN_RUN);
    }
    g_ptr_array_unref(left);
}

static uint64_t
compare_settle(world_t *world, twin_t *twin, const char *key)
{
    GPtrArray *calls = calls_of(world, key);
    const waiter_t *runner = runner_of(calls);
    if (runner == NULL) {
        ck_assert_uint_eq(calls->len, 0);
        g_ptr_array_unref(calls);
        return 0;
    }
    bv_key_result_t kept = {.status = 200};
    kept.outcome = (bv_outcome_t)sim_random_between(world->sim, 0, 3);
    bv_claims_settle(world->nodes[runner->node].claims, sim_now_us(world->sim),
                     key, &kept);
    uint64_t steps = settle_down(world);
    twin_settle(twin, key, kept.outcome);
    for (guint i = 0; i < calls->len; i++) {
        const waiter_t *call = calls->pdata[i];
        bool hears =
            kept.outcome != BV_OUTCOME_NOT_RUN || call->node == runner->node;
        ck_assert(call->answered == hears);
    }
    check_answers(world, calls, kept.outcome);
    g_ptr_array_unref(calls);
    check_next(world, twin, key);
    return steps;
}

/* With nothing lost, the nodes together say what one shared map says. */
START_TEST(test_twin)
{
    world_t world;
    support_random_run_t run = support_random_run(2, 1000000);
    twin_t *twin = twin_create();
    world_create(&world, run.seed, true);
    uint64_t rounds = 0;
    for (uint64_t steps = 0; steps < run.events; rounds++) {
        char key[KEY_BYTES];
        uint64_t number =
            rounds / ROUND_STEPS +
            (uint64_t)sim_random_between(world.sim, 0, KEYS_IN_CALM);
        g_snprintf(key, sizeof(key), "key-%" G_GUINT64_FORMAT,
                   (guint64)number);
        steps += sim_random_between(world.sim, 0, 3) == 0
                     ? compare_settle(&world, twin, key)
                     : compare_begin(&world, twin, key);
    }
    printf("%" G_GUINT64_FORMAT " rounds\n", (guint64)rounds);
    g_hash_table_destroy(twin);
    world_destroy(&world);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"random", test_random, 1}, {"twin", test_twin, 1}, {NULL}};
    return support_run("claim", tests);
}
