#include "replay_server.h"

#define QUEUE_TARGET_US 10000
#define LONG_SHARE_PERCENT 50

struct replay_server {
    replay_server_options_t options;
    bv_admission_t *admission;
    /* Ids; without admission only. */
    GQueue waiting;
    uint32_t running;
};

replay_server_t *
replay_server_create(const replay_server_options_t *options)
{
    replay_server_t *server = g_new0(replay_server_t, 1);
    bv_admission_options_t admission = {
        .slots = options->slots,
        .queue_limit = options->queue_limit,
        .queue_target_us = QUEUE_TARGET_US,
        .long_share_percent = LONG_SHARE_PERCENT,
        .has_fixed_limit = true,
    };
    server->options = *options;
    server->admission = bv_admission_create(&admission);
    g_queue_init(&server->waiting);
    return server;
}

void
replay_server_destroy(replay_server_t *server)
{
    bv_admission_destroy(server->admission);
    g_queue_clear_full(&server->waiting, g_free);
    g_free(server);
}

static void
start(const replay_server_t *server, uint64_t id)
{
    server->options.on_start(server->options.context, id);
}

static void
refuse(const replay_server_t *server, uint64_t id)
{
    server->options.on_refused(server->options.context, id);
}

static void
advance_first_come(replay_server_t *server)
{
    while (server->running < server->options.slots &&
           server->waiting.length > 0) {
        uint64_t *id = g_queue_pop_head(&server->waiting);
        server->running++;
        start(server, *id);
        g_free(id);
    }
}

static void
advance(replay_server_t *server, int64_t now_us)
{
    uint64_t id;
    bv_reason_t reason;
    for (;;) {
        switch (bv_admission_next(server->admission, now_us, &id, &reason)) {
        case BV_WORK_RUN:
            start(server, id);
            break;
        case BV_WORK_REFUSED:
            refuse(server, id);
            break;
        case BV_WORK_QUEUED:
            return;
        }
    }
}

static void
offer_first_come(replay_server_t *server, uint64_t id)
{
    if (server->waiting.length >= server->options.queue_limit) {
        refuse(server, id);
        return;
    }
    g_queue_push_tail(&server->waiting, g_memdup2(&id, sizeof(id)));
    advance_first_come(server);
}

void
replay_server_offer(replay_server_t *server, int64_t now_us,
                    const bv_work_t *work)
{
    bv_reason_t reason;
    if (server->options.is_first_come) {
        offer_first_come(server, work->id);
        return;
    }
    switch (bv_admission_offer(server->admission, now_us, work, &reason)) {
    case BV_WORK_RUN:
        start(server, work->id);
        break;
    case BV_WORK_REFUSED:
        refuse(server, work->id);
        break;
    case BV_WORK_QUEUED:
        break;
    }
    advance(server, now_us);
}

void
replay_server_finish(replay_server_t *server, int64_t now_us, uint64_t id,
                     const bv_work_result_t *result)
{
    if (server->options.is_first_come) {
        server->running--;
        advance_first_come(server);
        return;
    }
    bv_admission_finish(server->admission, now_us, id, result);
    advance(server, now_us);
}

bv_backpressure_t
replay_server_report(const replay_server_t *server, uint32_t route_hash)
{
    bv_backpressure_t report = {0};
    if (!server->options.is_first_come) {
        report.threshold =
            bv_admission_route_threshold(server->admission, route_hash, false);
        report.wait_us =
            bv_admission_route_wait_us(server->admission, route_hash, false);
    }
    return report;
}
