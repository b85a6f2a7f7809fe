#include "berylvane/common/clock.h"
#include "berylvane/core/descriptor_shares.h"
#include "berylvane/core/memory_budget.h"
#include "support.h"

#include <string.h>

/*
 * Guards against a process that exceeds the memory of its instance because
 * nothing bounds what all connections hold together, and against bounds that
 * strike at honest clients before those that make no progress.
 */

#define MB (UINT64_C(1024) * 1024)
#define SMALL_BYTES 65536
#define BOUND_BYTES (100 * MB)
#define HOLDERS_MAX 4

static bv_memory_budget_t *
create_budget(uint64_t bound_bytes)
{
    bv_memory_budget_options_t options = {.bound_bytes = bound_bytes,
                                          .small_bytes = SMALL_BYTES};
    return bv_memory_budget_create(&options);
}

typedef struct {
    uint64_t bound_bytes;
    uint64_t used_bytes;
    bv_byte_level_t level;
    bool admits_small;
    bool admits_large;
    bool reads_small;
    bool reads_large;
} level_case_t;

static const level_case_t level_cases[] = {
    /* Without a bound nothing is limited. */
    {0, 1000 * MB, BV_BYTES_NORMAL, true, true, true, true},
    {BOUND_BYTES, 0, BV_BYTES_NORMAL, true, true, true, true},
    {BOUND_BYTES, 49 * MB, BV_BYTES_NORMAL, true, true, true, true},
    /* Reading pauses before large items are rejected. */
    {BOUND_BYTES, 50 * MB, BV_BYTES_PAUSING, true, true, true, false},
    {BOUND_BYTES, 70 * MB, BV_BYTES_PAUSING, true, false, true, false},
    {BOUND_BYTES, 75 * MB, BV_BYTES_REJECTING, true, false, true, false},
    /* Small items have a reserve up to the bound. */
    {BOUND_BYTES, 99 * MB, BV_BYTES_REJECTING, true, false, true, false},
    {BOUND_BYTES, 100 * MB, BV_BYTES_FULL, false, false, false, false},
    /* A single large item is served by the smallest process. */
    {MB, 0, BV_BYTES_NORMAL, true, true, true, true},
};

START_TEST(test_levels)
{
    const level_case_t *row = &level_cases[_i];
    bv_memory_budget_t *budget = create_budget(row->bound_bytes);
    bv_memory_budget_charge(budget, row->used_bytes);
    ck_assert_int_eq(bv_memory_budget_level(budget), row->level);
    ck_assert_int_eq(bv_memory_budget_admits(budget, SMALL_BYTES),
                     row->admits_small);
    ck_assert_int_eq(bv_memory_budget_admits(budget, 7 * MB),
                     row->admits_large);
    ck_assert_int_eq(bv_memory_budget_may_read(budget, SMALL_BYTES),
                     row->reads_small);
    ck_assert_int_eq(bv_memory_budget_may_read(budget, 7 * MB),
                     row->reads_large);
    bv_memory_budget_release(budget, row->used_bytes);
    ck_assert_uint_eq(bv_memory_budget_used(budget), 0);
    ck_assert_uint_eq(bv_memory_budget_peak(budget), row->used_bytes);
    bv_memory_budget_destroy(budget);
}
END_TEST

typedef enum {
    /* The process waits for the peer. */
    WAITING,
    /* The peer waits for the process. */
    SERVED,
    /* The process does not read what the peer has sent. */
    PAUSED,
} holder_state_t;

/* What a holder holds, and what its peer moves in each second. */
typedef struct {
    uint64_t bytes;
    uint64_t rate;
    holder_state_t state;
} behaviour_t;

typedef struct {
    behaviour_t holders[HOLDERS_MAX];
    /* Seconds that they behave so. */
    int seconds;
    /* The holder that is to be closed first; -1 for none. */
    int victim;
    /* Charged without a holder. */
    uint64_t charged_bytes;
} victim_case_t;

