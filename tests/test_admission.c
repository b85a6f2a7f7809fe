#include "berylvane/common/counters.h"
#include "berylvane/core/admission.h"
#include "berylvane/core/limiter.h"

#include "naive_queue.h"
#include "support.h"

#include <stdio.h>

#define SEED 7
#define EVENTS 1000000
#define US_PER_MS 1000
#define SLOTS 8
#define QUEUE_LIMIT 64
#define PHASE_EVENTS 10000
#define ROUTES 4
#define FAR_DEADLINE_US (1000 * US_PER_MS)

static const bv_admission_options_t default_options = {
    .slots = SLOTS,
    .queue_limit = QUEUE_LIMIT,
    .queue_target_us = 10 * US_PER_MS,
    .long_share_percent = 50,
};

/* Replaces the assertions of the test library Check, each of which costs a
 * write, in runs of a million events. */
static void
require(bool holds, const char *what)
{
    if (!holds) {
        ck_abort_msg("%s", what);
    }
}

/* Three pieces of work in order of arrival, and the order of running. */
typedef struct {
    const char *name;
    bv_class_t classes[3];
    int64_t deadlines_ms[3];
    uint64_t order[3];
} order_case_t;

static const order_case_t order_cases[] = {
    {"by class", {0, 1, 2}, {90, 90, 90}, {3, 2, 1}},
    {"by deadline", {1, 1, 1}, {70, 50, 60}, {2, 3, 1}},
    {"by class before deadline", {1, 2, 1}, {10, 90, 20}, {2, 1, 3}},
    {"by arrival", {1, 1, 1}, {50, 50, 50}, {1, 2, 3}},
};

START_TEST(test_order)
{
    const order_case_t *row = &order_cases[_i];
    bv_queue_t *queue = bv_queue_create();
    for (uint64_t i = 0; i < 3; i++) {
        bv_queued_work_t queued = {
            .work = {.id = i + 1,
                     .priority = bv_priority(row->classes[i], 5),
                     .deadline_us = row->deadlines_ms[i] * US_PER_MS},
        };
        bv_queue_add(queue, &queued);
    }
    for (size_t i = 0; i < 3; i++) {
        bv_queued_work_t removed;
        uint64_t id = bv_queue_first_to_run(queue)->work.id;
        ck_assert_msg(id == row->order[i], "%s: wrong work at position %zu",
                      row->name, i);
        ck_assert(bv_queue_remove(queue, id, &removed));
    }
    bv_queue_destroy(queue);
}
END_TEST

/*
 * The latency of a target before and after a change, and the range in which
 * the limit must end.
 */
typedef struct {
    const char *name;
    uint32_t slots;
    /* Work that the target can run at once; the rest waits in the target. */
    uint32_t capacity;
    int64_t latency_before_us;
    int64_t latency_after_us;
    uint32_t least_limit;
    uint32_t most_limit;
} limit_case_t;

static const limit_case_t limit_cases[] = {
    {"capacity as declared", 32, 32, 1000, 1000, 32, 32},
    {"permanently slower", 32, 32, 1000, 10000, 32, 32},
    {"permanently faster", 32, 32, 10000, 1000, 32, 32},
    {"one slot", 1, 1, 1000, 1000, 1, 1},
    {"less capacity than declared", 64, 8, 10000, 10000, 8, 32},
    {"less capacity than declared, then slower", 64, 8, 10000, 50000, 8, 32},
};

