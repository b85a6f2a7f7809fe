#include "member_cluster.h"

#include <string.h>

#define TICKS_EACH_INTERVAL 4
#define PEER_PORT 30000
/* Each node has its own port, since an address belongs to one member. */
#define GOSSIP_PORT_FIRST 30001
#define DELAY_MIN_US 200
#define DELAY_REGION_US 30000
#define ROWS_PER_READ 3
/* A node with fewer present members than this reads rows of the store. */
#define READ_ROWS_BELOW 4
#define REPLAY_PERCENT 1
#define REMOVAL_CHECK_EVENTS 16
#define REPLAY_LIMIT_US 30000000

typedef struct {
    uint32_t to;
    bv_member_t from;
    bv_gossip_packet_t packet;
} delivery_t;

static const bv_member_t *
own_record(const member_node_t *node)
{
    return bv_membership_self(node->membership);
}

static member_node_t *
find_node(member_cluster_t *cluster, const char *name)
{
    return &cluster->nodes[g_ascii_strtoull(name + 1, NULL, 10)];
}

static void
fill_self(const member_node_t *node, bv_member_t *self)
{
    const member_cluster_options_t *options = &node->cluster->options;
    uint32_t data_centre = node->number % options->data_centres;
    memset(self, 0, sizeof(*self));
    g_strlcpy(self->name, node->name, BV_NAME_BYTES);
    g_strlcpy(self->service, "catalogue", BV_NAME_BYTES);
    g_strlcpy(self->address, "127.0.0.1", BV_ADDRESS_BYTES);
    g_snprintf(self->data_centre, BV_NAME_BYTES, "d%u", data_centre);
    g_snprintf(self->region, BV_NAME_BYTES, "r%u",
               data_centre % options->regions);
    self->incarnation = node->incarnation;
    self->slots = 8;
    self->peer_port = PEER_PORT;
    self->gossip_port = (uint16_t)(GOSSIP_PORT_FIRST + node->number);
}

static void
on_delivery(void *context, void *data)
{
    member_cluster_t *cluster = context;
    const delivery_t *delivery = data;
    const bv_gossip_packet_t *packet = &delivery->packet;
    member_node_t *node = &cluster->nodes[delivery->to];
    cluster->events++;
    if (!node->is_up) {
        return;
    }
    if (node->is_paused) {
        sim_schedule(cluster->sim, cluster->options.probe_interval_us,
                     on_delivery, g_memdup2(delivery, sizeof(*delivery)));
        return;
    }
    bv_gossip_verdict_t verdict = bv_membership_handle_packet(
        node->membership, sim_now_us(cluster->sim), &delivery->from, packet);
    cluster->totals.syncs += verdict == BV_GOSSIP_SYNCED;
    cluster->totals.replays_dropped += verdict == BV_GOSSIP_REPLAYED;
}

static int64_t
delay_us(const member_cluster_t *cluster, const bv_member_t *from,
         const bv_member_t *to)
{
    int64_t least_us =
        strcmp(from->region, to->region) == 0 ? DELAY_MIN_US : DELAY_REGION_US;
    return least_us + sim_random_between(cluster->sim, 0,
                                         (int)cluster->delay_limit_us + 1);
}

static void
count_packet(member_cluster_t *cluster, const bv_member_t *from,
             const bv_member_t *to, const bv_gossip_packet_t *packet)
{
    member_totals_t *totals = &cluster->totals;
    totals->packets++;
    totals->records += packet->record_count;
    totals->crossed_data_centre +=
        strcmp(from->data_centre, to->data_centre) != 0;
    totals->crossed_region += strcmp(from->region, to->region) != 0;
    if (cluster->on_send != NULL) {
        cluster->on_send(cluster, from, packet);
    }
}

