#include "berylvane/common/program.h"
#include "support.h"
#include "target_fixture.h"

#include <string.h>

/*
 * How a request to the target ends without a response in time. Guards against
 * a request that is never ended or ended twice, and against a response that
 * was ready before the deadline and is dropped.
 */
#define SHORT_READ_BYTES ((size_t)1024)
/* Five turns of eight reads each. */
#define SEVERAL_TURNS_BYTES (SHORT_READ_BYTES * 40)

START_TEST(test_cancel)
{
    target_fixture_t fixture;
    const scripted_reply_t reply = {.bytes = NULL};
    target_fixture_start(&fixture, &reply, 1);
    bv_target_work_t work =
        target_fixture_work(&fixture, target_methods[_i], "/a");
    target_fixture_send(&fixture, &work);
    target_fixture_settle(&fixture);
    ck_assert_ptr_null(fixture.result);
    ck_assert_uint_eq(scripted_target_open_connections(fixture.target), 1);
    bv_target_client_cancel(fixture.client, work.id + 1);
    ck_assert_ptr_null(fixture.result);
    bv_target_client_cancel(fixture.client, work.id);
    target_fixture_check("cancelled", fixture.result, BV_OUTCOME_UNKNOWN,
                         BV_REASON_CANCELLED);
    bv_target_client_cancel(fixture.client, work.id);
    target_fixture_settle(&fixture);
    ck_assert_uint_eq(fixture.results, 1);
    ck_assert_uint_eq(scripted_target_open_connections(fixture.target), 0);
    ck_assert_uint_eq(scripted_target_arrivals(fixture.target), 1);
    ck_assert_int_eq(bv_target_client_next_timer_us(fixture.client),
                     INT64_MAX);
    target_fixture_stop(&fixture);
}
END_TEST

START_TEST(test_stop_cancels)
{
    target_fixture_t fixture;
    const scripted_reply_t reply = {.bytes = NULL};
    target_fixture_start(&fixture, &reply, 1);
    for (int i = 0; i < 3; i++) {
        bv_target_work_t work = target_fixture_work(&fixture, "GET", "/a");
        bv_target_client_send(fixture.client, &work);
    }
    target_fixture_settle(&fixture);
    bv_target_client_stop(fixture.client);
    ck_assert_uint_eq(fixture.results, 3);
    target_fixture_check("stopped", fixture.result, BV_OUTCOME_UNKNOWN,
                         BV_REASON_CANCELLED);
    scripted_target_stop(fixture.target);
    bv_target_result_destroy(fixture.result);
    bv_program_stop(fixture.pool);
}
END_TEST

typedef struct {
    const char *name;
    const char *bytes;
} silent_case_t;

static const silent_case_t silent_cases[] = {
    {"nothing", NULL},
    {"half a head", "HTTP/1.1 200"},
    {"half a body", OK "Content-Length: 2\r\n\r\no"},
    {"a 1xx", "HTTP/1.1 103 Hints\r\n\r\n"},
};

/* A target that accepts and does not finish its response. */
START_TEST(test_deadline_after_sending)
{
    const silent_case_t *row = &silent_cases[_i];
    target_fixture_t fixture;
    const scripted_reply_t reply = {.bytes = row->bytes};
    target_fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = target_fixture_work(&fixture, "GET", "/a");
    work.timeout_us = SHORT_TIMEOUT_US;
    target_fixture_check(row->name, target_fixture_run(&fixture, &work),
                         BV_OUTCOME_UNKNOWN, BV_REASON_TIMEOUT);
    target_fixture_settle(&fixture);
    ck_assert_uint_eq(scripted_target_open_connections(fixture.target), 0);
    target_fixture_stop(&fixture);
}
END_TEST

/* A response that is ready is delivered, even when late. */
START_TEST(test_ready_answer_is_delivered_late)
{
    target_fixture_t fixture;
    const scripted_reply_t reply = {.bytes = OK_BODY};
    target_fixture_start(&fixture, &reply, 1);
    bv_target_work_t work = target_fixture_work(&fixture, "GET", "/a");
    work.timeout_us = SHORT_TIMEOUT_US;
    target_fixture_send(&fixture, &work);
    while (scripted_target_last_request(fixture.target)->len == 0) {
        scripted_target_run(fixture.target);
    }
    g_usleep(2 * SHORT_TIMEOUT_US);
    bv_target_client_run_timers(fixture.client);
    target_fixture_check("late", fixture.result, BV_OUTCOME_RAN,
                         BV_REASON_NONE);
    target_fixture_stop(&fixture);
}
END_TEST

/*
 * A response that takes more turns than one, all of which has arrived before
 * the deadline, is delivered after a stall of the event loop. It is small
 * enough for the buffer of any connection, so that nothing of it is still on
 * its way.
 */
START_TEST(test_large_answer_is_delivered_late)
{
    target_fixture_t fixture;
    char *body = g_strnfill(SEVERAL_TURNS_BYTES, 'a');
    char *bytes = g_strdup_printf(OK "Content-Length: %zu\r\n\r\n%s",
                                  SEVERAL_TURNS_BYTES, body);
    const scripted_reply_t reply = {.bytes = bytes};
    target_fixture_start_reading(&fixture, &reply, 1, SHORT_READ_BYTES);
    bv_target_work_t work = target_fixture_work(&fixture, "GET", "/a");
    work.timeout_us = SHORT_TIMEOUT_US;
    target_fixture_send(&fixture, &work);
    while (scripted_target_arrivals(fixture.target) == 0 ||
           scripted_target_unreceived(fixture.target) > 0) {
        scripted_target_run(fixture.target);
    }
    g_usleep(2 * SHORT_TIMEOUT_US);
    bv_target_client_run_timers(fixture.client);
    ck_assert_ptr_nonnull(fixture.result);
    target_fixture_check("late", fixture.result, BV_OUTCOME_RAN,
                         BV_REASON_NONE);
    ck_assert_uint_eq(g_bytes_get_size(fixture.result->body),
                      SEVERAL_TURNS_BYTES);
    target_fixture_stop(&fixture);
    g_free(bytes);
    g_free(body);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"cancel", test_cancel, TARGET_METHODS},
                                    {"stop_cancels", test_stop_cancels, 1},
                                    {"deadline_after_sending",
                                     test_deadline_after_sending,
                                     G_N_ELEMENTS(silent_cases)},
                                    {"ready_answer_is_delivered_late",
                                     test_ready_answer_is_delivered_late, 1},
                                    {"large_answer_is_delivered_late",
                                     test_large_answer_is_delivered_late, 1},
                                    {NULL}};
    return support_run("target_deadlines", tests);
}
