#include "member_cluster.h"
#include "support.h"

#include <stdio.h>

#define SECOND_US 1000000
#define NODES 24
#define QUIET_US (180 * (int64_t)SECOND_US)
#define PARTS 10

static const member_cluster_options_t small = {
    .nodes = NODES,
    .data_centres = 6,
    .regions = 3,
    .probe_interval_us = SECOND_US,
    .suspect_timeout_us = 5 * SECOND_US,
    .forget_us = 120 * (int64_t)SECOND_US,
    .has_model = true,
};

static member_cluster_t *
create(guint32 seed)
{
    member_cluster_options_t options = small;
    options.seed = seed;
    return member_cluster_create(&options);
}

static void
change_node(member_cluster_t *world, member_node_t *node)
{
    if (!node->is_up) {
        member_node_start(node);
        return;
    }
    if (node->is_paused) {
        node->is_paused = false;
        return;
    }
    bool draining =
        bv_membership_self(node->membership)->state == BV_MEMBER_DRAINING;
    switch (sim_random_between(world->sim, 0, 4)) {
    case 0:
        member_node_crash(node);
        return;
    case 1:
        node->is_paused = true;
        return;
    case 2:
        if (draining) {
            member_node_leave(node);
        }
        else {
            member_node_drain(node);
        }
        return;
    default:
        return;
    }
}

/* Cuts off one node, one data centre or one region. */
static void
change_network(member_cluster_t *world)
{
    uint32_t place = (uint32_t)sim_random_between(world->sim, 0, NODES);
    static const uint32_t groups[] = {NODES, 6, 3};
    uint32_t group = groups[sim_random_between(world->sim, 0, 3)];
    bool heal = sim_chance(world->sim, 50);
    for (uint32_t i = 0; i < NODES; i++) {
        member_node_t *node = &world->nodes[i];
        node->partition = !heal && i % group == place % group ? 1 : 0;
    }
    world->loss_percent = sim_random_between(world->sim, 0, 40);
    world->delay_limit_us = sim_random_between(world->sim, 0, 2 * SECOND_US);
    world->is_store_up = sim_chance(world->sim, 50);
}

static void
make_trouble(member_cluster_t *world)
{
    world->duplicate_percent = 10;
    member_node_t *node =
        &world->nodes[sim_random_between(world->sim, 0, NODES)];
    change_node(world, node);
    if (sim_chance(world->sim, 20)) {
        change_network(world);
    }
    member_cluster_run(world, sim_random_between(world->sim, 1, 5 * SECOND_US),
                       G_MAXUINT64);
}

static void
heal(member_cluster_t *world)
{
    world->loss_percent = 0;
    world->duplicate_percent = 0;
    world->delay_limit_us = 1000;
    world->is_store_up = true;
    for (uint32_t i = 0; i < NODES; i++) {
        member_node_t *node = &world->nodes[i];
        node->partition = 0;
        node->is_paused = false;
    }
    member_cluster_run(world, QUIET_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_wrong_views(world), 0);
}

START_TEST(test_random)
{
    support_random_run_t given = support_random_run(1 + (guint32)_i, 1000000);
    member_cluster_t *world = create(given.seed);
    for (uint64_t part = 1; part <= PARTS; part++) {
        while (world->events < given.events * part / PARTS) {
            make_trouble(world);
        }
        heal(world);
    }
    ck_assert_uint_gt(world->totals.replays_dropped, 0);
    printf("%" G_GUINT64_FORMAT " events, %" G_GUINT64_FORMAT
           " packets, %" G_GUINT64_FORMAT " evictions, %" G_GUINT64_FORMAT
           " replays dropped, %" G_GUINT64_FORMAT " syncs\n",
           (guint64)world->events, (guint64)world->totals.packets,
           (guint64)world->totals.evictions,
           (guint64)world->totals.replays_dropped,
           (guint64)world->totals.syncs);
    member_cluster_destroy(world);
}
END_TEST

typedef struct {
    const char *name;
    int loss_percent;
    bool store_up;
    /* Nodes whose number leaves the same rest are cut off; 0 for none. */
    uint32_t cut_group;
} drain_case_t;

static const drain_case_t drain_cases[] = {
    {"calm", 0, true, 0},
    {"store down", 0, false, 0},
    {"loss of 30 percent", 30, false, 0},
    {"a region cut off", 30, false, 3},
};

