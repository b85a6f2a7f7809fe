#include "client_internal.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/headers.h"

#include <string.h>
#include <sys/epoll.h>

#define EVENTS_AT_ONCE 64
#define SHORTEST_TIMEOUT_US BV_US_PER_MS
/*
 * Turns of a connection after the deadline of its request, of 512 KiB each:
 * twice the largest response. A target that sends without end is not read on.
 */
#define LATE_TURNS_LIMIT 32

/* How soon input that may not be read is looked at again. */
#define PAUSE_CHECK_US (5 * BV_US_PER_MS)

static gint
compare_deadlines(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    int64_t deadline_a = ((const request_t *)a)->deadline_us;
    int64_t deadline_b = ((const request_t *)b)->deadline_us;
    return (deadline_a > deadline_b) - (deadline_a < deadline_b);
}

bv_target_client_t *
bv_target_client_start(apr_pool_t *pool,
                       const bv_target_client_options_t *options)
{
    bv_target_client_t *client = apr_pcalloc(pool, sizeof(*client));
    client->options = *options;
    if (options->dialect == NULL) {
        client->options.dialect = &bv_target_own_dialect;
    }
    bv_target_poll_init(&client->poll, options->read_bytes);
    client->poll.may_read = client_may_read;
    client->poll.context = client;
    bv_target_pool_init(&client->pool, options->kept_connections);
    client->share.limit_bytes = options->answers_limit_bytes;
    client->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
    client->deadlines = g_sequence_new(NULL);
    g_queue_init(&client->unread);
    return client;
}

int
bv_target_client_fd(const bv_target_client_t *client)
{
    return client->poll.epoll_fd;
}

size_t
bv_target_client_received_bytes(const bv_target_client_t *client)
{
    return client->share.received_bytes;
}

