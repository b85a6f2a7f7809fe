#include "berylvane/core/limiter.h"

#include "berylvane/common/invariant.h"

#include <math.h>

#define WINDOW_LEAST_US 50000
#define WINDOW_MOST_US 200000
#define WINDOW_SAMPLES 16
#define TRIAL_SAMPLES 16
/* Slow windows in a row that start a trial; one may be a stalled machine. */
#define SLOW_WINDOWS 3
#define KINDS_LIMIT 256
#define TOLERANCE 1.5
/* Share of the concurrency that a trial keeps. */
#define TRIAL_SHARE 0.7
/* A trial that leaves more than this of the latency did not help. */
#define TRIAL_HELPED 0.85
#define FLOOR_FALL 0.5
/* Pause after a trial that did not help. */
#define TRIAL_PAUSE_US 1000000
#define GROWTH_DIVISOR 4
/* Below this, what the target and the way to it vary by is no congestion. */
#define FLOOR_LEAST_US 5000
#define COLD_DIVISOR 4

typedef struct {
    double floor_us;
    /* Sum of logarithms: single stalls weigh little in a geometric mean. */
    double log_sum;
    uint32_t count;
} kind_t;

struct bv_limiter {
    uint32_t slots;
    uint32_t limit;
    bool slow_start;
    bool in_trial;
    uint32_t slow_windows;
    double trial_ratio;
    uint32_t trial_limit;
    /* Samples of work that started before are of an earlier limit. */
    int64_t valid_from_us;
    int64_t trial_due_us;
    int64_t window_started_us;
    uint32_t samples;
    uint32_t running_most;
    GHashTable *kinds;
};

bv_limiter_t *
bv_limiter_create(uint32_t slots)
{
    bv_limiter_t *limiter = g_new0(bv_limiter_t, 1);
    limiter->kinds = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    bv_limiter_set_slots(limiter, slots);
    return limiter;
}

void
bv_limiter_destroy(bv_limiter_t *limiter)
{
    if (limiter == NULL) {
        return;
    }
    g_hash_table_destroy(limiter->kinds);
    g_free(limiter);
}

static void
set_limit(bv_limiter_t *limiter, uint32_t limit)
{
    limiter->limit = CLAMP(limit, MIN(1, limiter->slots), limiter->slots);
    bv_invariant(limiter->limit <= limiter->slots, "limit_within_slots",
                 "limiter");
}

void
bv_limiter_set_slots(bv_limiter_t *limiter, uint32_t slots)
{
    if (limiter->slots == 0) {
        limiter->slow_start = true;
        limiter->limit = MAX(1, slots / COLD_DIVISOR);
    }
    limiter->slots = slots;
    set_limit(limiter, limiter->limit);
}

static kind_t *
kind_of(bv_limiter_t *limiter, uint32_t number)
{
    gpointer key = GUINT_TO_POINTER(number);
    kind_t *kind = g_hash_table_lookup(limiter->kinds, key);
    if (kind != NULL) {
        return kind;
    }
    if (g_hash_table_size(limiter->kinds) >= KINDS_LIMIT) {
        g_hash_table_remove_all(limiter->kinds);
    }
    kind = g_new0(kind_t, 1);
    g_hash_table_insert(limiter->kinds, key, kind);
    return kind;
}

static double
mean_of(const kind_t *kind)
{
    return MAX(FLOOR_LEAST_US, exp(kind->log_sum / kind->count));
}

/* Mean of the kinds' latencies over their floors, weighted by samples. */
static double
window_ratio(const bv_limiter_t *limiter)
{
    double sum = 0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, limiter->kinds);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const kind_t *kind = value;
        if (kind->count > 0) {
            double floor_us =
                kind->floor_us > 0 ? kind->floor_us : mean_of(kind);
            sum += mean_of(kind) / floor_us * kind->count;
        }
    }
    return sum / limiter->samples;
}

