#include "platform_fixture.h"
#include "raw.h"

#include "berylvane/common/headers.h"
#include "berylvane/common/program.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Guards against nodes that break the platform's protocol by losing headers,
 * statuses, heartbeats or configurations, or by accepting invalid ones.
 */
#define POLL_US 20000
/* Readings of a node's status until a change must be seen (60 s). */
#define STATUS_READINGS 3000
/* Longer than a node with few members waits between two scans. */
#define SCANS_US (3 * BV_US_PER_S)

static platform_fixture_t fixture;

static uint16_t
ready_status(size_t node_index)
{
    return platform_request_status(
        fixture.nodes[node_index].ports[PLATFORM_PORT_READY], "GET",
        "/v1/ready", NULL, NULL);
}

/* Rows of the members' table that no node writes, by their JSON. */
static const char *const odd_members[] = {
    "[[[[[[[[",
    "{\"name\":99999999999999999999}",
    "{\"name\":\"n-7\",\"data_centre\":\"z\",\"region\":\"r\","
    "\"address\":\"some.host.example\",\"peer_port\":70000,"
    "\"gossip_port\":0,\"incarnation\":1,\"version\":1,\"slots\":1,"
    "\"state\":\"alive\",\"generation\":1}",
    "{\"name\":\"n-1\",\"data_centre\":\"z\",\"region\":\"r\","
    "\"address\":\"127.0.0.1\",\"peer_port\":1,\"gossip_port\":1,"
    "\"incarnation\":9223372036854775807,\"version\":4294967295,"
    "\"slots\":0,\"state\":\"alive\",\"generation\":1}",
};

/* Writes odd rows, and waits until all nodes have read the table. */
static void
store_odd_members(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(odd_members); i++) {
        char *encoded = g_base64_encode((const guchar *)odd_members[i],
                                        strlen(odd_members[i]));
        char *body = g_strdup_printf(
            "{\"ExpectedRevision\":[],\"Writes\":[{\"Table\":\"member\","
            "\"part\":\"\",\"Key\":\"odd-%zu\",\"Value\":\"%s\"}],"
            "\"Remove\":[]}",
            i, encoded);
        ck_assert_uint_eq(platform_request_status(fixture.store_port, "POST",
                                                  "/v1/rows-tx", NULL, body),
                          200);
        g_free(body);
        g_free(encoded);
    }
    usleep(SCANS_US);
}

/* Whether /status of a node shows a freshness of the configuration. */
static bool
has_freshness(size_t node_index, const char *freshness)
{
    bv_http_reply_t reply = platform_request(
        fixture.nodes[node_index].ports[PLATFORM_PORT_OPERATORS], "GET",
        "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    const char *shown = json_string_value(
        json_object_get(json_object_get(status, "config"), "freshness"));
    bool is_same = g_strcmp0(shown, freshness) == 0;
    json_decref(status);
    bv_http_reply_clear(&reply);
    return is_same;
}

/* Whether /metrics of a node shows a counter with a value. */
static bool
has_count(size_t node_index, const char *line)
{
    bv_http_reply_t reply = platform_request(
        fixture.nodes[node_index].ports[PLATFORM_PORT_OPERATORS], "GET",
        "/metrics", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    bool is_shown = g_strstr_len(text, (gssize)size, line) != NULL;
    bv_http_reply_clear(&reply);
    return is_shown;
}

static void
wait_for_freshness(const char *freshness)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    for (size_t i = 0; i < fixture.node_count; i++) {
        while (!has_freshness(i, freshness)) {
            ck_assert_msg(bv_clock_now_us() < end_us, "node %zu is not %s", i,
                          freshness);
            usleep(POLL_US);
        }
    }
}

static void
start_deployment(void)
{
    fixture = (platform_fixture_t){0};
    platform_start_store(&fixture);
    platform_start_node(&fixture, "front");
    platform_start_node(&fixture, "back");
    platform_wait_for_store(&fixture);
    platform_write_config(&fixture, 1, "/a/");
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
}

static void
kill_remaining(void)
{
    platform_kill_remaining(&fixture);
}

