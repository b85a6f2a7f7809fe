#include "platform_fixture.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_US 20000
#define PORT_FIRST 24000
#define PORT_COUNT 8000
/* More than a test needs, so that tests that run at once rarely meet. */
#define PORTS_PER_PROCESS 97
/* More calls than a test sends while the target holds them. */
#define HELD_CALLS_MAX 64
#define LONG_AGO_MS G_GINT64_CONSTANT(9)
#define CALL_TIMEOUT_US (5 * BV_US_PER_S)
#define RENDEZVOUS_DEFAULT_MS 120000
#define SLOTS_DEFAULT 4
#define DRAIN_LIMIT_DEFAULT_MS 120000
#define GOSSIP_KEY                                                            \
    "0000000000000000000000000000000000000000000000000000000000000000"

static bool
is_port_free(uint16_t port, int type)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(port),
    };
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    bool is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
    close(fd);
    return is_free;
}

/*
 * Returns a port that was free when it was asked for. It is below the ports
 * that the system gives to outgoing connections: one of these took a node's
 * port before the node was started.
 */
static uint16_t
free_port(void)
{
    static unsigned int count;
    for (;;) {
        unsigned int number =
            (unsigned int)getpid() * PORTS_PER_PROCESS + count++;
        uint16_t port = (uint16_t)(PORT_FIRST + number % PORT_COUNT);
        if (is_port_free(port, SOCK_STREAM) &&
            is_port_free(port, SOCK_DGRAM)) {
            return port;
        }
    }
}

static pid_t
start_program(const char *const arguments[])
{
    GPid pid;
    GError *error = NULL;
    gboolean started =
        g_spawn_async(NULL, (char **)arguments, NULL,
                      G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
                      NULL, NULL, &pid, &error);
    ck_assert_msg(started, "%s", error != NULL ? error->message : "");
    return pid;
}

bv_http_reply_t
platform_request(uint16_t port, const char *method, const char *path,
                 const char *headers, const char *body)
{
    char *url = g_strdup_printf("http://127.0.0.1:%u%s", port, path);
    bv_http_call_t request = {
        .method = method,
        .url = url,
        .headers = headers,
        .body = body != NULL ? g_bytes_new(body, strlen(body)) : NULL,
        .timeout_us = CALL_TIMEOUT_US,
    };
    bv_http_reply_t reply = bv_http_call(&request);
    g_clear_pointer(&request.body, g_bytes_unref);
    g_free(url);
    return reply;
}

uint16_t
platform_request_status(uint16_t port, const char *method, const char *path,
                        const char *headers, const char *body)
{
    bv_http_reply_t reply =
        platform_request(port, method, path, headers, body);
    uint16_t status = reply.status;
    bv_http_reply_clear(&reply);
    return status;
}

int64_t
platform_status_number(const platform_fixture_t *fixture, size_t node_index,
                       const char *name)
{
    bv_http_reply_t reply = platform_request(
        fixture->nodes[node_index].ports[PLATFORM_PORT_OPERATORS], "GET",
        "/status", NULL, NULL);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *status = json_loadb(text, size, 0, NULL);
    int64_t number = json_integer_value(json_object_get(status, name));
    json_decref(status);
    bv_http_reply_clear(&reply);
    return number;
}

