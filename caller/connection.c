#include "connection.h"

#include "berylvane/common/clock.h"
#include "output.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 32768
#define CONTINUE_RESPONSE "HTTP/1.1 100 Continue\r\n\r\n"
/*
 * How long input is discarded after the last answer. Closing a socket with
 * unread input resets the connection, which may destroy the answer.
 */
#define LINGER_US (2 * BV_US_PER_S)
/*
 * How each response begins. A caller that ends its input may have closed its
 * connection, or its sending side only. These bytes, sent ahead of the
 * response, tell: a closed connection answers them with a reset.
 */
#define RESPONSE_START "HTTP/1.1 "

struct bv_connection {
    const bv_connection_options_t *options;
    int fd;
    uint32_t watched_events;
    int64_t now_us;
    /* Time of the last byte in either direction. */
    int64_t active_us;
    /* Time of the last complete request, or of the start. */
    int64_t request_us;
    int64_t linger_until_us;
    bv_request_reader_t *reader;
    bv_pipeline_t *pipeline;
    bv_output_t output;
    /* Input that was received but not parsed, since there was no room. */
    GByteArray *unread;
    bv_byte_holder_t holder;
    /* No further request is read. */
    bool is_read_closed;
    /* The caller has sent all that it will. */
    bool is_input_ended;
    /* The same, or more input waits in the socket before its end. */
    bool is_end_announced;
    bool has_received_request;
    /* RESPONSE_START was sent ahead of the next response. */
    bool has_response_start;
    /* The last response is in the output. */
    bool is_ending;
    bool is_lingering;
};

static void
watch(bv_connection_t *connection, int operation, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = connection};
    connection->watched_events = events;
    epoll_ctl(connection->options->epoll_fd, operation, connection->fd,
              &event);
}

/*
 * A call that has to wait for others is judged when it starts, since what
 * decides about it may change until then.
 */
static uint16_t
check_call_head(void *context, const bv_call_t *call)
{
    const bv_connection_t *connection = context;
    const bv_connection_options_t *options = connection->options;
    return bv_pipeline_is_empty(connection->pipeline)
               ? options->check_head(options->context, call)
               : 0;
}

bv_connection_t *
bv_connection_create(const bv_connection_options_t *options, int fd,
                     int64_t now_us)
{
    bv_connection_t *connection = g_new0(bv_connection_t, 1);
    bv_request_reader_options_t reader = {
        .listener = options->listener,
        .connection = connection,
        .dialect = options->dialect,
        .role = options->role,
        .limits = options->limits,
        .check_head = check_call_head,
        .context = connection,
        .budget = options->budget,
    };
    connection->options = options;
    connection->fd = fd;
    connection->active_us = now_us;
    connection->request_us = now_us;
    connection->reader = bv_request_reader_create(&reader, now_us);
    connection->pipeline = bv_pipeline_create();
    connection->unread = g_byte_array_new();
    bv_output_init(&connection->output);
    bv_memory_budget_join(options->budget, &connection->holder, connection,
                          now_us);
    watch(connection, EPOLL_CTL_ADD, EPOLLIN | EPOLLRDHUP);
    return connection;
}

static void
report_disconnect(void *context, void *item)
{
    const bv_connection_options_t *options =
        ((bv_connection_t *)context)->options;
    const bv_exchange_t *exchange = item;
    options->on_disconnect(options->context, exchange->call.tag);
}

static void
report_disconnects(bv_connection_t *connection)
{
    if (connection->options->reports_disconnects) {
        bv_pipeline_foreach_running(connection->pipeline, report_disconnect,
                                    connection);
    }
}

void
bv_connection_destroy(bv_connection_t *connection)
{
    bv_exchange_t *exchange;
    bool is_running;
    report_disconnects(connection);
    bv_memory_budget_leave(connection->options->budget, &connection->holder);
    while ((exchange = bv_pipeline_remove_first(connection->pipeline,
                                                &is_running)) != NULL) {
        exchange->connection = NULL;
        if (!is_running) {
            bv_exchange_destroy(exchange);
        }
    }
    bv_pipeline_destroy(connection->pipeline);
    bv_request_reader_destroy(connection->reader);
    bv_output_clear(&connection->output);
    g_byte_array_unref(connection->unread);
    close(connection->fd);
    g_free(connection);
}

