#include "berylvane/caller/listener.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "connection.h"

#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_LIMIT 10000
#define EVENTS_AT_ONCE 64
#define ACCEPTS_AT_ONCE 64
/* Interval at which connections are checked for their time limits. */
#define SWEEP_US (BV_US_PER_S / 2)
/* The same while reading pauses for lack of memory. */
#define SHORT_SWEEP_US (BV_US_PER_S / 20)
/*
 * Time after which an idle connection may be closed for a new one: after its
 * last response, and without any request so far.
 */
#define IDLE_KEPT_US BV_US_PER_S
#define IDLE_NEW_US (BV_US_PER_S / 5)

struct bv_listener {
    bv_listener_options_t options;
    bv_connection_options_t connection_options;
    bv_connection_limits_t limits;
    int epoll_fd;
    /* -1 once the listener accepts no more connections. */
    int socket_fd;
    bool is_accepting;
    /* A caller waits for another connection to be closed. */
    bool needs_connection;
    /* Set of bv_connection_t pointers. */
    GHashTable *connections;
    int64_t sweep_due_us;
    gint is_closed;
    gint open_call_count;
    apr_pool_t *pool;
    apr_thread_mutex_t *mutex;
    /* Exchanges that were replied to or dropped; protected by the mutex. */
    GQueue replied;
    /* Used with a thread only. */
    apr_thread_t *thread;
    /* Bytes in the budget; changed atomically. */
    gsize held_bytes;
    int wake_fd;
    gint is_stopping;
};

/* Last tag that was used by any listener of the process. */
static gssize last_tag;

G_DEFINE_QUARK(bv - listener - error - quark, bv_listener_error)

static void
wake_thread(const bv_listener_t *listener)
{
    uint64_t increment = 1;
    ssize_t written = write(listener->wake_fd, &increment, sizeof(increment));
    (void)written;
}

static void
clear_wake(const bv_listener_t *listener)
{
    uint64_t count;
    ssize_t size = read(listener->wake_fd, &count, sizeof(count));
    (void)size;
}

static void
hand_back(bv_exchange_t *exchange)
{
    bv_listener_t *listener = exchange->listener;
    apr_thread_mutex_lock(listener->mutex);
    g_queue_push_tail(&listener->replied, exchange);
    apr_thread_mutex_unlock(listener->mutex);
    if (!listener->options.is_threadless) {
        wake_thread(listener);
    }
    g_atomic_int_add(&listener->open_call_count, -1);
}

void
bv_call_drop(bv_call_t *call)
{
    hand_back(bv_exchange_of(call));
}

void
bv_call_reply(bv_call_t *call, const bv_reply_t *reply)
{
    bv_exchange_t *exchange = bv_exchange_of(call);
    exchange->response = bv_response_build(exchange->listener->options.dialect,
                                           reply, call->method);
    hand_back(exchange);
}

static void
refuse_call(bv_call_t *call, bool is_closed)
{
    bv_reply_t reply = {
        .status = 503,
        .outcome = call->idempotency_key != NULL ? BV_OUTCOME_UNKNOWN
                                                 : BV_OUTCOME_NOT_RUN,
        .reason = is_closed ? BV_REASON_DRAINING : BV_REASON_RING_FULL,
        .retry_after_us = BV_US_PER_S,
        .closes_connection = is_closed,
    };
    bv_counter_add(BV_COUNT_RING_FULL, !is_closed);
    bv_call_reply(call, &reply);
}

static void
pass_on(void *context, bv_exchange_t *exchange)
{
    bv_listener_t *listener = context;
    bv_call_t *call = &exchange->call;
    if (listener->options.on_disconnect != NULL) {
        call->tag = (uint64_t)g_atomic_pointer_add(&last_tag, 1) + 1;
    }
    g_atomic_int_inc(&listener->open_call_count);
    bool is_closed = g_atomic_int_get(&listener->is_closed);
    if (is_closed ||
        !listener->options.on_call(listener->options.context, call)) {
        refuse_call(call, is_closed);
    }
}

static uint16_t
check_call_head(void *context, const bv_call_t *call)
{
    const bv_listener_t *listener = context;
    const bv_listener_options_t *options = &listener->options;
    return options->check_head != NULL
               ? options->check_head(options->context, call)
               : 0;
}

