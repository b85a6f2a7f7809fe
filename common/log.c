#include "berylvane/common/log.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/ring.h"

#include <apr_thread_proc.h>
#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#define LOG_RING_CAPACITY 4096
/* Pause after a write; lines logged during the pause share the next write. */
#define BATCH_PAUSE_US (BV_US_PER_S / 20)
#define BATCH_LIMIT_BYTES 32768
/*
 * Time-out of one wait for standard output to become writable. When the
 * program stops, the writer gives up after STOP_WAITS_LIMIT time-outs. They
 * are counted instead of read from a clock, so that no lines are dropped when
 * the process got no processor.
 */
#define OUTPUT_WAIT_MS 50
#define STOP_WAITS_LIMIT (BV_LOG_STOP_LIMIT_MS / OUTPUT_WAIT_MS)
/* Interval at which bv_log_last() checks whether its line was written. */
#define LAST_POLL_MS 10
#define LAST_LINE_BYTES 1024

/*
 * bv_log_stop() leaves the memory to the next bv_log_start(): bv_log_last()
 * may run in another thread at the same time.
 */
static struct {
    apr_pool_t *pool;
    bv_ring_t *ring;
    apr_thread_t *thread;
    char *program;
    char *name;
    bv_log_level_t minimum_level;
    /* Number of dropped lines that lines_dropped events have reported. */
    uint64_t reported_drops;
    gint is_running;
    gint is_stopping;
    /* Time-outs of waits for standard output since the stop. */
    uint32_t stop_waits;
    /* The writer has dropped lines, since standard output took none. */
    bool has_given_up;
    /* Lines that were pushed and neither written nor dropped. */
    gint unwritten_lines;
} logger;

static const char *const level_names[] = {"debug", "info", "warn", "error"};

int
bv_log_level_parse(const char *text)
{
    for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(text, level_names[i]) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/*
 * Waits until standard output is writable. Returns false if the program stops
 * before a reader has made room.
 */
static bool
wait_until_writable(void)
{
    struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};
    while (poll(&output, 1, OUTPUT_WAIT_MS) <= 0) {
        if (g_atomic_int_get(&logger.is_stopping) &&
            ++logger.stop_waits >= STOP_WAITS_LIMIT) {
            return false;
        }
    }
    return true;
}

/*
 * Writes a batch of lines. A writable pipe takes PIPE_BUF bytes without
 * blocking. While this function waits for a slow reader, the ring fills and
 * further lines are dropped. Lines are lost if the write fails. Returns false
 * if the program stops before a reader has made room.
 */
static bool
write_batch(const GString *text)
{
    size_t written_bytes = 0;
    while (written_bytes < text->len) {
        if (!wait_until_writable()) {
            return false;
        }
        ssize_t written = write(STDOUT_FILENO, text->str + written_bytes,
                                MIN(text->len - written_bytes, PIPE_BUF));
        if (written < 0 && errno != EINTR) {
            return true;
        }
        written_bytes += written > 0 ? (size_t)written : 0;
    }
    return true;
}

static void
drop_queued_lines(void)
{
    for (;;) {
        char *line = bv_ring_pop(logger.ring);
        if (line == NULL) {
            return;
        }
        bv_counter_add(BV_COUNT_LOG_DROPPED, 1);
        g_atomic_int_add(&logger.unwritten_lines, -1);
        g_free(line);
    }
}

static void
log_dropped_lines(void)
{
    uint64_t dropped = bv_counter_get(BV_COUNT_LOG_DROPPED);
    if (dropped != logger.reported_drops) {
        bv_log(BV_LOG_WARN, "lines_dropped", "lines",
               BV_NUM((gint64)(dropped - logger.reported_drops)), NULL);
        logger.reported_drops = dropped;
    }
}