/* Answers a call as the target does, and stores the name of the caller. */
static void
answer_as(platform_node_t *node, bv_call_t *call, gint mode)
{
    char *id = bv_headers_get(call->headers, "Request-Id");
    char *caller = bv_headers_get(call->headers, "Caller-Service");
    g_free(node->caller);
    node->caller = caller;
    g_free(node->account);
    node->account = bv_headers_get(call->headers, "Tenant-Id");
    g_free(node->authorization);
    node->authorization = bv_headers_get(call->headers, "Authorization");
    bv_reply_t reply = {.status = 200};
    char *headers =
        g_strdup_printf("Request-Id: %s\r\nResponse-Signature: s\r\n", id);
    char *refusal =
        g_strdup_printf("Request-Id: %s\r\nNot-Executed: 1\r\n", id);
    switch (mode) {
    case PLATFORM_TARGET_REFUSE:
        reply.status = 503;
        reply.headers = refusal;
        break;
    case PLATFORM_TARGET_REFUSE_WITHOUT_ID:
        reply.status = 503;
        reply.headers = "Not-Executed: 1\r\n";
        break;
    case PLATFORM_TARGET_WRONG_ID:
        reply.headers = "Request-Id: other\r\nResponse-Signature: s\r\n";
        break;
    default:
        reply.headers = headers;
        g_atomic_int_inc(&node->served);
        break;
    }
    bool is_large =
        node->large_body != NULL && strstr(call->path, "/large") != NULL;
    reply.body = is_large ? g_bytes_ref(node->large_body)
                          : g_bytes_new_static("whole", 5);
    bv_call_reply(call, &reply);
    g_bytes_unref(reply.body);
    g_free(refusal);
    g_free(headers);
    g_free(id);
}

static bool
on_call(void *context, bv_call_t *call)
{
    platform_node_t *node = context;
    g_atomic_int_inc(&node->arrived);
    if (g_atomic_int_compare_and_exchange(
            &node->mode, PLATFORM_TARGET_DROP_ONCE, PLATFORM_TARGET_SERVE)) {
        bv_call_drop(call);
        return true;
    }
    gint mode = g_atomic_int_get(&node->mode);
    if (mode == PLATFORM_TARGET_HOLD) {
        g_atomic_int_inc(&node->held_count);
        ck_assert(bv_ring_push(node->held, call));
        return true;
    }
    answer_as(node, call, mode);
    return true;
}

void
platform_wait_for_held(platform_fixture_t *fixture, size_t node_index)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (g_atomic_int_get(&fixture->nodes[node_index].held_count) == 0) {
        ck_assert_msg(bv_clock_now_us() < end_us, "no call is held");
        usleep(POLL_US);
    }
}

static bv_call_t *
take_held(platform_node_t *node)
{
    bv_call_t *call = bv_ring_wait(node->held, PLATFORM_STATE_TIMEOUT_US);
    ck_assert_ptr_nonnull(call);
    g_atomic_int_add(&node->held_count, -1);
    g_atomic_int_set(&node->mode, PLATFORM_TARGET_SERVE);
    return call;
}

void
platform_answer_held(platform_fixture_t *fixture, size_t node_index)
{
    platform_node_t *node = &fixture->nodes[node_index];
    answer_as(node, take_held(node), PLATFORM_TARGET_SERVE);
}

void
platform_drop_held(platform_fixture_t *fixture, size_t node_index)
{
    bv_call_drop(take_held(&fixture->nodes[node_index]));
}

void
platform_release_calls(platform_node_t *node)
{
    g_atomic_int_set(&node->mode, PLATFORM_TARGET_SERVE);
    bv_call_t *call;
    while ((call = bv_ring_pop(node->held)) != NULL) {
        g_atomic_int_add(&node->held_count, -1);
        answer_as(node, call, PLATFORM_TARGET_SERVE);
    }
}

uint16_t
platform_deregister(platform_fixture_t *fixture, size_t node_index)
{
    char *path = g_strdup_printf("/v1/instances/i-%zu/deregister", node_index);
    uint16_t status = platform_request_status(
        fixture->nodes[node_index].ports[PLATFORM_PORT_CONTROL], "POST", path,
        NULL, "");
    g_free(path);
    return status;
}

