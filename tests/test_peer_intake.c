#include "berylvane/common/clock.h"
#include "berylvane/core/peer_intake.h"
#include "support.h"

/*
 * Guards against a node that takes messages from its peers faster than it can
 * judge them while memory is short; and against one that does not answer its
 * peers at all while memory is full, or waits for what cannot free memory.
 */

#define MB (UINT64_C(1024) * 1024)
#define BOUND_BYTES (100 * MB)
#define SMALL_BYTES 65536
#define STEP_US (10 * BV_US_PER_MS)
#define STEPS 100
/* Steps of a pause, after which there is one turn. */
#define PAUSE_STEPS 10

typedef struct {
    const char *name;
    uint64_t used_bytes;
    /* Of the used bytes, those that wait to be sent to peers. */
    uint64_t queued_bytes;
    /* Bytes of a turn that is not paused. */
    size_t bytes;
    bool has_pauses;
} intake_case_t;

static const intake_case_t cases[] = {
    {"nothing used", 0, 0, SIZE_MAX, false},
    {"below the half", 49 * MB, 0, SIZE_MAX, false},
    {"half", 50 * MB, 0, SMALL_BYTES, false},
    {"large work is refused", 80 * MB, 80 * MB, SMALL_BYTES, false},
    {"full of messages to peers", 110 * MB, 30 * MB, SMALL_BYTES, true},
    {"full of other things", 110 * MB, 5 * MB, SMALL_BYTES, false},
};

START_TEST(test_intake)
{
    const intake_case_t *row = &cases[_i];
    bv_memory_budget_options_t options = {.bound_bytes = BOUND_BYTES,
                                          .small_bytes = SMALL_BYTES};
    bv_memory_budget_t *account = bv_memory_budget_create(&options);
    bv_peer_intake_t intake = {0};
    int64_t now_us = BV_US_PER_S;
    int paused = 0;
    bv_memory_budget_charge(account, row->used_bytes);
    for (int step = 0; step < STEPS; step++) {
        bv_peer_intake_update(&intake, now_us, account, row->queued_bytes);
        size_t bytes = bv_peer_intake_bytes(&intake, SMALL_BYTES);
        paused += bytes == 0;
        ck_assert_msg(bytes == row->bytes || bytes == 0, "%s: %zu", row->name,
                      bytes);
        now_us += STEP_US;
    }
    int turns = row->has_pauses ? STEPS / PAUSE_STEPS - 1 : STEPS;
    ck_assert_msg(paused == STEPS - turns, "%s: %d", row->name, paused);
    ck_assert_uint_eq(intake.pauses, row->has_pauses);
    /* It ends with the shortage. */
    bv_memory_budget_release(account, row->used_bytes);
    bv_peer_intake_update(&intake, now_us, account, 0);
    ck_assert(bv_peer_intake_bytes(&intake, SMALL_BYTES) == SIZE_MAX);
    bv_memory_budget_destroy(account);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"intake", test_intake, G_N_ELEMENTS(cases)}, {NULL}};
    return support_run("peer_intake", tests);
}