static void
move_floor(kind_t *kind, bool accept)
{
    double mean_us = mean_of(kind);
    if (kind->floor_us <= 0 || accept) {
        kind->floor_us = mean_us;
        return;
    }
    if (mean_us < kind->floor_us) {
        double share =
            FLOOR_FALL * MIN(kind->count, WINDOW_SAMPLES) / WINDOW_SAMPLES;
        kind->floor_us += (mean_us - kind->floor_us) * share;
    }
}

static void
end_window(bv_limiter_t *limiter, int64_t now_us, bool accept)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, limiter->kinds);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        kind_t *kind = value;
        if (kind->count > 0) {
            move_floor(kind, accept);
        }
        kind->count = 0;
        kind->log_sum = 0;
    }
    limiter->samples = 0;
    limiter->running_most = 0;
    limiter->window_started_us = now_us;
}

static void
grow(bv_limiter_t *limiter)
{
    if (limiter->running_most < limiter->limit) {
        return;
    }
    uint32_t step = limiter->slow_start
                        ? limiter->limit
                        : MAX(1, limiter->limit / GROWTH_DIVISOR);
    set_limit(limiter, limiter->limit + step);
}

static void
begin_trial(bv_limiter_t *limiter, int64_t now_us, double ratio)
{
    uint32_t used = MIN(limiter->limit, limiter->running_most);
    limiter->in_trial = true;
    limiter->trial_ratio = ratio;
    limiter->trial_limit = limiter->limit;
    limiter->valid_from_us = now_us;
    set_limit(limiter, (uint32_t)(used * TRIAL_SHARE));
}

/* Whether the floor is to be taken anew. */
static bool
end_trial(bv_limiter_t *limiter, int64_t now_us, double ratio)
{
    limiter->in_trial = false;
    if (ratio <= limiter->trial_ratio * TRIAL_HELPED) {
        limiter->slow_start = false;
        return false;
    }
    set_limit(limiter, limiter->trial_limit);
    limiter->trial_due_us = now_us + TRIAL_PAUSE_US;
    return true;
}

static bool
judge(bv_limiter_t *limiter, int64_t now_us)
{
    double ratio = window_ratio(limiter);
    if (limiter->in_trial) {
        return end_trial(limiter, now_us, ratio);
    }
    if (ratio <= TOLERANCE) {
        limiter->slow_windows = 0;
        grow(limiter);
        return false;
    }
    if (limiter->samples < TRIAL_SAMPLES || now_us < limiter->trial_due_us) {
        return false;
    }
    if (++limiter->slow_windows < SLOW_WINDOWS) {
        return false;
    }
    if (limiter->running_most <= 1) {
        return true;
    }
    begin_trial(limiter, now_us, ratio);
    return false;
}

static bool
window_over(const bv_limiter_t *limiter, int64_t now_us)
{
    int64_t age_us = now_us - limiter->window_started_us;
    uint32_t needed = limiter->in_trial ? TRIAL_SAMPLES : 1;
    if (age_us >= WINDOW_MOST_US) {
        return limiter->samples >= needed;
    }
    return age_us >= WINDOW_LEAST_US && limiter->samples >= WINDOW_SAMPLES;
}

void
bv_limiter_record_latency(bv_limiter_t *limiter, int64_t now_us,
                          int64_t started_us, uint32_t number,
                          int64_t latency_us, uint32_t running)
{
    if (started_us < limiter->valid_from_us) {
        return;
    }
    kind_t *kind = kind_of(limiter, number);
    kind->log_sum += log((double)MAX(1, latency_us));
    kind->count++;
    limiter->samples++;
    limiter->running_most = MAX(limiter->running_most, running);
    if (window_over(limiter, now_us)) {
        end_window(limiter, now_us, judge(limiter, now_us));
    }
}

uint32_t
bv_limiter_limit(const bv_limiter_t *limiter)
{
    return limiter->limit;
}
