#include "berylvane/core/session.h"
#include "support.h"

#include <stdio.h>

#define CALLERS 3
#define WINDOW 200
#define REMEMBER_US 1000

typedef enum {
    STEP_DISPATCH,
    STEP_OPEN,
    STEP_START,
    STEP_FINISH,
    STEP_FENCE,
    STEP_ASK,
    STEP_LATER,
} step_kind_t;

/* `wanted` is the verdict, the state or the truth that the step yields. */
typedef struct {
    step_kind_t kind;
    uint64_t incarnation;
    uint64_t session;
    uint64_t attempt;
    int wanted;
} step_t;

typedef struct {
    const char *name;
    step_t steps[8];
} session_case_t;

static const session_case_t session_cases[] = {
    {"late dispatch of an older session",
     {{STEP_OPEN, 1, 2, 0, 0},
      {STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_STALE_SESSION},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_UNSEEN},
      {STEP_DISPATCH, 1, 2, 5, BV_DISPATCH_FENCED}}},
    {"copy of running work in an older session is not refused",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_START, 1, 0, 5, true},
      {STEP_OPEN, 1, 2, 0, 0},
      {STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_DUPLICATE},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_STARTED}}},
    {"fence of work that ran and was forgotten",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_START, 1, 0, 5, true},
      {STEP_FINISH, 1, 0, 5, true},
      {STEP_LATER, 0, 0, 0, 0},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_FORGOTTEN},
      {STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_FORGOTTEN},
      {STEP_DISPATCH, 1, 1, 6, BV_DISPATCH_ACCEPTED}}},
    {"fenced work does not start",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_FENCE, 1, 0, 5, BV_SERVED_QUEUED},
      {STEP_START, 1, 0, 5, false}}},
    {"question leaves queued work queued",
     {{STEP_DISPATCH, 1, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_ASK, 1, 0, 5, BV_SERVED_QUEUED},
      {STEP_START, 1, 0, 5, true}}},
    {"older incarnation of a caller",
     {{STEP_DISPATCH, 2, 1, 5, BV_DISPATCH_ACCEPTED},
      {STEP_DISPATCH, 1, 9, 6, BV_DISPATCH_FORGOTTEN},
      {STEP_FENCE, 1, 0, 6, BV_SERVED_FORGOTTEN}}},
};

START_TEST(test_cases)
{
    bv_sessions_options_t options = {.retention_us = REMEMBER_US};
    bv_sessions_t *sessions = bv_sessions_create(&options);
    int64_t now_us = 0;
    for (size_t i = 0; i < 8; i++) {
        const step_t *step = &session_cases[_i].steps[i];
        bv_attempt_key_t key =
            bv_attempt_key("orders-1", step->incarnation, step->attempt);
        int got = 0;
        switch (step->kind) {
        case STEP_DISPATCH:
            if (step->attempt == 0) {
                break;
            }
            got = (int)bv_sessions_dispatch(sessions, &key, step->session);
            break;
        case STEP_OPEN:
            bv_sessions_open(sessions, "orders-1", step->incarnation,
                             step->session);
            break;
        case STEP_START:
            got = bv_sessions_start(sessions, &key);
            break;
        case STEP_FINISH:
            bv_sessions_finish(sessions, now_us, &key, true);
            got = true;
            break;
        case STEP_FENCE:
            got = (int)bv_sessions_fence(sessions, now_us, &key);
            break;
        case STEP_ASK:
            got = (int)bv_sessions_fence_unseen(sessions, now_us, &key);
            break;
        case STEP_LATER:
            now_us += REMEMBER_US;
            bv_sessions_tick(sessions, now_us);
            break;
        }
        ck_assert_msg(got == step->wanted, "%s, step %zu: %d",
                      session_cases[_i].name, i, got);
    }
    bv_sessions_destroy(sessions);
}
END_TEST

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

/* The naive twin: every attempt ever, no limit on memory. */
typedef struct {
    bv_served_state_t state;
    /* An attempt is dispatched in one session. */
    uint64_t session;
    bool told_not_run;
    bool ran;
} twin_t;

typedef struct {
    bv_sessions_t *sessions;
    GRand *random;
    GHashTable *twins;
    uint64_t incarnation[CALLERS];
    uint64_t newest[CALLERS];
    uint64_t opened[CALLERS];
    uint64_t attempts[CALLERS];
    int64_t now_us;
    uint64_t forgotten;
    uint64_t wrong;
} pair_t;

static const char *const names[CALLERS] = {"orders-1", "orders-2", "stock-1"};

static twin_t *
twin_of(pair_t *pair, const bv_attempt_key_t *key)
{
    twin_t *twin = g_hash_table_lookup(pair->twins, key);
    if (twin == NULL) {
        twin = g_new0(twin_t, 1);
        g_hash_table_insert(pair->twins, g_memdup2(key, sizeof(*key)), twin);
    }
    return twin;
}

static void
both_dispatch(pair_t *pair, gint32 caller, const bv_attempt_key_t *key,
              uint64_t session)
{
    twin_t *twin = twin_of(pair, key);
    if (twin->session == 0) {
        twin->session = session;
    }
    session = twin->session;
    bool newest = key->incarnation == pair->incarnation[caller];
    bool allowed = newest && twin->state == BV_SERVED_UNSEEN &&
                   session >= pair->newest[caller];
    bv_dispatch_result_t verdict =
        bv_sessions_dispatch(pair->sessions, key, session);
    if (verdict == BV_DISPATCH_ACCEPTED) {
        pair->wrong += !allowed;
        twin->state = BV_SERVED_QUEUED;
        pair->newest[caller] = MAX(pair->newest[caller], session);
    }
    if (verdict == BV_DISPATCH_STALE_SESSION ||
        verdict == BV_DISPATCH_FENCED) {
        twin->told_not_run = true;
        pair->wrong += twin->ran;
    }
    pair->forgotten += verdict == BV_DISPATCH_FORGOTTEN;
}

