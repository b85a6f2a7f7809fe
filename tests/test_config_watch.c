#include "berylvane/core/config_watch.h"

#include "support.h"

#include "berylvane/common/clock.h"

#include <string.h>

/*
 * Runs the watches of a group of nodes in simulated time against a store whose
 * open connections become half-open, while new ones work. Guards against
 * changes that no node learns of in time because every one waits for a silent
 * connection.
 */
#define STEP_US (5 * BV_US_PER_MS)
#define ROUND_TRIP_US (60 * BV_US_PER_MS)
#define SETTLE_US (60 * BV_US_PER_S)
/* Connections that a node's client keeps, beside that of the watch. */
#define KEPT_CONNECTIONS 2
/* ConfigApplyMs: from the acknowledgement until a change is in force. */
#define APPLY_US (2500 * BV_US_PER_MS)

typedef struct {
    bv_config_watch_t watch;
    bv_config_query_t query;
    bool is_querying;
    bool is_over_silent_connection;
    int64_t answer_due_us;
    /* Kept connections that became half-open and were not closed yet. */
    uint32_t silent_connections;
    int64_t version;
    uint64_t queries;
} node_t;

typedef struct {
    GRand *random;
    node_t *nodes;
    uint32_t node_count;
    /* Number of nodes that each node takes part in the group. */
    uint32_t watching_nodes;
    int64_t now_us;
    int64_t version;
    int64_t changed_us;
} group_t;

static group_t *
group_create(uint32_t node_count, guint32 seed)
{
    group_t *group = g_new0(group_t, 1);
    group->random = g_rand_new_with_seed(seed);
    group->nodes = g_new0(node_t, node_count);
    group->node_count = node_count;
    group->watching_nodes = node_count;
    group->version = 1;
    group->now_us = BV_US_PER_S;
    return group;
}

static void
group_destroy(group_t *group)
{
    g_rand_free(group->random);
    g_free(group->nodes);
    g_free(group);
}

static void
send_query(const group_t *group, node_t *node)
{
    node->is_querying = true;
    node->queries++;
    node->is_over_silent_connection =
        node->silent_connections > 0 && !node->query.uses_fresh_connection;
    node->answer_due_us = group->now_us + ROUND_TRIP_US;
    if (node->query.kind == BV_CONFIG_QUERY_WATCH) {
        node->answer_due_us += node->query.wait_us;
    }
    if (node->is_over_silent_connection) {
        node->answer_due_us += node->query.timeout_us - ROUND_TRIP_US;
    }
}

static void
end_query(const group_t *group, node_t *node)
{
    bool is_silent = node->is_over_silent_connection;
    node->is_querying = false;
    if (is_silent) {
        node->silent_connections--;
    }
    else {
        node->version = group->version;
    }
    bv_table_position_t position = {.version = node->version};
    bv_config_watch_handle_answer(
        &node->watch, group->now_us, group->random,
        is_silent ? BV_CONFIG_ANSWER_FAILED : BV_CONFIG_ANSWER_OK, &position);
}

static bool
is_answered(const group_t *group, const node_t *node)
{
    bool has_changes = node->query.kind == BV_CONFIG_QUERY_WATCH &&
                       node->query.version < group->version &&
                       group->now_us >= group->changed_us + ROUND_TRIP_US;
    return group->now_us >= node->answer_due_us ||
           (has_changes && !node->is_over_silent_connection);
}

static void
group_step(group_t *group)
{
    group->now_us += STEP_US;
    for (uint32_t i = 0; i < group->node_count; i++) {
        node_t *node = &group->nodes[i];
        if (node->is_querying && is_answered(group, node)) {
            end_query(group, node);
        }
        if (bv_config_watch_is_due(&node->watch, group->now_us)) {
            bv_config_watch_start_query(&node->watch, group->now_us,
                                        group->watching_nodes, group->random,
                                        &node->query);
            send_query(group, node);
        }
    }
}

static void
group_run(group_t *group, int64_t duration_us)
{
    int64_t end_us = group->now_us + duration_us;
    while (group->now_us < end_us) {
        group_step(group);
    }
}

