#include "berylvane/common/clock.h"
#include "berylvane/common/gauges.h"
#include "berylvane/common/program.h"
#include "berylvane/node/access.h"
#include "berylvane/node/memory.h"
#include "e2e/raw.h"
#include "support.h"

#include <poll.h>
#include <string.h>
#include <unistd.h>

/*
 * Guards against a node that refuses a key for good although it knows of a
 * newer configuration, which may contain the key, and against a call that
 * waits for such a configuration without end.
 *
 * The node has what is needed to judge a call, and is at the end of a drain: a
 * call that starts is answered with the reason "draining".
 */
#define CLUSTER_KEY                                                           \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define GENERATION 5
#define PORT_FIRST 22400
#define PORT_COUNT 200
#define REQUEST                                                               \
    "HEAD /a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n\r\n"

static bv_settings_t settings = {.log_level = 3, .gossip_key = CLUSTER_KEY};

typedef struct {
    bv_node_t node;
    bv_call_t *call;
} fixture_t;

static bool
request_from_member(void *context, const char *member, uint64_t generation)
{
    (void)context;
    (void)member;
    (void)generation;
    return true;
}

static void
read_head(void *context)
{
    (void)context;
}

static void
read_from_store(void *context, const bv_config_version_t *version)
{
    (void)context;
    (void)version;
}

static bool
refuse_to_adopt(void *context, const bv_config_version_t *version,
                GBytes *body)
{
    (void)context;
    (void)version;
    (void)body;
    return false;
}

static const bv_config_fetcher_ops_t fetcher_ops = {
    .request_from_member = request_from_member,
    .read_head = read_head,
    .read_from_store = read_from_store,
    .adopt = refuse_to_adopt,
};

/* A configuration with one route, and one account with `key`. */
static bv_config_t *
build_config(uint64_t generation, const char *key)
{
    bv_key_secret_t secret;
    bv_key_digest_t digest;
    char text[2 * BV_KEY_DIGEST_BYTES + 1];
    bv_key_secret_derive(CLUSTER_KEY, &secret);
    bv_key_digest(&secret, key, strlen(key), &digest);
    bv_hex_write(text, digest.bytes, sizeof(digest.bytes));
    json_t *bundle =
        json_pack("{s:{s:{s:{s:{s:{s:s,s:s}}}}, s:{s:{s:[s]}}}}", "base",
                  "services", "a", "routes", "r", "method", "*", "prefix",
                  "/a", "accounts", "gold", "key_digests", text);
    bv_findings_t *findings = bv_findings_create();
    bv_config_t *config =
        bv_config_build(bundle, "any", generation, "t", findings);
    ck_assert_ptr_nonnull(config);
    bv_findings_destroy(findings);
    json_decref(bundle);
    return config;
}

static bool
on_call(void *context, bv_call_t *call)
{
    fixture_t *fixture = context;
    ck_assert_ptr_null(fixture->call);
    fixture->call = call;
    return true;
}

static uint16_t
start_listener(fixture_t *fixture)
{
    bv_listener_options_t options = {
        .address = "127.0.0.1",
        .role = BV_LISTENER_OUTSIDE,
        .on_call = on_call,
        .is_threadless = true,
        .context = fixture,
    };
    bv_listener_t **listener = &fixture->node.listeners[BV_LISTENER_OUTSIDE];
    for (int i = 0; i < PORT_COUNT && *listener == NULL; i++) {
        options.port = (uint16_t)(PORT_FIRST + i);
        *listener = bv_listener_start(&options, NULL);
    }
    ck_assert_ptr_nonnull(*listener);
    return options.port;
}

static void
create_node(fixture_t *fixture)
{
    bv_node_t *node = &fixture->node;
    bv_config_fetcher_options_t fetcher = {
        .poll_interval_us = BV_US_PER_S,
        .fetch_timeout_us = BV_US_PER_S,
        .gather_timeout_us = BV_US_PER_S,
        .ops = &fetcher_ops,
    };
    *node = (bv_node_t){
        .settings = &settings,
        .dialect = &bv_own_dialect,
        .now_us = bv_clock_now_us(),
        .drain.phase = BV_DRAIN_DONE,
        .random = g_rand_new_with_seed(1),
        .config = build_config(GENERATION, "k0"),
        .config_fetcher = bv_config_fetcher_create(&fetcher),
        .journal = bv_journal_create(16),
        .called_backpressure = bv_backpressure_table_create(),
        .calls = g_hash_table_new(g_int64_hash, g_int64_equal),
        .served_by_request = g_hash_table_new(bv_id_hash, bv_id_equal),
        .finished_calls =
            g_ptr_array_new_with_free_func(bv_call_state_destroy),
    };
    bv_memory_create(node);
    bv_access_create(node);
}

static void
destroy_node(fixture_t *fixture)
{
    bv_node_t *node = &fixture->node;
    bv_listener_close(node->listeners[BV_LISTENER_OUTSIDE]);
    bv_listener_stop(node->listeners[BV_LISTENER_OUTSIDE]);
    g_ptr_array_unref(node->finished_calls);
    g_hash_table_destroy(node->calls);
    g_hash_table_destroy(node->served_by_request);
    bv_access_destroy(node);
    bv_memory_destroy(node);
    bv_backpressure_table_destroy(node->called_backpressure);
    bv_journal_destroy(node->journal);
    bv_config_fetcher_destroy(node->config_fetcher);
    bv_config_unref(node->config);
    g_rand_free(node->random);
}

