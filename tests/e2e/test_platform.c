#include "../support.h"

#include "berylvane/caller/listener.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/common/http_call.h"
#include "berylvane/common/program.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Guards against nodes that break the platform's protocol by losing headers,
 * statuses, heartbeats or configurations, or by accepting invalid ones. Two
 * node processes and the stand-in store run; this process serves as the target
 * of both nodes and sends the targets' heartbeats.
 */
#define NODES 2
#define PORTS 7
#define STATE_TIMEOUT_US (60 * BV_US_PER_S)
#define POLL_US 20000
/* Longer than a node with few members waits between two scans. */
#define SCANS_US (3 * BV_US_PER_S)
#define CALL_TIMEOUT_US (5 * BV_US_PER_S)
#define GOSSIP_KEY                                                            \
    "0000000000000000000000000000000000000000000000000000000000000000"

enum {
    PORT_OUTBOUND,
    PORT_CONTROL,
    PORT_READY,
    PORT_OPERATORS,
    PORT_PEER,
    PORT_GOSSIP,
    PORT_TARGET,
};

static const char *const services[NODES] = {"front", "back"};

typedef struct {
    uint16_t ports[PORTS];
    bv_listener_t *target;
    pid_t pid;
    /* Sequence number of the last heartbeat of the target. */
    uint64_t sequence;
    /* How the target answers: a value of MODE_... */
    gint mode;
    /* Number of calls that the target has served. */
    gint served;
    /* Name of the service that made the last call. */
    char *caller;
} node_t;

enum {
    MODE_SERVE,
    MODE_REFUSE,
    MODE_REFUSE_WITHOUT_ID,
    MODE_WRONG_ID,
};

static struct {
    node_t nodes[NODES];
    uint16_t store_port;
    pid_t store_pid;
    char *directory;
} deployment;

/* Returns a port that was free when it was asked for. */
static uint16_t
free_port(void)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, size), 0);
    getsockname(fd, (struct sockaddr *)&address, &size);
    close(fd);
    return ntohs(address.sin_port);
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

