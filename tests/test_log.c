#include "berylvane/common/log.h"
#include "berylvane/common/program.h"
#include "support.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

/*
 * Tests that neither bv_log() nor bv_log_stop() can block for ever: a stop
 * that comes together with a line, and a standard output that nobody reads.
 */
#define STOP_COUNT 20
#define PAUSE_US 60000
#define LINE_COUNT 3000

/* Makes `fd` the standard output; returns a copy of the old one. */
static int
redirect_stdout(int fd)
{
    int saved = dup(STDOUT_FILENO);
    fflush(stdout);
    dup2(fd, STDOUT_FILENO);
    return saved;
}

static void
restore_stdout(int saved)
{
    dup2(saved, STDOUT_FILENO);
    close(saved);
}

/*
 * Guards against a logger thread that misses the stop and waits for ever: the
 * thread is idle when a line and the stop arrive, and one wake-up covers both.
 */
START_TEST(test_stop_after_line)
{
    int null_fd = open("/dev/null", O_WRONLY);
    int saved = redirect_stdout(null_fd);
    for (int i = 0; i < STOP_COUNT; i++) {
        bv_log_start("test", "log", BV_LOG_INFO);
        usleep(PAUSE_US);
        bv_log(BV_LOG_INFO, "last", NULL);
        bv_log_stop();
    }
    restore_stdout(saved);
    close(null_fd);
}
END_TEST

/*
 * Guards against a logger that blocks on a full pipe: nobody reads the pipe,
 * the lines exceed its capacity, and both bv_log() and the stop must return.
 */
START_TEST(test_full_pipe)
{
    int pipe_fds[2];
    ck_assert_int_eq(pipe(pipe_fds), 0);
    int saved = redirect_stdout(pipe_fds[1]);
    bv_log_start("test", "log", BV_LOG_INFO);
    for (int i = 0; i < LINE_COUNT; i++) {
        bv_log(BV_LOG_INFO, "flood", "text", "a line of some length", NULL);
    }
    usleep(PAUSE_US);
    bv_log_stop();
    restore_stdout(saved);
    close(pipe_fds[0]);
    close(pipe_fds[1]);
}
END_TEST

int
main(void)
{
    bv_program_start();
    const support_test_t tests[] = {
        {"stop_after_line", test_stop_after_line, 1},
        {"full_pipe", test_full_pipe, 1},
        {NULL}};
    return support_run("log", tests);
}
