#include "member_cluster.h"

#include <string.h>

#define TICKS_EACH_INTERVAL 4
#define DELAY_LEAST_US 200
#define DELAY_REGION_US 30000
#define ROWS_READ 3
#define FEW_MEMBERS 4
#define REPLAY_PERCENT 1
#define FORGET_CHECK_EVENTS 16
#define REPLAY_LIMIT_US 30000000

typedef struct {
    uint32_t to;
    bv_member_t from;
    bv_gossip_packet_t packet;
} letter_t;

static const bv_member_t *
self_of(const member_node_t *node)
{
    return bv_membership_self(node->membership);
}

static member_node_t *
find_node(member_cluster_t *world, const char *name)
{
    return &world->nodes[g_ascii_strtoull(name + 1, NULL, 10)];
}

static void
fill_self(const member_node_t *node, bv_member_t *self)
{
    const member_cluster_options_t *options = &node->world->options;
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
    self->peer_port = 30000;
    self->gossip_port = 30001;
}

static void
on_letter(void *context, void *data)
{
    member_cluster_t *world = context;
    const letter_t *letter = data;
    const bv_gossip_packet_t *packet = &letter->packet;
    member_node_t *node = &world->nodes[letter->to];
    world->events++;
    if (!node->is_up) {
        return;
    }
    if (node->is_paused) {
        sim_schedule(world->sim, world->options.probe_interval_us, on_letter,
                     g_memdup2(letter, sizeof(*letter)));
        return;
    }
    bv_gossip_verdict_t verdict = bv_membership_handle_packet(
        node->membership, sim_now_us(world->sim), &letter->from, packet);
    world->totals.syncs += verdict == BV_GOSSIP_SYNCED;
    world->totals.replays_dropped += verdict == BV_GOSSIP_REPLAYED;
}

static int64_t
delay_us(const member_cluster_t *world, const bv_member_t *from,
         const bv_member_t *to)
{
    int64_t least_us = strcmp(from->region, to->region) == 0 ? DELAY_LEAST_US
                                                             : DELAY_REGION_US;
    return least_us +
           sim_random_between(world->sim, 0, (int)world->delay_limit_us + 1);
}

static void
count_packet(member_cluster_t *world, const bv_member_t *from,
             const bv_member_t *to, const bv_gossip_packet_t *packet)
{
    member_totals_t *totals = &world->totals;
    totals->packets++;
    totals->records += packet->record_count;
    totals->crossed_data_centre +=
        strcmp(from->data_centre, to->data_centre) != 0;
    totals->crossed_region += strcmp(from->region, to->region) != 0;
    if (world->on_send != NULL) {
        world->on_send(world, from, packet);
    }
}

static void
send_packet(void *context, const bv_member_t *to,
            const bv_gossip_packet_t *packet)
{
    member_node_t *node = context;
    member_cluster_t *world = node->world;
    const bv_member_t *self = self_of(node);
    const member_node_t *receiver = find_node(world, to->name);
    count_packet(world, self, to, packet);
    if (receiver->partition != node->partition ||
        sim_chance(world->sim, world->loss_percent)) {
        return;
    }
    letter_t letter = {receiver->number, *self, *packet};
    sim_schedule(world->sim, delay_us(world, self, to), on_letter,
                 g_memdup2(&letter, sizeof(letter)));
    if (sim_chance(world->sim, world->duplicate_percent)) {
        sim_schedule(world->sim, delay_us(world, self, to), on_letter,
                     g_memdup2(&letter, sizeof(letter)));
    }
    if (world->duplicate_percent > 0 &&
        sim_chance(world->sim, REPLAY_PERCENT)) {
        sim_schedule(world->sim,
                     sim_random_between(world->sim, 1, REPLAY_LIMIT_US),
                     on_letter, g_memdup2(&letter, sizeof(letter)));
    }
}

/* The twin orders records of one name by plain comparison of four numbers. */
static bool
twin_newer(const member_model_t *left, const member_model_t *right)
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