START_TEST(test_limit)
{
    const limit_case_t *row = &limit_cases[_i];
    bv_limiter_t *limiter = bv_limiter_create(row->slots);
    support_random_run_t run = support_random_run(SEED, 1);
    GRand *random = g_rand_new_with_seed(run.seed);
    int64_t now_us = 0;
    ck_assert_uint_le(bv_limiter_limit(limiter), MAX(1, row->slots / 2));
    for (int i = 0; i < 60000; i++) {
        int64_t base_us =
            i < 20000 ? row->latency_before_us : row->latency_after_us;
        uint32_t limit = bv_limiter_limit(limiter);
        double overload_factor = MAX(1.0, (double)limit / row->capacity);
        double spread = g_rand_double_range(random, 0.5, 1.5);
        int64_t latency_us =
            (int64_t)((double)base_us * overload_factor * spread);
        now_us += latency_us / limit;
        bv_limiter_record_latency(limiter, now_us, now_us - latency_us, 1,
                                  latency_us, limit);
        ck_assert_uint_le(bv_limiter_limit(limiter), row->slots);
    }
    ck_assert_msg(bv_limiter_limit(limiter) >= row->least_limit &&
                      bv_limiter_limit(limiter) <= row->most_limit,
                  "%s: limit %u", row->name, bv_limiter_limit(limiter));
    g_rand_free(random);
    bv_limiter_destroy(limiter);
}
END_TEST

/* Work whose route takes longer than the time to its deadline is refused. */
START_TEST(test_late_work_is_dropped)
{
    bv_admission_t *admission = bv_admission_create(&default_options);
    bv_reason_t reason;
    bv_work_result_t result = {.latency_us = 20 * US_PER_MS,
                               .completed = true};
    for (uint64_t id = 1; id <= 64; id++) {
        bv_work_t work = {id, 1, 200, false, FAR_DEADLINE_US};
        ck_assert_int_eq(bv_admission_offer(admission, 0, &work, &reason),
                         BV_WORK_RUN);
        bv_admission_finish(admission, 0, id, &result);
    }
    bv_work_t late = {100, 1, 200, false, 10 * US_PER_MS};
    ck_assert_int_eq(bv_admission_offer(admission, 0, &late, &reason),
                     BV_WORK_REFUSED);
    ck_assert_int_eq(reason, BV_REASON_EXPIRED);
    bv_work_t timely = {101, 1, 200, false, 30 * US_PER_MS};
    ck_assert_int_eq(bv_admission_offer(admission, 0, &timely, &reason),
                     BV_WORK_RUN);
    bv_admission_destroy(admission);
}
END_TEST

/*
 * A node calls bv_admission_next() before it has options, with no slots. This
 * must not raise the threshold: the first work would be refused after
 * configuration.
 */
START_TEST(test_configured_later)
{
    bv_admission_options_t none = {.queue_limit = 1};
    bv_admission_t *admission = bv_admission_create(&none);
    bv_reason_t reason;
    uint64_t id;
    for (int64_t now_us = 0; now_us < 100 * US_PER_MS; now_us += US_PER_MS) {
        bv_admission_next(admission, now_us, &id, &reason);
    }
    bv_admission_configure(admission, &default_options);
    bv_work_t work = {1, 1, 0, false, FAR_DEADLINE_US};
    ck_assert_int_eq(
        bv_admission_offer(admission, 100 * US_PER_MS, &work, &reason),
        BV_WORK_RUN);
    ck_assert_uint_eq(bv_admission_threshold(admission), 0);
    bv_admission_destroy(admission);
}
END_TEST

/*
 * Guards against more running work than slots, against work that is neither
 * queued nor running nor refused, and against critical work that is refused
 * while other work is admitted (an invariant). Work is offered in random
 * bursts, finished and removed.
 */
typedef struct {
    bv_admission_t *admission;
    GRand *random;
    GArray *running;
    GArray *waiting;
    int64_t now_us;
    uint64_t next_id;
    uint64_t critical_refused;
    uint64_t refused[BV_REASON_END];
    uint64_t ran;
    /* An event offers work with about this probability, else finishes work. */
    gint32 offer_percent;
    /* Least important class that is offered. */
    gint32 least_class;
} run_t;

static void
remove_id(GArray *ids, uint64_t id)
{
    for (guint i = 0; i < ids->len; i++) {
        if (g_array_index(ids, uint64_t, i) == id) {
            g_array_remove_index_fast(ids, i);
            return;
        }
    }
    ck_abort_msg("work %llu is missing from the list", (unsigned long long)id);
}