/* Appends `line` and lines of the ring to `text`; returns their number. */
static gint
append_queued_lines(GString *text, char *line)
{
    gint count = 0;
    while (line != NULL) {
        g_string_append(text, line);
        g_free(line);
        count++;
        line = text->len < BATCH_LIMIT_BYTES ? bv_ring_pop(logger.ring) : NULL;
    }
    return count;
}

static void *APR_THREAD_FUNC
logger_run(apr_thread_t *thread, void *data)
{
    (void)thread;
    (void)data;
    GString *text = g_string_sized_new(BATCH_LIMIT_BYTES);
    for (;;) {
        /*
         * The wake-ups for a line and for the stop can merge into one, so that
         * the stop has to be checked before each wait.
         */
        bool is_stopping = g_atomic_int_get(&logger.is_stopping);
        char *line = bv_ring_wait(logger.ring, is_stopping ? 0 : -1);
        if (line == NULL && is_stopping) {
            break;
        }
        if (line == NULL) {
            continue;
        }
        gint count = append_queued_lines(text, line);
        if (!write_batch(text)) {
            logger.has_given_up = true;
            drop_queued_lines();
            break;
        }
        g_atomic_int_add(&logger.unwritten_lines, -count);
        g_string_truncate(text, 0);
        log_dropped_lines();
        if (!g_atomic_int_get(&logger.is_stopping)) {
            usleep(BATCH_PAUSE_US);
        }
    }
    g_string_free(text, TRUE);
    return NULL;
}

static void
free_logger(void)
{
    g_clear_pointer(&logger.program, g_free);
    g_clear_pointer(&logger.name, g_free);
    g_clear_pointer(&logger.pool, apr_pool_destroy);
}

void
bv_log_start(const char *program, const char *name,
             bv_log_level_t minimum_level)
{
    free_logger();
    apr_pool_create(&logger.pool, NULL);
    logger.program = g_strdup(program);
    logger.name = g_strdup(name);
    logger.minimum_level = minimum_level;
    logger.stop_waits = 0;
    logger.has_given_up = false;
    g_atomic_int_set(&logger.unwritten_lines, 0);
    g_atomic_int_set(&logger.is_stopping, 0);
    logger.ring = bv_ring_create(logger.pool, LOG_RING_CAPACITY);
    apr_thread_create(&logger.thread, NULL, logger_run, NULL, logger.pool);
    g_atomic_int_set(&logger.is_running, 1);
}

bool
bv_log_stop(void)
{
    if (!g_atomic_int_get(&logger.is_running)) {
        return true;
    }
    g_atomic_int_set(&logger.is_stopping, 1);
    bv_ring_wake_consumer(logger.ring);
    apr_status_t result;
    apr_thread_join(&result, logger.thread);
    g_atomic_int_set(&logger.is_running, 0);
    return !logger.has_given_up;
}

static bool
needs_quotes(const char *value)
{
    if (*value == '\0') {
        return true;
    }
    for (const char *c = value; *c != '\0'; c++) {
        if ((unsigned char)*c <= ' ' || *c == '"' || *c == '=' || *c == '\\' ||
            *c == 0x7f) {
            return true;
        }
    }
    return false;
}

static void
append_pair(GString *line, const char *key, const char *value)
{
    if (value == NULL) {
        value = "";
    }
    if (!needs_quotes(value)) {
        g_string_append_printf(line, " %s=%s", key, value);
        return;
    }
    char *escaped = g_strescape(value, NULL);
    g_string_append_printf(line, " %s=\"%s\"", key, escaped);
    g_free(escaped);
}

char *
bv_log_number(char *buffer, gint64 value)
{
    g_snprintf(buffer, 24, "%" G_GINT64_FORMAT, value);
    return buffer;
}

