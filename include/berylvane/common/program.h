#ifndef BERYLVANE_COMMON_PROGRAM_H
#define BERYLVANE_COMMON_PROGRAM_H

#include <apr_pools.h>
#include <signal.h>

/*
 * program - start, end and signal handling that all programs share
 */
#define BV_VERSION "0.1.0"

#define BV_EXIT_OK 0
#define BV_EXIT_FAILED 1
#define BV_EXIT_USAGE 2
/* Plus the number of the wait that exceeded its bound; see shutdown.h. */
#define BV_EXIT_SHUTDOWN 16

/*
 * Initialises the libraries and ignores SIGPIPE. Blocks SIGTERM, SIGINT and
 * SIGHUP in this thread and all threads that it starts later, so that
 * bv_program_wait_signal() can receive them. Returns the program's root pool.
 * Aborts if a library cannot be initialised.
 */
apr_pool_t *bv_program_start(void);

/* Blocks until SIGTERM, SIGINT or SIGHUP arrives; returns its number. */
int bv_program_wait_signal(void);

/*
 * Starts a thread that calls `on_signal` with the signal's number for each
 * SIGTERM, SIGINT or SIGHUP.
 */
void bv_program_set_signal_handler(apr_pool_t *pool,
                                   void (*on_signal)(void *context,
                                                     int number),
                                   void *context);

/*
 * Removes the handler that bv_program_set_signal_handler() has set; later
 * SIGTERM, SIGINT and SIGHUP signals are ignored. Call before the handler's
 * context is freed: no call of the handler is running afterwards.
 */
void bv_program_unset_signal_handler(void);

/* Destroys the pool and shuts down the libraries. */
void bv_program_stop(apr_pool_t *pool);

#endif
