#include "berylvane/core/session.h"
#include "support.h"

#include <stdio.h>

#define CALLERS 3
#define ATTEMPTS_WINDOW 200
#define RETENTION_US 1000

typedef enum {
    STEP_DISPATCH,
    STEP_OPEN,
    STEP_START,
    STEP_FINISH,
    STEP_FENCE,
    STEP_FENCE_UNSEEN,
    STEP_EXPIRE,
} step_kind_t;

/* `expected` is the result, state or boolean that the step returns. */
typedef struct {
    step_kind_t kind;
    uint64_t incarnation;
    uint64_t session;
    uint64_t attempt;
    int expected;
} step_t;

typedef struct {
    const char *name;
    step_t steps[8];
} session_case_t;

static const session_case_t session_cases[] = {
    {"dispatch of an older session arrives late",
     {{STEP_OPEN, 1, 2, 0, 0},
      {STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_STALE_SESSION},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_UNSEEN},
      {STEP_DISPATCH, 1, 2, 5, BV_DISPATCH_FENCED}}},
    {"duplicate of running work in an older session is not refused as stale",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_START, 1, 0, 5, true},
      {STEP_OPEN, 1, 2, 0, 0},
      {STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_DUPLICATE},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_STARTED}}},
    {"fence of work that ran and whose record was evicted",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_START, 1, 0, 5, true},
      {STEP_FINISH, 1, 0, 5, true},
      {STEP_EXPIRE, 0, 0, 0, 0},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_FORGOTTEN},
      {STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_FORGOTTEN},
      {STEP_DISPATCH, 1, 1, 6, BV_DISPATCH_ACCEPTED}}},
    {"fenced work does not start",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_QUEUED},
      {STEP_START, 1, 0, 5, false}}},
    {"fencing only unseen work leaves queued work queued",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_FENCE_UNSEEN, 1, 0, 5, BV_SERVED_QUEUED},
      {STEP_START, 1, 0, 5, true}}},
    {"dispatch and fence of an older incarnation of a caller",
     {{STEP_DISPATCH, 2, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_DISPATCH, 1, 9, 6, BV_DISPATCH_FORGOTTEN},
      {STEP_FENCE, 1, 0, 6, BV_SERVED_FORGOTTEN}}},
};

/*
 * Guards against work that runs after it was reported as not run, and against
 * work that is reported as not run though it may have run: each case is a
 * sequence of messages that arrive late, twice or after a restart.
 */
START_TEST(test_step_tables)
{
    bv_sessions_options_t options = {.retention_us = RETENTION_US};
    bv_sessions_t *sessions = bv_sessions_create(&options);
    int64_t now_us = 0;
    for (size_t i = 0; i < 8; i++) {
        const step_t *step = &session_cases[_i].steps[i];
        bv_attempt_key_t key =
            bv_attempt_key("orders-1", step->incarnation, step->attempt);
        int actual = 0;
        switch (step->kind) {
        case STEP_DISPATCH:
            if (step->attempt == 0) {
                break;
            }
            actual = (int)bv_sessions_dispatch(sessions, &key, step->session);
            break;
        case STEP_OPEN:
            bv_sessions_open(sessions, "orders-1", step->incarnation,
                             step->session);
            break;
        case STEP_START:
            actual = bv_sessions_start(sessions, &key);
            break;
        case STEP_FINISH:
            bv_sessions_finish(sessions, now_us, &key, true);
            actual = true;
            break;
        case STEP_FENCE:
            actual = (int)bv_sessions_fence(sessions, now_us, &key);
            break;
        case STEP_FENCE_UNSEEN:
            actual = (int)bv_sessions_fence_unseen(sessions, now_us, &key);
            break;
        case STEP_EXPIRE:
            now_us += RETENTION_US;
            bv_sessions_tick(sessions, now_us);
            break;
        }
        ck_assert_msg(actual == step->expected, "%s, step %zu: %d",
                      session_cases[_i].name, i, actual);
    }
    bv_sessions_destroy(sessions);
}
END_TEST

/*
 * Guards against memory that grows with the number of caller names: a caller
 * beyond the limit is refused, and a fence does not add an entry for it.
 */