static bv_http_reply_t
send_request(uint16_t port, const char *method, const char *path,
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

static uint16_t
request_status(uint16_t port, const char *method, const char *path,
               const char *headers, const char *body)
{
    bv_http_reply_t reply = send_request(port, method, path, headers, body);
    uint16_t status = reply.status;
    bv_http_reply_clear(&reply);
    return status;
}

/* Answers a call as the target does, and stores the name of the caller. */
static bool
answer_call(void *context, bv_call_t *call)
{
    node_t *node = context;
    char *id = bv_headers_get(call->headers, "Request-Id");
    char *caller = bv_headers_get(call->headers, "Caller-Service");
    g_free(node->caller);
    node->caller = caller;
    bv_reply_t reply = {.status = 200};
    char *headers =
        g_strdup_printf("Request-Id: %s\r\nResponse-Signature: s\r\n", id);
    char *refusal =
        g_strdup_printf("Request-Id: %s\r\nNot-Executed: 1\r\n", id);
    switch (g_atomic_int_get(&node->mode)) {
    case MODE_REFUSE:
        reply.status = 503;
        reply.headers = refusal;
        break;
    case MODE_REFUSE_WITHOUT_ID:
        reply.status = 503;
        reply.headers = "Not-Executed: 1\r\n";
        break;
    case MODE_WRONG_ID:
        reply.headers = "Request-Id: other\r\nResponse-Signature: s\r\n";
        break;
    default:
        reply.headers = headers;
        g_atomic_int_inc(&node->served);
        break;
    }
    reply.body = g_bytes_new_static("whole", 5);
    bv_call_reply(call, &reply);
    g_bytes_unref(reply.body);
    g_free(refusal);
    g_free(headers);
    g_free(id);
    return true;
}

static uint16_t
send_heartbeat(size_t node_index, const char *state)
{
    node_t *node = &deployment.nodes[node_index];
    char *body = g_strdup_printf(
        "{\"Address\":\"127.0.0.1:%u\",\"Info\":{\"Service\":\"%s\","
        "\"Version\":\"v1\",\"Zone\":\"z\",\"Slots\":4},\"Status\":{"
        "\"State\":\"%s\",\"Sequence\":%u,\"ColdRemainingMs\":0},\"born\":9}",
        node->ports[PORT_TARGET], services[node_index], state,
        (unsigned int)++node->sequence);
    char *path = g_strdup_printf("/v1/instances/i-%zu/heartbeat", node_index);
    uint16_t status =
        request_status(node->ports[PORT_CONTROL], "POST", path, NULL, body);
    g_free(path);
    g_free(body);
    return status;
}

static void
store_config(uint32_t version, const char *prefix)
{
    char *config = g_strdup_printf(
        "{\"Version\":\"r%u\",\"Services\":[{\"Name\":\"front\"},{\"Name\":"
        "\"back\"}],\"Limits\":{\"MaxHeaderBytes\":16384},\"VirtualHosts\":[{"
        "\"Hostname\":\"h.example\",\"Paths\":[{\"Name\":\"one\",\"Prefix\":"
        "\"%s\",\"Type\":\"safe\",\"TimeoutMs\":3000,\"Priority\":1,"
        "\"Service\":\"back\",\"MaxAttempts\":2}]}]}",
        version, prefix);
    char *encoded = g_base64_encode((guchar *)config, strlen(config));
    char *body = g_strdup_printf(
        "{\"ExpectedRevision\":[],\"Writes\":[{\"Table\":\"op\",\"part\":\"\","
        "\"Key\":\"config\",\"Value\":\"%s\"}],\"Remove\":[]}",
        encoded);
    ck_assert_uint_eq(request_status(deployment.store_port, "POST",
                                     "/v1/rows-tx", NULL, body),
                      200);
    g_free(body);
    g_free(encoded);
    g_free(config);
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
        ck_assert_uint_eq(request_status(deployment.store_port, "POST",
                                         "/v1/rows-tx", NULL, body),
                          200);
        g_free(body);
        g_free(encoded);
    }
    usleep(SCANS_US);
}

static char *
write_settings(size_t node_index)
{
    const node_t *node = &deployment.nodes[node_index];
    char *path =
        g_strdup_printf("%s/node-%zu.json", deployment.directory, node_index);
    char *text = g_strdup_printf(
        "{\"dialect\":\"platform\",\"name\":\"n-%zu\",\"service\":\"%s\","
        "\"address\":\"127.0.0.1\",\"region\":\"r\",\"data_centre\":\"z\","
        "\"outside\":\"127.0.0.1:%u\",\"control\":\"127.0.0.1:%u\",\"ready\":"
        "\"127.0.0.1:%u\",\"operators\":\"127.0.0.1:%u\",\"peer_port\":%u,"
        "\"gossip_port\":%u,\"platform_url\":\"http://127.0.0.1:%u\","
        "\"gossip_key\":\"" GOSSIP_KEY "\",\"probe_interval_ms\":200,"
        "\"drain_notice_ms\":200,\"log_level\":\"error\"}",
        node_index, services[node_index], node->ports[PORT_OUTBOUND],
        node->ports[PORT_CONTROL], node->ports[PORT_READY],
        node->ports[PORT_OPERATORS], node->ports[PORT_PEER],
        node->ports[PORT_GOSSIP], deployment.store_port);
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    g_free(text);
    return path;
}

static void
start_node(size_t node_index)
{
    node_t *node = &deployment.nodes[node_index];
    for (int i = 0; i < PORTS; i++) {
        node->ports[i] = free_port();
    }
    bv_listener_options_t target = {
        .address = "127.0.0.1",
        .port = node->ports[PORT_TARGET],
        .on_call = answer_call,
        .context = node,
    };
    node->target = bv_listener_start(&target, NULL);
    ck_assert_ptr_nonnull(node->target);
    char *settings = write_settings(node_index);
    const char *const arguments[] = {E2E_BUILD "/node/berylvane-node", "-s",
                                     settings, NULL};
    node->pid = start_program(arguments);
    g_free(settings);
}

