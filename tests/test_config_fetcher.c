#include "berylvane/core/config_fetcher.h"

#include "config_model.h"
#include "sim.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

/*
 * Runs the fetchers of a simulated cluster through partitions, pauses,
 * restarts, damaged bundles and outages of the store, beside a reference
 * model. A node must not adopt a damaged or older bundle, begin to serve with
 * an old one, or miss the newest after the faults have ended.
 */
#define NODES 12
#define SECOND_US 1000000
#define TICK_US 100000
#define GOSSIP_US 200000
#define SETTLE_US (60 * SECOND_US)
#define GATHER_US (2 * (int64_t)SECOND_US)
#define CORRUPT_PERCENT 5
#define STALE_PERCENT 10

typedef struct {
    GBytes *body;
    bv_config_version_t version;
} bundle_t;

typedef struct cluster cluster_t;

typedef struct {
    cluster_t *cluster;
    uint32_t number;
    uint32_t starts;
    bool is_up;
    bool is_paused;
    uint32_t partition;
    bv_config_fetcher_t *fetcher;
    config_model_t model;
    uint64_t adopted;
    bool is_head_known;
    uint32_t reporters;
    int64_t first_report_us;
} node_t;

struct cluster {
    sim_t *sim;
    GArray *bundles;
    node_t nodes[NODES];
    bool is_store_up;
    bool is_faultless;
    uint64_t events;
    uint64_t adoptions;
    uint64_t starts_without_head;
};

typedef struct {
    uint32_t to;
    /* Number of starts of the receiver when the packet was sent; the packet is
     * dropped if the receiver was started again. */
    uint32_t starts;
    uint32_t from;
    uint32_t from_starts;
    bv_config_version_t version;
    /* Generation of the bundle that the packet requests or holds. */
    uint64_t generation;
    bool is_corrupt;
} packet_t;

static const bundle_t *
bundle_of(const cluster_t *cluster, uint64_t generation)
{
    return &g_array_index(cluster->bundles, bundle_t, generation - 1);
}

static void
publish_bundle(cluster_t *cluster)
{
    uint64_t generation = cluster->bundles->len + 1;
    char text[64];
    int size =
        g_snprintf(text, sizeof(text), "bundle %" G_GUINT64_FORMAT " %08x",
                   (guint64)generation, g_rand_int(sim_random(cluster->sim)));
    GBytes *body = g_bytes_new(text, (gsize)size);
    bundle_t bundle = {body, {generation, bv_config_bundle_digest(body)}};
    g_array_append_val(cluster->bundles, bundle);
}

static bool
can_reach(const cluster_t *cluster, uint32_t from, uint32_t to)
{
    const node_t *a = &cluster->nodes[from];
    const node_t *b = &cluster->nodes[to];
    return a->is_up && b->is_up && a->partition == b->partition &&
           (cluster->is_faultless || !sim_chance(cluster->sim, 20));
}

static int64_t
delay_us(const cluster_t *cluster)
{
    return sim_random_between(cluster->sim, 500,
                              cluster->is_faultless ? 30000 : 3000000);
}

static void
send_packet(cluster_t *cluster, sim_callback_t run, const packet_t *packet)
{
    sim_schedule(cluster->sim, delay_us(cluster), run,
                 g_memdup2(packet, sizeof(*packet)));
    if (!cluster->is_faultless && sim_chance(cluster->sim, 10)) {
        sim_schedule(cluster->sim, delay_us(cluster), run,
                     g_memdup2(packet, sizeof(*packet)));
    }
}

static node_t *
receive(cluster_t *cluster, const packet_t *packet)
{
    node_t *node = &cluster->nodes[packet->to];
    cluster->events++;
    return node->is_up && !node->is_paused && node->starts == packet->starts
               ? node
               : NULL;
}

