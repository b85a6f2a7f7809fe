#include "berylvane/core/departure.h"
#include "berylvane/node/departure_row.h"
#include "support.h"

#include <string.h>

#define WHOLE BV_DEPARTURE_WHOLE_START

/*
 * Guards against announcements that are taken for newer than a departure which
 * outdates them, and against a later start that is taken for the one that
 * left.
 */
typedef struct {
    const char *name;
    uint64_t sequence;
    const char *instance;
    uint64_t start_ms;
    uint64_t announced_sequence;
    bool is_covered;
} covered_t;

/* The departure is of "a", which started at 10. */
static const covered_t covered[] = {
    {"the start that left", WHOLE, "a", 10, 99, true},
    {"an earlier start", WHOLE, "a", 9, 1, true},
    {"no start", WHOLE, "a", 0, 0, true},
    {"a later start", WHOLE, "a", 11, 1, false},
    {"another instance", WHOLE, "b", 10, 1, false},
    {"before the drain", 5, "a", 10, 4, true},
    {"the drain itself", 5, "a", 10, 5, true},
    {"after the drain", 5, "a", 10, 6, false},
    {"without a sequence", 5, "a", 10, 0, false},
    {"an earlier start than the one that drains", 5, "a", 9, 8, true},
};

START_TEST(test_covers)
{
    const covered_t *row = &covered[_i];
    bv_departure_t departure = {bv_departure_digest("a"), 10, row->sequence};
    bv_announcement_t announcement = {
        .incarnation_start_ms = row->start_ms,
        .sequence = row->announced_sequence,
    };
    g_strlcpy(announcement.instance, row->instance, BV_INSTANCE_BYTES);
    ck_assert_msg(bv_departure_covers(&departure, &announcement) ==
                      row->is_covered,
                  "%s", row->name);
    bv_departure_t unused = {0};
    ck_assert(!bv_departure_covers(&unused, &announcement));
}
END_TEST

static const bv_departure_t added[] = {
    {1, 10, 5}, {1, 10, WHOLE}, {2, 20, WHOLE}, {3, 30, 7}, {1, 25, 3},
};
#define ADDED G_N_ELEMENTS(added)

static void
add_rotated(bv_departures_t *departures, size_t first)
{
    memset(departures, 0, sizeof(*departures));
    for (size_t i = 0; i < ADDED; i++) {
        bv_departures_add(departures, &added[(first + i) % ADDED]);
    }
}

/*
 * Guards against nodes that keep other departures than their members, because
 * they learned of them in another order.
 */
START_TEST(test_order_of_adding)
{
    bv_departures_t expected;
    bv_departures_t departures;
    add_rotated(&expected, 0);
    add_rotated(&departures, (size_t)_i);
    ck_assert(bv_departures_include(&expected, &departures));
    ck_assert(bv_departures_include(&departures, &expected));
    ck_assert_uint_eq(bv_departures_count(&departures), BV_DEPARTURES_KEPT);
    const bv_departures_t latest = {{{3, 30, 7}, {1, 25, 3}}};
    ck_assert(bv_departures_include(&departures, &latest));
    ck_assert(!bv_departures_add(&departures, &added[2]));
}
END_TEST

START_TEST(test_row)
{
    const bv_departures_t departures = {
        {{UINT64_MAX, 1796488318510, WHOLE}, {1, 1, 3}}};
    bv_departures_t parsed;
    json_t *value = bv_departure_row_render(&departures);
    ck_assert(bv_departure_row_parse(value, &parsed));
    ck_assert(bv_departures_include(&parsed, &departures));
    ck_assert(bv_departures_include(&departures, &parsed));
    json_decref(value);
}
END_TEST

/* Guards against rows of other writers that take a target out. */
static const char *const bad_rows[] = {
    "null",
    "[]",
    "{}",
    "{\"departures\": {}}",
    "{\"departures\": [1]}",
    "{\"departures\": [{}]}",
    "{\"departures\": [{\"instance_digest\": \"1\", \"start_ms\": 1}]}",
    "{\"departures\": [{\"instance_digest\": 1, \"start_ms\": 1}]}",
    "{\"departures\": [{\"instance_digest\": \"000000000000000g\", "
    "\"start_ms\": 1}]}",
    "{\"departures\": [{\"instance_digest\": \"0000000000000000\", "
    "\"start_ms\": 1}]}",
    "{\"departures\": [{\"instance_digest\": \"0000000000000001\", "
    "\"start_ms\": -1}]}",
    "{\"departures\": [{\"instance_digest\": \"0000000000000001\", "
    "\"start_ms\": 1, \"sequence\": 0}]}",
    "{\"departures\": [{\"instance_digest\": \"0000000000000001\", "
    "\"start_ms\": 1, \"sequence\": \"1\"}]}",
};

START_TEST(test_bad_row)
{
    json_t *value = json_loads(bad_rows[_i], JSON_DECODE_ANY, NULL);
    bv_departures_t parsed;
    ck_assert_ptr_nonnull(value);
    ck_assert_msg(!bv_departure_row_parse(value, &parsed), "%s", bad_rows[_i]);
    ck_assert_uint_eq(bv_departures_count(&parsed), 0);
    json_decref(value);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"covers", test_covers, G_N_ELEMENTS(covered)},
        {"order_of_adding", test_order_of_adding, ADDED},
        {"row", test_row, 1},
        {"bad_row", test_bad_row, G_N_ELEMENTS(bad_rows)},
        {NULL}};
    return support_run("departure", tests);
}