static const victim_case_t victim_cases[] = {
    /* Enough memory: the slowest is left alone. */
    {{{40 * MB, 0, WAITING}}, 100, -1, 0},
    /* Pausing: who makes no progress for 5 s is closed. */
    {{{60 * MB, 0, WAITING}}, 4, -1, 0},
    {{{60 * MB, 0, WAITING}}, 6, 0, 0},
    /* Rejecting: for 2 s. */
    {{{80 * MB, 0, WAITING}}, 1, -1, 0},
    {{{80 * MB, 0, WAITING}}, 3, 0, 0},
    /* An honest slow reader is served, also if it takes long. */
    {{{80 * MB, 640 * 1024, WAITING}}, 100, -1, 0},
    {{{73 * MB, 640 * 1024, WAITING}, {7 * MB, 0, WAITING}}, 3, 1, 0},
    /* A trickle is no progress. */
    {{{80 * MB, 100, WAITING}}, 10, 0, 0},
    /* Who waits for the process is not closed. */
    {{{80 * MB, 0, SERVED}}, 100, -1, 0},
    {{{120 * MB, 0, SERVED}, {MB, 0, WAITING}}, 1, 1, 0},
    /* Above the bound: who holds most for its rate. */
    {{{60 * MB, 1 * MB, WAITING}, {60 * MB, 9 * MB, WAITING}}, 3, 0, 0},
    {{{90 * MB, 9 * MB, WAITING}, {20 * MB, 64 * 1024, WAITING}}, 3, 1, 0},
    /* Who is not read makes no progress, and is the last to be closed. */
    {{{60 * MB, 0, PAUSED}, {50 * MB, 9 * MB, WAITING}}, 3, 1, 0},
    {{{50 * MB, 9 * MB, WAITING}, {60 * MB, 0, PAUSED}}, 3, 0, 0},
    {{{90 * MB, 0, PAUSED}, {MB, 0, WAITING}}, 3, 1, 9 * MB},
    {{{60 * MB, 0, PAUSED}, {50 * MB, 0, PAUSED}}, 3, 0, 0},
    /* Small holders without progress are not worth closing. */
    {{{80 * MB, MB, WAITING}, {SMALL_BYTES, 0, WAITING}}, 100, -1, 0},
    /* Closing idle connections does not empty caches and queues. */
    {{{2048, 0, WAITING}, {2048, 0, WAITING}, {2048, 0, WAITING}},
     3,
     -1,
     101 * MB},
    {{{2048, 0, WAITING}, {2048, 0, WAITING}, {2048, 0, WAITING}},
     3,
     -1,
     100 * MB - 4096},
    {{{30000, 0, WAITING}, {2048, 0, WAITING}}, 3, -1, 101 * MB},
    /* It does bring the use below the bound. */
    {{{2 * MB, 0, WAITING}, {2048, 0, WAITING}}, 0, 0, 99 * MB},
    /* Stalled holders of much are closed also if that is not enough. */
    {{{2 * MB, 0, WAITING}, {2048, 0, WAITING}}, 3, 0, 101 * MB},
};

START_TEST(test_victims)
{
    const victim_case_t *row = &victim_cases[_i];
    bv_memory_budget_t *budget = create_budget(BOUND_BYTES);
    bv_byte_holder_t holders[HOLDERS_MAX];
    int64_t now_us = BV_US_PER_S;
    bv_memory_budget_charge(budget, row->charged_bytes);
    for (int i = 0; i < HOLDERS_MAX; i++) {
        bv_memory_budget_join(budget, &holders[i], &holders[i], now_us);
        bv_memory_budget_set(budget, &holders[i], now_us,
                             row->holders[i].bytes,
                             row->holders[i].state != SERVED);
        bv_memory_budget_set_paused(&holders[i], now_us,
                                    row->holders[i].state == PAUSED);
    }
    for (int second = 0; second < row->seconds; second++) {
        for (int i = 0; i < HOLDERS_MAX; i++) {
            bv_memory_budget_move(&holders[i], now_us, row->holders[i].rate);
        }
        now_us += BV_US_PER_S;
        if (second + 1 < row->seconds) {
            bv_memory_budget_victim(budget, now_us);
        }
    }
    const bv_byte_holder_t *victim = bv_memory_budget_victim(budget, now_us);
    ck_assert_int_eq(victim != NULL ? (int)(victim - holders) : -1,
                     row->victim);
    for (int i = 0; i < HOLDERS_MAX; i++) {
        bv_memory_budget_leave(budget, &holders[i]);
    }
    bv_memory_budget_release(budget, row->charged_bytes);
    ck_assert_uint_eq(bv_memory_budget_used(budget), 0);
    bv_memory_budget_destroy(budget);
}
END_TEST