/* All steps share one deployment, and each depends on those before it. */
START_TEST(test_platform_protocol)
{
    platform_node_t *back = &fixture.nodes[1];
    start_deployment();
    ck_assert_uint_eq(ready_status(0), 200);
    /* Reserved headers of a caller must have no effect. */
    ck_assert_uint_eq(
        platform_call(&fixture, 0, "/a/1",
                      "Caller-Service: bank\r\nTarget-Instance: i-9\r\n"),
        200);
    ck_assert_str_eq(back->caller, "front");
    ck_assert_uint_eq(platform_call(&fixture, 0, "/none/1", ""), 404);
    ck_assert_uint_eq(
        platform_request_status(fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND],
                                "GET", "/a/1",
                                "Host: h.example\r\nRequest-Id: 7\r\n"
                                "Request-Deadline: soon\r\n",
                                NULL),
        400);
    /*
     * A refusal by the target must reach the caller; a refusal without a
     * request id on a kept connection, and an answer with another id must not.
     */
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_REFUSE);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 503);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_REFUSE_WITHOUT_ID);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 504);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_WRONG_ID);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", "") / 100, 5);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_SERVE);
    platform_wait_for_status(&fixture, 0, "/a/1", 200);
    /*
     * A request whose kept connection the target closes must be sent again by
     * the node beside it, which counts that.
     */
    ck_assert(has_count(1, "berylvane_local_retries_total 0\n"));
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_DROP_ONCE);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 200);
    ck_assert(has_count(1, "berylvane_local_retries_total 1\n"));
    /* An invalid heartbeat must be refused and leave the target announced. */
    ck_assert_uint_eq(platform_heartbeat(&fixture, 1, "asleep"), 400);
    back->service = "front";
    ck_assert_uint_eq(platform_heartbeat(&fixture, 1, "ready"), 400);
    back->service = "back";
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 200);
    /* Odd rows of another program must hide no member. */
    store_odd_members();
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 200);
    /* A new configuration must be adopted, also if the store lost history. */
    platform_control(&fixture, "{\"forget_history\": true}");
    platform_write_config(&fixture, 5, "/b/");
    platform_wait_for_status(&fixture, 0, "/b/1", 200);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", ""), 404);
    /* A store that does not answer must be marked until it answers again. */
    wait_for_freshness("current");
    platform_control(&fixture, "{\"mode\": \"hang\"}");
    wait_for_freshness("source_silent");
    platform_control(&fixture, "{\"mode\": \"up\"}");
    wait_for_freshness("current");
    platform_wait_for_status(&fixture, 0, "/b/1", 200);
    /* A target that drains must get no more calls. */
    ck_assert_uint_eq(platform_heartbeat(&fixture, 1, "draining"), 200);
    gint before = g_atomic_int_get(&back->served);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/b/1", ""), 503);
    ck_assert_int_eq(g_atomic_int_get(&back->served), before);
    ck_assert_uint_eq(
        platform_request_status(back->ports[PLATFORM_PORT_CONTROL], "POST",
                                "/v1/instances/i-1/deregister", NULL, ""),
        200);
    platform_stop(&fixture);
}
END_TEST

#define BASE_HEADERS "Host: h.example\r\nRequest-Id: 7\r\n"
#define WITH_KEY(key) "Authorization: Bearer " key "\r\n"

/*
 * Calls while accounts are configured: the account "gold" has the key "k1",
 * the account "plain" the key "k2". Guards against a call that runs without a
 * valid key, a key that reaches the target, and a target that is told another
 * account than the caller's.
 */
typedef struct {
    const char *path;
    const char *headers;
    uint16_t status;
    /* What the target is told; NULL for nothing. */
    const char *account;
} account_call_t;

static const account_call_t account_calls[] = {
    {"/a/1", WITH_KEY("k1"), 200, "gold"},
    {"/a/1", WITH_KEY("k2"), 200, "plain"},
    {"/a/1", "authorization: bEARER k1\r\n", 200, "gold"},
    {"/a/1", WITH_KEY("k1") "Tenant-Id: plain\r\ntenant-id: x\r\n", 200,
     "gold"},
    {"/a/1", "", 401, NULL},
    {"/a/1", "Tenant-Id: gold\r\n", 401, NULL},
    {"/a/1", WITH_KEY("k3"), 401, NULL},
    {"/a/1", WITH_KEY("k1x"), 401, NULL},
    {"/a/1", "Authorization: Bearer  k1\r\n", 401, NULL},
    {"/a/1", "Authorization: Basic k1\r\n", 401, NULL},
    {"/a/1", WITH_KEY("k1") WITH_KEY("k1"), 401, NULL},
    {"/none/1", WITH_KEY("k1"), 404, NULL},
    {"/none/1", "", 401, NULL},
    {"/p/1", "", 200, NULL},
    {"/p/1", WITH_KEY("k1"), 200, NULL},
    {"/p/1", WITH_KEY("k3") "Tenant-Id: gold\r\n", 200, NULL},
};

static void
make_account_call(const account_call_t *row)
{
    platform_node_t *back = &fixture.nodes[1];
    gint before = g_atomic_int_get(&back->served);
    ck_assert_msg(platform_call(&fixture, 0, row->path, row->headers) ==
                      row->status,
                  "not %u: %s with %s", row->status, row->path, row->headers);
    gint runs = g_atomic_int_get(&back->served) - before;
    ck_assert_int_eq(runs, row->status == 200 ? 1 : 0);
    if (row->status == 200) {
        ck_assert_str_eq(back->account != NULL ? back->account : "",
                         row->account != NULL ? row->account : "");
        ck_assert_ptr_null(back->authorization);
    }
}

