#include "../targets/pool.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/program.h"
#include "berylvane/targets/client.h"
#include "scripted_target.h"
#include "support.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

/*
 * The client of the local target, against a stand-in in the same thread.
 * Guards against requests that run twice or arrive changed, and against
 * responses that are truncated or belong to another request.
 */
#define TIMEOUT_US (20 * BV_US_PER_S)
/* Expires in the case under test. */
#define SHORT_TIMEOUT_US (50 * BV_US_PER_MS)
#define POLL_MS 1
/* Rounds in which a second sending of a request would arrive. */
#define SETTLE_ROUNDS 20
#define ANSWER_LIMIT_BYTES (1024 * 1024)

#define OK "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
#define OK_EMPTY OK "Content-Length: 0\r\n\r\n"
#define OK_BODY OK "Content-Length: 2\r\n\r\nok"
#define OK_CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

/* A dialect whose requests carry an ID that answers must echo. */
static void
write_head(void *context, const bv_target_work_t *work, bv_target_head_t *head)
{
    (void)context;
    (void)work;
    g_string_append(head->lines, "X-Id: 7\r\n");
    head->echo_name = "X-Id";
    head->echo_value = g_strdup("7");
}

static void
classify_answer(void *context, const bv_http_answer_t *answer,
                bv_target_result_t *result)
{
    (void)context;
    (void)answer;
    result->outcome = BV_OUTCOME_RAN;
}

static const bv_target_dialect_t dialect = {
    .write_head = write_head,
    .classify_answer = classify_answer,
};

typedef struct {
    scripted_target_t *target;
    apr_pool_t *pool;
    bv_target_client_t *client;
    /* The latest result; NULL while a request runs. */
    bv_target_result_t *result;
    uint32_t results;
    uint64_t next_id;
    /* See may_read(). */
    bool is_memory_short;
    bool is_memory_full;
} fixture_t;

/* Responses of up to this size are read while memory is short. */
#define SMALL_BYTES ((size_t)(64 * 1024))

static bool
may_read(void *context, size_t bytes, bool has_turn)
{
    const fixture_t *fixture = context;
    return !fixture->is_memory_short || bytes <= SMALL_BYTES ||
           (has_turn && !fixture->is_memory_full);
}

static void
on_result(void *context, bv_target_result_t *result)
{
    fixture_t *fixture = context;
    g_clear_pointer(&fixture->result, bv_target_result_destroy);
    fixture->result = result;
    fixture->results++;
}

static void
fixture_start(fixture_t *fixture, const scripted_reply_t *replies,
              uint32_t reply_count)
{
    *fixture = (fixture_t){.next_id = 1};
    fixture->target = scripted_target_start(replies, reply_count);
    fixture->pool = bv_program_start();
    bv_target_client_options_t options = {
        .kept_connections = 4,
        .answer_limit_bytes = ANSWER_LIMIT_BYTES,
        .dialect = &dialect,
        .may_read = may_read,
        .on_result = on_result,
        .context = fixture,
    };
    fixture->client = bv_target_client_start(fixture->pool, &options);
}

static void
fixture_stop(fixture_t *fixture)
{
    bv_target_client_stop(fixture->client);
    scripted_target_stop(fixture->target);
    g_clear_pointer(&fixture->result, bv_target_result_destroy);
    bv_program_stop(fixture->pool);
}

static void
run_round(fixture_t *fixture)
{
    struct pollfd entry = {bv_target_client_fd(fixture->client), POLLIN, 0};
    scripted_target_run(fixture->target);
    poll(&entry, 1, POLL_MS);
    if (entry.revents != 0) {
        bv_target_client_run(fixture->client);
    }
    if (bv_target_client_next_timer_us(fixture->client) <= bv_clock_now_us()) {
        bv_target_client_run_timers(fixture->client);
    }
}

static void
settle(fixture_t *fixture)
{
    for (int i = 0; i < SETTLE_ROUNDS; i++) {
        run_round(fixture);
    }
}

static bv_target_work_t
work_of(fixture_t *fixture, const char *method, const char *path)
{
    return (bv_target_work_t){
        .id = fixture->next_id++,
        .address = "127.0.0.1",
        .port = scripted_target_port(fixture->target),
        .method = method,
        .path = path,
        .is_idempotent =
            strcmp(method, "POST") != 0 && strcmp(method, "PATCH") != 0,
        .timeout_us = TIMEOUT_US,
    };
}

static void
send_work(fixture_t *fixture, const bv_target_work_t *work)
{
    g_clear_pointer(&fixture->result, bv_target_result_destroy);
    bv_target_client_send(fixture->client, work);
}

static const bv_target_result_t *
wait_for_result(fixture_t *fixture)
{
    while (fixture->result == NULL) {
        run_round(fixture);
    }
    return fixture->result;
}

static const bv_target_result_t *
run_work(fixture_t *fixture, const bv_target_work_t *work)
{
    send_work(fixture, work);
    return wait_for_result(fixture);
}

static void
check_result(const char *name, const bv_target_result_t *result,
             bv_outcome_t outcome, bv_reason_t reason)
{
    ck_assert_msg(result != NULL, "%s: no result", name);
    ck_assert_msg(result->outcome == outcome, "%s: outcome %d", name,
                  result->outcome);
    ck_assert_msg(result->reason == reason, "%s: reason %d", name,
                  result->reason);
}

/* Where the connection of a request is cut. */
typedef struct {
    const char *name;
    const char *bytes;
    scripted_ending_t ending;
    /* Whether the cut comes before the first byte of the response. */
    bool is_before_response;
    /* A response to HEAD is complete with its head. */
    bool completes_head_request;
} cut_case_t;

static const cut_case_t cuts[] = {
    {"closed before the head", NULL, SCRIPTED_CLOSE, true, false},
    {"reset before the head", NULL, SCRIPTED_RESET, true, false},
    {"closed within the status line", "HTTP/1.1 2", SCRIPTED_CLOSE, false,
     false},
    {"closed within the head", OK "Content-", SCRIPTED_CLOSE, false, false},
    {"reset within the head", OK "Content-", SCRIPTED_RESET, false, false},
    {"closed after the head", OK "Content-Length: 2\r\n\r\n", SCRIPTED_CLOSE,
     false, true},
    {"reset after the head", OK "Content-Length: 2\r\n\r\n", SCRIPTED_RESET,
     false, true},
    {"closed within the body", OK "Content-Length: 2\r\n\r\no", SCRIPTED_CLOSE,
     false, true},
    {"closed after a 1xx", "HTTP/1.1 103 Hints\r\n\r\n", SCRIPTED_CLOSE, false,
     false},
};

