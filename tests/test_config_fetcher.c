#include "berylvane/core/config_fetcher.h"

#include "config_model.h"
#include "sim.h"
#include "support.h"

#include <stdio.h>
#include <string.h>

#define NODES 12
#define SECOND_US 1000000
#define TICK_US 100000
#define GOSSIP_US 200000
#define QUIET_US (60 * SECOND_US)
#define GATHER_US (2 * (int64_t)SECOND_US)
#define CORRUPT_PERCENT 5
#define STALE_PERCENT 10

typedef struct {
    GBytes *body;
    bv_config_version_t version;
} truth_t;

typedef struct world world_t;

typedef struct {
    world_t *world;
    uint32_t number;
    uint32_t life;
    bool up;
    bool paused;
    uint32_t side;
    bv_config_fetcher_t *spread;
    config_model_t twin;
    uint64_t adopted;
    bool head_known;
    uint32_t heard_from;
    int64_t first_heard_us;
} node_t;

struct world {
    sim_t *sim;
    GArray *truths;
    node_t nodes[NODES];
    bool store_up;
    bool calm;
    uint64_t events;
    uint64_t adoptions;
    uint64_t first_without_head;
};

typedef struct {
    uint32_t to;
    uint32_t life;
    uint32_t from;
    uint32_t from_life;
    bv_config_version_t version;
    uint64_t generation;
    bool corrupt;
} letter_t;

static const truth_t *
truth_of(const world_t *world, uint64_t generation)
{
    return &g_array_index(world->truths, truth_t, generation - 1);
}

static void
add_truth(world_t *world)
{
    uint64_t generation = world->truths->len + 1;
    char text[64];
    int size =
        g_snprintf(text, sizeof(text), "bundle %" G_GUINT64_FORMAT " %08x",
                   (guint64)generation, g_rand_int(sim_random(world->sim)));
    GBytes *body = g_bytes_new(text, (gsize)size);
    truth_t truth = {body, {generation, bv_config_body_digest(body)}};
    g_array_append_val(world->truths, truth);
}

static bool
reaches(const world_t *world, uint32_t from, uint32_t to)
{
    const node_t *a = &world->nodes[from];
    const node_t *b = &world->nodes[to];
    return a->up && b->up && a->side == b->side &&
           (world->calm || !sim_chance(world->sim, 20));
}

static int64_t
delay_us(const world_t *world)
{
    return sim_random_between(world->sim, 500, world->calm ? 30000 : 3000000);
}

static void
post(world_t *world, sim_callback_t run, const letter_t *letter)
{
    sim_schedule(world->sim, delay_us(world), run,
                 g_memdup2(letter, sizeof(*letter)));
    if (!world->calm && sim_chance(world->sim, 10)) {
        sim_schedule(world->sim, delay_us(world), run,
                     g_memdup2(letter, sizeof(*letter)));
    }
}

static node_t *
receiver(world_t *world, const letter_t *letter)
{
    node_t *node = &world->nodes[letter->to];
    world->events++;
    return node->up && !node->paused && node->life == letter->life ? node
                                                                   : NULL;
}

static void
compare_with_twin(const node_t *node)
{
    const bv_config_version_t *version =
        bv_config_fetcher_in_force(node->spread);
    if (version->generation == 0) {
        return;
    }
    ck_assert_uint_eq(
        version->digest,
        truth_of(node->world, version->generation)->version.digest);
    ck_assert_uint_le(version->generation, config_model_in_force(&node->twin));
    config_model_forget_older(&node->twin, version->generation);
}

static void
count_source(node_t *node, const letter_t *letter)
{
    if (letter->version.generation == 0) {
        return;
    }
    if (node->heard_from == 0) {
        node->first_heard_us = sim_now_us(node->world->sim);
    }
    node->heard_from |= 1U << letter->from;
}

static void
on_heard(void *context, void *data)
{
    const letter_t *letter = data;
    node_t *node = receiver(context, letter);
    if (node == NULL) {
        return;
    }
    char name[BV_NAME_BYTES];
    g_snprintf(name, sizeof(name), "%u", letter->from);
    config_model_add_version(&node->twin, &letter->version);
    count_source(node, letter);
    bv_config_fetcher_handle_version(
        node->spread, sim_now_us(node->world->sim), &letter->version, name);
    compare_with_twin(node);
}