typedef struct {
    uint64_t holder_bytes;
    uint64_t charged_bytes;
    /* Of the charged bytes, those that are about to be released. */
    uint64_t released_bytes;
    bool is_relieved;
} relief_case_t;

static const relief_case_t relief_cases[] = {
    {0, 99 * MB, 0, true},
    {0, 100 * MB, 0, false},
    {0, 120 * MB, 20 * MB, false},
    {0, 120 * MB, 21 * MB, true},
    {MB, 99 * MB, 0, true},
    {10 * MB, 110 * MB, 10 * MB, false},
    {11 * MB, 110 * MB, 10 * MB, false},
    {11 * MB, 109 * MB, 10 * MB, true},
    {10 * MB, MB, 200 * MB, true},
};

/*
 * Guards against a process that waits at its bound for others, though what
 * they hold up is not what fills its memory.
 */
START_TEST(test_relief)
{
    const relief_case_t *row = &relief_cases[_i];
    bv_memory_budget_t *budget = create_budget(BOUND_BYTES);
    bv_byte_holder_t holder;
    bv_memory_budget_join(budget, &holder, &holder, BV_US_PER_S);
    bv_memory_budget_set(budget, &holder, BV_US_PER_S, row->holder_bytes,
                         true);
    bv_memory_budget_charge(budget, row->charged_bytes);
    ck_assert_int_eq(bv_memory_budget_can_relieve(budget, row->released_bytes),
                     row->is_relieved);
    bv_memory_budget_leave(budget, &holder);
    bv_memory_budget_destroy(budget);
}
END_TEST

/* A burst at the start does not excuse a holder for long. */
START_TEST(test_stalled_after_burst)
{
    bv_memory_budget_t *budget = create_budget(BOUND_BYTES);
    bv_byte_holder_t holder;
    int64_t now_us = BV_US_PER_S;
    bv_memory_budget_join(budget, &holder, &holder, now_us);
    bv_memory_budget_set(budget, &holder, now_us, 80 * MB, true);
    bv_memory_budget_move(&holder, now_us, 80 * MB);
    int seconds = 0;
    while (bv_memory_budget_victim(budget, now_us) == NULL) {
        ck_assert_int_lt(++seconds, 10);
        now_us += BV_US_PER_S;
    }
    bv_memory_budget_leave(budget, &holder);
    bv_memory_budget_destroy(budget);
}
END_TEST

/*
 * Guards against uploads that are cut off since the process itself did not
 * read them. At the bound they may be closed like others.
 */
START_TEST(test_paused)
{
    bv_memory_budget_t *budget = create_budget(BOUND_BYTES);
    bv_byte_holder_t holder;
    int64_t now_us = BV_US_PER_S;
    bv_memory_budget_join(budget, &holder, &holder, now_us);
    bv_memory_budget_set(budget, &holder, now_us, 60 * MB, true);
    bv_memory_budget_set_paused(&holder, now_us, true);
    now_us += 100 * BV_US_PER_S;
    ck_assert_ptr_null(bv_memory_budget_victim(budget, now_us));
    bv_memory_budget_charge(budget, 50 * MB);
    ck_assert_ptr_eq(bv_memory_budget_victim(budget, now_us), &holder);
    bv_memory_budget_release(budget, 50 * MB);
    /* Its time starts when it is read again. */
    bv_memory_budget_set_paused(&holder, now_us, false);
    now_us += 4 * BV_US_PER_S;
    ck_assert_ptr_null(bv_memory_budget_victim(budget, now_us));
    now_us += 2 * BV_US_PER_S;
    ck_assert_ptr_eq(bv_memory_budget_victim(budget, now_us), &holder);
    bv_memory_budget_leave(budget, &holder);
    bv_memory_budget_destroy(budget);
}
END_TEST

