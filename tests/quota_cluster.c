#include "quota_cluster_internal.h"

#include "support.h"

#include <string.h>

#define POLL_US (50 * MS)

int64_t
quota_cluster_now_us(const quota_cluster_t *cluster)
{
    return sim_now_us(cluster->sim);
}

bool
quota_cluster_is_running(const quota_node_t *node)
{
    return node->is_up &&
           node->frozen_until_us <= quota_cluster_now_us(node->cluster);
}

bool
quota_cluster_are_connected(const quota_cluster_t *cluster, uint32_t from,
                            uint32_t to)
{
    return cluster->nodes[from].side == cluster->nodes[to].side;
}

uint32_t
quota_cluster_index_of(const char *name)
{
    return (uint32_t)(name[0] - 'a');
}

static void run_event(void *context, void *data);

void
quota_cluster_schedule(quota_cluster_t *cluster, const event_t *event,
                       int64_t delay_us)
{
    sim_schedule(cluster->sim, delay_us, run_event,
                 g_memdup2(event, sizeof(*event)));
}

static void
run_event(void *context, void *data)
{
    quota_cluster_t *cluster = context;
    const event_t *event = data;
    quota_node_t *node = &cluster->nodes[event->node];
    if (event->kind == EVENT_POLL) {
        quota_cluster_poll_views(cluster);
        quota_cluster_schedule(cluster, event, POLL_US);
        return;
    }
    if (event->kind == EVENT_ARRIVAL) {
        quota_cluster_run_arrival(node, event);
        return;
    }
    bool is_message =
        event->kind == EVENT_REQUEST || event->kind == EVENT_REPLY;
    if (!node->is_up ||
        (event->kind != EVENT_REQUEST &&
         event->incarnation != node->incarnation) ||
        (is_message &&
         !quota_cluster_are_connected(cluster, event->from, event->node))) {
        return;
    }
    if (!quota_cluster_is_running(node)) {
        quota_cluster_schedule(cluster, event,
                               node->frozen_until_us -
                                   quota_cluster_now_us(cluster));
        return;
    }
    quota_cluster_run_node_event(node, event);
}

void
quota_cluster_create(quota_cluster_t *cluster, guint32 seed, uint32_t count,
                     const bv_quota_limit_t *limit)
{
    memset(cluster, 0, sizeof(*cluster));
    bv_quota_window_init(&cluster->ideal_window, 5 * SECOND_US);
    cluster->sim = sim_create(seed, cluster);
    cluster->count = count;
    cluster->bounds = (bv_quota_bounds_t){5 * SECOND_US, 0.1, 20};
    cluster->limits = g_array_new(FALSE, FALSE, sizeof(limit_use_t));
    cluster->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    for (uint32_t i = 0; i < count; i++) {
        quota_node_t *node = &cluster->nodes[i];
        node->cluster = cluster;
        node->index = i;
        node->name[0] = (char)('a' + i);
        node->limit = *limit;
        quota_cluster_start(cluster, i);
    }
    event_t poll = {.kind = EVENT_POLL};
    quota_cluster_schedule(cluster, &poll, 0);
}

void
quota_cluster_destroy(quota_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        quota_cluster_destroy_process(&cluster->nodes[i]);
    }
    g_queue_clear_full(&cluster->runs, g_free);
    g_hash_table_destroy(cluster->waiting);
    g_array_unref(cluster->limits);
    sim_destroy(cluster->sim);
}

void
quota_cluster_freeze(quota_cluster_t *cluster, uint32_t index,
                     int64_t duration_us)
{
    cluster->nodes[index].frozen_until_us =
        quota_cluster_now_us(cluster) + duration_us;
}

void
quota_cluster_set_side(quota_cluster_t *cluster, uint32_t index, uint32_t side)
{
    cluster->nodes[index].side = side;
}

void
quota_cluster_run(quota_cluster_t *cluster, int64_t duration_us)
{
    int64_t end_us = quota_cluster_now_us(cluster) + duration_us;
    while (quota_cluster_now_us(cluster) < end_us) {
        sim_step(cluster->sim);
    }
}

void
quota_cluster_run_steps(quota_cluster_t *cluster, uint64_t steps)
{
    for (uint64_t i = 0; i < steps; i++) {
        sim_step(cluster->sim);
    }
}

void
quota_cluster_clear_counts(quota_cluster_t *cluster)
{
    cluster->arrived = 0;
    cluster->ideal = 0;
    cluster->admitted = 0;
    cluster->refused = 0;
    cluster->messages = 0;
    cluster->most_in_window = 0;
}

uint32_t
quota_cluster_lessor(const quota_cluster_t *cluster)
{
    uint64_t incarnation;
    const quota_node_t *node = cluster->nodes;
    while (!quota_cluster_is_running(node)) {
        node++;
    }
    const char *lessor =
        bv_quota_members_lessor(node->members, QUOTA_ACCOUNT, 0, &incarnation);
    ck_assert_ptr_nonnull(lessor);
    return quota_cluster_index_of(lessor);
}
