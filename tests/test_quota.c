#include "quota_cluster.h"
#include "support.h"

#include <stdio.h>

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
    {"lessor killed", 0.8, {200, 50}, 8, FAULT_LESSOR_KILLED, 80, 110},
    {"two lessors killed",
     0.8,
     {200, 50},
     8,
     FAULT_LESSOR_KILLED_TWICE,
     65,
     110},
    {"lessor restarted", 0.8, {200, 50}, 8, FAULT_LESSOR_RESTARTED, 88, 110},
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

typedef struct {
    int64_t at_us;
    uint32_t needed;
    uint32_t wanted;
    uint32_t granted;
    int64_t wait_us;
} lend_case_t;

static const lend_case_t lend_steps[] = {
    /* Empty at the time from which the node is the lessor. */
    {0, 1, 1, 0, 100 * MS},
    {100 * MS, 1, 1, 1, 0},
    {1100 * MS, 4, 4, 4, 0},
    /* 6 are left of 20: nothing beyond what is needed. */
    {1100 * MS, 1, 10, 1, 0},
    /* Full: the upper half is lent ahead. */
    {5 * SECOND_US, 1, 15, 10, 0},
    {5 * SECOND_US, 20, 20, 10, 100 * MS},
};

/*
 * Guards against a bucket that starts with permits, and against permits lent
 * ahead that are missing elsewhere.
 */
START_TEST(test_lend)
{
    bv_quota_lessor_t *lessor = bv_quota_lessor_create();
    bv_quota_limit_t limit = {10, 20};
    bv_quota_lessor_set_limit(lessor, 0, QUOTA_ACCOUNT, &limit);
    for (size_t i = 0; i < G_N_ELEMENTS(lend_steps); i++) {
        const lend_case_t *step = &lend_steps[i];
        bv_quota_request_t request = {QUOTA_ACCOUNT, step->needed,
                                      step->wanted};
        bv_quota_reply_t reply =
            bv_quota_lessor_lend(lessor, step->at_us, 0, &request);
        ck_assert_int_eq(reply.status, BV_QUOTA_GRANTED);
        ck_assert_uint_eq(reply.granted, step->granted);
        ck_assert_int_eq(reply.wait_us, step->wait_us);
    }
    bv_quota_request_t unknown = {"unknown", 1, 1};
    ck_assert_int_eq(bv_quota_lessor_lend(lessor, 0, 0, &unknown).status,
                     BV_QUOTA_NOT_LESSOR);
    bv_quota_lessor_destroy(lessor);
}
END_TEST

typedef struct {
    int64_t at_us;
    uint32_t needed;
    uint32_t granted;
} burst_case_t;

/*
 * Rate 10, burst 20, window 5 s, 10% and 20 allowed: a bucket of
 * 20 + 0.25 * 27 = 26.75 that gains 14 a second, and 76.75 in 5 s.
 */
static const burst_case_t burst_steps[] = {
    {5 * SECOND_US, 100, 26},
    {7 * SECOND_US, 100, 26},
    /* The bucket has 26, and the window has room for 24. */
    {9900 * MS, 100, 24},
    {9950 * MS, 1, 0},
    /* The first burst has left the window; the gain since 9.95 s is left. */
    {10300 * MS, 100, 5},
};

/*
 * Guards against callers that are refused below the quota of a window since
 * they come in groups, and against a bucket that lends more than the quota.
 */
START_TEST(test_burst)
{
    bv_quota_lessor_t *lessor = bv_quota_lessor_create();
    bv_quota_limit_t limit = {10, 20};
    bv_quota_bounds_t bounds = {5 * SECOND_US, 0.1, 20};
    bv_quota_lessor_set_bounds(lessor, 0, &bounds);
    bv_quota_lessor_set_limit(lessor, 0, QUOTA_ACCOUNT, &limit);
    for (size_t i = 0; i < G_N_ELEMENTS(burst_steps); i++) {
        const burst_case_t *step = &burst_steps[i];
        bv_quota_request_t request = {QUOTA_ACCOUNT, step->needed,
                                      step->needed};
        bv_quota_reply_t reply =
            bv_quota_lessor_lend(lessor, step->at_us, 0, &request);
        ck_assert_uint_eq(reply.granted, step->granted);
    }
    bv_quota_lessor_destroy(lessor);
}
END_TEST

