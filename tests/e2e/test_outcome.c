#include "fixture.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define ROUNDS 3
#define WAIT_US (20 * BV_US_PER_S)

static fixture_t *fixture;

typedef struct fault_case fault_case_t;
struct fault_case {
    const char *name;
    void (*run)(const fault_case_t *fault, size_t instance);
    cluster_role_t role;
    const char *instance;
    int64_t pause_ms;
};

static void
pause_fault(const fault_case_t *fault)
{
    usleep((useconds_t)(fault->pause_ms * BV_US_PER_MS));
}

static void
freeze(const fault_case_t *fault, size_t instance)
{
    cluster_signal(fixture->cluster, fault->role, instance, SIGSTOP);
    pause_fault(fault);
    cluster_signal(fixture->cluster, fault->role, instance, SIGCONT);
}

static void
restart(const fault_case_t *fault, size_t instance)
{
    cluster_signal(fixture->cluster, fault->role, instance, SIGKILL);
    pause_fault(fault);
    cluster_wait_exit(fixture->cluster, fault->role, instance, WAIT_US);
    ck_assert(cluster_restart(fixture->cluster, fault->role, instance, NULL));
    ck_assert(cluster_wait_health(fixture->cluster, instance, 200, WAIT_US));
}

static void
cut(const fault_case_t *fault, size_t instance)
{
    ck_assert(cluster_link_cut(fixture->cluster, instance));
    pause_fault(fault);
    ck_assert(cluster_link_heal(fixture->cluster, instance));
}

/* Open connections are silent for good; new ones work. */
static void
silence(const fault_case_t *fault, size_t instance)
{
    ck_assert(cluster_link_silence(fixture->cluster, instance));
    pause_fault(fault);
}

static const fault_case_t fault_cases[] = {
    {"silent links", silence, CLUSTER_LINK, "payments-1", 500},
    {"cut links", cut, CLUSTER_LINK, "payments-1", 600},
    {"node frozen past the deadline", freeze, CLUSTER_NODE, "orders-1", 2200},
    {"node frozen under the deadline", freeze, CLUSTER_NODE, "payments-1",
     1000},
    {"target frozen", freeze, CLUSTER_TARGET, "payments-1", 1300},
    {"node restarted", restart, CLUSTER_NODE, "orders-2", 200},
    {"target restarted", restart, CLUSTER_TARGET, "payments-2", 200},
};

static gpointer
run_load(gpointer data)
{
    const fault_case_t *fault = data;
    json_t *settings = json_copy(json_object_get(fixture->deployment, "load"));
    /* Another seed for each row, as the seed makes the callers' keys. */
    json_object_set_new(settings, "seed",
                        json_integer(fault - fault_cases + 1));
    int status =
        cluster_run_load(fixture->cluster, settings, fault->name, NULL);
    json_decref(settings);
    return GINT_TO_POINTER(status);
}

/* The targets' records tell what ran; the load's judge compares. */
START_TEST(test_faults)
{
    const fault_case_t *fault = &fault_cases[_i];
    size_t instance = cluster_find_instance(fixture->cluster, fault->instance);
    GThread *load = g_thread_new("load", run_load, (gpointer)fault);
    for (int round = 0; round < ROUNDS; round++) {
        usleep(BV_US_PER_S);
        fault->run(fault, instance);
    }
    int status = GPOINTER_TO_INT(g_thread_join(load));
    printf("%s: ran %d, not run %d, unknown %d, fences %d, resent %d, "
           "replaced %d\n",
           fault->name, (int)fixture_counter_sum(fixture, "answers_ran"),
           (int)fixture_counter_sum(fixture, "answers_not_run"),
           (int)fixture_counter_sum(fixture, "answers_unknown"),
           (int)fixture_counter_sum(fixture, "fences"),
           (int)fixture_counter_sum(fixture, "answers_resent"),
           (int)fixture_counter_sum(fixture, "progress_replaced"));
    ck_assert_int_eq(status, 0);
}
END_TEST

START_TEST(test_mechanisms_were_used)
{
    ck_assert_uint_gt(fixture_counter_sum(fixture, "progress_replaced"), 0);
    ck_assert_uint_gt(fixture_counter_sum(fixture, "answers_resent"), 0);
    ck_assert_uint_gt(fixture_counter_sum(fixture, "fences"), 0);
    ck_assert_uint_gt(fixture_counter_sum(fixture, "answers_not_run"), 0);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"faults", test_faults, G_N_ELEMENTS(fault_cases)},
        {"mechanisms_were_used", test_mechanisms_were_used, 1},
        {NULL}};
    return fixture_run(&fixture, "outcome.json", "outcome", tests);
}
