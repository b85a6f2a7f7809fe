#include "target.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"
#include "berylvane/standin/body.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CONTROL_PATH "/standin/control"
#define ANNOUNCE_INTERVAL_US BV_US_PER_S
#define WAIT_LIMIT_US (100 * BV_US_PER_MS)
#define DOWNSTREAM_TIMEOUT_US (30 * BV_US_PER_S)
#define DOWNSTREAM_ANSWER_LIMIT_BYTES (8 * 1024 * 1024)

typedef enum {
    EVENT_CALL,
    EVENT_DOWNSTREAM_ANSWER,
    EVENT_DISCONNECT,
} event_kind_t;

typedef struct {
    bv_call_t *call;
    /* When the service time ends. */
    int64_t due_us;
    /* Index of the next downstream call in the settings. */
    size_t next_downstream;
    bool has_downstream_failed;
    uint64_t id;
    /* The last downstream call's request id, 0 before the first. */
    uint64_t downstream_id;
} job_t;

typedef struct {
    event_kind_t kind;
    bv_call_t *call;
    /* Job id of a downstream answer, the tag of a disconnected caller. */
    uint64_t id;
    /* Whether a downstream call was answered with status 200. */
    bool is_answered_ok;
} event_t;

struct target {
    const target_settings_t *settings;
    bv_ring_t *events;
    bv_http_client_t *http;
    GRand *random;
    /* Running jobs by id. */
    GHashTable *jobs;
    /* Jobs within their service time, in the order of `due_us`. */
    GSequence *timers;
    /* Calls that wait for a free slot. */
    GQueue queued_calls;
    target_faults_t faults;
    uint64_t next_id;
    int record_fd;
    int64_t announce_due_us;
    /* When the cold start ends. */
    int64_t ready_us;
    gint stopping;
};

target_t *
target_create(const target_settings_t *settings, bv_ring_t *events,
              bv_http_client_t *http)
{
    target_t *target = g_new0(target_t, 1);
    target->settings = settings;
    target->events = events;
    target->http = http;
    target->random = g_rand_new_with_seed((guint32)settings->seed);
    target->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
    target->timers = g_sequence_new(NULL);
    target->faults.slow_percent = 100;
    target->ready_us =
        bv_clock_now_us() + settings->cold_start_ms * BV_US_PER_MS;
    target->record_fd = -1;
    g_queue_init(&target->queued_calls);
    if (settings->record_file != NULL) {
        target->record_fd =
            open(settings->record_file,
                 O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (target->record_fd < 0) {
            fprintf(stderr, "cannot open %s, writing no record: %s\n",
                    settings->record_file, g_strerror(errno));
        }
    }
    return target;
}

void
target_destroy(target_t *target)
{
    g_hash_table_destroy(target->jobs);
    g_sequence_free(target->timers);
    g_rand_free(target->random);
    if (target->record_fd >= 0) {
        close(target->record_fd);
    }
    g_free(target);
}

bool
target_post_call(target_t *target, bv_call_t *call)
{
    event_t *event = g_new0(event_t, 1);
    event->kind = EVENT_CALL;
    event->call = call;
    if (bv_ring_push(target->events, event)) {
        return true;
    }
    g_free(event);
    return false;
}

void
target_post_disconnect(target_t *target, uint64_t tag)
{
    event_t *event = g_new0(event_t, 1);
    event->kind = EVENT_DISCONNECT;
    event->id = tag;
    if (!bv_ring_push(target->events, event)) {
        g_free(event);
    }
}

void
target_stop(target_t *target)
{
    g_atomic_int_set(&target->stopping, 1);
    bv_ring_wake_consumer(target->events);
}

static void
record_call(const target_t *target, const bv_call_t *call)
{
    if (target->record_fd < 0) {
        return;
    }
    char *line = g_strdup_printf(
        "%s %s %s %s %" G_GINT64_FORMAT " %s\n", target->settings->service,
        call->method, call->path,
        call->idempotency_key != NULL ? call->idempotency_key : "-",
        bv_clock_now_us(), call->customer != NULL ? call->customer : "-");
    ssize_t written = write(target->record_fd, line, strlen(line));
    (void)written;
    g_free(line);
}

static gint
compare_due(gconstpointer left, gconstpointer right, gpointer context)
{
    const job_t *left_job = left;
    const job_t *right_job = right;
    (void)context;
    return left_job->due_us < right_job->due_us
               ? -1
               : left_job->due_us > right_job->due_us;
}

static int64_t
service_time_us(target_t *target, const bv_call_t *call)
{
    bool is_long = strstr(call->path, "long") != NULL;
    int64_t mean_us =
        is_long ? target->settings->long_us : target->settings->service_us;
    double random_factor = g_rand_double_range(target->random, 0.5, 1.5);
    double slow_factor = (double)target->faults.slow_percent / 100;
    return (int64_t)((double)mean_us * slow_factor * random_factor);
}

static void
start_job(target_t *target, bv_call_t *call)
{
    job_t *job = g_new0(job_t, 1);
    job->call = call;
    job->id = ++target->next_id;
    job->due_us = MAX(bv_clock_now_us(), target->ready_us) +
                  service_time_us(target, call);
    record_call(target, call);
    g_hash_table_insert(target->jobs, &job->id, job);
    g_sequence_insert_sorted(target->timers, job, compare_due, NULL);
}

static void
reply_plain(bv_call_t *call, uint16_t status, GBytes *body)
{
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_RAN,
        .headers = "Content-Type: application/octet-stream\r\n",
        .body = body,
    };
    bv_call_reply(call, &reply);
}

