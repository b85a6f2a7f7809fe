#include "berylvane/core/queue.h"

typedef enum {
    ORDER_RUN,
    ORDER_SHED,
    ORDER_EXPIRY,
    ORDER_END,
} order_t;

typedef struct {
    bv_queued_work_t queued;
    GSequenceIter *positions[ORDER_END];
} entry_t;

struct bv_queue {
    GHashTable *entries;
    GSequence *orders[ORDER_END];
};

static int
compare_numbers(int64_t left, int64_t right)
{
    return left < right ? -1 : left > right;
}

static gint
compare_run(gconstpointer left, gconstpointer right, gpointer context)
{
    const bv_work_t *a = &((const entry_t *)left)->queued.work;
    const bv_work_t *b = &((const entry_t *)right)->queued.work;
    (void)context;
    int by_class = compare_numbers(b->priority / BV_PRIORITY_LEVELS,
                                   a->priority / BV_PRIORITY_LEVELS);
    if (by_class != 0) {
        return by_class;
    }
    int by_deadline = compare_numbers(a->deadline_us, b->deadline_us);
    return by_deadline != 0 ? by_deadline
                            : compare_numbers((int64_t)a->id, (int64_t)b->id);
}

static gint
compare_shed(gconstpointer left, gconstpointer right, gpointer context)
{
    const bv_work_t *a = &((const entry_t *)left)->queued.work;
    const bv_work_t *b = &((const entry_t *)right)->queued.work;
    (void)context;
    int by_priority = compare_numbers(a->priority, b->priority);
    return by_priority != 0 ? by_priority
                            : compare_numbers((int64_t)b->id, (int64_t)a->id);
}

static gint
compare_expiry(gconstpointer left, gconstpointer right, gpointer context)
{
    const bv_queued_work_t *a = &((const entry_t *)left)->queued;
    const bv_queued_work_t *b = &((const entry_t *)right)->queued;
    (void)context;
    int by_latest_start =
        compare_numbers(a->latest_start_us, b->latest_start_us);
    return by_latest_start != 0
               ? by_latest_start
               : compare_numbers((int64_t)a->work.id, (int64_t)b->work.id);
}

static const GCompareDataFunc comparisons[ORDER_END] = {
    [ORDER_RUN] = compare_run,
    [ORDER_SHED] = compare_shed,
    [ORDER_EXPIRY] = compare_expiry,
};

bv_queue_t *
bv_queue_create(void)
{
    bv_queue_t *queue = g_new0(bv_queue_t, 1);
    queue->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    for (int i = 0; i < ORDER_END; i++) {
        queue->orders[i] = g_sequence_new(NULL);
    }
    return queue;
}

void
bv_queue_destroy(bv_queue_t *queue)
{
    for (int i = 0; i < ORDER_END; i++) {
        g_sequence_free(queue->orders[i]);
    }
    g_hash_table_destroy(queue->entries);
    g_free(queue);
}

void
bv_queue_add(bv_queue_t *queue, const bv_queued_work_t *queued)
{
    entry_t *entry = g_new0(entry_t, 1);
    entry->queued = *queued;
    for (int i = 0; i < ORDER_END; i++) {
        entry->positions[i] = g_sequence_insert_sorted(queue->orders[i], entry,
                                                       comparisons[i], NULL);
    }
    g_hash_table_insert(queue->entries, &entry->queued.work.id, entry);
}

bool
bv_queue_remove(bv_queue_t *queue, uint64_t id, bv_queued_work_t *removed)
{
    entry_t *entry = g_hash_table_lookup(queue->entries, &id);
    if (entry == NULL) {
        return false;
    }
    *removed = entry->queued;
    for (int i = 0; i < ORDER_END; i++) {
        g_sequence_remove(entry->positions[i]);
    }
    g_hash_table_remove(queue->entries, &id);
    return true;
}

uint32_t
bv_queue_length(const bv_queue_t *queue)
{
    return g_hash_table_size(queue->entries);
}

static const bv_queued_work_t *
first_of(const bv_queue_t *queue, order_t order)
{
    GSequenceIter *first = g_sequence_get_begin_iter(queue->orders[order]);
    if (g_sequence_iter_is_end(first)) {
        return NULL;
    }
    return &((const entry_t *)g_sequence_get(first))->queued;
}

const bv_queued_work_t *
bv_queue_first_to_run(const bv_queue_t *queue)
{
    return first_of(queue, ORDER_RUN);
}

const bv_queued_work_t *
bv_queue_first_to_shed(const bv_queue_t *queue)
{
    return first_of(queue, ORDER_SHED);
}

const bv_queued_work_t *
bv_queue_first_to_expire(const bv_queue_t *queue)
{
    return first_of(queue, ORDER_EXPIRY);
}
