#include "berylvane/node/member_row.h"
#include "support.h"

typedef struct {
    const char *service;
    uint32_t slots;
} case_t;

/* A node writes its row before its target was heard, too. */
static const case_t cases[] = {{"orders", 8}, {"orders", 0}, {"", 0}};

START_TEST(test_round_trip)
{
    const case_t *row = &cases[_i];
    bv_member_t read;
    bv_member_t member = {
        .name = "n-1",
        .data_centre = "m1",
        .region = "midlands",
        .address = "10.0.0.1",
        .peer_port = 7000,
        .gossip_port = 7001,
        .incarnation = 5,
        .slots = row->slots,
    };
    g_strlcpy(member.service, row->service, BV_NAME_BYTES);
    json_t *value = bv_member_row_render(&member);
    ck_assert(bv_member_row_parse(value, &read));
    ck_assert_str_eq(read.name, member.name);
    ck_assert_str_eq(read.service, member.service);
    ck_assert_str_eq(read.address, member.address);
    ck_assert_uint_eq(read.gossip_port, member.gossip_port);
    ck_assert_uint_eq(read.incarnation, member.incarnation);
    ck_assert_uint_eq(read.slots, member.slots);
    json_decref(value);
}
END_TEST

static const char *const damaged[] = {
    "{}",
    "7",
    "{\"name\":\"a\"}",
    "{\"name\":1,\"data_centre\":\"m1\",\"region\":\"r\"}",
};

START_TEST(test_damaged)
{
    bv_member_t read;
    json_t *value = json_loads(damaged[_i], JSON_DECODE_ANY, NULL);
    ck_assert(!bv_member_row_parse(value, &read));
    json_decref(value);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"round_trip", test_round_trip, G_N_ELEMENTS(cases)},
        {"damaged", test_damaged, G_N_ELEMENTS(damaged)},
        {NULL}};
    return support_run("member_row", tests);
}