uint16_t
platform_heartbeat(platform_fixture_t *fixture, size_t node_index,
                   const char *state)
{
    platform_node_t *node = &fixture->nodes[node_index];
    char *body = g_strdup_printf(
        "{\"Address\":\"127.0.0.1:%u\",\"Info\":{\"Service\":\"%s\","
        "\"Version\":\"v1\",\"Zone\":\"z\",\"Slots\":%u},\"Status\":{"
        "\"State\":\"%s\",\"Sequence\":%u,\"ColdRemainingMs\":0},"
        "\"born\":%" G_GINT64_FORMAT "}",
        node->ports[PLATFORM_PORT_TARGET], node->service,
        node->slots != 0 ? node->slots : SLOTS_DEFAULT, state,
        (unsigned int)++node->sequence,
        node->born_ms != 0 ? (gint64)node->born_ms : LONG_AGO_MS);
    char *path = g_strdup_printf("/v1/instances/i-%zu/heartbeat", node_index);
    uint16_t status = platform_request_status(
        node->ports[PLATFORM_PORT_CONTROL], "POST", path, NULL, body);
    g_free(path);
    g_free(body);
    return status;
}

int64_t
platform_write_row(const platform_fixture_t *fixture, const char *table,
                   const char *key, const char *value)
{
    char *encoded = g_base64_encode((guchar *)value, strlen(value));
    char *body = g_strdup_printf(
        "{\"ExpectedRevision\":[],\"Writes\":[{\"Table\":\"%s\",\"part\":\"\","
        "\"Key\":\"%s\",\"Value\":\"%s\"}],\"Remove\":[]}",
        table, key, encoded);
    bv_http_reply_t reply = platform_request(fixture->store_port, "POST",
                                             "/v1/rows-tx", NULL, body);
    ck_assert_uint_eq(reply.status, 200);
    gsize size;
    const char *text = g_bytes_get_data(reply.body, &size);
    json_t *answer = json_loadb(text, size, 0, NULL);
    int64_t version = json_integer_value(json_object_get(answer, "Ver"));
    json_decref(answer);
    bv_http_reply_clear(&reply);
    g_free(body);
    g_free(encoded);
    return version;
}

int64_t
platform_write_other_rows(const platform_fixture_t *fixture, size_t count)
{
    int64_t version = 0;
    for (size_t i = 0; i < count; i++) {
        version = platform_write_row(fixture, "other", "row", "x");
    }
    return version;
}

int64_t
platform_write_config(const platform_fixture_t *fixture, uint32_t version,
                      const char *prefix)
{
    char *config = g_strdup_printf(
        "{\"Version\":\"r%u\",\"Services\":[{\"Name\":\"front\"},{\"Name\":"
        "\"back\"}],\"Limits\":{\"MaxHeaderBytes\":16384,"
        "\"MaxBodyBytes\":67108864},\"VirtualHosts\":[{"
        "\"Hostname\":\"h.example\",\"Paths\":[{\"Name\":\"one\",\"Prefix\":"
        "\"%s\",\"Type\":\"safe\",\"TimeoutMs\":3000,\"Priority\":1,"
        "\"Service\":\"back\",\"MaxAttempts\":2}]}]}",
        version, prefix);
    int64_t row_version = platform_write_row(fixture, "op", "config", config);
    g_free(config);
    return row_version;
}

int64_t
platform_write_accounts(const platform_fixture_t *fixture, uint32_t version,
                        const char *tenants)
{
    char *config = g_strdup_printf(
        "{\"Version\":\"r%u\",\"Services\":[{\"Name\":\"front\"},{\"Name\":"
        "\"back\"}],\"VirtualHosts\":[{\"Hostname\":\"h.example\",\"Paths\":["
        "{\"Name\":\"one\",\"Prefix\":\"/a/\",\"Type\":\"safe\",\"Service\":"
        "\"back\"},{\"Name\":\"two\",\"Prefix\":\"/p/\",\"Type\":\"safe\","
        "\"Service\":\"back\",\"Public\":true},{\"Name\":\"three\",\"Prefix\":"
        "\"/u/\",\"Type\":\"unsafe\",\"Service\":\"back\"}]}],\"Tenants\":%s}",
        version, tenants);
    int64_t row_version = platform_write_row(fixture, "op", "config", config);
    g_free(config);
    return row_version;
}

