#include "berylvane/platform/store.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/latch.h"
#include "berylvane/common/program.h"
#include "raw_server.h"
#include "support.h"

#include <string.h>

/*
 * Other programs write rows to the same tables. Guards against a row that
 * nobody can read and that hides the others, and against an unreadable answer
 * that is taken for an empty table.
 */
#define REQUEST_TIMEOUT_US (5 * BV_US_PER_S)
#define RING_CAPACITY 4
/* Deeper than any parser of JSON follows. */
#define DEEP_LEVELS 5000

#define ROW(key, value, version)                                              \
    "{\"Table\":\"t\",\"part\":\"\",\"Key\":\"" key "\",\"Value\":" value     \
    ",\"Ver\":" version "}"
/* The base64 forms of 1, of a number beyond 64 bits, and of 1e999. */
#define ONE "\"MQ==\""
#define LARGE_NUMBER "\"OTk5OTk5OTk5OTk5OTk5OTk5OTk=\""
#define LARGE_REAL "\"MWU5OTk=\""

typedef struct {
    const char *name;
    /* The second of three rows; %s stands for a value nested too deeply. */
    const char *odd_row;
} odd_row_case_t;

static const odd_row_case_t odd_row_cases[] = {
    {"number beyond 64 bits in a value", ROW("b", LARGE_NUMBER, "2")},
    {"real beyond a double in a value", ROW("b", LARGE_REAL, "2")},
    {"no base64", ROW("b", "\"?!\"", "2")},
    {"empty value", ROW("b", "\"\"", "2")},
    {"value nested too deeply", ROW("b", "%s", "2")},
    {"answer nested too deeply", "%s"},
    {"version beyond 64 bits", ROW("b", ONE, "99999999999999999999")},
    {"version beyond a double", ROW("b", ONE, "1e999")},
    {"version with a fraction", ROW("b", ONE, "2.5")},
    {"NUL in the key", ROW("b\\u0000", ONE, "2")},
    {"half a surrogate pair in the key", ROW("b\\ud800", ONE, "2")},
    {"key that is not UTF-8", ROW("b\xff", ONE, "2")},
    {"key with brackets and an escaped quote", ROW("]}\\\"\\u0000", ONE, "2")},
    {"key that is a number", "{\"Table\":\"t\",\"Key\":7,\"Ver\":2}"},
    {"no row", "[[],{}]"},
};

typedef struct {
    bv_latch_t *latch;
    bv_store_result_t result;
    json_t *json;
} pending_t;

static void
on_done(void *context, bv_store_answer_t *answer)
{
    pending_t *pending = context;
    pending->result = answer->result;
    pending->json = bv_store_take_json(answer);
    bv_latch_open(pending->latch);
}

static char *
build_http_answer(const char *body)
{
    return g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                           strlen(body), body);
}

/* Scans the rows of a store that sends `body`. */
static void
scan(apr_pool_t *pool, const char *body, pending_t *pending)
{
    char *bytes = build_http_answer(body);
    raw_reply_t reply = {.bytes = bytes};
    raw_server_options_t server_options = {&reply, 1};
    raw_server_t *server = raw_server_start(&server_options);
    char *url =
        g_strdup_printf("http://127.0.0.1:%u", raw_server_port(server));
    bv_store_options_t options = {.url = url,
                                  .timeout_us = REQUEST_TIMEOUT_US,
                                  .ring_capacity = RING_CAPACITY};
    bv_store_t *store = bv_store_start(pool, &options);
    pending->latch = bv_latch_create(pool);
    ck_assert(bv_store_scan(store, "t/", NULL, 0, on_done, pending));
    bv_latch_wait(pending->latch);
    bv_store_stop(store);
    raw_server_stop(server);
    g_free(url);
    g_free(bytes);
}

static char *
build_deep_json(void)
{
    GString *text = g_string_new(NULL);
    for (int i = 0; i < DEEP_LEVELS; i++) {
        g_string_append_c(text, '[');
    }
    for (int i = 0; i < DEEP_LEVELS; i++) {
        g_string_append_c(text, ']');
    }
    return g_string_free(text, FALSE);
}

/* Returns the text of a row with the deep JSON where %s stands. */
static char *
build_odd_row(const char *row)
{
    char *deep = build_deep_json();
    const char *mark = strstr(row, "%s");
    if (mark == NULL) {
        g_free(deep);
        return g_strdup(row);
    }
    bool is_value = mark != row;
    char *encoded = g_base64_encode((guchar *)deep, strlen(deep));
    char *quoted = g_strdup_printf("\"%s\"", encoded);
    char *text = g_strdup_printf("%.*s%s%s", (int)(mark - row), row,
                                 is_value ? quoted : deep, mark + 2);
    g_free(quoted);
    g_free(encoded);
    g_free(deep);
    return text;
}

static const char *
key_of(const json_t *rows, size_t index)
{
    return json_string_value(
        json_object_get(json_array_get(rows, index), "key"));
}

START_TEST(test_odd_row_hides_no_other)
{
    const odd_row_case_t *odd = &odd_row_cases[_i];
    apr_pool_t *pool = bv_program_start();
    pending_t pending = {0};
    char *row = build_odd_row(odd->odd_row);
    char *body =
        g_strdup_printf("{\"Rows\": [" ROW("a", ONE, "1") ", %s, " ROW(
                            "c", ONE, "3") "],\"Ver\":9}",
                        row);
    scan(pool, body, &pending);
    const json_t *rows = json_object_get(pending.json, "rows");
    ck_assert_int_eq(pending.result, BV_STORE_OK);
    ck_assert_msg(json_array_size(rows) == 2, "%s: %zu rows", odd->name,
                  json_array_size(rows));
    ck_assert_str_eq(key_of(rows, 0), "t/a");
    ck_assert_str_eq(key_of(rows, 1), "t/c");
    ck_assert_int_eq(
        json_integer_value(json_object_get(pending.json, "version")), 9);
    json_decref(pending.json);
    g_free(body);
    g_free(row);
    bv_program_stop(pool);
}
END_TEST

static const char *const unreadable_answers[] = {
    "",
    "nonsense",
    "[1]",
    "{\"Rows\":[" ROW("a", ONE, "1") "],\"Ver\":99999999999999999999}",
    "{\"Rows\":[" ROW("a", ONE, "1"),
    "{\"Rows\":[\"",
    "{\"Rows\"",
};

START_TEST(test_unreadable_answer_is_no_empty_table)
{
    apr_pool_t *pool = bv_program_start();
    pending_t pending = {0};
    scan(pool, unreadable_answers[_i], &pending);
    ck_assert_msg(pending.result == BV_STORE_UNKNOWN, "%s: result %d",
                  unreadable_answers[_i], pending.result);
    ck_assert_ptr_null(pending.json);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"odd_row_hides_no_other",
                                     test_odd_row_hides_no_other,
                                     G_N_ELEMENTS(odd_row_cases)},
                                    {"unreadable_answer_is_no_empty_table",
                                     test_unreadable_answer_is_no_empty_table,
                                     G_N_ELEMENTS(unreadable_answers)},
                                    {NULL}};
    return support_run("store_answers", tests);
}
