#include "berylvane/common/shutdown.h"

#include "berylvane/common/log.h"

#include <apr_thread_proc.h>
#include <glib.h>
#include <sys/syscall.h>
#include <unistd.h>

#define NO_WAIT (-1)
/* Interval at which the guard looks at the wait. */
#define TICK_MS 10
#define US_PER_MS 1000

/*
 * A sanitizer slows the program, and part of it runs in the last wait: the
 * leak check of the address sanitizer, and a pause of 1 s of the thread
 * sanitizer. The end-to-end tests give a node 20 s to exit.
 */
#if defined(__SANITIZE_THREAD__)
#define TICKS_FACTOR 6
#elif defined(__SANITIZE_ADDRESS__)
#define TICKS_FACTOR 3
#else
#define TICKS_FACTOR 1
#endif

/*
 * The platform kills a process some seconds after its grace time, so that all
 * bounds and BV_LOG_LAST_LIMIT_MS have to stay below 5 s together.
 */
#define SIGNALS_BOUND_MS 250
#define LISTENERS_BOUND_MS 500
#define OPERATORS_BOUND_MS 500
/* The thread looks for the stop every 200 ms. */
#define GOSSIP_BOUND_MS 500
#define TARGET_BOUND_MS 250
#define STORE_BOUND_MS 500
/* The exporter pauses for 250 ms after each batch. */
#define COLLECTOR_BOUND_MS 750
#define PEERS_BOUND_MS 500
#define STATE_BOUND_MS 250
/* The log writer gives up earlier: after BV_LOG_STOP_LIMIT_MS. */
#define LOG_BOUND_MS 500
#define EXIT_BOUND_MS 250
#define ALL_BOUNDS_MS                                                         \
    (SIGNALS_BOUND_MS + LISTENERS_BOUND_MS + OPERATORS_BOUND_MS +             \
     GOSSIP_BOUND_MS + TARGET_BOUND_MS + STORE_BOUND_MS +                     \
     COLLECTOR_BOUND_MS + PEERS_BOUND_MS + STATE_BOUND_MS + LOG_BOUND_MS +    \
     EXIT_BOUND_MS)
#define SHUTDOWN_LIMIT_MS 5000

G_STATIC_ASSERT(ALL_BOUNDS_MS + BV_LOG_LAST_LIMIT_MS < SHUTDOWN_LIMIT_MS);
G_STATIC_ASSERT(BV_LOG_STOP_LIMIT_MS < LOG_BOUND_MS);

typedef struct {
    const char *name;
    uint32_t bound_ms;
} wait_t;

static const wait_t waits[BV_SHUTDOWN_END] = {
    [BV_SHUTDOWN_SIGNALS] = {"signals", SIGNALS_BOUND_MS},
    [BV_SHUTDOWN_LISTENERS] = {"listeners", LISTENERS_BOUND_MS},
    [BV_SHUTDOWN_OPERATORS] = {"operators", OPERATORS_BOUND_MS},
    [BV_SHUTDOWN_GOSSIP] = {"gossip", GOSSIP_BOUND_MS},
    [BV_SHUTDOWN_TARGET] = {"target", TARGET_BOUND_MS},
    [BV_SHUTDOWN_STORE] = {"store", STORE_BOUND_MS},
    [BV_SHUTDOWN_COLLECTOR] = {"collector", COLLECTOR_BOUND_MS},
    [BV_SHUTDOWN_PEERS] = {"peers", PEERS_BOUND_MS},
    [BV_SHUTDOWN_STATE] = {"state", STATE_BOUND_MS},
    [BV_SHUTDOWN_LOG] = {"log", LOG_BOUND_MS},
    [BV_SHUTDOWN_EXIT] = {"exit", EXIT_BOUND_MS},
};

/* The wait that the program is in; read by the guard. */
static gint current_wait = NO_WAIT;

/*
 * Ends the process by the system call: _exit() of the thread sanitizer pauses
 * for longer than BV_LOG_LAST_LIMIT_MS.
 */
static void
end_process(bv_shutdown_wait_t wait)
{
    bv_log_last(BV_LOG_ERROR, "shutdown_wait_exceeded", "wait",
                waits[wait].name, "bound_ms", BV_NUM(waits[wait].bound_ms),
                NULL);
    syscall(SYS_exit_group, bv_shutdown_status(wait));
}

static void *APR_THREAD_FUNC
run_guard(apr_thread_t *thread, void *data)
{
    (void)thread;
    (void)data;
    gint watched = NO_WAIT;
    uint32_t ticks = 0;
    for (;;) {
        usleep(TICK_MS * US_PER_MS);
        gint wait = g_atomic_int_get(&current_wait);
        ticks = wait == watched ? ticks + 1 : 0;
        watched = wait;
        if (wait != NO_WAIT &&
            ticks * TICK_MS >= waits[wait].bound_ms * TICKS_FACTOR) {
            end_process((bv_shutdown_wait_t)wait);
        }
    }
    return NULL;
}

void
bv_shutdown_start(apr_pool_t *pool)
{
    apr_thread_t *thread;
    apr_threadattr_t *attributes;
    apr_threadattr_create(&attributes, pool);
    apr_threadattr_detach_set(attributes, 1);
    if (apr_thread_create(&thread, attributes, run_guard, NULL, pool) !=
        APR_SUCCESS) {
        bv_log(BV_LOG_WARN, "shutdown_unbounded", "error",
               "the guard thread was not created", NULL);
    }
}

void
bv_shutdown_begin(bv_shutdown_wait_t wait)
{
    g_atomic_int_set(&current_wait, (gint)wait);
}

int
bv_shutdown_status(bv_shutdown_wait_t wait)
{
    return BV_EXIT_SHUTDOWN + (int)wait;
}

const char *
bv_shutdown_name(bv_shutdown_wait_t wait)
{
    return waits[wait].name;
}

uint32_t
bv_shutdown_bound_ms(bv_shutdown_wait_t wait)
{
    return waits[wait].bound_ms;
}
