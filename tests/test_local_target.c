#include "berylvane/core/local_target.h"
#include "support.h"

#include <string.h>

/*
 * Guards against a target that is sent work of a service that it does not
 * belong to, or at an address that it does not have, because of an
 * announcement that another program wrote; and against a state that does not
 * follow the announcements.
 */
#define SILENCE_US 1000
/* Time at which announcements arrive. */
#define WALL_MS 50
#define READY BV_ANNOUNCED_READY
#define DRAINING BV_ANNOUNCED_DRAINING
#define LEFT BV_ANNOUNCED_LEFT
#define WHOLE BV_DEPARTURE_WHOLE_START

typedef struct {
    const char *instance;
    uint64_t start_ms;
    uint64_t sequence;
    bv_announcement_state_t state;
    const char *service;
    const char *address;
    uint16_t port;
} announced_t;

typedef struct {
    const char *name;
    /* The service of the node's settings; NULL: none. */
    const char *service;
    announced_t announced[3];
    uint32_t count;
    /* Result of the last announcement. */
    bv_announcement_result_t result;
    /* State after it. */
    const char *newest_service;
    bool is_usable;
    bool is_leaving;
} case_t;

#define FIRST                                                                 \
    {                                                                         \
        "a", 10, 1, READY, "shop", "10.0.0.1", 80                             \
    }

static const case_t cases[] = {
    {"no service in the settings",
     NULL,
     {FIRST},
     1,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"own service",
     "shop",
     {FIRST},
     1,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"other service first",
     "bank",
     {FIRST},
     1,
     BV_ANNOUNCED_OTHER_SERVICE,
     "",
     false,
     false},
    {"other service of a newer start",
     "shop",
     {FIRST, {"b", 20, 1, READY, "bank", "10.0.0.1", 80}},
     2,
     BV_ANNOUNCED_OTHER_SERVICE,
     "shop",
     true,
     false},
    {"other service drains",
     "shop",
     {FIRST, {"a", 10, 2, DRAINING, "bank", "10.0.0.1", 80}},
     2,
     BV_ANNOUNCED_OTHER_SERVICE,
     "shop",
     true,
     false},
    {"service changed within one start",
     NULL,
     {FIRST, {"a", 10, 2, READY, "bank", "10.0.0.1", 80}},
     2,
     BV_ANNOUNCED_CONFLICT,
     "shop",
     true,
     false},
    {"address changed within one start",
     "shop",
     {FIRST, {"a", 10, 2, READY, "shop", "10.0.0.2", 80}},
     2,
     BV_ANNOUNCED_CONFLICT,
     "shop",
     true,
     false},
    {"port changed within one start",
     "shop",
     {FIRST, {"a", 10, 2, DRAINING, "shop", "10.0.0.1", 81}},
     2,
     BV_ANNOUNCED_CONFLICT,
     "shop",
     true,
     false},
    {"address changed by a new start",
     "shop",
     {FIRST, {"a", 20, 1, READY, "shop", "10.0.0.2", 81}},
     2,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"service changed by a new start",
     NULL,
     {FIRST, {"b", 20, 1, READY, "bank", "10.0.0.1", 80}},
     2,
     BV_ANNOUNCED_CHANGED,
     "bank",
     true,
     false},
    {"draining",
     "shop",
     {FIRST, {"a", 10, 2, DRAINING, "shop", "10.0.0.1", 80}},
     2,
     BV_ANNOUNCED_CHANGED,
     "shop",
     false,
     true},
    {"ready after draining",
     "shop",
     {FIRST,
      {"a", 10, 2, DRAINING, "shop", "10.0.0.1", 80},
      {"a", 10, 3, READY, "shop", "10.0.0.1", 80}},
     3,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"left",
     "shop",
     {FIRST, {"a", 0, 0, LEFT, "", "", 0}},
     2,
     BV_ANNOUNCED_CHANGED,
     "shop",
     false,
     true},
    {"another target after the one that left",
     "shop",
     {FIRST,
      {"a", 0, 0, LEFT, "", "", 0},
      {"b", 20, 1, READY, "shop", "10.0.0.1", 80}},
     3,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"departure heard first",
     "shop",
     {{"a", 0, 0, LEFT, "", "", 0}},
     1,
     BV_ANNOUNCED_STALE,
     "",
     false,
     false},
    {"late heartbeat after a departure heard first",
     "shop",
     {{"a", 0, 0, LEFT, "", "", 0}, FIRST},
     2,
     BV_ANNOUNCED_STALE,
     "",
     false,
     false},
    {"start at the time of the departure heard first",
     "shop",
     {{"a", 0, 0, LEFT, "", "", 0},
      {"a", WALL_MS, 1, READY, "shop", "10.0.0.1", 80}},
     2,
     BV_ANNOUNCED_STALE,
     "",
     false,
     false},
    {"new start after a departure heard first",
     "shop",
     {{"a", 0, 0, LEFT, "", "", 0},
      {"a", WALL_MS + 1, 1, READY, "shop", "10.0.0.1", 80}},
     2,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"another instance after a departure heard first",
     "shop",
     {{"b", 0, 0, LEFT, "", "", 0}, FIRST},
     2,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"new start before the departure of the known one arrived",
     "shop",
     {FIRST,
      {"a", 0, 0, LEFT, "", "", 0},
      {"a", 20, 1, READY, "shop", "10.0.0.1", 80}},
     3,
     BV_ANNOUNCED_CHANGED,
     "shop",
     true,
     false},
    {"departure of an earlier instance, heard late",
     "shop",
     {{"b", 20, 1, READY, "shop", "10.0.0.1", 80},
      {"a", 0, 0, LEFT, "", "", 0},
      {"a", 30, 2, READY, "shop", "10.0.0.1", 80}},
     3,
     BV_ANNOUNCED_STALE,
     "shop",
     true,
     false},
};

