#ifndef BENCH_CALLS_CALLS_H
#define BENCH_CALLS_CALLS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * calls - processor time, wake-ups and system calls per call at each node
 *
 * load.c sends requests one after the other on each of a number of kept-alive
 * connections. usage.c reads what the kernel accounts for a process.
 */

/* One kind of call that is measured. */
typedef struct {
    const char *name;
    /* NULL: no call is sent. */
    const char *method;
    const char *path;
    size_t body_bytes;
    uint16_t expected_status;
} calls_kind_t;

typedef struct {
    uint64_t answered;
    /* Answers with another status than expected, and broken connections. */
    uint64_t failed;
} calls_load_result_t;

typedef struct {
    uint16_t port;
    uint32_t connection_count;
    int64_t duration_us;
    /* Pause of a connection between an answer and the next request. */
    int64_t pause_us;
} calls_load_options_t;

/*
 * Sends calls of one kind to 127.0.0.1 for `duration_us` and waits for the
 * last answers.
 */
calls_load_result_t calls_load_run(const calls_kind_t *kind,
                                   const calls_load_options_t *options);

/* Sums over all threads of a process since its start. */
typedef struct {
    int64_t cpu_ns;
    /* Part of the processor time in the kernel; a multiple of 10 ms. */
    int64_t kernel_us;
    /* Voluntary context switches: waits that suspended a thread. */
    int64_t wake_ups;
    /* Calls of the read(2) and write(2) families; not recv(2) or send(2). */
    int64_t reads_and_writes;
} calls_usage_t;

/* Reads the usage of a process; a value that cannot be read is 0. */
calls_usage_t calls_usage_read(pid_t pid);

#endif