static void
on_body(void *context, void *data)
{
    const letter_t *letter = data;
    world_t *world = context;
    node_t *node = receiver(world, letter);
    if (node == NULL) {
        return;
    }
    GBytes *body = g_bytes_ref(truth_of(world, letter->generation)->body);
    if (letter->corrupt) {
        g_bytes_unref(body);
        body = g_bytes_new("damaged", 7);
    }
    bv_config_version_t arrived = {letter->generation,
                                   bv_config_body_digest(body)};
    g_array_append_val(node->twin.bodies, arrived);
    bv_config_fetcher_handle_body(node->spread, sim_now_us(world->sim),
                                  letter->version.generation, body);
    g_bytes_unref(body);
    compare_with_twin(node);
}

static void
on_ask(void *context, void *data)
{
    const letter_t *letter = data;
    world_t *world = context;
    const node_t *node = receiver(world, letter);
    if (node == NULL || !reaches(world, letter->to, letter->from)) {
        return;
    }
    const bv_config_version_t *version =
        bv_config_fetcher_in_force(node->spread);
    if (version->generation < letter->generation) {
        return;
    }
    letter_t answer = {.to = letter->from,
                       .life = letter->from_life,
                       .from = letter->to,
                       .version = *version,
                       .generation = version->generation,
                       .corrupt = !world->calm &&
                                  sim_chance(world->sim, CORRUPT_PERCENT)};
    post(world, on_heard, &answer);
    post(world, on_body, &answer);
}

static bool
ask_member(void *context, const char *member, uint64_t generation)
{
    node_t *node = context;
    uint32_t to = (uint32_t)g_ascii_strtoull(member, NULL, 10);
    letter_t letter = {.to = to,
                       .life = node->world->nodes[to].life,
                       .from = node->number,
                       .from_life = node->life,
                       .generation = generation};
    if (reaches(node->world, node->number, to)) {
        post(node->world, on_ask, &letter);
    }
    return true;
}

static void
on_head(void *context, void *data)
{
    const letter_t *letter = data;
    node_t *node = receiver(context, letter);
    if (node == NULL) {
        return;
    }
    node->head_known = true;
    config_model_add_version(&node->twin, &letter->version);
    bv_config_fetcher_handle_head(node->spread, sim_now_us(node->world->sim),
                                  &letter->version);
    compare_with_twin(node);
}

static void
read_head(void *context)
{
    node_t *node = context;
    world_t *world = node->world;
    if (!world->store_up) {
        return;
    }
    letter_t letter = {.to = node->number, .life = node->life};
    if (world->truths->len > 0) {
        letter.version = truth_of(world, world->truths->len)->version;
    }
    post(world, on_head, &letter);
}

/* Now and then an older object is served in place of the one asked for. */
static void
read_object(void *context, const bv_config_version_t *version)
{
    node_t *node = context;
    world_t *world = node->world;
    if (!world->store_up) {
        return;
    }
    letter_t letter = {.to = node->number,
                       .life = node->life,
                       .version = *version,
                       .generation = version->generation};
    if (!world->calm && sim_chance(world->sim, STALE_PERCENT)) {
        letter.generation = (uint64_t)sim_random_between(
            world->sim, 1, (int)version->generation + 1);
    }
    post(world, on_body, &letter);
}

/* Without the head, several members must have been heard, for long enough. */
static void
check_first(node_t *node, uint64_t generation)
{
    int64_t gathered_us = sim_now_us(node->world->sim) - node->first_heard_us;
    node->world->first_without_head += !node->head_known;
    ck_assert(node->head_known || __builtin_popcount(node->heard_from) >= 3 ||
              (node->heard_from != 0 && gathered_us >= GATHER_US));
    for (guint i = 0; i < node->twin.versions->len; i++) {
        ck_assert_uint_ge(generation, g_array_index(node->twin.versions,
                                                    bv_config_version_t, i)
                                          .generation);
    }
}

static bool
adopt(void *context, const bv_config_version_t *version, GBytes *body)
{
    node_t *node = context;
    ck_assert_uint_gt(version->generation, node->adopted);
    ck_assert(
        g_bytes_equal(body, truth_of(node->world, version->generation)->body));
    if (node->adopted == 0) {
        check_first(node, version->generation);
    }
    node->adopted = version->generation;
    node->world->adoptions++;
    return true;
}

static void
conflict(void *context, const bv_config_version_t *version)
{
    (void)context;
    ck_abort_msg("two digests of generation %" G_GUINT64_FORMAT,
                 (guint64)version->generation);
}

static const bv_config_fetcher_ops_t ops = {ask_member, read_head, read_object,
                                            adopt, conflict};

static void
start(node_t *node)
{
    bv_config_fetcher_options_t options = {
        .poll_interval_us = 10 * (int64_t)SECOND_US,
        .fetch_timeout_us = SECOND_US,
        .gather_timeout_us = GATHER_US,
        .random = sim_random(node->world->sim),
        .ops = &ops,
        .context = node,
    };
    node->life++;
    node->up = true;
    node->paused = false;
    node->adopted = 0;
    node->head_known = false;
    node->heard_from = 0;
    node->spread = bv_config_fetcher_create(&options);
    config_model_init(&node->twin);
}

