#include "fixture.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <unistd.h>

/* As retry.credits of retries-base.json. */
#define CREDITS 1
#define CALLS 20
#define WAIT_US (20 * BV_US_PER_S)

static fixture_t *fixture;
static uint64_t retries_seen;

static uint64_t
retries_so_far(void)
{
    return fixture_counter_sum(fixture, "retries") +
           fixture_counter_sum(fixture, "hedges");
}

typedef struct {
    const char *name;
    /* The two instances that fail. */
    const char *first;
    const char *second;
    bool (*begin)(cluster_t *cluster, size_t instance);
    bool (*end)(cluster_t *cluster, size_t instance);
} fault_case_t;

static bool
kill_target(cluster_t *cluster, size_t instance)
{
    cluster_signal(cluster, CLUSTER_TARGET, instance, SIGKILL);
    return cluster_wait_exit(cluster, CLUSTER_TARGET, instance, WAIT_US) >= 0;
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
    {"refused at the fourth hop", "hides-1", "hides-2", kill_target,
     start_target},
    {"refused at the third hop", "depot-1", "depot-2", kill_target,
     start_target},
    {"refused at two hops", "stock-1", "hides-1", kill_target, start_target},
    {"cut at the fourth hop", "hides-1", "hides-2", cut_link, heal_link},
    {"silent at two hops", "depot-1", "hides-2", silence_link, heal_link},
};

static void
call_once(void)
{
    size_t entry = cluster_find_instance(fixture->cluster, "catalogue-1");
    uint16_t port = cluster_ports(fixture->cluster, entry)->outside;
    uint64_t before = retries_so_far();
    bv_http_reply_t reply =
        cluster_call(port, "GET", "/catalogue/a", NULL, NULL);
    ck_assert_int_eq(reply.result, BV_HTTP_ANSWERED);
    bv_http_reply_clear(&reply);
    uint64_t retries = retries_so_far() - before;
    ck_assert_uint_le(retries, CREDITS);
    retries_seen += retries;
}

/* One request at a time: the counters tell what it spent over all hops. */
START_TEST(test_faults)
{
    const fault_case_t *fault = &fault_cases[_i];
    size_t first = cluster_find_instance(fixture->cluster, fault->first);
    size_t second = cluster_find_instance(fixture->cluster, fault->second);
    uint64_t before = retries_seen;
    ck_assert(fault->begin(fixture->cluster, first));
    ck_assert(fault->begin(fixture->cluster, second));
    for (int i = 0; i < CALLS; i++) {
        call_once();
    }
    ck_assert(fault->end(fixture->cluster, first));
    ck_assert(fault->end(fixture->cluster, second));
    printf("%s: %d retries of %d requests\n", fault->name,
           (int)(retries_seen - before), CALLS);
}
END_TEST

START_TEST(test_retries_were_made)
{
    ck_assert_uint_gt(retries_seen, 0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"faults", test_faults, G_N_ELEMENTS(fault_cases)},
        {"retries_were_made", test_retries_were_made, 1},
        {NULL}};
    return fixture_run(&fixture, "retries.json", "retries", tests);
}
