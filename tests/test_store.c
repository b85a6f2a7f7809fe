#include "store_fixture.h"

#include "support.h"

/*
 * Guards against options of a request that do not reach its connection, and
 * against eras of the store that go unnoticed.
 */
static const struct {
    const char *header;
    int64_t era;
} era_cases[] = {
    {"", 0},
    {"Store-Era: 3\r\n", 3},
    {"store-era: 12\r\n", 12},
    {"Store-Era: 0\r\n", 0},
    {"Store-Era: -1\r\n", 0},
    {"Store-Era: 3x\r\n", 0},
    {"Store-Era: 99999999999999999999\r\n", 0},
};

START_TEST(test_era_is_read)
{
    store_fixture_t fixture = {0};
    store_fixture_open(&fixture);
    fixture.server.header = era_cases[_i].header;
    store_fixture_read(&fixture, false);
    int64_t era_of_read = fixture.era;
    store_fixture_watch(&fixture, false);
    store_fixture_close(&fixture);
    ck_assert_int_eq(fixture.result, BV_STORE_OK);
    ck_assert_int_eq(era_of_read, era_cases[_i].era);
    ck_assert_int_eq(fixture.era, era_cases[_i].era);
}
END_TEST

START_TEST(test_new_era_is_reported_once)
{
    static const struct {
        const char *header;
        gint reported;
    } steps[] = {
        {"", 0},
        {"Store-Era: 4\r\n", 0},
        {"Store-Era: 5\r\n", 1},
        {"Store-Era: 5\r\n", 1},
        {"Store-Era: 4\r\n", 1},
        {"Store-Era: 6\r\n", 2},
    };
    gint reported[G_N_ELEMENTS(steps)];
    store_fixture_t fixture = {0};
    store_fixture_open(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        fixture.server.header = steps[i].header;
        store_fixture_read(&fixture, false);
        reported[i] = fixture.eras_reported;
    }
    store_fixture_close(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        ck_assert_int_eq(reported[i], steps[i].reported);
    }
    ck_assert_int_eq(fixture.last_era, 6);
}
END_TEST

static const bool fresh_cases[] = {false, true};

START_TEST(test_fresh_connection_is_opened)
{
    bool is_fresh = fresh_cases[_i];
    store_fixture_t fixture = {0};
    store_fixture_open(&fixture);
    store_fixture_read(&fixture, false);
    store_fixture_read(&fixture, is_fresh);
    store_fixture_watch(&fixture, is_fresh);
    store_fixture_read(&fixture, false);
    store_fixture_close(&fixture);
    ck_assert_int_eq(fixture.server.accepted, is_fresh ? 3 : 1);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"era_is_read", test_era_is_read, G_N_ELEMENTS(era_cases)},
        {"new_era_is_reported_once", test_new_era_is_reported_once, 1},
        {"fresh_connection_is_opened", test_fresh_connection_is_opened,
         G_N_ELEMENTS(fresh_cases)},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("store", tests);
}
