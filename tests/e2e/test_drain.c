#include "fixture.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <unistd.h>

#define WAIT_US (120 * BV_US_PER_S)
#define SETTLE_US BV_US_PER_S
#define RESTARTED 4

static fixture_t *fixture;

static gpointer
run_load(gpointer report)
{
    const json_t *load = json_object_get(fixture->deployment, "load");
    return GINT_TO_POINTER(
        cluster_run_load(fixture->cluster, load, "drain", report));
}

static json_int_t
total_of(const json_t *report, const char *name)
{
    json_int_t total = 0;
    const char *kind;
    json_t *tally;
    json_object_foreach(json_object_get(report, "kinds"), kind, tally) {
        total += json_integer_value(json_object_get(tally, name));
    }
    return total;
}

/* Every request was answered in the end, and none left in doubt. */
static void
finish_load(GThread *thread, char *path)
{
    int status = GPOINTER_TO_INT(g_thread_join(thread));
    json_t *report = json_load_file(path, 0, NULL);
    ck_assert_ptr_nonnull(report);
    printf("sent %" JSON_INTEGER_FORMAT " good %" JSON_INTEGER_FORMAT
           " unknown %" JSON_INTEGER_FORMAT "\n",
           total_of(report, "sent"), total_of(report, "good"),
           total_of(report, "unknown"));
    ck_assert_int_gt(total_of(report, "sent"), 0);
    ck_assert_int_eq(total_of(report, "good"), total_of(report, "sent"));
    ck_assert_int_eq(status, 0);
    json_decref(report);
    g_free(path);
}

static GThread *
begin_load(char **path)
{
    *path = g_build_filename(fixture->work_directory, "report.json", NULL);
    GThread *thread = g_thread_new("load", run_load, *path);
    usleep(SETTLE_US);
    return thread;
}

static void
set_platform(const char *mode)
{
    char *faults = g_strdup_printf("{\"mode\": \"%s\"}", mode);
    ck_assert(cluster_set_faults(cluster_platform_port(fixture->cluster),
                                 "/control", faults));
    g_free(faults);
}

static void
set_links(const char *faults)
{
    for (size_t i = 0; i < cluster_size(fixture->cluster); i++) {
        ck_assert(cluster_set_link_faults(fixture->cluster, i, faults));
    }
}

/* Stops node and target in this order, as an operator does. */
static void
stop_instance(size_t instance)
{
    cluster_t *cluster = fixture->cluster;
    cluster_signal(cluster, CLUSTER_NODE, instance, SIGTERM);
    ck_assert_int_eq(
        cluster_wait_exit(cluster, CLUSTER_NODE, instance, WAIT_US), 0);
    cluster_signal(cluster, CLUSTER_TARGET, instance, SIGTERM);
    cluster_wait_exit(cluster, CLUSTER_TARGET, instance, WAIT_US);
}

static void
start_instance(size_t instance)
{
    cluster_t *cluster = fixture->cluster;
    ck_assert(cluster_restart(cluster, CLUSTER_TARGET, instance, NULL));
    ck_assert(cluster_restart(cluster, CLUSTER_NODE, instance, NULL));
    ck_assert(cluster_wait_health(cluster, instance, 200, WAIT_US));
}

typedef struct {
    const char *name;
    const char *platform;
    const char *links;
} drain_case_t;

static const drain_case_t drain_cases[] = {
    {"calm", "up", "{}"},
    {"store down", "down", "{}"},
    {"loss of 30 percent", "up", "{\"loss_percent\": 30}"},
};

START_TEST(test_drain)
{
    const drain_case_t *row = &drain_cases[_i];
    char *path;
    size_t instance = cluster_find_instance(fixture->cluster, "orders-1");
    GThread *thread = begin_load(&path);
    set_platform(row->platform);
    set_links(row->links);
    stop_instance(instance);
    finish_load(thread, path);
    set_platform("up");
    set_links("{\"loss_percent\": 0}");
    start_instance(instance);
}
END_TEST

/* Nodes and targets are replaced one after the other under load. */
START_TEST(test_rolling_restart)
{
    static const char *const names[RESTARTED] = {"catalogue-1", "stock-1",
                                                 "orders-1", "orders-2"};
    char *path;
    GThread *thread = begin_load(&path);
    for (size_t i = 0; i < RESTARTED; i++) {
        size_t instance = cluster_find_instance(fixture->cluster, names[i]);
        stop_instance(instance);
        start_instance(instance);
    }
    finish_load(thread, path);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"drain", test_drain, G_N_ELEMENTS(drain_cases)},
        {"rolling_restart", test_rolling_restart, 1},
        {NULL}};
    return fixture_run(&fixture, "drain.json", "drain", tests);
}
