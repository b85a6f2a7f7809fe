#include "berylvane/caller/listener.h"

#include "berylvane/caller/disconnect_watch.h"
#include "berylvane/caller/framing.h"
#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/headers.h"
#include "berylvane/common/log.h"
#include "connection.h"
#include "pending_heads.h"
#include "response.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <unistd.h>

#define CONNECTION_MEMORY_BYTES 32768
#define CONNECTION_LIMIT 10000
#define TIMEOUT_MAX_MS 60000
#define BODY_LIMIT_BYTES (1024 * 1024)
#define IDLE_TIMEOUT_US (120 * BV_US_PER_S)

struct bv_listener {
    bv_listener_options_t options;
    struct MHD_Daemon *daemon;
    bv_pending_heads_t *heads;
    /* NULL if there is no on_disconnect. */
    bv_disconnect_watch_t *watch;
    gint is_closed;
    gint open_call_count;
    /* Time at which a threadless listener must be run next. */
    int64_t due_us;
    /* Current limits; other threads may change them (atomic access). */
    gint header_limit_bytes;
    gint body_limit_bytes;
    gint header_timeout_s;
    gint idle_timeout_s;
};

typedef enum {
    STAGE_HEAD,
    STAGE_BODY,
    STAGE_PASSED_ON,
} stage_t;

typedef struct {
    bv_call_t call;
    stage_t stage;
    bv_listener_t *listener;
    struct MHD_Connection *connection;
    GByteArray *received_body;
    bool is_too_large;
    bool is_watched;
    bool is_dropped;
    struct MHD_Response *response;
    uint16_t status;
} exchange_t;

/* Last tag that was used by any listener of the process. */
static gssize last_tag;

G_DEFINE_QUARK(bv - listener - error - quark, bv_listener_error)

static void *
create_exchange(void *context, const char *uri,
                struct MHD_Connection *connection)
{
    exchange_t *exchange = g_new0(exchange_t, 1);
    exchange->listener = context;
    exchange->connection = connection;
    bv_pending_heads_add(exchange->listener->heads, connection);
    exchange->received_body = g_byte_array_new();
    exchange->call.path = g_strdup(uri);
    return exchange;
}

static void
destroy_exchange(void *context, struct MHD_Connection *connection,
                 void **state, enum MHD_RequestTerminationCode code)
{
    (void)context;
    (void)code;
    exchange_t *exchange = *state;
    if (exchange == NULL) {
        return;
    }
    bv_pending_heads_remove(exchange->listener->heads, connection);
    bv_call_clear(&exchange->call);
    g_clear_pointer(&exchange->received_body, g_byte_array_unref);
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    g_free(exchange);
    *state = NULL;
}

static enum MHD_Result
append_header(void *context, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
    (void)kind;
    g_string_append_printf(context, "%s: %s\r\n", name,
                           value != NULL ? value : "");
    return MHD_YES;
}

static uint16_t
check_head(const exchange_t *exchange, const GString *lines)
{
    const bv_listener_t *listener = exchange->listener;
    if (lines->len > (gsize)g_atomic_int_get(&listener->header_limit_bytes)) {
        return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    return bv_framing_check(lines->str);
}

/* Returns 0, or the HTTP status that the call is refused with. */
static uint16_t
read_head(exchange_t *exchange, const char *method)
{
    const bv_listener_options_t *options = &exchange->listener->options;
    const bv_caller_dialect_t *dialect = options->dialect;
    GString *lines = g_string_new(NULL);
    MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
                              append_header, lines);
    exchange->call.method = g_strdup(method);
    uint16_t status = check_head(exchange, lines);
    if (status == 0) {
        status = dialect->read_head(dialect->context, options->role,
                                    lines->str, &exchange->call);
    }
    g_string_free(lines, TRUE);
    return status;
}

static int
exchange_fd(const exchange_t *exchange)
{
    return bv_connection_fd(exchange->connection);
}

