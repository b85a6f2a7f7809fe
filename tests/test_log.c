#include "berylvane/common/log.h"
#include "berylvane/common/program.h"
#include "support.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#define STOPS 20
#define IDLE_US 60000
#define LINES 3000

/* Takes the place of the standard output until it is given back. */
static int
take_stdout(int fd)
{
    int saved = dup(STDOUT_FILENO);
    fflush(stdout);
    dup2(fd, STDOUT_FILENO);
    return saved;
}

static void
give_back_stdout(int saved)
{
    dup2(saved, STDOUT_FILENO);
    close(saved);
}

/* The writer waits for lines when one comes together with the stop. */
START_TEST(test_stop_after_line)
{
    int null = open("/dev/null", O_WRONLY);
    int saved = take_stdout(null);
    for (int i = 0; i < STOPS; i++) {
        bv_log_start("test", "log", BV_LOG_INFO);
        usleep(IDLE_US);
        bv_log(BV_LOG_INFO, "last", NULL);
        bv_log_stop();
    }
    give_back_stdout(saved);
    close(null);
}
END_TEST

/* Nobody reads: neither a line nor the stop waits for it. */
START_TEST(test_full_pipe)
{
    int ends[2];
    ck_assert_int_eq(pipe(ends), 0);
    int saved = take_stdout(ends[1]);
    bv_log_start("test", "log", BV_LOG_INFO);
    for (int i = 0; i < LINES; i++) {
        bv_log(BV_LOG_INFO, "flood", "text", "a line of some length", NULL);
    }
    usleep(IDLE_US);
    bv_log_stop();
    give_back_stdout(saved);
    close(ends[0]);
    close(ends[1]);
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