static const char *const methods[] = {"GET",     "HEAD", "PUT",  "DELETE",
                                      "OPTIONS", "POST", "PATCH"};

/*
 * Sends a request whose connection is cut, on a new connection or after
 * another request, and checks that it arrives once.
 */
static void
check_cut(const char *method, bool is_after_another, const cut_case_t *cut)
{
    fixture_t fixture;
    const scripted_reply_t replies[] = {
        {.bytes = OK_BODY}, {.bytes = cut->bytes, .ending = cut->ending}};
    fixture_start(&fixture, &replies[is_after_another ? 0 : 1],
                  is_after_another ? 2 : 1);
    if (is_after_another) {
        bv_target_work_t first = work_of(&fixture, "GET", "/first");
        check_result("first", run_work(&fixture, &first), BV_OUTCOME_RAN,
                     BV_REASON_NONE);
    }
    bv_target_work_t work = work_of(&fixture, method, "/a");
    bool is_reused = is_after_another && work.is_idempotent;
    bool is_complete =
        cut->completes_head_request && strcmp(method, "HEAD") == 0;
    bool is_lost = is_reused && cut->is_before_response;
    const bv_target_result_t *result = run_work(&fixture, &work);
    check_result(cut->name, result,
                 is_complete ? BV_OUTCOME_RAN : BV_OUTCOME_UNKNOWN,
                 is_complete ? BV_REASON_NONE
                 : is_lost   ? BV_REASON_CONNECTION_LOST
                             : BV_REASON_BROKEN_ANSWER);
    settle(&fixture);
    uint32_t first = is_after_another ? 1 : 0;
    ck_assert_msg(scripted_target_arrivals(fixture.target) == first + 1,
                  "%s %s: %u arrivals", method, cut->name,
                  scripted_target_arrivals(fixture.target) - first);
    ck_assert_msg(scripted_target_connections(fixture.target) ==
                      (is_after_another && !is_reused ? 2 : 1),
                  "%s %s: %u connections", method, cut->name,
                  scripted_target_connections(fixture.target));
    ck_assert_uint_eq(fixture.results, first + 1);
    fixture_stop(&fixture);
}

/* Guards against a client that repeats requests by itself. */
START_TEST(test_request_arrives_once)
{
    for (size_t cut = 0; cut < G_N_ELEMENTS(cuts); cut++) {
        check_cut(methods[_i], false, &cuts[cut]);
        check_cut(methods[_i], true, &cuts[cut]);
    }
}
END_TEST

typedef struct {
    const char *method;
    const char *path;
    size_t body_bytes;
    /* Header line that states the body's length; NULL for none. */
    const char *length_line;
    /* The forwarded lines hold a Host header, which must stay the only one. */
    bool forwards_host;
} request_case_t;

static const request_case_t request_cases[] = {
    {"GET", "/a/../b", 0, NULL, false},
    {"GET", "/../a", 0, NULL, false},
    {"GET", "/a/./b/..", 0, NULL, false},
    {"GET", "/.", 0, NULL, false},
    {"GET", "//a//b/", 0, NULL, false},
    {"GET", "/a?x=/../y&z=a b#c", 0, NULL, false},
    {"GET", "/%2e%2e/%41", 0, NULL, false},
    {"GET", "/a", 5, "Content-Length: 5\r\n", false},
    {"HEAD", "/a/..", 0, NULL, false},
    {"OPTIONS", "*", 0, NULL, false},
    {"DELETE", "/a", 0, NULL, false},
    {"DELETE", "/a", 3, "Content-Length: 3\r\n", false},
    {"PUT", "/a", 0, "Content-Length: 0\r\n", false},
    {"POST", "/a", 0, "Content-Length: 0\r\n", false},
    {"POST", "/a/../b", 10000, "Content-Length: 10000\r\n", false},
    /* More than a socket takes at once. */
    {"POST", "/a", 8 * 1024 * 1024, "Content-Length: 8388608\r\n", false},
    {"PUT", "/a", 8 * 1024 * 1024, "Content-Length: 8388608\r\n", false},
    {"PATCH", "/a", 1, "Content-Length: 1\r\n", false},
    {"GET", "/a", 0, NULL, true},
};

static GBytes *
create_body(size_t size)
{
    char *bytes = g_malloc(size);
    for (size_t i = 0; i < size; i++) {
        bytes[i] = (char)(i * 31 % 251);
    }
    return g_bytes_new_take(bytes, size);
}

/* Guards against a request that arrives changed, for example normalized. */
START_TEST(test_request_arrives_unchanged)
{
    const request_case_t *row = &request_cases[_i];
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = OK_EMPTY};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, row->method, row->path);
    work.headers = row->forwards_host ? "A: 1\r\nhost: h.example\r\n"
                                      : "A: 1\r\nB: 2\r\n";
    work.body = row->body_bytes > 0 ? create_body(row->body_bytes) : NULL;
    check_result(row->path, run_work(&fixture, &work), BV_OUTCOME_RAN,
                 BV_REASON_NONE);
    GString *expected = g_string_new(NULL);
    g_string_printf(expected, "%s %s HTTP/1.1\r\n", row->method, row->path);
    if (!row->forwards_host) {
        g_string_append_printf(expected, "Host: 127.0.0.1:%u\r\n", work.port);
    }
    g_string_append_printf(expected, "%sX-Id: 7\r\n%s\r\n", work.headers,
                           row->length_line != NULL ? row->length_line : "");
    if (work.body != NULL) {
        g_string_append_len(expected, g_bytes_get_data(work.body, NULL),
                            (gssize)row->body_bytes);
    }
    ck_assert(g_string_equal(scripted_target_last_request(fixture.target),
                             expected));
    g_string_free(expected, TRUE);
    g_clear_pointer(&work.body, g_bytes_unref);
    fixture_stop(&fixture);
}
END_TEST

typedef struct {
    const char *name;
    const char *method;
    const char *bytes;
    scripted_ending_t ending;
    bv_outcome_t outcome;
    /* Of a response that the outcome "ran" delivers. */
    uint16_t status;
    const char *body;
} answer_case_t;

#define RAN BV_OUTCOME_RAN
#define UNKNOWN BV_OUTCOME_UNKNOWN