static void
both_fence(pair_t *pair, const bv_attempt_key_t *key, bool ask)
{
    twin_t *twin = twin_of(pair, key);
    bv_served_state_t state =
        ask ? bv_sessions_fence_unseen(pair->sessions, pair->now_us, key)
            : bv_sessions_fence(pair->sessions, pair->now_us, key);
    pair->forgotten += state == BV_SERVED_FORGOTTEN;
    if (state != BV_SERVED_FORGOTTEN) {
        pair->wrong += state != twin->state;
    }
    bool proof = state == BV_SERVED_UNSEEN || state == BV_SERVED_FENCED ||
                 (state == BV_SERVED_QUEUED && !ask);
    if (proof) {
        twin->told_not_run = true;
        twin->state = BV_SERVED_FENCED;
        pair->wrong += twin->ran;
    }
}

static void
both_start(pair_t *pair, const bv_attempt_key_t *key)
{
    twin_t *twin = twin_of(pair, key);
    if (!bv_sessions_start(pair->sessions, key)) {
        return;
    }
    pair->wrong += twin->state != BV_SERVED_QUEUED || twin->told_not_run;
    twin->state = BV_SERVED_STARTED;
    twin->ran = true;
}

static void
both_finish(pair_t *pair, const bv_attempt_key_t *key)
{
    twin_t *twin = twin_of(pair, key);
    if (twin->state != BV_SERVED_STARTED) {
        return;
    }
    bv_sessions_finish(pair->sessions, pair->now_us, key, true);
    twin->state = BV_SERVED_FINISHED;
}

static void
restart(pair_t *pair, gint32 caller)
{
    pair->incarnation[caller]++;
    pair->newest[caller] = 0;
    pair->opened[caller] = 1;
    bv_sessions_open(pair->sessions, names[caller], pair->incarnation[caller],
                     0);
}

static void
random_step(pair_t *pair)
{
    gint32 caller = g_rand_int_range(pair->random, 0, CALLERS);
    gint32 kind = g_rand_int_range(pair->random, 0, 1000);
    gint32 back = g_rand_int_range(pair->random, 0, WINDOW);
    uint64_t attempt = pair->attempts[caller];
    attempt = attempt > (uint64_t)back ? attempt - (uint64_t)back : 1;
    uint64_t incarnation = pair->incarnation[caller] -
                           (g_rand_int_range(pair->random, 0, 20) == 0);
    bv_attempt_key_t key = bv_attempt_key(names[caller], incarnation, attempt);
    uint64_t session = MAX(pair->opened[caller], 3) -
                       (uint64_t)g_rand_int_range(pair->random, 0, 3);
    if (kind == 0) {
        restart(pair, caller);
    }
    else if (kind < 20) {
        pair->opened[caller]++;
        bv_sessions_open(pair->sessions, names[caller],
                         pair->incarnation[caller], pair->opened[caller]);
        pair->newest[caller] = MAX(pair->newest[caller], pair->opened[caller]);
    }
    else if (kind < 400) {
        pair->attempts[caller] += back < WINDOW / 4;
        both_dispatch(pair, caller, &key, session);
    }
    else if (kind < 600) {
        both_start(pair, &key);
    }
    else if (kind < 800) {
        both_finish(pair, &key);
    }
    else if (kind < 950) {
        both_fence(pair, &key, kind % 2 == 0);
    }
    else {
        pair->now_us += g_rand_int_range(pair->random, 0, REMEMBER_US / 4);
        bv_sessions_tick(pair->sessions, pair->now_us);
    }
}

START_TEST(test_twin)
{
    support_random_run_t run = support_random_run(1, 1000000);
    bv_sessions_options_t options = {.retention_us = REMEMBER_US,
                                     .settled_limit = 100};
    pair_t pair = {
        .sessions = bv_sessions_create(&options),
        .random = g_rand_new_with_seed(run.seed),
        .twins = g_hash_table_new_full(bv_attempt_key_hash,
                                       bv_attempt_key_equal, g_free, g_free),
    };
    for (gint32 i = 0; i < CALLERS; i++) {
        pair.incarnation[i] = 1;
        restart(&pair, i);
    }
    for (uint64_t i = 0; i < run.events; i++) {
        random_step(&pair);
    }
    printf("%u attempts, %" G_GUINT64_FORMAT
           " forgotten answers, %u remembered, %" G_GUINT64_FORMAT " wrong\n",
           g_hash_table_size(pair.twins), (guint64)pair.forgotten,
           bv_sessions_count(pair.sessions), (guint64)pair.wrong);
    ck_assert_uint_eq(pair.wrong, 0);
    ck_assert_uint_gt(pair.forgotten, 0);
    bv_sessions_destroy(pair.sessions);
    g_hash_table_destroy(pair.twins);
    g_rand_free(pair.random);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"cases", test_cases, G_N_ELEMENTS(session_cases)},
        {"callers_limit", test_callers_limit, 1},
        {"twin", test_twin, 1},
        {NULL}};
    return support_run("session", tests);
}
