#include "quota_cluster.h"
#include "support.h"

#include <stdio.h>

/*
 * The quota of an account across all nodes, while nodes and links fail.
 */
#define MS 1000
#define SECOND_US 1000000
#define START_US (4 * SECOND_US)

/* What happens to the nodes in a scenario, 2 s after the load has begun. */
typedef enum {
    FAULT_NONE,
    /* All load moves to one node within a second. */
    FAULT_LOAD_MOVES,
    FAULT_LESSOR_KILLED,
    /* The lessor and then its successor are killed. */
    FAULT_LESSOR_KILLED_TWICE,
    FAULT_LESSOR_RESTARTED,
    FAULT_LESSOR_FROZEN,
    FAULT_LESSOR_FROZEN_SHORTLY,
    /* A node that has requested the whole burst is frozen for 0.4 s. */
    FAULT_HOLDER_FROZEN,
    /* Half of the nodes, with the lessor, cannot reach the others. */
    FAULT_HALVES,
    FAULT_ONE_CUT_OFF,
    /* The limit is halved while half of the nodes are cut off. */
    FAULT_LOWERED_IN_HALVES,
    FAULT_ALL_RESTARTED,
} fault_t;

typedef struct {
    const char *name;
    /* Load of all nodes together as a multiple of the rate. */
    double load;
    bv_quota_limit_t limit;
    uint32_t nodes;
    fault_t fault;
    /*
     * Least and most that may be admitted in 20 s, in percent of what one
     * bucket for all nodes would admit.
     */
    uint32_t least_percent;
    uint32_t most_percent;
} scenario_t;

static const scenario_t scenarios[] = {
    {"below quota", 0.8, {200, 50}, 8, FAULT_NONE, 99, 110},
    {"at most one call a second at a node",
     0.8,
     {6, 4},
     8,
     FAULT_NONE,
     93,
     120},
    {"7.5 times the usual load", 6.0, {200, 50}, 8, FAULT_NONE, 97, 104},
    {"7.5 times the usual load, large account",
     6.0,
     {2000, 400},
     8,
     FAULT_NONE,
     97,
     104},
    {"no burst", 0.8, {200, 0}, 8, FAULT_NONE, 97, 110},
    {"one node", 0.8, {200, 50}, 1, FAULT_NONE, 99, 110},
    {"load moves to one node", 0.8, {200, 50}, 8, FAULT_LOAD_MOVES, 99, 110},
    /* Two parts of three are left, which is more than this load. */
    {"lessor killed at three quarters of the rate",
     0.75,
     {200, 50},
     12,
     FAULT_LESSOR_KILLED,
     98,
     110},
    {"lessor killed", 0.8, {200, 50}, 12, FAULT_LESSOR_KILLED, 95, 110},
    {"two lessors killed",
     0.8,
     {200, 50},
     12,
     FAULT_LESSOR_KILLED_TWICE,
     90,
     110},
    /* Among these 8 nodes one is the lessor of two parts. */
    {"lessor of two parts killed",
     0.8,
     {200, 50},
     8,
     FAULT_LESSOR_KILLED,
     88,
     110},
    {"lessor restarted", 0.8, {200, 50}, 12, FAULT_LESSOR_RESTARTED, 95, 110},
    {"lessor frozen for 6 s", 6.0, {200, 50}, 8, FAULT_LESSOR_FROZEN, 80, 104},
    {"lessor frozen for 0.9 s",
     0.8,
     {200, 50},
     8,
     FAULT_LESSOR_FROZEN_SHORTLY,
     90,
     110},
    {"burst above rate, holder frozen for 0.4 s",
     30.0,
     {20, 100},
     8,
     FAULT_HOLDER_FROZEN,
     65,
     110},
    {"halves", 6.0, {200, 50}, 8, FAULT_HALVES, 50, 104},
    {"halves of a small cluster", 6.0, {200, 50}, 4, FAULT_HALVES, 82, 104},
    {"halves of two nodes", 6.0, {200, 50}, 2, FAULT_HALVES, 80, 104},
    {"one of three cut off", 6.0, {200, 50}, 3, FAULT_ONE_CUT_OFF, 80, 104},
    {"limit lowered in halves",
     6.0,
     {200, 50},
     8,
     FAULT_LOWERED_IN_HALVES,
     42,
     104},
    {"all restarted", 6.0, {200, 50}, 8, FAULT_ALL_RESTARTED, 82, 104},
};

