#include "berylvane/core/credit.h"
#include "support.h"

#include <stdio.h>

#define NODES 8
#define DEPTH 19
#define FANOUT 4
#define CREDITS 3
#define CALLS_PER_REQUEST 400
#define LATE_ANSWERS_LIMIT 64

/* An answer that was counted as lost and may still arrive later. */
typedef struct {
    size_t node;
    bv_id_t id;
    bv_loan_t loan;
    uint32_t amount;
} late_answer_t;

typedef struct {
    bv_credits_t *nodes[NODES];
    GRand *random;
    GArray *late_answers;
    gint32 loss_percent;
    uint64_t events;
    uint64_t losses;
    /* Id, retries and calls of the current request over the whole chain. */
    bv_id_t id;
    uint32_t retries;
    uint32_t calls;
} chain_t;

static bool
chance(chain_t *chain, gint32 percent)
{
    return g_rand_int_range(chain->random, 0, 100) < percent;
}

static void
deliver_late_answer(chain_t *chain)
{
    if (chain->late_answers->len == 0) {
        return;
    }
    guint index = (guint)g_rand_int_range(chain->random, 0,
                                          (gint32)chain->late_answers->len);
    late_answer_t late_answer =
        g_array_index(chain->late_answers, late_answer_t, index);
    g_array_remove_index_fast(chain->late_answers, index);
    bv_credits_return(chain->nodes[late_answer.node], &late_answer.id,
                      &late_answer.loan, late_answer.amount);
}

static uint32_t serve(chain_t *chain, uint32_t credit, int depth);

/* Makes a child call, and retries it while its answers are lost. */
static void
call_child(chain_t *chain, size_t node, int depth)
{
    bv_credits_t *credits = chain->nodes[node];
    for (;;) {
        chain->events++;
        chain->calls++;
        bv_loan_t loan = bv_credits_lend(credits, &chain->id);
        uint32_t returned = serve(chain, loan.amount, depth + 1);
        bool is_lost = chance(chain, chain->loss_percent);
        if (!is_lost) {
            bv_credits_return(credits, &chain->id, &loan, returned);
            return;
        }
        chain->losses++;
        late_answer_t late_answer = {node, chain->id, loan, returned};
        if (chain->late_answers->len < LATE_ANSWERS_LIMIT) {
            g_array_append_val(chain->late_answers, late_answer);
        }
        if (chance(chain, 30)) {
            deliver_late_answer(chain);
        }
        if (!bv_credits_spend(credits, &chain->id)) {
            return;
        }
        chain->retries++;
        ck_assert_uint_le(chain->retries, CREDITS);
    }
}

static uint32_t
serve(chain_t *chain, uint32_t credit, int depth)
{
    size_t node = (size_t)g_rand_int_range(chain->random, 0, NODES);
    bv_credits_open(chain->nodes[node], &chain->id, credit);
    gint32 children = g_rand_int_range(chain->random, 1, FANOUT + 1);
    for (gint32 i = 0; i < children; i++) {
        if (depth < DEPTH && chain->calls < CALLS_PER_REQUEST) {
            call_child(chain, node, depth);
        }
    }
    return bv_credits_close(chain->nodes[node], &chain->id, credit);
}

static chain_t
create_chain(const support_random_run_t *run, gint32 loss_percent)
{
    chain_t chain = {
        .random = g_rand_new_with_seed(run->seed),
        .late_answers = g_array_new(FALSE, FALSE, sizeof(late_answer_t)),
        .loss_percent = loss_percent,
    };
    for (size_t i = 0; i < NODES; i++) {
        chain.nodes[i] = bv_credits_create();
    }
    return chain;
}

static void
destroy_chain(chain_t *chain)
{
    for (size_t i = 0; i < NODES; i++) {
        ck_assert_uint_eq(bv_credits_count(chain->nodes[i]), 0);
        bv_credits_destroy(chain->nodes[i]);
    }
    g_array_unref(chain->late_answers);
    g_rand_free(chain->random);
}

static const gint32 loss_percents[] = {0, 1, 10, 50};

