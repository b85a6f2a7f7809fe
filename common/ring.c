#include "berylvane/common/ring.h"

#include <apr_queue.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct bv_ring {
    apr_queue_t *queue;
    int event_fd;
    /* Whether event_fd was written since the last bv_ring_clear_event(). */
    gint is_signalled;
};

static apr_status_t
close_event_fd(void *data)
{
    bv_ring_t *ring = data;
    close(ring->event_fd);
    return APR_SUCCESS;
}

bv_ring_t *
bv_ring_create(apr_pool_t *pool, uint32_t capacity)
{
    bv_ring_t *ring = apr_pcalloc(pool, sizeof(*ring));
    if (apr_queue_create(&ring->queue, capacity, pool) != APR_SUCCESS) {
        abort();
    }
    ring->event_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (ring->event_fd < 0) {
        abort();
    }
    apr_pool_cleanup_register(pool, ring, close_event_fd,
                              apr_pool_cleanup_null);
    return ring;
}

void
bv_ring_wake_consumer(bv_ring_t *ring)
{
    uint64_t increment = 1;
    g_atomic_int_set(&ring->is_signalled, 1);
    ssize_t bytes_written =
        write(ring->event_fd, &increment, sizeof(increment));
    (void)bytes_written;
}

bool
bv_ring_push(bv_ring_t *ring, void *item)
{
    apr_status_t status;
    do {
        status = apr_queue_trypush(ring->queue, item);
    } while (APR_STATUS_IS_EINTR(status));
    if (status != APR_SUCCESS) {
        return false;
    }
    if (g_atomic_int_exchange(&ring->is_signalled, 1) == 0) {
        bv_ring_wake_consumer(ring);
    }
    return true;
}

void *
bv_ring_pop(bv_ring_t *ring)
{
    void *item = NULL;
    apr_status_t status;
    do {
        status = apr_queue_trypop(ring->queue, &item);
    } while (APR_STATUS_IS_EINTR(status));
    return status == APR_SUCCESS ? item : NULL;
}

void *
bv_ring_wait(bv_ring_t *ring, int64_t timeout_us)
{
    void *item = bv_ring_pop(ring);
    if (item != NULL) {
        return item;
    }
    struct pollfd poll_fd = {.fd = ring->event_fd, .events = POLLIN};
    struct timespec timeout = {.tv_sec = timeout_us / 1000000,
                               .tv_nsec = timeout_us % 1000000 * 1000};
    if (ppoll(&poll_fd, 1, timeout_us < 0 ? NULL : &timeout, NULL) > 0) {
        bv_ring_clear_event(ring);
    }
    return bv_ring_pop(ring);
}

int
bv_ring_fd(const bv_ring_t *ring)
{
    return ring->event_fd;
}

void
bv_ring_clear_event(bv_ring_t *ring)
{
    uint64_t count;
    ssize_t bytes_read = read(ring->event_fd, &count, sizeof(count));
    (void)bytes_read;
    g_atomic_int_set(&ring->is_signalled, 0);
}