static request_t *
first_due(const bv_target_client_t *client)
{
    GSequenceIter *first = g_sequence_get_begin_iter(client->deadlines);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

int64_t
bv_target_client_next_timer_us(const bv_target_client_t *client)
{
    const request_t *first = first_due(client);
    int64_t due_us = first != NULL ? first->deadline_us : INT64_MAX;
    if (client->unread.length == 0) {
        return due_us;
    }
    return client_can_read_on(client)
               ? 0
               : MIN(due_us, bv_clock_now_us() + PAUSE_CHECK_US);
}

static void
apply_keep_alive(bv_target_client_t *client, const request_t *request,
                 const char *headers)
{
    char *value = bv_headers_get(headers, "Keep-Alive");
    if (value != NULL) {
        bv_target_pool_apply_keep_alive(&client->pool,
                                        &request->connection->endpoint, value);
        g_free(value);
    }
}

/* Sets the outcome, status, headers and body of a complete response. */
static void
take_response(bv_target_client_t *client, const request_t *request,
              bv_target_result_t *result)
{
    const bv_target_dialect_t *dialect = client->options.dialect;
    bv_response_parser_t *response = &request->connection->response;
    bv_http_answer_t answer = {
        .id = request->id,
        .result = BV_HTTP_ANSWERED,
        .error = "No error",
        .status = response->head.status,
        .headers = response->head.lines->str,
        .body = bv_response_parser_take_body(response),
        .latency_us = result->latency_us,
    };
    result->outcome = BV_OUTCOME_RAN;
    dialect->classify_answer(dialect->context, &answer, result);
    apply_keep_alive(client, request, answer.headers);
    if (result->outcome == BV_OUTCOME_RAN) {
        result->status = answer.status;
        result->headers = bv_headers_filter(answer.headers);
        result->body = g_bytes_ref(answer.body);
    }
    g_bytes_unref(answer.body);
}

/* Keeps the connection of a sound answer for reuse, if it can take more. */
static void
release_connection(bv_target_client_t *client, const request_t *request,
                   bool is_sound, int64_t now_us)
{
    bv_target_connection_t *connection = request->connection;
    if (connection == NULL) {
        return;
    }
    if (is_sound && bv_target_connection_finish(connection) &&
        request->keeps_connection) {
        bv_target_pool_put(&client->pool, connection, now_us);
        return;
    }
    bv_target_connection_close(connection);
}

static void
remove_request(bv_target_client_t *client, request_t *request)
{
    g_hash_table_remove(client->requests, &request->id);
    g_sequence_remove(request->timer);
    if (request->is_unread) {
        g_queue_unlink(&client->unread, &request->unread_link);
    }
    if (client->turn == request) {
        client->turn = NULL;
    }
    g_free(request->head.echo_value);
    g_free(request);
}

/*
 * Reports the end of a request. The client may be called again by the callback
 * of the result, which therefore comes last.
 */
static void
finish_request(bv_target_client_t *client, request_t *request,
               bv_target_progress_t progress, bv_outcome_t outcome,
               bv_reason_t reason)
{
    int64_t now_us = bv_clock_now_us();
    bv_target_result_t *result = g_new0(bv_target_result_t, 1);
    result->id = request->id;
    result->latency_us = now_us - request->started_us;
    result->outcome = outcome;
    result->reason = reason;
    if (progress == BV_TARGET_ANSWERED) {
        take_response(client, request, result);
    }
    else if (progress == BV_TARGET_BROKEN) {
        result->error = request->connection->response.error;
    }
    bool is_sound = progress == BV_TARGET_ANSWERED &&
                    result->reason != BV_REASON_BROKEN_ANSWER;
    release_connection(client, request, is_sound, now_us);
    remove_request(client, request);
    client->options.on_result(client->options.context, result);
}

static void
handle_progress(bv_target_client_t *client, request_t *request,
                bv_target_progress_t progress)
{
    switch (progress) {
    case BV_TARGET_BUSY:
        return;
    case BV_TARGET_UNREAD:
        client_keep_unread(client, request);
        return;
    case BV_TARGET_ANSWERED:
        finish_request(client, request, progress, BV_OUTCOME_RAN,
                       BV_REASON_NONE);
        return;
    case BV_TARGET_NOT_SENT:
        finish_request(client, request, progress, BV_OUTCOME_NOT_RUN,
                       BV_REASON_CONNECT);
        return;
    case BV_TARGET_LOST:
        finish_request(client, request, progress, BV_OUTCOME_UNKNOWN,
                       BV_REASON_CONNECTION_LOST);
        return;
    case BV_TARGET_BROKEN:
        finish_request(client, request, progress, BV_OUTCOME_UNKNOWN,
                       BV_REASON_BROKEN_ANSWER);
        return;
    case BV_TARGET_NO_DESCRIPTORS:
        finish_request(client, request, progress, BV_OUTCOME_NOT_RUN,
                       BV_REASON_DESCRIPTORS);
        return;
    }
}

static void
handle_event(bv_target_client_t *client, const struct epoll_event *event)
{
    bv_target_connection_t *connection = event->data.ptr;
    if (connection->fd < 0) {
        return;
    }
    if (connection->owner != NULL) {
        request_t *request = connection->owner;
        const GList *longest = client->unread.head;
        request->is_first =
            longest == NULL || longest == &request->unread_link;
        handle_progress(
            client, request,
            bv_target_connection_handle_events(connection, event->events));
        return;
    }
    /* The target closes an idle connection, or sends without a request. */
    if ((event->events & ~(uint32_t)EPOLLOUT) != 0) {
        bv_target_pool_close(&client->pool, connection);
    }
}

static void
read_request(bv_target_client_t *client, request_t *request)
{
    request->is_unread = false;
    handle_progress(client, request,
                    bv_target_connection_read_on(request->connection));
}

/*
 * Gives each connection with unread input one turn. Those with input left are
 * added anew in their order, so that the first one stays the first.
 */
static void
read_on(bv_target_client_t *client)
{
    guint count = client->unread.length;
    for (guint i = 0; i < count; i++) {
        GList *link = g_queue_pop_head_link(&client->unread);
        if (link == NULL) {
            return;
        }
        request_t *request = link->data;
        request->is_first = i == 0;
        read_request(client, request);
    }
}

/* A request of which nothing was written has certainly not run. */
static bool
is_sent(const request_t *request)
{
    return request->connection->written_bytes > 0;
}

static void
expire_request(bv_target_client_t *client, request_t *request)
{
    bool may_have_run = is_sent(request);
    finish_request(client, request, BV_TARGET_BUSY,
                   may_have_run ? BV_OUTCOME_UNKNOWN : BV_OUTCOME_NOT_RUN,
                   may_have_run ? BV_REASON_TIMEOUT : BV_REASON_CONNECT);
}

/*
 * After a stall of the event loop a large response may be complete in the
 * socket, so that a request expires only once its input is read.
 */
static void
expire_requests(bv_target_client_t *client)
{
    int64_t now_us = bv_clock_now_us();
    request_t *request;
    while ((request = first_due(client)) != NULL &&
           request->deadline_us <= now_us) {
        if (request->is_unread && request->late_turns < LATE_TURNS_LIMIT) {
            request->late_turns++;
            g_queue_unlink(&client->unread, &request->unread_link);
            read_request(client, request);
        }
        else {
            expire_request(client, request);
        }
    }
}

static void
handle_events(bv_target_client_t *client)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    int count;
    do {
        count = epoll_wait(client->poll.epoll_fd, events, EVENTS_AT_ONCE, 0);
        for (int i = 0; i < count; i++) {
            handle_event(client, &events[i]);
        }
    } while (count == EVENTS_AT_ONCE);
}

