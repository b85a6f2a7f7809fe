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
    {ID, "10.0.0.1:0", "39", START, false},
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
    char *body = g_strdup_printf(
        "{\"Address\":\"%s\",\"Info\":{\"Service\":\"a\",\"Slots\":4},"
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

int
main(void)
{
    const support_test_t tests[] = {{"odd_heartbeat_hides_no_real_one",
                                     test_odd_heartbeat_hides_no_real_one,
                                     G_N_ELEMENTS(heartbeat_cases)},
                                    {NULL}};
    return support_run("heartbeat_values", tests);
}