static bv_announcement_t
make_announcement(const announced_t *entry)
{
    bv_announcement_t announcement = {
        .port = entry->port,
        .slots = entry->state == LEFT ? 0 : 4,
        .state = entry->state,
        .incarnation_start_ms = entry->start_ms,
        .sequence = entry->sequence,
    };
    g_strlcpy(announcement.instance, entry->instance, BV_INSTANCE_BYTES);
    g_strlcpy(announcement.service, entry->service,
              sizeof(announcement.service));
    g_strlcpy(announcement.address, entry->address, BV_ADDRESS_BYTES);
    return announcement;
}

START_TEST(test_announcements)
{
    const case_t *row = &cases[_i];
    bv_local_target_options_t options = {.service = row->service,
                                         .silence_us = SILENCE_US};
    bv_local_target_t target;
    bv_local_target_init(&target, &options);
    bv_announcement_result_t result = BV_ANNOUNCED_STALE;
    for (uint32_t i = 0; i < row->count; i++) {
        bv_announcement_t announcement = make_announcement(&row->announced[i]);
        result = bv_local_target_apply(&target, i, WALL_MS, &announcement);
    }
    ck_assert_msg(result == row->result, "%s: result %d", row->name, result);
    ck_assert_str_eq(target.last_announcement.service, row->newest_service);
    ck_assert_int_eq(bv_local_target_is_usable(&target), row->is_usable);
    ck_assert_int_eq(bv_local_target_is_leaving(&target), row->is_leaving);
}
END_TEST

/*
 * Guards against a target that is sent work after it fell silent or accepted
 * no connection, and against one that stays unused after its next
 * announcement.
 */
START_TEST(test_silent_and_unreachable)
{
    const announced_t entry = FIRST;
    bv_local_target_options_t options = {.service = "shop",
                                         .silence_us = SILENCE_US};
    bv_announcement_t announcement = make_announcement(&entry);
    bv_local_target_t target;
    bv_local_target_init(&target, &options);
    ck_assert(!bv_local_target_check_silence(&target, 2 * SILENCE_US));
    bv_local_target_apply(&target, 0, WALL_MS, &announcement);
    ck_assert(!bv_local_target_check_silence(&target, SILENCE_US));
    ck_assert(bv_local_target_check_silence(&target, SILENCE_US + 1));
    ck_assert(!bv_local_target_check_silence(&target, SILENCE_US + 2));
    ck_assert(!bv_local_target_is_usable(&target));
    ck_assert(!bv_local_target_set_unreachable(&target));
    announcement.sequence++;
    ck_assert_int_eq(bv_local_target_apply(&target, 0, WALL_MS, &announcement),
                     BV_ANNOUNCED_CHANGED);
    ck_assert(bv_local_target_set_unreachable(&target));
    ck_assert(!bv_local_target_set_unreachable(&target));
    ck_assert(!bv_local_target_is_usable(&target));
    ck_assert(!bv_local_target_is_leaving(&target));
    announcement.sequence++;
    ck_assert_int_eq(bv_local_target_apply(&target, 0, WALL_MS, &announcement),
                     BV_ANNOUNCED_CHANGED);
    ck_assert(bv_local_target_is_usable(&target));
}
END_TEST

/*
 * Guards against departures that take memory without bound, and against a
 * departure that is lost while there is room for it. Many instances leave; the
 * latest BV_DEPARTURES_LIMIT of them must stay away.
 */