static bool
may_run_ahead(void *context, const bv_call_t *call)
{
    const bv_listener_t *listener = context;
    const bv_listener_options_t *options = &listener->options;
    return options->may_run_ahead != NULL &&
           !g_atomic_int_get(&listener->is_closed) &&
           options->may_run_ahead(options->context, call);
}

static void
on_disconnect(void *context, uint64_t tag)
{
    const bv_listener_t *listener = context;
    listener->options.on_disconnect(listener->options.context, tag);
}

void
bv_listener_set_limits(bv_listener_t *listener,
                       const bv_listener_limits_t *limits)
{
    bv_connection_limits_set(&listener->limits, limits);
}

static void
watch_socket(bv_listener_t *listener, int operation, uint32_t events)
{
    struct epoll_event event = {.events = events,
                                .data.ptr = &listener->socket_fd};
    listener->is_accepting = events != 0;
    epoll_ctl(listener->epoll_fd, operation, listener->socket_fd, &event);
}

static void
add_connection(bv_listener_t *listener, int fd, int64_t now_us)
{
    int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    g_hash_table_add(
        listener->connections,
        bv_connection_create(&listener->connection_options, fd, now_us));
}

static void
remove_connection(bv_listener_t *listener, bv_connection_t *connection)
{
    g_hash_table_remove(listener->connections, connection);
    bv_connection_destroy(connection);
}

static bool
is_full(const bv_listener_t *listener)
{
    uint32_t limit = listener->options.connections_limit;
    return g_hash_table_size(listener->connections) >=
           (limit > 0 ? limit : CONNECTIONS_LIMIT);
}

/*
 * While no descriptor or memory is left, accepting pauses until the next
 * sweep; the waiting connections would otherwise wake the listener at once.
 */
static void
accept_connections(bv_listener_t *listener, int64_t now_us)
{
    for (int i = 0; i < ACCEPTS_AT_ONCE; i++) {
        if (is_full(listener)) {
            listener->needs_connection = true;
            listener->sweep_due_us =
                MIN(listener->sweep_due_us, now_us + SHORT_SWEEP_US);
            watch_socket(listener, EPOLL_CTL_MOD, 0);
            return;
        }
        int fd = accept4(listener->socket_fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            add_connection(listener, fd, now_us);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
            errno == ENOMEM) {
            watch_socket(listener, EPOLL_CTL_MOD, 0);
            return;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return;
        }
    }
}

static void
handle_event(bv_listener_t *listener, const struct epoll_event *event,
             int64_t now_us)
{
    if (event->data.ptr == &listener->socket_fd) {
        accept_connections(listener, now_us);
        return;
    }
    if (event->data.ptr == &listener->wake_fd) {
        clear_wake(listener);
        return;
    }
    bv_connection_t *connection = event->data.ptr;
    if (!bv_connection_handle_events(connection, now_us, event->events)) {
        remove_connection(listener, connection);
    }
}

static bv_exchange_t *
pop_replied(bv_listener_t *listener)
{
    apr_thread_mutex_lock(listener->mutex);
    bv_exchange_t *exchange = g_queue_pop_head(&listener->replied);
    apr_thread_mutex_unlock(listener->mutex);
    return exchange;
}

static void
handle_replies(bv_listener_t *listener, int64_t now_us)
{
    bv_exchange_t *exchange;
    while ((exchange = pop_replied(listener)) != NULL) {
        bv_connection_t *connection = exchange->connection;
        if (connection == NULL) {
            bv_exchange_destroy(exchange);
        }
        else if (!bv_connection_reply(connection, now_us, exchange)) {
            remove_connection(listener, connection);
        }
    }
}

static void
close_overdue(bv_listener_t *listener, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer key;
    GPtrArray *overdue = g_ptr_array_new();
    g_hash_table_iter_init(&iterator, listener->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (bv_connection_due_us(key) <= now_us) {
            g_ptr_array_add(overdue, key);
        }
    }
    for (guint i = 0; i < overdue->len; i++) {
        remove_connection(listener, overdue->pdata[i]);
    }
    g_ptr_array_unref(overdue);
}

typedef struct {
    bv_connection_t *connection;
    int64_t idle_since_us;
} idle_connection_t;

static gint
compare_idle(gconstpointer left, gconstpointer right)
{
    const idle_connection_t *a = left;
    const idle_connection_t *b = right;
    return a->idle_since_us < b->idle_since_us
               ? -1
               : a->idle_since_us > b->idle_since_us;
}

