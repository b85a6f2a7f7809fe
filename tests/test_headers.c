#include "berylvane/common/headers.h"
#include "support.h"

#include <string.h>

/*
 * Guards against headers that are read from malformed lines or under another
 * name, and against hop-by-hop headers and headers of berylvane that are
 * forwarded between caller and target.
 */

typedef struct {
    const char *block;
    const char *name;
    const char *value;
} get_case_t;

static const get_case_t get_cases[] = {
    {"A: 1\r\nB: 2\r\n", "B", "2"},
    {"A: 1\r\nB: 2", "B", "2"},
    {"a-b:x\r\n", "A-B", "x"},
    {"A:  spaces \t\r\n", "A", "spaces"},
    {"A: first\r\nA: second\r\n", "A", "first"},
    {"AB: 1\r\n", "A", NULL},
    {"A : 1\r\n", "A", NULL},
    {"A\r\nB: 2\r\n", "A", NULL},
    {"A:\r\n", "A", ""},
    {"", "A", NULL},
    {NULL, "A", NULL},
};

START_TEST(test_get)
{
    const get_case_t *row = &get_cases[_i];
    char *value = bv_headers_get(row->block, row->name);
    ck_assert_pstr_eq(value, row->value);
    g_free(value);
}
END_TEST

typedef struct {
    const char *block;
    /* The lines of the block that may be forwarded. */
    const char *forwarded;
} filter_case_t;

static const filter_case_t filter_cases[] = {
    {"A: 1\r\nConnection: close\r\nB: 2\r\n", "A: 1\r\nB: 2\r\n"},
    {"Berylvane-Outcome: ran\r\nC: 3", "C: 3\r\n"},
    {"no colon\r\nA:x\r\n", "A: x\r\n"},
    {"", ""},
    {NULL, ""},
};

START_TEST(test_filter)
{
    const filter_case_t *row = &filter_cases[_i];
    char *forwarded = bv_headers_filter(row->block);
    ck_assert_str_eq(forwarded, row->forwarded);
    g_free(forwarded);
}
END_TEST

static const size_t sizes[] = {16 * 1024, 16 * 1024 + 1, 64 * 1024, 80 * 1024};

/* Guards against a block of which some lines are dropped without notice. */
START_TEST(test_size)
{
    GString *block = g_string_new("A: 1\r\nB: ");
    while (block->len + strlen("\r\n") < sizes[_i]) {
        g_string_append_c(block, 'b');
    }
    g_string_append(block, "\r\n");
    char *forwarded = bv_headers_filter(block->str);
    ck_assert_msg(strcmp(forwarded, block->str) == 0, "%zu bytes", sizes[_i]);
    g_free(forwarded);
    g_string_free(block, TRUE);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"get", test_get, G_N_ELEMENTS(get_cases)},
        {"filter", test_filter, G_N_ELEMENTS(filter_cases)},
        {"size", test_size, G_N_ELEMENTS(sizes)},
        {NULL}};
    return support_run("headers", tests);
}
