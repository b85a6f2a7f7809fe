#include "standin/cluster/internal.h"
#include "support.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

/*
 * Guards against a node that never exits after a test has stopped it: the leak
 * check of the address sanitizer, which runs when the node exits, waits for
 * ever if a SIGCONT arrives while it stops the threads. The cluster must send
 * SIGCONT to a process only if it has paused that process.
 */
#define CHILD_ARGUMENT "--report-continued"
#define READY "ready"
#define POLL_US 1000
#define EXIT_TIMEOUT_US 60000000
#define SIGNALS_LIMIT 6

typedef struct {
    const char *name;
    /* Sent in this order, up to the first 0; then SIGTERM. */
    int signals[SIGNALS_LIMIT];
    /* The child received SIGCONT. */
    bool is_continued;
} signal_case_t;

static const signal_case_t signal_cases[] = {
    {"not paused", {SIGCONT}, false},
    {"not paused, twice", {SIGCONT, SIGCONT}, false},
    {"paused", {SIGSTOP, SIGCONT}, true},
    {"paused and reloaded", {SIGSTOP, SIGHUP, SIGCONT}, true},
    {"reloaded", {SIGHUP, SIGCONT}, false},
};

/*
 * The child: blocks the signals, so that they stay pending, reports that it is
 * ready and exits on SIGTERM with status 1 if a SIGCONT is pending.
 */
static int
run_child(void)
{
    int number;
    sigset_t signals;
    sigset_t pending;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    sigaddset(&signals, SIGCONT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    ssize_t written = write(STDOUT_FILENO, READY, strlen(READY));
    (void)written;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigwait(&signals, &number);
    sigpending(&pending);
    return sigismember(&pending, SIGCONT);
}

static void
wait_until_ready(const char *log_path)
{
    char *text = NULL;
    while (!g_file_get_contents(log_path, &text, NULL, NULL) ||
           strstr(text, READY) == NULL) {
        g_clear_pointer(&text, g_free);
        usleep(POLL_US);
    }
    g_free(text);
}

static void
start_child(cluster_t *cluster, process_t *process)
{
    char *path = g_file_read_link("/proc/self/exe", NULL);
    char *program = g_path_get_basename(path);
    cluster->build_directory = g_path_get_dirname(path);
    cluster->work_directory = g_dir_make_tmp("berylvane-XXXXXX", NULL);
    g_strlcpy(process->name, "child", NAME_BYTES);
    g_strlcpy(process->program, program, NAME_BYTES);
    process->argument_name = CHILD_ARGUMENT;
    ck_assert(process_start(cluster, process, NULL));
    g_free(program);
    g_free(path);
}

START_TEST(test_resumes_paused_only)
{
    const signal_case_t *test = &signal_cases[_i];
    cluster_t cluster = {0};
    process_t process = {0};
    start_child(&cluster, &process);
    char *log_path =
        g_build_filename(cluster.work_directory, "child.log", NULL);
    wait_until_ready(log_path);
    for (int i = 0; i < SIGNALS_LIMIT && test->signals[i] != 0; i++) {
        process_signal(&process, test->signals[i]);
    }
    process_signal(&process, SIGTERM);
    ck_assert_msg(process_wait(&process, EXIT_TIMEOUT_US) ==
                      (int)test->is_continued,
                  "%s: exit status %d", test->name, process.status);
    unlink(log_path);
    rmdir(cluster.work_directory);
    g_free(log_path);
    g_free(cluster.build_directory);
    g_free(cluster.work_directory);
}
END_TEST

int
main(int argc, char **argv)
{
    if (argc > 1 && strcmp(argv[1], CHILD_ARGUMENT) == 0) {
        return run_child();
    }
    const support_test_t tests[] = {{"resumes_paused_only",
                                     test_resumes_paused_only,
                                     G_N_ELEMENTS(signal_cases)},
                                    {NULL}};
    return support_run("cluster_signals", tests);
}
