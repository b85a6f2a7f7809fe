#include "berylvane/core/config_fetcher.h"

#include "support.h"

#include "berylvane/common/clock.h"

#include <string.h>

/*
 * Guards against a node that knows of a new configuration and does not get its
 * body in time, because the members that it asks do not deliver.
 */
#define STEP_US (10 * BV_US_PER_MS)
#define STORE_DELAY_US (100 * BV_US_PER_MS)
/* Twice the time that the node gives a source. */
#define FETCH_TIMEOUT_US BV_US_PER_S
/* ConfigApplyMs: from the acknowledgement until a change is in force. */
#define APPLY_US (2500 * BV_US_PER_MS)

typedef struct {
    bv_config_fetcher_t *fetcher;
    GBytes *body;
    bv_config_version_t version;
    int64_t now_us;
    int64_t store_due_us;
    bool is_store_up;
    /* The member that delivers the body; NULL if none does. */
    const char *delivering_member;
    bool has_delivered;
} fixture_t;

static bool
request_from_member(void *context, const char *member, uint64_t generation)
{
    fixture_t *fixture = context;
    (void)generation;
    if (g_strcmp0(member, fixture->delivering_member) == 0) {
        fixture->has_delivered = true;
    }
    return true;
}

static void
read_head(void *context)
{
    (void)context;
}

static void
read_from_store(void *context, const bv_config_version_t *version)
{
    fixture_t *fixture = context;
    (void)version;
    if (fixture->is_store_up) {
        fixture->store_due_us = fixture->now_us + STORE_DELAY_US;
    }
}

static bool
adopt(void *context, const bv_config_version_t *version, GBytes *body)
{
    (void)context;
    (void)version;
    (void)body;
    return true;
}

static void
report_conflict(void *context, const bv_config_version_t *version)
{
    (void)context;
    (void)version;
}

static const bv_config_fetcher_ops_t ops = {
    .request_from_member = request_from_member,
    .read_head = read_head,
    .read_from_store = read_from_store,
    .adopt = adopt,
    .report_conflict = report_conflict,
};

static GRand *random_numbers;

static void
deliver(fixture_t *fixture)
{
    bv_config_fetcher_handle_bundle(fixture->fetcher, fixture->now_us,
                                    fixture->version.generation,
                                    fixture->body);
}

/* Puts generation 1 in force and makes generation 2 the newest version. */
static void
fixture_open(fixture_t *fixture, const char *text)
{
    const bv_config_fetcher_options_t options = {
        .poll_interval_us = 10 * BV_US_PER_S,
        .fetch_timeout_us = FETCH_TIMEOUT_US,
        .gather_timeout_us = 2 * BV_US_PER_S,
        .random = random_numbers,
        .ops = &ops,
        .context = fixture,
    };
    fixture->now_us = BV_US_PER_S;
    fixture->fetcher = bv_config_fetcher_create(&options);
    fixture->body = g_bytes_new_static("first", 5);
    fixture->version =
        (bv_config_version_t){1, bv_config_bundle_digest(fixture->body)};
    bv_config_fetcher_handle_head(fixture->fetcher, fixture->now_us,
                                  &fixture->version);
    deliver(fixture);
    ck_assert_uint_eq(bv_config_fetcher_in_force(fixture->fetcher)->generation,
                      1);
    g_bytes_unref(fixture->body);
    fixture->body = g_bytes_new(text, strlen(text));
    fixture->version =
        (bv_config_version_t){2, bv_config_bundle_digest(fixture->body)};
    fixture->store_due_us = 0;
}

static void
fixture_close(fixture_t *fixture)
{
    bv_config_fetcher_destroy(fixture->fetcher);
    g_bytes_unref(fixture->body);
}

static void
report_version(fixture_t *fixture, const char *member)
{
    bv_config_fetcher_handle_version(fixture->fetcher, fixture->now_us,
                                     &fixture->version, member);
}

static void
run(fixture_t *fixture, int64_t duration_us)
{
    int64_t end_us = fixture->now_us + duration_us;
    while (fixture->now_us < end_us) {
        fixture->now_us += STEP_US;
        bool is_store_due = fixture->store_due_us != 0 &&
                            fixture->now_us >= fixture->store_due_us;
        if (is_store_due || fixture->has_delivered) {
            fixture->store_due_us = 0;
            fixture->has_delivered = false;
            deliver(fixture);
        }
        bv_config_fetcher_tick(fixture->fetcher, fixture->now_us);
    }
}

static const char *const member_names[] = {"m1", "m2", "m3", "m4", "m5", "m6"};

static const uint32_t silent_member_cases[] = {1, 2, 3, 4, 6};

/* Members that do not deliver must not keep a node from the store. */
START_TEST(test_silent_members_do_not_delay_the_store)
{
    fixture_t fixture = {.is_store_up = true};
    fixture_open(&fixture, "second");
    for (uint32_t i = 0; i < silent_member_cases[_i]; i++) {
        report_version(&fixture, member_names[i]);
    }
    run(&fixture, APPLY_US);
    ck_assert_uint_eq(bv_config_fetcher_in_force(fixture.fetcher)->generation,
                      2);
    fixture_close(&fixture);
}
END_TEST

/*
 * The store is down, and the first members that reported the version do not
 * deliver. One that reports it later must be asked too.
 */
START_TEST(test_later_reporter_is_asked)
{
    uint32_t silent_members = silent_member_cases[_i];
    fixture_t fixture = {.delivering_member = "later"};
    fixture_open(&fixture, "second");
    for (uint32_t i = 0; i < silent_members; i++) {
        report_version(&fixture, member_names[i]);
    }
    run(&fixture, BV_US_PER_S);
    report_version(&fixture, "later");
    run(&fixture, 60 * BV_US_PER_S);
    ck_assert_uint_eq(bv_config_fetcher_in_force(fixture.fetcher)->generation,
                      2);
    fixture_close(&fixture);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"silent_members_do_not_delay_the_store",
         test_silent_members_do_not_delay_the_store,
         G_N_ELEMENTS(silent_member_cases)},
        {"later_reporter_is_asked", test_later_reporter_is_asked,
         G_N_ELEMENTS(silent_member_cases)},
        {NULL}};
    support_parse_arguments(argc, argv);
    random_numbers = g_rand_new_with_seed(1);
    int status = support_run("config_sources", tests);
    g_rand_free(random_numbers);
    return status;
}