static void
process_queue(run_t *run)
{
    for (;;) {
        uint64_t id;
        bv_reason_t reason;
        bv_work_verdict_t verdict =
            bv_admission_next(run->admission, run->now_us, &id, &reason);
        if (verdict == BV_WORK_QUEUED) {
            return;
        }
        remove_id(run->waiting, id);
        if (verdict == BV_WORK_RUN) {
            g_array_append_val(run->running, id);
            run->ran++;
            continue;
        }
        run->refused[reason]++;
    }
}

static void
offer_random_work(run_t *run)
{
    bv_class_t class =
        (bv_class_t)g_rand_int_range(run->random, run->least_class, 3);
    uint32_t route_hash =
        (uint32_t)g_rand_int_range(run->random, 1, ROUTES + 1);
    bv_work_t work = {
        .id = ++run->next_id,
        .route_hash = route_hash,
        .priority =
            bv_priority(class, (uint8_t)g_rand_int_range(run->random, 0,
                                                         BV_PRIORITY_LEVELS)),
        .is_long_running = route_hash == ROUTES,
        .deadline_us = run->now_us + g_rand_int_range(run->random, -US_PER_MS,
                                                      300 * US_PER_MS),
    };
    bv_reason_t reason;
    switch (bv_admission_offer(run->admission, run->now_us, &work, &reason)) {
    case BV_WORK_RUN:
        g_array_append_val(run->running, work.id);
        run->ran++;
        break;
    case BV_WORK_QUEUED:
        g_array_append_val(run->waiting, work.id);
        break;
    case BV_WORK_REFUSED:
        run->refused[reason]++;
        run->critical_refused +=
            class == BV_CLASS_CRITICAL && reason != BV_REASON_EXPIRED;
        break;
    }
}

static void
finish_random_work(run_t *run)
{
    if (run->running->len == 0) {
        return;
    }
    guint index =
        (guint)g_rand_int_range(run->random, 0, (gint32)run->running->len);
    uint64_t id = g_array_index(run->running, uint64_t, index);
    g_array_remove_index_fast(run->running, index);
    bv_work_result_t result = {
        .latency_us = g_rand_int_range(run->random, 100, 20 * US_PER_MS),
        .downstream_us = g_rand_int_range(run->random, 0, 100),
        .completed = g_rand_int_range(run->random, 0, 10) > 0,
    };
    bv_admission_finish(run->admission, run->now_us, id, &result);
}

static void
remove_random_work(run_t *run)
{
    if (run->waiting->len == 0) {
        require(!bv_admission_remove(run->admission, run->next_id + 1),
                "work was removed that is not queued");
        return;
    }
    guint index =
        (guint)g_rand_int_range(run->random, 0, (gint32)run->waiting->len);
    uint64_t id = g_array_index(run->waiting, uint64_t, index);
    g_array_remove_index_fast(run->waiting, index);
    require(bv_admission_remove(run->admission, id),
            "queued work was not removed");
}

static void
run_event(run_t *run)
{
    gint32 random_percent = g_rand_int_range(run->random, 0, 100);
    if (g_rand_int_range(run->random, 0, PHASE_EVENTS) == 0) {
        run->offer_percent = g_rand_int_range(run->random, 20, 95);
        run->least_class = g_rand_int_range(run->random, 0, 3);
    }
    if (random_percent < 2) {
        remove_random_work(run);
    }
    else if (random_percent < run->offer_percent) {
        offer_random_work(run);
    }
    else {
        finish_random_work(run);
    }
    run->now_us += g_rand_int_range(run->random, 0, US_PER_MS);
    process_queue(run);
}

