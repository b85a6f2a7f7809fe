#include "load.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/standin/body.h"

#include <math.h>
#include <string.h>
#include <unistd.h>

/*
 * Most requests that wait in the HTTP client to be sent, and most answers that
 * wait for the sender.
 */
#define RING_CAPACITY 65536
#define KEPT_CONNECTIONS 1024
#define ANSWER_LIMIT_BYTES (8 * 1024 * 1024)
#define ANSWER_WAIT_LIMIT_US (50 * BV_US_PER_MS)

/* A request in progress, over all its attempts. */
typedef struct {
    /* Index into load_settings_t.kinds. */
    size_t kind;
    /*
     * Number of the request in the run, from 1. The path contains the number,
     * so that each request has its own expected body.
     */
    uint64_t number;
    int64_t scheduled_us;
    uint32_t retries_left;
    /*
     * Outcome of the earlier attempts with `key`. Remains BV_OUTCOME_NOT_RUN
     * if `key` is NULL, because a node generates another key for each attempt.
     */
    bv_outcome_t known_outcome;
    char *path;
    /* The request's own idempotency key; NULL if its kind sends none. */
    char *key;
    char *customer;
    GBytes *body;
    GPtrArray *not_run_keys;
} request_t;

/* The answer to or failure of an attempt, from the HTTP client's thread. */
typedef struct {
    request_t *request;
    bv_http_result_t result;
    uint16_t status;
    bv_outcome_t outcome;
    /* The answer had status 200 and the expected body. */
    bool is_correct;
    /* Idempotency key in the answer's headers; NULL if there is none. */
    char *key;
} answer_t;

/*
 * State of a run. The HTTP client's thread only reads `settings` and adds to
 * `answers`.
 */
typedef struct {
    const load_settings_t *settings;
    load_run_t *run;
    /* answer_t, from the HTTP client's thread. */
    bv_ring_t *answers;
    bv_http_client_t *http_client;
    GRand *random;
    /* Start of the run on the monotonic clock. */
    int64_t started_us;
    /* Sum of the weights of all kinds. */
    int64_t total_weight;
    /* Requests that have not finished. */
    uint64_t open_count;
    uint64_t next_attempt_id;
} sender_t;

/* Context of an attempt in the HTTP client. */
typedef struct {
    sender_t *sender;
    request_t *request;
} attempt_t;

static size_t
choose_kind(sender_t *sender)
{
    gint32 remaining_weight =
        g_rand_int_range(sender->random, 0, (gint32)sender->total_weight);
    for (size_t i = 0; i < sender->settings->kind_count; i++) {
        remaining_weight -= (gint32)sender->settings->kinds[i].weight;
        if (remaining_weight < 0) {
            return i;
        }
    }
    return 0;
}

static request_t *
create_request(sender_t *sender, int64_t scheduled_us)
{
    const load_settings_t *settings = sender->settings;
    request_t *request = g_new0(request_t, 1);
    request->kind = choose_kind(sender);
    request->number = ++sender->run->request_count;
    request->scheduled_us = scheduled_us;
    const load_kind_t *kind = &settings->kinds[request->kind];
    request->retries_left = (uint32_t)kind->retries;
    request->path = g_strdup_printf(
        "%s%sn=%" G_GUINT64_FORMAT, kind->path,
        strchr(kind->path, '?') != NULL ? "&" : "?", (guint64)request->number);
    request->customer = g_strdup_printf(
        "customer-%d",
        g_rand_int_range(sender->random, 0, (gint32)settings->customers));
    if (kind->sends_own_key) {
        bv_id_t id = bv_id_random(sender->random);
        char text[BV_ID_TEXT_BYTES];
        request->key = g_strdup(bv_id_text(&id, text));
    }
    if (kind->body_bytes > 0) {
        char *body = g_malloc((gsize)kind->body_bytes);
        memset(body, 'a' + (int)(request->number % 26),
               (size_t)kind->body_bytes);
        request->body = g_bytes_new_take(body, (gsize)kind->body_bytes);
    }
    request->known_outcome = BV_OUTCOME_NOT_RUN;
    request->not_run_keys = g_ptr_array_new_with_free_func(g_free);
    return request;
}

static void
free_request(request_t *request)
{
    g_free(request->path);
    g_free(request->key);
    g_free(request->customer);
    g_clear_pointer(&request->body, g_bytes_unref);
    g_free(request);
}

