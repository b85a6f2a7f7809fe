#include "berylvane/core/config_watch.h"

#include "support.h"

#include "berylvane/common/clock.h"

/*
 * Guards against changes that a node never learns of after the store has come
 * back from an older copy and has given its versions out again.
 */
#define STEP_US (5 * BV_US_PER_MS)
#define ROUND_TRIP_US (10 * BV_US_PER_MS)
#define BEFORE_US (30 * BV_US_PER_S)
#define AFTER_US (60 * BV_US_PER_S)

typedef struct {
    bv_table_position_t newest;
    /* Version of the row's last change, and number of that change. */
    int64_t row_version;
    uint32_t row_change;
    /* The copy that the store goes back to. */
    int64_t copied_version;
    int64_t copied_row_version;
    uint32_t copied_row_change;
    bool states_era;
} store_t;

typedef struct {
    GRand *random;
    int64_t now_us;
    store_t store;
    bv_config_watch_t watch;
    bv_config_query_t query;
    bool is_querying;
    int64_t sent_us;
    /* Number of the newest change that the node has received. */
    uint32_t known_change;
    uint32_t nodes;
} fixture_t;

/* A group whose watches last as long as any. */
#define MANY_NODES 100
/* ConfigApplyMs: from the acknowledgement until a change is in force. */
#define APPLY_US (2500 * BV_US_PER_MS)

/* One restore_case; the counts are versions that writes to other rows take. */
typedef struct {
    const char *name;
    /* Between the copy and the end of the era. */
    int64_t lost_writes;
    /* From the return until the row's next change, and after that change. */
    int64_t writes_before_change;
    int64_t writes_after_change;
    /* How long the store does not answer. */
    int64_t down_us;
    /* Whether a watch that is open at the return stays open. */
    bool keeps_watches;
    bool states_era;
} restore_case_t;

static const restore_case_t restore_cases[] = {
    {"change below the version known", 100, 10, 200, 0, true, true},
    {"change below, watch cut", 100, 10, 200, 0, false, true},
    {"change below, store away", 100, 10, 200, 2 * BV_US_PER_S, false, true},
    {"change at the version known", 100, 99, 0, 0, true, true},
    {"versions not reached again", 100, 10, 0, 0, true, true},
    {"versions not reached again, watch cut", 100, 10, 0, 0, false, true},
    {"change past the version known", 100, 150, 10, 0, true, true},
    {"no era stated, versions not reached again", 100, 10, 0, 0, true, false},
};

static void
write_other_rows(store_t *store, int64_t count)
{
    store->newest.version += count;
}

static void
change_row(store_t *store, uint32_t change)
{
    store->newest.version++;
    store->row_version = store->newest.version;
    store->row_change = change;
}

static void
copy_store(store_t *store)
{
    store->copied_version = store->newest.version;
    store->copied_row_version = store->row_version;
    store->copied_row_change = store->row_change;
}

static void
restore_store(store_t *store)
{
    store->newest.version = store->copied_version;
    store->row_version = store->copied_row_version;
    store->row_change = store->copied_row_change;
    if (store->states_era) {
        store->newest.era++;
    }
}

static void
end_query(fixture_t *fixture, bv_config_answer_t answer)
{
    fixture->is_querying = false;
    bv_config_watch_handle_answer(&fixture->watch, fixture->now_us,
                                  fixture->random, answer,
                                  &fixture->store.newest);
}

static void
answer_query(fixture_t *fixture)
{
    const store_t *store = &fixture->store;
    const bv_config_query_t *query = &fixture->query;
    bool is_read = query->kind == BV_CONFIG_QUERY_READ;
    if (is_read || store->row_version > query->version) {
        fixture->known_change = MAX(fixture->known_change, store->row_change);
    }
    end_query(fixture, BV_CONFIG_ANSWER_OK);
}

