#include "berylvane/core/pipeline.h"

#include "berylvane/common/invariant.h"

#include <glib.h>

typedef enum {
    STATE_WAITING,
    STATE_RUNNING,
    STATE_ANSWERED,
} state_t;

typedef struct {
    void *item;
    state_t state;
    /* The answer is to close the connection. */
    bool closes;
    uint64_t bytes;
} entry_t;

struct bv_pipeline {
    /* Entries in the order of the requests. */
    GQueue entries;
    uint64_t bytes;
    /*
     * An answer that was to close the connection has left without closing it,
     * since a request behind it had started: a later answer has to close it.
     */
    bool owes_close;
};

bv_pipeline_t *
bv_pipeline_create(void)
{
    bv_pipeline_t *pipeline = g_new0(bv_pipeline_t, 1);
    g_queue_init(&pipeline->entries);
    return pipeline;
}

void
bv_pipeline_destroy(bv_pipeline_t *pipeline)
{
    g_queue_clear_full(&pipeline->entries, g_free);
    g_free(pipeline);
}

/* Whether an answer before `end` (NULL for all) closes the connection. */
static bool
closes_before(const bv_pipeline_t *pipeline, const GList *end)
{
    bool closes = pipeline->owes_close;
    for (GList *link = pipeline->entries.head; link != end && !closes;
         link = link->next) {
        closes = ((const entry_t *)link->data)->closes;
    }
    return closes;
}

bool
bv_pipeline_has_room(const bv_pipeline_t *pipeline,
                     const bv_pipeline_limits_t *limits)
{
    return !closes_before(pipeline, NULL) &&
           pipeline->entries.length < limits->requests &&
           (pipeline->entries.length == 0 || pipeline->bytes < limits->bytes);
}

void
bv_pipeline_add(bv_pipeline_t *pipeline, void *item, uint64_t bytes)
{
    entry_t *entry = g_new0(entry_t, 1);
    entry->item = item;
    entry->bytes = bytes;
    pipeline->bytes += bytes;
    g_queue_push_tail(&pipeline->entries, entry);
}

/* Requests start in their order, so all before the first waiting one have. */
static GList *
find_waiting(const bv_pipeline_t *pipeline)
{
    for (GList *link = pipeline->entries.head; link != NULL;
         link = link->next) {
        if (((const entry_t *)link->data)->state == STATE_WAITING) {
            return link;
        }
    }
    return NULL;
}

void *
bv_pipeline_first_waiting(const bv_pipeline_t *pipeline)
{
    const GList *link = find_waiting(pipeline);
    return link != NULL ? ((const entry_t *)link->data)->item : NULL;
}

bool
bv_pipeline_may_start(const bv_pipeline_t *pipeline, bool is_idempotent,
                      bool is_written)
{
    const GList *link = find_waiting(pipeline);
    if (link == NULL || closes_before(pipeline, link)) {
        return false;
    }
    return is_idempotent || (link == pipeline->entries.head && is_written);
}

void
bv_pipeline_start(bv_pipeline_t *pipeline)
{
    GList *link = find_waiting(pipeline);
    bv_invariant(link != NULL && !closes_before(pipeline, link),
                 "no_start_behind_closing_answer", "pipeline");
    if (link != NULL) {
        ((entry_t *)link->data)->state = STATE_RUNNING;
    }
}

static entry_t *
find_entry(const bv_pipeline_t *pipeline, const void *item)
{
    for (GList *link = pipeline->entries.head; link != NULL;
         link = link->next) {
        if (((const entry_t *)link->data)->item == item) {
            return link->data;
        }
    }
    return NULL;
}

void
bv_pipeline_answer(bv_pipeline_t *pipeline, const void *item, bool closes,
                   uint64_t bytes)
{
    entry_t *entry = find_entry(pipeline, item);
    if (entry == NULL) {
        bv_invariant(false, "answered_request_is_held", "pipeline");
        return;
    }
    entry->state = STATE_ANSWERED;
    entry->closes = closes;
    entry->bytes += bytes;
    pipeline->bytes += bytes;
}

bool
bv_pipeline_has_started(const bv_pipeline_t *pipeline)
{
    const GList *first = pipeline->entries.head;
    return first != NULL &&
           ((const entry_t *)first->data)->state != STATE_WAITING;
}

static void *
remove_first(bv_pipeline_t *pipeline)
{
    entry_t *entry = g_queue_pop_head(&pipeline->entries);
    void *item = entry->item;
    pipeline->bytes -= entry->bytes;
    g_free(entry);
    return item;
}

void *
bv_pipeline_take_answer(bv_pipeline_t *pipeline, bool *is_last)
{
    const entry_t *first = g_queue_peek_head(&pipeline->entries);
    if (first == NULL || first->state != STATE_ANSWERED) {
        return NULL;
    }
    pipeline->owes_close = pipeline->owes_close || first->closes;
    void *item = remove_first(pipeline);
    *is_last = pipeline->owes_close && !bv_pipeline_has_started(pipeline);
    return item;
}

void *
bv_pipeline_remove_first(bv_pipeline_t *pipeline, bool *is_running)
{
    const entry_t *first = g_queue_peek_head(&pipeline->entries);
    if (first == NULL) {
        return NULL;
    }
    *is_running = first->state == STATE_RUNNING;
    return remove_first(pipeline);
}

void
bv_pipeline_foreach_running(const bv_pipeline_t *pipeline,
                            void (*visit)(void *context, void *item),
                            void *context)
{
    for (GList *link = pipeline->entries.head; link != NULL;
         link = link->next) {
        const entry_t *entry = link->data;
        if (entry->state == STATE_RUNNING) {
            visit(context, entry->item);
        }
    }
}

bool
bv_pipeline_is_empty(const bv_pipeline_t *pipeline)
{
    return pipeline->entries.length == 0;
}

uint64_t
bv_pipeline_bytes(const bv_pipeline_t *pipeline)
{
    return pipeline->bytes;
}