static void
compare_with_model(const node_t *node)
{
    const bv_config_version_t *version =
        bv_config_fetcher_in_force(node->fetcher);
    if (version->generation == 0) {
        return;
    }
    ck_assert_uint_eq(
        version->digest,
        bundle_of(node->cluster, version->generation)->version.digest);
    ck_assert_uint_le(version->generation,
                      config_model_in_force(&node->model));
    config_model_forget_older(&node->model, version->generation);
}

static void
record_reporter(node_t *node, const packet_t *packet)
{
    if (packet->version.generation == 0) {
        return;
    }
    if (node->reporters == 0) {
        node->first_report_us = sim_now_us(node->cluster->sim);
    }
    node->reporters |= 1U << packet->from;
}

static void
on_version(void *context, void *data)
{
    const packet_t *packet = data;
    node_t *node = receive(context, packet);
    if (node == NULL) {
        return;
    }
    char name[BV_NAME_BYTES];
    g_snprintf(name, sizeof(name), "%u", packet->from);
    config_model_add_version(&node->model, &packet->version);
    record_reporter(node, packet);
    bv_config_fetcher_handle_version(
        node->fetcher, sim_now_us(node->cluster->sim), &packet->version, name);
    compare_with_model(node);
}

static void
on_body(void *context, void *data)
{
    const packet_t *packet = data;
    cluster_t *cluster = context;
    node_t *node = receive(cluster, packet);
    if (node == NULL) {
        return;
    }
    GBytes *body = g_bytes_ref(bundle_of(cluster, packet->generation)->body);
    if (packet->is_corrupt) {
        g_bytes_unref(body);
        body = g_bytes_new("damaged", 7);
    }
    bv_config_version_t arrived = {packet->generation,
                                   bv_config_bundle_digest(body)};
    g_array_append_val(node->model.bodies, arrived);
    bv_config_fetcher_handle_bundle(node->fetcher, sim_now_us(cluster->sim),
                                    packet->version.generation, body);
    g_bytes_unref(body);
    compare_with_model(node);
}

static void
on_bundle_request(void *context, void *data)
{
    const packet_t *packet = data;
    cluster_t *cluster = context;
    const node_t *node = receive(cluster, packet);
    if (node == NULL || !can_reach(cluster, packet->to, packet->from)) {
        return;
    }
    const bv_config_version_t *version =
        bv_config_fetcher_in_force(node->fetcher);
    if (version->generation < packet->generation) {
        return;
    }
    packet_t answer = {.to = packet->from,
                       .starts = packet->from_starts,
                       .from = packet->to,
                       .version = *version,
                       .generation = version->generation,
                       .is_corrupt =
                           !cluster->is_faultless &&
                           sim_chance(cluster->sim, CORRUPT_PERCENT)};
    send_packet(cluster, on_version, &answer);
    send_packet(cluster, on_body, &answer);
}

static bool
request_from_member(void *context, const char *member, uint64_t generation)
{
    node_t *node = context;
    uint32_t to = (uint32_t)g_ascii_strtoull(member, NULL, 10);
    packet_t packet = {.to = to,
                       .starts = node->cluster->nodes[to].starts,
                       .from = node->number,
                       .from_starts = node->starts,
                       .generation = generation};
    if (can_reach(node->cluster, node->number, to)) {
        send_packet(node->cluster, on_bundle_request, &packet);
    }
    return true;
}

static void
on_head(void *context, void *data)
{
    const packet_t *packet = data;
    node_t *node = receive(context, packet);
    if (node == NULL) {
        return;
    }
    node->is_head_known = true;
    config_model_add_version(&node->model, &packet->version);
    bv_config_fetcher_handle_head(
        node->fetcher, sim_now_us(node->cluster->sim), &packet->version);
    compare_with_model(node);
}

static void
read_head(void *context)
{
    node_t *node = context;
    cluster_t *cluster = node->cluster;
    if (!cluster->is_store_up) {
        return;
    }
    packet_t packet = {.to = node->number, .starts = node->starts};
    if (cluster->bundles->len > 0) {
        packet.version = bundle_of(cluster, cluster->bundles->len)->version;
    }
    send_packet(cluster, on_head, &packet);
}