static void
finish_job(target_t *target, job_t *job)
{
    GBytes *body =
        bv_standin_body(job->call->method, job->call->path, job->call->body);
    reply_plain(job->call, job->has_downstream_failed ? 502 : 200, body);
    g_bytes_unref(body);
    g_hash_table_remove(target->jobs, &job->id);
    g_free(job);
    bv_call_t *next = g_queue_pop_head(&target->queued_calls);
    if (next != NULL) {
        start_job(target, next);
    }
}

typedef struct {
    target_t *target;
    uint64_t job_id;
} downstream_call_t;

static void
on_downstream_answer(void *context, const bv_http_answer_t *answer)
{
    downstream_call_t *downstream = context;
    event_t *event = g_new0(event_t, 1);
    event->kind = EVENT_DOWNSTREAM_ANSWER;
    event->id = downstream->job_id;
    event->is_answered_ok =
        answer->result == BV_HTTP_ANSWERED && answer->status == 200;
    while (!bv_ring_push(downstream->target->events, event)) {
        usleep(1000);
    }
    g_free(downstream);
}

static char *
downstream_headers(const bv_call_t *call)
{
    GString *lines = g_string_new(NULL);
    if (call->request_id != NULL) {
        g_string_append_printf(lines, "%s: %s\r\n", BV_HEADER_REQUEST_ID,
                               call->request_id);
    }
    if (call->traceparent != NULL) {
        g_string_append_printf(lines, "%s: %s\r\n", BV_HEADER_TRACEPARENT,
                               call->traceparent);
    }
    return g_string_free(lines, FALSE);
}

static char *
downstream_url(const target_t *target, const target_call_t *call)
{
    size_t count = json_array_size(call->addresses);
    if (count == 0) {
        return g_strdup_printf("http://127.0.0.1:%d%s",
                               (int)target->settings->node_port, call->path);
    }
    json_t *chosen = json_array_get(call->addresses, target->next_id % count);
    return g_strdup_printf("http://%s%s", json_string_value(chosen),
                           call->path);
}

static void
send_downstream_call(target_t *target, job_t *job)
{
    const target_call_t *call =
        &target->settings->call_list[job->next_downstream];
    char *url = downstream_url(target, call);
    bv_http_request_t *request = bv_http_request_create(call->method, url);
    g_free(url);
    downstream_call_t *downstream = g_new0(downstream_call_t, 1);
    downstream->target = target;
    downstream->job_id = job->id;
    job->next_downstream++;
    job->downstream_id = ++target->next_id;
    request->id = job->downstream_id;
    request->headers = downstream_headers(job->call);
    request->uses_fresh_connection = strcmp(call->method, "POST") == 0;
    if (request->uses_fresh_connection) {
        request->body = g_bytes_ref(job->call->body);
    }
    request->timeout_us = DOWNSTREAM_TIMEOUT_US;
    request->answer_limit_bytes = DOWNSTREAM_ANSWER_LIMIT_BYTES;
    request->on_answer = on_downstream_answer;
    request->context = downstream;
    if (!bv_http_client_send(target->http, request)) {
        g_free(downstream);
        job->has_downstream_failed = true;
        finish_job(target, job);
    }
}

static void
advance_job(target_t *target, job_t *job)
{
    if (job->has_downstream_failed ||
        job->next_downstream >= target->settings->call_count) {
        finish_job(target, job);
        return;
    }
    send_downstream_call(target, job);
}

static void
run_due_jobs(target_t *target)
{
    int64_t now_us = bv_clock_now_us();
    for (;;) {
        GSequenceIter *first = g_sequence_get_begin_iter(target->timers);
        if (g_sequence_iter_is_end(first)) {
            return;
        }
        job_t *job = g_sequence_get(first);
        if (job->due_us > now_us) {
            return;
        }
        g_sequence_remove(first);
        advance_job(target, job);
    }
}