/*
 * Guards against a bucket that keeps counting by a window that is no longer
 * configured: it starts again empty.
 */
START_TEST(test_window_changed)
{
    bv_quota_lessor_t *lessor = bv_quota_lessor_create();
    bv_quota_limit_t limit = {10, 20};
    bv_quota_bounds_t bounds = {5 * SECOND_US, 0.1, 20};
    bv_quota_request_t request = {QUOTA_ACCOUNT, 1, 1};
    bv_quota_lessor_set_bounds(lessor, 0, &bounds);
    bv_quota_lessor_set_limit(lessor, 0, QUOTA_ACCOUNT, &limit);
    ck_assert_uint_eq(
        bv_quota_lessor_lend(lessor, 5 * SECOND_US, 0, &request).granted, 1);
    bv_quota_lessor_set_bounds(lessor, 6 * SECOND_US, &bounds);
    ck_assert_uint_eq(
        bv_quota_lessor_lend(lessor, 6 * SECOND_US, 0, &request).granted, 1);
    bounds.window_us = SECOND_US;
    bv_quota_lessor_set_bounds(lessor, 6 * SECOND_US, &bounds);
    ck_assert_uint_eq(
        bv_quota_lessor_lend(lessor, 6 * SECOND_US, 0, &request).granted, 0);
    bv_quota_lessor_destroy(lessor);
}
END_TEST

/*
 * Guards against callers that are told to stay away for 5 s long after an
 * overload: what is refused counts only as far as it affects the delay.
 */
START_TEST(test_backlog)
{
    bv_quota_lessor_t *lessor = bv_quota_lessor_create();
    bv_quota_limit_t limit = {10, 20};
    bv_quota_request_t overload = {QUOTA_ACCOUNT, 10000, 10000};
    bv_quota_request_t later = {QUOTA_ACCOUNT, 21, 21};
    bv_quota_lessor_set_limit(lessor, 0, QUOTA_ACCOUNT, &limit);
    ck_assert_int_eq(bv_quota_lessor_lend(lessor, 0, 0, &overload).retry_us,
                     BV_QUOTA_WAIT_LIMIT_US);
    ck_assert_int_eq(
        bv_quota_lessor_lend(lessor, 10 * SECOND_US, 0, &later).retry_us,
        200 * MS);
    bv_quota_lessor_destroy(lessor);
}
END_TEST

static bool
is_never(void *context, const char *account)
{
    (void)context;
    (void)account;
    return false;
}

/*
 * Guards against a lessor that keeps its permits while another one lends:
 * after a change the bucket is filled only from the new time on.
 */
START_TEST(test_forget)
{
    bv_quota_lessor_t *lessor = bv_quota_lessor_create();
    bv_quota_limit_t limit = {10, 20};
    bv_quota_request_t request = {QUOTA_ACCOUNT, 20, 20};
    bv_quota_lessor_set_limit(lessor, 0, QUOTA_ACCOUNT, &limit);
    bv_quota_lessor_lend(lessor, SECOND_US, 0, &request);
    bv_quota_lessor_forget(lessor, is_never, NULL);
    bv_quota_reply_t reply =
        bv_quota_lessor_lend(lessor, 10 * SECOND_US, 9 * SECOND_US, &request);
    ck_assert_uint_eq(reply.granted, 10);
    bv_quota_lessor_destroy(lessor);
}
END_TEST

typedef struct {
    const char *name;
    bv_member_state_t state;
    uint64_t incarnation;
    int64_t at_us;
} member_step_t;

typedef struct {
    member_step_t steps[4];
    /* Time until which the node is cut off, if it is. */
    int64_t cut_off_until_us;
    int64_t read_us;
    bool is_cut_off;
    bool is_settled;
} member_case_t;