static char *
format_line(bv_log_level_t level, const char *event, va_list pairs)
{
    GString *line = g_string_sized_new(160);
    g_string_append_printf(line, "time_us=%" G_GINT64_FORMAT " level=%s",
                           (gint64)bv_clock_wall_us(), level_names[level]);
    append_pair(line, "program", logger.program);
    append_pair(line, "name", logger.name);
    append_pair(line, "event", event);
    for (;;) {
        const char *key = va_arg(pairs, const char *);
        if (key == NULL) {
            break;
        }
        append_pair(line, key, va_arg(pairs, const char *));
    }
    g_string_append_c(line, '\n');
    return g_string_free(line, FALSE);
}

static void
push_line(char *line)
{
    g_atomic_int_inc(&logger.unwritten_lines);
    if (!bv_ring_push(logger.ring, line)) {
        g_atomic_int_add(&logger.unwritten_lines, -1);
        bv_counter_add(BV_COUNT_LOG_DROPPED, 1);
        g_free(line);
    }
}

void
bv_log(bv_log_level_t level, const char *event, ...)
{
    if (!g_atomic_int_get(&logger.is_running) ||
        level < logger.minimum_level) {
        return;
    }
    va_list pairs;
    va_start(pairs, event);
    char *line = format_line(level, event, pairs);
    va_end(pairs);
    push_line(line);
}

/* Has SIGALRM end the process if it still runs after the time limit. */
static void
limit_process_time(void)
{
    const struct itimerval limit = {
        .it_value.tv_usec = BV_LOG_LAST_LIMIT_MS * BV_US_PER_MS,
    };
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGALRM);
    signal(SIGALRM, SIG_DFL);
    pthread_sigmask(SIG_UNBLOCK, &signals, NULL);
    setitimer(ITIMER_REAL, &limit, NULL);
}

static void
write_line(const char *line, size_t length)
{
    struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (poll(&output, 1, BV_LOG_LAST_LIMIT_MS / 2) > 0) {
        ssize_t written = write(STDOUT_FILENO, line, length);
        (void)written;
    }
}

static void
wait_until_written(void)
{
    for (int waited_ms = 0; waited_ms < BV_LOG_LAST_LIMIT_MS &&
                            g_atomic_int_get(&logger.unwritten_lines) > 0;
         waited_ms += LAST_POLL_MS) {
        usleep(LAST_POLL_MS * BV_US_PER_MS);
    }
}

/* Formats a line without allocating memory; returns its length. */
static size_t
format_last(char line[LAST_LINE_BYTES], bv_log_level_t level,
            const char *event, va_list pairs)
{
    /* Leaves room for the end of the line. */
    const size_t limit = LAST_LINE_BYTES - 1;
    size_t length = (size_t)snprintf(
        line, limit,
        "time_us=%" G_GINT64_FORMAT " level=%s program=%s name=%s"
        " event=%s",
        (gint64)bv_clock_wall_us(), level_names[level], logger.program,
        logger.name, event);
    const char *key = va_arg(pairs, const char *);
    while (key != NULL && length < limit) {
        const char *value = va_arg(pairs, const char *);
        length += (size_t)snprintf(line + length, limit - length, " %s=%s",
                                   key, value);
        key = va_arg(pairs, const char *);
    }
    length = MIN(length, limit - 1);
    line[length] = '\n';
    line[length + 1] = '\0';
    return length + 1;
}

/*
 * The thread that the program waits for may hold the lock of the allocator, as
 * the leak check of the address sanitizer does. Only the logger's thread,
 * which runs before the exit handlers, needs a line that is allocated.
 */
void
bv_log_last(bv_log_level_t level, const char *event, ...)
{
    char line[LAST_LINE_BYTES];
    bool has_writer = g_atomic_int_get(&logger.is_running) &&
                      !g_atomic_int_get(&logger.is_stopping);
    va_list pairs;
    va_start(pairs, event);
    size_t length = format_last(line, level, event, pairs);
    va_end(pairs);
    if (has_writer) {
        push_line(g_strdup(line));
        wait_until_written();
        return;
    }
    limit_process_time();
    write_line(line, length);
}
