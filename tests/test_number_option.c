#include "berylvane/common/number_option.h"
#include "support.h"

/*
 * Guards against values of options that are taken in part or as 0, and start
 * a program with a number that nobody gave.
 */
#define UNCHANGED 77

typedef struct {
    const char *text;
    int64_t minimum;
    int64_t maximum;
    bool is_valid;
    int64_t number;
} number_case_t;

static const number_case_t number_cases[] = {
    {"0", 0, 9, true, 0},
    {"9", 0, 9, true, 9},
    {"010", 0, 10, true, 10},
    {"-5", -5, 5, true, -5},
    {"9223372036854775807", 1, INT64_MAX, true, INT64_MAX},
    {"10", 0, 9, false, UNCHANGED},
    {"0", 1, 9, false, UNCHANGED},
    {"-1", 0, 9, false, UNCHANGED},
    {"9223372036854775808", 1, INT64_MAX, false, UNCHANGED},
    {"", 0, 9, false, UNCHANGED},
    {"abc", 0, 9, false, UNCHANGED},
    {"1o0", 0, 1000, false, UNCHANGED},
    {"5 ", 0, 9, false, UNCHANGED},
    {" 5", 0, 9, false, UNCHANGED},
    {"5s", 0, 9, false, UNCHANGED},
    {"1.5", 0, 9, false, UNCHANGED},
    {"1e1", 0, 99, false, UNCHANGED},
    {"0x10", 0, 99, false, UNCHANGED},
};

START_TEST(test_parse)
{
    const number_case_t *row = &number_cases[_i];
    int64_t number = UNCHANGED;
    bool is_valid =
        bv_number_parse(row->text, row->minimum, row->maximum, &number);
    ck_assert_msg(is_valid == row->is_valid, "\"%s\"", row->text);
    ck_assert_int_eq(number, row->number);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"parse", test_parse, G_N_ELEMENTS(number_cases)}, {NULL}};
    return support_run("number_option", tests);
}