static const member_case_t member_cases[] = {
    /* Alone: the lessor once it has run long enough. */
    {.read_us = 1999 * MS, .is_settled = false},
    {.read_us = 2000 * MS, .is_settled = true},
    /* Cut off, and for the same time afterwards. */
    {.cut_off_until_us = 3 * SECOND_US,
     .is_cut_off = true,
     .read_us = 4999 * MS},
    {.cut_off_until_us = 3 * SECOND_US,
     .is_cut_off = true,
     .read_us = 5000 * MS,
     .is_settled = true},
    /* One of two, of which the other one is dead: the first name lends. */
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 9 * SECOND_US,
     .is_settled = false},
    {{{"z", BV_MEMBER_ALIVE, 1, 0}, {"z", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 9 * SECOND_US,
     .is_settled = true},
    /* After 120 s the dead one is taken for gone. */
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 124 * SECOND_US,
     .is_settled = false},
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_DEAD, 1, 3 * SECOND_US}},
     .read_us = 126 * SECOND_US,
     .is_settled = true},
    /* The other one has left. */
    {{{"a", BV_MEMBER_ALIVE, 1, 0}, {"a", BV_MEMBER_LEFT, 1, 3 * SECOND_US}},
     .read_us = 9 * SECOND_US,
     .is_settled = true},
};

static void
tick_until(bv_quota_members_t *members, int64_t from_us, int64_t to_us,
           const member_case_t *row)
{
    for (int64_t now_us = from_us; now_us <= to_us; now_us += MS) {
        for (size_t i = 0; i < G_N_ELEMENTS(row->steps); i++) {
            const member_step_t *step = &row->steps[i];
            if (step->name == NULL || step->at_us != now_us) {
                continue;
            }
            bv_member_t record = {.incarnation = step->incarnation,
                                  .state = step->state};
            g_strlcpy(record.name, step->name, BV_NAME_BYTES);
            bv_quota_members_update(members, now_us, &record);
        }
        bv_quota_members_tick(members, now_us,
                              row->is_cut_off &&
                                  now_us <= row->cut_off_until_us);
    }
}

/*
 * Guards against two nodes that lend at once: one that has just started, was
 * cut off or sees too few members must not lend.
 */
START_TEST(test_members)
{
    const member_case_t *row = &member_cases[_i];
    uint64_t incarnation;
    bv_quota_members_options_t options = {
        .name = "m",
        .incarnation = 7,
        .settle_us = SECOND_US,
        .own_settle_us = 2 * SECOND_US,
        .suspension_us = SECOND_US,
    };
    bv_quota_members_t *members = bv_quota_members_create(&options, 0);
    tick_until(members, 0, row->read_us, row);
    const char *lessor =
        bv_quota_members_lessor(members, QUOTA_ACCOUNT, &incarnation);
    ck_assert(bv_quota_members_is_lessor(members, QUOTA_ACCOUNT) ==
              row->is_settled);
    ck_assert((lessor != NULL) == row->is_settled);
    bv_quota_members_destroy(members);
}
END_TEST

/*
 * Guards against a suspended lessor that lends what its bucket gained while
 * another node lent.
 */
START_TEST(test_suspension)
{
    bv_quota_members_options_t options = {
        .name = "m",
        .incarnation = 7,
        .settle_us = SECOND_US,
        .own_settle_us = 2 * SECOND_US,
        .suspension_us = SECOND_US,
    };
    member_case_t row = {0};
    bv_quota_members_t *members = bv_quota_members_create(&options, 0);
    tick_until(members, 0, 3 * SECOND_US, &row);
    ck_assert(bv_quota_members_is_lessor(members, QUOTA_ACCOUNT));
    ck_assert(bv_quota_members_tick(members, 9 * SECOND_US, false));
    ck_assert(!bv_quota_members_is_lessor(members, QUOTA_ACCOUNT));
    tick_until(members, 9 * SECOND_US, 11 * SECOND_US, &row);
    ck_assert(bv_quota_members_is_lessor(members, QUOTA_ACCOUNT));
    ck_assert_int_eq(bv_quota_members_since_us(members), 11 * SECOND_US);
    bv_quota_members_destroy(members);
}
END_TEST

/* What a holder called, for tests of one holder. */
typedef struct {
    uint32_t asked;
    uint64_t sequence;
    uint32_t admitted;
    uint32_t refused;
    bv_quota_permit_t permit;
} holder_calls_t;

static const char *
other_lessor(void *context, const char *account, uint64_t *incarnation)
{
    (void)context;
    (void)account;
    *incarnation = 1;
    return "other";
}

static void
record_ask(void *context, const char *lessor, uint64_t incarnation,
           uint64_t sequence, const bv_quota_request_t *requests,
           uint32_t count)
{
    holder_calls_t *calls = context;
    (void)lessor;
    (void)incarnation;
    (void)requests;
    (void)count;
    calls->asked++;
    calls->sequence = sequence;
}

