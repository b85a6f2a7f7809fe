#include "berylvane/common/latch.h"

#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <stdbool.h>

struct bv_latch {
    apr_thread_mutex_t *mutex;
    apr_thread_cond_t *opened;
    bool is_open;
};

bv_latch_t *
bv_latch_create(apr_pool_t *pool)
{
    bv_latch_t *latch = apr_pcalloc(pool, sizeof(*latch));
    apr_thread_mutex_create(&latch->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
    apr_thread_cond_create(&latch->opened, pool);
    return latch;
}

void
bv_latch_open(bv_latch_t *latch)
{
    apr_thread_mutex_lock(latch->mutex);
    latch->is_open = true;
    apr_thread_cond_signal(latch->opened);
    apr_thread_mutex_unlock(latch->mutex);
}

void
bv_latch_wait(bv_latch_t *latch)
{
    apr_thread_mutex_lock(latch->mutex);
    while (!latch->is_open) {
        apr_thread_cond_wait(latch->opened, latch->mutex);
    }
    latch->is_open = false;
    apr_thread_mutex_unlock(latch->mutex);
}