static const answer_case_t answer_cases[] = {
    {"length", "GET", OK_BODY, SCRIPTED_KEEP, RAN, 200, "ok"},
    {"chunks", "GET", OK_CHUNKED "1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n",
     SCRIPTED_KEEP, RAN, 200, "ok"},
    {"chunks and a trailer", "GET",
     OK_CHUNKED "2\r\nok\r\n0\r\nX-Id: 8\r\n\r\n", SCRIPTED_KEEP, RAN, 200,
     "ok"},
    {"end of the connection", "GET", OK "\r\nok", SCRIPTED_CLOSE, RAN, 200,
     "ok"},
    {"reset without a length", "GET", OK "\r\nok", SCRIPTED_RESET, UNKNOWN, 0,
     NULL},
    {"length, then reset", "GET", OK_BODY, SCRIPTED_RESET, RAN, 200, "ok"},
    {"short body", "GET", OK "Content-Length: 9\r\n\r\nok", SCRIPTED_CLOSE,
     UNKNOWN, 0, NULL},
    {"last chunk missing", "GET", OK_CHUNKED "2\r\nok\r\n", SCRIPTED_CLOSE,
     UNKNOWN, 0, NULL},
    {"within a chunk", "GET", OK_CHUNKED "5\r\nok", SCRIPTED_CLOSE, UNKNOWN, 0,
     NULL},
    {"malformed chunk", "GET", OK_CHUNKED "x\r\nok\r\n0\r\n\r\n",
     SCRIPTED_CLOSE, UNKNOWN, 0, NULL},
    {"length and chunks", "GET",
     OK "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\n\r\n",
     SCRIPTED_CLOSE, UNKNOWN, 0, NULL},
    {"two lengths", "GET",
     OK "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", SCRIPTED_CLOSE,
     UNKNOWN, 0, NULL},
    {"unknown transfer encoding", "GET",
     OK "Transfer-Encoding: gzip\r\n\r\nok", SCRIPTED_CLOSE, UNKNOWN, 0, NULL},
    {"blank in a header name", "GET", OK "Content-Length : 2\r\n\r\nok",
     SCRIPTED_CLOSE, UNKNOWN, 0, NULL},
    {"no HTTP", "GET", "nonsense\r\n\r\n", SCRIPTED_KEEP, UNKNOWN, 0, NULL},
    {"HTTP/2", "GET",
     "HTTP/2.0 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n", SCRIPTED_KEEP,
     UNKNOWN, 0, NULL},
    {"1xx first", "GET",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: "
     "a\r\n\r\n" OK_BODY,
     SCRIPTED_KEEP, RAN, 200, "ok"},
    {"1xx with a length", "GET",
     "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\n" OK_BODY, SCRIPTED_KEEP,
     RAN, 200, "ok"},
    {"echo in a 1xx only", "GET",
     "HTTP/1.1 103 Hints\r\nX-Id: 7\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
     SCRIPTED_KEEP, UNKNOWN, 0, NULL},
    {"protocol switch", "GET",
     "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
     SCRIPTED_KEEP, UNKNOWN, 0, NULL},
    {"204 with a length", "GET",
     "HTTP/1.1 204 None\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\n",
     SCRIPTED_KEEP, RAN, 204, ""},
    {"304 with a length", "GET",
     "HTTP/1.1 304 Same\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\n",
     SCRIPTED_KEEP, RAN, 304, ""},
    {"HEAD with a length", "HEAD", OK "Content-Length: 2\r\n\r\n",
     SCRIPTED_KEEP, RAN, 200, ""},
    {"HEAD with chunks", "HEAD", OK_CHUNKED, SCRIPTED_KEEP, RAN, 200, ""},
    {"other echo", "GET",
     "HTTP/1.1 200 OK\r\nX-Id: 8\r\nContent-Length: 0\r\n\r\n", SCRIPTED_KEEP,
     UNKNOWN, 0, NULL},
    {"two echoes", "GET", OK "X-Id: 8\r\nContent-Length: 0\r\n\r\n",
     SCRIPTED_KEEP, UNKNOWN, 0, NULL},
    {"success without echo", "GET",
     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SCRIPTED_KEEP, UNKNOWN, 0,
     NULL},
    {"refusal without echo", "GET",
     "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", SCRIPTED_KEEP, RAN, 503,
     ""},
    {"refusal with another echo", "GET",
     "HTTP/1.1 503 Busy\r\nX-Id: 8\r\nContent-Length: 0\r\n\r\n",
     SCRIPTED_KEEP, UNKNOWN, 0, NULL},
    {"echo in other letters", "GET",
     "HTTP/1.1 200 OK\r\nx-iD:   7 \r\nContent-Length: 0\r\n\r\n",
     SCRIPTED_KEEP, RAN, 200, ""},
};

START_TEST(test_answers)
{
    const answer_case_t *row = &answer_cases[_i];
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = row->bytes,
                                    .ending = row->ending};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, row->method, "/a");
    const bv_target_result_t *result = run_work(&fixture, &work);
    check_result(row->name, result, row->outcome,
                 row->outcome == RAN ? BV_REASON_NONE
                                     : BV_REASON_BROKEN_ANSWER);
    if (row->outcome == RAN) {
        gsize size;
        const char *body = g_bytes_get_data(result->body, &size);
        ck_assert_msg(result->status == row->status, "%s: status %u",
                      row->name, result->status);
        ck_assert_msg(size == strlen(row->body) &&
                          (size == 0 || memcmp(body, row->body, size) == 0),
                      "%s: %zu bytes", row->name, size);
    }
    ck_assert_uint_eq(bv_target_client_received_bytes(fixture.client), 0);
    fixture_stop(&fixture);
}
END_TEST

static const char *const whole_answers[] = {
    OK_BODY,
    OK_CHUNKED "2\r\nok\r\n0\r\n\r\n",
    OK_CHUNKED "2\r\nok\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nX-Id: 7\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" OK_BODY,
};

/* An answer whose connection ends at any byte before its end is broken. */
START_TEST(test_cut_answers)
{
    const char *whole = whole_answers[_i];
    size_t size = strlen(whole);
    for (size_t cut = 0; cut <= size; cut++) {
        fixture_t fixture;
        char *part = g_strndup(whole, cut);
        const scripted_reply_t reply = {part, SCRIPTED_CLOSE, false};
        fixture_start(&fixture, &reply, 1);
        bv_target_work_t work = work_of(&fixture, "GET", "/a");
        const bv_target_result_t *result = run_work(&fixture, &work);
        check_result(part, result, cut == size ? RAN : UNKNOWN,
                     cut == size ? BV_REASON_NONE : BV_REASON_BROKEN_ANSWER);
        fixture_stop(&fixture);
        g_free(part);
    }
}
END_TEST

