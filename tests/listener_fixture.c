#include "listener_fixture.h"

#include "berylvane/common/program.h"
#include "support.h"

#include <string.h>

#define READ_AHEAD_BYTES 65536
#define RING_CAPACITY 1024
#define PORT_FIRST 21400
#define PORT_COUNT 200

static apr_pool_t *pool;

void
listener_fixture_init(void)
{
    pool = bv_program_start();
}

static bool
on_call(void *context, bv_call_t *call)
{
    listener_fixture_t *fixture = context;
    passed_call_t *passed = g_new0(passed_call_t, 1);
    passed->call = call;
    passed->answered_before = g_atomic_int_get(&fixture->answered);
    ck_assert(bv_ring_push(fixture->passed, passed));
    return true;
}

/* Refuses the calls "%" and "@", if it is asked before their body is read. */
static uint16_t
check_head(void *context, const bv_call_t *call)
{
    (void)context;
    return strcmp(call->path, "/%") == 0 || strcmp(call->path, "/@") == 0 ? 401
                                                                          : 0;
}

static bool
may_run_ahead(void *context, const bv_call_t *call)
{
    (void)context;
    return strcmp(call->method, "GET") == 0;
}

static void
on_disconnect(void *context, uint64_t tag)
{
    listener_fixture_t *fixture = context;
    ck_assert_uint_gt(tag, 0);
    g_atomic_int_inc(&fixture->disconnects);
}

void
listener_fixture_start_limited(listener_fixture_t *fixture,
                               uint32_t connections_limit)
{
    bv_listener_options_t options = {
        .address = "127.0.0.1",
        .role = BV_LISTENER_OUTSIDE,
        .connections_limit = connections_limit,
        .limits = {.read_ahead_requests = READ_AHEAD_REQUESTS,
                   .read_ahead_bytes = READ_AHEAD_BYTES},
        .on_call = on_call,
        .check_head = check_head,
        .may_run_ahead = may_run_ahead,
        .on_disconnect = on_disconnect,
        .context = fixture,
    };
    *fixture =
        (listener_fixture_t){.passed = bv_ring_create(pool, RING_CAPACITY)};
    for (int i = 0; i < PORT_COUNT && fixture->listener == NULL; i++) {
        options.port = (uint16_t)(PORT_FIRST + i);
        fixture->listener = bv_listener_start(&options, NULL);
    }
    ck_assert_ptr_nonnull(fixture->listener);
    fixture->port = options.port;
}

void
listener_fixture_start(listener_fixture_t *fixture)
{
    listener_fixture_start_limited(fixture, 0);
}

void
listener_fixture_answer(listener_fixture_t *fixture, char letter,
                        uint16_t status, size_t size, bool closes)
{
    bv_call_t *call = fixture->open[(int)letter];
    ck_assert_ptr_nonnull(call);
    char *text = g_malloc(size);
    memset(text, letter, size);
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_RAN,
        .body = g_bytes_new_take(text, size),
        .closes_connection = closes,
    };
    fixture->open[(int)letter] = NULL;
    g_atomic_int_inc(&fixture->answered);
    bv_call_reply(call, &reply);
    g_bytes_unref(reply.body);
}

passed_call_t *
listener_fixture_wait_passed(listener_fixture_t *fixture)
{
    int64_t end_us = bv_clock_now_us() + WAIT_US;
    passed_call_t *passed = NULL;
    while (passed == NULL && bv_clock_now_us() < end_us) {
        passed = bv_ring_wait(fixture->passed, BV_US_PER_S);
    }
    ck_assert_msg(passed != NULL, "no call is passed on");
    return passed;
}

char
listener_fixture_take_call(listener_fixture_t *fixture, gint *answered_before)
{
    passed_call_t *passed = listener_fixture_wait_passed(fixture);
    char letter = passed->call->path[1];
    ck_assert_ptr_null(fixture->open[(int)letter]);
    fixture->open[(int)letter] = passed->call;
    *answered_before = passed->answered_before;
    g_free(passed);
    return letter;
}

void
listener_fixture_stop(listener_fixture_t *fixture)
{
    passed_call_t *passed;
    bv_listener_close(fixture->listener);
    while ((passed = bv_ring_pop(fixture->passed)) != NULL) {
        bv_call_drop(passed->call);
        g_free(passed);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(fixture->open); i++) {
        if (fixture->open[i] != NULL) {
            bv_call_drop(fixture->open[i]);
        }
    }
    bv_listener_stop(fixture->listener);
}

char *
listener_fixture_write_requests(const char *letters)
{
    GString *text = g_string_new(NULL);
    for (const char *c = letters; *c != '\0'; c++) {
        if (*c == '?') {
            g_string_append(text, "no request\r\n\r\n");
        }
        else if (*c == '#' || *c == '@') {
            g_string_append_printf(text,
                                   "POST /%c HTTP/1.1\r\nHost: x\r\n"
                                   "Content-Length: 10\r\n\r\n",
                                   *c);
        }
        else if (*c == '%') {
            g_string_append(text, "POST /% HTTP/1.1\r\nHost: x\r\n"
                                  "Content-Length: 3\r\n\r\none");
        }
        else if (g_ascii_isupper(*c)) {
            g_string_append_printf(text,
                                   "POST /%c HTTP/1.1\r\nHost: x\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "3\r\none\r\n0\r\n\r\n",
                                   *c);
        }
        else {
            g_string_append_printf(text, "GET /%c HTTP/1.1\r\nHost: x\r\n\r\n",
                                   *c);
        }
    }
    return g_string_free(text, FALSE);
}

char *
listener_fixture_summarize(const char *answers)
{
    GString *summary = g_string_new(NULL);
    const char *rest = answers;
    while (*rest != '\0') {
        const char *body = strstr(rest, "\r\n\r\n");
        ck_assert_msg(g_str_has_prefix(rest, "HTTP/1.1 ") && body != NULL,
                      "no answer: %.40s", rest);
        char *head = g_strndup(rest, (gsize)(body - rest));
        const char *length = strstr(head, "Content-Length: ");
        ck_assert_ptr_nonnull(length);
        size_t size =
            g_ascii_strtoull(length + strlen("Content-Length: "), NULL, 10);
        body += strlen("\r\n\r\n");
        ck_assert_uint_ge(strlen(body), size);
        g_string_append_printf(
            summary, "%s%.3s%.*s%s", summary->len > 0 ? " " : "",
            head + strlen("HTTP/1.1 "), size > 0 ? 1 : 0, body,
            strstr(head, "Connection: close") != NULL ? "!" : "");
        size_t same = 0;
        while (same < size && body[same] == body[0]) {
            same++;
        }
        ck_assert_msg(same == size, "bodies are mixed");
        g_free(head);
        rest = body + size;
    }
    return g_string_free(summary, FALSE);
}