static void
stop(node_t *node)
{
    node->up = false;
    bv_config_fetcher_destroy(node->spread);
    config_model_clear(&node->twin);
}

static void
on_tick(void *context, void *data)
{
    world_t *world = context;
    (void)data;
    world->events++;
    for (uint32_t i = 0; i < NODES; i++) {
        node_t *node = &world->nodes[i];
        if (node->up && !node->paused) {
            bv_config_fetcher_tick(node->spread, sim_now_us(world->sim));
        }
    }
    sim_schedule(world->sim, TICK_US, on_tick, NULL);
}

static void
on_gossip(void *context, void *data)
{
    world_t *world = context;
    (void)data;
    for (uint32_t i = 0; i < NODES; i++) {
        uint32_t to = (uint32_t)sim_random_between(world->sim, 0, NODES);
        const node_t *node = &world->nodes[i];
        if (node->up && !node->paused && reaches(world, i, to)) {
            letter_t letter = {.to = to,
                               .life = world->nodes[to].life,
                               .from = i,
                               .version =
                                   *bv_config_fetcher_in_force(node->spread)};
            post(world, on_heard, &letter);
        }
    }
    sim_schedule(world->sim, GOSSIP_US, on_gossip, NULL);
}

static void
on_fault(void *context, void *data)
{
    world_t *world = context;
    (void)data;
    node_t *node = &world->nodes[sim_random_between(world->sim, 0, NODES)];
    sim_schedule(world->sim, sim_random_between(world->sim, 1, 2 * SECOND_US),
                 on_fault, NULL);
    if (world->calm) {
        return;
    }
    switch (sim_random_between(world->sim, 0, 6)) {
    case 0:
        if (node->up) {
            stop(node);
        }
        else {
            start(node);
        }
        return;
    case 1:
        node->paused = !node->paused;
        return;
    case 2:
        node->side = (uint32_t)sim_random_between(world->sim, 0, 2);
        return;
    case 3:
        world->store_up = !world->store_up;
        return;
    default:
        if (world->store_up) {
            add_truth(world);
        }
        return;
    }
}

static void
calm_down(world_t *world)
{
    world->calm = true;
    world->store_up = true;
    for (uint32_t i = 0; i < NODES; i++) {
        node_t *node = &world->nodes[i];
        node->side = 0;
        node->paused = false;
        if (!node->up) {
            start(node);
        }
    }
    int64_t end_us = sim_now_us(world->sim) + QUIET_US;
    while (sim_now_us(world->sim) < end_us) {
        sim_step(world->sim);
    }
    for (uint32_t i = 0; i < NODES; i++) {
        const bv_config_version_t *version =
            bv_config_fetcher_in_force(world->nodes[i].spread);
        ck_assert_uint_eq(version->generation, world->truths->len);
        ck_assert_uint_eq(config_model_in_force(&world->nodes[i].twin),
                          world->truths->len);
    }
    world->calm = false;
}

START_TEST(test_random)
{
    support_random_run_t given = support_random_run(1 + (guint32)_i, 1000000);
    world_t world = {.store_up = true};
    world.sim = sim_create(given.seed, &world);
    world.truths = g_array_new(FALSE, FALSE, sizeof(truth_t));
    for (uint32_t i = 0; i < NODES; i++) {
        world.nodes[i].world = &world;
        world.nodes[i].number = i;
        start(&world.nodes[i]);
    }
    sim_schedule(world.sim, 0, on_tick, NULL);
    sim_schedule(world.sim, 0, on_gossip, NULL);
    sim_schedule(world.sim, 0, on_fault, NULL);
    for (uint64_t part = 1; part <= 10; part++) {
        while (world.events < given.events * part / 10) {
            sim_step(world.sim);
        }
        calm_down(&world);
    }
    printf("%" G_GUINT64_FORMAT " events, %u generations, %" G_GUINT64_FORMAT
           " adoptions, %" G_GUINT64_FORMAT " first ones without the head\n",
           (guint64)world.events, world.truths->len, (guint64)world.adoptions,
           (guint64)world.first_without_head);
    for (uint32_t i = 0; i < NODES; i++) {
        stop(&world.nodes[i]);
    }
    for (guint i = 0; i < world.truths->len; i++) {
        g_bytes_unref(g_array_index(world.truths, truth_t, i).body);
    }
    g_array_unref(world.truths);
    sim_destroy(world.sim);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {{"random", test_random, 3}, {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_spread", tests);
}
