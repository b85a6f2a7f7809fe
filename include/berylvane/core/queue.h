#ifndef BERYLVANE_CORE_QUEUE_H
#define BERYLVANE_CORE_QUEUE_H

#include "berylvane/core/types.h"

/*
 * queue - the work of one lane that waits for a slot
 *
 * Three orders are kept, each change in logarithmic time: the order to run
 * in, by class then deadline; the order to shed in, by priority, newest
 * first; and the order of the times at which it is too late to start.
 */
typedef struct bv_queue bv_queue_t;

typedef struct {
    uint64_t id;
    /* Route of the work, as a hash of its name. */
    uint32_t route_hash;
    uint16_t priority;
    /* The route's hint that this is long work. */
    bool is_long_running;
    int64_t deadline_us;
} bv_work_t;

typedef struct {
    bv_work_t work;
    int64_t queued_us;
    /* When it is too late to start. */
    int64_t latest_start_us;
} bv_queued_work_t;

bv_queue_t *bv_queue_create(void);
void bv_queue_destroy(bv_queue_t *queue);

/* Adds work; its id must not be queued. */
void bv_queue_add(bv_queue_t *queue, const bv_queued_work_t *queued);

/* Takes out work; false when `id` is not queued. */
bool bv_queue_remove(bv_queue_t *queue, uint64_t id,
                     bv_queued_work_t *removed);

uint32_t bv_queue_length(const bv_queue_t *queue);

/* The first of each order; NULL when the queue is empty. */
const bv_queued_work_t *bv_queue_first_to_run(const bv_queue_t *queue);
const bv_queued_work_t *bv_queue_first_to_shed(const bv_queue_t *queue);
const bv_queued_work_t *bv_queue_first_to_expire(const bv_queue_t *queue);

#endif