static void
silence_connections(group_t *group)
{
    for (uint32_t i = 0; i < group->node_count; i++) {
        node_t *node = &group->nodes[i];
        node->silent_connections = KEPT_CONNECTIONS;
        if (node->is_querying) {
            node->silent_connections++;
            node->is_over_silent_connection = true;
            node->answer_due_us += node->query.timeout_us;
        }
    }
}

static void
change_config(group_t *group)
{
    group->version++;
    group->changed_us = group->now_us;
}

static uint32_t
count_informed(const group_t *group)
{
    uint32_t informed = 0;
    for (uint32_t i = 0; i < group->node_count; i++) {
        informed += group->nodes[i].version == group->version;
    }
    return informed;
}

static const struct {
    uint32_t nodes;
    guint32 seed;
    int64_t change_after_us;
} silence_cases[] = {
    {24, 1, 0},
    {24, 2, 100 * BV_US_PER_MS},
    {24, 3, BV_US_PER_S},
    {24, 4, 10 * BV_US_PER_S},
    {6, 5, 0},
    {6, 6, BV_US_PER_S},
    {100, 7, 0},
    {100, 8, 3 * BV_US_PER_S},
    {1600, 9, 0},
};

/*
 * All connections become half-open. One node at least must learn of the next
 * change within the time in which it has to be in force; gossip tells the
 * others.
 */
START_TEST(test_change_found_after_silence)
{
    group_t *group =
        group_create(silence_cases[_i].nodes, silence_cases[_i].seed);
    group_run(group, SETTLE_US);
    silence_connections(group);
    group_run(group, silence_cases[_i].change_after_us);
    change_config(group);
    group_run(group, APPLY_US);
    ck_assert_uint_ge(count_informed(group), 1);
    group_destroy(group);
}
END_TEST

/* A node that no other node tells must find the change by itself. */
START_TEST(test_every_node_recovers)
{
    group_t *group =
        group_create(silence_cases[_i].nodes, silence_cases[_i].seed);
    group_run(group, SETTLE_US);
    silence_connections(group);
    change_config(group);
    group_run(group, SETTLE_US + SETTLE_US);
    ck_assert_uint_eq(count_informed(group), group->node_count);
    group_destroy(group);
}
END_TEST

static const struct {
    uint32_t nodes;
    guint32 seed;
} woken_cases[] = {
    {6, 2}, {24, 3}, {24, 4}, {24, 5}, {24, 6}, {100, 7}, {1600, 8}, {1600, 9},
};

/*
 * A change has just ended all watches, so that the next ones begin together
 * when the connections become half-open.
 */
START_TEST(test_change_found_after_silence_of_new_watches)
{
    group_t *group = group_create(woken_cases[_i].nodes, woken_cases[_i].seed);
    group_run(group, SETTLE_US);
    change_config(group);
    group_run(group, BV_US_PER_S / 5);
    silence_connections(group);
    change_config(group);
    group_run(group, APPLY_US);
    ck_assert_uint_ge(count_informed(group), 1);
    group_destroy(group);
}
END_TEST

/* ContactMs: after it a node has to keep its promises again. */
#define CONTACT_US (4 * BV_US_PER_S)

static const guint32 lone_seeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};

/*
 * The store turns all nodes but one away, so that this one has to find the
 * silence of its watch by itself, although it counts itself one of a group.
 */
START_TEST(test_served_node_finds_change_alone)
{
    group_t *group = group_create(24, lone_seeds[_i]);
    group->node_count = 1;
    group->nodes[0].watch.wait_limit_us = APPLY_US;
    group->watching_nodes = 24;
    group_run(group, SETTLE_US);
    silence_connections(group);
    group_run(group, CONTACT_US - APPLY_US);
    change_config(group);
    group_run(group, APPLY_US);
    ck_assert_uint_eq(count_informed(group), 1);
    group_destroy(group);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"change_found_after_silence", test_change_found_after_silence,
         G_N_ELEMENTS(silence_cases)},
        {"change_found_after_silence_of_new_watches",
         test_change_found_after_silence_of_new_watches,
         G_N_ELEMENTS(woken_cases)},
        {"served_node_finds_change_alone", test_served_node_finds_change_alone,
         G_N_ELEMENTS(lone_seeds)},
        {"every_node_recovers", test_every_node_recovers,
         G_N_ELEMENTS(silence_cases)},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_watch", tests);
}
