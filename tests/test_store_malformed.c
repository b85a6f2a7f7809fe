#include "store_fixture.h"

#include "support.h"

/*
 * Guards against answers without valid content that count as answers, so that
 * a row that was not read is taken for one that does not exist.
 */
static const char *const malformed_bodies[] = {
    "",
    "no answer",
    "{\"Rows\":[],\"Ver\":7",
    "[]",
    "{}",
    "{\"Rows\":[],\"Ver\":\"7\"}",
    "{\"Rows\":{},\"Ver\":7}",
};

START_TEST(test_malformed_answer_is_no_answer)
{
    store_fixture_t fixture = {0};
    store_fixture_open(&fixture);
    fixture.server.body = malformed_bodies[_i];
    store_fixture_read(&fixture, false);
    bv_store_result_t read_result = fixture.result;
    store_fixture_watch(&fixture, false);
    bv_store_result_t watch_result = fixture.result;
    store_fixture_close(&fixture);
    ck_assert_int_ne(read_result, BV_STORE_OK);
    ck_assert_int_ne(watch_result, BV_STORE_OK);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {{"malformed_answer_is_no_answer",
                                     test_malformed_answer_is_no_answer,
                                     G_N_ELEMENTS(malformed_bodies)},
                                    {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("store_malformed", tests);
}
