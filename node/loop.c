#include "berylvane/common/clock.h"
#include "berylvane/node/configs.h"
#include "berylvane/node/memory.h"
#include "berylvane/node/node.h"
#include "berylvane/node/quotas.h"

#include <sys/epoll.h>
#include <unistd.h>

#define EPOLL_EVENTS_LIMIT 32
#define IDLE_WAIT_US (BV_US_PER_S / 10)
#define BUSY_WAIT_US (10 * BV_US_PER_MS)
#define TICK_US BV_US_PER_MS
#define LINK_CHECK_US BV_US_PER_S
#define POST_RETRY_US 1000

/*
 * Values that identify the sources of the epoll set. A listener has the value
 * of its bv_listener_role_t.
 */
enum {
    SOURCE_EVENTS = BV_LISTENER_ROLE_END,
    SOURCE_LINK,
    SOURCE_LINK_BOUND,
    SOURCE_TARGET,
    SOURCE_END,
};

bool
bv_node_post(bv_node_t *node, void (*run)(bv_node_t *, void *), void *data)
{
    bv_event_t *event = g_new(bv_event_t, 1);
    event->run = run;
    event->data = data;
    if (pthread_equal(node->thread, pthread_self())) {
        g_queue_push_tail(&node->local_events, event);
        return true;
    }
    if (bv_ring_push(node->events, event)) {
        return true;
    }
    g_free(event);
    return false;
}

void
bv_node_post_blocking(bv_node_t *node, void (*run)(bv_node_t *, void *),
                      void *data)
{
    while (!bv_node_post(node, run, data)) {
        usleep(POST_RETRY_US);
    }
}

static void
add_source(const bv_node_t *node, int fd, uint32_t source)
{
    struct epoll_event event = {.events = EPOLLIN, .data.u32 = source};
    epoll_ctl(node->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

void
bv_loop_create(bv_node_t *node)
{
    node->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    add_source(node, bv_ring_fd(node->events), SOURCE_EVENTS);
    add_source(node, bv_link_fd(node->link), SOURCE_LINK);
    add_source(node, bv_link_bound_fd(node->link), SOURCE_LINK_BOUND);
    add_source(node, bv_target_client_fd(node->target_client), SOURCE_TARGET);
}

void
bv_loop_destroy(bv_node_t *node)
{
    close(node->epoll_fd);
}

void
bv_loop_add_listener(bv_node_t *node, bv_listener_role_t role)
{
    add_source(node, bv_listener_fd(node->listeners[role]), role);
}

static void
run_event(bv_node_t *node, bv_event_t *event)
{
    event->run(node, event->data);
    g_free(event);
}

static void
run_local_events(bv_node_t *node)
{
    for (;;) {
        bv_event_t *event = g_queue_pop_head(&node->local_events);
        bv_peer_message_t *message =
            g_queue_pop_head(&node->loopback_messages);
        if (event == NULL && message == NULL) {
            return;
        }
        if (event != NULL) {
            run_event(node, event);
        }
        if (message != NULL) {
            bv_peers_handle_message(node, message);
        }
    }
}

void
bv_loop_run_events(bv_node_t *node)
{
    for (;;) {
        bv_event_t *event = bv_ring_pop(node->events);
        if (event == NULL) {
            break;
        }
        run_event(node, event);
    }
    run_local_events(node);
}

static void
run_periodic_work(bv_node_t *node)
{
    bv_calls_tick(node);
    bv_serve_tick(node);
    bv_keyed_tick(node);
    bv_quotas_tick(node);
    bv_members_tick(node);
    bv_configs_tick(node);
    bv_drain_tick(node);
    bv_decisions_tick(node);
    if (node->now_us >= node->link_check_due_us) {
        node->link_check_due_us = node->now_us + LINK_CHECK_US;
        bv_link_run(node->link);
        bv_link_run_bound(node->link);
    }
    node->next_tick_us = node->now_us + TICK_US;
}

/* Runs the timers of the listeners and the target client that are due. */
static void
run_due_timers(bv_node_t *node)
{
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        bv_listener_t *listener = node->listeners[role];
        if (listener != NULL && bv_listener_due_us(listener) <= node->now_us) {
            bv_listener_run_due(listener);
        }
    }
    if (bv_target_client_next_timer_us(node->target_client) <= node->now_us) {
        bv_target_client_run_timers(node->target_client);
    }
}

static int64_t
next_wakeup_us(const bv_node_t *node, int64_t limit_us)
{
    bool is_busy = bv_calls_count(node) > 0 || bv_serve_count(node) > 0;
    int64_t wakeup_us =
        node->now_us + MIN(limit_us, is_busy ? BUSY_WAIT_US : IDLE_WAIT_US);
    wakeup_us =
        MIN(wakeup_us, bv_target_client_next_timer_us(node->target_client));
    for (int role = 0; role < BV_LISTENER_ROLE_END; role++) {
        if (node->listeners[role] != NULL) {
            wakeup_us =
                MIN(wakeup_us, bv_listener_due_us(node->listeners[role]));
        }
    }
    return wakeup_us;
}

static int
epoll_timeout_ms(const bv_node_t *node, int64_t limit_us)
{
    if (node->local_events.length > 0 || node->loopback_messages.length > 0 ||
        bv_link_has_pending(node->link)) {
        return 0;
    }
    int64_t left_us = MAX(0, next_wakeup_us(node, limit_us) - node->now_us);
    return (int)((left_us + BV_US_PER_MS - 1) / BV_US_PER_MS);
}

static void
run_source(bv_node_t *node, uint32_t source)
{
    switch (source) {
    case SOURCE_EVENTS:
        bv_ring_clear_event(node->events);
        bv_loop_run_events(node);
        return;
    case SOURCE_LINK:
        bv_link_run(node->link);
        return;
    case SOURCE_LINK_BOUND:
        bv_link_run_bound(node->link);
        return;
    case SOURCE_TARGET:
        bv_target_client_run(node->target_client);
        return;
    default:
        bv_listener_run(node->listeners[source]);
        return;
    }
}

void
bv_loop_run_once(bv_node_t *node, int64_t limit_us)
{
    struct epoll_event events[EPOLL_EVENTS_LIMIT];
    int count = epoll_wait(node->epoll_fd, events, EPOLL_EVENTS_LIMIT,
                           epoll_timeout_ms(node, limit_us));
    node->now_us = bv_clock_now_us();
    for (int i = 0; i < count; i++) {
        run_source(node, events[i].data.u32);
    }
    bv_node_run_requests(node);
    run_local_events(node);
    bv_quotas_flush(node);
    run_local_events(node);
    if (node->now_us >= node->next_tick_us) {
        run_periodic_work(node);
        run_local_events(node);
    }
    run_due_timers(node);
    bv_memory_tick(node);
    bv_link_receive_pending(node->link);
    g_ptr_array_set_size(node->finished_calls, 0);
}

void
bv_node_run(bv_node_t *node)
{
    while (node->drain.phase != BV_DRAIN_DONE) {
        bv_loop_run_once(node, IDLE_WAIT_US);
    }
}
