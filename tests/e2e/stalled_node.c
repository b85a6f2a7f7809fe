#include "berylvane/collector/exporter.h"
#include "berylvane/common/log.h"
#include "berylvane/common/program.h"
#include "berylvane/common/ring.h"
#include "berylvane/node/memory.h"
#include "berylvane/node/node.h"
#include "berylvane/operator/listener.h"
#include "berylvane/peer/gossip.h"
#include "berylvane/platform/store.h"
#include "berylvane/targets/client.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Part of berylvane-node-stalled, a node in which one wait after the end of
 * its work never ends: the wait that the environment variable
 * BERYLVANE_STALLED_WAIT names. The linker redirects the calls of the
 * functions below (--wrap), so that all else is the code of berylvane-node.
 *
 * The name "full ring" stalls no wait: a second SIGTERM arrives when the event
 * loop has ended and the ring of events is full.
 */
#define STALLED_WAIT "BERYLVANE_STALLED_WAIT"
#define FULL_RING "full ring"
/* Time for the signal thread to handle a signal. */
#define SIGNAL_PAUSE_US 300000

static gint is_ring_full;

#define WRAPPED(result, name, ...)                                            \
    result __real_##name(__VA_ARGS__);                                        \
    result __wrap_##name(__VA_ARGS__);                                        \
    result __wrap_##name(__VA_ARGS__)

static bool
is_stalled(const char *wait)
{
    const char *stalled_wait = getenv(STALLED_WAIT);
    return stalled_wait != NULL && strcmp(stalled_wait, wait) == 0;
}

static void
stall_if(const char *wait)
{
    while (is_stalled(wait)) {
        pause();
    }
}

WRAPPED(bool, bv_ring_push, bv_ring_t *ring, void *item)
{
    return !g_atomic_int_get(&is_ring_full) && __real_bv_ring_push(ring, item);
}

WRAPPED(void, bv_node_run, bv_node_t *node)
{
    __real_bv_node_run(node);
    if (is_stalled(FULL_RING)) {
        g_atomic_int_set(&is_ring_full, 1);
        kill(getpid(), SIGTERM);
        usleep(SIGNAL_PAUSE_US);
    }
}

WRAPPED(void, bv_program_unset_signal_handler, void)
{
    stall_if("signals");
    __real_bv_program_unset_signal_handler();
    g_atomic_int_set(&is_ring_full, 0);
}

/* As if an operator's request were never answered. */
WRAPPED(bool, bv_operator_listener_is_idle,
        const bv_operator_listener_t *listener)
{
    return !is_stalled("listeners") &&
           __real_bv_operator_listener_is_idle(listener);
}

WRAPPED(void, bv_operator_listener_stop, bv_operator_listener_t *listener)
{
    stall_if("operators");
    __real_bv_operator_listener_stop(listener);
}

WRAPPED(void, bv_gossip_stop, bv_gossip_t *gossip)
{
    stall_if("gossip");
    __real_bv_gossip_stop(gossip);
}

WRAPPED(void, bv_target_client_stop, bv_target_client_t *client)
{
    stall_if("target");
    __real_bv_target_client_stop(client);
}

WRAPPED(void, bv_store_stop, bv_store_t *store)
{
    stall_if("store");
    __real_bv_store_stop(store);
}

WRAPPED(void, bv_exporter_stop, bv_exporter_t *exporter)
{
    stall_if("collector");
    __real_bv_exporter_stop(exporter);
}

WRAPPED(int, zmq_ctx_term, void *context)
{
    stall_if("peers");
    return __real_zmq_ctx_term(context);
}

WRAPPED(void, bv_memory_destroy, bv_node_t *node)
{
    stall_if("state");
    __real_bv_memory_destroy(node);
}

static void
stall_exit(void)
{
    stall_if("exit");
}

WRAPPED(bool, bv_log_stop, void)
{
    stall_if("log");
    atexit(stall_exit);
    return __real_bv_log_stop();
}