/* The store sometimes serves an older object than the requested one. */
static void
read_from_store(void *context, const bv_config_version_t *version)
{
    node_t *node = context;
    cluster_t *cluster = node->cluster;
    if (!cluster->is_store_up) {
        return;
    }
    packet_t packet = {.to = node->number,
                       .starts = node->starts,
                       .version = *version,
                       .generation = version->generation};
    if (!cluster->is_faultless && sim_chance(cluster->sim, STALE_PERCENT)) {
        packet.generation = (uint64_t)sim_random_between(
            cluster->sim, 1, (int)version->generation + 1);
    }
    send_packet(cluster, on_body, &packet);
}

/* Checks that the head row was read, that 3 members have reported, or that 1
 * has reported and the gathering time is over. */
static void
check_first_adoption(node_t *node, uint64_t generation)
{
    int64_t waited_us = sim_now_us(node->cluster->sim) - node->first_report_us;
    node->cluster->starts_without_head += !node->is_head_known;
    ck_assert(node->is_head_known ||
              __builtin_popcount(node->reporters) >= 3 ||
              (node->reporters != 0 && waited_us >= GATHER_US));
    for (guint i = 0; i < node->model.versions->len; i++) {
        ck_assert_uint_ge(generation, g_array_index(node->model.versions,
                                                    bv_config_version_t, i)
                                          .generation);
    }
}

static bool
adopt(void *context, const bv_config_version_t *version, GBytes *body)
{
    node_t *node = context;
    ck_assert_uint_gt(version->generation, node->adopted);
    ck_assert(g_bytes_equal(
        body, bundle_of(node->cluster, version->generation)->body));
    if (node->adopted == 0) {
        check_first_adoption(node, version->generation);
    }
    node->adopted = version->generation;
    node->cluster->adoptions++;
    return true;
}

static void
fail_on_conflict(void *context, const bv_config_version_t *version)
{
    (void)context;
    ck_abort_msg("two digests of generation %" G_GUINT64_FORMAT,
                 (guint64)version->generation);
}

static const bv_config_fetcher_ops_t ops = {
    request_from_member, read_head, read_from_store, adopt, fail_on_conflict};

static void
start_node(node_t *node)
{
    bv_config_fetcher_options_t options = {
        .poll_interval_us = 10 * (int64_t)SECOND_US,
        .fetch_timeout_us = SECOND_US,
        .gather_timeout_us = GATHER_US,
        .random = sim_random(node->cluster->sim),
        .ops = &ops,
        .context = node,
    };
    node->starts++;
    node->is_up = true;
    node->is_paused = false;
    node->adopted = 0;
    node->is_head_known = false;
    node->reporters = 0;
    node->fetcher = bv_config_fetcher_create(&options);
    config_model_init(&node->model);
}

static void
stop_node(node_t *node)
{
    node->is_up = false;
    bv_config_fetcher_destroy(node->fetcher);
    config_model_clear(&node->model);
}

static void
on_tick(void *context, void *data)
{
    cluster_t *cluster = context;
    (void)data;
    cluster->events++;
    for (uint32_t i = 0; i < NODES; i++) {
        node_t *node = &cluster->nodes[i];
        if (node->is_up && !node->is_paused) {
            bv_config_fetcher_tick(node->fetcher, sim_now_us(cluster->sim));
        }
    }
    sim_schedule(cluster->sim, TICK_US, on_tick, NULL);
}

static void
on_gossip(void *context, void *data)
{
    cluster_t *cluster = context;
    (void)data;
    for (uint32_t i = 0; i < NODES; i++) {
        uint32_t to = (uint32_t)sim_random_between(cluster->sim, 0, NODES);
        const node_t *node = &cluster->nodes[i];
        if (node->is_up && !node->is_paused && can_reach(cluster, i, to)) {
            packet_t packet = {.to = to,
                               .starts = cluster->nodes[to].starts,
                               .from = i,
                               .version =
                                   *bv_config_fetcher_in_force(node->fetcher)};
            send_packet(cluster, on_version, &packet);
        }
    }
    sim_schedule(cluster->sim, GOSSIP_US, on_gossip, NULL);
}

