#include "berylvane/core/announcement.h"
#include "support.h"

#include <string.h>

/*
 * Announcements can arrive late, twice or out of order. Guards against a stale
 * announcement that sends calls to a target which drains or has left, or that
 * replaces a newer incarnation by one that has ended.
 */
typedef struct {
    const char *instance;
    uint64_t start_ms;
    uint64_t sequence;
    bv_announcement_state_t state;
} announced_t;

typedef struct {
    const char *name;
    /* Announcements in the order of arrival. */
    announced_t announced[3];
    uint32_t count;
    /* Result of the last announcement; the newest instance and its state. */
    bv_announcement_result_t result;
    const char *newest;
    bv_announcement_state_t state;
} case_t;

#define READY BV_ANNOUNCED_READY
#define DRAINING BV_ANNOUNCED_DRAINING
#define LEFT BV_ANNOUNCED_LEFT

static const case_t cases[] = {
    {"first", {{"a", 10, 1, READY}}, 1, BV_ANNOUNCED_CHANGED, "a", READY},
    {"renewed",
     {{"a", 10, 1, READY}, {"a", 10, 2, READY}},
     2,
     BV_ANNOUNCED_RENEWED,
     "a",
     READY},
    {"repeated",
     {{"a", 10, 2, READY}, {"a", 10, 2, DRAINING}},
     2,
     BV_ANNOUNCED_STALE,
     "a",
     READY},
    {"draining",
     {{"a", 10, 1, READY}, {"a", 10, 2, DRAINING}},
     2,
     BV_ANNOUNCED_CHANGED,
     "a",
     DRAINING},
    {"late ready after draining",
     {{"a", 10, 5, DRAINING}, {"a", 10, 4, READY}},
     2,
     BV_ANNOUNCED_STALE,
     "a",
     DRAINING},
    {"late announcement of an ended incarnation",
     {{"a", 10, 9, READY}, {"b", 20, 1, READY}, {"a", 10, 10, READY}},
     3,
     BV_ANNOUNCED_STALE,
     "b",
     READY},
    {"same instance name after a restart",
     {{"a", 10, 9, READY}, {"a", 20, 1, READY}},
     2,
     BV_ANNOUNCED_CHANGED,
     "a",
     READY},
    {"left",
     {{"a", 10, 1, READY}, {"a", 0, 0, LEFT}},
     2,
     BV_ANNOUNCED_CHANGED,
     "a",
     LEFT},
    {"left twice",
     {{"a", 10, 1, READY}, {"a", 0, 0, LEFT}, {"a", 0, 0, LEFT}},
     3,
     BV_ANNOUNCED_STALE,
     "a",
     LEFT},
    {"another instance left",
     {{"a", 10, 1, READY}, {"b", 0, 0, LEFT}},
     2,
     BV_ANNOUNCED_STALE,
     "a",
     READY},
    {"late announcement after leaving",
     {{"a", 10, 1, READY}, {"a", 0, 0, LEFT}, {"a", 10, 3, READY}},
     3,
     BV_ANNOUNCED_STALE,
     "a",
     LEFT},
    {"late announcement after the highest sequence",
     {{"a", 10, UINT64_MAX, READY}, {"a", 10, 4, DRAINING}},
     2,
     BV_ANNOUNCED_STALE,
     "a",
     READY},
    {"new start after the highest sequence",
     {{"a", 10, UINT64_MAX, READY}, {"a", 20, 1, DRAINING}},
     2,
     BV_ANNOUNCED_CHANGED,
     "a",
     DRAINING},
    {"announcement without a sequence",
     {{"a", 10, 5, READY}, {"a", 10, 0, DRAINING}},
     2,
     BV_ANNOUNCED_CHANGED,
     "a",
     DRAINING},
    {"another instance of the same start",
     {{"a", 10, 5, READY}, {"b", 10, 1, READY}},
     2,
     BV_ANNOUNCED_CHANGED,
     "b",
     READY},
    {"return by a new start",
     {{"a", 10, 1, READY}, {"a", 0, 0, LEFT}, {"a", 30, 1, READY}},
     3,
     BV_ANNOUNCED_CHANGED,
     "a",
     READY},
};

static bv_announcement_t
make_announcement(const announced_t *entry)
{
    bv_announcement_t announcement = {
        .port = entry->state == LEFT ? 0 : 80,
        .slots = entry->state == LEFT ? 0 : 4,
        .state = entry->state,
        .incarnation_start_ms = entry->start_ms,
        .sequence = entry->sequence,
    };
    g_strlcpy(announcement.instance, entry->instance, BV_INSTANCE_BYTES);
    return announcement;
}

START_TEST(test_order)
{
    const case_t *row = &cases[_i];
    bv_announcement_t newest = {0};
    bv_announcement_result_t result = BV_ANNOUNCED_STALE;
    for (uint32_t i = 0; i < row->count; i++) {
        bv_announcement_t announcement = make_announcement(&row->announced[i]);
        result = bv_announcement_apply(&newest, &announcement);
    }
    ck_assert_msg(result == row->result, "%s: result %d", row->name, result);
    ck_assert_str_eq(newest.instance, row->newest);
    ck_assert_int_eq(newest.state, row->state);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"order", test_order, G_N_ELEMENTS(cases)},
                                    {NULL}};
    return support_run("announcement", tests);
}
