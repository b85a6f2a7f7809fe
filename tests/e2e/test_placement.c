#include "fixture.h"

/*
 * Guards against a fleet in which some nodes exchange load reports and others
 * do not, as during an upgrade: calls must be answered as before, and a node
 * with placement off must neither send nor receive a report.
 *
 * The nodes of catalogue and stock have placement on, those of orders and
 * depot off, and those of payments in observe mode.
 */

static fixture_t *fixture;

/* Guards against answers that are lost or wrong between the two kinds. */
START_TEST(test_answers)
{
    ck_assert_int_eq(
        cluster_run_load(fixture->cluster,
                         json_object_get(fixture->deployment, "load"),
                         "placement", NULL),
        0);
    ck_assert_uint_eq(fixture_counter_sum(fixture, "peer_bad"), 0);
}
END_TEST

typedef struct {
    const char *instance;
    bool has_reports;
} report_case_t;

/* The load enters at all nodes, and each of them calls catalogue or orders. */
static const report_case_t report_cases[] = {
    {"catalogue-1", true}, {"stock-1", true},   {"payments-1", true},
    {"depot-1", false},    {"orders-1", false},
};

START_TEST(test_reports)
{
    const report_case_t *row = &report_cases[_i];
    size_t instance = cluster_find_instance(fixture->cluster, row->instance);
    uint64_t reports = fixture_counter(fixture, instance, "placement_reports");
    ck_assert_msg((reports > 0) == row->has_reports, "%s has %llu reports",
                  row->instance, (unsigned long long)reports);
}
END_TEST

static json_t *
read_status(const char *name)
{
    size_t instance = cluster_find_instance(fixture->cluster, name);
    uint16_t port = cluster_ports(fixture->cluster, instance)->operators;
    bv_http_reply_t reply = cluster_call(port, "GET", "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    ck_assert_ptr_nonnull(status);
    bv_http_reply_clear(&reply);
    return status;
}

/* Guards against a status without the targets, or that changes while off. */
START_TEST(test_status)
{
    json_t *with = read_status("catalogue-1");
    json_t *without = read_status("orders-1");
    const json_t *placement = json_object_get(with, "placement");
    const json_t *targets = json_object_get(placement, "targets");
    ck_assert_str_eq(json_string_value(json_object_get(placement, "mode")),
                     "on");
    ck_assert_uint_ge(json_array_size(targets), 3);
    ck_assert_ptr_null(json_object_get(without, "placement"));
    json_decref(with);
    json_decref(without);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"answers", test_answers, 1},
        {"reports", test_reports, G_N_ELEMENTS(report_cases)},
        {"status", test_status, 1},
        {NULL}};
    return fixture_run(&fixture, "placement.json", "placement", tests);
}
