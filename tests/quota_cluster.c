#include "quota_cluster.h"

#include "support.h"

#include <math.h>
#include <string.h>

#define MS 1000
#define SECOND_US 1000000
#define TICK_US (5 * MS)
#define POLL_US (50 * MS)
#define SUSPECT_AFTER_US (800 * MS)
#define CUT_OFF_MEMBERS 4
#define CUT_OFF_PERCENT 20
/* A call that was admitted is rejected within this time, or runs. */
#define RETURN_LIMIT_US (300 * MS)

typedef enum {
    EVENT_TICK,
    EVENT_POLL,
    EVENT_ARRIVAL,
    EVENT_REQUEST,
    EVENT_REPLY,
    EVENT_RETURN,
} event_kind_t;

typedef struct {
    event_kind_t kind;
    uint32_t node;
    uint32_t from;
    uint64_t incarnation;
    uint64_t sequence;
    uint32_t needed;
    uint32_t wanted;
    bv_quota_reply_t reply;
    bv_quota_permit_t permit;
} event_t;

/* A limit and the last time at which a node applied it. */
typedef struct {
    bv_quota_limit_t limit;
    int64_t last_us;
} limit_use_t;

static void run_event(void *context, void *data);

static int64_t
now_of(const quota_cluster_t *cluster)
{
    return sim_now_us(cluster->sim);
}

static void
schedule(quota_cluster_t *cluster, const event_t *event, int64_t delay_us)
{
    sim_schedule(cluster->sim, delay_us, run_event,
                 g_memdup2(event, sizeof(*event)));
}

static bool
is_running(const quota_node_t *node)
{
    return node->is_up && node->frozen_until_us <= now_of(node->cluster);
}

static bool
are_connected(const quota_cluster_t *cluster, uint32_t from, uint32_t to)
{
    return cluster->nodes[from].side == cluster->nodes[to].side;
}

static void
note_limits(quota_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        const bv_quota_limit_t *limit = &cluster->nodes[i].limit;
        guint k = 0;
        while (k < cluster->limits->len &&
               memcmp(&g_array_index(cluster->limits, limit_use_t, k).limit,
                      limit, sizeof(*limit)) != 0) {
            k++;
        }
        if (k == cluster->limits->len) {
            limit_use_t use = {*limit, 0};
            g_array_append_val(cluster->limits, use);
        }
        g_array_index(cluster->limits, limit_use_t, k).last_us =
            now_of(cluster);
    }
}

/* The bound by the largest limit that a node applied in the last window. */
static double
bound_now(quota_cluster_t *cluster)
{
    double bound = 0;
    double window_s = (double)cluster->bounds.window_us / SECOND_US;
    note_limits(cluster);
    for (guint i = 0; i < cluster->limits->len; i++) {
        const limit_use_t *use =
            &g_array_index(cluster->limits, limit_use_t, i);
        if (use->last_us < now_of(cluster) - cluster->bounds.window_us) {
            continue;
        }
        double quota = use->limit.rate_per_s * window_s + use->limit.burst;
        bound = MAX(bound, quota * (1 + cluster->bounds.overage) +
                               cluster->bounds.slack);
    }
    return bound;
}

static void
record_run(quota_cluster_t *cluster)
{
    int64_t now_us = now_of(cluster);
    g_queue_push_tail(&cluster->runs, g_memdup2(&now_us, sizeof(now_us)));
    while (*(int64_t *)cluster->runs.head->data <=
           now_us - cluster->bounds.window_us) {
        g_free(g_queue_pop_head(&cluster->runs));
    }
    cluster->most_in_window =
        MAX(cluster->most_in_window, cluster->runs.length);
    double bound = bound_now(cluster);
    ck_assert_msg(cluster->runs.length <= bound,
                  "%u requests in a window, allowed are %.1f",
                  cluster->runs.length, bound);
}

