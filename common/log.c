#include "berylvane/common/log.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/ring.h"

#include <apr_thread_proc.h>
#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_RING_CAPACITY 4096
/* Pause after a write; lines logged during the pause share the next write. */
#define BATCH_PAUSE_US (BV_US_PER_S / 20)
#define BATCH_LIMIT_BYTES 32768
/*
 * Time-out of one wait for standard output to become writable. When the
 * program stops, the writer gives up after one time-out.
 */
#define OUTPUT_WAIT_MS 200

static struct {
    apr_pool_t *pool;
    bv_ring_t *ring;
    apr_thread_t *thread;
    char *program;
    char *name;
    bv_log_level_t minimum_level;
    /* Number of dropped lines that lines_dropped events have reported. */
    uint64_t reported_drops;
    gint is_stopping;
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
        if (g_atomic_int_get(&logger.is_stopping)) {
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

static void
append_queued_lines(GString *text, char *line)
{
    while (line != NULL) {
        g_string_append(text, line);
        g_free(line);
        line = text->len < BATCH_LIMIT_BYTES ? bv_ring_pop(logger.ring) : NULL;
    }
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
        append_queued_lines(text, line);
        if (!write_batch(text)) {
            drop_queued_lines();
            break;
        }
        g_string_truncate(text, 0);
        log_dropped_lines();
        if (!g_atomic_int_get(&logger.is_stopping)) {
            usleep(BATCH_PAUSE_US);
        }
    }
    g_string_free(text, TRUE);
    return NULL;
}

void
bv_log_start(const char *program, const char *name,
             bv_log_level_t minimum_level)
{
    apr_pool_create(&logger.pool, NULL);
    logger.program = g_strdup(program);
    logger.name = g_strdup(name);
    logger.minimum_level = minimum_level;
    g_atomic_int_set(&logger.is_stopping, 0);
    logger.ring = bv_ring_create(logger.pool, LOG_RING_CAPACITY);
    apr_thread_create(&logger.thread, NULL, logger_run, NULL, logger.pool);
}

void
bv_log_stop(void)
{
    if (logger.ring == NULL) {
        return;
    }
    g_atomic_int_set(&logger.is_stopping, 1);
    bv_ring_wake_consumer(logger.ring);
    apr_status_t result;
    apr_thread_join(&result, logger.thread);
    logger.ring = NULL;
    g_free(logger.program);
    g_free(logger.name);
    apr_pool_destroy(logger.pool);
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

void
bv_log(bv_log_level_t level, const char *event, ...)
{
    if (logger.ring == NULL || level < logger.minimum_level) {
        return;
    }
    GString *line = g_string_sized_new(160);
    g_string_append_printf(line, "time_us=%" G_GINT64_FORMAT " level=%s",
                           (gint64)bv_clock_wall_us(), level_names[level]);
    append_pair(line, "program", logger.program);
    append_pair(line, "name", logger.name);
    append_pair(line, "event", event);
    va_list pairs;
    va_start(pairs, event);
    for (;;) {
        const char *key = va_arg(pairs, const char *);
        if (key == NULL) {
            break;
        }
        append_pair(line, key, va_arg(pairs, const char *));
    }
    va_end(pairs);
    g_string_append_c(line, '\n');
    char *text = g_string_free(line, FALSE);
    if (!bv_ring_push(logger.ring, text)) {
        bv_counter_add(BV_COUNT_LOG_DROPPED, 1);
        g_free(text);
    }
}
