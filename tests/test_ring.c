#include "berylvane/common/ring.h"
#include "support.h"

#include <apr_general.h>
#include <apr_thread_proc.h>
#include <fcntl.h>

#define ITEMS 20000
#define CAPACITY 64

static void *APR_THREAD_FUNC
push_items(apr_thread_t *thread, void *data)
{
    (void)thread;
    bv_ring_t *ring = data;
    for (guint i = 1; i <= ITEMS; i++) {
        while (!bv_ring_push(ring, GUINT_TO_POINTER(i))) {
            apr_thread_yield();
        }
    }
    return NULL;
}

START_TEST(test_order)
{
    apr_pool_t *pool;
    apr_thread_t *thread;
    apr_status_t status;
    apr_pool_create(&pool, NULL);
    bv_ring_t *ring = bv_ring_create(pool, CAPACITY);
    apr_thread_create(&thread, NULL, push_items, ring, pool);
    for (guint i = 1; i <= ITEMS;) {
        void *item = bv_ring_wait(ring, 1000000);
        if (item != NULL) {
            ck_assert_uint_eq(GPOINTER_TO_UINT(item), i);
            i++;
        }
    }
    apr_thread_join(&status, thread);
    apr_pool_destroy(pool);
}
END_TEST

START_TEST(test_full)
{
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    bv_ring_t *ring = bv_ring_create(pool, 2);
    ck_assert(bv_ring_push(ring, "a"));
    ck_assert(bv_ring_push(ring, "b"));
    ck_assert(!bv_ring_push(ring, "c"));
    ck_assert_str_eq(bv_ring_pop(ring), "a");
    ck_assert(bv_ring_push(ring, "d"));
    apr_pool_destroy(pool);
}
END_TEST

START_TEST(test_ends_with_pool)
{
    apr_pool_t *pool;
    apr_pool_create(&pool, NULL);
    int fd = bv_ring_fd(bv_ring_create(pool, CAPACITY));
    ck_assert_int_ne(fcntl(fd, F_GETFD), -1);
    apr_pool_destroy(pool);
    ck_assert_int_eq(fcntl(fd, F_GETFD), -1);
}
END_TEST

int
main(void)
{
    apr_initialize();
    const support_test_t tests[] = {{"order", test_order, 1},
                                    {"full", test_full, 1},
                                    {"ends_with_pool", test_ends_with_pool, 1},
                                    {NULL}};
    return support_run("ring", tests);
}
