#ifndef BERYLVANE_COMMON_RING_H
#define BERYLVANE_COMMON_RING_H

#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * ring - bounded queue of pointers between threads
 *
 * Built on apr_queue with an eventfd beside it, so that a consumer can wait
 * for the queue together with sockets. Any thread may push; one thread pops.
 */
typedef struct bv_ring bv_ring_t;

/*
 * Creates a ring of `capacity` entries that ends with the pool; aborts when
 * resources are gone.
 */
bv_ring_t *bv_ring_create(apr_pool_t *pool, uint32_t capacity);

/* Pushes `item`; false, with nothing taken, when the ring is full. */
bool bv_ring_push(bv_ring_t *ring, void *item);

/* Pops the oldest item, or NULL when the ring is empty. */
void *bv_ring_pop(bv_ring_t *ring);

/* Waits up to `timeout_us` (-1: for ever) for an item, then pops it. */
void *bv_ring_wait(bv_ring_t *ring, int64_t timeout_us);

/* File descriptor that reads as ready after a push; see bv_ring_clear_event().
 */
int bv_ring_fd(const bv_ring_t *ring);

/* Clears the readiness of bv_ring_fd(); call before draining the ring. */
void bv_ring_clear_event(bv_ring_t *ring);

/* Makes the consumer's wait return without an item. */
void bv_ring_wake_consumer(bv_ring_t *ring);

#endif
