#include "berylvane/common/ring.h"
#include "support.h"

#include <apr_general.h>
#include <apr_thread_proc.h>
#include <fcntl.h>

/*
 * Tests the ring between two threads: no item is lost or reordered, a full
 * ring refuses items, and the event descriptor does not leak.
 */
#define ITEM_COUNT 20000
#define CAPACITY 64

static void *APR_THREAD_FUNC
push_items(apr_thread_t *thread, void *data)
{
    (void)thread;
    bv_ring_t *ring = data;
    for (guint i = 1; i <= ITEM_COUNT; i++) {
        while (!bv_ring_push(ring, GUINT_TO_POINTER(i))) {
            apr_thread_yield();
        }
    }
    return NULL;
}

/*
 * A producer thread pushes many more numbered items than the ring holds, and
 * the consumer waits for each of them. A lost or reordered item fails the
 * comparison; a lost last item keeps the test from ending.
 */
START_TEST(test_items_stay_in_order)
{
    apr_pool_t *pool;
    apr_thread_t *thread;
    apr_status_t status;
    apr_pool_create(&pool, NULL);
    bv_ring_t *ring = bv_ring_create(pool, CAPACITY);
    apr_thread_create(&thread, NULL, push_items, ring, pool);
    for (guint i = 1; i <= ITEM_COUNT;) {
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

START_TEST(test_full_ring_refuses_push)
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

/* Guards against a leak: destroying the pool closes the event descriptor. */
START_TEST(test_pool_closes_event_fd)
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
    const support_test_t tests[] = {
        {"items_stay_in_order", test_items_stay_in_order, 1},
        {"full_ring_refuses_push", test_full_ring_refuses_push, 1},
        {"pool_closes_event_fd", test_pool_closes_event_fd, 1},
        {NULL}};
    return support_run("ring", tests);
}