/* Sends a call with the key "k1", and returns its connection. */
static int
receive_call(fixture_t *fixture)
{
    int fd = raw_connect(start_listener(fixture));
    bv_listener_t *listener = fixture->node.listeners[BV_LISTENER_OUTSIDE];
    raw_send(fd, REQUEST, strlen(REQUEST), FALSE);
    while (fixture->call == NULL) {
        struct pollfd readable = {.fd = bv_listener_fd(listener),
                                  .events = POLLIN};
        poll(&readable, 1, 1000);
        bv_listener_run(listener);
    }
    return fd;
}

typedef struct {
    /* Newest generation that the node has heard of. */
    uint64_t heard;
    /* The key of the account in a newer configuration; NULL for none. */
    const char *new_key;
    /* Time until the node judges the call again. */
    int64_t later_us;
    bool is_held;
    /* Part of the answer; NULL if the call is still held. */
    const char *answer;
} hold_case_t;

#define STARTED "Berylvane-Reason: draining\r\n"
#define UNDECIDED "HTTP/1.1 503 "

static const hold_case_t hold_cases[] = {
    {GENERATION, NULL, 0, false, NULL},
    {GENERATION + 1, NULL, BV_ACCESS_HOLD_US - 1, true, NULL},
    {GENERATION + 1, NULL, BV_ACCESS_HOLD_US, true, UNDECIDED},
    {GENERATION + 1, NULL, BV_ACCESS_HOLD_US, true, "Retry-After: 1\r\n"},
    {GENERATION + 1, NULL, BV_ACCESS_HOLD_US, true,
     "Berylvane-Reason: config_behind\r\n"},
    {GENERATION + 1, NULL, BV_ACCESS_HOLD_US, true,
     "Berylvane-Outcome: not-run\r\n"},
    {GENERATION + 1, "k1", 1, true, STARTED},
    {GENERATION + 1, "k2", 1, true, STARTED},
    {GENERATION + 1, "k1", BV_ACCESS_HOLD_US, true, STARTED},
};

/* Returns what the listener writes; the call must have been answered. */
static char *
read_answer(const fixture_t *fixture, int fd)
{
    char buffer[4096] = "";
    bv_listener_run_due(fixture->node.listeners[BV_LISTENER_OUTSIDE]);
    ssize_t size = read(fd, buffer, sizeof(buffer) - 1);
    ck_assert_int_gt(size, 0);
    return g_strndup(buffer, (gsize)size);
}

START_TEST(test_hold)
{
    const hold_case_t *row = &hold_cases[_i];
    const bv_config_version_t version = {row->heard, 77};
    fixture_t fixture = {0};
    bv_node_t *node = &fixture.node;
    create_node(&fixture);
    int fd = receive_call(&fixture);
    bv_config_fetcher_handle_version(node->config_fetcher, node->now_us,
                                     &version, "other");
    bool is_held = bv_access_try_hold(node, fixture.call);
    ck_assert_int_eq(is_held, row->is_held);
    if (row->new_key != NULL) {
        bv_config_unref(node->config);
        node->config = build_config(GENERATION + 1, row->new_key);
    }
    node->now_us += row->later_us;
    bv_access_tick(node);
    if (row->answer != NULL) {
        char *answer = read_answer(&fixture, fd);
        ck_assert_msg(strstr(answer, row->answer) != NULL, "%s", answer);
        g_free(answer);
    }
    else if (is_held) {
        ck_assert(!bv_listener_is_idle(node->listeners[BV_LISTENER_OUTSIDE]));
        ck_assert(bv_access_handle_caller_gone(node, fixture.call->tag));
    }
    else {
        bv_call_drop(fixture.call);
    }
    ck_assert(bv_listener_is_idle(node->listeners[BV_LISTENER_OUTSIDE]));
    close(fd);
    destroy_node(&fixture);
}
END_TEST

/*
 * Guards against a node that goes on with keys of an old configuration
 * although it is set to refuse them, and against one that stops although it is
 * not.
 */
typedef struct {
    bool fails_closed;
    int64_t source_age_us;
    bool is_admitted;
} outdated_case_t;

static const outdated_case_t outdated_cases[] = {
    {false, 3600 * BV_US_PER_S, true},
    {true, 4999 * BV_US_PER_MS, true},
    {true, 5000 * BV_US_PER_MS, false},
};

START_TEST(test_outdated)
{
    const outdated_case_t *row = &outdated_cases[_i];
    fixture_t fixture = {0};
    bv_node_t *node = &fixture.node;
    bv_settings_t strict = settings;
    strict.revoke_ms = 5000;
    strict.revoke_fails_closed = row->fails_closed;
    create_node(&fixture);
    node->settings = &strict;
    start_listener(&fixture);
    bv_gauge_set(BV_GAUGE_CONFIG_SOURCE_AGE, node->now_us);
    node->now_us += row->source_age_us;
    bv_call_t call = {
        .is_outside = true,
        .method = "HEAD",
        .path = "/a",
        .headers = g_strdup("Authorization: Bearer k0\r\n"),
    };
    bv_call_state_t state = {.call = &call, .config = node->config};
    bv_reply_t refusal = {0};
    ck_assert_int_eq(bv_access_admit(node, &state, &refusal),
                     row->is_admitted);
    ck_assert_uint_eq(refusal.status, row->is_admitted ? 0 : 503);
    ck_assert_str_eq(state.account != NULL ? state.account->name : "",
                     row->is_admitted ? "gold" : "");
    g_free(state.customer);
    g_free(call.headers);
    destroy_node(&fixture);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"hold", test_hold, G_N_ELEMENTS(hold_cases)},
        {"outdated", test_outdated, G_N_ELEMENTS(outdated_cases)},
        {NULL}};
    apr_pool_t *pool = bv_program_start();
    int status = support_run("access_hold", tests);
    bv_program_stop(pool);
    return status;
}
