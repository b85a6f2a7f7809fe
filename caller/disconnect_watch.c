#include "berylvane/caller/disconnect_watch.h"

#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_AT_ONCE 64
/* Longest delay until the thread detects that it must stop. */
#define THREAD_WAIT_MS 200

struct bv_disconnect_watch {
    bv_disconnect_watch_options_t options;
    apr_pool_t *pool;
    apr_thread_t *thread;
    apr_thread_mutex_t *mutex;
    int epoll_fd;
    /* connection_t by socket. */
    GHashTable *connections;
    gint is_stopping;
};

typedef struct {
    /* Tag of the call whose reply is pending; 0 if there is none. */
    uint64_t tag;
    bool is_disconnected;
} connection_t;

static connection_t *
find_connection(const bv_disconnect_watch_t *watch, int fd)
{
    return g_hash_table_lookup(watch->connections, GINT_TO_POINTER(fd));
}

static void
report_disconnect(const bv_disconnect_watch_t *watch, connection_t *connection)
{
    uint64_t tag = connection->tag;
    connection->tag = 0;
    if (tag != 0) {
        watch->options.on_disconnect(watch->options.context, tag);
    }
}

static void
handle_disconnect(bv_disconnect_watch_t *watch, int fd)
{
    apr_thread_mutex_lock(watch->mutex);
    connection_t *connection = find_connection(watch, fd);
    if (connection != NULL) {
        connection->is_disconnected = true;
        report_disconnect(watch, connection);
    }
    apr_thread_mutex_unlock(watch->mutex);
}

static void
handle_events(bv_disconnect_watch_t *watch, int wait_ms)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    int count = epoll_wait(watch->epoll_fd, events, EVENTS_AT_ONCE, wait_ms);
    for (int i = 0; i < count; i++) {
        handle_disconnect(watch, events[i].data.fd);
    }
}

static void *APR_THREAD_FUNC
run_thread(apr_thread_t *thread, void *data)
{
    (void)thread;
    bv_disconnect_watch_t *watch = data;
    while (!g_atomic_int_get(&watch->is_stopping)) {
        handle_events(watch, THREAD_WAIT_MS);
    }
    return NULL;
}

int
bv_disconnect_watch_fd(const bv_disconnect_watch_t *watch)
{
    return watch->epoll_fd;
}

void
bv_disconnect_watch_run(bv_disconnect_watch_t *watch)
{
    handle_events(watch, 0);
}

bv_disconnect_watch_t *
bv_disconnect_watch_start(const bv_disconnect_watch_options_t *options)
{
    bv_disconnect_watch_t *watch = g_new0(bv_disconnect_watch_t, 1);
    watch->options = *options;
    apr_pool_create(&watch->pool, NULL);
    watch->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    watch->connections =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    apr_thread_mutex_create(&watch->mutex, APR_THREAD_MUTEX_DEFAULT,
                            watch->pool);
    if (!options->is_threadless) {
        apr_thread_create(&watch->thread, NULL, run_thread, watch,
                          watch->pool);
    }
    return watch;
}

void
bv_disconnect_watch_stop(bv_disconnect_watch_t *watch)
{
    if (!watch->options.is_threadless) {
        apr_status_t result;
        g_atomic_int_set(&watch->is_stopping, 1);
        apr_thread_join(&result, watch->thread);
    }
    close(watch->epoll_fd);
    g_hash_table_destroy(watch->connections);
    apr_pool_destroy(watch->pool);
    g_free(watch);
}

void
bv_disconnect_watch_open(bv_disconnect_watch_t *watch, int fd)
{
    struct epoll_event event = {.events = EPOLLRDHUP | EPOLLET, .data.fd = fd};
    apr_thread_mutex_lock(watch->mutex);
    g_hash_table_replace(watch->connections, GINT_TO_POINTER(fd),
                         g_new0(connection_t, 1));
    epoll_ctl(watch->epoll_fd, EPOLL_CTL_ADD, fd, &event);
    apr_thread_mutex_unlock(watch->mutex);
}

/* The kernel removes a socket from the epoll set when it closes the socket. */
void
bv_disconnect_watch_close(bv_disconnect_watch_t *watch, int fd)
{
    apr_thread_mutex_lock(watch->mutex);
    g_hash_table_remove(watch->connections, GINT_TO_POINTER(fd));
    apr_thread_mutex_unlock(watch->mutex);
}

void
bv_disconnect_watch_add(bv_disconnect_watch_t *watch, int fd, uint64_t tag)
{
    apr_thread_mutex_lock(watch->mutex);
    connection_t *connection = find_connection(watch, fd);
    if (connection != NULL) {
        connection->tag = tag;
        if (connection->is_disconnected) {
            report_disconnect(watch, connection);
        }
    }
    apr_thread_mutex_unlock(watch->mutex);
}

void
bv_disconnect_watch_remove(bv_disconnect_watch_t *watch, int fd)
{
    apr_thread_mutex_lock(watch->mutex);
    connection_t *connection = find_connection(watch, fd);
    if (connection != NULL) {
        connection->tag = 0;
    }
    apr_thread_mutex_unlock(watch->mutex);
}