void
platform_control(const platform_fixture_t *fixture, const char *control)
{
    ck_assert_uint_eq(platform_request_status(fixture->store_port, "POST",
                                              "/control", NULL, control),
                      200);
}

static char *
write_settings(const platform_fixture_t *fixture, size_t node_index)
{
    const platform_node_t *node = &fixture->nodes[node_index];
    char *path =
        g_strdup_printf("%s/node-%zu.json", fixture->directory, node_index);
    char *text = g_strdup_printf(
        "{%s\"dialect\":\"platform\",\"name\":\"n-%zu\",\"service\":\"%s\","
        "\"address\":\"127.0.0.1\",\"region\":\"r\",\"data_centre\":\"z\","
        "\"outside\":\"127.0.0.1:%u\",\"control\":\"127.0.0.1:%u\",\"ready\":"
        "\"127.0.0.1:%u\",\"operators\":\"127.0.0.1:%u\",\"peer_port\":%u,"
        "\"gossip_port\":%u,\"platform_url\":\"http://127.0.0.1:%u\","
        "\"gossip_key\":\"" GOSSIP_KEY "\",\"probe_interval_ms\":200,"
        "\"drain_notice_ms\":200,\"drain_limit_ms\":%u,\"rendezvous_ms\":%u,"
        "\"log_level\":\"%s\"}",
        fixture->extra_settings != NULL ? fixture->extra_settings : "",
        node_index, node->service, node->ports[PLATFORM_PORT_OUTBOUND],
        node->ports[PLATFORM_PORT_CONTROL], node->ports[PLATFORM_PORT_READY],
        node->ports[PLATFORM_PORT_OPERATORS], node->ports[PLATFORM_PORT_PEER],
        node->ports[PLATFORM_PORT_GOSSIP], fixture->store_port,
        fixture->drain_limit_ms != 0 ? fixture->drain_limit_ms
                                     : DRAIN_LIMIT_DEFAULT_MS,
        fixture->rendezvous_ms != 0 ? fixture->rendezvous_ms
                                    : RENDEZVOUS_DEFAULT_MS,
        fixture->keeps_logs ? "warn" : "error");
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    return path;
}

static const char node_path[] = E2E_BUILD "/node/berylvane-node";

static char *
log_path(const platform_fixture_t *fixture, size_t node_index)
{
    return g_strdup_printf("%s/node-%zu.log", fixture->directory, node_index);
}

char *
platform_read_log(const platform_fixture_t *fixture, size_t node_index)
{
    char *text = NULL;
    char *path = log_path(fixture, node_index);
    ck_assert(g_file_get_contents(path, &text, NULL, NULL));
    g_free(path);
    return text;
}

size_t
platform_start_node(platform_fixture_t *fixture, const char *service)
{
    size_t node_index = fixture->node_count++;
    ck_assert_uint_lt(node_index, PLATFORM_NODES_MAX);
    platform_node_t *node = &fixture->nodes[node_index];
    node->service = service;
    apr_pool_create(&node->pool, NULL);
    node->held = bv_ring_create(node->pool, HELD_CALLS_MAX);
    for (int i = 0; i < PLATFORM_PORTS; i++) {
        node->ports[i] = free_port();
    }
    bv_listener_options_t target = {
        .address = "127.0.0.1",
        .port = node->ports[PLATFORM_PORT_TARGET],
        .on_call = on_call,
        .context = node,
    };
    node->target = bv_listener_start(&target, NULL);
    ck_assert_ptr_nonnull(node->target);
    platform_restart_node(fixture, node_index);
    return node_index;
}

void
platform_end_node(platform_fixture_t *fixture, size_t node_index,
                  int signal_number)
{
    platform_node_t *node = &fixture->nodes[node_index];
    ck_assert_int_eq(kill(node->pid, signal_number), 0);
    ck_assert_int_eq(waitpid(node->pid, NULL, 0), node->pid);
    node->pid = 0;
}