static uint64_t
held_bytes(const bv_connection_t *connection)
{
    return BV_BYTE_HOLDER_OWN_BYTES +
           bv_request_reader_held_bytes(connection->reader) +
           connection->unread->len + bv_pipeline_bytes(connection->pipeline) +
           connection->output.bytes;
}

/* Whether the caller has to send or to read before anything else happens. */
static bool
waits_for_caller(const bv_connection_t *connection)
{
    return !bv_output_is_empty(&connection->output) ||
           bv_pipeline_is_empty(connection->pipeline);
}

static void
update_budget(bv_connection_t *connection)
{
    bv_memory_budget_set(connection->options->budget, &connection->holder,
                         connection->now_us, held_bytes(connection),
                         waits_for_caller(connection));
}

static void
record_progress(bv_connection_t *connection, size_t bytes)
{
    connection->active_us = connection->now_us;
    bv_memory_budget_move(&connection->holder, connection->now_us, bytes);
}

static bool
is_memory_short(const bv_connection_t *connection)
{
    const bv_memory_budget_t *budget = connection->options->budget;
    return budget != NULL &&
           bv_memory_budget_level(budget) >= BV_BYTES_PAUSING;
}

/* Whether memory permits reading. */
static bool
may_read(const bv_connection_t *connection)
{
    const bv_memory_budget_t *budget = connection->options->budget;
    return budget == NULL ||
           bv_request_reader_is_reserved(connection->reader) ||
           bv_memory_budget_may_read(budget, held_bytes(connection));
}

/* While memory is short, nothing is read ahead. */
static bool
has_room(const bv_connection_t *connection)
{
    const bv_connection_limits_t *limits = connection->options->limits;
    bv_pipeline_limits_t bounds = {
        .requests = is_memory_short(connection)
                        ? 1
                        : (uint32_t)bv_limit(&limits->read_ahead_requests),
        .bytes = bv_limit(&limits->read_ahead_bytes),
    };
    return !connection->is_read_closed &&
           bv_pipeline_has_room(connection->pipeline, &bounds);
}

static void
add_request(bv_connection_t *connection, const bv_received_t *received)
{
    bv_pipeline_t *pipeline = connection->pipeline;
    bv_exchange_t *exchange = received->exchange;
    connection->has_received_request = true;
    connection->request_us = connection->now_us;
    bv_pipeline_add(pipeline, exchange, received->request_bytes);
    if (received->is_refused) {
        bv_pipeline_answer(pipeline, exchange, true, 0);
    }
    connection->is_read_closed =
        received->is_refused || !exchange->keeps_alive;
}

/* Parses requests while there is room for them; returns the bytes parsed. */
static size_t
parse(bv_connection_t *connection, const char *data, size_t size)
{
    size_t parsed = 0;
    while (parsed < size && has_room(connection)) {
        bv_received_t received =
            bv_request_reader_feed(connection->reader, connection->now_us,
                                   data + parsed, size - parsed);
        parsed += received.consumed;
        if (received.exchange != NULL) {
            add_request(connection, &received);
        }
    }
    return parsed;
}

static void
parse_unread(bv_connection_t *connection)
{
    GByteArray *unread = connection->unread;
    if (unread->len > 0) {
        size_t parsed =
            parse(connection, (const char *)unread->data, unread->len);
        g_byte_array_remove_range(unread, 0, (guint)parsed);
    }
    if (connection->is_read_closed) {
        g_byte_array_set_size(unread, 0);
    }
}

/*
 * Sends the first bytes of the next response, if nothing else is to be written
 * that would tell whether the caller still reads.
 */
static void
send_response_start(bv_connection_t *connection)
{
    size_t size = strlen(RESPONSE_START);
    if (connection->has_response_start ||
        bv_pipeline_is_empty(connection->pipeline) ||
        !bv_output_is_empty(&connection->output)) {
        return;
    }
    connection->has_response_start = send(connection->fd, RESPONSE_START, size,
                                          MSG_NOSIGNAL) == (ssize_t)size;
}

