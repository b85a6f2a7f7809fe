#include "naive_queue.h"

struct naive_queue {
    GArray *list;
};

typedef bool (*comes_first_t)(const bv_queued_work_t *left,
                              const bv_queued_work_t *right);

naive_queue_t *
naive_queue_create(void)
{
    naive_queue_t *queue = g_new0(naive_queue_t, 1);
    queue->list = g_array_new(FALSE, FALSE, sizeof(bv_queued_work_t));
    return queue;
}

void
naive_queue_destroy(naive_queue_t *queue)
{
    g_array_unref(queue->list);
    g_free(queue);
}

void
naive_queue_add(naive_queue_t *queue, const bv_queued_work_t *queued_work)
{
    g_array_append_val(queue->list, *queued_work);
}

bool
naive_queue_remove(naive_queue_t *queue, uint64_t id)
{
    for (guint i = 0; i < queue->list->len; i++) {
        if (g_array_index(queue->list, bv_queued_work_t, i).work.id == id) {
            g_array_remove_index(queue->list, i);
            return true;
        }
    }
    return false;
}

uint32_t
naive_queue_length(const naive_queue_t *queue)
{
    return queue->list->len;
}

static uint64_t
find_first(const naive_queue_t *queue, comes_first_t comes_first)
{
    const bv_queued_work_t *first =
        &g_array_index(queue->list, bv_queued_work_t, 0);
    for (guint i = 1; i < queue->list->len; i++) {
        const bv_queued_work_t *other =
            &g_array_index(queue->list, bv_queued_work_t, i);
        if (comes_first(other, first)) {
            first = other;
        }
    }
    return first->work.id;
}

static bool
runs_first(const bv_queued_work_t *left, const bv_queued_work_t *right)
{
    int left_class = left->work.priority / 128;
    int right_class = right->work.priority / 128;
    if (left_class != right_class) {
        return left_class > right_class;
    }
    if (left->work.deadline_us != right->work.deadline_us) {
        return left->work.deadline_us < right->work.deadline_us;
    }
    return left->work.id < right->work.id;
}

static bool
shed_first(const bv_queued_work_t *left, const bv_queued_work_t *right)
{
    if (left->work.priority != right->work.priority) {
        return left->work.priority < right->work.priority;
    }
    return left->work.id > right->work.id;
}

static bool
expires_first(const bv_queued_work_t *left, const bv_queued_work_t *right)
{
    if (left->latest_start_us != right->latest_start_us) {
        return left->latest_start_us < right->latest_start_us;
    }
    return left->work.id < right->work.id;
}

uint64_t
naive_queue_first_to_run(const naive_queue_t *queue)
{
    return find_first(queue, runs_first);
}

uint64_t
naive_queue_first_to_shed(const naive_queue_t *queue)
{
    return find_first(queue, shed_first);
}

uint64_t
naive_queue_first_to_expire(const naive_queue_t *queue)
{
    return find_first(queue, expires_first);
}
