#ifndef TESTS_SIM_H
#define TESTS_SIM_H

#include <glib.h>
#include <stdint.h>

/*
 * sim - discrete event simulation, for random runs of core/ in one process
 */
typedef struct sim sim_t;

/* Runs an event. The simulation frees `data` by g_free() after the call. */
typedef void (*sim_callback_t)(void *context, void *data);

/* Creates a simulation; `context` is passed to each callback. */
sim_t *sim_create(guint32 seed, void *context);
void sim_destroy(sim_t *sim);

/* Simulated time, which advances only from event to event. */
int64_t sim_now_us(const sim_t *sim);
GRand *sim_random(const sim_t *sim);

/* Returns true with a probability of `percent`. */
gboolean sim_chance(const sim_t *sim, int percent);

/* Returns a random number from `low` to `high` - 1. */
int sim_random_between(const sim_t *sim, int low, int high);

/* Schedules an event; takes ownership of `data`. */
void sim_schedule(sim_t *sim, int64_t delay_us, sim_callback_t callback,
                  void *data);

/* Advances the time to the next event and runs it; there must be one. */
void sim_step(sim_t *sim);

#endif
