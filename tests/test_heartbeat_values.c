#include "berylvane/common/clock.h"
#include "berylvane/platform/dialect.h"
#include "support.h"

#include <string.h>

/*
 * Guards against a heartbeat that another program wrote and after which those
 * of the real target count as stale for good.
 */
static bv_settings_t settings = {.service = "shop"};

/* Deeper than any parser of JSON follows. */
#define DEEP_LEVELS 5000
#define MS_PER_HOUR INT64_C(3600000)
#define REAL_UPTIME_MS INT64_C(20000)
#define REAL_SEQUENCE 40
#define BORN "born+"
#define DEEP "deep"

typedef struct {
    /* The last segment but one of the path. */
    const char *instance;
    const char *address;
    const char *sequence;
    /*
     * JSON; "born+N" stands for N hours after the real target's start, and
     * "deep" for JSON that is nested deeply.
     */
    const char *born;
    bool is_valid;
} heartbeat_case_t;

#define ID "i-7"
#define ADDRESS "10.0.0.1:80"
#define START BORN "0"

static const heartbeat_case_t heartbeat_cases[] = {
    {ID, ADDRESS, "39", START, true},
    /* Clocks differ between machines, and can be set back. */
    {ID, ADDRESS, "39", BORN "-1", true},
    {ID, ADDRESS, "39", BORN "48", false},
    {"i-8", ADDRESS, "1", BORN "48", false},
    {"i-8", ADDRESS, "1", "9223372036854775807", false},
    {"i-8", ADDRESS, "1", "99999999999999999999", false},
    {"i-8", ADDRESS, "1", "1e18", false},
    {"i-8", ADDRESS, "1", "1e999", false},
    {"i-8", ADDRESS, "1", "-1", false},
    {"i-8", ADDRESS, "1", "5.5", false},
    {"i-8", ADDRESS, "1", DEEP, false},
    {ID, ADDRESS, "9223372036854775807", START, false},
    {ID, ADDRESS, "4294967295", START, false},
    {ID, ADDRESS, "99999999999999999999", START, false},
    {ID, ADDRESS, "1e999", START, false},
    {ID, ADDRESS, "39.5", START, false},
    {ID, ADDRESS, "-1", START, false},
    {ID, ADDRESS, DEEP, START, false},
    {"i%0d%0aX-7:%201", ADDRESS, "39", START, false},
    {"i%00", ADDRESS, "39", START, false},
    {"i%ff", ADDRESS, "39", START, false},
    {ID, ADDRESS, "39", "0", false},
    {ID, ADDRESS, "39", "\"1\"", false},
    {ID, ADDRESS, "39", "null", false},
    {ID, "10.0.0.1:0", "39", START, false},
    {ID, "10.0.0.1/x:80", "39", START, false},
    {ID, "user@10.0.0.1:80", "39", START, false},
    {ID, "10.0.0.1%20:80", "39", START, false},
    {ID, ":80", "39", START, false},
    {ID, "10.0.0.1:70000", "39", START, false},
    {ID, "10.0.0.1:-1", "39", START, false},
    {ID, "10.0.0.1:8\\u0000", "39", START, false},
    {ID, "10.0.0.1:80\xff", "39", START, false},
};

static char *
build_value(const char *text, int64_t start_ms)
{
    if (strcmp(text, DEEP) == 0) {
        GString *deep = g_string_new(NULL);
        for (int i = 0; i < DEEP_LEVELS; i++) {
            g_string_append_c(deep, '[');
        }
        for (int i = 0; i < DEEP_LEVELS; i++) {
            g_string_append_c(deep, ']');
        }
        return g_string_free(deep, FALSE);
    }
    if (g_str_has_prefix(text, BORN)) {
        gint64 hours = g_ascii_strtoll(text + strlen(BORN), NULL, 10);
        return g_strdup_printf("%" G_GINT64_FORMAT,
                               start_ms + hours * MS_PER_HOUR);
    }
    return g_strdup(text);
}

