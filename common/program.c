#include "berylvane/common/program.h"

#include <apr_general.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>
#include <stdlib.h>

/*
 * The handler of bv_program_set_signal_handler(). `on_signal` is NULL while no
 * handler is set.
 */
static struct {
    apr_thread_mutex_t *mutex;
    void (*on_signal)(void *context, int number);
    void *context;
} signal_handler;

static sigset_t
handled_signals(void)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

apr_pool_t *
bv_program_start(void)
{
    apr_pool_t *pool;
    sigset_t signals = handled_signals();
    signal(SIGPIPE, SIG_IGN);
    sigprocmask(SIG_BLOCK, &signals, NULL);
    if (apr_initialize() != APR_SUCCESS || sodium_init() < 0 ||
        curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
        abort();
    }
    apr_pool_create(&pool, NULL);
    return pool;
}

int
bv_program_wait_signal(void)
{
    int number;
    sigset_t signals = handled_signals();
    sigwait(&signals, &number);
    return number;
}

static void *APR_THREAD_FUNC
run_signal_thread(apr_thread_t *thread, void *data)
{
    (void)thread;
    (void)data;
    for (;;) {
        int number = bv_program_wait_signal();
        apr_thread_mutex_lock(signal_handler.mutex);
        if (signal_handler.on_signal != NULL) {
            signal_handler.on_signal(signal_handler.context, number);
        }
        apr_thread_mutex_unlock(signal_handler.mutex);
    }
    return NULL;
}

void
bv_program_set_signal_handler(apr_pool_t *pool,
                              void (*on_signal)(void *context, int number),
                              void *context)
{
    apr_thread_t *thread;
    apr_threadattr_t *attributes;
    apr_thread_mutex_create(&signal_handler.mutex, APR_THREAD_MUTEX_DEFAULT,
                            pool);
    signal_handler.on_signal = on_signal;
    signal_handler.context = context;
    apr_threadattr_create(&attributes, pool);
    apr_threadattr_detach_set(attributes, 1);
    apr_thread_create(&thread, attributes, run_signal_thread, NULL, pool);
}

void
bv_program_unset_signal_handler(void)
{
    apr_thread_mutex_lock(signal_handler.mutex);
    signal_handler.on_signal = NULL;
    apr_thread_mutex_unlock(signal_handler.mutex);
}

void
bv_program_stop(apr_pool_t *pool)
{
    apr_pool_destroy(pool);
    curl_global_cleanup();
    apr_terminate();
}