static GArray *
list_idle(const bv_listener_t *listener, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer key;
    GArray *idle = g_array_new(FALSE, FALSE, sizeof(idle_connection_t));
    g_hash_table_iter_init(&iterator, listener->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        idle_connection_t item = {key,
                                  bv_connection_idle_since_us(key, now_us)};
        int64_t least_us =
            bv_connection_is_new(key) ? IDLE_NEW_US : IDLE_KEPT_US;
        if (item.idle_since_us <= now_us - least_us) {
            g_array_append_val(idle, item);
        }
    }
    return idle;
}

/* Makes room for new callers: closes those that were idle for longest. */
static void
close_idle(bv_listener_t *listener, int64_t now_us)
{
    GArray *idle = list_idle(listener, now_us);
    guint count = MIN(idle->len, ACCEPTS_AT_ONCE);
    g_array_sort(idle, compare_idle);
    for (guint i = 0; i < count; i++) {
        remove_connection(
            listener, g_array_index(idle, idle_connection_t, i).connection);
    }
    if (count > 0) {
        bv_counter_add(BV_COUNT_CONNECTIONS_CLOSED_DESCRIPTORS, count);
        bv_log(BV_LOG_WARN, "connections_closed", "reason", "descriptors",
               "count", BV_NUM(count), NULL);
    }
    g_array_unref(idle);
}

static bool
is_memory_short(const bv_listener_t *listener)
{
    const bv_memory_budget_t *budget = listener->options.budget;
    return budget != NULL &&
           bv_memory_budget_level(budget) >= BV_BYTES_PAUSING;
}

static void
resume_all(const bv_listener_t *listener, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, listener->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        bv_connection_resume(key, now_us);
    }
}

static void
sweep(bv_listener_t *listener, int64_t now_us)
{
    bool is_short = is_memory_short(listener);
    listener->sweep_due_us = now_us + (is_short ? SHORT_SWEEP_US : SWEEP_US);
    close_overdue(listener, now_us);
    if (listener->needs_connection) {
        listener->needs_connection = false;
        close_idle(listener, now_us);
    }
    if (listener->options.budget != NULL) {
        resume_all(listener, now_us);
    }
    if (listener->socket_fd >= 0 && !listener->is_accepting) {
        watch_socket(listener, EPOLL_CTL_MOD, EPOLLIN);
    }
}

void
bv_listener_run_due(bv_listener_t *listener)
{
    int64_t now_us = bv_clock_now_us();
    handle_replies(listener, now_us);
    if (now_us >= listener->sweep_due_us) {
        sweep(listener, now_us);
    }
}

static void
handle_events(bv_listener_t *listener, int timeout_ms)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    int count =
        epoll_wait(listener->epoll_fd, events, EVENTS_AT_ONCE, timeout_ms);
    int64_t now_us = bv_clock_now_us();
    for (int i = 0; i < count; i++) {
        handle_event(listener, &events[i], now_us);
    }
}

void
bv_listener_run(bv_listener_t *listener)
{
    handle_events(listener, 0);
    bv_listener_run_due(listener);
}

static void
publish_held_bytes(bv_listener_t *listener)
{
    const bv_memory_budget_t *budget = listener->options.budget;
    if (budget != NULL) {
        g_atomic_pointer_set(&listener->held_bytes,
                             (gsize)bv_memory_budget_used(budget));
    }
}

size_t
bv_listener_held_bytes(const bv_listener_t *listener)
{
    /* GLib's atomic access takes no constant pointer. */
    return (size_t)g_atomic_pointer_get((gsize *)&listener->held_bytes);
}

static void *APR_THREAD_FUNC
run_thread(apr_thread_t *thread, void *data)
{
    bv_listener_t *listener = data;
    (void)thread;
    while (!g_atomic_int_get(&listener->is_stopping)) {
        handle_events(listener, SWEEP_US / BV_US_PER_MS);
        bv_listener_run_due(listener);
        publish_held_bytes(listener);
    }
    return NULL;
}

int
bv_listener_fd(const bv_listener_t *listener)
{
    return listener->epoll_fd;
}

int64_t
bv_listener_due_us(const bv_listener_t *listener)
{
    if (listener->replied.length > 0) {
        return 0;
    }
    bool has_timers = g_hash_table_size(listener->connections) > 0 ||
                      !listener->is_accepting;
    return has_timers ? listener->sweep_due_us : INT64_MAX;
}

