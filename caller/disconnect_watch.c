#include "berylvane/caller/disconnect_watch.h"

#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_AT_ONCE 64
#define WAIT_MS 200

struct bv_disconnect_watch {
    bv_disconnect_watch_options_t options;
    apr_pool_t *pool;
    apr_thread_t *thread;
    apr_thread_mutex_t *mutex;
    int epoll_fd;
    /* Connections by socket. */
    GHashTable *connections;
    gint stopping;
};

typedef struct {
    /* The call that waits for its answer; 0 for none. */
    uint64_t tag;
    bool gone;
} connection_t;

static connection_t *
find(const bv_disconnect_watch_t *watch, int fd)
{
    return g_hash_table_lookup(watch->connections, GINT_TO_POINTER(fd));
}

static void
tell(const bv_disconnect_watch_t *watch, connection_t *connection)
{
    uint64_t tag = connection->tag;
    connection->tag = 0;
    if (tag != 0) {
        watch->options.on_disconnect(watch->options.context, tag);
    }
}

static void
notice(bv_disconnect_watch_t *watch, int fd)
{
    apr_thread_mutex_lock(watch->mutex);
    connection_t *connection = find(watch, fd);
    if (connection != NULL) {
        connection->gone = true;
        tell(watch, connection);
    }
    apr_thread_mutex_unlock(watch->mutex);
}

static void
wait_once(bv_disconnect_watch_t *watch, int wait_ms)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    int count = epoll_wait(watch->epoll_fd, events, EVENTS_AT_ONCE, wait_ms);
    for (int i = 0; i < count; i++) {
        notice(watch, events[i].data.fd);
    }
}

static void *APR_THREAD_FUNC
watch_run(apr_thread_t *thread, void *data)
{
    (void)thread;
    bv_disconnect_watch_t *watch = data;
    while (!g_atomic_int_get(&watch->stopping)) {
        wait_once(watch, WAIT_MS);
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
    wait_once(watch, 0);
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
        apr_thread_create(&watch->thread, NULL, watch_run, watch, watch->pool);
    }
    return watch;
}

void
bv_disconnect_watch_stop(bv_disconnect_watch_t *watch)
{
    if (!watch->options.is_threadless) {
        apr_status_t result;
        g_atomic_int_set(&watch->stopping, 1);
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

/* The socket leaves the epoll set by being closed. */
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
    connection_t *connection = find(watch, fd);
    if (connection != NULL) {
        connection->tag = tag;
        if (connection->gone) {
            tell(watch, connection);
        }
    }
    apr_thread_mutex_unlock(watch->mutex);
}

void
bv_disconnect_watch_remove(bv_disconnect_watch_t *watch, int fd)
{
    apr_thread_mutex_lock(watch->mutex);
    connection_t *connection = find(watch, fd);
    if (connection != NULL) {
        connection->tag = 0;
    }
    apr_thread_mutex_unlock(watch->mutex);
}
