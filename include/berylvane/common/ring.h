#ifndef BERYLVANE_COMMON_RING_H
#define BERYLVANE_COMMON_RING_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * ring - bounded queue of pointers between threads
 *
 * An apr_queue with an eventfd, so that the consumer can wait for the queue
 * and for sockets in one poll. Any thread may push; only one thread may pop.
 */
typedef struct bv_ring bv_ring_t;

/*
 * Creates a ring of `capacity` entries; it is freed with the pool. Aborts if
 * the system has no resources left.
 */
bv_ring_t *bv_ring_create(apr_pool_t *pool, uint32_t capacity);

/*
 * Pushes `item`. Returns false if the ring is full; the producer then still
 * owns the item.
 */
bool bv_ring_push(bv_ring_t *ring, void *item);

/* Pops and returns the oldest item; NULL if the ring is empty. */
void *bv_ring_pop(bv_ring_t *ring);

/*
 * Waits at most `timeout_us` (-1 for no limit) for an item and pops it.
 * Returns NULL on time-out and may return NULL earlier, as after
 * bv_ring_wake_consumer().
 */
void *bv_ring_wait(bv_ring_t *ring, int64_t timeout_us);

/*
 * Returns a file descriptor that is readable after a push, until
 * bv_ring_clear_event() is called.
 */
int bv_ring_fd(const bv_ring_t *ring);

/*
 * Makes bv_ring_fd() unreadable. Call before popping all items, so that a push
 * that comes meanwhile makes the descriptor readable again.
 */
void bv_ring_clear_event(bv_ring_t *ring);

/* Makes bv_ring_fd() readable, so that a waiting consumer returns. */
void bv_ring_wake_consumer(bv_ring_t *ring);

#endif
