#include "../../standin/cluster/internal.h"
#include "../support.h"
#include "berylvane/common/program.h"
#include "berylvane/common/shutdown.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/*
 * Guards against a node that logs "stopped" and never exits: each wait between
 * that line and the exit is stalled in turn, and the node must end, log the
 * wait's name and exit with its status. The node has no platform, no target
 * and no peers.
 */
#define NODE_PROGRAM "tests/e2e/berylvane-node-stalled"
#define STALLED_WAIT "BERYLVANE_STALLED_WAIT"
#define NODE_NAME "stalled-1"
#define POLL_US 10000
#define EXIT_TIMEOUT_US 120000000
#define GOSSIP_KEY                                                            \
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

typedef struct {
    cluster_t cluster;
    process_t process;
    char *settings_path;
    char *log_path;
} stalled_node_t;

static json_t *
build_settings(uint16_t port)
{
    return json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:s, s:s, s:s, s:s, "
        "s:s, s:i, s:i}",
        "name", NODE_NAME, "data_centre", "m1", "region", "midlands",
        "address", "127.0.0.1", "outside_port", port + 1, "local_port",
        port + 2, "peer_port", port + 3, "gossip_port", port + 4,
        "operator_port", port + 5, "platform_url", "http://127.0.0.1:1",
        "collector_url", "http://127.0.0.1:1", "operator_token", "token",
        "gossip_key", GOSSIP_KEY, "ticket_key", GOSSIP_KEY, "drain_notice_ms",
        100, "probe_interval_ms", 200);
}

static void
prepare_node(stalled_node_t *node)
{
    cluster_t *cluster = &node->cluster;
    uint16_t port = ports_reserve(&cluster->port_lock_fd);
    ck_assert_uint_ne(port, 0);
    cluster->build_directory = g_strdup(E2E_BUILD);
    cluster->work_directory = g_dir_make_tmp("berylvane-XXXXXX", NULL);
    node->settings_path =
        g_build_filename(cluster->work_directory, "node.json", NULL);
    node->log_path =
        g_build_filename(cluster->work_directory, "node.log", NULL);
    json_t *settings = build_settings(port);
    ck_assert_int_eq(json_dump_file(settings, node->settings_path, 0), 0);
    json_decref(settings);
    g_strlcpy(node->process.name, "node", NAME_BYTES);
    g_strlcpy(node->process.program, NODE_PROGRAM, NAME_BYTES);
    node->process.argument_name = "--settings";
    node->process.argument = g_strdup(node->settings_path);
}

static void
clear_node(stalled_node_t *node)
{
    unlink(node->settings_path);
    unlink(node->log_path);
    rmdir(node->cluster.work_directory);
    close(node->cluster.port_lock_fd);
    process_clear(&node->process);
    g_free(node->settings_path);
    g_free(node->log_path);
    g_free(node->cluster.build_directory);
    g_free(node->cluster.work_directory);
}

static bool
has_logged(const stalled_node_t *node, const char *text)
{
    char *content = NULL;
    bool is_read = g_file_get_contents(node->log_path, &content, NULL, NULL);
    bool is_found = is_read && strstr(content, text) != NULL;
    g_free(content);
    return is_found;
}

static void
wait_until_logged(const stalled_node_t *node, const char *text)
{
    while (!has_logged(node, text)) {
        usleep(POLL_US);
    }
}

/* Starts a node with a stalled wait, stops it and returns its exit status. */
static int
run_until_exit(stalled_node_t *node, const char *stalled_wait)
{
    g_setenv(STALLED_WAIT, stalled_wait, TRUE);
    ck_assert(process_start(&node->cluster, &node->process, NULL));
    wait_until_logged(node, "event=started");
    process_signal(&node->process, SIGTERM);
    return process_wait(&node->process, EXIT_TIMEOUT_US);
}

/* A wait whose line is not written by the log, which is the one that stalls.
 */
static bool
is_log_stalled(bv_shutdown_wait_t wait)
{
    return wait == BV_SHUTDOWN_LOG;
}