/* Reads one whole answer; returns its status. */
static unsigned int
read_status(int fd)
{
    GString *text = g_string_new(NULL);
    unsigned int status = 0;
    char c;
    while (!g_str_has_suffix(text->str, "\r\n\r\n")) {
        ck_assert_int_eq(recv(fd, &c, 1, 0), 1);
        g_string_append_c(text, c);
    }
    sscanf(text->str, "HTTP/1.1 %u", &status);
    char *length = bv_headers_get(text->str, "Content-Length");
    for (guint64 i = 0; i < g_ascii_strtoull(length, NULL, 10); i++) {
        ck_assert_int_eq(recv(fd, &c, 1, 0), 1);
    }
    g_free(length);
    g_string_free(text, TRUE);
    return status;
}

static void
send_text(int fd, const char *text)
{
    raw_send(fd, text, strlen(text), FALSE);
}

#define GET_WITH(key) "GET /a/1 HTTP/1.1\r\n" BASE_HEADERS WITH_KEY(key) "\r\n"
#define POST_WITH(key, length)                                                \
    "POST /a/1 HTTP/1.1\r\n" BASE_HEADERS WITH_KEY(                           \
        key) "Content-Length: " length "\r\n\r\n"

/* Answers on one connection keep the order of the requests. */
static void
check_pipelining(void)
{
    int fd = raw_connect(fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND]);
    send_text(fd, GET_WITH("k1") GET_WITH("k3") GET_WITH("k2")
                      POST_WITH("k3", "3") "one" GET_WITH("k1"));
    static const unsigned int statuses[] = {200, 401, 200, 401, 200};
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        ck_assert_uint_eq(read_status(fd), statuses[i]);
    }
    close(fd);
}

/* A large body of a caller without a key is not waited for. */
static void
check_body_is_not_awaited(void)
{
    int fd = raw_connect(fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND]);
    send_text(fd, POST_WITH("k3", "1000000"));
    char *answer = raw_read(fd);
    ck_assert_msg(g_str_has_prefix(answer, "HTTP/1.1 401 "), "%s", answer);
    ck_assert_ptr_nonnull(strstr(answer, "WWW-Authenticate: Bearer\r\n"));
    ck_assert_ptr_nonnull(strstr(answer, "Connection: close\r\n"));
    g_free(answer);
    close(fd);
}

/* Calls with a key until they are answered with `status`. */
static void
wait_for_key(int fd, const char *request, unsigned int status)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    unsigned int last_status = 0;
    while (last_status != status) {
        ck_assert_msg(bv_clock_now_us() < end_us, "%u, not %u", last_status,
                      status);
        for (size_t i = 0; i < fixture.node_count; i++) {
            platform_heartbeat(&fixture, i, "ready");
        }
        send_text(fd, request);
        last_status = read_status(fd);
        usleep(POLL_US);
    }
}

/*
 * A call that runs is finished when its key is removed; one that waits behind
 * it is refused by the version that is in force when its turn comes.
 */
static void
check_removal_while_running(void)
{
    platform_node_t *back = &fixture.nodes[1];
    uint16_t port = fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND];
    int fd = raw_connect(port);
    int other_fd = raw_connect(port);
    wait_for_key(fd, GET_WITH("k1"), 200);
    gint before = g_atomic_int_get(&back->served);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_HOLD);
    send_text(fd, GET_WITH("k1"));
    platform_wait_for_held(&fixture, 1);
    send_text(fd, "GET /u/1 HTTP/1.1\r\n" BASE_HEADERS WITH_KEY("k1") "\r\n");
    platform_write_accounts(&fixture, 3,
                            "[{\"Name\":\"gold\",\"ApiKeys\":[\"k3\"]}]");
    /* The first call with a removed key that is not held by the target. */
    wait_for_key(other_fd,
                 "GET /none/1 HTTP/1.1\r\n" BASE_HEADERS WITH_KEY("k1") "\r\n",
                 401);
    platform_answer_held(&fixture, 1);
    ck_assert_uint_eq(read_status(fd), 200);
    ck_assert_uint_eq(read_status(fd), 401);
    ck_assert_int_eq(g_atomic_int_get(&back->served), before + 1);
    close(fd);
    close(other_fd);
}

static unsigned int
call_of_target(void)
{
    return platform_request_status(
        fixture.nodes[1].ports[PLATFORM_PORT_OUTBOUND], "GET", "/a/1",
        "Host: h.example\r\nRequest-Id: 7.1\r\nTenant-Id: gold\r\n", NULL);
}

/*
 * A call that the target of a node makes needs no key, and has no account.
 * Guards against an outside caller that avoids the key by such an id: it needs
 * one unless the request that the id names runs on the target.
 */