static void
record_admitted(void *context, uint64_t waiter,
                const bv_quota_permit_t *permit)
{
    holder_calls_t *calls = context;
    (void)waiter;
    calls->admitted++;
    calls->permit = *permit;
}

static void
record_refused(void *context, uint64_t waiter, int64_t retry_us)
{
    holder_calls_t *calls = context;
    (void)waiter;
    (void)retry_us;
    calls->refused++;
}

static const bv_quota_holder_ops_t recording_ops = {
    other_lessor, record_ask, record_admitted, record_refused};

/* A holder of one account with 100 requests per second and no burst. */
static bv_quota_holder_t *
create_holder(holder_calls_t *calls, uint32_t floor_members)
{
    bv_quota_limit_t limit = {100, 0};
    bv_quota_bounds_t bounds = {5 * SECOND_US, 0.1, 20};
    bv_quota_holder_options_t options = {"m", &recording_ops, calls};
    bv_quota_holder_t *holder = bv_quota_holder_create(&options);
    bv_quota_holder_set_floor(holder, &bounds, floor_members);
    bv_quota_holder_set_limit(holder, QUOTA_ACCOUNT, &limit);
    return holder;
}

static bv_quota_verdict_t
charge(bv_quota_holder_t *holder, int64_t now_us, bv_quota_permit_t *permit)
{
    int64_t retry_us;
    bv_quota_verdict_t verdict = bv_quota_holder_charge(
        holder, now_us, QUOTA_ACCOUNT, (uint64_t)now_us, permit, &retry_us);
    bv_quota_holder_flush(holder, now_us);
    return verdict;
}

static void
advance_holder(bv_quota_holder_t *holder, int64_t now_us)
{
    bv_quota_holder_tick(holder, now_us);
    bv_quota_holder_flush(holder, now_us);
}

typedef struct {
    uint32_t floor_members;
    /* Of 20 calls at once, those that the floor admits. */
    uint32_t admitted;
} floor_case_t;

/* 0.5 x (0.1 x 500 + 20) are 35 requests in a window for all members. */
static const floor_case_t floor_cases[] = {{0, 0}, {1, 17}, {2, 17},
                                           {7, 5}, {35, 1}, {36, 0}};

/*
 * Guards against a silent lessor for which calls wait without end, and against
 * a timeout that creates permits: one repetition, then the floor and no more.
 */
START_TEST(test_silent_lessor)
{
    const floor_case_t *row = &floor_cases[_i];
    const int64_t start_us = 10 * SECOND_US;
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, row->floor_members);
    for (int i = 0; i < 20; i++) {
        ck_assert_int_eq(charge(holder, start_us, &permit), BV_QUOTA_WAITING);
    }
    ck_assert_uint_eq(calls.asked, 20);
    uint64_t first_sequence = calls.sequence;
    advance_holder(holder, start_us + 249 * MS);
    ck_assert_uint_eq(calls.asked, 20);
    advance_holder(holder, start_us + 260 * MS);
    ck_assert_uint_eq(calls.asked, 21);
    advance_holder(holder, start_us + 509 * MS);
    ck_assert_uint_eq(calls.admitted + calls.refused, 0);
    advance_holder(holder, start_us + 520 * MS);
    ck_assert_uint_eq(calls.admitted, row->admitted);
    ck_assert_uint_eq(calls.refused, 20 - row->admitted);
    bv_quota_reply_t late = {QUOTA_ACCOUNT, BV_QUOTA_GRANTED, 1, 0, 0};
    ck_assert(!bv_quota_holder_handle_reply(holder, start_us + 530 * MS,
                                            first_sequence, &late));
    ck_assert_int_eq(charge(holder, start_us + 5519 * MS, &permit),
                     BV_QUOTA_REFUSED);
    ck_assert_int_eq(charge(holder, start_us + 5520 * MS, &permit),
                     row->admitted > 0 ? BV_QUOTA_ADMITTED : BV_QUOTA_REFUSED);
    bv_quota_holder_destroy(holder);
}
END_TEST

/*
 * Guards against a lost message that is taken for the repetition of one lost
 * long before, whose call has left: the request is repeated before the floor
 * applies.
 */