/* Of those that the drained node reaches, none may send it new work. */
START_TEST(test_drain)
{
    const drain_case_t *row = &drain_cases[_i];
    for (guint32 seed = 1; seed <= 5; seed++) {
        member_cluster_t *world = create(seed);
        member_cluster_run(world, 30 * (int64_t)SECOND_US, G_MAXUINT64);
        world->loss_percent = row->loss_percent;
        world->is_store_up = row->store_up;
        uint32_t cut = 0;
        for (uint32_t i = 0; i < NODES && row->cut_group != 0; i++) {
            world->nodes[i].partition = i % row->cut_group == 1;
            cut += world->nodes[i].partition;
        }
        member_node_drain(&world->nodes[0]);
        member_cluster_run(world, 3 * (int64_t)SECOND_US, G_MAXUINT64);
        ck_assert_uint_eq(
            member_cluster_count_candidates(world, &world->nodes[0]), cut);
        member_cluster_destroy(world);
    }
}
END_TEST

typedef struct {
    const char *name;
    /* Nodes whose number leaves this rest when divided by `group`. */
    uint32_t group;
    uint32_t rest;
} cut_case_t;

static const cut_case_t cut_cases[] = {
    {"one node", NODES, 5},
    {"a region", 3, 1},
};

/* What is cut off keeps its last known set, and finds back. */
START_TEST(test_cut_off)
{
    const cut_case_t *row = &cut_cases[_i];
    for (guint32 seed = 1; seed <= 3; seed++) {
        member_cluster_t *world = create(seed);
        member_cluster_run(world, 30 * (int64_t)SECOND_US, G_MAXUINT64);
        ck_assert_uint_eq(member_cluster_count_wrong_views(world), 0);
        for (uint32_t i = 0; i < NODES; i++) {
            world->nodes[i].partition = i % row->group == row->rest;
        }
        member_cluster_run(world, 200 * (int64_t)SECOND_US, G_MAXUINT64);
        for (uint32_t i = row->rest; i < NODES; i += row->group) {
            ck_assert_uint_ge(
                bv_membership_count_present(world->nodes[i].membership),
                NODES - 1 - 2);
        }
        heal(world);
        member_cluster_destroy(world);
    }
}
END_TEST

/* A dead member is found, in the end, by everybody. */
START_TEST(test_crash)
{
    member_cluster_t *world = create(7);
    member_cluster_run(world, 60 * (int64_t)SECOND_US, G_MAXUINT64);
    member_node_crash(&world->nodes[3]);
    member_cluster_run(world, 30 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_candidates(world, &world->nodes[3]),
                      0);
    member_cluster_destroy(world);
}
END_TEST

/* Loss alone evicts nobody: others probe, and suspicion is refuted. */
START_TEST(test_loss)
{
    for (guint32 seed = 1; seed <= 2; seed++) {
        member_cluster_t *world = create(seed);
        member_cluster_run(world, 30 * (int64_t)SECOND_US, G_MAXUINT64);
        world->loss_percent = 20;
        member_cluster_run(world, 600 * (int64_t)SECOND_US, G_MAXUINT64);
        ck_assert_uint_eq(world->totals.evictions, 0);
        member_cluster_destroy(world);
    }
}
END_TEST

/* With the store out, a node that restarts in place is found by probes. */
START_TEST(test_restart_without_store)
{
    member_cluster_t *world = create(3);
    member_cluster_run(world, 30 * (int64_t)SECOND_US, G_MAXUINT64);
    world->is_store_up = false;
    member_node_crash(&world->nodes[3]);
    member_cluster_run(world, 30 * (int64_t)SECOND_US, G_MAXUINT64);
    member_node_start(&world->nodes[3]);
    member_cluster_run(world, 60 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_wrong_views(world), 0);
    member_cluster_destroy(world);
}
END_TEST

#define LARGE 200
#define CUT 20

/* What was missed while cut off comes by anti-entropy. */
START_TEST(test_missed_changes)
{
    member_cluster_options_t options = small;
    options.seed = 5;
    options.nodes = LARGE;
    options.has_model = false;
    member_cluster_t *world = member_cluster_create(&options);
    member_cluster_run(world, 120 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_wrong_views(world), 0);
    for (uint32_t i = 0; i < CUT; i++) {
        world->nodes[i].partition = 1;
    }
    for (uint32_t i = LARGE / 2; i < LARGE; i++) {
        bv_membership_set_self_target(world->nodes[i].membership, "stock", 4);
    }
    member_cluster_run(world, 100 * (int64_t)SECOND_US, G_MAXUINT64);
    for (uint32_t i = 0; i < CUT; i++) {
        world->nodes[i].partition = 0;
    }
    member_cluster_run(world, 100 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_stale_records(world), 0);
    member_cluster_destroy(world);
}
END_TEST