/* Parses `bytes`, of which each input holds at most `step`. */
static bv_response_state_t
parse_in_steps(bv_response_parser_t *parser, bv_response_share_t *share,
               const char *bytes, size_t step)
{
    bv_response_parser_options_t options = {
        .share = share,
        .body_limit_bytes = ANSWER_LIMIT_BYTES,
        .echo_name = "X-Id",
        .echo_value = "7",
    };
    size_t size = strlen(bytes);
    bv_response_state_t state = BV_RESPONSE_INCOMPLETE;
    bv_response_parser_init(parser, &options);
    for (size_t i = 0; i < size; i += step) {
        /* A copy, so that a read beyond its end is noticed. */
        char *input = g_memdup2(bytes + i, MIN(step, size - i));
        state = bv_response_parser_feed(parser, input, MIN(step, size - i));
        g_free(input);
    }
    return state;
}

/* How TCP splits a response must not change it. */
START_TEST(test_split_answers)
{
    const char *bytes = whole_answers[_i];
    bv_response_share_t share = {0};
    bv_response_parser_t whole;
    ck_assert_int_eq(parse_in_steps(&whole, &share, bytes, strlen(bytes)),
                     BV_RESPONSE_COMPLETE);
    for (size_t step = 1; step < strlen(bytes); step++) {
        bv_response_parser_t split;
        ck_assert_int_eq(parse_in_steps(&split, &share, bytes, step),
                         BV_RESPONSE_COMPLETE);
        ck_assert_str_eq(split.headers->str, whole.headers->str);
        ck_assert_uint_eq(split.status, whole.status);
        ck_assert_uint_eq(split.body->len, whole.body->len);
        ck_assert(split.is_connection_reusable);
        bv_response_parser_clear(&split);
    }
    bv_response_parser_clear(&whole);
    ck_assert_uint_eq(share.received_bytes, 0);
    ck_assert_uint_eq(share.responses, 0);
}
END_TEST

/* A folded header value keeps blanks between its parts. */
START_TEST(test_folded_value)
{
    bv_response_share_t share = {0};
    bv_response_parser_t parser;
    ck_assert_int_eq(parse_in_steps(&parser, &share,
                                    OK "A: b\r\n  c\r\nB:\r\n"
                                       "Content-Length: 0\r\n\r\n",
                                    SIZE_MAX / 2),
                     BV_RESPONSE_COMPLETE);
    ck_assert_str_eq(parser.headers->str,
                     "X-Id: 7\r\nA: b  c\r\nB: \r\nContent-Length: 0\r\n");
    bv_response_parser_clear(&parser);
}
END_TEST

/* A response whose header lines fill a head of this size. */
typedef struct {
    size_t head_bytes;
    /* Written until the head is full; the last one may be cut short. */
    const char *line;
    bv_outcome_t outcome;
} head_case_t;

#define LONG_VALUE NULL

static const head_case_t head_cases[] = {
    {16 * 1024, LONG_VALUE, RAN},
    {64 * 1024, LONG_VALUE, RAN},
    {64 * 1024, "B: 1\r\n", RAN},
    {64 * 1024 + 1, LONG_VALUE, UNKNOWN},
    {79 * 1024, LONG_VALUE, UNKNOWN},
    {200 * 1024, LONG_VALUE, UNKNOWN},
    /* Blanks after the colons are added, by which the lines grow. */
    {64 * 1024, "B:\r\n", RAN},
};

static GString *
make_head(const head_case_t *row)
{
    const char *end = "\r\nContent-Length: 0\r\n\r\n";
    size_t lines_bytes = row->head_bytes - strlen(end);
    GString *head = g_string_new(OK);
    while (row->line != LONG_VALUE &&
           head->len + strlen(row->line) + 4 <= lines_bytes) {
        g_string_append(head, row->line);
    }
    g_string_append(head, "A: ");
    while (head->len < lines_bytes) {
        g_string_append_c(head, 'a');
    }
    return g_string_append(head, end);
}

/* Returns the lines that the caller is to receive; both are freed. */
static char *
forwarded_lines(const GString *head)
{
    const char *first = head->str + strlen("HTTP/1.1 200 OK\r\n");
    const char *last = strstr(first, "Content-Length");
    char *lines = g_strndup(first, (gsize)(last - first));
    char **parts = g_strsplit(lines, "B:\r\n", -1);
    char *forwarded = g_strjoinv("B: \r\n", parts);
    g_strfreev(parts);
    g_free(lines);
    return forwarded;
}

/*
 * Guards against the limit of http_parser in place of the documented one, and
 * against header lines that are dropped although the head is within it.
 */
START_TEST(test_head_limit)
{
    const head_case_t *row = &head_cases[_i];
    fixture_t fixture;
    GString *head = make_head(row);
    ck_assert_uint_eq(head->len, row->head_bytes);
    const scripted_reply_t reply = {.bytes = head->str};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, "GET", "/a");
    const bv_target_result_t *result = run_work(&fixture, &work);
    check_result(
        row->line != NULL ? row->line : "long value", result, row->outcome,
        row->outcome == RAN ? BV_REASON_NONE : BV_REASON_BROKEN_ANSWER);
    if (row->outcome == RAN) {
        char *expected = forwarded_lines(head);
        ck_assert_msg(strcmp(result->headers, expected) == 0,
                      "%zu of %zu bytes passed on", strlen(result->headers),
                      strlen(expected));
        g_free(expected);
    }
    else {
        ck_assert_ptr_null(result->headers);
    }
    fixture_stop(&fixture);
    g_string_free(head, TRUE);
}
END_TEST

/* What the system refuses a socket with, and the reason of the result. */
typedef struct {
    int error;
    bv_reason_t reason;
} refusal_case_t;

static const refusal_case_t refusal_cases[] = {
    {EMFILE, BV_REASON_DESCRIPTORS},
    {ENFILE, BV_REASON_DESCRIPTORS},
    {EACCES, BV_REASON_CONNECT},
    {EAFNOSUPPORT, BV_REASON_CONNECT},
};

