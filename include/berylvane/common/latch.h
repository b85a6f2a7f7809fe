#ifndef BERYLVANE_COMMON_LATCH_H
#define BERYLVANE_COMMON_LATCH_H

#include <apr_pools.h>

/*
 * latch - lets one thread wait until another thread has finished a task
 */
typedef struct bv_latch bv_latch_t;

/* Creates a closed latch; it is freed with `pool`. */
bv_latch_t *bv_latch_create(apr_pool_t *pool);

/*
 * Opens the latch. Memory written before this call is visible to the waiting
 * thread after bv_latch_wait().
 */
void bv_latch_open(bv_latch_t *latch);

/* Blocks until the latch is open, then closes it again. */
void bv_latch_wait(bv_latch_t *latch);

#endif
