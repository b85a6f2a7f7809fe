#include "fixture.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <unistd.h>

/*
 * Guards against retry storms: when every node on the path retries on its own,
 * the attempts for one request multiply with each hop. All retries and hedges
 * for one request, over all hops, must stay within the retry credits that the
 * request starts with.
 */

/* Equal to retry.credits in retries-base.json. */
#define CREDITS 1
#define REQUESTS 20
#define EXIT_TIMEOUT_US (20 * BV_US_PER_S)

static fixture_t *fixture;
static uint64_t total_retries;

static uint64_t
count_retries_and_hedges(void)
{
    return fixture_counter_sum(fixture, "retries") +
           fixture_counter_sum(fixture, "hedges");
}

typedef struct {
    const char *name;
    /* The two instances at which the fault is injected. */
    const char *first;
    const char *second;
    bool (*begin)(cluster_t *cluster, size_t instance);
    bool (*end)(cluster_t *cluster, size_t instance);
} fault_case_t;

static bool
kill_target(cluster_t *cluster, size_t instance)
{
    cluster_signal(cluster, CLUSTER_TARGET, instance, SIGKILL);
    return cluster_wait_exit(cluster, CLUSTER_TARGET, instance,
                             EXIT_TIMEOUT_US) >= 0;
}

static bool
start_target(cluster_t *cluster, size_t instance)
{
    return cluster_restart(cluster, CLUSTER_TARGET, instance, NULL);
}

static bool
cut_link(cluster_t *cluster, size_t instance)
{
    return cluster_link_cut(cluster, instance);
}

static bool
silence_link(cluster_t *cluster, size_t instance)
{
    return cluster_link_silence(cluster, instance);
}

static bool
heal_link(cluster_t *cluster, size_t instance)
{
    return cluster_link_heal(cluster, instance);
}

static const fault_case_t fault_cases[] = {
    {"target killed at the fourth hop", "hides-1", "hides-2", kill_target,
     start_target},
    {"target killed at the third hop", "depot-1", "depot-2", kill_target,
     start_target},
    {"target killed at two hops", "stock-1", "hides-1", kill_target,
     start_target},
    {"link cut at the fourth hop", "hides-1", "hides-2", cut_link, heal_link},
    {"open connections silent at two hops", "depot-1", "hides-2", silence_link,
     heal_link},
};

static void
call_and_check_retries(void)
{
    size_t entry = cluster_find_instance(fixture->cluster, "catalogue-1");
    uint16_t port = cluster_ports(fixture->cluster, entry)->outside;
    uint64_t before = count_retries_and_hedges();
    bv_http_reply_t reply =
        cluster_call(port, "GET", "/catalogue/a", NULL, NULL);
    ck_assert_int_eq(reply.result, BV_HTTP_ANSWERED);
    bv_http_reply_clear(&reply);
    uint64_t retries = count_retries_and_hedges() - before;
    ck_assert_uint_le(retries, CREDITS);
    total_retries += retries;
}

/*
 * Only one request is under way at a time, so the growth of the counters of
 * all nodes is the number of retries and hedges for that request over all
 * hops.
 */
START_TEST(test_credits_bound_retries)
{
    const fault_case_t *fault = &fault_cases[_i];
    size_t first = cluster_find_instance(fixture->cluster, fault->first);
    size_t second = cluster_find_instance(fixture->cluster, fault->second);
    uint64_t before = total_retries;
    ck_assert(fault->begin(fixture->cluster, first));
    ck_assert(fault->begin(fixture->cluster, second));
    for (int i = 0; i < REQUESTS; i++) {
        call_and_check_retries();
    }
    ck_assert(fault->end(fixture->cluster, first));
    ck_assert(fault->end(fixture->cluster, second));
    printf("%s: %d retries and hedges for %d requests\n", fault->name,
           (int)(total_retries - before), REQUESTS);
}
END_TEST

/*
 * Guards against faults that cause no retry at all, with which
 * test_credits_bound_retries would always pass.
 */
START_TEST(test_retries_were_made)
{
    ck_assert_uint_gt(total_retries, 0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"credits_bound_retries", test_credits_bound_retries,
         G_N_ELEMENTS(fault_cases)},
        {"retries_were_made", test_retries_were_made, 1},
        {NULL}};
    return fixture_run(&fixture, "retries.json", "retries", tests);
}