/* If not 0, socket() below fails with it. */
static int socket_error;

/* Replaces the function of the C library in this program. */
int
socket(int family, int type, int protocol)
{
    if (socket_error != 0) {
        errno = socket_error;
        return -1;
    }
    return (int)syscall(SYS_socket, family, type, protocol);
}

/*
 * Guards against a target that counts as unreachable because the node itself
 * has no descriptor left. The next request finds the client as before.
 */
START_TEST(test_no_descriptors)
{
    const refusal_case_t *row = &refusal_cases[_i];
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = OK_BODY};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, "POST", "/a");
    socket_error = row->error;
    send_work(&fixture, &work);
    socket_error = 0;
    check_result(g_strerror(row->error), fixture.result, BV_OUTCOME_NOT_RUN,
                 row->reason);
    work = work_of(&fixture, "POST", "/b");
    check_result("after it", run_work(&fixture, &work), RAN, BV_REASON_NONE);
    ck_assert_uint_eq(scripted_target_arrivals(fixture.target), 1);
    fixture_stop(&fixture);
}
END_TEST

/* What happens before the second of two requests. */
typedef struct {
    const char *name;
    const char *first_bytes;
    const char *second_method;
    /* The target closes the idle connection, or sends bytes on it. */
    bool closes_idle;
    const char *idle_bytes;
    uint32_t connections;
    /* Connections open after both answers. */
    uint32_t open_connections;
} reuse_case_t;

#define KEPT_FOR(seconds)                                                     \
    OK "Keep-Alive: timeout=" seconds ", max=9\r\nContent-Length: 0\r\n\r\n"

static const reuse_case_t reuse_cases[] = {
    {"kept", OK_BODY, "GET", false, NULL, 1, 1},
    {"kept after chunks", OK_CHUNKED "2\r\nok\r\n0\r\n\r\n", "PUT", false,
     NULL, 1, 1},
    {"not idempotent", OK_BODY, "POST", false, NULL, 2, 1},
    {"closed while idle", OK_BODY, "GET", true, NULL, 2, 1},
    {"bytes while idle", OK_BODY, "GET", false, OK_BODY, 2, 1},
    {"bytes after the response", OK_BODY "HTTP/1.1", "GET", false, NULL, 2, 1},
    {"Connection: close", OK "Connection: close\r\nContent-Length: 0\r\n\r\n",
     "GET", false, NULL, 2, 1},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n",
     "GET", false, NULL, 2, 1},
    {"HTTP/1.0 keep-alive",
     "HTTP/1.0 200 OK\r\nX-Id: 7\r\nConnection: keep-alive\r\n"
     "Content-Length: 0\r\n\r\n",
     "GET", false, NULL, 1, 1},
    {"timeout of 60 s", KEPT_FOR("60"), "GET", false, NULL, 1, 1},
    {"timeout of 1 s", KEPT_FOR("1"), "GET", false, NULL, 2, 1},
    {"timeout of 0 s", KEPT_FOR("0"), "GET", false, NULL, 2, 1},
};

/* Guards against requests on connections that are about to close. */
START_TEST(test_reuse)
{
    const reuse_case_t *row = &reuse_cases[_i];
    fixture_t fixture;
    const scripted_reply_t replies[] = {{.bytes = row->first_bytes},
                                        {.bytes = OK_BODY}};
    fixture_start(&fixture, replies, 2);
    bv_target_work_t work = work_of(&fixture, "GET", "/first");
    check_result(row->name, run_work(&fixture, &work), RAN, BV_REASON_NONE);
    /* The client has not seen the event of the idle connection. */
    if (row->closes_idle) {
        scripted_target_close_connections(fixture.target);
    }
    if (row->idle_bytes != NULL) {
        scripted_target_send(fixture.target, row->idle_bytes);
    }
    work = work_of(&fixture, row->second_method, "/second");
    check_result(row->name, run_work(&fixture, &work), RAN, BV_REASON_NONE);
    settle(&fixture);
    ck_assert_msg(scripted_target_connections(fixture.target) ==
                      row->connections,
                  "%s: %u connections", row->name,
                  scripted_target_connections(fixture.target));
    ck_assert_msg(scripted_target_open_connections(fixture.target) ==
                      row->open_connections,
                  "%s: %u open", row->name,
                  scripted_target_open_connections(fixture.target));
    ck_assert_uint_eq(scripted_target_arrivals(fixture.target), 2);
    fixture_stop(&fixture);
}
END_TEST

/* An idle connection that the target closes does not hold a descriptor. */
START_TEST(test_idle_connection_is_closed_at_once)
{
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = OK_BODY};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, "GET", "/a");
    run_work(&fixture, &work);
    scripted_target_close_connections(fixture.target);
    struct pollfd entry = {bv_target_client_fd(fixture.client), POLLIN, 0};
    ck_assert_int_eq(poll(&entry, 1, -1), 1);
    bv_target_client_run(fixture.client);
    ck_assert_int_eq(poll(&entry, 1, 0), 0);
    fixture_stop(&fixture);
}
END_TEST

/* A response ahead of the request's end does not leave half a request. */
START_TEST(test_early_answer)
{
    fixture_t fixture;
    const scripted_reply_t replies[] = {
        {"HTTP/1.1 413 Large\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n",
         SCRIPTED_KEEP, true},
        {OK_BODY, SCRIPTED_KEEP, false}};
    fixture_start(&fixture, replies, 2);
    bv_target_work_t work = work_of(&fixture, "PUT", "/a");
    work.body = create_body((size_t)32 * 1024 * 1024);
    const bv_target_result_t *result = run_work(&fixture, &work);
    check_result("early", result, RAN, BV_REASON_NONE);
    ck_assert_uint_eq(result->status, 413);
    g_bytes_unref(work.body);
    work = work_of(&fixture, "GET", "/b");
    check_result("second", run_work(&fixture, &work), RAN, BV_REASON_NONE);
    ck_assert_uint_eq(scripted_target_connections(fixture.target), 2);
    fixture_stop(&fixture);
}
END_TEST

typedef struct {
    const char *name;
    const char *keep_alive;
    int64_t idle_us;
    bool is_reused;
} idle_case_t;