static void
set_loads(quota_cluster_t *cluster, double load)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        quota_cluster_set_load(cluster, i, load / cluster->count);
    }
}

static void
move_load(quota_cluster_t *cluster, double load)
{
    for (int step = 1; step <= 5; step++) {
        double rest = load * (5 - step) / 5;
        set_loads(cluster, rest);
        quota_cluster_set_load(cluster, 0,
                               load - rest + rest / cluster->count);
        quota_cluster_run(cluster, 200 * MS);
    }
}

/* Puts the lessor and `others` more nodes on another side. */
static void
separate(quota_cluster_t *cluster, uint32_t others)
{
    uint32_t lessor = quota_cluster_lessor(cluster);
    for (uint32_t i = 0; i <= others; i++) {
        quota_cluster_set_side(cluster, (lessor + i) % cluster->count, 1);
    }
}

static void
lower_limits(quota_cluster_t *cluster, const bv_quota_limit_t *limit,
             uint32_t side)
{
    bv_quota_limit_t half = {limit->rate_per_s / 2, limit->burst / 2};
    for (uint32_t i = 0; i < cluster->count; i++) {
        if (cluster->nodes[i].side == side) {
            quota_cluster_set_limit(cluster, i, &half);
        }
    }
}

static void
join_sides(quota_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        quota_cluster_set_side(cluster, i, 0);
    }
}

static void
run_divided(quota_cluster_t *cluster, const scenario_t *row, uint32_t others)
{
    separate(cluster, others);
    quota_cluster_run(cluster, 3 * SECOND_US);
    if (row->fault == FAULT_LOWERED_IN_HALVES) {
        lower_limits(cluster, &row->limit, 0);
    }
    quota_cluster_run(cluster, 5 * SECOND_US);
    if (row->fault == FAULT_LOWERED_IN_HALVES) {
        lower_limits(cluster, &row->limit, 1);
    }
    join_sides(cluster);
}

/*
 * Three times, a node takes the whole burst and uses it 0.4 s late; the others
 * use what is left. Nothing is used before, so that the bucket is full.
 */
static void
freeze_holder(quota_cluster_t *cluster, double load)
{
    uint32_t holder = (quota_cluster_lessor(cluster) + 1) % cluster->count;
    for (int i = 0; i < 3; i++) {
        set_loads(cluster, 0);
        quota_cluster_run(cluster, 6 * SECOND_US);
        quota_cluster_set_load(cluster, holder, 50000);
        quota_cluster_run(cluster, 2 * MS);
        quota_cluster_freeze(cluster, holder, 400 * MS);
        set_loads(cluster, load);
        quota_cluster_set_load(cluster, holder, 0);
        quota_cluster_run(cluster, 6 * SECOND_US);
    }
}

static void
play_fault(quota_cluster_t *cluster, const scenario_t *row)
{
    uint32_t lessor = quota_cluster_lessor(cluster);
    switch (row->fault) {
    case FAULT_NONE:
        break;
    case FAULT_LOAD_MOVES:
        move_load(cluster, row->load * row->limit.rate_per_s);
        break;
    case FAULT_LESSOR_KILLED:
        quota_cluster_kill(cluster, lessor);
        break;
    case FAULT_LESSOR_KILLED_TWICE:
        quota_cluster_kill(cluster, lessor);
        quota_cluster_run(cluster, 5 * SECOND_US);
        quota_cluster_kill(cluster, quota_cluster_lessor(cluster));
        break;
    case FAULT_LESSOR_RESTARTED:
        quota_cluster_start(cluster, lessor);
        break;
    case FAULT_LESSOR_FROZEN:
        quota_cluster_freeze(cluster, lessor, 6 * SECOND_US);
        break;
    case FAULT_LESSOR_FROZEN_SHORTLY:
        quota_cluster_freeze(cluster, lessor, 900 * MS);
        break;
    case FAULT_HOLDER_FROZEN:
        freeze_holder(cluster, row->load * row->limit.rate_per_s);
        break;
    case FAULT_HALVES:
    case FAULT_LOWERED_IN_HALVES:
        run_divided(cluster, row, cluster->count / 2 - 1);
        break;
    case FAULT_ONE_CUT_OFF:
        run_divided(cluster, row, 0);
        break;
    case FAULT_ALL_RESTARTED:
        for (uint32_t i = 0; i < cluster->count; i++) {
            quota_cluster_start(cluster, i);
        }
        break;
    }
}