static bool
is_request_due(const bv_target_client_t *client)
{
    const request_t *request = first_due(client);
    return request != NULL && request->deadline_us <= bv_clock_now_us();
}

/* A response that has arrived is read before its request expires. */
void
bv_target_client_run_timers(bv_target_client_t *client)
{
    read_on(client);
    if (is_request_due(client)) {
        handle_events(client);
        expire_requests(client);
    }
    bv_target_poll_reap(&client->poll);
}

void
bv_target_client_run(bv_target_client_t *client)
{
    handle_events(client);
    bv_target_client_run_timers(client);
}

static request_t *
create_request(bv_target_client_t *client, const bv_target_work_t *work)
{
    request_t *request = g_new0(request_t, 1);
    request->id = work->id;
    request->keeps_connection =
        work->is_idempotent && !work->needs_new_connection;
    request->unread_link.data = request;
    request->started_us = bv_clock_now_us();
    request->deadline_us =
        request->started_us + MAX(work->timeout_us, SHORTEST_TIMEOUT_US);
    request->timer = g_sequence_insert_sorted(client->deadlines, request,
                                              compare_deadlines, NULL);
    g_hash_table_insert(client->requests, &request->id, request);
    return request;
}

/* IPv6 numbers may be announced in brackets, as in a URL. */
static bv_target_endpoint_t
endpoint_of(const bv_target_work_t *work)
{
    bv_target_endpoint_t endpoint = {.port = work->port};
    bool has_brackets = work->address[0] == '[';
    g_strlcpy(endpoint.address, work->address + (has_brackets ? 1 : 0),
              sizeof(endpoint.address));
    if (has_brackets) {
        endpoint.address[strcspn(endpoint.address, "]")] = '\0';
    }
    return endpoint;
}

/* Returns BV_TARGET_BUSY if the request has a connection. */
static bv_target_progress_t
connect_request(bv_target_client_t *client, const bv_target_work_t *work,
                request_t *request)
{
    bv_target_endpoint_t endpoint = endpoint_of(work);
    bv_target_progress_t refusal;
    if (request->keeps_connection) {
        request->connection =
            bv_target_pool_take(&client->pool, &endpoint, request->started_us);
    }
    if (request->connection == NULL) {
        request->connection =
            bv_target_connection_open(&client->poll, &endpoint, &refusal);
    }
    return request->connection != NULL ? BV_TARGET_BUSY : refusal;
}

void
bv_target_client_send(bv_target_client_t *client, const bv_target_work_t *work)
{
    request_t *request = create_request(client, work);
    bv_target_progress_t progress = connect_request(client, work, request);
    if (request->connection == NULL) {
        handle_progress(client, request, progress);
        return;
    }
    client_write_head(client->options.dialect, work, &request->head);
    bv_target_exchange_t exchange = {
        .head = request->head.lines,
        .body = work->body,
        .response =
            {
                .share = &client->share,
                .body_limit_bytes = client->options.answer_limit_bytes,
                .echo_name = request->head.echo_name,
                .echo_value = request->head.echo_value,
                .is_head_request = strcmp(work->method, "HEAD") == 0,
            },
    };
    handle_progress(
        client, request,
        bv_target_connection_start(request->connection, &exchange, request));
}

static void
cancel_request(bv_target_client_t *client, request_t *request)
{
    finish_request(client, request, BV_TARGET_BUSY, BV_OUTCOME_UNKNOWN,
                   BV_REASON_CANCELLED);
}

void
bv_target_client_cancel(bv_target_client_t *client, uint64_t id)
{
    request_t *request = g_hash_table_lookup(client->requests, &id);
    if (request != NULL) {
        cancel_request(client, request);
    }
}

void
bv_target_client_cancel_unsent(bv_target_client_t *client)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(client->deadlines);
    while (!g_sequence_iter_is_end(iter)) {
        request_t *request = g_sequence_get(iter);
        iter = g_sequence_iter_next(iter);
        if (!is_sent(request)) {
            finish_request(client, request, BV_TARGET_BUSY, BV_OUTCOME_NOT_RUN,
                           BV_REASON_DRAINING);
        }
    }
}

void
bv_target_client_stop(bv_target_client_t *client)
{
    request_t *request;
    while ((request = first_due(client)) != NULL) {
        cancel_request(client, request);
    }
    bv_target_pool_clear(&client->pool);
    bv_target_poll_clear(&client->poll);
    g_hash_table_destroy(client->requests);
    g_sequence_free(client->deadlines);
}

void
bv_target_result_destroy(bv_target_result_t *result)
{
    g_free(result->headers);
    g_clear_pointer(&result->body, g_bytes_unref);
    g_free(result);
}