static const idle_case_t idle_cases[] = {
    {"none stated, short", "", 117 * BV_US_PER_S, true},
    {"none stated, long", "", 118 * BV_US_PER_S, false},
    {"long before the end", "timeout=10", 0, true},
    {"before the margin", "timeout=10", 9 * BV_US_PER_S - 1, true},
    {"within the margin", "timeout=10", 9 * BV_US_PER_S, false},
    {"after the end", "timeout=10", 11 * BV_US_PER_S, false},
    {"other fields", "max=3, timeout=5", 3 * BV_US_PER_S, true},
    {"other fields, late", "max=3, timeout=5", 4 * BV_US_PER_S, false},
    {"negative", "timeout=-5", 0, false},
    {"no number", "timeout=x", 0, false},
    {"beyond the largest number", "timeout=99999999999999999999",
     60 * BV_US_PER_S, true},
};

static bv_target_endpoint_t
endpoint_of(const scripted_target_t *target)
{
    return (bv_target_endpoint_t){"127.0.0.1", scripted_target_port(target)};
}

static void
put_connections(bv_target_pool_t *pool, bv_target_poll_t *poll,
                const bv_target_endpoint_t *endpoint, uint32_t count)
{
    bv_target_progress_t refusal;
    for (uint32_t i = 0; i < count; i++) {
        bv_target_pool_put(
            pool, bv_target_connection_open(poll, endpoint, &refusal), 0);
    }
}

START_TEST(test_idle_time)
{
    const idle_case_t *row = &idle_cases[_i];
    const scripted_reply_t reply = {0};
    scripted_target_t *target = scripted_target_start(&reply, 1);
    bv_target_endpoint_t endpoint = endpoint_of(target);
    bv_target_poll_t poll;
    bv_target_pool_t pool;
    bv_target_poll_init(&poll);
    bv_target_pool_init(&pool, 4);
    ck_assert_ptr_null(bv_target_pool_take(&pool, &endpoint, 0));
    put_connections(&pool, &poll, &endpoint, 1);
    bv_target_pool_apply_keep_alive(&pool, &endpoint, row->keep_alive);
    bv_target_connection_t *connection =
        bv_target_pool_take(&pool, &endpoint, row->idle_us);
    ck_assert_msg((connection != NULL) == row->is_reused, "%s", row->name);
    if (connection != NULL) {
        bv_target_connection_close(connection);
    }
    bv_target_pool_clear(&pool);
    bv_target_poll_clear(&poll);
    scripted_target_stop(target);
}
END_TEST

/* Guards against idle connections without bound, and to an earlier target. */
START_TEST(test_idle_limit)
{
    const scripted_reply_t reply = {0};
    scripted_target_t *target = scripted_target_start(&reply, 1);
    scripted_target_t *other = scripted_target_start(&reply, 1);
    bv_target_endpoint_t endpoint = endpoint_of(target);
    bv_target_endpoint_t other_endpoint = endpoint_of(other);
    bv_target_poll_t poll;
    bv_target_pool_t pool;
    bv_target_poll_init(&poll);
    bv_target_pool_init(&pool, 3);
    bv_target_pool_take(&pool, &endpoint, 0);
    put_connections(&pool, &poll, &endpoint, 5);
    put_connections(&pool, &poll, &other_endpoint, 1);
    ck_assert_uint_eq(pool.idle.length, 3);
    ck_assert_uint_eq(poll.closed.length, 3);
    ck_assert_ptr_null(bv_target_pool_take(&pool, &other_endpoint, 0));
    ck_assert_uint_eq(pool.idle.length, 0);
    ck_assert_uint_eq(poll.closed.length, 6);
    bv_target_poll_clear(&poll);
    scripted_target_stop(target);
    scripted_target_stop(other);
}
END_TEST

START_TEST(test_cancel)
{
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = NULL};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, methods[_i], "/a");
    send_work(&fixture, &work);
    settle(&fixture);
    ck_assert_ptr_null(fixture.result);
    ck_assert_uint_eq(scripted_target_open_connections(fixture.target), 1);
    bv_target_client_cancel(fixture.client, work.id + 1);
    ck_assert_ptr_null(fixture.result);
    bv_target_client_cancel(fixture.client, work.id);
    check_result("cancelled", fixture.result, UNKNOWN, BV_REASON_CANCELLED);
    bv_target_client_cancel(fixture.client, work.id);
    settle(&fixture);
    ck_assert_uint_eq(fixture.results, 1);
    ck_assert_uint_eq(scripted_target_open_connections(fixture.target), 0);
    ck_assert_uint_eq(scripted_target_arrivals(fixture.target), 1);
    ck_assert_int_eq(bv_target_client_next_timer_us(fixture.client),
                     INT64_MAX);
    fixture_stop(&fixture);
}
END_TEST

START_TEST(test_stop_cancels)
{
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = NULL};
    fixture_start(&fixture, &reply, 1);
    for (int i = 0; i < 3; i++) {
        bv_target_work_t work = work_of(&fixture, "GET", "/a");
        bv_target_client_send(fixture.client, &work);
    }
    settle(&fixture);
    bv_target_client_stop(fixture.client);
    ck_assert_uint_eq(fixture.results, 3);
    check_result("stopped", fixture.result, UNKNOWN, BV_REASON_CANCELLED);
    scripted_target_stop(fixture.target);
    bv_target_result_destroy(fixture.result);
    bv_program_stop(fixture.pool);
}
END_TEST

typedef struct {
    const char *name;
    const char *bytes;
} silent_case_t;

static const silent_case_t silent_cases[] = {
    {"nothing", NULL},
    {"half a head", "HTTP/1.1 200"},
    {"half a body", OK "Content-Length: 2\r\n\r\no"},
    {"a 1xx", "HTTP/1.1 103 Hints\r\n\r\n"},
};

/* A target that accepts and does not finish its response. */
START_TEST(test_deadline_after_sending)
{
    const silent_case_t *row = &silent_cases[_i];
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = row->bytes};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, "GET", "/a");
    work.timeout_us = SHORT_TIMEOUT_US;
    check_result(row->name, run_work(&fixture, &work), UNKNOWN,
                 BV_REASON_TIMEOUT);
    settle(&fixture);
    ck_assert_uint_eq(scripted_target_open_connections(fixture.target), 0);
    fixture_stop(&fixture);
}
END_TEST

static int
connect_without_waiting(uint16_t port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int result = connect(fd, (struct sockaddr *)&address, sizeof(address));
    ck_assert(result == 0 || errno == EINPROGRESS);
    return fd;
}

/*
 * Opens a listener whose queue of connections is full, so that it takes no
 * further one. `fds` are the sockets in the queue.
 */
