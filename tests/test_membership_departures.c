#include "member_cluster.h"
#include "support.h"

/*
 * Guards against departures of a target that its node cannot learn again after
 * a crash, because the members do not keep them or do not report them.
 */
#define SECOND_US 1000000
#define NODES 24
#define SEEDS 20
#define SPREAD_US (5 * (int64_t)SECOND_US)
#define SHORT_US (SECOND_US / 2)
#define LONG_US (30 * (int64_t)SECOND_US)

typedef struct {
    const char *name;
    /* Time from the crash to the start. */
    int64_t down_us;
    int loss_percent;
    /* The members have no row of the store to find each other. */
    bool is_store_away;
    /* The node leaves as planned, in place of the crash. */
    bool leaves;
} case_t;

static const case_t cases[] = {
    {"crash", SHORT_US, 0, false, false},
    {"crash, evicted", LONG_US, 0, false, false},
    {"crash, store away", SHORT_US, 0, true, false},
    {"crash, evicted, store away", LONG_US, 0, true, false},
    {"crash, packets lost", SHORT_US, 30, false, false},
    {"planned stop", SHORT_US, 0, false, true},
};

static const bv_departures_t departures = {{{7, 1000, 5}, {8, 2000, 9}}};

static member_cluster_t *
create_cluster(guint32 seed)
{
    const member_cluster_options_t options = {
        .seed = seed,
        .nodes = NODES,
        .data_centres = 6,
        .regions = 3,
        .probe_interval_us = SECOND_US,
        .suspect_timeout_us = 5 * SECOND_US,
        .forget_after_us = 120 * (int64_t)SECOND_US,
        .has_model = true,
        .starts_joined = true,
    };
    return member_cluster_create(&options);
}

static void
stop_node(member_node_t *node, const case_t *row)
{
    if (row->leaves) {
        member_node_leave(node);
    }
    else {
        member_node_crash(node);
    }
}

START_TEST(test_restart)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        const case_t *row = &cases[_i];
        member_cluster_t *cluster = create_cluster(seed);
        member_node_t *node = &cluster->nodes[0];
        member_cluster_run(cluster, SPREAD_US, UINT64_MAX);
        cluster->loss_percent = row->loss_percent;
        bv_membership_set_self_departures(node->membership, &departures);
        member_cluster_run(cluster, SECOND_US, UINT64_MAX);
        ck_assert_msg(bv_departures_include(&node->reported, &departures),
                      "%s, seed %u: not confirmed", row->name, seed);
        stop_node(node, row);
        member_cluster_run(cluster, row->down_us, UINT64_MAX);
        cluster->is_store_up = !row->is_store_away;
        member_node_start(node);
        member_cluster_run(cluster, 4 * SPREAD_US, UINT64_MAX);
        ck_assert_msg(bv_departures_include(&node->reported, &departures),
                      "%s, seed %u: not learned again", row->name, seed);
        member_cluster_destroy(cluster);
    }
}
END_TEST

/*
 * Guards against reports that never end when the node does not take them over,
 * as one of an earlier version does not.
 */
START_TEST(test_reports_end)
{
    member_cluster_t *cluster = create_cluster(1);
    member_node_t *node = &cluster->nodes[0];
    member_cluster_run(cluster, SPREAD_US, UINT64_MAX);
    bv_membership_set_self_departures(node->membership, &departures);
    member_cluster_run(cluster, SPREAD_US, UINT64_MAX);
    member_node_crash(node);
    member_node_start(node);
    member_cluster_run(cluster, 120 * (int64_t)SECOND_US, UINT64_MAX);
    ck_assert(bv_departures_include(&node->reported, &departures));
    uint64_t reports = node->reports;
    member_cluster_run(cluster, 120 * (int64_t)SECOND_US, UINT64_MAX);
    ck_assert_uint_eq(node->reports, reports);
    member_cluster_destroy(cluster);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"restart", test_restart, G_N_ELEMENTS(cases)},
        {"reports_end", test_reports_end, 1},
        {NULL}};
    return support_run("membership_departures", tests);
}