static void
use_permit(quota_node_t *node, const bv_quota_permit_t *permit)
{
    quota_cluster_t *cluster = node->cluster;
    cluster->admitted++;
    ck_assert(permit->expires_us == 0 || permit->expires_us > now_of(cluster));
    if (!sim_chance(cluster->sim, cluster->return_percent)) {
        record_run(cluster);
        return;
    }
    event_t event = {.kind = EVENT_RETURN,
                     .node = node->index,
                     .incarnation = node->incarnation,
                     .permit = *permit};
    schedule(cluster, &event,
             sim_random_between(cluster->sim, 0, RETURN_LIMIT_US));
}

static const char *
on_lessor(void *context, const char *account, uint64_t *incarnation)
{
    const quota_node_t *node = context;
    return bv_quota_members_lessor(node->members, account, incarnation);
}

static uint32_t
index_of(const char *name)
{
    return (uint32_t)(name[0] - 'a');
}

static bv_quota_reply_t
lend(quota_node_t *node, uint64_t incarnation, uint32_t needed,
     uint32_t wanted)
{
    bv_quota_request_t request = {QUOTA_ACCOUNT, needed, wanted};
    if (incarnation != node->incarnation ||
        !bv_quota_members_is_lessor(node->members, QUOTA_ACCOUNT)) {
        return (bv_quota_reply_t){.account = QUOTA_ACCOUNT,
                                  .status = BV_QUOTA_NOT_LESSOR};
    }
    return bv_quota_lessor_lend(node->lessor, now_of(node->cluster),
                                bv_quota_members_since_us(node->members),
                                &request);
}

/* Schedules the arrival of a message, unless it is lost. */
static void
send_message(quota_cluster_t *cluster, const event_t *event)
{
    cluster->messages++;
    if (sim_chance(cluster->sim, cluster->loss_percent)) {
        return;
    }
    schedule(cluster, event, sim_random_between(cluster->sim, 200, 40 * MS));
}

static void
on_ask(void *context, const char *lessor, uint64_t incarnation,
       uint64_t sequence, const bv_quota_request_t *requests, uint32_t count)
{
    quota_node_t *node = context;
    ck_assert_uint_eq(count, 1);
    if (index_of(lessor) == node->index) {
        bv_quota_reply_t reply =
            lend(node, incarnation, requests->needed, requests->wanted);
        bv_quota_holder_handle_reply(node->holder, now_of(node->cluster),
                                     sequence, &reply);
        return;
    }
    event_t event = {.kind = EVENT_REQUEST,
                     .node = index_of(lessor),
                     .from = node->index,
                     .incarnation = incarnation,
                     .sequence = sequence,
                     .needed = requests->needed,
                     .wanted = requests->wanted};
    send_message(node->cluster, &event);
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

static void
destroy_process(quota_node_t *node)
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
    note_limits(cluster);
    node->limit = *limit;
    if (node->is_up) {
        bv_quota_lessor_set_limit(node->lessor, now_of(cluster), QUOTA_ACCOUNT,
                                  limit);
        bv_quota_holder_set_limit(node->holder, QUOTA_ACCOUNT, limit);
    }
}

static void
apply_view(quota_node_t *node, uint64_t incarnation, const quota_node_t *peer,
           bv_member_state_t state)
{
    bv_member_t record = {.incarnation = incarnation, .state = state};
    g_strlcpy(record.name, peer->name, BV_NAME_BYTES);
    bv_quota_members_update(node->members, now_of(node->cluster), &record);
}