START_TEST(test_many_departures)
{
    const announced_t entry = FIRST;
    bv_local_target_options_t options = {.service = "shop",
                                         .silence_us = SILENCE_US};
    bv_local_target_t target;
    bv_local_target_init(&target, &options);
    bv_announcement_t left = {.state = LEFT};
    for (int i = 0; i < 3 * BV_DEPARTURES_LIMIT; i++) {
        g_snprintf(left.instance, BV_INSTANCE_BYTES, "i-%d", i);
        bv_local_target_apply(&target, 0, WALL_MS, &left);
        bv_local_target_apply(&target, 0, WALL_MS, &left);
    }
    bv_announcement_t late = make_announcement(&entry);
    for (int i = 0; i < 3 * BV_DEPARTURES_LIMIT; i++) {
        bool is_recorded = i >= 2 * BV_DEPARTURES_LIMIT;
        g_snprintf(late.instance, BV_INSTANCE_BYTES, "i-%d", i);
        late.sequence++;
        ck_assert_int_eq(bv_local_target_apply(&target, 0, WALL_MS, &late),
                         is_recorded ? BV_ANNOUNCED_STALE
                                     : BV_ANNOUNCED_CHANGED);
    }
}
END_TEST

typedef struct {
    const char *name;
    bv_departure_t recalled;
    /* The target, announced before the departure is recalled. */
    announced_t announced;
    announced_t later;
    bool takes_out;
    /* Whether the target is usable after the later announcement. */
    bool is_usable;
} recall_case_t;

#define NEXT(start_ms, sequence)                                              \
    {                                                                         \
        "a", start_ms, sequence, READY, "shop", "10.0.0.1", 80                \
    }

/* The digest is that of "a". */
static const recall_case_t recall_cases[] = {
    {"left", {0, 10, WHOLE}, NEXT(10, 1), NEXT(10, 2), true, false},
    {"left, new start", {0, 10, WHOLE}, NEXT(10, 1), NEXT(11, 1), true, true},
    {"left, later start known",
     {0, 10, WHOLE},
     NEXT(11, 1),
     NEXT(11, 2),
     false,
     true},
    {"draining", {0, 10, 5}, NEXT(10, 4), NEXT(10, 5), true, false},
    {"draining, ready again",
     {0, 10, 5},
     NEXT(10, 4),
     NEXT(10, 6),
     true,
     true},
    {"draining, ready again before",
     {0, 10, 5},
     NEXT(10, 6),
     NEXT(10, 7),
     false,
     true},
    {"draining, new start", {0, 10, 5}, NEXT(10, 4), NEXT(12, 1), true, true},
};

/*
 * Guards against a restarted node that sends work to a target whose departure
 * it learns only after a late heartbeat of it.
 */
START_TEST(test_recall)
{
    const recall_case_t *row = &recall_cases[_i];
    bv_local_target_options_t options = {.service = "shop",
                                         .silence_us = SILENCE_US};
    bv_announcement_t announced = make_announcement(&row->announced);
    bv_announcement_t later = make_announcement(&row->later);
    bv_departure_t recalled = row->recalled;
    recalled.instance_digest = bv_departure_digest("a");
    bv_local_target_t target;
    bv_local_target_init(&target, &options);
    bv_local_target_apply(&target, 0, WALL_MS, &announced);
    ck_assert(bv_local_target_is_usable(&target));
    ck_assert_msg(bv_local_target_recall(&target, &recalled) == row->takes_out,
                  "%s", row->name);
    ck_assert_msg(bv_local_target_is_usable(&target) != row->takes_out, "%s",
                  row->name);
    ck_assert(!bv_local_target_recall(&target, &recalled));
    bv_local_target_apply(&target, 0, WALL_MS, &later);
    ck_assert_msg(bv_local_target_is_usable(&target) == row->is_usable, "%s",
                  row->name);
}
END_TEST

/*
 * Guards against a target that is used while the departures that an earlier
 * process acknowledged are not known, and against a wait for them where there
 * can be none: with a target that started after the node.
 */
START_TEST(test_wait_for_recall)
{
    const announced_t early = NEXT(10, 1);
    const announced_t late = NEXT(11, 1);
    bv_local_target_options_t options = {
        .service = "shop", .silence_us = SILENCE_US, .node_start_ms = 10};
    bv_announcement_t announcement = make_announcement(&early);
    bv_local_target_t target;
    bv_local_target_init(&target, &options);
    bv_local_target_apply(&target, 0, WALL_MS, &announcement);
    ck_assert(!bv_local_target_is_usable(&target));
    ck_assert(bv_local_target_end_recall(&target));
    ck_assert(bv_local_target_is_usable(&target));
    ck_assert(!bv_local_target_end_recall(&target));
    bv_local_target_init(&target, &options);
    announcement = make_announcement(&late);
    bv_local_target_apply(&target, 0, WALL_MS, &announcement);
    ck_assert(bv_local_target_is_usable(&target));
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"announcements", test_announcements, G_N_ELEMENTS(cases)},
        {"silent_and_unreachable", test_silent_and_unreachable, 1},
        {"many_departures", test_many_departures, 1},
        {"recall", test_recall, G_N_ELEMENTS(recall_cases)},
        {"wait_for_recall", test_wait_for_recall, 1},
        {NULL}};
    return support_run("local_target", tests);
}