static void
on_fault(void *context, void *data)
{
    cluster_t *cluster = context;
    (void)data;
    node_t *node = &cluster->nodes[sim_random_between(cluster->sim, 0, NODES)];
    sim_schedule(cluster->sim,
                 sim_random_between(cluster->sim, 1, 2 * SECOND_US), on_fault,
                 NULL);
    if (cluster->is_faultless) {
        return;
    }
    switch (sim_random_between(cluster->sim, 0, 6)) {
    case 0:
        if (node->is_up) {
            stop_node(node);
        }
        else {
            start_node(node);
        }
        return;
    case 1:
        node->is_paused = !node->is_paused;
        return;
    case 2:
        node->partition = (uint32_t)sim_random_between(cluster->sim, 0, 2);
        return;
    case 3:
        cluster->is_store_up = !cluster->is_store_up;
        return;
    default:
        if (cluster->is_store_up) {
            publish_bundle(cluster);
        }
        return;
    }
}

static void
end_faults(cluster_t *cluster)
{
    cluster->is_faultless = true;
    cluster->is_store_up = true;
    for (uint32_t i = 0; i < NODES; i++) {
        node_t *node = &cluster->nodes[i];
        node->partition = 0;
        node->is_paused = false;
        if (!node->is_up) {
            start_node(node);
        }
    }
    int64_t end_us = sim_now_us(cluster->sim) + SETTLE_US;
    while (sim_now_us(cluster->sim) < end_us) {
        sim_step(cluster->sim);
    }
    for (uint32_t i = 0; i < NODES; i++) {
        const bv_config_version_t *version =
            bv_config_fetcher_in_force(cluster->nodes[i].fetcher);
        ck_assert_uint_eq(version->generation, cluster->bundles->len);
        ck_assert_uint_eq(config_model_in_force(&cluster->nodes[i].model),
                          cluster->bundles->len);
    }
    cluster->is_faultless = false;
}

START_TEST(test_random_faults)
{
    support_random_run_t run = support_random_run(1 + (guint32)_i, 1000000);
    cluster_t cluster = {.is_store_up = true};
    cluster.sim = sim_create(run.seed, &cluster);
    cluster.bundles = g_array_new(FALSE, FALSE, sizeof(bundle_t));
    for (uint32_t i = 0; i < NODES; i++) {
        cluster.nodes[i].cluster = &cluster;
        cluster.nodes[i].number = i;
        start_node(&cluster.nodes[i]);
    }
    sim_schedule(cluster.sim, 0, on_tick, NULL);
    sim_schedule(cluster.sim, 0, on_gossip, NULL);
    sim_schedule(cluster.sim, 0, on_fault, NULL);
    for (uint64_t phase = 1; phase <= 10; phase++) {
        while (cluster.events < run.events * phase / 10) {
            sim_step(cluster.sim);
        }
        end_faults(&cluster);
    }
    printf("%" G_GUINT64_FORMAT " events, %u generations, %" G_GUINT64_FORMAT
           " adoptions, %" G_GUINT64_FORMAT " starts without the head row\n",
           (guint64)cluster.events, cluster.bundles->len,
           (guint64)cluster.adoptions, (guint64)cluster.starts_without_head);
    for (uint32_t i = 0; i < NODES; i++) {
        stop_node(&cluster.nodes[i]);
    }
    for (guint i = 0; i < cluster.bundles->len; i++) {
        g_bytes_unref(g_array_index(cluster.bundles, bundle_t, i).body);
    }
    g_array_unref(cluster.bundles);
    sim_destroy(cluster.sim);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {{"random", test_random_faults, 3}, {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_fetcher", tests);
}