static int
listen_with_full_queue(uint16_t *port, int fds[4])
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, size), 0);
    ck_assert_int_eq(listen(listener, 0), 0);
    getsockname(listener, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    for (int i = 0; i < 4; i++) {
        fds[i] = connect_without_waiting(*port);
    }
    return listener;
}

/* Nothing of the request was written: it has certainly not run. */
START_TEST(test_deadline_before_sending)
{
    fixture_t fixture;
    int fds[4];
    const scripted_reply_t reply = {.bytes = NULL};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, methods[_i], "/a");
    int listener = listen_with_full_queue(&work.port, fds);
    work.timeout_us = SHORT_TIMEOUT_US;
    check_result("full queue", run_work(&fixture, &work), BV_OUTCOME_NOT_RUN,
                 BV_REASON_CONNECT);
    for (int i = 0; i < 4; i++) {
        close(fds[i]);
    }
    close(listener);
    fixture_stop(&fixture);
}
END_TEST

typedef struct {
    const char *address;
    bool is_port_closed;
    bv_outcome_t outcome;
    bv_reason_t reason;
} connect_case_t;

static const connect_case_t connect_cases[] = {
    {"127.0.0.1", false, RAN, BV_REASON_NONE},
    {"127.0.0.1", true, BV_OUTCOME_NOT_RUN, BV_REASON_CONNECT},
    {"::1", true, BV_OUTCOME_NOT_RUN, BV_REASON_CONNECT},
    {"[::1]", true, BV_OUTCOME_NOT_RUN, BV_REASON_CONNECT},
    {"not-a-number", false, BV_OUTCOME_NOT_RUN, BV_REASON_CONNECT},
    {"", false, BV_OUTCOME_NOT_RUN, BV_REASON_CONNECT},
};

START_TEST(test_connect)
{
    const connect_case_t *row = &connect_cases[_i];
    fixture_t fixture;
    int fds[4];
    const scripted_reply_t reply = {.bytes = OK_BODY};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, "GET", "/a");
    work.address = row->address;
    if (row->is_port_closed) {
        close(listen_with_full_queue(&work.port, fds));
        for (int i = 0; i < 4; i++) {
            close(fds[i]);
        }
    }
    check_result(row->address, run_work(&fixture, &work), row->outcome,
                 row->reason);
    fixture_stop(&fixture);
}
END_TEST

/* A response that is ready is delivered, even when late. */
START_TEST(test_ready_answer_is_delivered_late)
{
    fixture_t fixture;
    const scripted_reply_t reply = {.bytes = OK_BODY};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, "GET", "/a");
    work.timeout_us = SHORT_TIMEOUT_US;
    send_work(&fixture, &work);
    while (scripted_target_last_request(fixture.target)->len == 0) {
        scripted_target_run(fixture.target);
    }
    g_usleep(2 * SHORT_TIMEOUT_US);
    bv_target_client_run_timers(fixture.client);
    check_result("late", fixture.result, RAN, BV_REASON_NONE);
    fixture_stop(&fixture);
}
END_TEST

/*
 * A response that takes more turns than one, all of which has arrived before
 * the deadline, is delivered after a stall of the event loop. The first
 * response makes the kernel enlarge the buffer of the connection.
 */
START_TEST(test_large_answer_is_delivered_late)
{
    fixture_t fixture;
    size_t size = ANSWER_LIMIT_BYTES - 1;
    char *body = g_strnfill(size, 'a');
    char *bytes = g_strdup_printf(OK "Content-Length: %zu\r\n\r\n", size);
    const scripted_reply_t replies[] = {{.bytes = bytes}, {.bytes = bytes}};
    fixture_start(&fixture, replies, 2);
    for (int i = 0; i < 2; i++) {
        bv_target_work_t work = work_of(&fixture, "GET", i == 0 ? "/a" : "/b");
        work.timeout_us = i == 0 ? TIMEOUT_US : SHORT_TIMEOUT_US;
        send_work(&fixture, &work);
        while (strstr(scripted_target_last_request(fixture.target)->str,
                      work.path) == NULL) {
            scripted_target_run(fixture.target);
        }
        for (size_t sent = 0; sent < size; sent += 16384) {
            char *piece = g_strndup(body, MIN((size_t)16384, size - sent));
            scripted_target_send(fixture.target, piece);
            g_free(piece);
            if (i == 0) {
                run_round(&fixture);
            }
        }
        if (i == 0) {
            check_result("first", wait_for_result(&fixture), RAN,
                         BV_REASON_NONE);
        }
    }
    g_usleep(2 * SHORT_TIMEOUT_US);
    bv_target_client_run_timers(fixture.client);
    ck_assert_ptr_nonnull(fixture.result);
    check_result("late", fixture.result, RAN, BV_REASON_NONE);
    ck_assert_uint_eq(g_bytes_get_size(fixture.result->body), size);
    fixture_stop(&fixture);
    g_free(bytes);
    g_free(body);
}
END_TEST

/* A large response is read in turns, between which others are served. */
START_TEST(test_large_answer)
{
    fixture_t fixture;
    size_t size = ANSWER_LIMIT_BYTES - 1;
    char *body = g_strnfill(size, 'a');
    char *bytes = g_strdup_printf(OK "Content-Length: %zu\r\n\r\n", size);
    const scripted_reply_t replies[] = {{.bytes = bytes}};
    fixture_start(&fixture, replies, 1);
    bv_target_work_t work = work_of(&fixture, "GET", "/a");
    send_work(&fixture, &work);
    while (scripted_target_last_request(fixture.target)->len == 0) {
        scripted_target_run(fixture.target);
    }
    for (size_t sent = 0; sent < size;) {
        char *piece = g_strndup(body, MIN((size_t)40000, size - sent));
        scripted_target_send(fixture.target, piece);
        sent += strlen(piece);
        g_free(piece);
        run_round(&fixture);
    }
    const bv_target_result_t *result = wait_for_result(&fixture);
    check_result("large", result, RAN, BV_REASON_NONE);
    ck_assert_uint_eq(g_bytes_get_size(result->body), size);
    fixture_stop(&fixture);
    g_free(bytes);
    g_free(body);
}
END_TEST

/* Responses of which a part arrives before memory is short. */
#define PAUSED_RESPONSES 3
#define PART_BYTES ((size_t)(100 * 1024))
#define PARTS 3