START_TEST(test_callers_limit)
{
    bv_sessions_options_t options = {.retention_us = 0, .callers_limit = 1};
    bv_sessions_t *sessions = bv_sessions_create(&options);
    bv_attempt_key_t first = bv_attempt_key("orders-1", 1, 1);
    bv_attempt_key_t second = bv_attempt_key("orders-2", 1, 1);
    ck_assert_int_eq(bv_sessions_dispatch(sessions, &first, 1),
                     BV_DISPATCH_ACCEPTED);
    ck_assert_int_eq(bv_sessions_dispatch(sessions, &second, 1),
                     BV_DISPATCH_CALLERS_FULL);
    ck_assert_int_eq(bv_sessions_fence(sessions, 0, &second),
                     BV_SERVED_UNSEEN);
    ck_assert_int_eq(bv_sessions_dispatch(sessions, &second, 1),
                     BV_DISPATCH_CALLERS_FULL);
    bv_sessions_destroy(sessions);
}
END_TEST

/* Reference model of an attempt; models are never evicted. */
typedef struct {
    bv_served_state_t state;
    /* Session of the attempt's first dispatch; all repeats use it. */
    uint64_t session;
    bool is_reported_not_run;
    bool was_started;
} model_t;

typedef struct {
    bv_sessions_t *sessions;
    GRand *random;
    GHashTable *models;
    uint64_t incarnation[CALLERS];
    uint64_t newest_session[CALLERS];
    uint64_t opened_session[CALLERS];
    uint64_t attempts[CALLERS];
    int64_t now_us;
    uint64_t forgotten_count;
    uint64_t wrong_count;
} comparison_t;

static const char *const caller_names[CALLERS] = {"orders-1", "orders-2",
                                                  "stock-1"};

static model_t *
find_or_add_model(comparison_t *comparison, const bv_attempt_key_t *key)
{
    model_t *model = g_hash_table_lookup(comparison->models, key);
    if (model == NULL) {
        model = g_new0(model_t, 1);
        g_hash_table_insert(comparison->models, g_memdup2(key, sizeof(*key)),
                            model);
    }
    return model;
}

static void
dispatch_and_compare(comparison_t *comparison, gint32 caller,
                     const bv_attempt_key_t *key, uint64_t session)
{
    model_t *model = find_or_add_model(comparison, key);
    if (model->session == 0) {
        model->session = session;
    }
    session = model->session;
    bool is_newest_incarnation =
        key->incarnation == comparison->incarnation[caller];
    bool is_allowed = is_newest_incarnation &&
                      model->state == BV_SERVED_UNSEEN &&
                      session >= comparison->newest_session[caller];
    bv_dispatch_result_t result =
        bv_sessions_dispatch(comparison->sessions, key, session);
    if (result == BV_DISPATCH_ACCEPTED) {
        comparison->wrong_count += !is_allowed;
        model->state = BV_SERVED_QUEUED;
        comparison->newest_session[caller] =
            MAX(comparison->newest_session[caller], session);
    }
    if (result == BV_DISPATCH_STALE_SESSION || result == BV_DISPATCH_FENCED) {
        model->is_reported_not_run = true;
        comparison->wrong_count += model->was_started;
    }
    comparison->forgotten_count += result == BV_DISPATCH_FORGOTTEN;
}

static void
fence_and_compare(comparison_t *comparison, const bv_attempt_key_t *key,
                  bool unseen_only)
{
    model_t *model = find_or_add_model(comparison, key);
    bv_served_state_t state =
        unseen_only
            ? bv_sessions_fence_unseen(comparison->sessions,
                                       comparison->now_us, key)
            : bv_sessions_fence(comparison->sessions, comparison->now_us, key);
    comparison->forgotten_count += state == BV_SERVED_FORGOTTEN;
    if (state != BV_SERVED_FORGOTTEN) {
        comparison->wrong_count += state != model->state;
    }
    bool is_proof = state == BV_SERVED_UNSEEN || state == BV_SERVED_FENCED ||
                    (state == BV_SERVED_QUEUED && !unseen_only);
    if (is_proof) {
        model->is_reported_not_run = true;
        model->state = BV_SERVED_FENCED;
        comparison->wrong_count += model->was_started;
    }
}

static void
start_and_compare(comparison_t *comparison, const bv_attempt_key_t *key)
{
    model_t *model = find_or_add_model(comparison, key);
    if (!bv_sessions_start(comparison->sessions, key)) {
        return;
    }
    comparison->wrong_count +=
        model->state != BV_SERVED_QUEUED || model->is_reported_not_run;
    model->state = BV_SERVED_STARTED;
    model->was_started = true;
}

