#ifndef TESTS_SIM_H
#define TESTS_SIM_H

#include <glib.h>
#include <stdint.h>

/*
 * sim - a queue of timed events, for random runs of core/ in one process
 */
typedef struct sim sim_t;

/* Takes `data`, and frees it (g_free) after the call. */
typedef void (*sim_callback_t)(void *context, void *data);

sim_t *sim_create(guint32 seed, void *context);
void sim_destroy(sim_t *sim);

int64_t sim_now_us(const sim_t *sim);
GRand *sim_random(const sim_t *sim);

/* True in `percent` of all cases. */
gboolean sim_chance(const sim_t *sim, int percent);

/* A number from `low` up to, not including, `high`. */
int sim_random_between(const sim_t *sim, int low, int high);

void sim_schedule(sim_t *sim, int64_t delay_us, sim_callback_t run,
                  void *data);

/* Runs the next event. */
void sim_step(sim_t *sim);

#endif