void
platform_restart_node(platform_fixture_t *fixture, size_t node_index)
{
    char *settings = write_settings(fixture, node_index);
    char *log = log_path(fixture, node_index);
    const char *const arguments[] = {
        "/bin/sh", "-c",     "exec \"$0\" -s \"$1\" >>\"$2\"",
        node_path, settings, fixture->keeps_logs ? log : "/dev/null",
        NULL,
    };
    fixture->nodes[node_index].pid = start_program(arguments);
    g_free(log);
    g_free(settings);
}

uint16_t
platform_call(const platform_fixture_t *fixture, size_t node_index,
              const char *path, const char *extra_headers)
{
    char *headers = g_strdup_printf("Host: h.example\r\nRequest-Id: 7\r\n"
                                    "Request-Deadline: 2000\r\n%s",
                                    extra_headers);
    uint16_t status = platform_request_status(
        fixture->nodes[node_index].ports[PLATFORM_PORT_OUTBOUND], "GET", path,
        headers, NULL);
    g_free(headers);
    return status;
}

void
platform_wait_for_status(platform_fixture_t *fixture, size_t node_index,
                         const char *path, uint16_t status)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    uint16_t last_status = 0;
    while (last_status != status) {
        ck_assert_msg(bv_clock_now_us() < end_us,
                      "node %zu answered %s with %u, not %u", node_index, path,
                      last_status, status);
        for (size_t i = 0; i < fixture->node_count; i++) {
            platform_heartbeat(fixture, i, "ready");
        }
        last_status = platform_call(fixture, node_index, path, "");
        usleep(POLL_US);
    }
}

void
platform_start_store(platform_fixture_t *fixture)
{
    char port[8];
    fixture->directory = g_dir_make_tmp("berylvane-XXXXXX", NULL);
    fixture->store_port = free_port();
    g_snprintf(port, sizeof(port), "%u", fixture->store_port);
    const char *const arguments[] = {
        E2E_BUILD "/standin/berylvane-standin-platform", "--port", port, NULL};
    fixture->store_pid = start_program(arguments);
}

void
platform_wait_for_store(const platform_fixture_t *fixture)
{
    int64_t end_us = bv_clock_now_us() + PLATFORM_STATE_TIMEOUT_US;
    while (platform_request_status(fixture->store_port, "GET",
                                   "/v1/rows-get?Table=x", NULL,
                                   NULL) != 200) {
        ck_assert(bv_clock_now_us() < end_us);
        usleep(POLL_US);
    }
}

static void
stop_node(const platform_fixture_t *fixture, platform_node_t *node,
          size_t node_index)
{
    int status = -1;
    waitpid(node->pid, &status, 0);
    node->pid = 0;
    ck_assert_int_eq(status, 0);
    bv_listener_close(node->target);
    bv_listener_stop(node->target);
    g_free(node->caller);
    g_free(node->account);
    g_free(node->authorization);
    apr_pool_destroy(node->pool);
    char *path =
        g_strdup_printf("%s/node-%zu.json", fixture->directory, node_index);
    remove(path);
    g_free(path);
    path = log_path(fixture, node_index);
    remove(path);
    g_free(path);
}

void
platform_stop(platform_fixture_t *fixture)
{
    for (size_t i = 0; i < fixture->node_count; i++) {
        kill(fixture->nodes[i].pid, SIGTERM);
    }
    for (size_t i = 0; i < fixture->node_count; i++) {
        stop_node(fixture, &fixture->nodes[i], i);
    }
    kill(fixture->store_pid, SIGTERM);
    waitpid(fixture->store_pid, NULL, 0);
    fixture->store_pid = 0;
    remove(fixture->directory);
    g_free(fixture->directory);
}

void
platform_kill_remaining(const platform_fixture_t *fixture)
{
    for (size_t i = 0; i < fixture->node_count; i++) {
        if (fixture->nodes[i].pid > 0) {
            kill(fixture->nodes[i].pid, SIGKILL);
        }
    }
    if (fixture->store_pid > 0) {
        kill(fixture->store_pid, SIGKILL);
    }
}