START_TEST(test_stalled_wait)
{
    bv_shutdown_wait_t wait = (bv_shutdown_wait_t)_i;
    stalled_node_t node = {0};
    prepare_node(&node);
    int status = run_until_exit(&node, bv_shutdown_name(wait));
    char *expected = g_strdup_printf("event=shutdown_wait_exceeded wait=%s",
                                     bv_shutdown_name(wait));
    ck_assert_msg(status == bv_shutdown_status(wait), "%s: exit status %d",
                  bv_shutdown_name(wait), status);
    ck_assert(has_logged(&node, "event=stopped"));
    ck_assert_msg(has_logged(&node, expected) || is_log_stalled(wait),
                  "not logged: %s", expected);
    g_free(expected);
    clear_node(&node);
}
END_TEST

/*
 * Names that stall no wait: an ordinary stop, and a second SIGTERM when the
 * event loop has ended and the ring of events is full.
 */
static const char *const clean_cases[] = {"none", "full ring"};

/*
 * Guards against a bound that an ordinary stop exceeds, and against a signal
 * thread that waits for room in the ring while the node waits for the thread.
 */
START_TEST(test_nothing_stalled)
{
    stalled_node_t node = {0};
    prepare_node(&node);
    ck_assert_int_eq(run_until_exit(&node, clean_cases[_i]), BV_EXIT_OK);
    ck_assert(!has_logged(&node, "shutdown_wait_exceeded"));
    clear_node(&node);
}
END_TEST

typedef struct {
    int read_fd;
    int write_fd;
} pipe_t;

/* Makes a pipe that is full, so that a write to it blocks. */
static void
make_full_pipe(pipe_t *output)
{
    int fds[2];
    char page[4096] = {0};
    ck_assert_int_eq(pipe2(fds, O_CLOEXEC), 0);
    int flags = fcntl(fds[1], F_GETFL);
    fcntl(fds[1], F_SETFL, flags | O_NONBLOCK);
    while (write(fds[1], page, sizeof(page)) > 0) {
    }
    ck_assert_int_eq(errno, EAGAIN);
    fcntl(fds[1], F_SETFL, flags);
    output->read_fd = fds[0];
    output->write_fd = fds[1];
}

static void
run_child_setup(gpointer data)
{
    const pipe_t *output = data;
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    dup2(output->write_fd, STDOUT_FILENO);
}

/* Waits until the node has installed its handler, which the log cannot tell.
 */
static void
wait_until_listening(const stalled_node_t *node)
{
    json_t *settings = json_load_file(node->settings_path, 0, NULL);
    json_t *port = json_object_get(settings, "operator_port");
    bv_http_reply_t reply;
    do {
        usleep(POLL_US);
        reply = cluster_call((uint16_t)json_integer_value(port), "GET",
                             "/status", NULL, NULL);
        bv_http_reply_clear(&reply);
    } while (reply.status != 200);
    json_decref(settings);
}

/*
 * Guards against a node that waits for the reader of its log: nobody reads the
 * pipe. The exit status tells that lines were lost.
 */
START_TEST(test_unread_log)
{
    stalled_node_t node = {0};
    pipe_t output;
    prepare_node(&node);
    make_full_pipe(&output);
    char *program = g_build_filename(E2E_BUILD, NODE_PROGRAM, NULL);
    char *arguments[] = {program, "--settings", node.settings_path, NULL};
    g_setenv(STALLED_WAIT, "none", TRUE);
    node.process.running =
        g_spawn_async(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                      run_child_setup, &output, &node.process.pid, NULL);
    ck_assert(node.process.running);
    wait_until_listening(&node);
    process_signal(&node.process, SIGTERM);
    ck_assert_int_eq(process_wait(&node.process, EXIT_TIMEOUT_US),
                     bv_shutdown_status(BV_SHUTDOWN_LOG));
    close(output.read_fd);
    close(output.write_fd);
    g_free(program);
    clear_node(&node);
}
END_TEST

int
main(void)
{
    bv_program_start();
    const support_test_t tests[] = {
        {"stalled_wait", test_stalled_wait, BV_SHUTDOWN_END},
        {"nothing_stalled", test_nothing_stalled, G_N_ELEMENTS(clean_cases)},
        {"unread_log", test_unread_log, 1},
        {NULL}};
    return support_run("shutdown", tests);
}