static bv_outcome_t
parse_outcome(const bv_http_answer_t *answer)
{
    if (answer->result == BV_HTTP_NOT_SENT) {
        return BV_OUTCOME_NOT_RUN;
    }
    char *text = bv_headers_get(answer->headers, BV_HEADER_OUTCOME);
    bv_outcome_t outcome = BV_OUTCOME_UNKNOWN;
    for (int i = BV_OUTCOME_NOT_RUN; text != NULL && i <= BV_OUTCOME_UNKNOWN;
         i++) {
        if (strcmp(text, bv_outcome_name((bv_outcome_t)i)) == 0) {
            outcome = (bv_outcome_t)i;
        }
    }
    g_free(text);
    return outcome;
}

static bool
has_expected_body(const sender_t *sender, const request_t *request,
                  const bv_http_answer_t *answer)
{
    const load_kind_t *kind = &sender->settings->kinds[request->kind];
    GBytes *expected =
        bv_standin_body(kind->method, request->path, request->body);
    bool is_correct = g_bytes_equal(expected, answer->body);
    g_bytes_unref(expected);
    return is_correct;
}

/* Called on the HTTP client's thread. */
static void
on_answer(void *data, const bv_http_answer_t *http_answer)
{
    attempt_t *attempt = data;
    answer_t *answer = g_new0(answer_t, 1);
    answer->request = attempt->request;
    answer->result = http_answer->result;
    answer->status = http_answer->status;
    answer->outcome = parse_outcome(http_answer);
    answer->key =
        bv_headers_get(http_answer->headers, BV_HEADER_IDEMPOTENCY_KEY);
    if (http_answer->result == BV_HTTP_ANSWERED &&
        http_answer->status == 200) {
        answer->is_correct =
            has_expected_body(attempt->sender, attempt->request, http_answer);
    }
    while (!bv_ring_push(attempt->sender->answers, answer)) {
        usleep(1000);
    }
    g_free(attempt);
}

static char *
build_headers(const request_t *request, const load_kind_t *kind)
{
    GString *lines = g_string_new(NULL);
    g_string_append_printf(lines, "%s: %s\r\n", BV_HEADER_CUSTOMER,
                           request->customer);
    if (request->key != NULL) {
        g_string_append_printf(lines, "%s: %s\r\n", BV_HEADER_IDEMPOTENCY_KEY,
                               request->key);
    }
    if (kind->api_key != NULL) {
        g_string_append_printf(lines, "Authorization: Bearer %s\r\n",
                               kind->api_key);
    }
    return g_string_free(lines, FALSE);
}

static void
send_attempt(sender_t *sender, request_t *request)
{
    const load_settings_t *settings = sender->settings;
    const load_kind_t *kind = &settings->kinds[request->kind];
    const load_entries_t *entries =
        kind->entries.count > 0 ? &kind->entries : &settings->entries;
    gint32 address_index =
        g_rand_int_range(sender->random, 0, (gint32)entries->count);
    char *url = g_strdup_printf(
        "http://%s%s", entries->addresses[address_index], request->path);
    bv_http_request_t *http_request =
        bv_http_request_create(kind->method, url);
    g_free(url);
    attempt_t *attempt = g_new0(attempt_t, 1);
    attempt->sender = sender;
    attempt->request = request;
    http_request->id = ++sender->next_attempt_id;
    http_request->headers = build_headers(request, kind);
    http_request->body =
        request->body != NULL ? g_bytes_ref(request->body) : NULL;
    http_request->uses_fresh_connection = strcmp(kind->method, "POST") == 0;
    http_request->timeout_us = kind->timeout_ms * BV_US_PER_MS;
    http_request->answer_limit_bytes = ANSWER_LIMIT_BYTES;
    http_request->on_answer = on_answer;
    http_request->context = attempt;
    sender->run->attempt_count++;
    while (!bv_http_client_send(sender->http_client, http_request)) {
        g_error("cannot send: %d requests are already waiting in the HTTP "
                "client; stopping. Lower rate_per_s",
                RING_CAPACITY);
    }
}

static void
finish_request(sender_t *sender, request_t *request, const answer_t *answer)
{
    bool has_status_200 =
        answer->result == BV_HTTP_ANSWERED && answer->status == 200;
    load_result_t result = {
        .kind = request->kind,
        .scheduled_us = request->scheduled_us - sender->started_us,
        .finished_us = bv_clock_now_us() - sender->started_us,
        .is_correct = has_status_200 && answer->is_correct,
        .has_wrong_body = has_status_200 && !answer->is_correct,
        .has_answer = answer->result == BV_HTTP_ANSWERED,
        .outcome = answer->outcome,
        .latency_us = bv_clock_now_us() - request->scheduled_us,
        .key = g_strdup(answer->key != NULL ? answer->key : request->key),
        .not_run_keys = request->not_run_keys,
    };
    g_array_append_val(sender->run->results, result);
    free_request(request);
    sender->open_count--;
}

