#include "ctl.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/latch.h"

#include <stdio.h>

#define STORE_TIMEOUT_US (5 * BV_US_PER_S)
#define RING_CAPACITY 16

struct ctl_store {
    bv_store_t *store;
    bv_latch_t *answered;
};

typedef struct {
    ctl_store_t *store;
    ctl_answer_t answer;
} pending_call_t;

ctl_store_t *
ctl_store_open(const ctl_options_t *options)
{
    ctl_store_t *store = g_new0(ctl_store_t, 1);
    bv_store_options_t store_options = {
        .url = options->platform_url,
        .timeout_us = STORE_TIMEOUT_US,
        .ring_capacity = RING_CAPACITY,
    };
    store->answered = bv_latch_create(options->pool);
    store->store = bv_store_start(options->pool, &store_options);
    return store;
}

void
ctl_store_close(ctl_store_t *store)
{
    bv_store_stop(store->store);
    g_free(store);
}

static void
on_answer(void *context, bv_store_answer_t *answer)
{
    pending_call_t *pending = context;
    pending->answer.result = answer->result;
    pending->answer.json = bv_store_take_json(answer);
    pending->answer.body = g_bytes_ref(answer->body);
    bv_latch_open(pending->store->answered);
}

static ctl_answer_t
wait_for_answer(pending_call_t *pending, bool is_sent)
{
    if (!is_sent) {
        pending->answer.result = BV_STORE_REFUSED;
        return pending->answer;
    }
    bv_latch_wait(pending->store->answered);
    return pending->answer;
}

ctl_answer_t
ctl_store_write(ctl_store_t *store, json_t *operations)
{
    pending_call_t pending = {.store = store};
    bool is_sent =
        bv_store_write(store->store, operations, true, on_answer, &pending);
    return wait_for_answer(&pending, is_sent);
}

ctl_answer_t
ctl_store_read(ctl_store_t *store, const char *key)
{
    pending_call_t pending = {.store = store};
    bool is_sent = bv_store_read(store->store, key, NULL, on_answer, &pending);
    return wait_for_answer(&pending, is_sent);
}

ctl_answer_t
ctl_store_scan(ctl_store_t *store, const char *prefix)
{
    pending_call_t pending = {.store = store};
    bool is_sent =
        bv_store_scan(store->store, prefix, NULL, 0, on_answer, &pending);
    return wait_for_answer(&pending, is_sent);
}

ctl_answer_t
ctl_store_put(ctl_store_t *store, const char *name, GBytes *body)
{
    pending_call_t pending = {.store = store};
    bool is_sent =
        bv_store_put_object(store->store, name, body, on_answer, &pending);
    return wait_for_answer(&pending, is_sent);
}

ctl_answer_t
ctl_store_get(ctl_store_t *store, const char *name)
{
    pending_call_t pending = {.store = store};
    bool is_sent =
        bv_store_get_object(store->store, name, on_answer, &pending);
    return wait_for_answer(&pending, is_sent);
}

void
ctl_answer_clear(ctl_answer_t *answer)
{
    json_decref(answer->json);
    g_clear_pointer(&answer->body, g_bytes_unref);
    answer->json = NULL;
}