static void
check_claim(const member_node_t *node, const bv_member_t *member)
{
    const member_node_t *owner = find_node(node->world, member->name);
    g_assert_cmpuint(member->incarnation, <=, owner->incarnation);
    if (member->state == BV_MEMBER_LEFT) {
        g_assert_true(member->incarnation < owner->incarnation ||
                      owner->has_left);
    }
}

static bool
is_forgotten_long(const member_node_t *node, const member_model_t *twin)
{
    return sim_now_us(node->world->sim) - twin->since_us >=
           node->world->options.forget_us;
}

static void
compare_with_twin(member_node_t *node, const bv_member_t *member)
{
    member_model_t now = {member->incarnation, member->version, member->state,
                          sim_now_us(node->world->sim)};
    member_model_t *was = g_hash_table_lookup(node->model, member->name);
    if (was == NULL) {
        g_hash_table_insert(node->model, g_strdup(member->name),
                            g_memdup2(&now, sizeof(now)));
        return;
    }
    bool known_anew =
        was->state >= BV_MEMBER_LEFT && now.incarnation <= was->incarnation;
    bool dropped = was->state == BV_MEMBER_SUSPECT &&
                   now.state == BV_MEMBER_ALIVE && was->version == now.version;
    g_assert_true(dropped || twin_newer(&now, was) ||
                  (known_anew && is_forgotten_long(node, was)));
    *was = now;
}

static void
changed(void *context, const bv_member_t *member)
{
    member_node_t *node = context;
    if (member->state == BV_MEMBER_DEAD) {
        node->evictions++;
        node->world->totals.evictions++;
    }
    check_claim(node, member);
    if (node->world->options.has_model) {
        compare_with_twin(node, member);
    }
}

static void
config_heard(void *context, uint64_t generation, uint64_t digest,
             const char *member)
{
    (void)context;
    (void)generation;
    (void)digest;
    (void)member;
}

static const bv_membership_ops_t ops = {send_packet, changed, config_heard};

/* Rows of the store: the own record of some nodes as it was at their start. */
static void
read_rows(member_node_t *node)
{
    member_cluster_t *world = node->world;
    for (int i = 0; i < ROWS_READ && world->is_store_up; i++) {
        member_node_t *other = &world->nodes[sim_random_between(
            world->sim, 0, (int)world->options.nodes)];
        if (other != node && other->incarnation != 0 && !other->has_left) {
            bv_member_t row;
            fill_self(other, &row);
            bv_membership_merge_record(node->membership,
                                       sim_now_us(world->sim), &row);
        }
    }
}