static bool
read_input(bv_connection_t *connection)
{
    char buffer[READ_BYTES];
    ssize_t size = recv(connection->fd, buffer, sizeof(buffer), 0);
    if (size < 0) {
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    }
    if (size == 0) {
        connection->is_input_ended = true;
        connection->is_end_announced = true;
        return true;
    }
    record_progress(connection, (size_t)size);
    size_t parsed = parse(connection, buffer, (size_t)size);
    g_byte_array_append(connection->unread, (const guint8 *)buffer + parsed,
                        (guint)((size_t)size - parsed));
    return true;
}

static bool
discard_input(const bv_connection_t *connection)
{
    char buffer[READ_BYTES];
    ssize_t size = recv(connection->fd, buffer, sizeof(buffer), 0);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
}

static void
add_response(bv_connection_t *connection, bv_exchange_t *exchange,
             bool is_last)
{
    bv_response_t *response = exchange->response;
    bv_response_ending_t ending = bv_exchange_ending(exchange, is_last);
    bool has_start = connection->has_response_start;
    connection->has_response_start = false;
    bv_output_add(&connection->output, bv_response_end_head(response, ending));
    if (has_start) {
        bv_output_skip(&connection->output, strlen(RESPONSE_START));
    }
    bv_output_add(&connection->output, g_steal_pointer(&response->body));
}

/* Returns false if an answer was dropped. */
static bool
collect_answers(bv_connection_t *connection)
{
    bool is_last = false;
    bv_exchange_t *exchange;
    while (!is_last && (exchange = bv_pipeline_take_answer(
                            connection->pipeline, &is_last)) != NULL) {
        bool is_dropped = exchange->response == NULL;
        if (!is_dropped) {
            add_response(connection, exchange, is_last);
        }
        bv_exchange_destroy(exchange);
        if (is_dropped) {
            bv_output_write(&connection->output, connection->fd);
            return false;
        }
    }
    if (is_last) {
        connection->is_ending = true;
        connection->is_read_closed = true;
    }
    return true;
}

static void
add_continue(bv_connection_t *connection)
{
    if (bv_pipeline_is_empty(connection->pipeline) &&
        bv_request_reader_take_continue(connection->reader)) {
        bv_output_add(
            &connection->output,
            g_bytes_new_static(CONTINUE_RESPONSE, strlen(CONTINUE_RESPONSE)));
    }
}

static bool
write_output(bv_connection_t *connection)
{
    ssize_t written = bv_output_write(&connection->output, connection->fd);
    if (written > 0) {
        record_progress(connection, (size_t)written);
    }
    return written >= 0;
}

static bool
may_start(const bv_connection_t *connection, const bv_exchange_t *exchange)
{
    const bv_connection_options_t *options = connection->options;
    const bv_pipeline_t *pipeline = connection->pipeline;
    bool is_written = bv_output_is_empty(&connection->output);
    if (bv_pipeline_may_start(pipeline, false, is_written)) {
        return true;
    }
    return options->may_run_ahead != NULL &&
           bv_pipeline_may_start(pipeline, true, is_written) &&
           options->may_run_ahead(options->context, &exchange->call);
}

static void
start_requests(bv_connection_t *connection)
{
    const bv_connection_options_t *options = connection->options;
    bv_exchange_t *exchange;
    while ((exchange = bv_pipeline_first_waiting(connection->pipeline)) !=
               NULL &&
           may_start(connection, exchange)) {
        bv_pipeline_start(connection->pipeline);
        options->pass_on(options->context, exchange);
    }
}

/*
 * Ends the connection if nothing is left to be sent. Returns false if it is to
 * be closed at once.
 */
static bool
end_if_done(bv_connection_t *connection)
{
    if (!bv_output_is_empty(&connection->output)) {
        return true;
    }
    if (connection->is_input_ended) {
        return !connection->is_ending &&
               bv_pipeline_has_started(connection->pipeline);
    }
    if (connection->is_ending && !connection->is_lingering) {
        connection->is_lingering = true;
        connection->linger_until_us = connection->now_us + LINGER_US;
        shutdown(connection->fd, SHUT_WR);
    }
    return true;
}

/*
 * Whether the caller has sent what is not read for lack of memory. A caller
 * that has a response to read is not held up by that.
 */