static exchange_t *
exchange_of(bv_call_t *call)
{
    return (exchange_t *)((char *)call - offsetof(exchange_t, call));
}

static void
resume_connection(exchange_t *exchange)
{
    bv_listener_t *listener = exchange->listener;
    MHD_resume_connection(exchange->connection);
    if (listener->options.is_threadless) {
        listener->due_us = 0;
    }
    g_atomic_int_add(&listener->open_call_count, -1);
}

void
bv_call_drop(bv_call_t *call)
{
    exchange_t *exchange = exchange_of(call);
    if (exchange->is_watched) {
        bv_disconnect_watch_remove(exchange->listener->watch,
                                   exchange_fd(exchange));
    }
    exchange->is_dropped = true;
    resume_connection(exchange);
}

void
bv_call_reply(bv_call_t *call, const bv_reply_t *reply)
{
    exchange_t *exchange = exchange_of(call);
    if (exchange->is_watched) {
        bv_disconnect_watch_remove(exchange->listener->watch,
                                   exchange_fd(exchange));
    }
    exchange->status = reply->status;
    exchange->response =
        bv_response_build(exchange->listener->options.dialect, reply);
    resume_connection(exchange);
}

/* Refuses a request before its end was read, so closes the connection. */
static enum MHD_Result
refuse_unread(const exchange_t *exchange, uint16_t status)
{
    bv_reply_t reply = {
        .status = status,
        .outcome = BV_OUTCOME_NOT_RUN,
        .closes_connection = true,
    };
    bv_counter_add(BV_COUNT_ANSWERS_NOT_RUN, 1);
    struct MHD_Response *response =
        bv_response_build(exchange->listener->options.dialect, &reply);
    enum MHD_Result result =
        MHD_queue_response(exchange->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
pass_on(exchange_t *exchange)
{
    bv_call_t *call = &exchange->call;
    exchange->stage = STAGE_PASSED_ON;
    call->body = g_byte_array_free_to_bytes(exchange->received_body);
    exchange->received_body = NULL;
    call->arrived_us = bv_clock_now_us();
    call->accepted_us = bv_connection_accepted_us(exchange->connection);
    g_atomic_int_inc(&exchange->listener->open_call_count);
    MHD_suspend_connection(exchange->connection);
    const bv_listener_options_t *options = &exchange->listener->options;
    if (exchange->listener->watch != NULL) {
        call->tag = (uint64_t)g_atomic_pointer_add(&last_tag, 1) + 1;
        exchange->is_watched = true;
    }
    bool is_closed = g_atomic_int_get(&exchange->listener->is_closed);
    uint64_t tag = call->tag;
    int fd = exchange_fd(exchange);
    if (!is_closed && options->on_call(options->context, call)) {
        /* Added after on_call, so that on_disconnect never precedes it. */
        if (exchange->listener->watch != NULL) {
            bv_disconnect_watch_add(exchange->listener->watch, fd, tag);
        }
        return MHD_YES;
    }
    bv_counter_add(BV_COUNT_RING_FULL, !is_closed);
    bv_reply_t reply = {
        .status = MHD_HTTP_SERVICE_UNAVAILABLE,
        .outcome = call->idempotency_key != NULL ? BV_OUTCOME_UNKNOWN
                                                 : BV_OUTCOME_NOT_RUN,
        .reason = is_closed ? BV_REASON_DRAINING : BV_REASON_RING_FULL,
        .retry_after_us = BV_US_PER_S,
    };
    bv_call_reply(call, &reply);
    return MHD_YES;
}

static size_t
body_limit_bytes(const exchange_t *exchange)
{
    return (size_t)g_atomic_int_get(&exchange->listener->body_limit_bytes);
}

static bool
is_declared_too_large(const exchange_t *exchange)
{
    const char *length = MHD_lookup_connection_value(
        exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    return length != NULL &&
           g_ascii_strtoull(length, NULL, 10) > body_limit_bytes(exchange);
}

static enum MHD_Result
append_body(exchange_t *exchange, const char *data, size_t *size)
{
    if (exchange->received_body->len + *size > body_limit_bytes(exchange)) {
        exchange->is_too_large = true;
    }
    if (!exchange->is_too_large) {
        g_byte_array_append(exchange->received_body, (const guint8 *)data,
                            (guint)*size);
    }
    *size = 0;
    return MHD_YES;
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *connection,
               const char *url, const char *method, const char *version,
               const char *data, size_t *size, void **state)
{
    (void)context;
    (void)url;
    (void)version;
    exchange_t *exchange = *state;
    if (exchange->stage == STAGE_HEAD) {
        exchange->stage = STAGE_BODY;
        bv_pending_heads_remove(exchange->listener->heads, connection);
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  (unsigned int)g_atomic_int_get(
                                      &exchange->listener->idle_timeout_s));
        uint16_t status = read_head(exchange, method);
        if (status == 0 && is_declared_too_large(exchange)) {
            status = MHD_HTTP_CONTENT_TOO_LARGE;
        }
        return status != 0 ? refuse_unread(exchange, status) : MHD_YES;
    }
    if (*size > 0) {
        return append_body(exchange, data, size);
    }
    if (exchange->is_too_large) {
        return refuse_unread(exchange, MHD_HTTP_CONTENT_TOO_LARGE);
    }
    if (exchange->stage == STAGE_BODY) {
        return pass_on(exchange);
    }
    if (exchange->is_dropped) {
        return MHD_NO;
    }
    if (exchange->response == NULL) {
        return MHD_YES;
    }
    return MHD_queue_response(connection, exchange->status,
                              exchange->response);
}

static int
seconds_rounded_up(int64_t time_us)
{
    return (int)((time_us + BV_US_PER_S - 1) / BV_US_PER_S);
}

static void
set_if_positive(gint *limit, int64_t value)
{
    if (value > 0) {
        g_atomic_int_set(limit, (gint)MIN(value, G_MAXINT));
    }
}

void
bv_listener_set_limits(bv_listener_t *listener,
                       const bv_listener_limits_t *limits)
{
    set_if_positive(&listener->header_limit_bytes, limits->header_bytes);
    set_if_positive(&listener->body_limit_bytes, limits->body_bytes);
    set_if_positive(&listener->header_timeout_s,
                    seconds_rounded_up(limits->header_timeout_us));
    set_if_positive(&listener->idle_timeout_s,
                    seconds_rounded_up(limits->idle_timeout_us));
}

static void
notify_watch(bv_listener_t *listener, struct MHD_Connection *connection,
             void (*notify)(bv_disconnect_watch_t *watch, int fd))
{
    if (listener->watch != NULL) {
        notify(listener->watch, bv_connection_fd(connection));
    }
}

/* Until the first head is complete, the header timeout applies. */
static void
on_connection_changed(void *context, struct MHD_Connection *connection,
                      void **socket_context,
                      enum MHD_ConnectionNotificationCode code)
{
    bv_listener_t *listener = context;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        bv_connection_mark_accepted(socket_context);
        MHD_set_connection_option(
            connection, MHD_CONNECTION_OPTION_TIMEOUT,
            (unsigned int)g_atomic_int_get(&listener->header_timeout_s));
        notify_watch(listener, connection, bv_disconnect_watch_open);
        return;
    }
    notify_watch(listener, connection, bv_disconnect_watch_close);
}

static void
set_default_limits(bv_listener_t *listener)
{
    bv_listener_limits_t limits = {
        .header_bytes = CONNECTION_MEMORY_BYTES,
        .body_bytes = BODY_LIMIT_BYTES,
        .header_timeout_us = IDLE_TIMEOUT_US,
        .idle_timeout_us = IDLE_TIMEOUT_US,
    };
    bv_listener_set_limits(listener, &limits);
    bv_listener_set_limits(listener, &listener->options.limits);
}

bv_listener_t *
bv_listener_start(const bv_listener_options_t *options, GError **error)
{
    bv_listener_t *listener = g_new0(bv_listener_t, 1);
    listener->options = *options;
    if (options->dialect == NULL) {
        listener->options.dialect = &bv_caller_own_dialect;
    }
    set_default_limits(listener);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(options->port)};
    if (inet_pton(AF_INET, options->address, &address.sin_addr) != 1) {
        g_set_error(error, BV_LISTENER_ERROR, 0, "not an IPv4 address: %s",
                    options->address);
        g_free(listener);
        return NULL;
    }
    if (options->on_disconnect != NULL) {
        bv_disconnect_watch_options_t watch = {
            options->on_disconnect, options->context, options->is_threadless};
        listener->watch = bv_disconnect_watch_start(&watch);
    }
    listener->heads = bv_pending_heads_create();
    unsigned int threading =
        options->is_threadless ? MHD_USE_EPOLL : MHD_USE_EPOLL_INTERNAL_THREAD;
    listener->daemon = MHD_start_daemon(
        threading | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_SUPPRESS_DATE_NO_CLOCK |
            MHD_USE_ERROR_LOG,
        options->port, NULL, NULL, handle_request, listener,
        MHD_OPTION_EXTERNAL_LOGGER, bv_pending_heads_log, listener->heads,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_URI_LOG_CALLBACK,
        create_exchange, listener, MHD_OPTION_NOTIFY_COMPLETED,
        destroy_exchange, listener, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned int)CONNECTION_LIMIT, MHD_OPTION_NOTIFY_CONNECTION,
        on_connection_changed, listener, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned int)g_atomic_int_get(&listener->idle_timeout_s),
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (listener->daemon == NULL) {
        g_set_error(error, BV_LISTENER_ERROR, 0, "cannot listen on %s:%u",
                    options->address, options->port);
        g_clear_pointer(&listener->watch, bv_disconnect_watch_stop);
        bv_pending_heads_destroy(listener->heads);
        g_free(listener);
        return NULL;
    }
    return listener;
}

