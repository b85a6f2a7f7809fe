#include "berylvane/peer/message.h"
#include "member_cluster.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

/*
 * Runs a simulated cluster through loss, delays, duplicates, partitions,
 * pauses and restarts, and compares each change of a record with a reference
 * model. Guards against tables that stay wrong after the faults have ended,
 * new work sent to a draining or dead member, and evictions of members that
 * run.
 */
#define SECOND_US 1000000
#define NODES 24
#define SETTLE_US (180 * (int64_t)SECOND_US)
#define PHASES 10

static const member_cluster_options_t small_cluster_options = {
    .nodes = NODES,
    .data_centres = 6,
    .regions = 3,
    .probe_interval_us = SECOND_US,
    .suspect_timeout_us = 5 * SECOND_US,
    .forget_after_us = 120 * (int64_t)SECOND_US,
    .has_model = true,
};

static member_cluster_t *
create_cluster(guint32 seed)
{
    member_cluster_options_t options = small_cluster_options;
    options.seed = seed;
    return member_cluster_create(&options);
}

static void
change_node(member_cluster_t *cluster, member_node_t *node)
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
    switch (sim_random_between(cluster->sim, 0, 4)) {
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

/*
 * Separates one node, one data centre or one region from the others, or joins
 * all again; changes loss, delay and the state of the store at random.
 */
static void
change_network(member_cluster_t *cluster)
{
    uint32_t place = (uint32_t)sim_random_between(cluster->sim, 0, NODES);
    static const uint32_t divisors[] = {NODES, 6, 3};
    uint32_t divisor = divisors[sim_random_between(cluster->sim, 0, 3)];
    bool joined = sim_chance(cluster->sim, 50);
    for (uint32_t i = 0; i < NODES; i++) {
        member_node_t *node = &cluster->nodes[i];
        node->partition = !joined && i % divisor == place % divisor ? 1 : 0;
    }
    cluster->loss_percent = sim_random_between(cluster->sim, 0, 40);
    cluster->delay_limit_us =
        sim_random_between(cluster->sim, 0, 2 * SECOND_US);
    cluster->is_store_up = sim_chance(cluster->sim, 50);
}

static void
inject_fault(member_cluster_t *cluster)
{
    cluster->duplicate_percent = 10;
    member_node_t *node =
        &cluster->nodes[sim_random_between(cluster->sim, 0, NODES)];
    change_node(cluster, node);
    if (sim_chance(cluster->sim, 20)) {
        change_network(cluster);
    }
    member_cluster_run(cluster,
                       sim_random_between(cluster->sim, 1, 5 * SECOND_US),
                       G_MAXUINT64);
}

static void
end_faults(member_cluster_t *cluster)
{
    cluster->loss_percent = 0;
    cluster->duplicate_percent = 0;
    cluster->delay_limit_us = 1000;
    cluster->is_store_up = true;
    for (uint32_t i = 0; i < NODES; i++) {
        member_node_t *node = &cluster->nodes[i];
        node->partition = 0;
        node->is_paused = false;
    }
    member_cluster_run(cluster, SETTLE_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_wrong_views(cluster), 0);
}

/*
 * Faults at random. After each of PHASES phases the faults end, and every node
 * must then have the current record of every other. A replay that gets past
 * the window, or an update that is lost for good, leaves a wrong record
 * behind.
 */
START_TEST(test_random_faults)
{
    support_random_run_t run = support_random_run(1 + (guint32)_i, 1000000);
    member_cluster_t *cluster = create_cluster(run.seed);
    for (uint64_t phase = 1; phase <= PHASES; phase++) {
        while (cluster->events < run.events * phase / PHASES) {
            inject_fault(cluster);
        }
        end_faults(cluster);
    }
    ck_assert_uint_gt(cluster->totals.replays_dropped, 0);
    printf("%" G_GUINT64_FORMAT " events, %" G_GUINT64_FORMAT
           " packets, %" G_GUINT64_FORMAT " evictions, %" G_GUINT64_FORMAT
           " replays dropped, %" G_GUINT64_FORMAT " syncs\n",
           (guint64)cluster->events, (guint64)cluster->totals.packets,
           (guint64)cluster->totals.evictions,
           (guint64)cluster->totals.replays_dropped,
           (guint64)cluster->totals.syncs);
    member_cluster_destroy(cluster);
}
END_TEST

typedef struct {
    const char *name;
    int loss_percent;
    bool store_up;
    /*
     * Nodes whose number leaves the remainder 1 when divided by this number
     * are unreachable for the drained node; 0 if all are reachable.
     */
    uint32_t unreachable_divisor;
} drain_case_t;

static const drain_case_t drain_cases[] = {
    {"no fault", 0, true, 0},
    {"store unavailable", 0, false, 0},
    {"store unavailable, 30 percent loss", 30, false, 0},
    {"region unreachable, 30 percent loss", 30, false, 3},
};

/*
 * If a draining node sent its state only with its next probes, members would
 * go on to send new work to the node. It sends its state to many members at
 * once: after 3 s no reachable member may hold the node as a candidate, also
 * with packet loss and without the store.
 */
START_TEST(test_no_candidates_after_drain)
{
    const drain_case_t *row = &drain_cases[_i];
    for (guint32 seed = 1; seed <= 5; seed++) {
        member_cluster_t *cluster = create_cluster(seed);
        member_cluster_run(cluster, 30 * (int64_t)SECOND_US, G_MAXUINT64);
        cluster->loss_percent = row->loss_percent;
        cluster->is_store_up = row->store_up;
        uint32_t unreachable = 0;
        for (uint32_t i = 0; i < NODES && row->unreachable_divisor != 0; i++) {
            cluster->nodes[i].partition = i % row->unreachable_divisor == 1;
            unreachable += cluster->nodes[i].partition;
        }
        member_node_drain(&cluster->nodes[0]);
        member_cluster_run(cluster, 3 * (int64_t)SECOND_US, G_MAXUINT64);
        ck_assert_uint_eq(
            member_cluster_count_candidates(cluster, &cluster->nodes[0]),
            unreachable);
        member_cluster_destroy(cluster);
    }
}
END_TEST

typedef struct {
    const char *name;
    /* Nodes whose number leaves this remainder when divided by `divisor`. */
    uint32_t divisor;
    uint32_t remainder;
} partition_case_t;

static const partition_case_t partition_cases[] = {
    {"one node", NODES, 5},
    {"a region", 3, 1},
};

/*
 * Nodes that are cut off for longer than the suspicion timeout must not evict
 * all the members that they cannot reach: they would have no targets left when
 * the network returns. Each may lose at most two members from its table, and
 * the tables agree again after the partition.
 */
START_TEST(test_partition)
{
    const partition_case_t *row = &partition_cases[_i];
    for (guint32 seed = 1; seed <= 3; seed++) {
        member_cluster_t *cluster = create_cluster(seed);
        member_cluster_run(cluster, 30 * (int64_t)SECOND_US, G_MAXUINT64);
        ck_assert_uint_eq(member_cluster_count_wrong_views(cluster), 0);
        for (uint32_t i = 0; i < NODES; i++) {
            cluster->nodes[i].partition = i % row->divisor == row->remainder;
        }
        member_cluster_run(cluster, 200 * (int64_t)SECOND_US, G_MAXUINT64);
        for (uint32_t i = row->remainder; i < NODES; i += row->divisor) {
            ck_assert_uint_ge(
                bv_membership_count_present(cluster->nodes[i].membership),
                NODES - 1 - 2);
        }
        end_faults(cluster);
        member_cluster_destroy(cluster);
    }
}
END_TEST

/* Every node must notice a crash within 30 s and send no work there. */
START_TEST(test_crash_is_detected)
{
    member_cluster_t *cluster = create_cluster(7);
    member_cluster_run(cluster, 60 * (int64_t)SECOND_US, G_MAXUINT64);
    member_node_crash(&cluster->nodes[3]);
    member_cluster_run(cluster, 30 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(
        member_cluster_count_candidates(cluster, &cluster->nodes[3]), 0);
    member_cluster_destroy(cluster);
}
END_TEST

/*
 * Packet loss alone must evict no member: probes are repeated through other
 * members, and a suspected member refutes the suspicion.
 */
START_TEST(test_no_eviction_by_loss)
{
    for (guint32 seed = 1; seed <= 2; seed++) {
        member_cluster_t *cluster = create_cluster(seed);
        member_cluster_run(cluster, 30 * (int64_t)SECOND_US, G_MAXUINT64);
        cluster->loss_percent = 20;
        member_cluster_run(cluster, 600 * (int64_t)SECOND_US, G_MAXUINT64);
        ck_assert_uint_eq(cluster->totals.evictions, 0);
        member_cluster_destroy(cluster);
    }
}
END_TEST

/*
 * A node that restarts while the store is unavailable cannot read the rows of
 * other members, and they cannot read its row. They rediscover it because dead
 * members are probed as well.
 */
START_TEST(test_restart_without_store)
{
    member_cluster_t *cluster = create_cluster(3);
    member_cluster_run(cluster, 30 * (int64_t)SECOND_US, G_MAXUINT64);
    cluster->is_store_up = false;
    member_node_crash(&cluster->nodes[3]);
    member_cluster_run(cluster, 30 * (int64_t)SECOND_US, G_MAXUINT64);
    member_node_start(&cluster->nodes[3]);
    member_cluster_run(cluster, 60 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_wrong_views(cluster), 0);
    member_cluster_destroy(cluster);
}
END_TEST

#define LARGE_NODES 200
#define UNREACHABLE_NODES 20

/*
 * Updates are sent in a limited number of packets, so that nodes which are
 * unreachable at that time miss them for good. Anti-entropy must deliver them
 * afterwards.
 */
START_TEST(test_updates_missed_while_unreachable)
{
    member_cluster_options_t options = small_cluster_options;
    options.seed = 5;
    options.nodes = LARGE_NODES;
    options.has_model = false;
    member_cluster_t *cluster = member_cluster_create(&options);
    member_cluster_run(cluster, 120 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_wrong_views(cluster), 0);
    for (uint32_t i = 0; i < UNREACHABLE_NODES; i++) {
        cluster->nodes[i].partition = 1;
    }
    for (uint32_t i = LARGE_NODES / 2; i < LARGE_NODES; i++) {
        bv_membership_set_self_target(cluster->nodes[i].membership, "stock",
                                      4);
    }
    member_cluster_run(cluster, 100 * (int64_t)SECOND_US, G_MAXUINT64);
    for (uint32_t i = 0; i < UNREACHABLE_NODES; i++) {
        cluster->nodes[i].partition = 0;
    }
    member_cluster_run(cluster, 100 * (int64_t)SECOND_US, G_MAXUINT64);
    ck_assert_uint_eq(member_cluster_count_stale_records(cluster), 0);
    member_cluster_destroy(cluster);
}
END_TEST

typedef struct {
    uint64_t incarnation;
    uint64_t number;
    bv_gossip_verdict_t verdict;
} replay_case_t;

/* Packets of one sender in the order of arrival. */
static const replay_case_t replay_cases[] = {
    {5, 10, BV_GOSSIP_ACCEPTED},  {5, 10, BV_GOSSIP_REPLAYED},
    {5, 9, BV_GOSSIP_ACCEPTED},   {5, 9, BV_GOSSIP_REPLAYED},
    {5, 100, BV_GOSSIP_ACCEPTED}, {5, 36, BV_GOSSIP_REPLAYED},
    {5, 37, BV_GOSSIP_ACCEPTED},  {5, 37, BV_GOSSIP_REPLAYED},
    {4, 500, BV_GOSSIP_REPLAYED}, {6, 1, BV_GOSSIP_ACCEPTED},
    {5, 101, BV_GOSSIP_REPLAYED}, {6, 1, BV_GOSSIP_REPLAYED},
};

/*
 * A packet that is delivered twice or very late could bring back an old state
 * of its sender. Numbers are accepted once, within a window of 64, and not
 * from an older incarnation.
 */
START_TEST(test_replay)
{
    member_cluster_t *cluster = create_cluster(1);
    bv_membership_t *membership = cluster->nodes[0].membership;
    for (size_t i = 0; i < G_N_ELEMENTS(replay_cases); i++) {
        const replay_case_t *row = &replay_cases[i];
        bv_member_t from = {.name = "n1", .incarnation = row->incarnation};
        bv_gossip_packet_t packet = {.kind = BV_GOSSIP_SYNC,
                                     .number = row->number};
        cluster->nodes[1].incarnation = row->incarnation;
        ck_assert_int_eq(
            bv_membership_handle_packet(membership, 1, &from, &packet),
            row->verdict);
    }
    member_cluster_destroy(cluster);
}
END_TEST

typedef struct {
    member_model_t left;
    member_model_t right;
    bool newer;
} order_case_t;

static const order_case_t order_cases[] = {
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
record_of(const member_model_t *model)
{
    return (bv_member_t){.incarnation = model->incarnation,
                         .version = model->version,
                         .state = model->state};
}

/*
 * Nodes receive the records of a member in different orders. They agree in the
 * end only if every pair of records has the same newer one on all of them.
 */
START_TEST(test_record_order)
{
    const order_case_t *row = &order_cases[_i];
    bv_member_t left = record_of(&row->left);
    bv_member_t right = record_of(&row->right);
    ck_assert_int_eq(bv_member_is_newer(&left, &right), row->newer);
}
END_TEST

/* Counts the records that arrive, by name, as they are encoded and decoded. */
static void
collect_records(void *context, const bv_member_t *to,
                const bv_gossip_packet_t *packet)
{
    static const bv_member_t from = {.name = "s", .incarnation = 1};
    uint8_t bytes[BV_GOSSIP_BYTES];
    bv_member_t decoded_from;
    bv_gossip_packet_t decoded;
    (void)to;
    size_t size = bv_gossip_encode(&from, packet, bytes);
    ck_assert(bv_gossip_decode(bytes, size, &decoded_from, &decoded));
    for (uint32_t i = 0; i < decoded.record_count; i++) {
        g_hash_table_add(context, g_strdup(decoded.records[i].name));
    }
}

static void
ignore_change(void *context, const bv_member_t *member)
{
    (void)context;
    (void)member;
}

static void
ignore_version(void *context, uint64_t generation, uint64_t digest,
               const char *member)
{
    (void)context;
    (void)generation;
    (void)digest;
    (void)member;
}

/* Fills a text of `size` bytes with its NUL, which begins with a number. */
static void
fill_text(char *text, size_t size, guint number)
{
    memset(text, 'x', size - 1);
    g_snprintf(text, size, "%u", number);
    text[strlen(text)] = 'x';
    text[size - 1] = '\0';
}

#define SYNC_MEMBERS 640

/*
 * Guards against records with long names that are left out of each packet and
 * so never reach a node that missed them: where the digests of a bucket
 * differ, all of its records must be sent.
 */
START_TEST(test_sync_of_long_names)
{
    static const bv_membership_ops_t ops = {
        .send = collect_records,
        .member_changed = ignore_change,
        .config_reported = ignore_version,
    };
    GHashTable *received =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bv_membership_options_t options = {
        .self = {.name = "s", .incarnation = 1},
        .probe_interval_us = 1,
        .members_limit = 2 * SYNC_MEMBERS,
        .random = g_rand_new_with_seed(1),
        .ops = &ops,
        .context = received,
    };
    bv_membership_t *membership = bv_membership_create(&options);
    for (guint i = 0; i < SYNC_MEMBERS; i++) {
        bv_member_t member = {.incarnation = 1ULL << 40, .slots = 1};
        fill_text(member.name, sizeof(member.name), i);
        fill_text(member.service, sizeof(member.service), i);
        fill_text(member.data_centre, sizeof(member.data_centre), i);
        fill_text(member.region, sizeof(member.region), i);
        bv_membership_merge_record(membership, 1, &member);
    }
    bv_member_t from = {.name = "peer", .incarnation = 1};
    for (uint32_t bucket = 0; bucket < BV_GOSSIP_BUCKETS; bucket++) {
        bv_gossip_packet_t packet = {
            .kind = BV_GOSSIP_ACK, .number = bucket + 1, .bucket = bucket};
        bv_membership_handle_packet(membership, 10 * (bucket + 1), &from,
                                    &packet);
    }
    g_hash_table_remove(received, "peer");
    ck_assert_uint_eq(g_hash_table_size(received), SYNC_MEMBERS);
    bv_membership_destroy(membership);
    g_rand_free(options.random);
    g_hash_table_unref(received);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"drain", test_no_candidates_after_drain, G_N_ELEMENTS(drain_cases)},
        {"cut_off", test_partition, G_N_ELEMENTS(partition_cases)},
        {"crash", test_crash_is_detected, 1},
        {"loss", test_no_eviction_by_loss, 1},
        {"restart_without_store", test_restart_without_store, 1},
        {"missed_changes", test_updates_missed_while_unreachable, 1},
        {"replay", test_replay, 1},
        {"sync_of_long_names", test_sync_of_long_names, 1},
        {"newer", test_record_order, G_N_ELEMENTS(order_cases)},
        {"random", test_random_faults, 3},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("membership", tests);
}
