#ifndef TESTS_NAIVE_QUEUE_H
#define TESTS_NAIVE_QUEUE_H

#include "berylvane/core/queue.h"

/*
 * naive_queue - reference model of bv_queue_t: an unsorted list that is
 * searched as a whole
 */
typedef struct naive_queue naive_queue_t;

naive_queue_t *naive_queue_create(void);
void naive_queue_destroy(naive_queue_t *queue);
void naive_queue_add(naive_queue_t *queue,
                     const bv_queued_work_t *queued_work);
bool naive_queue_remove(naive_queue_t *queue, uint64_t id);
uint32_t naive_queue_length(const naive_queue_t *queue);

/* Return the first id of each order; the queue must not be empty. */
uint64_t naive_queue_first_to_run(const naive_queue_t *queue);
uint64_t naive_queue_first_to_shed(const naive_queue_t *queue);
uint64_t naive_queue_first_to_expire(const naive_queue_t *queue);

#endif