static void
step(fixture_t *fixture)
{
    const store_t *store = &fixture->store;
    const bv_config_query_t *query = &fixture->query;
    fixture->now_us += STEP_US;
    if (fixture->is_querying) {
        int64_t age_us = fixture->now_us - fixture->sent_us;
        bool is_read = query->kind == BV_CONFIG_QUERY_READ;
        bool has_changed = !is_read && store->row_version > query->version;
        bool is_due = age_us >= ROUND_TRIP_US + query->wait_us;
        if (is_due || (has_changed && age_us >= ROUND_TRIP_US)) {
            answer_query(fixture);
        }
    }
    if (!bv_config_watch_is_due(&fixture->watch, fixture->now_us)) {
        return;
    }
    bv_config_watch_start_query(&fixture->watch, fixture->now_us,
                                fixture->nodes, fixture->random,
                                &fixture->query);
    fixture->is_querying = true;
    fixture->sent_us = fixture->now_us;
    if (query->kind == BV_CONFIG_QUERY_WATCH &&
        query->version > store->newest.version) {
        end_query(fixture, BV_CONFIG_ANSWER_HISTORY_GONE);
    }
}

static void
run(fixture_t *fixture, int64_t duration_us)
{
    int64_t end_us = fixture->now_us + duration_us;
    while (fixture->now_us < end_us) {
        step(fixture);
    }
}

static void
run_restore(fixture_t *fixture, const restore_case_t *restore_case)
{
    store_t *store = &fixture->store;
    change_row(store, 1);
    copy_store(store);
    write_other_rows(store, restore_case->lost_writes);
    run(fixture, BEFORE_US);
    restore_store(store);
    if (!restore_case->keeps_watches && fixture->is_querying) {
        end_query(fixture, BV_CONFIG_ANSWER_FAILED);
    }
    fixture->now_us += restore_case->down_us;
    /* The operator writes again what it wrote. */
    change_row(store, 1);
    write_other_rows(store, restore_case->writes_before_change);
    change_row(store, 2);
    write_other_rows(store, restore_case->writes_after_change);
    run(fixture, AFTER_US);
}

START_TEST(test_change_with_reused_version_is_found)
{
    fixture_t fixture = {
        .random = g_rand_new_with_seed(1),
        .now_us = BV_US_PER_S,
        .nodes = 1,
        .store = {.newest = {.version = 400,
                             .era = restore_cases[_i].states_era ? 1 : 0},
                  .states_era = restore_cases[_i].states_era},
    };
    run_restore(&fixture, &restore_cases[_i]);
    ck_assert_msg(fixture.known_change == 2, "%s: change %u is known",
                  restore_cases[_i].name, fixture.known_change);
    g_rand_free(fixture.random);
}
END_TEST

static const guint32 deaf_seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

/*
 * Another answer of the store states the new era while a watch that was sent
 * before is open. The node must not wait for the end of that watch.
 */
START_TEST(test_era_seen_elsewhere_ends_deaf_watch)
{
    fixture_t fixture = {
        .random = g_rand_new_with_seed(deaf_seeds[_i]),
        .now_us = BV_US_PER_S,
        .nodes = MANY_NODES,
        .store = {.newest = {.version = 400, .era = 1}, .states_era = true},
    };
    change_row(&fixture.store, 1);
    copy_store(&fixture.store);
    write_other_rows(&fixture.store, 100);
    run(&fixture, BEFORE_US);
    restore_store(&fixture.store);
    change_row(&fixture.store, 2);
    if (fixture.is_querying) {
        fixture.is_querying = false;
        bv_config_watch_restart(&fixture.watch, fixture.now_us);
    }
    run(&fixture, APPLY_US);
    ck_assert_uint_eq(fixture.known_change, 2);
    g_rand_free(fixture.random);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {{"change_with_reused_version_is_found",
                                     test_change_with_reused_version_is_found,
                                     G_N_ELEMENTS(restore_cases)},
                                    {"era_seen_elsewhere_ends_deaf_watch",
                                     test_era_seen_elsewhere_ends_deaf_watch,
                                     G_N_ELEMENTS(deaf_seeds)},
                                    {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("config_restored", tests);
}
