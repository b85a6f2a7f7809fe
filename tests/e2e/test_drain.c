#include "fixture.h"
#include "raw.h"

#include "berylvane/common/clock.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against requests that fail or end with an unknown outcome because an
 * instance is stopped on purpose. This happens when the node exits before its
 * calls are finished, or when peers have not yet received the notice that it
 * drains, since the store is down or packets are lost.
 */

#define STATE_TIMEOUT_US (120 * BV_US_PER_S)
#define LOAD_WARMUP_US BV_US_PER_S
#define RESTARTED_INSTANCES 4

static fixture_t *fixture;

static gpointer
run_load(gpointer report_path)
{
    const json_t *load = json_object_get(fixture->deployment, "load");
    return GINT_TO_POINTER(
        cluster_run_load(fixture->cluster, load, "drain", report_path));
}

static json_int_t
sum_over_kinds(const json_t *report, const char *name)
{
    json_int_t sum = 0;
    const char *kind;
    json_t *counts;
    json_object_foreach(json_object_get(report, "kinds"), kind, counts) {
        sum += json_integer_value(json_object_get(counts, name));
    }
    return sum;
}

/*
 * Waits for the end of the load and checks that every request sent got a good
 * answer. Frees `report_path`.
 */
static void
finish_load(GThread *thread, char *report_path)
{
    int status = GPOINTER_TO_INT(g_thread_join(thread));
    json_t *report = json_load_file(report_path, 0, NULL);
    ck_assert_ptr_nonnull(report);
    printf("sent %" JSON_INTEGER_FORMAT " good %" JSON_INTEGER_FORMAT
           " unknown %" JSON_INTEGER_FORMAT "\n",
           sum_over_kinds(report, "sent"), sum_over_kinds(report, "good"),
           sum_over_kinds(report, "unknown"));
    ck_assert_int_gt(sum_over_kinds(report, "sent"), 0);
    ck_assert_int_eq(sum_over_kinds(report, "good"),
                     sum_over_kinds(report, "sent"));
    ck_assert_int_eq(status, 0);
    json_decref(report);
    g_free(report_path);
}

/*
 * Starts the load and sets `*report_path` to the file that its report will be
 * written to.
 */
static GThread *
start_load(char **report_path)
{
    *report_path =
        g_build_filename(fixture->work_directory, "report.json", NULL);
    GThread *thread = g_thread_new("load", run_load, *report_path);
    usleep(LOAD_WARMUP_US);
    return thread;
}

static void
set_platform_mode(const char *mode)
{
    char *faults = g_strdup_printf("{\"mode\": \"%s\"}", mode);
    ck_assert(cluster_set_faults(cluster_platform_port(fixture->cluster),
                                 "/control", faults));
    g_free(faults);
}

static void
set_link_faults(const char *faults)
{
    for (size_t i = 0; i < cluster_size(fixture->cluster); i++) {
        ck_assert(cluster_set_link_faults(fixture->cluster, i, faults));
    }
}

/*
 * Stops the node, then its target, as an operator does. The node drains and
 * must exit with status 0.
 */
static void
stop_instance(size_t instance)
{
    cluster_t *cluster = fixture->cluster;
    cluster_signal(cluster, CLUSTER_NODE, instance, SIGTERM);
    ck_assert_int_eq(
        cluster_wait_exit(cluster, CLUSTER_NODE, instance, STATE_TIMEOUT_US),
        0);
    cluster_signal(cluster, CLUSTER_TARGET, instance, SIGTERM);
    cluster_wait_exit(cluster, CLUSTER_TARGET, instance, STATE_TIMEOUT_US);
}

static void
start_instance(size_t instance)
{
    cluster_t *cluster = fixture->cluster;
    ck_assert(cluster_restart(cluster, CLUSTER_TARGET, instance, NULL));
    ck_assert(cluster_restart(cluster, CLUSTER_NODE, instance, NULL));
    ck_assert(cluster_wait_health(cluster, instance, 200, STATE_TIMEOUT_US));
}