START_TEST(test_random)
{
    support_random_run_t options = support_random_run(SEED, EVENTS);
    run_t run = {
        .admission = bv_admission_create(&default_options),
        .random = g_rand_new_with_seed(options.seed),
        .running = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
        .offer_percent = 50,
    };
    for (uint64_t i = 0; i < options.events; i++) {
        run_event(&run);
        require(run.running->len <= SLOTS,
                "more work runs than there are slots");
        require(bv_admission_running(run.admission) == run.running->len,
                "running work differs from the list");
        require(bv_admission_queued(run.admission) == run.waiting->len,
                "queued work differs from the list");
    }
    printf("ran %llu, expired %llu, threshold %llu, queue full %llu, "
           "critical refused %llu\n",
           (unsigned long long)run.ran,
           (unsigned long long)run.refused[BV_REASON_EXPIRED],
           (unsigned long long)run.refused[BV_REASON_THRESHOLD],
           (unsigned long long)run.refused[BV_REASON_QUEUE_FULL],
           (unsigned long long)run.critical_refused);
    ck_assert_uint_gt(run.ran, 0);
    ck_assert_uint_gt(run.refused[BV_REASON_THRESHOLD], 0);
    ck_assert_uint_gt(run.critical_refused, 0);
    ck_assert_uint_eq(bv_counter_get(BV_COUNT_INVARIANTS), 0);
    g_rand_free(run.random);
    g_array_unref(run.running);
    g_array_unref(run.waiting);
    bv_admission_destroy(run.admission);
}
END_TEST

/* Compares the queue with the reference model after each event. */
static void
compare_queues(const bv_queue_t *queue, const naive_queue_t *model)
{
    require(bv_queue_length(queue) == naive_queue_length(model),
            "queue length differs from the model");
    if (bv_queue_length(queue) == 0) {
        require(bv_queue_first_to_run(queue) == NULL,
                "empty queue returned work to run");
        return;
    }
    require(bv_queue_first_to_run(queue)->work.id ==
                naive_queue_first_to_run(model),
            "first work to run differs from the model");
    require(bv_queue_first_to_shed(queue)->work.id ==
                naive_queue_first_to_shed(model),
            "first work to shed differs from the model");
    require(bv_queue_first_to_expire(queue)->work.id ==
                naive_queue_first_to_expire(model),
            "first work to expire differs from the model");
}

START_TEST(test_queue_against_naive)
{
    support_random_run_t options = support_random_run(SEED, EVENTS);
    GRand *random = g_rand_new_with_seed(options.seed);
    bv_queue_t *queue = bv_queue_create();
    naive_queue_t *model = naive_queue_create();
    for (uint64_t id = 1; id <= options.events; id++) {
        bv_queued_work_t removed;
        bv_queued_work_t queued = {
            .work = {.id = id,
                     .priority = (uint16_t)g_rand_int_range(random, 0,
                                                            BV_PRIORITY_LIMIT),
                     .deadline_us = g_rand_int_range(random, 0, 1000)},
            .latest_start_us = g_rand_int_range(random, 0, 1000),
        };
        if (bv_queue_length(queue) < QUEUE_LIMIT && g_rand_boolean(random)) {
            bv_queue_add(queue, &queued);
            naive_queue_add(model, &queued);
        }
        else {
            uint64_t removed_id =
                id - (uint64_t)g_rand_int_range(random, 0, 200);
            bool was_queued = bv_queue_remove(queue, removed_id, &removed);
            require(was_queued == naive_queue_remove(model, removed_id),
                    "removal differs from the model");
        }
        compare_queues(queue, model);
    }
    naive_queue_destroy(model);
    bv_queue_destroy(queue);
    g_rand_free(random);
}
END_TEST

/*
 * Guards against a fixed limit that still adapts. The latency varies with the
 * work's downstream calls, not with concurrency: one piece of work in ten
 * takes thirty times as long, and all are slower for some time. A fixed limit
 * must stay at the number of slots, while the adaptive limit falls below it.
 */
