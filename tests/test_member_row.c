#include "berylvane/node/member_row.h"

#include "berylvane/common/clock.h"
#include "support.h"

#include <string.h>

typedef struct {
    const char *service;
    uint32_t slots;
} round_trip_case_t;

#define LONG_100                                                              \
    "01234567890123456789012345678901234567890123456789"                      \
    "01234567890123456789012345678901234567890123456789"

/*
 * A row without a service or with no slots is valid: a node also writes its
 * row before its target has sent an announcement.
 */
static const round_trip_case_t round_trip_cases[] = {
    {"orders", 8},
    {"orders", 0},
    {"", 0},
    {LONG_100 LONG_100, 8},
};

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
    g_strlcpy(member.service, test_case->service, BV_SERVICE_BYTES);
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

/* A row that is valid but for one part, which `extra` may follow. */
#define ROW(name, incarnation, extra)                                         \
    "{\"name\":\"" name "\",\"data_centre\":\"m1\",\"region\":\"r\","         \
    "\"address\":\"10.0.0.1\",\"peer_port\":1,\"gossip_port\":2,"             \
    "\"incarnation\":" incarnation ",\"version\":0,\"slots\":1,"              \
    "\"state\":\"alive\",\"generation\":0" extra "}"

static const char *const invalid_rows[] = {
    ROW("a", "99999999999999999999", ""),
    ROW("a", "1e999", ""),
    ROW("a", "NaN", ""),
    ROW("a\xff", "5", ""),
    ROW("a\xed\xa0\x80", "5", ""),
    ROW("a\\u0000", "5", ""),
    ROW("a", "5", ",\"other\":[[[[1]]]]"),
    ROW("a", "5", ",\"slots\":2"),
    ROW("a", "5", "}"),
    "{}",
    "7",
    "{\"name\":\"a\"}",
    "{\"name\":1,\"data_centre\":\"m1\",\"region\":\"r\"}",
};

/* Guards against membership records made from values that are not rows. */
START_TEST(test_invalid_rows)
{
    bv_member_t parsed;
    json_t *valid = json_loads(ROW("a", "5", ""), 0, NULL);
    ck_assert(bv_member_row_parse(valid, &parsed));
    json_decref(valid);
    json_t *value = json_loads(invalid_rows[_i],
                               JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
    ck_assert(!bv_member_row_parse(value, &parsed));
    json_decref(value);
}
END_TEST

/*
 * Values of one field of a row that is valid otherwise. Guards against a row
 * that parses but that no member wrote: it must not hide the real member for
 * good, nor make a node contact an address that is none.
 */
typedef struct {
    const char *field;
    /* JSON; "wall+N" stands for the wall-clock time in N hours. */
    const char *value;
    bool is_valid;
} field_case_t;

static const field_case_t field_cases[] = {
    {"name", "\"n-1\"", true},
    {"name", "\"\"", false},
    {"name", "\"0123456789012345678901234567890123456789\"", false},
    {"name", "7", false},
    {"name", "[\"n-1\"]", false},
    {"name", "{\"n-1\":1}", false},
    {"name", "null", false},
    {"service", "\"" LONG_100 LONG_100 "\"", true},
    {"service", "\"" LONG_100 LONG_100 "0\"", false},
    {"service", "\"\"", false},
    {"service", "7", false},
    {"service", "{}", false},
    {"data_centre", "\"0123456789012345678901234567890123456789\"", false},
    {"region", "[]", false},
    {"address", "\"10.0.0.1\"", true},
    {"address", "[\"10.0.0.1\"]", false},
    {"address", "\"some.host.example\"", false},
    {"address", "\"10.0.0.999\"", false},
    {"address", "\"10.0.0.1;127.0.0.1\"", false},
    {"peer_port", "65535", true},
    {"peer_port", "0", false},
    {"peer_port", "-1", false},
    {"peer_port", "70000", false},
    {"peer_port", "7000.0", false},
    {"gossip_port", "0", false},
    {"gossip_port", "70000", false},
    {"incarnation", "wall+0", true},
    {"incarnation", "wall+1", true},
    {"incarnation", "wall+48", false},
    {"incarnation", "9223372036854775807", false},
    {"incarnation", "1e18", false},
    {"incarnation", "0", false},
    {"incarnation", "-5", false},
    {"version", "1000", true},
    {"version", "4294967295", false},
    {"version", "1.5", false},
    {"slots", "4294967295", false},
    {"slots", "-1", false},
    {"slots", "\"4\"", false},
    {"slots", "[4]", false},
    {"slots", "null", false},
    {"state", "\"draining\"", true},
    {"state", "\"suspect\"", false},
    {"state", "\"left\"", false},
    {"state", "\"dead\"", false},
    {"state", "\"asleep\"", false},
    {"generation", "-1", false},
    {"generation", "1e3", false},
};

#define WALL "wall+"
#define US_PER_HOUR (3600 * BV_US_PER_S)

static json_t *
build_valid_value(void)
{
    bv_member_t member = {
        .name = "n-1",
        .data_centre = "m1",
        .region = "midlands",
        .address = "10.0.0.1",
        .peer_port = 7000,
        .gossip_port = 7001,
        .incarnation = 5,
    };
    return bv_member_row_render(&member);
}

static json_t *
load_field_value(const char *text)
{
    if (!g_str_has_prefix(text, WALL)) {
        return json_loads(text, JSON_DECODE_ANY, NULL);
    }
    gint64 hours = g_ascii_strtoll(text + strlen(WALL), NULL, 10);
    return json_integer(bv_clock_wall_us() + hours * US_PER_HOUR);
}

START_TEST(test_values_that_no_member_writes)
{
    const field_case_t *row = &field_cases[_i];
    bv_member_t parsed;
    json_t *value = build_valid_value();
    json_object_set_new(value, row->field, load_field_value(row->value));
    ck_assert_msg(bv_member_row_parse(value, &parsed) == row->is_valid,
                  "%s %s", row->field, row->value);
    json_decref(value);
}
END_TEST

typedef struct {
    /* Key of the row; NULL for the member's own one. */
    const char *key;
    bool is_valid;
} key_case_t;

static const key_case_t key_cases[] = {
    {NULL, true},
    {"member/n-1", false},
    {"member/0000000000000000/n-1", false},
    {"member/", false},
    {"", false},
};

/* Guards against a row at any other key that names a known member. */
START_TEST(test_key_of_another_shape)
{
    const key_case_t *row = &key_cases[_i];
    bv_member_t parsed;
    char *own_key = bv_member_row_key("n-1");
    json_t *json =
        json_pack("{s:s, s:o}", "key", row->key != NULL ? row->key : own_key,
                  "value", build_valid_value());
    ck_assert_int_eq(bv_member_row_read(json, &parsed), row->is_valid);
    json_object_del(json, "key");
    ck_assert(!bv_member_row_read(json, &parsed));
    json_decref(json);
    g_free(own_key);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"round_trip", test_round_trip, G_N_ELEMENTS(round_trip_cases)},
        {"invalid_rows", test_invalid_rows, G_N_ELEMENTS(invalid_rows)},
        {"values_that_no_member_writes", test_values_that_no_member_writes,
         G_N_ELEMENTS(field_cases)},
        {"key_of_another_shape", test_key_of_another_shape,
         G_N_ELEMENTS(key_cases)},
        {NULL}};
    return support_run("member_row", tests);
}