typedef struct {
    const char *name;
    bool is_memory_short;
    bool is_memory_full;
    /* Parts of all responses that are received while it lasts. */
    uint32_t parts;
    uint32_t paused;
} pause_case_t;

static const pause_case_t pause_cases[] = {
    {"enough memory", false, false, PAUSED_RESPONSES * 2, 0},
    /* One goes on, the others wait. */
    {"short of memory", true, false, PAUSED_RESPONSES + 1,
     PAUSED_RESPONSES - 1},
    {"no memory", true, true, PAUSED_RESPONSES, PAUSED_RESPONSES},
};

static void
send_part(fixture_t *fixture)
{
    char *part = g_strnfill(PART_BYTES, 'a');
    scripted_target_send(fixture->target, part);
    g_free(part);
}

/* Starts requests that are answered with a head and one part of the body. */
static void
start_responses(fixture_t *fixture)
{
    for (uint32_t i = 0; i < PAUSED_RESPONSES; i++) {
        bv_target_work_t work = work_of(fixture, "POST", "/large");
        send_work(fixture, &work);
    }
    while (scripted_target_arrivals(fixture->target) < PAUSED_RESPONSES) {
        run_round(fixture);
    }
    send_part(fixture);
    while (bv_target_client_received_bytes(fixture->client) <
           PAUSED_RESPONSES * PART_BYTES) {
        run_round(fixture);
    }
}

/*
 * Guards against responses that are read at the rate of the target while
 * memory is short; against a client that then wakes without end or reads
 * nothing at all; and against small responses that wait behind large ones.
 */
START_TEST(test_pause)
{
    const pause_case_t *row = &pause_cases[_i];
    fixture_t fixture;
    char *head =
        g_strdup_printf(OK "Content-Length: %zu\r\n\r\n", PARTS * PART_BYTES);
    const scripted_reply_t replies[] = {
        {.bytes = head}, {.bytes = head}, {.bytes = head}, {.bytes = OK_BODY}};
    fixture_start(&fixture, replies, G_N_ELEMENTS(replies));
    uint64_t paused = bv_counter_get(BV_COUNT_ANSWERS_PAUSED);
    start_responses(&fixture);
    fixture.is_memory_short = row->is_memory_short;
    fixture.is_memory_full = row->is_memory_full;
    send_part(&fixture);
    settle(&fixture);
    ck_assert_msg(bv_target_client_received_bytes(fixture.client) ==
                      row->parts * PART_BYTES,
                  "%s: %zu bytes", row->name,
                  bv_target_client_received_bytes(fixture.client));
    ck_assert_int_gt(bv_target_client_next_timer_us(fixture.client), 0);
    ck_assert_uint_eq(bv_counter_get(BV_COUNT_ANSWERS_PAUSED) - paused,
                      row->paused);
    bv_target_work_t small = work_of(&fixture, "POST", "/small");
    check_result(row->name, run_work(&fixture, &small), RAN, BV_REASON_NONE);
    fixture.is_memory_short = false;
    scripted_target_close_connection(fixture.target, PAUSED_RESPONSES);
    send_part(&fixture);
    while (fixture.results < PAUSED_RESPONSES + 1) {
        run_round(&fixture);
        check_result(row->name, fixture.result, RAN, BV_REASON_NONE);
    }
    ck_assert_uint_eq(g_bytes_get_size(fixture.result->body),
                      PARTS * PART_BYTES);
    fixture_stop(&fixture);
    g_free(head);
}
END_TEST

/*
 * Guards against a response that has arrived and is lost at its deadline
 * because memory is short.
 */
START_TEST(test_paused_response_is_delivered_late)
{
    fixture_t fixture;
    char *head =
        g_strdup_printf(OK "Content-Length: %zu\r\n\r\n", 2 * PART_BYTES);
    const scripted_reply_t reply = {.bytes = head};
    fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = work_of(&fixture, "GET", "/large");
    work.timeout_us = SHORT_TIMEOUT_US;
    send_work(&fixture, &work);
    while (scripted_target_arrivals(fixture.target) == 0) {
        scripted_target_run(fixture.target);
    }
    fixture.is_memory_short = true;
    fixture.is_memory_full = true;
    send_part(&fixture);
    send_part(&fixture);
    check_result("late", wait_for_result(&fixture), RAN, BV_REASON_NONE);
    ck_assert_uint_eq(g_bytes_get_size(fixture.result->body), 2 * PART_BYTES);
    fixture_stop(&fixture);
    g_free(head);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"request_arrives_once", test_request_arrives_once,
         G_N_ELEMENTS(methods)},
        {"request_arrives_unchanged", test_request_arrives_unchanged,
         G_N_ELEMENTS(request_cases)},
        {"answers", test_answers, G_N_ELEMENTS(answer_cases)},
        {"cut_answers", test_cut_answers, G_N_ELEMENTS(whole_answers)},
        {"split_answers", test_split_answers, G_N_ELEMENTS(whole_answers)},
        {"folded_value", test_folded_value, 1},
        {"no_descriptors", test_no_descriptors, G_N_ELEMENTS(refusal_cases)},
        {"pause", test_pause, G_N_ELEMENTS(pause_cases)},
        {"paused_response_is_delivered_late",
         test_paused_response_is_delivered_late, 1},
        {"head_limit", test_head_limit, G_N_ELEMENTS(head_cases)},
        {"reuse", test_reuse, G_N_ELEMENTS(reuse_cases)},
        {"idle_connection_is_closed_at_once",
         test_idle_connection_is_closed_at_once, 1},
        {"early_answer", test_early_answer, 1},
        {"idle_time", test_idle_time, G_N_ELEMENTS(idle_cases)},
        {"idle_limit", test_idle_limit, 1},
        {"cancel", test_cancel, G_N_ELEMENTS(methods)},
        {"stop_cancels", test_stop_cancels, 1},
        {"deadline_after_sending", test_deadline_after_sending,
         G_N_ELEMENTS(silent_cases)},
        {"deadline_before_sending", test_deadline_before_sending,
         G_N_ELEMENTS(methods)},
        {"connect", test_connect, G_N_ELEMENTS(connect_cases)},
        {"ready_answer_is_delivered_late", test_ready_answer_is_delivered_late,
         1},
        {"large_answer", test_large_answer, 1},
        {"large_answer_is_delivered_late", test_large_answer_is_delivered_late,
         1},
        {NULL}};
    return support_run("target_client", tests);
}