static uint16_t
ready_status(size_t node_index)
{
    return request_status(deployment.nodes[node_index].ports[PORT_READY],
                          "GET", "/v1/ready", NULL, NULL);
}

static uint16_t
request_as_caller(const char *path, const char *extra_headers)
{
    char *headers = g_strdup_printf("Host: h.example\r\nRequest-Id: 7\r\n"
                                    "Request-Deadline: 2000\r\n%s",
                                    extra_headers);
    uint16_t status = request_status(deployment.nodes[0].ports[PORT_OUTBOUND],
                                     "GET", path, headers, NULL);
    g_free(headers);
    return status;
}

/*
 * Waits until a request is answered with `status`, and sends heartbeats
 * meanwhile so that the targets stay announced.
 */
static void
wait_for_status(const char *path, uint16_t status)
{
    int64_t end_us = bv_clock_now_us() + STATE_TIMEOUT_US;
    uint16_t last_status = 0;
    while (last_status != status) {
        ck_assert_msg(bv_clock_now_us() < end_us,
                      "%s answered with %u, not %u", path, last_status,
                      status);
        for (size_t i = 0; i < NODES; i++) {
            send_heartbeat(i, "ready");
        }
        last_status = request_as_caller(path, "");
        usleep(POLL_US);
    }
}