int
bv_listener_fd(const bv_listener_t *listener)
{
    return MHD_get_daemon_info(listener->daemon, MHD_DAEMON_INFO_EPOLL_FD)
        ->listen_fd;
}

int
bv_listener_disconnect_fd(const bv_listener_t *listener)
{
    return listener->watch != NULL ? bv_disconnect_watch_fd(listener->watch)
                                   : -1;
}

int64_t
bv_listener_due_us(const bv_listener_t *listener)
{
    return listener->due_us;
}

void
bv_listener_run(bv_listener_t *listener)
{
    MHD_UNSIGNED_LONG_LONG timeout_ms = TIMEOUT_MAX_MS;
    MHD_run(listener->daemon);
    MHD_get_timeout(listener->daemon, &timeout_ms);
    listener->due_us = bv_clock_now_us() +
                       (int64_t)MIN(timeout_ms, TIMEOUT_MAX_MS) * BV_US_PER_MS;
}

void
bv_listener_run_disconnects(bv_listener_t *listener)
{
    bv_disconnect_watch_run(listener->watch);
}

void
bv_listener_quiesce(bv_listener_t *listener)
{
    MHD_socket socket = MHD_quiesce_daemon(listener->daemon);
    if (socket != MHD_INVALID_SOCKET) {
        close(socket);
    }
}

void
bv_listener_close(bv_listener_t *listener)
{
    g_atomic_int_set(&listener->is_closed, 1);
}

bool
bv_listener_is_idle(const bv_listener_t *listener)
{
    return g_atomic_int_get(&listener->open_call_count) == 0;
}

void
bv_listener_stop(bv_listener_t *listener)
{
    if (listener == NULL) {
        return;
    }
    MHD_stop_daemon(listener->daemon);
    if (listener->watch != NULL) {
        bv_disconnect_watch_stop(listener->watch);
    }
    bv_pending_heads_destroy(listener->heads);
    g_free(listener);
}
