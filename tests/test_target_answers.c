#include "berylvane/common/clock.h"
#include "berylvane/common/program.h"
#include "berylvane/platform/dialect.h"
#include "berylvane/targets/client.h"
#include "raw_server.h"
#include "support.h"

#include <poll.h>

/*
 * A faulty target may repeat an earlier answer. Guards against a request that
 * counts as not run, so that it runs again elsewhere or is refused to its
 * caller, because of a refusal that was given to another one.
 */
#define TIMEOUT_US (5 * BV_US_PER_S)
#define POLL_MS 20

#define LENGTH "Content-Length: 2\r\n\r\nok"
#define OK_HEAD(id)                                                           \
    "HTTP/1.1 200 OK\r\nRequest-Id: " id "\r\nResponse-Signature: s\r\n"
#define OK(id) OK_HEAD(id) LENGTH
#define REFUSAL(id_line)                                                      \
    "HTTP/1.1 503 Busy\r\n" id_line "Not-Executed: 1\r\n" LENGTH
#define ID_7 "Request-Id: 7\r\n"
#define ID_8 "Request-Id: 8\r\n"
#define CHUNKED(id) OK_HEAD(id) "Transfer-Encoding: chunked\r\n\r\n"

/*
 * A first, idempotent request with the ID 7 has been answered when the second
 * one with the ID 8 is sent.
 */
typedef struct {
    const char *name;
    /* The second request; one that is not idempotent has its own connection.
     */
    bool is_idempotent;
    const char *first_reply;
    const char *second_reply;
    bv_outcome_t second_outcome;
    uint32_t connections;
} answer_case_t;

static const answer_case_t answer_cases[] = {
    {"kept, answered", true, OK("7"), OK("8"), BV_OUTCOME_RAN, 1},
    {"kept, refused", true, OK("7"), REFUSAL(ID_8), BV_OUTCOME_NOT_RUN, 1},
    {"kept, refusal of the first", true, OK("7"), REFUSAL(ID_7) OK("8"),
     BV_OUTCOME_UNKNOWN, 1},
    {"kept, refusal without ID", true, OK("7"), REFUSAL("") OK("8"),
     BV_OUTCOME_UNKNOWN, 1},
    {"kept, misdirected without ID", true, OK("7"),
     "HTTP/1.1 421 Other\r\n" LENGTH, BV_OUTCOME_UNKNOWN, 1},
    {"kept, failure without ID", true, OK("7"),
     "HTTP/1.1 500 Error\r\n" LENGTH, BV_OUTCOME_UNKNOWN, 1},
    {"kept, informational answer first", true, OK("7"),
     "HTTP/1.1 103 Hints\r\n\r\n" OK("8"), BV_OUTCOME_RAN, 1},
    {"refusal repeated before the request", true, OK("7") REFUSAL(""), OK("8"),
     BV_OUTCOME_RAN, 2},
    {"own, answered", false, OK("7"), OK("8"), BV_OUTCOME_RAN, 2},
    {"own, refused", false, OK("7"), REFUSAL(ID_8), BV_OUTCOME_NOT_RUN, 2},
    {"own, refused without ID", false, OK("7"), REFUSAL(""),
     BV_OUTCOME_NOT_RUN, 2},
    {"own, refusal of the first", false, OK("7"), REFUSAL(ID_7) OK("8"),
     BV_OUTCOME_UNKNOWN, 2},
    {"own, refusal with two IDs", false, OK("7"), REFUSAL(ID_8 ID_7) OK("8"),
     BV_OUTCOME_UNKNOWN, 2},
    {"own, refusal in a trailer", false, OK("7"),
     CHUNKED("8") "2\r\nok\r\n0\r\nNot-Executed: 1\r\n\r\n", BV_OUTCOME_RAN,
     2},
    {"own, signature in a trailer", false, OK("7"),
     "HTTP/1.1 200 OK\r\n" ID_8 "Transfer-Encoding: chunked\r\n\r\n"
     "2\r\nok\r\n0\r\nResponse-Signature: s\r\n\r\n",
     BV_OUTCOME_UNKNOWN, 2},
};

static bv_settings_t settings = {.service = "shop"};

static void
on_result(void *context, bv_target_result_t *result)
{
    bv_target_result_t **pending = context;
    *pending = result;
}

/* Sends a request and returns its outcome. */
static bv_outcome_t
run_request(bv_target_client_t *client, bv_target_result_t **pending,
            const bv_target_work_t *work)
{
    *pending = NULL;
    bv_target_client_send(client, work);
    while (*pending == NULL) {
        struct pollfd entry = {bv_target_client_fd(client), POLLIN, 0};
        poll(&entry, 1, POLL_MS);
        bv_target_client_run(client);
        bv_target_client_run_timers(client);
    }
    bv_outcome_t outcome = (*pending)->outcome;
    bv_target_result_destroy(*pending);
    return outcome;
}

START_TEST(test_answers_to_other_requests)
{
    const answer_case_t *row = &answer_cases[_i];
    const raw_reply_t replies[] = {{.bytes = row->first_reply},
                                   {.bytes = row->second_reply}};
    raw_server_options_t server_options = {replies, G_N_ELEMENTS(replies)};
    raw_server_t *server = raw_server_start(&server_options);
    apr_pool_t *pool = bv_program_start();
    bv_target_result_t *pending = NULL;
    bv_target_client_options_t options = {
        .kept_connections = 4,
        .answer_limit_bytes = 1024,
        .dialect = &bv_platform_dialect(&settings)->target,
        .on_result = on_result,
        .context = &pending,
    };
    bv_target_client_t *client = bv_target_client_start(pool, &options);
    bv_target_work_t work = {
        .id = 1,
        .address = "127.0.0.1",
        .port = raw_server_port(server),
        .method = "GET",
        .path = "/a",
        .headers = ID_7,
        .is_idempotent = true,
        .timeout_us = TIMEOUT_US,
    };
    ck_assert_int_eq(run_request(client, &pending, &work), BV_OUTCOME_RAN);
    work.id = 2;
    work.headers = ID_8;
    work.is_idempotent = row->is_idempotent;
    bv_outcome_t outcome = run_request(client, &pending, &work);
    ck_assert_msg(outcome == row->second_outcome, "%s: outcome %d", row->name,
                  outcome);
    ck_assert_msg(raw_server_connections(server) == row->connections,
                  "%s: %u connections", row->name,
                  raw_server_connections(server));
    bv_target_client_stop(client);
    raw_server_stop(server);
    bv_program_stop(pool);
}
END_TEST

int
main(void)
{
    const support_test_t tests[] = {{"answers_to_other_requests",
                                     test_answers_to_other_requests,
                                     G_N_ELEMENTS(answer_cases)},
                                    {NULL}};
    return support_run("target_answers", tests);
}
