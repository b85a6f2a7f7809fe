#ifndef BERYLVANE_COMMON_LOG_H
#define BERYLVANE_COMMON_LOG_H

#include <glib.h>

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
 * Writes the queued lines and stops the logger's thread. Lines are dropped if
 * standard output is a pipe that is full and is not read.
 */
void bv_log_stop(void);

/* Parses debug, info, warn or error; returns -1 for any other text. */
int bv_log_level_parse(const char *text);

/*
 * Logs `event` with pairs of strings (key, value), ended by NULL. BV_NUM()
 * makes a string of an integer. Does nothing while the logger is not running.
 */
void bv_log(bv_log_level_t level, const char *event,
            ...) G_GNUC_NULL_TERMINATED;

/*
 * Formats an integer. The text is in a buffer of the enclosing block and is
 * valid until the block ends.
 */
#define BV_NUM(value) bv_log_number((char[24]){0}, (value))
char *bv_log_number(char *buffer, gint64 value);

#endif
