#include "platform_fixture.h"
#include "raw.h"

#include "berylvane/common/headers.h"
#include "berylvane/common/program.h"

#include <jansson.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Guards against a stand-in of the platform's store that behaves better than
 * the store, so that faults of nodes stay hidden.
 */
#define NO_ANSWER_MS 300
#define FEED_REQUEST                                                          \
    "GET /v1/rows-feed?Table=other&after=%d&WaitMs=%d HTTP/1.1\r\n"           \
    "Host: h\r\n\r\n"

static platform_fixture_t fixture;

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

/* Each test has a store of its own. */
static void
start_store(void)
{
    kill_remaining();
    fixture = (platform_fixture_t){0};
    platform_start_store(&fixture);
    platform_wait_for_store(&fixture);
}

/* Returns the era of an answer, 0 if it states none. */
static int64_t
era_of(const char *path, uint16_t status)
{
    bv_http_reply_t reply =
        platform_request(fixture.store_port, "GET", path, NULL, NULL);
    ck_assert_uint_eq(reply.status, status);
    char *text = bv_headers_get(reply.headers, "Store-Era");
    int64_t era = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
    g_free(text);
    bv_http_reply_clear(&reply);
    return era;
}

/* Sends a feed on a connection of its own, whose socket it returns. */
static int
open_feed(int after, int wait_ms)
{
    char *request = g_strdup_printf(FEED_REQUEST, after, wait_ms);
    int fd = raw_connect(fixture.store_port);
    ck_assert_int_ge(fd, 0);
    raw_send(fd, request, strlen(request), FALSE);
    g_free(request);
    return fd;
}

/* Waits until the store has begun `count` reads. */
static void
wait_for_reads(int count)
{
    char *expected = g_strdup_printf("\"reads\":%d,", count);
    bool is_reached = false;
    while (!is_reached) {
        bv_http_reply_t reply =
            platform_request(fixture.store_port, "GET", "/stats", NULL, NULL);
        gsize size;
        const char *text = g_bytes_get_data(reply.body, &size);
        is_reached = g_strstr_len(text, (gssize)size, expected) != NULL;
        bv_http_reply_clear(&reply);
    }
    g_free(expected);
}

/* Whether neither bytes nor the end of the connection arrive. */
static bool
is_silent(int fd)
{
    struct pollfd descriptor = {.fd = fd, .events = POLLIN};
    return poll(&descriptor, 1, NO_ANSWER_MS) == 0;
}

static const struct {
    const char *control;
    uint16_t status;
    const char *finding;
} controls[] = {
    {"{\"restore\": true}", 400, "/restore: there is no copy"},
    {"{\"copy\": true, \"restore\": true}", 400,
     "/restore: not beside a copy"},
    {"{\"copy\": 1}", 400, "/copy"},
    {"{\"silence\": \"yes\"}", 400, "/silence"},
    {"{\"unknown\": true}", 400, "unknown"},
    /* None of the requests above has taken a copy. */
    {"{\"restore\": true}", 400, "/restore: there is no copy"},
    {"{\"copy\": true}", 200, ""},
    {"{\"restore\": true}", 200, ""},
};

/* Guards against controls that are ignored or executed in part. */
START_TEST(test_controls)
{
    start_store();
    for (size_t i = 0; i < G_N_ELEMENTS(controls); i++) {
        bv_http_reply_t reply = platform_request(
            fixture.store_port, "POST", "/control", NULL, controls[i].control);
        ck_assert_uint_eq(reply.status, controls[i].status);
        gsize size;
        const char *text = g_bytes_get_data(reply.body, &size);
        char *findings = g_strndup(text != NULL ? text : "", size);
        ck_assert_msg(strstr(findings, controls[i].finding) != NULL, "%s: %s",
                      controls[i].control, findings);
        g_free(findings);
        bv_http_reply_clear(&reply);
    }
    platform_stop(&fixture);
}
END_TEST

static const struct {
    const char *path;
    uint16_t status;
} era_cases[] = {
    {"/v1/rows-get?Table=other", 200},
    {"/v1/rows-feed?Table=other&after=0&WaitMs=0", 200},
    {"/v1/rows-feed?Table=other&after=1&WaitMs=0", 200},
    {"/v1/rows-feed?Table=other&after=9&WaitMs=9000", 410},
    {"/v1/rows-unknown", 404},
    {"/v1/blob-get/absent", 404},
};

/* Guards against eras that an answer leaves out. */
START_TEST(test_era)
{
    start_store();
    platform_write_other_rows(&fixture, 1);
    platform_control(&fixture, "{\"copy\": true}");
    for (int64_t era = 1; era <= 3; era++) {
        for (size_t i = 0; i < G_N_ELEMENTS(era_cases); i++) {
            ck_assert_int_eq(era_of(era_cases[i].path, era_cases[i].status),
                             era);
        }
        platform_control(&fixture, "{\"mode\": \"down\"}");
        ck_assert_int_eq(era_of("/v1/rows-get?Table=other", 503), era);
        platform_control(&fixture, "{\"mode\": \"up\", \"restore\": true}");
    }
    platform_stop(&fixture);
}
END_TEST

