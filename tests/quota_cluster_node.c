#include "quota_cluster_internal.h"

#include "support.h"

#include <math.h>
#include <string.h>

#define TICK_US (5 * MS)
/* A call that was admitted is rejected within this time, or runs. */
#define RETURN_LIMIT_US (300 * MS)

static void
use_permit(quota_node_t *node, const bv_quota_permit_t *permit)
{
    quota_cluster_t *cluster = node->cluster;
    cluster->admitted++;
    ck_assert(permit->expires_us == 0 ||
              permit->expires_us > quota_cluster_now_us(cluster));
    if (!sim_chance(cluster->sim, cluster->return_percent)) {
        quota_cluster_record_run(cluster);
        return;
    }
    event_t event = {.kind = EVENT_RETURN,
                     .node = node->index,
                     .incarnation = node->incarnation,
                     .permit = *permit};
    quota_cluster_schedule(
        cluster, &event, sim_random_between(cluster->sim, 0, RETURN_LIMIT_US));
}

static const char *
on_lessor(void *context, const char *account, uint32_t part,
          uint64_t *incarnation)
{
    const quota_node_t *node = context;
    return bv_quota_members_lessor(node->members, account, part, incarnation);
}

static bv_quota_reply_t
lend(quota_node_t *node, uint64_t incarnation,
     const bv_quota_request_t *request)
{
    if (incarnation != node->incarnation ||
        !bv_quota_members_is_lessor(node->members, QUOTA_ACCOUNT,
                                    request->part)) {
        return (bv_quota_reply_t){.account = QUOTA_ACCOUNT,
                                  .part = request->part,
                                  .status = BV_QUOTA_NOT_LESSOR};
    }
    return bv_quota_lessor_lend(
        node->lessor, quota_cluster_now_us(node->cluster),
        bv_quota_members_since_us(node->members), request);
}

/* Schedules the arrival of a message, unless it is lost. */
static void
send_message(quota_cluster_t *cluster, const event_t *event)
{
    cluster->messages++;
    if (sim_chance(cluster->sim, cluster->loss_percent)) {
        return;
    }
    quota_cluster_schedule(cluster, event,
                           sim_random_between(cluster->sim, 200, 40 * MS));
}

static void
ask_for_part(quota_node_t *node, const char *lessor, uint64_t incarnation,
             uint64_t sequence, const bv_quota_request_t *request)
{
    if (quota_cluster_index_of(lessor) == node->index) {
        bv_quota_reply_t reply = lend(node, incarnation, request);
        bv_quota_holder_handle_reply(node->holder,
                                     quota_cluster_now_us(node->cluster),
                                     sequence, &reply);
        return;
    }
    event_t event = {.kind = EVENT_REQUEST,
                     .node = quota_cluster_index_of(lessor),
                     .from = node->index,
                     .incarnation = incarnation,
                     .sequence = sequence,
                     .request = *request};
    send_message(node->cluster, &event);
}

/* Sends each entry in a message of its own, as it may be lost by itself. */
static void
on_ask(void *context, const char *lessor, uint64_t incarnation,
       uint64_t sequence, const bv_quota_request_t *requests, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        ask_for_part(context, lessor, incarnation, sequence, &requests[i]);
    }
}

static void
on_admitted(void *context, uint64_t waiter, const bv_quota_permit_t *permit)
{
    quota_node_t *node = context;
    ck_assert(g_hash_table_remove(node->cluster->waiting, &waiter));
    use_permit(node, permit);
}

static void
on_refused(void *context, uint64_t waiter, int64_t retry_us)
{
    quota_node_t *node = context;
    ck_assert_int_ge(retry_us, 0);
    ck_assert(g_hash_table_remove(node->cluster->waiting, &waiter));
    node->cluster->refused++;
}

static const bv_quota_holder_ops_t ops = {on_lessor, on_ask, on_admitted,
                                          on_refused};

void
quota_cluster_destroy_process(quota_node_t *node)
{
    bv_quota_members_destroy(node->members);
    bv_quota_lessor_destroy(node->lessor);
    bv_quota_holder_destroy(node->holder);
    node->members = NULL;
    node->lessor = NULL;
    node->holder = NULL;
    memset(node->views, 0, sizeof(node->views));
}

void
quota_cluster_set_limit(quota_cluster_t *cluster, uint32_t index,
                        const bv_quota_limit_t *limit)
{
    quota_node_t *node = &cluster->nodes[index];
    quota_cluster_note_limits(cluster);
    node->limit = *limit;
    if (node->is_up) {
        bv_quota_lessor_set_limit(node->lessor, quota_cluster_now_us(cluster),
                                  QUOTA_ACCOUNT, limit);
        bv_quota_holder_set_limit(node->holder, QUOTA_ACCOUNT, limit);
    }
}