static void
handle_answer(sender_t *sender, answer_t *answer)
{
    request_t *request = answer->request;
    bool is_correct = answer->is_correct;
    answer->outcome =
        load_outcome_after_attempt(answer->result != BV_HTTP_NOT_SENT,
                                   answer->outcome, request->known_outcome);
    if (request->key != NULL) {
        request->known_outcome = answer->outcome;
    }
    if (answer->outcome == BV_OUTCOME_NOT_RUN && answer->key != NULL &&
        request->key == NULL) {
        g_ptr_array_add(request->not_run_keys, g_strdup(answer->key));
    }
    /*
     * A request with a body and no key is retried only if it did not run, as a
     * retry could execute it again.
     */
    if (!is_correct && request->retries_left > 0 &&
        (request->key != NULL || answer->outcome == BV_OUTCOME_NOT_RUN ||
         request->body == NULL)) {
        request->retries_left--;
        send_attempt(sender, request);
    }
    else {
        finish_request(sender, request, answer);
    }
    g_free(answer->key);
    g_free(answer);
}

/* Handles answers as they arrive, until `until_us` on the monotonic clock. */
static void
handle_answers_until(sender_t *sender, int64_t until_us)
{
    for (;;) {
        int64_t left_us = until_us - bv_clock_now_us();
        answer_t *answer =
            left_us > 0 ? bv_ring_wait(sender->answers,
                                       MIN(left_us, ANSWER_WAIT_LIMIT_US))
                        : bv_ring_pop(sender->answers);
        if (answer != NULL) {
            handle_answer(sender, answer);
        }
        else if (bv_clock_now_us() >= until_us) {
            return;
        }
    }
}

/* Returns the scheduled rate at `at_us` from the start of the run. */
static double
rate_per_s_at(const load_settings_t *settings, double at_us)
{
    int64_t rate_percent = 100;
    for (size_t i = 0; i < settings->phase_count; i++) {
        const load_phase_t *phase = &settings->phases[i];
        if (at_us >= (double)(phase->at_s * BV_US_PER_S)) {
            rate_percent = phase->rate_percent;
        }
    }
    return (double)(settings->rate_per_s * rate_percent) / 100;
}

/* Sends requests at random times (a Poisson process) until the run's end. */
static void
send_scheduled_requests(sender_t *sender)
{
    const load_settings_t *settings = sender->settings;
    double at_us = 0;
    double end_us = (double)(settings->seconds * BV_US_PER_S);
    for (;;) {
        double uniform = g_rand_double_range(sender->random, 1e-9, 1.0);
        at_us += -log(uniform) * 1e6 / rate_per_s_at(settings, at_us);
        if (at_us >= end_us) {
            return;
        }
        int64_t scheduled_us = sender->started_us + (int64_t)at_us;
        handle_answers_until(sender, scheduled_us);
        int64_t late_us = bv_clock_now_us() - scheduled_us;
        sender->run->max_late_us = MAX(sender->run->max_late_us, late_us);
        sender->open_count++;
        send_attempt(sender, create_request(sender, scheduled_us));
    }
}

load_run_t *
load_run(const load_settings_t *settings, apr_pool_t *pool)
{
    bv_http_client_options_t client_options = {
        .ring_capacity = RING_CAPACITY, .kept_connections = KEPT_CONNECTIONS};
    load_run_t *run = g_new0(load_run_t, 1);
    run->results = g_array_new(FALSE, FALSE, sizeof(load_result_t));
    sender_t sender = {
        .settings = settings,
        .run = run,
        .answers = bv_ring_create(pool, RING_CAPACITY),
        .http_client = bv_http_client_start(pool, &client_options),
        .random = g_rand_new_with_seed((guint32)settings->seed),
        .started_us = bv_clock_now_us(),
    };
    for (size_t i = 0; i < settings->kind_count; i++) {
        sender.total_weight += settings->kinds[i].weight;
    }
    send_scheduled_requests(&sender);
    while (sender.open_count > 0) {
        handle_answers_until(&sender,
                             bv_clock_now_us() + ANSWER_WAIT_LIMIT_US);
    }
    bv_http_client_stop(sender.http_client);
    g_rand_free(sender.random);
    return run;
}

void
load_run_destroy(load_run_t *run)
{
    for (guint i = 0; i < run->results->len; i++) {
        load_result_t *result = &g_array_index(run->results, load_result_t, i);
        g_free(result->key);
        g_ptr_array_unref(result->not_run_keys);
    }
    g_array_unref(run->results);
    g_free(run);
}
