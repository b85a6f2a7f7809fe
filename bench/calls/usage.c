#include "calls.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static char *
read_file(pid_t pid, const char *name)
{
    char *path = g_strdup_printf("/proc/%d/%s", (int)pid, name);
    char *text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    g_free(path);
    return text != NULL ? text : g_strdup("");
}

/* Returns the number after `label` in a text of "label value" lines. */
static int64_t
labelled_number(const char *text, const char *label)
{
    const char *found = strstr(text, label);
    return found != NULL ? g_ascii_strtoll(found + strlen(label), NULL, 10)
                         : 0;
}

static int64_t
cpu_ns(pid_t pid)
{
    clockid_t clock;
    struct timespec time = {0};
    if (clock_getcpuclockid(pid, &clock) != 0 ||
        clock_gettime(clock, &time) != 0) {
        return 0;
    }
    return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

/* Field 15 of /proc/PID/stat, counted from the end of the program's name. */
static int64_t
kernel_us(pid_t pid)
{
    char *text = read_file(pid, "stat");
    const char *end_of_name = strrchr(text, ')');
    long long ticks = 0;
    if (end_of_name != NULL) {
        char **fields = g_strsplit(end_of_name + 2, " ", -1);
        ticks = g_strv_length(fields) > 12
                    ? g_ascii_strtoll(fields[12], NULL, 10)
                    : 0;
        g_strfreev(fields);
    }
    g_free(text);
    return ticks * 1000000 / sysconf(_SC_CLK_TCK);
}

static int64_t
wake_ups(pid_t pid)
{
    int64_t sum = 0;
    char *path = g_strdup_printf("/proc/%d/task", (int)pid);
    GDir *threads = g_dir_open(path, 0, NULL);
    const char *thread;
    while (threads != NULL && (thread = g_dir_read_name(threads)) != NULL) {
        char *name = g_strdup_printf("task/%s/status", thread);
        char *text = read_file(pid, name);
        sum += labelled_number(text, "\nvoluntary_ctxt_switches:");
        g_free(text);
        g_free(name);
    }
    g_clear_pointer(&threads, g_dir_close);
    g_free(path);
    return sum;
}

calls_usage_t
calls_usage_read(pid_t pid)
{
    char *io = read_file(pid, "io");
    calls_usage_t usage = {
        .cpu_ns = cpu_ns(pid),
        .kernel_us = kernel_us(pid),
        .wake_ups = wake_ups(pid),
        .reads_and_writes =
            labelled_number(io, "syscr:") + labelled_number(io, "syscw:"),
    };
    g_free(io);
    return usage;
}
