#include "berylvane/node/member_row.h"
#include "support.h"

typedef struct {
    const char *service;
    uint32_t slots;
} round_trip_case_t;

/*
 * A row without a service or with no slots is valid: a node also writes its
 * row before its target has sent an announcement.
 */
static const round_trip_case_t round_trip_cases[] = {
    {"orders", 8}, {"orders", 0}, {"", 0}};

/*
 * Guards against fields that are lost or changed between writing and reading a
 * row, by which nodes would contact a wrong address or incarnation.
 */
START_TEST(test_round_trip)
{
    const round_trip_case_t *test_case = &round_trip_cases[_i];
    bv_member_t parsed;
    bv_member_t member = {
        .name = "n-1",
        .data_centre = "m1",
        .region = "midlands",
        .address = "10.0.0.1",
        .peer_port = 7000,
        .gossip_port = 7001,
        .incarnation = 5,
        .slots = test_case->slots,
    };
    g_strlcpy(member.service, test_case->service, BV_NAME_BYTES);
    json_t *value = bv_member_row_render(&member);
    ck_assert(bv_member_row_parse(value, &parsed));
    ck_assert_str_eq(parsed.name, member.name);
    ck_assert_str_eq(parsed.service, member.service);
    ck_assert_str_eq(parsed.address, member.address);
    ck_assert_uint_eq(parsed.gossip_port, member.gossip_port);
    ck_assert_uint_eq(parsed.incarnation, member.incarnation);
    ck_assert_uint_eq(parsed.slots, member.slots);
    json_decref(value);
}
END_TEST

static const char *const invalid_rows[] = {
    "{}",
    "7",
    "{\"name\":\"a\"}",
    "{\"name\":1,\"data_centre\":\"m1\",\"region\":\"r\"}",
};

/* Guards against membership records made from values that are not rows. */
START_TEST(test_invalid_rows)
{
    bv_member_t parsed;
    json_t *value = json_loads(invalid_rows[_i], JSON_DECODE_ANY, NULL);
    ck_assert(!bv_member_row_parse(value, &parsed));
    json_decref(value);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"round_trip", test_round_trip, G_N_ELEMENTS(round_trip_cases)},
        {"invalid_rows", test_invalid_rows, G_N_ELEMENTS(invalid_rows)},
        {NULL}};
    return support_run("member_row", tests);
}