static int
open_socket(const bv_listener_options_t *options)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(options->port)};
    int enabled = 1;
    if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1) {
        errno = EINVAL;
        return -1;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, SOMAXCONN) != 0) {
        int problem = errno;
        close(fd);
        errno = problem;
        return -1;
    }
    return fd;
}

static void
start_thread(bv_listener_t *listener)
{
    struct epoll_event event = {.events = EPOLLIN,
                                .data.ptr = &listener->wake_fd};
    listener->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    epoll_ctl(listener->epoll_fd, EPOLL_CTL_ADD, listener->wake_fd, &event);
    apr_thread_create(&listener->thread, NULL, run_thread, listener,
                      listener->pool);
}

bv_listener_t *
bv_listener_start(const bv_listener_options_t *options, GError **error)
{
    int fd = open_socket(options);
    if (fd < 0) {
        g_set_error(error, BV_LISTENER_ERROR, 0, "cannot listen on %s:%u: %s",
                    options->address, options->port, g_strerror(errno));
        return NULL;
    }
    bv_listener_t *listener = g_new0(bv_listener_t, 1);
    listener->options = *options;
    if (options->dialect == NULL) {
        listener->options.dialect = &bv_caller_own_dialect;
    }
    bv_connection_limits_init(&listener->limits);
    bv_connection_limits_set(&listener->limits, &options->limits);
    listener->socket_fd = fd;
    listener->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    listener->connections = g_hash_table_new(g_direct_hash, g_direct_equal);
    g_queue_init(&listener->replied);
    apr_pool_create(&listener->pool, NULL);
    apr_thread_mutex_create(&listener->mutex, APR_THREAD_MUTEX_DEFAULT,
                            listener->pool);
    listener->connection_options = (bv_connection_options_t){
        .listener = listener,
        .dialect = listener->options.dialect,
        .role = options->role,
        .limits = &listener->limits,
        .budget = options->budget,
        .epoll_fd = listener->epoll_fd,
        .reports_disconnects = options->on_disconnect != NULL,
        .pass_on = pass_on,
        .check_head = check_call_head,
        .may_run_ahead = may_run_ahead,
        .on_disconnect = on_disconnect,
        .context = listener,
    };
    watch_socket(listener, EPOLL_CTL_ADD, EPOLLIN);
    if (!options->is_threadless) {
        start_thread(listener);
    }
    return listener;
}

uint32_t
bv_listener_relieve(bv_memory_budget_t *budget)
{
    uint32_t count = 0;
    int64_t now_us = bv_clock_now_us();
    bv_byte_holder_t *holder;
    while ((holder = bv_memory_budget_victim(budget, now_us)) != NULL) {
        bv_connection_t *connection = holder->owner;
        remove_connection(bv_connection_listener(connection), connection);
        count++;
    }
    bv_counter_add(BV_COUNT_CONNECTIONS_CLOSED_MEMORY, count);
    return count;
}

void
bv_listener_quiesce(bv_listener_t *listener)
{
    if (listener->socket_fd >= 0) {
        close(listener->socket_fd);
        listener->socket_fd = -1;
    }
}

void
bv_listener_close(bv_listener_t *listener)
{
    g_atomic_int_set(&listener->is_closed, 1);
}

bool
bv_listener_is_idle(const bv_listener_t *listener)
{
    return g_atomic_int_get(&listener->open_call_count) == 0;
}

bool
bv_listener_is_written(const bv_listener_t *listener)
{
    GHashTableIter iterator;
    gpointer key;
    if (listener->replied.length > 0) {
        return false;
    }
    g_hash_table_iter_init(&iterator, listener->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!bv_connection_is_written(key)) {
            return false;
        }
    }
    return true;
}

static void
stop_thread(bv_listener_t *listener)
{
    apr_status_t result;
    g_atomic_int_set(&listener->is_stopping, 1);
    wake_thread(listener);
    apr_thread_join(&result, listener->thread);
    close(listener->wake_fd);
}

void
bv_listener_stop(bv_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    if (!listener->options.is_threadless) {
        stop_thread(listener);
    }
    bv_listener_run_due(listener);
    GList *connections = g_hash_table_get_keys(listener->connections);
    g_list_free_full(connections, (GDestroyNotify)bv_connection_destroy);
    g_hash_table_destroy(listener->connections);
    bv_listener_quiesce(listener);
    close(listener->epoll_fd);
    apr_pool_destroy(listener->pool);
    g_free(listener);
}
