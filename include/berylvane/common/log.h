#ifndef BERYLVANE_COMMON_LOG_H
#define BERYLVANE_COMMON_LOG_H

#include <glib.h>
#include <stdbool.h>

/*
 * log - one line of key=value pairs on standard output for each event
 *
 * The calling thread formats a line; the logger's thread writes it. If the
 * ring between the two threads is full, the line is dropped and counted
 * (log_dropped).
 * Values that are empty or hold blanks, quotes, backslashes, "=" or control
 * characters are quoted and escaped as in C.
 */
typedef enum {
    BV_LOG_DEBUG,
    BV_LOG_INFO,
    BV_LOG_WARN,
    BV_LOG_ERROR,
} bv_log_level_t;

/*
 * Starts the logger. `program` and `name` are part of every line; events below
 * the level `minimum_level` are not logged.
 */
void bv_log_start(const char *program, const char *name,
                  bv_log_level_t minimum_level);

/*
 * Time for the queued lines when the logger stops, if standard output is a
 * pipe whose reader is slow or does not read.
 */
#define BV_LOG_STOP_LIMIT_MS 300
/* Longest wait of bv_log_last() for the output. */
#define BV_LOG_LAST_LIMIT_MS 200

/*
 * Writes the queued lines and stops the logger's thread. Returns false if
 * lines were dropped since standard output did not take them in time.
 */
bool bv_log_stop(void);

/* Parses debug, info, warn or error; returns -1 for any other text. */
int bv_log_level_parse(const char *text);

/*
 * Logs `event` with pairs of strings (key, value), ended by NULL. BV_NUM()
 * makes a string of an integer. Does nothing while the logger is not running.
 */
void bv_log(bv_log_level_t level, const char *event,
            ...) G_GNUC_NULL_TERMINATED;

/*
 * Logs an event as bv_log() does, for a process that ends at once afterwards:
 * waits until the line is written, or writes it itself if the logger has
 * stopped. If the output takes no line within BV_LOG_LAST_LIMIT_MS, the line
 * is lost; if a write blocks for longer, SIGALRM ends the process. Values are
 * not quoted.
 */
void bv_log_last(bv_log_level_t level, const char *event,
                 ...) G_GNUC_NULL_TERMINATED;

/*
 * Formats an integer. The text is in a buffer of the enclosing block and is
 * valid until the block ends.
 */
#define BV_NUM(value) bv_log_number((char[24]){0}, (value))
char *bv_log_number(char *buffer, gint64 value);

#endif