void
quota_cluster_start(quota_cluster_t *cluster, uint32_t index)
{
    quota_node_t *node = &cluster->nodes[index];
    quota_cluster_kill(cluster, index);
    node->incarnation = ++cluster->next_id;
    node->is_up = true;
    node->frozen_until_us = 0;
    node->is_cut_off = false;
    bv_quota_members_options_t members = {
        .incarnation = node->incarnation,
        .settle_us = SECOND_US,
        .own_settle_us = 2300 * MS,
        .handover_us = 600 * MS,
        .suspension_us = SECOND_US,
    };
    bv_quota_holder_options_t holder = {.ops = &ops, .context = node};
    g_strlcpy(members.name, node->name, BV_NAME_BYTES);
    g_strlcpy(holder.name, node->name, BV_NAME_BYTES);
    node->members =
        bv_quota_members_create(&members, quota_cluster_now_us(cluster));
    node->lessor = bv_quota_lessor_create();
    node->holder = bv_quota_holder_create(&holder);
    quota_cluster_set_limit(cluster, index, &node->limit);
    quota_cluster_read_rows(node);
    event_t tick = {
        .kind = EVENT_TICK, .node = index, .incarnation = node->incarnation};
    quota_cluster_schedule(cluster, &tick, 0);
}

void
quota_cluster_kill(quota_cluster_t *cluster, uint32_t index)
{
    quota_node_t *node = &cluster->nodes[index];
    quota_cluster_destroy_process(node);
    node->is_up = false;
}

static void
schedule_arrival(quota_cluster_t *cluster, const quota_node_t *node)
{
    double wait_s =
        -log(1 - g_rand_double(sim_random(cluster->sim))) / node->load;
    event_t event = {.kind = EVENT_ARRIVAL,
                     .node = node->index,
                     .sequence = node->load_number};
    quota_cluster_schedule(cluster, &event, (int64_t)(wait_s * SECOND_US));
}

void
quota_cluster_set_load(quota_cluster_t *cluster, uint32_t index,
                       double calls_per_s)
{
    quota_node_t *node = &cluster->nodes[index];
    node->load = calls_per_s;
    node->load_number++;
    if (calls_per_s > 0) {
        schedule_arrival(cluster, node);
    }
}

static bool
keeps_bucket(void *context, const char *account, uint32_t part)
{
    const quota_node_t *node = context;
    return bv_quota_members_is_lessor(node->members, account, part);
}

static void
advance(quota_node_t *node)
{
    quota_cluster_t *cluster = node->cluster;
    int64_t now_us = quota_cluster_now_us(cluster);
    if (bv_quota_members_tick(node->members, now_us, node->is_cut_off)) {
        bv_quota_lessor_forget(node->lessor, keeps_bucket, node);
    }
    bool has_started = bv_quota_members_has_started(node->members, now_us);
    bv_quota_lessor_set_bounds(node->lessor, now_us, &cluster->bounds);
    bv_quota_holder_set_floor(
        node->holder, &cluster->bounds,
        has_started ? bv_quota_members_most_seen(node->members) : 0);
}

static void
run_tick(quota_node_t *node, const event_t *event)
{
    advance(node);
    bv_quota_holder_tick(node->holder, quota_cluster_now_us(node->cluster));
    bv_quota_holder_flush(node->holder, quota_cluster_now_us(node->cluster));
    quota_cluster_schedule(node->cluster, event, TICK_US);
}

void
quota_cluster_run_arrival(quota_node_t *node, const event_t *event)
{
    quota_cluster_t *cluster = node->cluster;
    if (event->sequence != node->load_number) {
        return;
    }
    schedule_arrival(cluster, node);
    if (!quota_cluster_is_running(node)) {
        return;
    }
    bv_quota_permit_t permit;
    int64_t retry_us = 0;
    uint64_t id = ++cluster->next_id;
    cluster->arrived++;
    quota_cluster_count_ideal(cluster, &node->limit);
    advance(node);
    switch (bv_quota_holder_charge(node->holder, quota_cluster_now_us(cluster),
                                   QUOTA_ACCOUNT, id, &permit, &retry_us)) {
    case BV_QUOTA_ADMITTED:
        use_permit(node, &permit);
        break;
    case BV_QUOTA_REFUSED:
        cluster->refused++;
        break;
    case BV_QUOTA_WAITING:
        g_hash_table_add(cluster->waiting, g_memdup2(&id, sizeof(id)));
        break;
    }
    bv_quota_holder_flush(node->holder, quota_cluster_now_us(cluster));
}

static void
run_request(quota_node_t *node, const event_t *event)
{
    advance(node);
    event_t reply = *event;
    reply.kind = EVENT_REPLY;
    reply.node = event->from;
    reply.from = node->index;
    reply.incarnation = node->cluster->nodes[event->from].incarnation;
    reply.reply = lend(node, event->incarnation, &event->request);
    if (quota_cluster_are_connected(node->cluster, node->index, event->from)) {
        send_message(node->cluster, &reply);
    }
}

void
quota_cluster_run_node_event(quota_node_t *node, const event_t *event)
{
    int64_t now_us = quota_cluster_now_us(node->cluster);
    switch (event->kind) {
    case EVENT_TICK:
        run_tick(node, event);
        return;
    case EVENT_REQUEST:
        run_request(node, event);
        return;
    case EVENT_REPLY:
        advance(node);
        bv_quota_holder_handle_reply(node->holder, now_us, event->sequence,
                                     &event->reply);
        return;
    case EVENT_RETURN:
        bv_quota_holder_return(node->holder, now_us, QUOTA_ACCOUNT,
                               &event->permit);
        return;
    default:
        return;
    }
}
