#include "berylvane/platform/rows.h"
#include "support.h"

/*
 * The rows of the platform's table, and the transactions that write them.
 */

/*
 * A transaction that is refused once and then written. Guards against results
 * that do not match what was written: the operation whose condition failed has
 * to report the current row, and only the others are sent again.
 */
START_TEST(test_settle_transaction)
{
    json_t *operations =
        json_loads("[{\"op\":\"update\",\"key\":\"t/a\",\"value\":1,"
                   "\"revision\":3},{\"op\":\"insert\",\"key\":\"t/b\","
                   "\"value\":2},{\"op\":\"put\",\"key\":\"t/c\","
                   "\"value\":3},{\"op\":\"drop\",\"key\":\"t/d\"}]",
                   0, NULL);
    json_t *results = json_loads("[null,null,null,null]", 0, NULL);
    json_t *rows = json_loads(
        "[{\"Table\":\"t\",\"Key\":\"a\",\"Value\":\"OQ==\",\"Ver\":4}]", 0,
        NULL);
    json_t *transaction = bv_rows_build_transaction(operations, results);
    ck_assert_uint_eq(
        json_array_size(json_object_get(transaction, "ExpectedRevision")), 2);
    ck_assert_uint_eq(json_array_size(json_object_get(transaction, "Writes")),
                      3);
    ck_assert_uint_eq(json_array_size(json_object_get(transaction, "Remove")),
                      1);
    json_decref(transaction);
    ck_assert_uint_eq(bv_rows_settle_conflicts(operations, rows, results), 1);
    const json_t *first = json_array_get(results, 0);
    ck_assert_int_eq(json_integer_value(json_object_get(first, "value")), 9);
    transaction = bv_rows_build_transaction(operations, results);
    ck_assert_uint_eq(json_array_size(json_object_get(transaction, "Writes")),
                      2);
    json_decref(transaction);
    bv_rows_settle_written(results, 12);
    for (size_t i = 0; i < 4; i++) {
        const json_t *result = json_array_get(results, i);
        ck_assert_int_eq(json_is_true(json_object_get(result, "ok")), i > 0);
    }
    json_decref(rows);
    json_decref(results);
    json_decref(operations);
}
END_TEST

/*
 * Other programs may write rows in any form to the table. Guards against a row
 * that cannot be decoded and prevents the reading of the others, and against a
 * member's row of which one of two values is taken.
 */
START_TEST(test_decode_rows)
{
    json_t *wire = json_loads(
        "[{\"Table\":\"t\",\"Key\":\"a\",\"Value\":\"MQ==\",\"Ver\":1},"
        "{\"Table\":\"t\",\"Key\":\"b\",\"Value\":\"?\",\"Ver\":2},"
        "{\"Table\":\"t\",\"Key\":\"c\",\"Value\":7,\"Ver\":3},"
        "{\"Table\":\"t\",\"Key\":\"d\",\"Value\":\"e30=\",\"Ver\":\"4\"},"
        "{\"Table\":\"t\",\"Key\":\"e\",\"Deleted\":true,\"Ver\":5},"
        "{\"Table\":\"member\",\"Key\":\"f\",\"Ver\":6,\"Value\":"
        "\"eyJuYW1lIjoiYSIsIm5hbWUiOiJiIn0=\"},\"x\"]",
        0, NULL);
    json_t *rows = json_array();
    bv_rows_decode(wire, NULL, rows);
    ck_assert_uint_eq(json_array_size(rows), 2);
    json_decref(rows);
    rows = json_array();
    bv_rows_decode(wire, "t/a", rows);
    ck_assert_uint_eq(json_array_size(rows), 1);
    json_decref(rows);
    json_decref(wire);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"settle_transaction", test_settle_transaction, 1},
        {"decode_rows", test_decode_rows, 1},
        {NULL}};
    return support_run("platform_rows", tests);
}
