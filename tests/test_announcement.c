#include "berylvane/core/announcement.h"
#include "support.h"

#include <string.h>

/* One word after another; what the last one does to what is known. */
typedef struct {
    const char *instance;
    uint64_t born_ms;
    uint64_t sequence;
    bv_announcement_state_t state;
} word_t;

typedef struct {
    const char *name;
    word_t words[3];
    uint32_t count;
    bv_announcement_result_t last;
    const char *known;
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
    {"late word of an ended incarnation",
     {{"a", 10, 9, READY}, {"b", 20, 1, READY}, {"a", 10, 10, READY}},
     3,
     BV_ANNOUNCED_STALE,
     "b",
     READY},
    {"same name again after a restart",
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
    {"another left",
     {{"a", 10, 1, READY}, {"b", 0, 0, LEFT}},
     2,
     BV_ANNOUNCED_STALE,
     "a",
     READY},
    {"late word after leaving",
     {{"a", 10, 1, READY}, {"a", 0, 0, LEFT}, {"a", 10, 3, READY}},
     3,
     BV_ANNOUNCED_STALE,
     "a",
     LEFT},
    {"back by a new start",
     {{"a", 10, 1, READY}, {"a", 0, 0, LEFT}, {"a", 30, 1, READY}},
     3,
     BV_ANNOUNCED_CHANGED,
     "a",
     READY},
};

static bv_announcement_t
announcement(const word_t *word)
{
    bv_announcement_t announcement = {
        .port = word->state == LEFT ? 0 : 80,
        .slots = word->state == LEFT ? 0 : 4,
        .state = word->state,
        .incarnation_start_ms = word->born_ms,
        .sequence = word->sequence,
    };
    g_strlcpy(announcement.instance, word->instance, BV_INSTANCE_BYTES);
    return announcement;
}

START_TEST(test_words)
{
    const case_t *row = &cases[_i];
    bv_announcement_t known = {0};
    bv_announcement_result_t verdict = BV_ANNOUNCED_STALE;
    for (uint32_t i = 0; i < row->count; i++) {
        bv_announcement_t word = announcement(&row->words[i]);
        verdict = bv_announcement_apply(&known, &word);
    }
    ck_assert_msg(verdict == row->last, "%s: verdict %d", row->name, verdict);
    ck_assert_str_eq(known.instance, row->known);
    ck_assert_int_eq(known.state, row->state);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"words", test_words, G_N_ELEMENTS(cases)},
                                    {NULL}};
    return support_run("announced", tests);
}