/*
 * Guards against a request that spends more than CREDITS retries over its
 * whole chain of calls, and against credits that get lost without lost
 * answers. The reference is one counter of retries for the whole chain. Each
 * case is a percentage of lost answers, some of which arrive late; the call at
 * depth 1 is the customer's.
 */
START_TEST(test_lossy_chains)
{
    support_random_run_t run = support_random_run(1, 1000000);
    chain_t chain = create_chain(&run, loss_percents[_i]);
    uint64_t requests = 0;
    uint64_t retries = 0;
    uint32_t most_retries = 0;
    while (chain.events < run.events) {
        chain.id = bv_id_random(chain.random);
        chain.retries = 0;
        chain.calls = 0;
        uint32_t returned = serve(&chain, CREDITS, 1);
        ck_assert_uint_le(returned + chain.retries, CREDITS);
        if (chain.loss_percent == 0) {
            ck_assert_uint_eq(returned, CREDITS);
        }
        requests++;
        retries += chain.retries;
        most_retries = MAX(most_retries, chain.retries);
    }
    printf("loss %d%%: %" G_GUINT64_FORMAT " requests, %" G_GUINT64_FORMAT
           " calls, %" G_GUINT64_FORMAT " lost answers, %" G_GUINT64_FORMAT
           " retries, at most %u each\n",
           loss_percents[_i], (guint64)requests, (guint64)chain.events,
           (guint64)chain.losses, (guint64)retries, most_retries);
    destroy_chain(&chain);
}
END_TEST

/*
 * Guards against a late answer that returns its credits to a newer ledger of
 * the same request, which did not lend them.
 */
START_TEST(test_reopened_ledger)
{
    bv_credits_t *credits = bv_credits_create();
    bv_id_t id = {{1}};
    bv_credits_open(credits, &id, 2);
    bv_loan_t loan = bv_credits_lend(credits, &id);
    ck_assert_uint_eq(bv_credits_close(credits, &id, 2), 1);
    bv_credits_open(credits, &id, 1);
    bv_credits_return(credits, &id, &loan, 1);
    ck_assert_uint_eq(bv_credits_close(credits, &id, 1), 1);
    bv_credits_destroy(credits);
}
END_TEST

/*
 * Guards against two calls of a request at one node that share a ledger and
 * return more credits upstream than each of them was granted.
 */
START_TEST(test_shared_ledger)
{
    bv_credits_t *credits = bv_credits_create();
    bv_id_t id = {{1}};
    bv_credits_open(credits, &id, 1);
    bv_credits_open(credits, &id, 2);
    ck_assert(bv_credits_spend(credits, &id));
    ck_assert_uint_eq(bv_credits_close(credits, &id, 1), 1);
    ck_assert_uint_eq(bv_credits_close(credits, &id, 2), 1);
    ck_assert_uint_eq(bv_credits_count(credits), 0);
    bv_credits_destroy(credits);
}
END_TEST

/*
 * Guards against loans that no peer accepts: calls that share a request id
 * share a ledger, and a dispatch with more credits than the limit is dropped
 * as malformed by its receiver.
 */
START_TEST(test_loan_limit)
{
    bv_credits_t *credits = bv_credits_create();
    bv_id_t id = {{1}};
    for (int i = 0; i < 60; i++) {
        bv_credits_open(credits, &id, 12);
    }
    bv_loan_t loan = bv_credits_lend(credits, &id);
    ck_assert_uint_eq(loan.amount, 255);
    bv_credits_return(credits, &id, &loan, loan.amount);
    for (int i = 0; i < 60; i++) {
        ck_assert_uint_eq(bv_credits_close(credits, &id, 12), 12);
    }
    bv_credits_destroy(credits);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"reopened", test_reopened_ledger, 1},
        {"shared", test_shared_ledger, 1},
        {"loan_limit", test_loan_limit, 1},
        {"chains", test_lossy_chains, G_N_ELEMENTS(loss_percents)},
        {NULL}};
    return support_run("credit", tests);
}
