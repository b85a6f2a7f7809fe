#ifndef BERYLVANE_COMMON_SHUTDOWN_H
#define BERYLVANE_COMMON_SHUTDOWN_H

#include "berylvane/common/program.h"

#include <stdint.h>

/*
 * shutdown - bounds each wait between the end of a node's work and its exit
 *
 * A thread, the guard, watches the wait that the program is in. If the wait
 * exceeds its bound, the guard logs `shutdown_wait_exceeded` with the name of
 * the wait and ends the process with status BV_EXIT_SHUTDOWN plus the number
 * of the wait; the status also tells the wait when the log cannot be written.
 * Guards against joins and library calls that have no time-out of their own.
 *
 * The guard counts its own wake-ups instead of reading a clock, so that time
 * in which the whole process was paused or got no processor does not count.
 */
typedef enum {
    /* The signal thread runs the handler. */
    BV_SHUTDOWN_SIGNALS,
    /* Open calls of callers and operators are answered. */
    BV_SHUTDOWN_LISTENERS,
    /* The thread of the operator listener ends. */
    BV_SHUTDOWN_OPERATORS,
    /* The thread that receives gossip ends. */
    BV_SHUTDOWN_GOSSIP,
    /* Requests to the local target are cancelled. */
    BV_SHUTDOWN_TARGET,
    /* The thread of the platform store's client ends. */
    BV_SHUTDOWN_STORE,
    /* The threads that export spans to the collector end. */
    BV_SHUTDOWN_COLLECTOR,
    /* The sockets to the peers and the threads of ZeroMQ end. */
    BV_SHUTDOWN_PEERS,
    /* Events that are left are handled, and the state is freed. */
    BV_SHUTDOWN_STATE,
    /* The queued log lines are written. */
    BV_SHUTDOWN_LOG,
    /* The exit handlers of the libraries run. */
    BV_SHUTDOWN_EXIT,
    BV_SHUTDOWN_END,
} bv_shutdown_wait_t;

/* Starts the guard. Call once, before the first bv_shutdown_begin(). */
void bv_shutdown_start(apr_pool_t *pool);

/*
 * Marks the start of a wait, which ends the one before. Waits start in the
 * order of their numbers; the last one ends with the process.
 */
void bv_shutdown_begin(bv_shutdown_wait_t wait);

/* Returns the exit status of a program whose wait has reached its bound. */
int bv_shutdown_status(bv_shutdown_wait_t wait);

/* Returns the name of the wait in the log, such as "peers". */
const char *bv_shutdown_name(bv_shutdown_wait_t wait);

/* Returns the bound of a wait. */
uint32_t bv_shutdown_bound_ms(bv_shutdown_wait_t wait);

#endif