static bool
read_heartbeat(const heartbeat_case_t *row, int64_t start_ms,
               bv_announcement_t *announcement)
{
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_findings_t *findings = bv_findings_create();
    char *born = build_value(row->born, start_ms);
    char *sequence = build_value(row->sequence, start_ms);
    char *body =
        g_strdup_printf("{\"Address\":\"%s\",\"Info\":{\"Service\":\"shop\","
                        "\"Version\":\"v1\",\"Zone\":\"z\",\"Slots\":4},"
                        "\"Status\":{\"State\":\"ready\",\"Sequence\":%s,"
                        "\"ColdRemainingMs\":0},\"born\":%s}",
                        row->address, sequence, born);
    bv_call_t call = {
        .path = g_strdup_printf("/v1/instances/%s/heartbeat", row->instance),
        .body = g_bytes_new_take(body, strlen(body)),
    };
    bool is_valid = dialect->read_announcement(dialect->context, &call,
                                               announcement, findings);
    bv_call_clear(&call);
    bv_findings_destroy(findings);
    g_free(sequence);
    g_free(born);
    return is_valid;
}

START_TEST(test_odd_heartbeat_hides_no_real_one)
{
    const heartbeat_case_t *row = &heartbeat_cases[_i];
    const heartbeat_case_t real = {ID, ADDRESS, G_STRINGIFY(REAL_SEQUENCE),
                                   START, true};
    int64_t start_ms = bv_clock_wall_us() / BV_US_PER_MS - REAL_UPTIME_MS;
    bv_announcement_t newest = {0};
    bv_announcement_t announcement = {0};
    bool is_valid = read_heartbeat(row, start_ms, &announcement);
    ck_assert_msg(is_valid == row->is_valid, "%s %s sequence %s born %s",
                  row->instance, row->address, row->sequence, row->born);
    if (is_valid) {
        bv_announcement_apply(&newest, &announcement);
    }
    ck_assert(read_heartbeat(&real, start_ms, &announcement));
    ck_assert_int_ne(bv_announcement_apply(&newest, &announcement),
                     BV_ANNOUNCED_STALE);
}
END_TEST

/*
 * One field of a heartbeat that is valid otherwise. Guards against a target
 * that is moved to another service, or made unreachable, by an announcement of
 * another program.
 */
typedef struct {
    /* The name, with the name of the object before it. */
    const char *object;
    const char *field;
    /* JSON; NULL: the field is missing. */
    const char *value;
    bool is_valid;
} field_case_t;

#define INFO "Info"
#define STATUS "Status"
#define LONG_200                                                              \
    "\"01234567890123456789012345678901234567890123456789"                    \
    "01234567890123456789012345678901234567890123456789"                      \
    "01234567890123456789012345678901234567890123456789"                      \
    "0123456789012345678901234567890123456789012345678"
#define TEXT_CASES(object, field)                                             \
    {object, field, NULL, false}, {object, field, "7", false},                \
        {object, field, "null", false}, {object, field, "true", false},       \
        {object, field, "[\"a\"]", false},                                    \
        {object, field, "{\"a\":\"a\"}", false},                              \
        {object, field, "\"\"", false},                                       \
    {                                                                         \
        object, field, LONG_200 "ab\"", false                                 \
    }
#define NUMBER_CASES(object, field)                                           \
    {object, field, NULL, false}, {object, field, "\"4\"", false},            \
        {object, field, "null", false}, {object, field, "true", false},       \
        {object, field, "[4]", false}, {object, field, "{}", false},          \
        {object, field, "4.0", false}, {object, field, "4e0", false},         \
        {object, field, "-1", false},                                         \
    {                                                                         \
        object, field, "9223372036854775807", false                           \
    }

static const field_case_t field_cases[] = {
    TEXT_CASES(NULL, "Address"),
    TEXT_CASES(INFO, "Service"),
    TEXT_CASES(INFO, "Version"),
    TEXT_CASES(INFO, "Zone"),
    TEXT_CASES(STATUS, "State"),
    NUMBER_CASES(INFO, "Slots"),
    NUMBER_CASES(STATUS, "Sequence"),
    NUMBER_CASES(STATUS, "ColdRemainingMs"),
    NUMBER_CASES(NULL, "born"),
    {INFO, "Slots", "0", false},
    {INFO, "Version", LONG_200 "a\"", true},
    {INFO, "Service", LONG_200 "a\"", true},
    {INFO, "Service", LONG_200 "ab\"", false},
    {STATUS, "State", "\"asleep\"", false},
    {STATUS, "State", "\"Ready\"", false},
    {STATUS, "State", "\"draining\"", true},
    {NULL, INFO, NULL, false},
    {NULL, INFO, "[]", false},
    {NULL, INFO, "\"shop\"", false},
    {NULL, STATUS, NULL, false},
    {NULL, STATUS, "null", false},
    {NULL, STATUS, "7", false},
    /* Fields of a later version of the protocol are skipped. */
    {INFO, "New", "{\"a\":[1e9,null]}", true},
    {NULL, "New", "\"a\"", true},
};