static void
send_packet(void *context, const bv_member_t *to,
            const bv_gossip_packet_t *packet)
{
    member_node_t *node = context;
    member_cluster_t *cluster = node->cluster;
    const bv_member_t *self = own_record(node);
    const member_node_t *receiver = find_node(cluster, to->name);
    count_packet(cluster, self, to, packet);
    if (receiver->partition != node->partition ||
        sim_chance(cluster->sim, cluster->loss_percent)) {
        return;
    }
    delivery_t delivery = {receiver->number, *self, *packet};
    sim_schedule(cluster->sim, delay_us(cluster, self, to), on_delivery,
                 g_memdup2(&delivery, sizeof(delivery)));
    if (sim_chance(cluster->sim, cluster->duplicate_percent)) {
        sim_schedule(cluster->sim, delay_us(cluster, self, to), on_delivery,
                     g_memdup2(&delivery, sizeof(delivery)));
    }
    if (cluster->duplicate_percent > 0 &&
        sim_chance(cluster->sim, REPLAY_PERCENT)) {
        sim_schedule(cluster->sim,
                     sim_random_between(cluster->sim, 1, REPLAY_LIMIT_US),
                     on_delivery, g_memdup2(&delivery, sizeof(delivery)));
    }
}

/* Compares two records of one member by four numbers in turn. */
static bool
model_is_newer(const member_model_t *left, const member_model_t *right)
{
    uint64_t a[] = {left->incarnation, left->state == BV_MEMBER_LEFT,
                    left->version, left->state};
    uint64_t b[] = {right->incarnation, right->state == BV_MEMBER_LEFT,
                    right->version, right->state};
    for (size_t i = 0; i < G_N_ELEMENTS(a); i++) {
        if (a[i] != b[i]) {
            return a[i] > b[i];
        }
    }
    return false;
}

/*
 * No record may have a higher incarnation than its member has reached, or the
 * state left although its member has not left.
 */
static void
check_reported_member(const member_node_t *node, const bv_member_t *member)
{
    const member_node_t *owner = find_node(node->cluster, member->name);
    g_assert_cmpuint(member->incarnation, <=, owner->incarnation);
    if (member->state == BV_MEMBER_LEFT) {
        g_assert_true(member->incarnation < owner->incarnation ||
                      owner->has_left);
    }
}

/* Returns whether a node has had time to remove a dead member's record. */
static bool
is_expired(const member_node_t *node, const member_model_t *model)
{
    return sim_now_us(node->cluster->sim) - model->since_us >=
           node->cluster->options.forget_after_us;
}

/*
 * A record may change only to a newer one, except that a node can end a
 * suspicion that only this node has and can add a removed member again.
 */
static void
compare_with_model(member_node_t *node, const bv_member_t *member)
{
    member_model_t current = {member->incarnation, member->version,
                              member->state, sim_now_us(node->cluster->sim)};
    member_model_t *previous = g_hash_table_lookup(node->model, member->name);
    if (previous == NULL) {
        g_hash_table_insert(node->model, g_strdup(member->name),
                            g_memdup2(&current, sizeof(current)));
        return;
    }
    bool is_rediscovered = previous->state >= BV_MEMBER_LEFT &&
                           current.incarnation <= previous->incarnation;
    bool is_suspicion_dropped = previous->state == BV_MEMBER_SUSPECT &&
                                current.state == BV_MEMBER_ALIVE &&
                                previous->version == current.version;
    g_assert_true(is_suspicion_dropped || model_is_newer(&current, previous) ||
                  (is_rediscovered && is_expired(node, previous)));
    *previous = current;
}

static void
on_member_changed(void *context, const bv_member_t *member)
{
    member_node_t *node = context;
    if (member->state == BV_MEMBER_DEAD) {
        node->evictions++;
        node->cluster->totals.evictions++;
    }
    check_reported_member(node, member);
    if (node->cluster->options.has_model) {
        compare_with_model(node, member);
    }
}

static void
ignore_config_report(void *context, uint64_t generation, uint64_t digest,
                     const char *member)
{
    (void)context;
    (void)generation;
    (void)digest;
    (void)member;
}