static void
finish_and_compare(comparison_t *comparison, const bv_attempt_key_t *key)
{
    model_t *model = find_or_add_model(comparison, key);
    if (model->state != BV_SERVED_STARTED) {
        return;
    }
    bv_sessions_finish(comparison->sessions, comparison->now_us, key, true);
    model->state = BV_SERVED_FINISHED;
}

static void
restart_caller(comparison_t *comparison, gint32 caller)
{
    comparison->incarnation[caller]++;
    comparison->newest_session[caller] = 0;
    comparison->opened_session[caller] = 1;
    bv_sessions_open(comparison->sessions, caller_names[caller],
                     comparison->incarnation[caller], 0);
}

static void
run_random_step(comparison_t *comparison)
{
    gint32 caller = g_rand_int_range(comparison->random, 0, CALLERS);
    gint32 kind = g_rand_int_range(comparison->random, 0, 1000);
    gint32 age = g_rand_int_range(comparison->random, 0, ATTEMPTS_WINDOW);
    uint64_t attempt = comparison->attempts[caller];
    attempt = attempt > (uint64_t)age ? attempt - (uint64_t)age : 1;
    uint64_t incarnation = comparison->incarnation[caller] -
                           (g_rand_int_range(comparison->random, 0, 20) == 0);
    bv_attempt_key_t key =
        bv_attempt_key(caller_names[caller], incarnation, attempt);
    uint64_t session = MAX(comparison->opened_session[caller], 3) -
                       (uint64_t)g_rand_int_range(comparison->random, 0, 3);
    if (kind == 0) {
        restart_caller(comparison, caller);
    }
    else if (kind < 20) {
        comparison->opened_session[caller]++;
        bv_sessions_open(comparison->sessions, caller_names[caller],
                         comparison->incarnation[caller],
                         comparison->opened_session[caller]);
        comparison->newest_session[caller] =
            MAX(comparison->newest_session[caller],
                comparison->opened_session[caller]);
    }
    else if (kind < 400) {
        comparison->attempts[caller] += age < ATTEMPTS_WINDOW / 4;
        dispatch_and_compare(comparison, caller, &key, session);
    }
    else if (kind < 600) {
        start_and_compare(comparison, &key);
    }
    else if (kind < 800) {
        finish_and_compare(comparison, &key);
    }
    else if (kind < 950) {
        fence_and_compare(comparison, &key, kind % 2 == 0);
    }
    else {
        comparison->now_us +=
            g_rand_int_range(comparison->random, 0, RETENTION_US / 4);
        bv_sessions_tick(comparison->sessions, comparison->now_us);
    }
}

/*
 * Guards against wrong answers after records were evicted by age or by number:
 * random steps of three callers, with restarts, are compared with a model that
 * keeps all attempts. Only "forgotten" may differ from the model.
 */
START_TEST(test_reference_model)
{
    support_random_run_t run = support_random_run(1, 1000000);
    bv_sessions_options_t options = {.retention_us = RETENTION_US,
                                     .settled_limit = 100};
    comparison_t comparison = {
        .sessions = bv_sessions_create(&options),
        .random = g_rand_new_with_seed(run.seed),
        .models = g_hash_table_new_full(bv_attempt_key_hash,
                                        bv_attempt_key_equal, g_free, g_free),
    };
    for (gint32 i = 0; i < CALLERS; i++) {
        comparison.incarnation[i] = 1;
        restart_caller(&comparison, i);
    }
    for (uint64_t i = 0; i < run.events; i++) {
        run_random_step(&comparison);
    }
    printf("%u attempts, %" G_GUINT64_FORMAT
           " forgotten answers, %u remembered, %" G_GUINT64_FORMAT " wrong\n",
           g_hash_table_size(comparison.models),
           (guint64)comparison.forgotten_count,
           bv_sessions_count(comparison.sessions),
           (guint64)comparison.wrong_count);
    ck_assert_uint_eq(comparison.wrong_count, 0);
    ck_assert_uint_gt(comparison.forgotten_count, 0);
    bv_sessions_destroy(comparison.sessions);
    g_hash_table_destroy(comparison.models);
    g_rand_free(comparison.random);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"cases", test_step_tables, G_N_ELEMENTS(session_cases)},
        {"callers_limit", test_callers_limit, 1},
        {"reference_model", test_reference_model, 1},
        {NULL}};
    return support_run("session", tests);
}