static const bv_field_t fault_fields[] = {
    {.name = "slow_percent",
     .kind = BV_FIELD_INTEGER,
     .offset = offsetof(target_faults_t, slow_percent),
     .minimum = 1,
     .maximum = 100000},
    {.name = "refuse",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(target_faults_t, refuse)},
    {.name = "close_unanswered",
     .kind = BV_FIELD_BOOLEAN,
     .offset = offsetof(target_faults_t, close_unanswered)},
    {NULL}};

static void
handle_control(target_t *target, bv_call_t *call)
{
    gsize size;
    const char *text = g_bytes_get_data(call->body, &size);
    json_t *root = json_loadb(text, size, 0, NULL);
    bv_findings_t *findings = bv_findings_create();
    bv_fields_read(root, fault_fields, &target->faults, "control", "",
                   findings);
    reply_plain(call, bv_findings_is_empty(findings) ? 200 : 400, NULL);
    bv_findings_destroy(findings);
    json_decref(root);
}

static void
handle_call(target_t *target, bv_call_t *call)
{
    if (strcmp(call->path, CONTROL_PATH) == 0) {
        handle_control(target, call);
        return;
    }
    if (target->faults.refuse) {
        record_call(target, call);
        reply_plain(call, 503, NULL);
        return;
    }
    if (target->faults.close_unanswered && strcmp(call->method, "POST") == 0) {
        record_call(target, call);
        bv_call_drop(call);
        return;
    }
    if (g_hash_table_size(target->jobs) >= (guint)target->settings->slots) {
        g_queue_push_tail(&target->queued_calls, call);
        return;
    }
    start_job(target, call);
}

static void
handle_downstream_answer(target_t *target, const event_t *event)
{
    job_t *job = g_hash_table_lookup(target->jobs, &event->id);
    if (job == NULL) {
        return;
    }
    job->has_downstream_failed |= !event->is_answered_ok;
    advance_job(target, job);
}

static void
handle_disconnect(target_t *target, uint64_t tag)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, target->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        job_t *job = value;
        if (job->call->tag == tag && job->downstream_id != 0) {
            job->has_downstream_failed = true;
            bv_http_client_cancel(target->http, job->downstream_id);
        }
    }
}

static void
on_announcement_answer(void *context, const bv_http_answer_t *answer)
{
    (void)context;
    if (answer->result == BV_HTTP_ANSWERED && answer->status != 200) {
        fprintf(
            stderr,
            "the node refused the announcement with status %u; trying again "
            "in 1 s\n",
            answer->status);
    }
}

static void
announce(target_t *target)
{
    const target_settings_t *settings = target->settings;
    int64_t now_us = bv_clock_now_us();
    if (now_us < target->announce_due_us) {
        return;
    }
    target->announce_due_us = now_us + ANNOUNCE_INTERVAL_US;
    char *url = g_strdup_printf("http://127.0.0.1:%d/berylvane/announce",
                                (int)settings->node_port);
    bv_http_request_t *request = bv_http_request_create("POST", url);
    g_free(url);
    char *text = g_strdup_printf(
        "{\"service\": \"%s\", \"port\": %d, \"slots\": %d}",
        settings->service, (int)settings->port, (int)settings->slots);
    request->id = ++target->next_id;
    request->body = g_bytes_new_take(text, strlen(text));
    request->timeout_us = ANNOUNCE_INTERVAL_US;
    request->answer_limit_bytes = 4096;
    request->on_answer = on_announcement_answer;
    bv_http_client_send(target->http, request);
}

static int64_t
time_to_next_job_us(const target_t *target)
{
    GSequenceIter *first = g_sequence_get_begin_iter(target->timers);
    if (g_sequence_iter_is_end(first)) {
        return WAIT_LIMIT_US;
    }
    const job_t *job = g_sequence_get(first);
    return CLAMP(job->due_us - bv_clock_now_us(), 0, WAIT_LIMIT_US);
}

void
target_run(target_t *target)
{
    while (!g_atomic_int_get(&target->stopping) ||
           g_hash_table_size(target->jobs) > 0) {
        announce(target);
        event_t *event =
            bv_ring_wait(target->events, time_to_next_job_us(target));
        if (event != NULL && event->kind == EVENT_CALL) {
            handle_call(target, event->call);
        }
        else if (event != NULL && event->kind == EVENT_DISCONNECT) {
            handle_disconnect(target, event->id);
        }
        else if (event != NULL) {
            handle_downstream_answer(target, event);
        }
        g_free(event);
        run_due_jobs(target);
    }
}

void
target_refuse_remaining(target_t *target)
{
    for (;;) {
        event_t *event = bv_ring_pop(target->events);
        if (event == NULL) {
            break;
        }
        if (event->kind == EVENT_CALL) {
            reply_plain(event->call, 503, NULL);
        }
        g_free(event);
    }
    for (bv_call_t *call = g_queue_pop_head(&target->queued_calls);
         call != NULL; call = g_queue_pop_head(&target->queued_calls)) {
        reply_plain(call, 503, NULL);
    }
}
