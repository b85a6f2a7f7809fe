#include "internal.h"

#include "berylvane/common/clock.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_US 10000

typedef struct {
    char *log_path;
} child_setup_t;

/*
 * Runs in the child between fork and exec: unblocks all signals, has
 * the kernel kill the child when its parent ends, and redirects its output to
 * the log.
 */
static void
run_child_setup(gpointer data)
{
    const child_setup_t *setup = data;
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(setup->log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (fd >= 0) {
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        close(fd);
    }
}

bool
process_start(const cluster_t *cluster, process_t *process, GError **error)
{
    child_setup_t setup = {
        g_strdup_printf("%s/%s.log", cluster->work_directory, process->name)};
    char *program =
        g_build_filename(cluster->build_directory, process->program, NULL);
    char *arguments[] = {program, process->argument_name, process->argument,
                         NULL};
    process->is_paused = false;
    process->running =
        g_spawn_async(NULL, arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                      run_child_setup, &setup, &process->pid, error);
    g_free(program);
    g_free(setup.log_path);
    return process->running;
}

int
process_wait(process_t *process, int64_t timeout_us)
{
    int64_t deadline_us = bv_clock_now_us() + timeout_us;
    while (process->running) {
        int status;
        if (waitpid(process->pid, &status, WNOHANG) == process->pid) {
            process->running = false;
            process->status = WIFEXITED(status) ? WEXITSTATUS(status)
                                                : 128 + WTERMSIG(status);
            break;
        }
        if (bv_clock_now_us() >= deadline_us) {
            return -1;
        }
        usleep(POLL_US);
    }
    return process->status;
}

void
process_signal(process_t *process, int number)
{
    if (!process->running || (number == SIGCONT && !process->is_paused)) {
        return;
    }
    if (number == SIGSTOP || number == SIGCONT) {
        process->is_paused = number == SIGSTOP;
    }
    kill(process->pid, number);
}

void
process_clear(process_t *process)
{
    g_free(process->argument);
}
