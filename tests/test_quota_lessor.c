#include "berylvane/core/quota_lessor.h"
#include "support.h"

/*
 * The buckets from which a lessor lends permits.
 */
#define MS 1000
#define SECOND_US 1000000
#define ACCOUNT "acme"

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
    bv_quota_limit_t limit = {30, 60};
    bv_quota_lessor_set_limit(lessor, 0, ACCOUNT, &limit);
    for (size_t i = 0; i < G_N_ELEMENTS(lend_steps); i++) {
        const lend_case_t *step = &lend_steps[i];
        bv_quota_request_t request = {ACCOUNT, 0, step->needed, step->wanted};
        bv_quota_reply_t reply =
            bv_quota_lessor_lend(lessor, step->at_us, 0, &request);
        ck_assert_int_eq(reply.status, BV_QUOTA_GRANTED);
        ck_assert_uint_eq(reply.granted, step->granted);
        ck_assert_int_eq(reply.wait_us, step->wait_us);
    }
    bv_quota_request_t unknown = {"unknown", 0, 1, 1};
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
 * A third of rate 30, burst 60, window 5 s, 10% and 60 allowed: a bucket of
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
    bv_quota_limit_t limit = {30, 60};
    bv_quota_bounds_t bounds = {5 * SECOND_US, 0.1, 60};
    bv_quota_lessor_set_bounds(lessor, 0, &bounds);
    bv_quota_lessor_set_limit(lessor, 0, ACCOUNT, &limit);
    for (size_t i = 0; i < G_N_ELEMENTS(burst_steps); i++) {
        const burst_case_t *step = &burst_steps[i];
        bv_quota_request_t request = {ACCOUNT, 0, step->needed, step->needed};
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
    bv_quota_limit_t limit = {30, 60};
    bv_quota_bounds_t bounds = {5 * SECOND_US, 0.1, 60};
    bv_quota_request_t request = {ACCOUNT, 0, 1, 1};
    bv_quota_lessor_set_bounds(lessor, 0, &bounds);
    bv_quota_lessor_set_limit(lessor, 0, ACCOUNT, &limit);
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
    bv_quota_limit_t limit = {30, 60};
    bv_quota_request_t overload = {ACCOUNT, 0, 10000, 10000};
    bv_quota_request_t later = {ACCOUNT, 0, 21, 21};
    bv_quota_lessor_set_limit(lessor, 0, ACCOUNT, &limit);
    ck_assert_int_eq(bv_quota_lessor_lend(lessor, 0, 0, &overload).retry_us,
                     BV_QUOTA_WAIT_LIMIT_US);
    /* The next permit takes 100 ms, and a third of a call is refused here. */
    ck_assert_int_eq(
        bv_quota_lessor_lend(lessor, 10 * SECOND_US, 0, &later).retry_us,
        133333);
    bv_quota_lessor_destroy(lessor);
}
END_TEST

static bool
is_never(void *context, const char *account, uint32_t part)
{
    (void)context;
    (void)account;
    (void)part;
    return false;
}

/*
 * Guards against a lessor that keeps its permits while another one lends:
 * after a change the bucket is filled only from the new time on.
 */
START_TEST(test_forget)
{
    bv_quota_lessor_t *lessor = bv_quota_lessor_create();
    bv_quota_limit_t limit = {30, 60};
    bv_quota_request_t request = {ACCOUNT, 0, 20, 20};
    bv_quota_lessor_set_limit(lessor, 0, ACCOUNT, &limit);
    bv_quota_lessor_lend(lessor, SECOND_US, 0, &request);
    bv_quota_lessor_forget(lessor, is_never, NULL);
    bv_quota_reply_t reply =
        bv_quota_lessor_lend(lessor, 10 * SECOND_US, 9 * SECOND_US, &request);
    ck_assert_uint_eq(reply.granted, 10);
    bv_quota_lessor_destroy(lessor);
}
END_TEST

#define STEP_US (50 * MS)
#define STEPS 600
#define LESSORS 3
#define WINDOW_US (5 * SECOND_US)