START_TEST(test_failure_forgotten)
{
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, 2);
    charge(holder, SECOND_US, &permit);
    bv_quota_holder_leave(holder, QUOTA_ACCOUNT, SECOND_US);
    advance_holder(holder, SECOND_US + 260 * MS);
    advance_holder(holder, SECOND_US + 600 * MS);
    ck_assert_uint_eq(calls.asked, 1);
    charge(holder, 60 * SECOND_US, &permit);
    advance_holder(holder, 60 * SECOND_US + 260 * MS);
    ck_assert_uint_eq(calls.asked, 3);
    ck_assert_uint_eq(calls.admitted, 0);
    bv_quota_holder_destroy(holder);
}
END_TEST

typedef struct {
    /* Times after the request of the permit. */
    int64_t replied_us;
    int64_t returned_us;
    int64_t used_us;
    bool is_usable;
} permit_case_t;

static const permit_case_t permit_cases[] = {
    {40 * MS, 100 * MS, 499 * MS, true},
    {40 * MS, 100 * MS, 500 * MS, false},
    {40 * MS, 500 * MS, 501 * MS, false},
    {499 * MS, 499 * MS, 499 * MS, true},
};

/*
 * Guards against a permit that a returned call renews, and against one that is
 * used after its time: it expires 500 ms after it was requested.
 */
START_TEST(test_permit_expires)
{
    const permit_case_t *row = &permit_cases[_i];
    const int64_t start_us = SECOND_US;
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, 0);
    bv_quota_reply_t reply = {QUOTA_ACCOUNT, BV_QUOTA_GRANTED, 1, 0, 0};
    ck_assert_int_eq(charge(holder, start_us, &permit), BV_QUOTA_WAITING);
    ck_assert(bv_quota_holder_handle_reply(holder, start_us + row->replied_us,
                                           calls.sequence, &reply));
    ck_assert_uint_eq(calls.admitted, 1);
    /* A repeated reply has no effect. */
    ck_assert(!bv_quota_holder_handle_reply(holder, start_us + row->replied_us,
                                            calls.sequence, &reply));
    bv_quota_holder_return(holder, start_us + row->returned_us, QUOTA_ACCOUNT,
                           &calls.permit);
    ck_assert_int_eq(charge(holder, start_us + row->used_us, &permit),
                     row->is_usable ? BV_QUOTA_ADMITTED : BV_QUOTA_WAITING);
    ck_assert_int_eq(charge(holder, start_us + row->used_us, &permit),
                     BV_QUOTA_WAITING);
    bv_quota_holder_destroy(holder);
}
END_TEST

/*
 * Guards against a permit that is lost with the call that waited for it: it
 * goes to the stock, and the next call uses it without a request.
 */
START_TEST(test_leave)
{
    holder_calls_t calls = {0};
    bv_quota_permit_t permit;
    bv_quota_holder_t *holder = create_holder(&calls, 0);
    bv_quota_reply_t reply = {QUOTA_ACCOUNT, BV_QUOTA_GRANTED, 1, 0, 0};
    charge(holder, SECOND_US, &permit);
    bv_quota_holder_leave(holder, QUOTA_ACCOUNT, SECOND_US);
    bv_quota_holder_handle_reply(holder, SECOND_US + 40 * MS, calls.sequence,
                                 &reply);
    ck_assert_uint_eq(calls.admitted, 0);
    ck_assert_int_eq(charge(holder, SECOND_US + 50 * MS, &permit),
                     BV_QUOTA_ADMITTED);
    ck_assert_int_eq(permit.source, BV_QUOTA_FROM_STOCK);
    ck_assert_uint_eq(calls.asked, 1);
    bv_quota_holder_destroy(holder);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"lend", test_lend, 1},
        {"burst", test_burst, 1},
        {"window_changed", test_window_changed, 1},
        {"backlog", test_backlog, 1},
        {"forget", test_forget, 1},
        {"members", test_members, G_N_ELEMENTS(member_cases)},
        {"suspension", test_suspension, 1},
        {"silent_lessor", test_silent_lessor, G_N_ELEMENTS(floor_cases)},
        {"failure_forgotten", test_failure_forgotten, 1},
        {"permit_expires", test_permit_expires, G_N_ELEMENTS(permit_cases)},
        {"leave", test_leave, 1},
        {"scenario", test_scenario, G_N_ELEMENTS(scenarios)},
        {"random", test_random, 1},
        {NULL}};
    return support_run("quota", tests);
}
