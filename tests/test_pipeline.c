#include "berylvane/core/pipeline.h"
#include "support.h"

#include <string.h>

/*
 * Guards against answers that leave in another order than the requests came
 * in, and against a request that was started although its caller will send it
 * again: what stands behind an answer that closes the connection counts as not
 * read.
 */

#define REQUESTS_LIMIT 8
#define BYTES_LIMIT 1000
#define REQUEST_BYTES 10
#define RANDOM_SEED 1
#define RANDOM_EVENTS 200000

static const bv_pipeline_limits_t limits = {.requests = REQUESTS_LIMIT,
                                            .bytes = BYTES_LIMIT};

/*
 * A case is a list of steps, separated by spaces:
 * +x  the request x arrives
 * >x  x starts if it is idempotent; >x! it starts though it is not
 * =x  x is answered; =x! the answer is to close the connection
 * <x  the answer to x leaves; <x! it leaves as the connection's last one
 * ~   what left was not written yet; _ it was written
 * -   none may start; 0 no answer may leave; F nothing more may be read
 */
static const char *const cases[] = {
    /* In order, whatever is answered first. */
    "+a +b >a >b =b 0 =a <a <b 0",
    "+a +b +c >a >b >c =c =b 0 =a <a <b <c",
    /* What may run once only waits until the answers before it are written. */
    "+a +b >a -! =a <a ~ -! _ >b! =b <b",
    "+a +b >a! >b =b 0 =a <a <b",
    "+a >a! =a <a +b >b! =b <b",
    /* An answer that closes: what was not started behind it never starts. */
    "+a +b >a =a! F <a! - 0",
    "+a +b >a =a! F - <a! -",
    /* ... but what was started gets its answer, which then closes. */
    "+a +b >a >b =a! F <a 0 =b <b!",
    "+a +b +c >a >b =a! <a - =b <b! -",
    "+a +b >a >b =b! F 0 =a <a <b!",
    /* A refusal that was never started, behind requests that are good. */
    "+a +b +c >a =c! F >b =b 0 =a <a <b <c!",
    "+a +b =b! F >a! =a <a <b!",
    /* A close behind a close. */
    "+a +b >a >b =a! =b! <a <b!",
};

typedef struct {
    bv_pipeline_t *pipeline;
    bool is_written;
} player_t;

static void *
item_of(char letter)
{
    return GINT_TO_POINTER((gint)letter);
}

static void
check_taken(bv_pipeline_t *pipeline, char letter, bool expects_last,
            const char *step)
{
    bool is_last = false;
    void *item = bv_pipeline_take_answer(pipeline, &is_last);
    ck_assert_msg(item == item_of(letter), "no answer leaves at %s", step);
    ck_assert_msg(is_last == expects_last, "closes: %d at %s", is_last, step);
}

static void
check_started(const player_t *player, char letter, bool is_idempotent,
              const char *step)
{
    ck_assert_msg(bv_pipeline_first_waiting(player->pipeline) ==
                      item_of(letter),
                  "not the next to start at %s", step);
    ck_assert_msg(bv_pipeline_may_start(player->pipeline, is_idempotent,
                                        player->is_written),
                  "may not start at %s", step);
    bv_pipeline_start(player->pipeline);
}

static void
play_step(player_t *player, const char *step)
{
    bv_pipeline_t *pipeline = player->pipeline;
    bool is_marked = step[strlen(step) - 1] == '!';
    bool is_last = false;
    switch (step[0]) {
    case '+':
        ck_assert_msg(bv_pipeline_has_room(pipeline, &limits), "%s", step);
        bv_pipeline_add(pipeline, item_of(step[1]), REQUEST_BYTES);
        return;
    case '>':
        check_started(player, step[1], !is_marked, step);
        return;
    case '=':
        bv_pipeline_answer(pipeline, item_of(step[1]), is_marked, 0);
        return;
    case '<':
        check_taken(pipeline, step[1], is_marked, step);
        return;
    case '~':
    case '_':
        player->is_written = step[0] == '_';
        return;
    case '-':
        ck_assert_msg(
            !bv_pipeline_may_start(pipeline, !is_marked, player->is_written),
            "one may start");
        return;
    case '0':
        ck_assert_msg(bv_pipeline_take_answer(pipeline, &is_last) == NULL,
                      "an answer leaves");
        return;
    case 'F':
        ck_assert_msg(!bv_pipeline_has_room(pipeline, &limits), "has room");
        return;
    default:
        ck_abort_msg("unknown step %s", step);
    }
}

START_TEST(test_steps)
{
    player_t player = {bv_pipeline_create(), true};
    char **steps = g_strsplit(cases[_i], " ", -1);
    for (char **step = steps; *step != NULL; step++) {
        play_step(&player, *step);
    }
    g_strfreev(steps);
    bv_pipeline_destroy(player.pipeline);
}
END_TEST

typedef struct {
    uint64_t bytes;
    uint32_t requests;
    /* Requests of 10 bytes that can be added. */
    uint32_t added;
} room_case_t;