typedef struct {
    uint64_t incarnation;
    uint64_t number;
    bv_gossip_verdict_t verdict;
} replay_case_t;

/* In this order, as one sender's packets. */
static const replay_case_t replay_cases[] = {
    {5, 10, BV_GOSSIP_ACCEPTED},  {5, 10, BV_GOSSIP_REPLAYED},
    {5, 9, BV_GOSSIP_ACCEPTED},   {5, 9, BV_GOSSIP_REPLAYED},
    {5, 100, BV_GOSSIP_ACCEPTED}, {5, 36, BV_GOSSIP_REPLAYED},
    {5, 37, BV_GOSSIP_ACCEPTED},  {5, 37, BV_GOSSIP_REPLAYED},
    {4, 500, BV_GOSSIP_REPLAYED}, {6, 1, BV_GOSSIP_ACCEPTED},
    {5, 101, BV_GOSSIP_REPLAYED}, {6, 1, BV_GOSSIP_REPLAYED},
};

START_TEST(test_replay)
{
    member_cluster_t *world = create(1);
    bv_membership_t *membership = world->nodes[0].membership;
    for (size_t i = 0; i < G_N_ELEMENTS(replay_cases); i++) {
        const replay_case_t *row = &replay_cases[i];
        bv_member_t from = {.name = "n1", .incarnation = row->incarnation};
        bv_gossip_packet_t packet = {.kind = BV_GOSSIP_SYNC,
                                     .number = row->number};
        world->nodes[1].incarnation = row->incarnation;
        ck_assert_int_eq(
            bv_membership_handle_packet(membership, 1, &from, &packet),
            row->verdict);
    }
    member_cluster_destroy(world);
}
END_TEST

typedef struct {
    member_model_t left;
    member_model_t right;
    bool newer;
} newer_case_t;

static const newer_case_t newer_cases[] = {
    {{2, 0, BV_MEMBER_ALIVE, 0}, {1, 9, BV_MEMBER_LEFT, 0}, true},
    {{1, 9, BV_MEMBER_ALIVE, 0}, {1, 3, BV_MEMBER_LEFT, 0}, false},
    {{1, 9, BV_MEMBER_DEAD, 0}, {1, 3, BV_MEMBER_LEFT, 0}, false},
    {{1, 3, BV_MEMBER_LEFT, 0}, {1, 9, BV_MEMBER_ALIVE, 0}, true},
    {{1, 3, BV_MEMBER_DRAINING, 0}, {1, 9, BV_MEMBER_ALIVE, 0}, true},
    {{1, 9, BV_MEMBER_SUSPECT, 0}, {1, 3, BV_MEMBER_DRAINING, 0}, false},
    {{1, 3, BV_MEMBER_DEAD, 0}, {1, 3, BV_MEMBER_DRAINING, 0}, true},
    {{1, 4, BV_MEMBER_DRAINING, 0}, {1, 3, BV_MEMBER_DEAD, 0}, true},
    {{1, 4, BV_MEMBER_ALIVE, 0}, {1, 3, BV_MEMBER_DEAD, 0}, true},
    {{1, 3, BV_MEMBER_SUSPECT, 0}, {1, 3, BV_MEMBER_ALIVE, 0}, true},
    {{1, 3, BV_MEMBER_ALIVE, 0}, {1, 3, BV_MEMBER_ALIVE, 0}, false},
};

static bv_member_t
member_of(const member_model_t *twin)
{
    return (bv_member_t){.incarnation = twin->incarnation,
                         .version = twin->version,
                         .state = twin->state};
}

START_TEST(test_newer)
{
    const newer_case_t *row = &newer_cases[_i];
    bv_member_t left = member_of(&row->left);
    bv_member_t right = member_of(&row->right);
    ck_assert_int_eq(bv_member_is_newer(&left, &right), row->newer);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"drain", test_drain, G_N_ELEMENTS(drain_cases)},
        {"cut_off", test_cut_off, G_N_ELEMENTS(cut_cases)},
        {"crash", test_crash, 1},
        {"loss", test_loss, 1},
        {"restart_without_store", test_restart_without_store, 1},
        {"missed_changes", test_missed_changes, 1},
        {"replay", test_replay, 1},
        {"newer", test_newer, G_N_ELEMENTS(newer_cases)},
        {"random", test_random, 3},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("membership", tests);
}
