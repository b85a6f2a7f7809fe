#include "sim.h"

typedef struct {
    int64_t at_us;
    uint64_t sequence;
    sim_callback_t callback;
    void *data;
} event_t;

struct sim {
    int64_t now_us;
    uint64_t sequence;
    GSequence *events;
    GRand *random;
    void *context;
};

static void
free_event(gpointer data)
{
    event_t *event = data;
    g_free(event->data);
    g_free(event);
}

static gint
compare_events(gconstpointer left, gconstpointer right, gpointer unused)
{
    const event_t *a = left;
    const event_t *b = right;
    (void)unused;
    if (a->at_us != b->at_us) {
        return a->at_us < b->at_us ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : 1;
}

sim_t *
sim_create(guint32 seed, void *context)
{
    sim_t *sim = g_new0(sim_t, 1);
    sim->now_us = 1;
    sim->events = g_sequence_new(free_event);
    sim->random = g_rand_new_with_seed(seed);
    sim->context = context;
    return sim;
}

void
sim_destroy(sim_t *sim)
{
    g_sequence_free(sim->events);
    g_rand_free(sim->random);
    g_free(sim);
}

int64_t
sim_now_us(const sim_t *sim)
{
    return sim->now_us;
}

GRand *
sim_random(const sim_t *sim)
{
    return sim->random;
}

gboolean
sim_chance(const sim_t *sim, int percent)
{
    return g_rand_int_range(sim->random, 0, 100) < percent;
}

int
sim_random_between(const sim_t *sim, int low, int high)
{
    return g_rand_int_range(sim->random, low, high);
}

void
sim_schedule(sim_t *sim, int64_t delay_us, sim_callback_t callback, void *data)
{
    event_t *event = g_new(event_t, 1);
    *event =
        (event_t){sim->now_us + delay_us, ++sim->sequence, callback, data};
    g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

void
sim_step(sim_t *sim)
{
    GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
    event_t *event = g_sequence_get(first);
    sim->now_us = event->at_us;
    event->callback(sim->context, event->data);
    g_sequence_remove(first);
}