static void
on_self_reported(void *context, const bv_member_t *record)
{
    member_node_t *node = context;
    node->reports += bv_departures_count(&record->departures) > 0;
    bv_departures_merge(&node->reported, &record->departures);
}

static const bv_membership_ops_t ops = {
    .send = send_packet,
    .member_changed = on_member_changed,
    .config_reported = ignore_config_report,
    .self_reported = on_self_reported,
};

/*
 * Reads rows of the store: the records of some random nodes as these were when
 * the nodes started.
 */
static void
read_rows(member_node_t *node)
{
    member_cluster_t *cluster = node->cluster;
    for (int i = 0; i < ROWS_PER_READ && cluster->is_store_up; i++) {
        member_node_t *other = &cluster->nodes[sim_random_between(
            cluster->sim, 0, (int)cluster->options.nodes)];
        if (other != node && other->incarnation != 0 && !other->has_left) {
            bv_member_t row;
            fill_self(other, &row);
            bv_membership_merge_record(node->membership,
                                       sim_now_us(cluster->sim), &row);
        }
    }
}

void
member_node_start(member_node_t *node)
{
    member_cluster_t *cluster = node->cluster;
    bv_membership_options_t options = {
        .probe_interval_us = cluster->options.probe_interval_us,
        .probe_timeout_us = cluster->options.probe_interval_us / 2,
        .suspect_timeout_us = cluster->options.suspect_timeout_us,
        .forget_after_us = cluster->options.forget_after_us,
        .mass_suspicion_percent = 20,
        .members_limit = 10000,
        .random = sim_random(cluster->sim),
        .ops = &ops,
        .context = node,
    };
    node->incarnation =
        (uint64_t)sim_now_us(cluster->sim) * 4 + ++node->start_count;
    fill_self(node, &options.self);
    node->is_up = true;
    node->is_paused = false;
    node->has_left = false;
    node->reported = (bv_departures_t){0};
    node->membership = bv_membership_create(&options);
    node->model =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    read_rows(node);
}

void
member_node_crash(member_node_t *node)
{
    node->is_up = false;
    bv_membership_destroy(node->membership);
    g_hash_table_destroy(node->model);
}

void
member_node_drain(member_node_t *node)
{
    bv_membership_set_self_state(node->membership, BV_MEMBER_DRAINING);
}

void
member_node_leave(member_node_t *node)
{
    node->has_left = true;
    bv_membership_set_self_state(node->membership, BV_MEMBER_LEFT);
    member_node_crash(node);
}

static gboolean
is_removed_from_table(gpointer name, gpointer value, gpointer context)
{
    const member_node_t *node = context;
    const member_model_t *model = value;
    bool is_removed = bv_membership_find(node->membership, name) == NULL;
    g_assert_true(!is_removed ||
                  (model->state >= BV_MEMBER_LEFT && is_expired(node, model)));
    return is_removed;
}

static void
on_tick(void *context, void *data)
{
    member_cluster_t *cluster = context;
    const uint32_t *number = data;
    member_node_t *node = &cluster->nodes[*number];
    int64_t period_us =
        cluster->options.probe_interval_us / TICKS_EACH_INTERVAL;
    cluster->events++;
    sim_schedule(cluster->sim, period_us, on_tick,
                 g_memdup2(number, sizeof(*number)));
    if (!node->is_up || node->is_paused) {
        return;
    }
    bv_membership_tick(node->membership, sim_now_us(cluster->sim));
    if (bv_membership_count_present(node->membership) < READ_ROWS_BELOW) {
        read_rows(node);
    }
    if (cluster->events % REMOVAL_CHECK_EVENTS == 0) {
        g_hash_table_foreach_remove(node->model, is_removed_from_table, node);
    }
}

static void
join_all(member_cluster_t *cluster)
{
    uint32_t nodes = cluster->options.nodes;
    for (uint32_t i = 0; i < nodes; i++) {
        for (uint32_t j = 0; j < nodes; j++) {
            bv_membership_merge_record(cluster->nodes[i].membership,
                                       sim_now_us(cluster->sim),
                                       own_record(&cluster->nodes[j]));
        }
    }
}

