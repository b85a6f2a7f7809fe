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
} wait_t;

ctl_store_t *
ctl_store_open(const ctl_options_t *options)
{
    ctl_store_t *store = g_new0(ctl_store_t, 1);
    bv_store_options_t inner = {
        .url = options->platform_url,
        .timeout_us = STORE_TIMEOUT_US,
        .ring_capacity = RING_CAPACITY,
    };
    store->answered = bv_latch_create(options->pool);
    store->store = bv_store_start(options->pool, &inner);
    return store;
}

void
ctl_store_close(ctl_store_t *store)
{
    bv_store_stop(store->store);
    g_free(store);
}

static void
on_done(void *context, bv_store_answer_t *answer)
{
    wait_t *wait = context;
    wait->answer.result = answer->result;
    wait->answer.json = bv_store_take_json(answer);
    wait->answer.body = g_bytes_ref(answer->body);
    bv_latch_open(wait->store->answered);
}

static ctl_answer_t
wait_for(wait_t *wait, bool sent)
{
    if (!sent) {
        wait->answer.result = BV_STORE_REFUSED;
        return wait->answer;
    }
    bv_latch_wait(wait->store->answered);
    return wait->answer;
}

ctl_answer_t
ctl_store_write(ctl_store_t *store, json_t *operations)
{
    wait_t wait = {.store = store};
    bool sent = bv_store_write(store->store, operations, true, on_done, &wait);
    return wait_for(&wait, sent);
}

ctl_answer_t
ctl_store_read(ctl_store_t *store, const char *key)
{
    wait_t wait = {.store = store};
    bool sent = bv_store_read(store->store, key, on_done, &wait);
    return wait_for(&wait, sent);
}

ctl_answer_t
ctl_store_scan(ctl_store_t *store, const char *prefix)
{
    wait_t wait = {.store = store};
    bool sent = bv_store_scan(store->store, prefix, NULL, 0, on_done, &wait);
    return wait_for(&wait, sent);
}

ctl_answer_t
ctl_store_put(ctl_store_t *store, const char *name, GBytes *body)
{
    wait_t wait = {.store = store};
    bool sent = bv_store_put_object(store->store, name, body, on_done, &wait);
    return wait_for(&wait, sent);
}

ctl_answer_t
ctl_store_get(ctl_store_t *store, const char *name)
{
    wait_t wait = {.store = store};
    bool sent = bv_store_get_object(store->store, name, on_done, &wait);
    return wait_for(&wait, sent);
}

void
ctl_answer_clear(ctl_answer_t *answer)
{
    json_decref(answer->json);
    g_clear_pointer(&answer->body, g_bytes_unref);
    answer->json = NULL;
}
