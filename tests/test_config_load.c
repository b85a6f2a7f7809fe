#include "berylvane/core/config_watch.h"

#include "support.h"

#include "berylvane/common/clock.h"

/*
 * Guards against a store that is queried for the configuration more often than
 * it allows, whatever it answers.
 */
#define STEP_US BV_US_PER_MS
#define ROUND_TRIP_US (10 * BV_US_PER_MS)
#define DURATION_US (60 * BV_US_PER_S)
/* ReadsPerS: reads that the store allows to all nodes together. */
#define READS_PER_S 2000
#define NEWEST_VERSION 400

/* How the store treats a kind of query. */
typedef enum {
    TREATMENT_SERVED,
    /* Served without waiting for a change. */
    TREATMENT_SERVED_AT_ONCE,
    TREATMENT_NO_VERSION,
    /* Served by replicas that are not in the same era. */
    TREATMENT_MIXED_ERAS,
    TREATMENT_HISTORY_GONE,
    TREATMENT_REFUSED,
    TREATMENT_SILENT,
} treatment_t;

typedef struct {
    const char *name;
    treatment_t read;
    treatment_t watch;
} store_case_t;

static const store_case_t store_cases[] = {
    {"sound", TREATMENT_SERVED, TREATMENT_SERVED},
    {"refuses all", TREATMENT_REFUSED, TREATMENT_REFUSED},
    {"silent", TREATMENT_SILENT, TREATMENT_SILENT},
    {"refuses watches", TREATMENT_SERVED, TREATMENT_REFUSED},
    {"keeps no history", TREATMENT_SERVED, TREATMENT_HISTORY_GONE},
    {"ends watches at once", TREATMENT_SERVED, TREATMENT_SERVED_AT_ONCE},
    {"mixes eras", TREATMENT_MIXED_ERAS, TREATMENT_MIXED_ERAS},
    {"states no version", TREATMENT_NO_VERSION, TREATMENT_NO_VERSION},
};

static const uint32_t group_sizes[] = {24, 300, 1600};

typedef struct {
    const store_case_t *store;
    GRand *random;
    bv_config_watch_t watch;
    bv_config_query_t query;
    int64_t answer_due_us;
    uint32_t queries;
} fixture_t;

static treatment_t
treatment(const fixture_t *fixture)
{
    return fixture->query.kind == BV_CONFIG_QUERY_READ ? fixture->store->read
                                                       : fixture->store->watch;
}

static int64_t
answer_delay_us(const fixture_t *fixture)
{
    switch (treatment(fixture)) {
    case TREATMENT_SERVED:
        return ROUND_TRIP_US + fixture->query.wait_us;
    case TREATMENT_SILENT:
        return fixture->query.wait_us + fixture->query.timeout_us;
    default:
        return ROUND_TRIP_US;
    }
}

static bv_config_answer_t
answer_kind(const fixture_t *fixture)
{
    switch (treatment(fixture)) {
    case TREATMENT_HISTORY_GONE:
        return BV_CONFIG_ANSWER_HISTORY_GONE;
    case TREATMENT_REFUSED:
    case TREATMENT_SILENT:
        return BV_CONFIG_ANSWER_FAILED;
    default:
        return BV_CONFIG_ANSWER_OK;
    }
}

static void
answer_query(fixture_t *fixture, int64_t now_us)
{
    bv_table_position_t position = {.era = 1, .version = NEWEST_VERSION};
    if (treatment(fixture) == TREATMENT_MIXED_ERAS) {
        position.era += fixture->queries % 2;
    }
    if (treatment(fixture) == TREATMENT_NO_VERSION) {
        position.version = 0;
    }
    bv_config_watch_handle_answer(&fixture->watch, now_us, fixture->random,
                                  answer_kind(fixture), &position);
}

static void
run(fixture_t *fixture, uint32_t nodes)
{
    for (int64_t now_us = BV_US_PER_S; now_us < DURATION_US;
         now_us += STEP_US) {
        if (fixture->watch.is_querying && now_us >= fixture->answer_due_us) {
            answer_query(fixture, now_us);
        }
        if (bv_config_watch_is_due(&fixture->watch, now_us)) {
            bv_config_watch_start_query(&fixture->watch, now_us, nodes,
                                        fixture->random, &fixture->query);
            fixture->queries++;
            fixture->answer_due_us = now_us + answer_delay_us(fixture);
        }
    }
}

START_TEST(test_store_is_not_queried_too_often)
{
    const store_case_t *store =
        &store_cases[(size_t)_i / G_N_ELEMENTS(group_sizes)];
    uint32_t nodes = group_sizes[(size_t)_i % G_N_ELEMENTS(group_sizes)];
    fixture_t fixture = {
        .store = store,
        .random = g_rand_new_with_seed(1),
    };
    run(&fixture, nodes);
    int64_t queries_per_s =
        (int64_t)fixture.queries * nodes * BV_US_PER_S / DURATION_US;
    ck_assert_msg(queries_per_s <= READS_PER_S,
                  "store %s, %u nodes: %" G_GINT64_FORMAT
                  " queries per second",
                  store->name, nodes, queries_per_s);
    g_rand_free(fixture.random);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"store_is_not_queried_too_often", test_store_is_not_queried_too_often,
         G_N_ELEMENTS(store_cases) * G_N_ELEMENTS(group_sizes)},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_load", tests);
}