START_TEST(test_fixed_limit)
{
    bv_admission_options_t options = default_options;
    options.has_fixed_limit = _i == 1;
    bv_admission_t *admission = bv_admission_create(&options);
    GRand *random = g_rand_new_with_seed(SEED);
    uint32_t least_limit = SLOTS;
    int64_t now_us = US_PER_MS;
    for (uint64_t id = 1; id <= 20000; id++) {
        bv_reason_t reason;
        bv_work_t work = {
            .id = id,
            .priority = bv_priority(BV_CLASS_NORMAL, 64),
            .deadline_us = now_us + FAR_DEADLINE_US,
        };
        now_us += US_PER_MS;
        if (bv_admission_offer(admission, now_us, &work, &reason) !=
            BV_WORK_RUN) {
            bv_admission_remove(admission, id);
            continue;
        }
        bool slow = id / 2000 % 2 == 1;
        bool tail = g_rand_int_range(random, 0, 10) == 0;
        bv_work_result_t result = {
            .latency_us = (slow ? 40 : 10) * (tail ? 30 : 1) * US_PER_MS,
            .completed = true,
        };
        bv_admission_finish(admission, now_us, id, &result);
        least_limit = MIN(least_limit, bv_admission_limit(admission));
    }
    if (options.has_fixed_limit) {
        ck_assert_uint_eq(least_limit, SLOTS);
    }
    else {
        ck_assert_uint_lt(least_limit, SLOTS);
    }
    g_rand_free(random);
    bv_admission_destroy(admission);
}
END_TEST

/*
 * Guards against work that starts at a target which drains, where the target's
 * exit would cut it off. All queued work must be refused, critical work too,
 * while running work keeps its slot; without the drain the queue continues.
 */
START_TEST(test_drain_refuses_queued_work)
{
    bv_admission_options_t options = default_options;
    options.slots = 1;
    options.queue_target_us = 1000 * US_PER_MS;
    bv_admission_t *admission = bv_admission_create(&options);
    const bv_class_t classes[] = {BV_CLASS_NORMAL, BV_CLASS_BATCH,
                                  BV_CLASS_CRITICAL, BV_CLASS_NORMAL};
    bv_reason_t reason = BV_REASON_NONE;
    uint64_t id = 0;
    for (uint64_t i = 0; i < G_N_ELEMENTS(classes); i++) {
        bv_work_t work = {
            .id = i + 1,
            .priority = bv_priority(classes[i], 64),
            .is_long_running = i == 3,
            .deadline_us = FAR_DEADLINE_US,
        };
        ck_assert_int_eq(
            bv_admission_offer(admission, US_PER_MS, &work, &reason),
            i == 0 ? BV_WORK_RUN : BV_WORK_QUEUED);
    }
    options.is_draining = true;
    bv_admission_configure(admission, &options);
    ck_assert_uint_eq(bv_admission_running(admission), 1);
    bv_work_result_t result = {.latency_us = US_PER_MS, .completed = true};
    bv_admission_finish(admission, 2 * US_PER_MS, 1, &result);
    for (size_t i = 1; i < G_N_ELEMENTS(classes); i++) {
        ck_assert_int_eq(
            bv_admission_next(admission, 2 * US_PER_MS, &id, &reason),
            BV_WORK_REFUSED);
        ck_assert_int_eq(reason, BV_REASON_DRAINING);
    }
    ck_assert_int_eq(bv_admission_next(admission, 2 * US_PER_MS, &id, &reason),
                     BV_WORK_QUEUED);
    options.is_draining = false;
    bv_admission_configure(admission, &options);
    bv_work_t work = {
        .id = 9,
        .priority = bv_priority(BV_CLASS_BATCH, 64),
        .deadline_us = FAR_DEADLINE_US,
    };
    ck_assert_int_eq(
        bv_admission_offer(admission, 2 * US_PER_MS, &work, &reason),
        BV_WORK_RUN);
    bv_admission_destroy(admission);
}
END_TEST

int
main(int argc, char **argv)
{
    support_parse_arguments(argc, argv);
    const support_test_t tests[] = {
        {"order", test_order, G_N_ELEMENTS(order_cases)},
        {"limit", test_limit, G_N_ELEMENTS(limit_cases)},
        {"late_work_is_dropped", test_late_work_is_dropped, 1},
        {"configured_later", test_configured_later, 1},
        {"fixed_limit", test_fixed_limit, 2},
        {"drain_refuses_queued_work", test_drain_refuses_queued_work, 1},
        {"random", test_random, 1},
        {"queue_against_naive", test_queue_against_naive, 1},
        {NULL}};
    return support_run("admission", tests);
}