/* Whether /status of a node shows a freshness of the configuration. */
static bool
has_freshness(size_t node_index, const char *freshness)
{
    bv_http_reply_t reply =
        send_request(deployment.nodes[node_index].ports[PORT_OPERATORS], "GET",
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

static void
wait_for_freshness(const char *freshness)
{
    int64_t end_us = bv_clock_now_us() + STATE_TIMEOUT_US;
    for (size_t i = 0; i < NODES; i++) {
        while (!has_freshness(i, freshness)) {
            ck_assert_msg(bv_clock_now_us() < end_us, "node %zu is not %s", i,
                          freshness);
            usleep(POLL_US);
        }
    }
}

static void
set_store_mode(const char *mode)
{
    char *body = g_strdup_printf("{\"mode\": \"%s\"}", mode);
    ck_assert_uint_eq(
        request_status(deployment.store_port, "POST", "/control", NULL, body),
        200);
    g_free(body);
}

static void
start_deployment(void)
{
    char port[8];
    deployment.directory = g_dir_make_tmp("berylvane-XXXXXX", NULL);
    deployment.store_port = free_port();
    g_snprintf(port, sizeof(port), "%u", deployment.store_port);
    const char *const arguments[] = {
        E2E_BUILD "/standin/berylvane-standin-platform", "--port", port, NULL};
    deployment.store_pid = start_program(arguments);
    for (size_t i = 0; i < NODES; i++) {
        start_node(i);
    }
    int64_t end_us = bv_clock_now_us() + STATE_TIMEOUT_US;
    while (request_status(deployment.store_port, "GET", "/v1/rows-get?Table=x",
                          NULL, NULL) != 200) {
        ck_assert(bv_clock_now_us() < end_us);
        usleep(POLL_US);
    }
    store_config(1, "/a/");
    wait_for_status("/a/1", 200);
}

static void
stop_deployment(void)
{
    for (size_t i = 0; i < NODES; i++) {
        kill(deployment.nodes[i].pid, SIGTERM);
    }
    for (size_t i = 0; i < NODES; i++) {
        int status = -1;
        waitpid(deployment.nodes[i].pid, &status, 0);
        deployment.nodes[i].pid = 0;
        ck_assert_int_eq(status, 0);
        bv_listener_close(deployment.nodes[i].target);
        bv_listener_stop(deployment.nodes[i].target);
        g_free(deployment.nodes[i].caller);
    }
    kill(deployment.store_pid, SIGTERM);
    waitpid(deployment.store_pid, NULL, 0);
    deployment.store_pid = 0;
    for (size_t i = 0; i < NODES; i++) {
        char *path =
            g_strdup_printf("%s/node-%zu.json", deployment.directory, i);
        remove(path);
        g_free(path);
    }
    remove(deployment.directory);
    g_free(deployment.directory);
}

/* Ends processes that still run after a failed check. */
static void
kill_remaining(void)
{
    for (size_t i = 0; i < NODES; i++) {
        if (deployment.nodes[i].pid > 0) {
            kill(deployment.nodes[i].pid, SIGKILL);
        }
    }
    if (deployment.store_pid > 0) {
        kill(deployment.store_pid, SIGKILL);
    }
}

/* All steps share one deployment, and each depends on those before it. */
START_TEST(test_platform_protocol)
{
    node_t *back = &deployment.nodes[1];
    apr_pool_t *pool = bv_program_start();
    atexit(kill_remaining);
    start_deployment();
    ck_assert_uint_eq(ready_status(0), 200);
    /* Reserved headers of a caller must have no effect. */
    ck_assert_uint_eq(
        request_as_caller("/a/1",
                          "Caller-Service: bank\r\nTarget-Instance: i-9\r\n"),
        200);
    ck_assert_str_eq(back->caller, "front");
    ck_assert_uint_eq(request_as_caller("/none/1", ""), 404);
    ck_assert_uint_eq(request_status(deployment.nodes[0].ports[PORT_OUTBOUND],
                                     "GET", "/a/1",
                                     "Host: h.example\r\nRequest-Id: 7\r\n"
                                     "Request-Deadline: soon\r\n",
                                     NULL),
                      400);
    /*
     * A refusal by the target must reach the caller; a refusal without a
     * request id on a kept connection, and an answer with another id must not.
     */
    g_atomic_int_set(&back->mode, MODE_REFUSE);
    ck_assert_uint_eq(request_as_caller("/a/1", ""), 503);
    g_atomic_int_set(&back->mode, MODE_REFUSE_WITHOUT_ID);
    ck_assert_uint_eq(request_as_caller("/a/1", ""), 504);
    g_atomic_int_set(&back->mode, MODE_WRONG_ID);
    ck_assert_uint_eq(request_as_caller("/a/1", "") / 100, 5);
    g_atomic_int_set(&back->mode, MODE_SERVE);
    wait_for_status("/a/1", 200);
    /* An invalid heartbeat must be refused and leave the target announced. */
    ck_assert_uint_eq(send_heartbeat(1, "asleep"), 400);
    ck_assert_uint_eq(request_as_caller("/a/1", ""), 200);
    /* Odd rows of another program must hide no member. */
    store_odd_members();
    ck_assert_uint_eq(request_as_caller("/a/1", ""), 200);
    /* A new configuration must be adopted, also if the store lost history. */
    ck_assert_uint_eq(request_status(deployment.store_port, "POST", "/control",
                                     NULL, "{\"forget_history\": true}"),
                      200);
    store_config(5, "/b/");
    wait_for_status("/b/1", 200);
    ck_assert_uint_eq(request_as_caller("/a/1", ""), 404);
    /* A store that does not answer must be marked until it answers again. */
    wait_for_freshness("current");
    set_store_mode("hang");
    wait_for_freshness("source_silent");
    set_store_mode("up");
    wait_for_freshness("current");
    wait_for_status("/b/1", 200);
    /* A target that drains must get no more calls. */
    ck_assert_uint_eq(send_heartbeat(1, "draining"), 200);
    gint before = g_atomic_int_get(&back->served);
    ck_assert_uint_eq(request_as_caller("/b/1", ""), 503);
    ck_assert_int_eq(g_atomic_int_get(&back->served), before);
    ck_assert_uint_eq(request_status(back->ports[PORT_CONTROL], "POST",
                                     "/v1/instances/i-1/deregister", NULL, ""),
                      200);
    stop_deployment();
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {
        {"platform_protocol", test_platform_protocol, 1}, {NULL}};
    return support_run("platform_path", tests);
}