/* A node that starts reads the rows of the other nodes from the table. */
static void
read_rows(quota_node_t *node)
{
    for (uint32_t i = 0; i < node->cluster->count; i++) {
        const quota_node_t *peer = &node->cluster->nodes[i];
        if (i != node->index && peer->is_up) {
            node->views[i].is_known = true;
            node->views[i].incarnation = peer->incarnation;
            apply_view(node, peer->incarnation, peer, BV_MEMBER_ALIVE);
        }
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
    node->members = bv_quota_members_create(&members, now_of(cluster));
    node->lessor = bv_quota_lessor_create();
    node->holder = bv_quota_holder_create(&holder);
    quota_cluster_set_limit(cluster, index, &node->limit);
    read_rows(node);
    event_t tick = {
        .kind = EVENT_TICK, .node = index, .incarnation = node->incarnation};
    schedule(cluster, &tick, 0);
}

void
quota_cluster_kill(quota_cluster_t *cluster, uint32_t index)
{
    quota_node_t *node = &cluster->nodes[index];
    destroy_process(node);
    node->is_up = false;
}

void
quota_cluster_freeze(quota_cluster_t *cluster, uint32_t index,
                     int64_t duration_us)
{
    cluster->nodes[index].frozen_until_us = now_of(cluster) + duration_us;
}

void
quota_cluster_set_side(quota_cluster_t *cluster, uint32_t index, uint32_t side)
{
    cluster->nodes[index].side = side;
}

static void
schedule_arrival(quota_cluster_t *cluster, const quota_node_t *node)
{
    double wait_s =
        -log(1 - g_rand_double(sim_random(cluster->sim))) / node->load;
    event_t event = {.kind = EVENT_ARRIVAL,
                     .node = node->index,
                     .sequence = node->load_number};
    schedule(cluster, &event, (int64_t)(wait_s * SECOND_US));
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
is_reachable(const quota_node_t *node, const quota_node_t *peer)
{
    return is_running(peer) &&
           are_connected(node->cluster, node->index, peer->index);
}

static void
see_reachable(quota_node_t *node, const quota_node_t *peer, quota_view_t *view)
{
    int64_t now_us = now_of(node->cluster);
    if (view->unreachable_since_us != 0 || view->reachable_since_us == 0 ||
        view->incarnation != peer->incarnation) {
        view->unreachable_since_us = 0;
        view->incarnation = peer->incarnation;
        view->reachable_since_us = now_us;
        view->alive_after_us =
            sim_random_between(node->cluster->sim, 50 * MS, 700 * MS);
        view->is_known = view->is_known && !view->is_dead;
    }
    if (now_us - view->reachable_since_us >= view->alive_after_us) {
        view->is_known = true;
        view->is_dead = false;
        apply_view(node, view->incarnation, peer, BV_MEMBER_ALIVE);
    }
}

static void
see_unreachable(quota_node_t *node, const quota_node_t *peer,
                quota_view_t *view)
{
    int64_t now_us = now_of(node->cluster);
    if (view->unreachable_since_us == 0) {
        view->unreachable_since_us = now_us;
        view->dead_after_us = sim_random_between(
            node->cluster->sim, 3 * SECOND_US / 2, 3 * SECOND_US);
    }
    int64_t silent_us = now_us - view->unreachable_since_us;
    if (!view->is_known || view->is_dead || node->is_cut_off) {
        return;
    }
    if (silent_us >= view->dead_after_us) {
        view->is_dead = true;
        apply_view(node, view->incarnation, peer, BV_MEMBER_DEAD);
    }
    else if (silent_us >= SUSPECT_AFTER_US) {
        apply_view(node, view->incarnation, peer, BV_MEMBER_SUSPECT);
    }
}

static void
update_cut_off(quota_node_t *node)
{
    uint32_t suspects = 0;
    uint32_t present = 0;
    for (uint32_t i = 0; i < node->cluster->count; i++) {
        const quota_view_t *view = &node->views[i];
        if (i == node->index || !view->is_known || view->is_dead) {
            continue;
        }
        present++;
        suspects += view->unreachable_since_us != 0 &&
                    now_of(node->cluster) - view->unreachable_since_us >=
                        SUSPECT_AFTER_US;
    }
    node->is_cut_off = suspects >= CUT_OFF_MEMBERS &&
                       suspects * 100 >= present * CUT_OFF_PERCENT;
}

static void
poll_views(quota_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        quota_node_t *node = &cluster->nodes[i];
        if (!is_running(node)) {
            continue;
        }
        for (uint32_t k = 0; k < cluster->count; k++) {
            const quota_node_t *peer = &cluster->nodes[k];
            if (k == i) {
                continue;
            }
            if (is_reachable(node, peer)) {
                see_reachable(node, peer, &node->views[k]);
            }
            else {
                see_unreachable(node, peer, &node->views[k]);
            }
        }
        update_cut_off(node);
    }
}

static bool
keeps_bucket(void *context, const char *account)
{
    const quota_node_t *node = context;
    return bv_quota_members_is_lessor(node->members, account);
}

static void
advance(quota_node_t *node)
{
    quota_cluster_t *cluster = node->cluster;
    int64_t now_us = now_of(cluster);
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
    bv_quota_holder_tick(node->holder, now_of(node->cluster));
    bv_quota_holder_flush(node->holder, now_of(node->cluster));
    schedule(node->cluster, event, TICK_US);
}

static void
count_ideal(quota_cluster_t *cluster, const bv_quota_limit_t *limit)
{
    int64_t now_us = now_of(cluster);
    double quota = limit->rate_per_s * 5.0 + limit->burst;
    double extra =
        0.25 * (cluster->bounds.overage * quota + cluster->bounds.slack);
    double gained =
        (double)(now_us - cluster->ideal_filled_us) * quota / 5 / SECOND_US;
    double capacity =
        MAX(limit->burst, MAX(1, limit->rate_per_s / 20.0)) + extra;
    cluster->ideal_permits = MIN(cluster->ideal_permits + gained, capacity);
    cluster->ideal_filled_us = now_us;
    double lent =
        (double)bv_quota_window_count(&cluster->ideal_window, now_us);
    if (cluster->ideal_permits >= 1 && lent + 1 <= quota + extra) {
        bv_quota_window_add(&cluster->ideal_window, now_us, 1);
        cluster->ideal_permits--;
        cluster->ideal++;
    }
}

static void
run_arrival(quota_node_t *node, const event_t *event)
{
    quota_cluster_t *cluster = node->cluster;
    if (event->sequence != node->load_number) {
        return;
    }
    schedule_arrival(cluster, node);
    if (!is_running(node)) {
        return;
    }
    bv_quota_permit_t permit;
    int64_t retry_us = 0;
    uint64_t id = ++cluster->next_id;
    cluster->arrived++;
    count_ideal(cluster, &node->limit);
    advance(node);
    switch (bv_quota_holder_charge(node->holder, now_of(cluster),
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
    bv_quota_holder_flush(node->holder, now_of(cluster));
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
    reply.reply = lend(node, event->incarnation, event->needed, event->wanted);
    if (are_connected(node->cluster, node->index, event->from)) {
        send_message(node->cluster, &reply);
    }
}

static void
run_node_event(quota_node_t *node, const event_t *event)
{
    int64_t now_us = now_of(node->cluster);
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

static void
run_event(void *context, void *data)
{
    quota_cluster_t *cluster = context;
    const event_t *event = data;
    quota_node_t *node = &cluster->nodes[event->node];
    if (event->kind == EVENT_POLL) {
        poll_views(cluster);
        schedule(cluster, event, POLL_US);
        return;
    }
    if (event->kind == EVENT_ARRIVAL) {
        run_arrival(node, event);
        return;
    }
    bool is_message =
        event->kind == EVENT_REQUEST || event->kind == EVENT_REPLY;
    if (!node->is_up ||
        (event->kind != EVENT_REQUEST &&
         event->incarnation != node->incarnation) ||
        (is_message && !are_connected(cluster, event->from, event->node))) {
        return;
    }
    if (!is_running(node)) {
        schedule(cluster, event, node->frozen_until_us - now_of(cluster));
        return;
    }
    run_node_event(node, event);
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
    schedule(cluster, &poll, 0);
}

void
quota_cluster_destroy(quota_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->count; i++) {
        destroy_process(&cluster->nodes[i]);
    }
    g_queue_clear_full(&cluster->runs, g_free);
    g_hash_table_destroy(cluster->waiting);
    g_array_unref(cluster->limits);
    sim_destroy(cluster->sim);
}

void
quota_cluster_run(quota_cluster_t *cluster, int64_t duration_us)
{
    int64_t end_us = now_of(cluster) + duration_us;
    while (now_of(cluster) < end_us) {
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
    while (!is_running(node)) {
        node++;
    }
    const char *lessor =
        bv_quota_members_lessor(node->members, QUOTA_ACCOUNT, &incarnation);
    ck_assert_ptr_nonnull(lessor);
    return index_of(lessor);
}