typedef struct {
    const char *name;
    bv_quota_limit_t limit;
    /* When callers begin to take all they get. */
    int64_t demand_us;
    /* When the first lessor hands over, and each one after it. */
    int64_t handover_us;
    int64_t period_us;
} successor_case_t;

static const successor_case_t successor_cases[] = {
    {"burst before the hand-over",
     {10, 100},
     9700 * MS,
     10 * SECOND_US,
     10 * SECOND_US},
    {"burst and rate before it",
     {10, 100},
     7 * SECOND_US,
     10 * SECOND_US,
     10 * SECOND_US},
    {"demand all the time", {10, 100}, 0, 10 * SECOND_US, 10 * SECOND_US},
    {"two hand-overs in a window",
     {10, 100},
     9700 * MS,
     10 * SECOND_US,
     2 * SECOND_US},
    {"large burst", {10, 200}, 9700 * MS, 10 * SECOND_US, 10 * SECOND_US},
    {"small rate", {2, 100}, 9700 * MS, 10 * SECOND_US, 10 * SECOND_US},
    {"burst of a second", {200, 200}, 9700 * MS, 10 * SECOND_US, SECOND_US},
    {"no burst", {50, 0}, 9700 * MS, 10 * SECOND_US, SECOND_US},
};

/* The lessor at a time, and when it became that. */
static size_t
lessor_at(const successor_case_t *row, int64_t now_us, int64_t *since_us)
{
    size_t index = 0;
    *since_us = 0;
    while (index + 1 < LESSORS &&
           now_us >= row->handover_us + (int64_t)index * row->period_us) {
        *since_us = row->handover_us + (int64_t)index * row->period_us;
        index++;
    }
    return index;
}

static uint32_t
most_in_window(const uint32_t granted[STEPS])
{
    uint32_t most = 0;
    for (int first = 0; first < STEPS; first++) {
        uint32_t sum = 0;
        for (int i = first; i < MIN(first + WINDOW_US / STEP_US, STEPS); i++) {
            sum += granted[i];
        }
        most = MAX(most, sum);
    }
    return most;
}

/*
 * Guards against a burst that is lent twice in a window: by the lessors that
 * stop, and by those that lend after them (QUOTA).
 */
START_TEST(test_successors)
{
    const successor_case_t *row = &successor_cases[_i];
    bv_quota_bounds_t bounds = {WINDOW_US, 0.1, 20};
    bv_quota_lessor_t *lessors[LESSORS];
    uint32_t granted[STEPS] = {0};
    for (size_t i = 0; i < LESSORS; i++) {
        lessors[i] = bv_quota_lessor_create();
        bv_quota_lessor_set_bounds(lessors[i], 0, &bounds);
        bv_quota_lessor_set_limit(lessors[i], 0, ACCOUNT, &row->limit);
    }
    for (int64_t i = row->demand_us / STEP_US; i < STEPS; i++) {
        int64_t since_us;
        bv_quota_request_t request = {ACCOUNT, 0, 1000, 1000};
        size_t index = lessor_at(row, i * STEP_US, &since_us);
        granted[i] = bv_quota_lessor_lend(lessors[index], i * STEP_US,
                                          since_us, &request)
                         .granted;
    }
    double bound = bv_quota_in_window(&row->limit, &bounds) +
                   bv_quota_overage(&row->limit, &bounds) / 4;
    ck_assert_msg(most_in_window(granted) <= bound / BV_QUOTA_PARTS,
                  "%s: %u of %.1f", row->name, most_in_window(granted),
                  bound / BV_QUOTA_PARTS);
    for (size_t i = 0; i < LESSORS; i++) {
        bv_quota_lessor_destroy(lessors[i]);
    }
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"lend", test_lend, 1},
        {"burst", test_burst, 1},
        {"window_changed", test_window_changed, 1},
        {"backlog", test_backlog, 1},
        {"forget", test_forget, 1},
        {"successors", test_successors, G_N_ELEMENTS(successor_cases)},
        {NULL}};
    return support_run("quota_lessor", tests);
}