static const room_case_t room_cases[] = {
    {1000, 1, 1}, {1000, 8, 8}, {25, 8, 3}, {1, 8, 1}, {100, 64, 10}};

/* What is read ahead is bounded by number and by bytes. */
START_TEST(test_room)
{
    const room_case_t *row = &room_cases[_i];
    bv_pipeline_limits_t bounds = {.requests = row->requests,
                                   .bytes = row->bytes};
    bv_pipeline_t *pipeline = bv_pipeline_create();
    uint32_t added = 0;
    while (bv_pipeline_has_room(pipeline, &bounds)) {
        bv_pipeline_add(pipeline, GINT_TO_POINTER(++added), REQUEST_BYTES);
    }
    ck_assert_uint_eq(added, row->added);
    bv_pipeline_destroy(pipeline);
}
END_TEST

/* A request of the random run, kept after it has left the pipeline. */
typedef struct {
    bool is_idempotent;
    bool is_started;
    bool is_answered;
} record_t;

typedef struct {
    bv_pipeline_t *pipeline;
    GRand *random;
    /* All records of one connection, in the order of the requests. */
    GPtrArray *records;
    guint taken;
    bool is_closed;
    uint64_t connections;
    uint64_t started_ahead;
} run_t;

static void
open_connection(run_t *run)
{
    run->pipeline = bv_pipeline_create();
    run->records = g_ptr_array_new_with_free_func(g_free);
    run->taken = 0;
    run->is_closed = false;
    run->connections++;
}

static void
close_connection(run_t *run)
{
    bv_pipeline_destroy(run->pipeline);
    g_ptr_array_unref(run->records);
}

static void
random_start(run_t *run)
{
    record_t *record = bv_pipeline_first_waiting(run->pipeline);
    bool is_written = g_rand_boolean(run->random);
    if (record == NULL ||
        !bv_pipeline_may_start(run->pipeline, record->is_idempotent,
                               is_written)) {
        return;
    }
    bool is_front = run->taken < run->records->len &&
                    run->records->pdata[run->taken] == (gpointer)record;
    ck_assert(record->is_idempotent || (is_front && is_written));
    bv_pipeline_start(run->pipeline);
    record->is_started = true;
    run->started_ahead += !is_front;
}

static void
random_answer(run_t *run)
{
    guint held = run->records->len - run->taken;
    if (held == 0) {
        return;
    }
    guint index =
        run->taken + (guint)g_rand_int_range(run->random, 0, (gint32)held);
    record_t *record = run->records->pdata[index];
    if (record->is_started && !record->is_answered) {
        record->is_answered = true;
        bv_pipeline_answer(run->pipeline, record,
                           g_rand_int_range(run->random, 0, 8) == 0, 1);
    }
}

static void
random_take(run_t *run)
{
    bool is_last = false;
    record_t *record = bv_pipeline_take_answer(run->pipeline, &is_last);
    if (record == NULL) {
        return;
    }
    ck_assert(record->is_answered);
    ck_assert_ptr_eq(record, run->records->pdata[run->taken]);
    run->taken++;
    for (guint i = run->taken; is_last && i < run->records->len; i++) {
        ck_assert(!((const record_t *)run->records->pdata[i])->is_started);
    }
    run->is_closed = is_last;
}

static void
random_step(run_t *run)
{
    switch (g_rand_int_range(run->random, 0, 4)) {
    case 0:
        if (bv_pipeline_has_room(run->pipeline, &limits)) {
            record_t *record = g_new0(record_t, 1);
            record->is_idempotent = g_rand_int_range(run->random, 0, 4) != 0;
            g_ptr_array_add(run->records, record);
            bv_pipeline_add(run->pipeline, record, REQUEST_BYTES);
        }
        return;
    case 1:
        random_start(run);
        return;
    case 2:
        random_answer(run);
        return;
    default:
        random_take(run);
        return;
    }
}

/*
 * Whatever comes in whatever order, answers leave in the order of the
 * requests, and nothing that was started stands behind the last one.
 */
START_TEST(test_random)
{
    support_random_run_t parameters =
        support_random_run(RANDOM_SEED, RANDOM_EVENTS);
    run_t run = {.random = g_rand_new_with_seed(parameters.seed)};
    open_connection(&run);
    for (uint64_t i = 0; i < parameters.events; i++) {
        random_step(&run);
        if (run.is_closed) {
            close_connection(&run);
            open_connection(&run);
        }
    }
    ck_assert_uint_gt(run.connections, 1);
    ck_assert_uint_gt(run.started_ahead, 0);
    close_connection(&run);
    g_rand_free(run.random);
}
END_TEST

int
main(int argc, char **argv)
{
    const support_test_t tests[] = {
        {"steps", test_steps, G_N_ELEMENTS(cases)},
        {"room", test_room, G_N_ELEMENTS(room_cases)},
        {"random", test_random, 1},
        {NULL}};
    support_parse_arguments(argc, argv);
    return support_run("pipeline", tests);
}