/*
 * Guards against a quota that is exceeded in any window (checked by the
 * cluster at each request), and against requests below it that are refused.
 */
START_TEST(test_scenario)
{
    const scenario_t *row = &scenarios[_i];
    quota_cluster_t cluster;
    support_random_run_t run = support_random_run((guint32)_i + 1, 0);
    quota_cluster_create(&cluster, run.seed, row->nodes, &row->limit);
    quota_cluster_run(&cluster, START_US);
    set_loads(&cluster, row->load * row->limit.rate_per_s);
    quota_cluster_run(&cluster, 2 * SECOND_US);
    quota_cluster_clear_counts(&cluster);
    int64_t start_us = sim_now_us(cluster.sim);
    play_fault(&cluster, row);
    quota_cluster_run(&cluster,
                      start_us + 20 * SECOND_US - sim_now_us(cluster.sim));
    double percent = 100.0 * (double)cluster.admitted / (double)cluster.ideal;
    printf("%s: %.1f%% of %" G_GUINT64_FORMAT " admitted, %" G_GUINT64_FORMAT
           " refused, %" G_GUINT64_FORMAT " in a window, %" G_GUINT64_FORMAT
           " messages\n",
           row->name, percent, (guint64)cluster.ideal,
           (guint64)cluster.refused, (guint64)cluster.most_in_window,
           (guint64)cluster.messages);
    ck_assert_uint_ge((uint64_t)percent, row->least_percent);
    ck_assert_uint_le((uint64_t)percent, row->most_percent);
    quota_cluster_destroy(&cluster);
}
END_TEST

static void
play_random_fault(quota_cluster_t *cluster)
{
    uint32_t index =
        (uint32_t)sim_random_between(cluster->sim, 0, (int)cluster->count);
    bv_quota_limit_t limit = {
        (uint32_t)sim_random_between(cluster->sim, 1, 400),
        (uint32_t)sim_random_between(cluster->sim, 0, 100)};
    switch (sim_random_between(cluster->sim, 0, 8)) {
    case 0:
        quota_cluster_start(cluster, index);
        return;
    case 1:
        quota_cluster_freeze(
            cluster, index,
            sim_random_between(cluster->sim, 10 * MS, 8 * SECOND_US));
        return;
    case 2:
        separate(cluster, index);
        return;
    case 3:
    case 4:
        join_sides(cluster);
        return;
    case 5:
        for (uint32_t i = 0; i < cluster->count; i++) {
            quota_cluster_set_limit(cluster, i, &limit);
        }
        return;
    case 6:
        quota_cluster_set_load(cluster, index,
                               sim_random_between(cluster->sim, 0, 300));
        return;
    default:
        cluster->loss_percent = sim_random_between(cluster->sim, 0, 30);
        return;
    }
}

/*
 * Guards against permits that are created or used twice when messages are lost
 * or late, nodes freeze, restart or are separated, the lessor changes, calls
 * return their permits, or the limit changes.
 */
START_TEST(test_random)
{
    quota_cluster_t cluster;
    bv_quota_limit_t limit = {200, 50};
    support_random_run_t run = support_random_run(1, 1000000);
    quota_cluster_create(&cluster, run.seed, 9, &limit);
    cluster.return_percent = 20;
    quota_cluster_run(&cluster, START_US);
    set_loads(&cluster, 600);
    for (uint64_t steps = 0; steps < run.events; steps += 10000) {
        play_random_fault(&cluster);
        quota_cluster_run_steps(&cluster, 10000);
    }
    printf("%" G_GUINT64_FORMAT " admitted, %" G_GUINT64_FORMAT " refused\n",
           (guint64)cluster.admitted, (guint64)cluster.refused);
    ck_assert_uint_gt(cluster.admitted, 0);
    ck_assert_uint_gt(cluster.refused, 0);
    quota_cluster_destroy(&cluster);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"scenario", test_scenario, G_N_ELEMENTS(scenarios)},
        {"random", test_random, 1},
        {NULL}};
    return support_run("quota_cluster", tests);
}