#define VALID_HEARTBEAT                                                       \
    "{\"Address\":\"10.0.0.1:80\",\"Info\":{\"Service\":\"shop\","            \
    "\"Version\":\"v1\",\"Zone\":\"z\",\"Slots\":4},\"Status\":{"             \
    "\"State\":\"ready\",\"Sequence\":4,\"ColdRemainingMs\":0},"              \
    "\"born\":1000000000}"

static bool
is_valid_body(const char *body, size_t size)
{
    const bv_dialect_t *dialect = bv_platform_dialect(&settings);
    bv_findings_t *findings = bv_findings_create();
    bv_announcement_t announcement = {0};
    bv_call_t call = {
        .path = g_strdup("/v1/instances/" ID "/heartbeat"),
        .body = g_bytes_new(body, size),
    };
    bool is_valid = dialect->read_announcement(dialect->context, &call,
                                               &announcement, findings);
    ck_assert_int_eq(is_valid, bv_findings_is_empty(findings));
    bv_call_clear(&call);
    bv_findings_destroy(findings);
    return is_valid;
}

START_TEST(test_field)
{
    const field_case_t *row = &field_cases[_i];
    json_t *root = json_loads(VALID_HEARTBEAT, 0, NULL);
    json_t *object =
        row->object != NULL ? json_object_get(root, row->object) : root;
    json_object_del(object, row->field);
    if (row->value != NULL) {
        json_t *value = json_loads(row->value, JSON_DECODE_ANY, NULL);
        ck_assert_ptr_nonnull(value);
        json_object_set_new(object, row->field, value);
    }
    char *body = json_dumps(root, JSON_COMPACT);
    ck_assert_msg(is_valid_body(body, strlen(body)) == row->is_valid, "%s",
                  body);
    free(body);
    json_decref(root);
}
END_TEST

/* Replaces a part of the text of a valid heartbeat. */
typedef struct {
    const char *part;
    const char *replacement;
    bool is_valid;
} text_case_t;

static const text_case_t text_cases[] = {
    {"10.0.0.1", "10.0.0.1", true},
    {"\"Slots\":4", "\"Slots\":4,\"Slots\":4", false},
    {"\"Service\":\"shop\"", "\"Service\":\"shop\",\"Service\":\"bank\"",
     false},
    {"\"born\":1000000000", "\"born\":1000000000,\"born\":1000000001", false},
    {"\"Info\":", "\"Info\":{},\"Info\":", false},
    {"\"born\"", "\"New\":{\"a\":1,\"a\":2},\"born\"", false},
    {"\"Sequence\":4", "\"Sequence\":99999999999999999999", false},
    {"\"Slots\":4", "\"Slots\":1e999", false},
    {"\"Slots\":4", "\"Slots\":04", false},
    {"\"Slots\":4", "\"Slots\":NaN", false},
    {"v1", "v\xff", false},
    {"v1", "v\xc0\xaf", false},
    {"v1", "v\xed\xa0\x80", false},
    {"v1", "v\\ud800", false},
    {"v1", "v\\u0000", false},
    {"shop", "shop\\u0000", false},
    {"\"ready\"", "\"ready\\u0000\"", false},
    {"\"born\":1000000000}", "\"born\":1000000000}}", false},
    {"\"born\":1000000000}", "\"born\":1000000000", false},
    {"{\"Address\"", "[{\"Address\"", false},
};

/*
 * Guards against a heartbeat of which one of two values is taken, and against
 * text that cannot be read as JSON in UTF-8.
 */
START_TEST(test_text)
{
    const text_case_t *row = &text_cases[_i];
    char **parts = g_strsplit(VALID_HEARTBEAT, row->part, 2);
    char *body = g_strjoinv(row->replacement, parts);
    ck_assert_msg(is_valid_body(body, strlen(body)) == row->is_valid, "%s",
                  body);
    ck_assert(!is_valid_body(body, strlen(body) / 2));
    ck_assert(!is_valid_body(body, 0));
    g_free(body);
    g_strfreev(parts);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"field", test_field, G_N_ELEMENTS(field_cases)},
        {"text", test_text, G_N_ELEMENTS(text_cases)},
        {"odd_heartbeat_hides_no_real_one",
         test_odd_heartbeat_hides_no_real_one, G_N_ELEMENTS(heartbeat_cases)},
        {NULL}};
    return support_run("heartbeat_values", tests);
}