typedef struct {
    const char *name;
    /* Mode of the platform stand-in during the drain. */
    const char *platform_mode;
    /* Faults of all link stand-ins during the drain, as JSON. */
    const char *link_faults;
} drain_case_t;

static const drain_case_t drain_cases[] = {
    {"no fault", "up", "{}"},
    {"store down", "down", "{}"},
    {"30 % packet loss", "up", "{\"loss_percent\": 30}"},
};

/* One instance is stopped under load, and started again. */
START_TEST(test_drain)
{
    const drain_case_t *drain_case = &drain_cases[_i];
    char *report_path;
    size_t instance = cluster_find_instance(fixture->cluster, "orders-1");
    GThread *thread = start_load(&report_path);
    set_platform_mode(drain_case->platform_mode);
    set_link_faults(drain_case->link_faults);
    stop_instance(instance);
    finish_load(thread, report_path);
    set_platform_mode("up");
    set_link_faults("{\"loss_percent\": 0}");
    start_instance(instance);
}
END_TEST

/* Four instances are stopped and started again, one by one, under load. */
START_TEST(test_rolling_restart)
{
    static const char *const names[RESTARTED_INSTANCES] = {
        "catalogue-1", "stock-1", "orders-1", "orders-2"};
    char *report_path;
    GThread *thread = start_load(&report_path);
    for (size_t i = 0; i < RESTARTED_INSTANCES; i++) {
        size_t instance = cluster_find_instance(fixture->cluster, names[i]);
        stop_instance(instance);
        start_instance(instance);
    }
    finish_load(thread, report_path);
}
END_TEST

#define LARGE_ANSWER_BYTES 4194304
#define LARGE_REQUEST                                                         \
    "GET /catalogue/drawing?bytes=4194304 HTTP/1.1\r\nHost: x\r\n\r\n"
#define SMALL_BUFFER_BYTES 65536
/* Together more than the system holds for a connection. */
#define LARGE_REQUESTS 2
#define POLL_US 10000
/* Longer than a node lingers after its last answer. */
#define READ_PAUSE_US BV_US_PER_S

/*
 * Guards against a large answer that is cut off, since its caller reads slowly
 * and the node has no other work left when it drains.
 */
START_TEST(test_slow_reader)
{
    size_t instance = cluster_find_instance(fixture->cluster, "catalogue-1");
    int buffer_bytes = SMALL_BUFFER_BYTES;
    int fd = raw_connect(cluster_ports(fixture->cluster, instance)->outside);
    ck_assert_int_ge(fd, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    for (int i = 0; i < LARGE_REQUESTS; i++) {
        raw_send(fd, LARGE_REQUEST, strlen(LARGE_REQUEST), FALSE);
    }
    while (fixture_executions(fixture, "/catalogue/drawing") <
           LARGE_REQUESTS) {
        usleep(POLL_US);
    }
    cluster_signal(fixture->cluster, CLUSTER_NODE, instance, SIGTERM);
    usleep(READ_PAUSE_US);
    char *rest = raw_read(fd);
    const char *next = rest;
    for (int i = 0; i < LARGE_REQUESTS; i++) {
        const char *body = strstr(next, "\r\n\r\n");
        ck_assert_ptr_nonnull(body);
        next = body + strlen("\r\n\r\n") + LARGE_ANSWER_BYTES;
        ck_assert_uint_ge(strlen(rest), (size_t)(next - rest));
    }
    ck_assert_str_eq(next, "");
    close(fd);
    g_free(rest);
    ck_assert_int_eq(cluster_wait_exit(fixture->cluster, CLUSTER_NODE,
                                       instance, STATE_TIMEOUT_US),
                     0);
    ck_assert(cluster_restart(fixture->cluster, CLUSTER_NODE, instance, NULL));
    ck_assert(cluster_wait_health(fixture->cluster, instance, 200,
                                  STATE_TIMEOUT_US));
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"drain", test_drain, G_N_ELEMENTS(drain_cases)},
        {"rolling_restart", test_rolling_restart, 1},
        {"slow_reader", test_slow_reader, 1},
        {NULL}};
    return fixture_run(&fixture, "drain.json", "drain", tests);
}
