#include "claim_cluster.h"
#include "claim_model.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

/* Time in which all calls of a key settle: longer than a write, an owner query
 * and the pauses between them. */
#define SETTLE_US 300000
#define KEYS_IN_MODEL_RUN 12
#define ROUNDS_PER_KEY 100

/*
 * Guards against a key that runs more than once when writes, replies or
 * queries are lost, late or duplicated, or when nodes pause or restart. The
 * cluster checks this at each execution, and checks each result against the
 * executions. Keys in memory must stay within their limit.
 */
START_TEST(test_unreliable_cluster)
{
    claim_cluster_t cluster;
    support_random_run_t run = support_random_run(1, 2000000);
    claim_cluster_create(&cluster, run.seed, false);
    for (uint64_t i = 0; i < run.events; i++) {
        sim_step(cluster.sim);
        uint32_t count = bv_claims_count(cluster.nodes[i % NODES].claims);
        ck_assert_uint_le(count, 2 * KEYS_AT_ONCE);
    }
    printf("%" G_GUINT64_FORMAT " calls, %" G_GUINT64_FORMAT " keys ran\n",
           (guint64)cluster.calls_begun, (guint64)cluster.executions_count);
    ck_assert_uint_gt(cluster.executions_count, 0);
    claim_cluster_destroy(&cluster);
}
END_TEST

static uint64_t
run_until_settled(claim_cluster_t *cluster)
{
    uint64_t steps = 0;
    int64_t end_us = sim_now_us(cluster->sim) + SETTLE_US;
    while (sim_now_us(cluster->sim) < end_us) {
        sim_step(cluster->sim);
        steps++;
    }
    return steps;
}

static GPtrArray *
calls_with_key(claim_cluster_t *cluster, const char *key)
{
    GHashTableIter iterator;
    gpointer value;
    GPtrArray *calls = g_ptr_array_new();
    g_hash_table_iter_init(&iterator, cluster->calls);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (strcmp(((call_t *)value)->key, key) == 0) {
            g_ptr_array_add(calls, value);
        }
    }
    return calls;
}

static call_t *
running_call(const GPtrArray *calls)
{
    call_t *running = NULL;
    for (guint i = 0; i < calls->len; i++) {
        call_t *call = calls->pdata[i];
        if (call->is_started && !call->is_answered) {
            ck_assert_ptr_null(running);
            running = call;
        }
    }
    return running;
}

/* Checks the outcome of answered calls and removes them from the cluster. */
static void
check_and_remove_answered(claim_cluster_t *cluster, const GPtrArray *calls,
                          bv_outcome_t outcome)
{
    for (guint i = 0; i < calls->len; i++) {
        call_t *call = calls->pdata[i];
        if (call->is_answered) {
            ck_assert_int_eq(call->result.outcome, outcome);
            g_hash_table_remove(cluster->calls, &call->id);
        }
    }
}

static uint64_t
begin_and_compare(claim_cluster_t *cluster, claim_model_t *model,
                  const char *key)
{
    bv_outcome_t outcome;
    uint32_t node = (uint32_t)sim_random_between(cluster->sim, 0, NODES);
    uint64_t request_digest = sim_random_between(cluster->sim, 0, 10) == 0;
    call_t *call =
        claim_cluster_begin_call(cluster, node, key, request_digest, 0);
    uint64_t steps = run_until_settled(cluster);
    switch (claim_model_begin(model, key, request_digest, &outcome)) {
    case CLAIM_MODEL_RUN:
        ck_assert(call->is_started && !call->is_answered);
        break;
    case CLAIM_MODEL_WAIT:
        ck_assert(!call->is_started && !call->is_answered);
        break;
    case CLAIM_MODEL_ANSWER:
        ck_assert(!call->is_started && call->is_answered);
        ck_assert_int_eq(call->result.outcome, outcome);
        g_hash_table_remove(cluster->calls, &call->id);
        break;
    }
    return steps;
}

/*
 * Checks that after a release exactly one of the calls that wait at other
 * nodes runs, if there are any.
 */
static void
check_next_running(claim_cluster_t *cluster, claim_model_t *model,
                   const char *key)
{
    bv_outcome_t outcome;
    GPtrArray *remaining = calls_with_key(cluster, key);
    const call_t *next = running_call(remaining);
    ck_assert((next != NULL) == (remaining->len > 0));
    if (next != NULL) {
        ck_assert_int_eq(
            claim_model_begin(model, key, next->request_digest, &outcome),
            CLAIM_MODEL_RUN);
    }
    g_ptr_array_unref(remaining);
}

static uint64_t
settle_and_compare(claim_cluster_t *cluster, claim_model_t *model,
                   const char *key)
{
    GPtrArray *calls = calls_with_key(cluster, key);
    const call_t *running = running_call(calls);
    if (running == NULL) {
        ck_assert_uint_eq(calls->len, 0);
        g_ptr_array_unref(calls);
        return 0;
    }
    bv_key_result_t result = {.status = 200};
    result.outcome = (bv_outcome_t)sim_random_between(cluster->sim, 0, 3);
    bv_claims_settle(cluster->nodes[running->node].claims,
                     sim_now_us(cluster->sim), key, &result);
    uint64_t steps = run_until_settled(cluster);
    claim_model_settle(model, key, result.outcome);
    for (guint i = 0; i < calls->len; i++) {
        const call_t *call = calls->pdata[i];
        bool should_be_answered = result.outcome != BV_OUTCOME_NOT_RUN ||
                                  call->node == running->node;
        ck_assert(call->is_answered == should_be_answered);
    }
    check_and_remove_answered(cluster, calls, result.outcome);
    g_ptr_array_unref(calls);
    check_next_running(cluster, model, key);
    return steps;
}

/*
 * Guards against nodes that answer otherwise than one node alone would: while
 * nothing is lost, the cluster must start, hold and answer the same calls as a
 * reference model, which is one map that all nodes share.
 */
START_TEST(test_reference_model)
{
    claim_cluster_t cluster;
    support_random_run_t run = support_random_run(2, 1000000);
    claim_model_t *model = claim_model_create();
    claim_cluster_create(&cluster, run.seed, true);
    uint64_t rounds = 0;
    for (uint64_t steps = 0; steps < run.events; rounds++) {
        char key[KEY_BYTES];
        uint64_t number =
            rounds / ROUNDS_PER_KEY +
            (uint64_t)sim_random_between(cluster.sim, 0, KEYS_IN_MODEL_RUN);
        g_snprintf(key, sizeof(key), "key-%" G_GUINT64_FORMAT,
                   (guint64)number);
        steps += sim_random_between(cluster.sim, 0, 3) == 0
                     ? settle_and_compare(&cluster, model, key)
                     : begin_and_compare(&cluster, model, key);
    }
    printf("%" G_GUINT64_FORMAT " rounds\n", (guint64)rounds);
    g_hash_table_destroy(model);
    claim_cluster_destroy(&cluster);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"random", test_unreliable_cluster, 1},
        {"reference_model", test_reference_model, 1},
        {NULL}};
    return support_run("claim", tests);
}