typedef struct {
    /* Bytes that move in each of ten steps of the interval. */
    uint64_t bytes;
    int64_t interval_us;
    bool progresses;
} progress_case_t;

static const progress_case_t progress_cases[] = {
    {0, BV_US_PER_S / 10, false},
    /* One byte now and then, which kept descriptors in use. */
    {1, BV_US_PER_S / 2, false},
    {200, BV_US_PER_S / 10, false},
    {65536, BV_US_PER_S / 10, true},
    {65536, BV_US_PER_S, true},
    {800, BV_US_PER_S / 2, false},
};

START_TEST(test_progress)
{
    const progress_case_t *row = &progress_cases[_i];
    bv_byte_holder_t holder;
    int64_t now_us = BV_US_PER_S;
    bv_memory_budget_join(NULL, &holder, &holder, now_us);
    bv_memory_budget_set(NULL, &holder, now_us, 0, true);
    for (int i = 0; i < 10; i++) {
        now_us += row->interval_us;
        bv_memory_budget_move(&holder, now_us, row->bytes);
    }
    int64_t since_us = bv_memory_budget_stalled_since_us(&holder, now_us);
    ck_assert_int_eq(since_us, row->progresses ? now_us : BV_US_PER_S);
    bv_memory_budget_leave(NULL, &holder);
}
END_TEST

typedef struct {
    uint64_t memory_mb;
    uint64_t bound_mb;
} bound_case_t;

static const bound_case_t bound_cases[] = {
    {0, 0}, {64, 8}, {160, 60}, {260, 135}, {512, 324},
};

START_TEST(test_bounds)
{
    const bound_case_t *row = &bound_cases[_i];
    ck_assert_uint_eq(bv_memory_budget_bound(row->memory_mb * MB),
                      row->bound_mb * MB);
}
END_TEST

typedef struct {
    uint32_t limit;
    uint32_t callers;
    uint32_t readiness;
} share_case_t;

static const share_case_t share_cases[] = {
    {0, 0, 0},      {100, 1, 1},       {250, 20, 5},      {299, 39, 9},
    {500, 120, 30}, {4100, 1560, 390}, {8192, 3196, 799},
};

/*
 * The shares leave a reserve for accepted work, peers and the platform. Guards
 * against shares that are rounded down to whole hundreds of descriptors.
 */
START_TEST(test_descriptors)
{
    const share_case_t *row = &share_cases[_i];
    uint32_t sum = 0;
    for (int use = 0; use < BV_DESCRIPTORS_USE_END; use++) {
        sum += bv_descriptor_share(row->limit, (bv_descriptor_use_t)use);
    }
    ck_assert_uint_eq(bv_descriptor_share(row->limit, BV_DESCRIPTORS_CALLERS),
                      row->callers);
    ck_assert_uint_eq(
        bv_descriptor_share(row->limit, BV_DESCRIPTORS_READINESS),
        row->readiness);
    ck_assert_uint_le(sum, row->limit * 2 / 3);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"levels", test_levels, G_N_ELEMENTS(level_cases)},
        {"victims", test_victims, G_N_ELEMENTS(victim_cases)},
        {"relief", test_relief, G_N_ELEMENTS(relief_cases)},
        {"stalled_after_burst", test_stalled_after_burst, 1},
        {"paused", test_paused, 1},
        {"progress", test_progress, G_N_ELEMENTS(progress_cases)},
        {"bounds", test_bounds, G_N_ELEMENTS(bound_cases)},
        {"descriptors", test_descriptors, G_N_ELEMENTS(share_cases)},
        {NULL}};
    return support_run("memory_budget", tests);
}
