#include "berylvane/common/http_poll.h"

#include "berylvane/common/clock.h"

#include <glib.h>
#include <sys/epoll.h>
#include <unistd.h>

#define EVENTS_PER_WAIT 64
/*
 * Marks a socket that libcurl keeps open but does not wait for. The bit is not
 * an epoll flag.
 */
#define IDLE_FLAG (1U << 20)

struct bv_http_poll {
    CURLM *multi;
    int epoll_fd;
    int wake_fd;
    /* Maps a socket to its epoll events, with IDLE_FLAG for idle sockets. */
    GHashTable *sockets;
    /* Time of libcurl's next timer; -1 if there is none. */
    int64_t next_timer_us;
};

static void
watch_socket(bv_http_poll_t *poll, curl_socket_t fd, uint32_t events)
{
    gpointer old_events;
    bool is_registered = g_hash_table_lookup_extended(
        poll->sockets, GINT_TO_POINTER(fd), NULL, &old_events);
    if (!is_registered ||
        (GPOINTER_TO_UINT(old_events) & ~IDLE_FLAG) != events) {
        struct epoll_event event = {.events = events, .data.fd = fd};
        epoll_ctl(poll->epoll_fd,
                  is_registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
    }
    g_hash_table_insert(poll->sockets, GINT_TO_POINTER(fd),
                        GUINT_TO_POINTER(events));
}

static void
remove_socket(bv_http_poll_t *poll, curl_socket_t fd)
{
    if (g_hash_table_remove(poll->sockets, GINT_TO_POINTER(fd))) {
        epoll_ctl(poll->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
    }
}

/*
 * The socket stays in the epoll set, since libcurl may soon reuse the
 * connection.
 */
static void
mark_socket_idle(bv_http_poll_t *poll, curl_socket_t fd)
{
    gpointer events;
    if (g_hash_table_lookup_extended(poll->sockets, GINT_TO_POINTER(fd), NULL,
                                     &events)) {
        g_hash_table_insert(
            poll->sockets, GINT_TO_POINTER(fd),
            GUINT_TO_POINTER(GPOINTER_TO_UINT(events) | IDLE_FLAG));
    }
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *context, void *socket)
{
    (void)easy;
    (void)socket;
    if (what == CURL_POLL_REMOVE) {
        mark_socket_idle(context, fd);
        return 0;
    }
    bool wants_write = (what & CURL_POLL_OUT) != 0;
    watch_socket(context, fd, wants_write ? EPOLLIN | EPOLLOUT : EPOLLIN);
    return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *context)
{
    (void)multi;
    bv_http_poll_t *poll = context;
    poll->next_timer_us =
        timeout_ms < 0 ? -1 : bv_clock_now_us() + timeout_ms * BV_US_PER_MS;
    return 0;
}

static int
on_close(void *context, curl_socket_t fd)
{
    remove_socket(context, fd);
    return close(fd);
}

void
bv_http_poll_attach(bv_http_poll_t *poll, CURL *easy)
{
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, poll);
}

bv_http_poll_t *
bv_http_poll_create(apr_pool_t *pool, CURLM *multi, int wake_fd)
{
    bv_http_poll_t *poll = apr_pcalloc(pool, sizeof(*poll));
    poll->multi = multi;
    poll->wake_fd = wake_fd;
    poll->next_timer_us = -1;
    poll->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    poll->sockets = g_hash_table_new(g_direct_hash, g_direct_equal);
    struct epoll_event event = {.events = EPOLLIN, .data.fd = wake_fd};
    epoll_ctl(poll->epoll_fd, EPOLL_CTL_ADD, wake_fd, &event);
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, poll);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, poll);
    return poll;
}

void
bv_http_poll_destroy(bv_http_poll_t *poll)
{
    close(poll->epoll_fd);
    g_hash_table_destroy(poll->sockets);
}

int
bv_http_poll_fd(const bv_http_poll_t *poll)
{
    return poll->epoll_fd;
}

int64_t
bv_http_poll_next_timer_us(const bv_http_poll_t *poll)
{
    return poll->next_timer_us < 0 ? INT64_MAX : poll->next_timer_us;
}

static int
timeout_until_timer_ms(const bv_http_poll_t *poll, int limit_ms)
{
    if (poll->next_timer_us < 0) {
        return limit_ms;
    }
    int64_t left_us = MAX(0, poll->next_timer_us - bv_clock_now_us());
    int64_t left_ms = (left_us + BV_US_PER_MS - 1) / BV_US_PER_MS;
    return (int)MIN(left_ms, limit_ms);
}

/*
 * An event on an idle socket means that the server has closed the connection.
 * The socket is then only removed from the epoll set: libcurl detects the
 * closing itself when it next tries to reuse the connection.
 */
static void
handle_event(bv_http_poll_t *poll, const struct epoll_event *event)
{
    int running;
    int ready_events = 0;
    gpointer socket_events =
        g_hash_table_lookup(poll->sockets, GINT_TO_POINTER(event->data.fd));
    if (GPOINTER_TO_UINT(socket_events) & IDLE_FLAG) {
        remove_socket(poll, event->data.fd);
        return;
    }
    if (event->events & (EPOLLIN | EPOLLHUP | EPOLLERR)) {
        ready_events |= CURL_CSELECT_IN;
    }
    if (event->events & EPOLLOUT) {
        ready_events |= CURL_CSELECT_OUT;
    }
    if (event->events & EPOLLERR) {
        ready_events |= CURL_CSELECT_ERR;
    }
    curl_multi_socket_action(poll->multi, event->data.fd, ready_events,
                             &running);
}

void
bv_http_poll_run_timers(bv_http_poll_t *poll)
{
    int running;
    if (poll->next_timer_us >= 0 && poll->next_timer_us <= bv_clock_now_us()) {
        poll->next_timer_us = -1;
        curl_multi_socket_action(poll->multi, CURL_SOCKET_TIMEOUT, 0,
                                 &running);
    }
}

void
bv_http_poll_run(bv_http_poll_t *poll, int limit_ms)
{
    struct epoll_event events[EVENTS_PER_WAIT];
    int count = epoll_wait(poll->epoll_fd, events, EVENTS_PER_WAIT,
                           timeout_until_timer_ms(poll, limit_ms));
    for (int i = 0; i < count; i++) {
        if (events[i].data.fd != poll->wake_fd) {
            handle_event(poll, &events[i]);
        }
    }
    bv_http_poll_run_timers(poll);
}