void
member_node_start(member_node_t *node)
{
    member_cluster_t *world = node->world;
    bv_membership_options_t options = {
        .probe_interval_us = world->options.probe_interval_us,
        .probe_timeout_us = world->options.probe_interval_us / 2,
        .suspect_timeout_us = world->options.suspect_timeout_us,
        .forget_after_us = world->options.forget_us,
        .mass_suspicion_percent = 20,
        .members_limit = 10000,
        .random = sim_random(world->sim),
        .ops = &ops,
        .context = node,
    };
    node->incarnation =
        (uint64_t)sim_now_us(world->sim) * 4 + ++node->start_count;
    fill_self(node, &options.self);
    node->is_up = true;
    node->is_paused = false;
    node->has_left = false;
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
is_forgotten(gpointer name, gpointer value, gpointer context)
{
    const member_node_t *node = context;
    const member_model_t *twin = value;
    bool forgotten = bv_membership_find(node->membership, name) == NULL;
    g_assert_true(!forgotten || (twin->state >= BV_MEMBER_LEFT &&
                                 is_forgotten_long(node, twin)));
    return forgotten;
}

static void
on_tick(void *context, void *data)
{
    member_cluster_t *world = context;
    const uint32_t *number = data;
    member_node_t *node = &world->nodes[*number];
    int64_t period_us = world->options.probe_interval_us / TICKS_EACH_INTERVAL;
    world->events++;
    sim_schedule(world->sim, period_us, on_tick,
                 g_memdup2(number, sizeof(*number)));
    if (!node->is_up || node->is_paused) {
        return;
    }
    bv_membership_tick(node->membership, sim_now_us(world->sim));
    if (bv_membership_count_present(node->membership) < FEW_MEMBERS) {
        read_rows(node);
    }
    if (world->events % FORGET_CHECK_EVENTS == 0) {
        g_hash_table_foreach_remove(node->model, is_forgotten, node);
    }
}

static void
introduce_all(member_cluster_t *world)
{
    uint32_t nodes = world->options.nodes;
    for (uint32_t i = 0; i < nodes; i++) {
        for (uint32_t j = 0; j < nodes; j++) {
            bv_membership_merge_record(world->nodes[i].membership,
                                       sim_now_us(world->sim),
                                       self_of(&world->nodes[j]));
        }
    }
}

member_cluster_t *
member_cluster_create(const member_cluster_options_t *options)
{
    member_cluster_t *world = g_new0(member_cluster_t, 1);
    world->options = *options;
    world->is_store_up = true;
    world->sim = sim_create(options->seed, world);
    world->nodes = g_new0(member_node_t, options->nodes);
    for (uint32_t i = 0; i < options->nodes; i++) {
        member_node_t *node = &world->nodes[i];
        node->world = world;
        node->number = i;
        g_snprintf(node->name, BV_NAME_BYTES, "n%u", i);
    }
    for (uint32_t i = 0; i < options->nodes; i++) {
        member_node_start(&world->nodes[i]);
        sim_schedule(
            world->sim,
            sim_random_between(world->sim, 0, (int)options->probe_interval_us),
            on_tick, g_memdup2(&i, sizeof(i)));
    }
    if (options->starts_joined) {
        introduce_all(world);
    }
    return world;
}

void
member_cluster_destroy(member_cluster_t *world)
{
    for (uint32_t i = 0; i < world->options.nodes; i++) {
        if (world->nodes[i].is_up) {
            member_node_crash(&world->nodes[i]);
        }
    }
    sim_destroy(world->sim);
    g_free(world->nodes);
    g_free(world);
}

void
member_cluster_run(member_cluster_t *world, int64_t duration_us,
                   uint64_t events)
{
    int64_t end_us = sim_now_us(world->sim) + duration_us;
    uint64_t end = events < G_MAXUINT64 - world->events
                       ? world->events + events
                       : G_MAXUINT64;
    while (sim_now_us(world->sim) < end_us && world->events < end) {
        sim_step(world->sim);
    }
}

static bool
sees(const member_node_t *node, const member_node_t *other)
{
    const bv_member_t *member =
        bv_membership_find(node->membership, other->name);
    if (!other->is_up) {
        return member == NULL || member->state >= BV_MEMBER_LEFT;
    }
    return member != NULL && member->incarnation == other->incarnation &&
           member->state == self_of(other)->state;
}

uint32_t
member_cluster_count_wrong_views(const member_cluster_t *world)
{
    uint32_t wrong = 0;
    for (uint32_t i = 0; i < world->options.nodes; i++) {
        const member_node_t *node = &world->nodes[i];
        for (uint32_t j = 0; j < world->options.nodes && node->is_up; j++) {
            if (i != j && !sees(node, &world->nodes[j])) {
                wrong++;
                break;
            }
        }
    }
    return wrong;
}

uint32_t
member_cluster_count_candidates(const member_cluster_t *world,
                                const member_node_t *of)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < world->options.nodes; i++) {
        const member_node_t *node = &world->nodes[i];
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
member_cluster_count_stale_records(const member_cluster_t *world)
{
    uint32_t old = 0;
    for (uint32_t i = 0; i < world->options.nodes; i++) {
        const member_node_t *node = &world->nodes[i];
        for (uint32_t j = 0; j < world->options.nodes; j++) {
            const bv_member_t *member =
                bv_membership_find(node->membership, world->nodes[j].name);
            old += i != j &&
                   (member == NULL ||
                    member->version != self_of(&world->nodes[j])->version);
        }
    }
    return old;
}