member_cluster_t *
member_cluster_create(const member_cluster_options_t *options)
{
    member_cluster_t *cluster = g_new0(member_cluster_t, 1);
    cluster->options = *options;
    cluster->is_store_up = true;
    cluster->sim = sim_create(options->seed, cluster);
    cluster->nodes = g_new0(member_node_t, options->nodes);
    for (uint32_t i = 0; i < options->nodes; i++) {
        member_node_t *node = &cluster->nodes[i];
        node->cluster = cluster;
        node->number = i;
        g_snprintf(node->name, BV_NAME_BYTES, "n%u", i);
    }
    for (uint32_t i = 0; i < options->nodes; i++) {
        member_node_start(&cluster->nodes[i]);
        sim_schedule(cluster->sim,
                     sim_random_between(cluster->sim, 0,
                                        (int)options->probe_interval_us),
                     on_tick, g_memdup2(&i, sizeof(i)));
    }
    if (options->starts_joined) {
        join_all(cluster);
    }
    return cluster;
}

void
member_cluster_destroy(member_cluster_t *cluster)
{
    for (uint32_t i = 0; i < cluster->options.nodes; i++) {
        if (cluster->nodes[i].is_up) {
            member_node_crash(&cluster->nodes[i]);
        }
    }
    sim_destroy(cluster->sim);
    g_free(cluster->nodes);
    g_free(cluster);
}

void
member_cluster_run(member_cluster_t *cluster, int64_t duration_us,
                   uint64_t events)
{
    int64_t end_us = sim_now_us(cluster->sim) + duration_us;
    uint64_t end_events = events < G_MAXUINT64 - cluster->events
                              ? cluster->events + events
                              : G_MAXUINT64;
    while (sim_now_us(cluster->sim) < end_us && cluster->events < end_events) {
        sim_step(cluster->sim);
    }
}

static bool
has_current_record(const member_node_t *node, const member_node_t *other)
{
    const bv_member_t *member =
        bv_membership_find(node->membership, other->name);
    if (!other->is_up) {
        return member == NULL || member->state >= BV_MEMBER_LEFT;
    }
    return member != NULL && member->incarnation == other->incarnation &&
           member->state == own_record(other)->state;
}

uint32_t
member_cluster_count_wrong_views(const member_cluster_t *cluster)
{
    uint32_t wrong = 0;
    for (uint32_t i = 0; i < cluster->options.nodes; i++) {
        const member_node_t *node = &cluster->nodes[i];
        for (uint32_t j = 0; j < cluster->options.nodes && node->is_up; j++) {
            if (i != j && !has_current_record(node, &cluster->nodes[j])) {
                wrong++;
                break;
            }
        }
    }
    return wrong;
}

uint32_t
member_cluster_count_candidates(const member_cluster_t *cluster,
                                const member_node_t *of)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < cluster->options.nodes; i++) {
        const member_node_t *node = &cluster->nodes[i];
        if (!node->is_up || node == of) {
            continue;
        }
        const bv_member_t *member =
            bv_membership_find(node->membership, of->name);
        count += member != NULL && member->incarnation == of->incarnation &&
                 member->state <= BV_MEMBER_SUSPECT;
    }
    return count;
}

uint32_t
member_cluster_count_stale_records(const member_cluster_t *cluster)
{
    uint32_t stale = 0;
    for (uint32_t i = 0; i < cluster->options.nodes; i++) {
        const member_node_t *node = &cluster->nodes[i];
        for (uint32_t j = 0; j < cluster->options.nodes; j++) {
            const bv_member_t *member =
                bv_membership_find(node->membership, cluster->nodes[j].name);
            stale += i != j && (member == NULL ||
                                member->version !=
                                    own_record(&cluster->nodes[j])->version);
        }
    }
    return stale;
}