static bool
is_paused(const bv_connection_t *connection)
{
    int size = 0;
    return bv_output_is_empty(&connection->output) && !may_read(connection) &&
           ioctl(connection->fd, FIONREAD, &size) == 0 && size > 0;
}

static void
update_pause(bv_connection_t *connection)
{
    bv_memory_budget_set_paused(&connection->holder, connection->now_us,
                                is_paused(connection));
}

static bool
is_reading(const bv_connection_t *connection)
{
    return connection->is_lingering ||
           (has_room(connection) && connection->unread->len == 0 &&
            may_read(connection));
}

static void
update_watch(bv_connection_t *connection)
{
    uint32_t events = 0;
    if (!connection->is_input_ended && is_reading(connection)) {
        events |= EPOLLIN;
    }
    if (connection->options->reports_disconnects &&
        !connection->is_end_announced) {
        events |= EPOLLRDHUP;
    }
    if (!bv_output_is_empty(&connection->output)) {
        events |= EPOLLOUT;
    }
    if (events != connection->watched_events) {
        watch(connection, EPOLL_CTL_MOD, events);
    }
}

static bool
advance(bv_connection_t *connection)
{
    if (!collect_answers(connection)) {
        return false;
    }
    parse_unread(connection);
    if (!collect_answers(connection)) {
        return false;
    }
    add_continue(connection);
    if (!write_output(connection)) {
        return false;
    }
    start_requests(connection);
    if (connection->is_end_announced) {
        send_response_start(connection);
    }
    bool stays_open = end_if_done(connection);
    update_budget(connection);
    update_pause(connection);
    update_watch(connection);
    return stays_open;
}

bool
bv_connection_handle_events(bv_connection_t *connection, int64_t now_us,
                            uint32_t events)
{
    connection->now_us = now_us;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        return false;
    }
    if (connection->is_lingering) {
        return discard_input(connection);
    }
    if ((events & EPOLLRDHUP) != 0) {
        connection->is_end_announced = true;
    }
    if ((events & EPOLLIN) != 0 && is_reading(connection) &&
        !read_input(connection)) {
        return false;
    }
    return advance(connection);
}

bool
bv_connection_reply(bv_connection_t *connection, int64_t now_us,
                    const bv_exchange_t *exchange)
{
    const bv_response_t *response = exchange->response;
    bool closes =
        response == NULL || response->closes || !exchange->keeps_alive;
    connection->now_us = now_us;
    bv_pipeline_answer(connection->pipeline, exchange, closes,
                       response != NULL ? bv_response_size(response) : 0);
    return advance(connection);
}

int64_t
bv_connection_due_us(const bv_connection_t *connection)
{
    const bv_connection_limits_t *limits = connection->options->limits;
    int64_t idle_until_us =
        connection->active_us + bv_limit_us(&limits->idle_timeout_s);
    int64_t head_since_us =
        bv_request_reader_head_since_us(connection->reader);
    if (connection->is_lingering) {
        return connection->linger_until_us;
    }
    if (!bv_output_is_empty(&connection->output)) {
        return idle_until_us;
    }
    if (!bv_pipeline_is_empty(connection->pipeline)) {
        return INT64_MAX;
    }
    return head_since_us > 0
               ? head_since_us + bv_limit_us(&limits->header_timeout_s)
               : idle_until_us;
}

bool
bv_connection_is_written(const bv_connection_t *connection)
{
    return bv_output_is_empty(&connection->output);
}

void
bv_connection_resume(bv_connection_t *connection, int64_t now_us)
{
    connection->now_us = now_us;
    update_pause(connection);
    update_watch(connection);
}

bv_listener_t *
bv_connection_listener(const bv_connection_t *connection)
{
    return connection->options->listener;
}

int64_t
bv_connection_idle_since_us(bv_connection_t *connection, int64_t now_us)
{
    if (!waits_for_caller(connection)) {
        return INT64_MAX;
    }
    int64_t stalled_since_us =
        bv_memory_budget_stalled_since_us(&connection->holder, now_us);
    return MAX(connection->request_us, stalled_since_us);
}

bool
bv_connection_is_new(const bv_connection_t *connection)
{
    return !connection->has_received_request;
}
