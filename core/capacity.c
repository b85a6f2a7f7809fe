#include "berylvane/core/capacity.h"

#include <string.h>

/*
 * Weights of a new sample. The recent slowness follows a sudden change within
 * a few answers; the means of the routes, which it is relative to, follow
 * slowly.
 */
#define SLOWNESS_WEIGHT 0.125
#define MEAN_WEIGHT (1.0 / 64)
#define DOWNSTREAM_WEIGHT (1.0 / 16)
/* Upper limit of a ratio: one stalled request must not mark a target. */
#define RATIO_LIMIT 8.0
#define ROUTES_LIMIT 256
/*
 * The slots are divided into bands of equal width. A band has a mean once it
 * has BAND_SAMPLES.
 */
#define BANDS 16
#define BAND_SAMPLES 48
#define BAND_WEIGHT (1.0 / 64)
/*
 * Throughput counts as exhausted at a band if the bands above it have at least
 * LEAST_GROWTH times its concurrency and at most GAIN_LIMIT times its
 * throughput. A lower GAIN_LIMIT finds the limit late, a higher one takes the
 * error of the means, about 5 % for exponential service times, for a limit.
 */
#define GAIN_LIMIT 1.25
#define LEAST_GROWTH 1.3
/* Samples that are needed above a band, and the limit for one band. */
#define SAMPLES_ABOVE 128
#define BAND_SAMPLES_LIMIT 64

/*
 * After every AGING_SAMPLES samples the counts of the bands are halved, from
 * at most AGING_LIMIT. Bands above a learned limit get no samples; without
 * aging they would hold the limit for ever.
 */
#define AGING_SAMPLES 1024
#define AGING_LIMIT 256

typedef struct {
    double own_us;
    double downstream_us;
    uint32_t count;
} route_t;

typedef struct {
    /* Mean latency as a multiple of the routes' means. */
    double ratio;
    uint32_t count;
} band_t;

struct bv_capacity {
    GHashTable *routes;
    band_t bands[BANDS];
    /* Samples in bands since their counts were halved. */
    uint32_t aging_samples;
    double slowness;
};

bv_capacity_t *
bv_capacity_create(void)
{
    bv_capacity_t *capacity = g_new0(bv_capacity_t, 1);
    capacity->routes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    capacity->slowness = 1;
    return capacity;
}

void
bv_capacity_destroy(bv_capacity_t *capacity)
{
    if (capacity == NULL) {
        return;
    }
    g_hash_table_destroy(capacity->routes);
    g_free(capacity);
}

void
bv_capacity_reset(bv_capacity_t *capacity)
{
    g_hash_table_remove_all(capacity->routes);
    memset(capacity->bands, 0, sizeof(capacity->bands));
    capacity->aging_samples = 0;
    capacity->slowness = 1;
}

static route_t *
find_or_add_route(bv_capacity_t *capacity, uint32_t route_hash)
{
    gpointer key = GUINT_TO_POINTER(route_hash);
    route_t *route = g_hash_table_lookup(capacity->routes, key);
    if (route != NULL) {
        return route;
    }
    if (g_hash_table_size(capacity->routes) >= ROUTES_LIMIT) {
        g_hash_table_remove_all(capacity->routes);
    }
    route = g_new0(route_t, 1);
    g_hash_table_insert(capacity->routes, key, route);
    return route;
}

/* The first samples have equal weights, so that a mean is usable early. */
static void
update_mean(double *mean, uint32_t count, double value, double weight)
{
    *mean += (value - *mean) * MAX(weight, 1.0 / (count + 1));
}

static void
age_bands(bv_capacity_t *capacity)
{
    capacity->aging_samples = 0;
    for (int i = 0; i < BANDS; i++) {
        band_t *band = &capacity->bands[i];
        band->count = MIN(band->count, AGING_LIMIT) / 2;
    }
}

static void
record_band(bv_capacity_t *capacity, const bv_capacity_sample_t *sample,
            double ratio)
{
    if (sample->slots == 0 || sample->running == 0) {
        return;
    }
    uint32_t number = (sample->running * BANDS - 1) / sample->slots;
    band_t *band = &capacity->bands[MIN(number, BANDS - 1)];
    update_mean(&band->ratio, band->count, ratio, BAND_WEIGHT);
    band->count++;
    capacity->aging_samples++;
    if (capacity->aging_samples >= AGING_SAMPLES) {
        age_bands(capacity);
    }
}

void
bv_capacity_record(bv_capacity_t *capacity, const bv_capacity_sample_t *sample)
{
    route_t *route = find_or_add_route(capacity, sample->route_hash);
    double downstream_us =
        (double)CLAMP(sample->downstream_us, 0, sample->latency_us);
    double own_us = MAX(1, (double)sample->latency_us - downstream_us);
    if (route->count > 0) {
        double ratio = MIN(RATIO_LIMIT, own_us / route->own_us);
        capacity->slowness += (ratio - capacity->slowness) * SLOWNESS_WEIGHT;
        record_band(capacity, sample, ratio);
    }
    update_mean(&route->own_us, route->count, own_us, MEAN_WEIGHT);
    update_mean(&route->downstream_us, route->count, downstream_us,
                DOWNSTREAM_WEIGHT);
    route->count++;
}

int64_t
bv_capacity_service_us(const bv_capacity_t *capacity, uint32_t route_hash)
{
    const route_t *route =
        g_hash_table_lookup(capacity->routes, GUINT_TO_POINTER(route_hash));
    if (route == NULL) {
        return 0;
    }
    return (int64_t)(route->own_us * capacity->slowness +
                     route->downstream_us);
}

static bool
is_known(const band_t *band)
{
    return band->count >= BAND_SAMPLES;
}

static double
throughput_of(const band_t *band, int number)
{
    return (number + 1) / band->ratio;
}

/*
 * Whether more concurrency than that of the band gains little throughput. The
 * higher bands are taken together, since the error of a single one may exceed
 * the gain.
 */
static bool
is_exhausted_at(const bv_capacity_t *capacity, int number)
{
    double samples = 0;
    double concurrency = 0;
    double throughput = 0;
    for (int i = number + 1; i < BANDS; i++) {
        const band_t *band = &capacity->bands[i];
        double weight = MIN(band->count, BAND_SAMPLES_LIMIT);
        if (weight > 0) {
            samples += weight;
            concurrency += weight * (i + 1);
            throughput += weight * throughput_of(band, i);
        }
    }
    if (samples < SAMPLES_ABOVE) {
        return false;
    }
    double growth = concurrency / samples / (number + 1);
    double gain =
        throughput / samples / throughput_of(&capacity->bands[number], number);
    return growth >= LEAST_GROWTH && gain <= GAIN_LIMIT;
}

uint32_t
bv_capacity_usable(const bv_capacity_t *capacity, uint32_t slots)
{
    for (int i = 0; i < BANDS; i++) {
        if (is_known(&capacity->bands[i]) && is_exhausted_at(capacity, i)) {
            return MAX(MIN(1, slots), slots * (uint32_t)(i + 1) / BANDS);
        }
    }
    return slots;
}

double
bv_capacity_slowness(const bv_capacity_t *capacity)
{
    return capacity->slowness;
}