/* Guards against a restore that keeps rows, objects or versions. */
START_TEST(test_restore)
{
    start_store();
    ck_assert_int_eq(platform_write_other_rows(&fixture, 3), 3);
    platform_control(&fixture, "{\"copy\": true}");
    for (int restores = 0; restores < 2; restores++) {
        ck_assert_int_eq(platform_write_config(&fixture, 1, "/a/"), 4);
        ck_assert_uint_eq(platform_request_status(fixture.store_port, "PUT",
                                                  "/v1/blob-put/o", NULL, "x"),
                          200);
        era_of("/v1/rows-feed?Table=op&after=3&WaitMs=9000", 200);
        platform_control(&fixture, "{\"restore\": true}");
        era_of("/v1/blob-get/o", 404);
        era_of("/v1/rows-feed?Table=op&after=4&WaitMs=9000", 410);
        bv_http_reply_t reply = platform_request(
            fixture.store_port, "GET", "/v1/rows-get?Table=op", NULL, NULL);
        gsize size;
        const char *text = g_bytes_get_data(reply.body, &size);
        ck_assert_ptr_null(g_strstr_len(text, (gssize)size, "config"));
        ck_assert_ptr_nonnull(g_strstr_len(text, (gssize)size, "\"Ver\":3"));
        bv_http_reply_clear(&reply);
    }
    platform_stop(&fixture);
}
END_TEST

static const struct {
    const char *first_control;
    bool is_kept;
} open_feed_cases[] = {
    {"{\"copy\": true}", false},
    {"{\"copy\": true, \"hold_watches\": true}", true},
};

/* Guards against open feeds that a restore neither closes nor keeps. */
START_TEST(test_open_feed)
{
    start_store();
    platform_control(&fixture, open_feed_cases[_i].first_control);
    platform_write_other_rows(&fixture, 2);
    wait_for_reads(1);
    int fd = open_feed(2, 60000);
    wait_for_reads(2);
    platform_control(&fixture, "{\"restore\": true}");
    if (open_feed_cases[_i].is_kept) {
        platform_control(&fixture, "{\"hold_watches\": false}");
        platform_write_other_rows(&fixture, 2);
        ck_assert(is_silent(fd));
        platform_write_other_rows(&fixture, 1);
        ck_assert(!is_silent(fd));
    }
    else {
        char *answer = raw_read(fd);
        ck_assert_str_eq(answer, "");
        g_free(answer);
    }
    close(fd);
    platform_stop(&fixture);
}
END_TEST

/* Guards against silent connections that are answered or closed. */
START_TEST(test_silence)
{
    start_store();
    wait_for_reads(1);
    int pending = open_feed(0, 60000);
    wait_for_reads(2);
    int arriving = raw_connect(fixture.store_port);
    const char *request =
        "GET /v1/rows-get?Table=x HTTP/1.1\r\nHost: h\r\n\r\n";
    raw_send(arriving, request, strlen(request), FALSE);
    ck_assert(!is_silent(arriving));
    char answer[1024];
    ck_assert_int_gt(read(arriving, answer, sizeof(answer)), 0);
    platform_control(&fixture, "{\"silence\": true}");
    raw_send(arriving, request, strlen(request), FALSE);
    platform_write_other_rows(&fixture, 1);
    ck_assert(is_silent(pending));
    ck_assert(is_silent(arriving));
    era_of("/v1/rows-feed?Table=other&after=0&WaitMs=60000", 200);
    close(pending);
    close(arriving);
    platform_stop(&fixture);
}
END_TEST

typedef struct {
    size_t conditions;
    size_t writes;
    size_t removals;
    uint16_t status;
} size_case_t;

static const size_case_t size_cases[] = {
    {0, 100, 0, 200},   {0, 0, 100, 200}, {0, 60, 40, 200},
    {100, 60, 40, 200}, {0, 101, 0, 400}, {0, 0, 101, 400},
    {0, 60, 41, 400},   {0, 200, 0, 400}, {101, 60, 40, 400},
};

/* Returns a list of entries with the keys `prefix` and a number. */
static json_t *
entries(const char *prefix, size_t count)
{
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        char *key = g_strdup_printf("%s%zu", prefix, i);
        json_array_append_new(list, json_pack("{s:s, s:s, s:i, s:s}", "Table",
                                              "other", "Key", key, "Ver", 0,
                                              "Value", "x"));
        g_free(key);
    }
    return list;
}

/*
 * Guards against a node that sends more entries in a transaction than the
 * store takes. Only the store would refuse it.
 */
START_TEST(test_transaction_size)
{
    const size_case_t *row = &size_cases[_i];
    start_store();
    json_t *transaction = json_pack("{s:o, s:o, s:o}", "ExpectedRevision",
                                    entries("c", row->conditions), "Writes",
                                    entries("w", row->writes), "Remove",
                                    entries("r", row->removals));
    char *text = json_dumps(transaction, JSON_COMPACT);
    uint16_t status = platform_request_status(fixture.store_port, "POST",
                                              "/v1/rows-tx", NULL, text);
    ck_assert_uint_eq(status, row->status);
    free(text);
    json_decref(transaction);
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"controls", test_controls, 1},
        {"era", test_era, 1},
        {"restore", test_restore, 1},
        {"open_feed", test_open_feed, G_N_ELEMENTS(open_feed_cases)},
        {"silence", test_silence, 1},
        {"transaction_size", test_transaction_size, G_N_ELEMENTS(size_cases)},
        {NULL},
    };
    bv_program_start();
    atexit(kill_remaining);
    return support_run("standin_store", tests);
}