static void
check_call_of_target(void)
{
    platform_node_t *back = &fixture.nodes[1];
    int fd = raw_connect(fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND]);
    wait_for_key(fd, GET_WITH("k3"), 200);
    gint before = g_atomic_int_get(&back->served);
    ck_assert_uint_eq(call_of_target(), 503);
    ck_assert_int_eq(g_atomic_int_get(&back->served), before);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_HOLD);
    send_text(fd, GET_WITH("k3"));
    platform_wait_for_held(&fixture, 1);
    g_atomic_int_set(&back->mode, PLATFORM_TARGET_SERVE);
    ck_assert_uint_eq(call_of_target(), 200);
    ck_assert_ptr_null(back->account);
    platform_answer_held(&fixture, 1);
    ck_assert_uint_eq(read_status(fd), 200);
    close(fd);
}

static json_t *
read_status_page(void)
{
    bv_http_reply_t reply =
        platform_request(fixture.nodes[0].ports[PLATFORM_PORT_OPERATORS],
                         "GET", "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    bv_http_reply_clear(&reply);
    return status;
}

/*
 * Guards against calls of accounts that are not counted in the account's
 * demand, which determines their priority. The demand is published each
 * second.
 */
static void
wait_for_demand(const char *account)
{
    double recent_slots = 0;
    json_int_t refused = -1;
    for (int i = 0; i < STATUS_READINGS && recent_slots <= 0; i++) {
        json_t *status = read_status_page();
        ck_assert_int_eq(json_unpack(status, "{s:{s:{s:I, s:F}}}", "accounts",
                                     account, "refused_by_priority", &refused,
                                     "recent_slots", &recent_slots),
                         0);
        json_decref(status);
        g_usleep(POLL_US);
    }
    ck_assert_double_gt(recent_slots, 0);
    ck_assert_int_eq(refused, 0);
}

static void
check_status_page(void)
{
    json_t *status = read_status_page();
    const json_t *accounts = json_object_get(status, "accounts");
    const json_t *gold =
        json_object_get(json_object_get(accounts, "gold"), "target");
    const json_t *none =
        json_object_get(json_object_get(accounts, ""), "node");
    ck_assert_int_gt(json_integer_value(json_object_get(gold, "2xx")), 0);
    ck_assert_int_gt(json_integer_value(json_object_get(none, "401")), 0);
    json_decref(status);
    wait_for_demand("gold");
}

/* All steps share one deployment, and each depends on those before it. */
START_TEST(test_accounts)
{
    platform_node_t *back = &fixture.nodes[1];
    start_deployment();
    /* Without accounts the header is forwarded as any other. */
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1",
                                    "Authorization: Any thing\r\n"
                                    "Tenant-Id: own\r\n"),
                      200);
    ck_assert_str_eq(back->authorization, "Any thing");
    ck_assert_str_eq(back->account, "own");
    platform_write_accounts(
        &fixture, 2,
        "[{\"Name\":\"gold\",\"ApiKeys\":[\"k1\"],\"Priority\":0},"
        "{\"Name\":\"plain\",\"ApiKeys\":[\"k2\"]},{\"Name\":\"shut\"}]");
    platform_wait_for_status(&fixture, 0, "/a/1", 401);
    for (size_t i = 0; i < G_N_ELEMENTS(account_calls); i++) {
        make_account_call(&account_calls[i]);
    }
    check_pipelining();
    check_body_is_not_awaited();
    check_status_page();
    int fd = raw_connect(fixture.nodes[0].ports[PLATFORM_PORT_OUTBOUND]);
    wait_for_key(fd, GET_WITH("k2"), 200);
    /* The next version removes keys and adds one, for open connections too. */
    check_removal_while_running();
    wait_for_key(fd, GET_WITH("k3"), 200);
    ck_assert_str_eq(back->account, "gold");
    wait_for_key(fd, GET_WITH("k1"), 401);
    wait_for_key(fd, GET_WITH("k2"), 401);
    close(fd);
    check_call_of_target();
    /* An invalid version leaves the one in force. */
    platform_write_accounts(&fixture, 4,
                            "[{\"Name\":\"\",\"ApiKeys\":[\"k1\"]}]");
    platform_wait_for_status(&fixture, 0, "/p/1", 200);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", WITH_KEY("k1")), 401);
    ck_assert_uint_eq(platform_call(&fixture, 0, "/a/1", WITH_KEY("k3")), 200);
    platform_stop(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"platform_protocol", test_platform_protocol, 1},
        {"accounts", test_accounts, 1},
        {NULL}};
    apr_pool_t *pool = bv_program_start();
    atexit(kill_remaining);
    int status = support_run("platform_path", tests);
    bv_program_stop(pool);
    return status;
}
