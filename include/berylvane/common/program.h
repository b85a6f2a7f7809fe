#ifndef BERYLVANE_COMMON_PROGRAM_H
#define BERYLVANE_COMMON_PROGRAM_H

#include <apr_pools.h>
#include <signal.h>

/*
 * program - what every program does when it starts and ends
 */
#define BV_VERSION "0.1.0"

#define BV_EXIT_OK 0
#define BV_EXIT_FAILED 1
#define BV_EXIT_USAGE 2

/*
 * Initialises the libraries, ignores SIGPIPE and blocks SIGTERM, SIGINT and
 * SIGHUP in this and all later threads, for bv_program_wait_signal(). Returns
 * the program's pool.
 */
apr_pool_t *bv_program_start(void);

/* Waits for SIGTERM, SIGINT or SIGHUP; returns its number. */
int bv_program_wait_signal(void);

/*
 * Calls `on_signal` on a thread of its own at each SIGTERM, SIGINT or SIGHUP,
 * with the signal's number.
 */
void bv_program_set_signal_handler(apr_pool_t *pool,
                                   void (*on_signal)(void *context,
                                                     int number),
                                   void *context);

/* Ends the calls of `on_signal`; call before its context goes away. */
void bv_program_unset_signal_handler(void);

/* Releases what bv_program_start() took. */
void bv_program_stop(apr_pool_t *pool);

#endif
