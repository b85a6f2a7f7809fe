#ifndef BERYLVANE_CORE_QUEUE_H
#define BERYLVANE_CORE_QUEUE_H

#include "berylvane/core/types.h"

/*
 * queue - work of one lane that waits for a slot
 *
 * The work is kept in three orders; adding and removing take logarithmic time:
 * - run order: by class, then by deadline, then by id
 * - shed order: by ascending priority, the newest work first
 * - expiry order: by the latest time at which the work can start
 */
typedef struct bv_queue bv_queue_t;

typedef struct {
    uint64_t id;
    /* Hash of the route's name. */
    uint32_t route_hash;
    uint16_t priority;
    /* Hint from the route's configuration: the work takes long. */
    bool is_long_running;
    int64_t deadline_us;
} bv_work_t;

typedef struct {
    bv_work_t work;
    int64_t queued_us;
    /* From this time on, the work cannot finish before its deadline. */
    int64_t latest_start_us;
} bv_queued_work_t;

bv_queue_t *bv_queue_create(void);
void bv_queue_destroy(bv_queue_t *queue);

/* Adds a copy of the work; its id must not be queued. */
void bv_queue_add(bv_queue_t *queue, const bv_queued_work_t *queued);

/*
 * Removes work and copies it to `removed`; returns false if `id` is not
 * queued.
 */
bool bv_queue_remove(bv_queue_t *queue, uint64_t id,
                     bv_queued_work_t *removed);

uint32_t bv_queue_length(const bv_queue_t *queue);

/*
 * Return the first work of each order, or NULL if the queue is empty. The
 * queue owns the work: the pointer is valid until the work is removed.
 */
const bv_queued_work_t *bv_queue_first_to_run(const bv_queue_t *queue);
const bv_queued_work_t *bv_queue_first_to_shed(const bv_queue_t *queue);
const bv_queued_work_t *bv_queue_first_to_expire(const bv_queue_t *queue);

#endif
