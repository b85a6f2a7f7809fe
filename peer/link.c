#include "berylvane/peer/link.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"

#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#define SEND_HIGH_WATER 10000
#define MESSAGE_LIMIT (BV_PEER_BODY_LIMIT_BYTES + 65536)
#define RETIRED_LIMIT 64
#define RETIRED_IDLE_US (15 * BV_US_PER_S)
#define EVENTS_AT_ONCE 64

/* Where a message goes. */
typedef struct {
    const char *member;
    const char *address;
    uint16_t port;
    const bv_peer_message_t *message;
} command_t;

typedef struct {
    char member[BV_NAME_BYTES];
    void *socket;
    bv_link_t *link;
    uint64_t incarnation;
    uint64_t session;
    int64_t heard_us;
    /* Sent on since the last look at it. */
    bool used;
} connection_t;

struct bv_link {
    bv_link_options_t options;
    void *zmq;
    void *router;
    GHashTable *connections;
    /* Replaced connections, which only receive; the oldest first. */
    GQueue retired;
    /* Connections that were sent on since the last look at them. */
    GPtrArray *used;
    bool router_used;
    int epoll_fd;
};

/* A ZeroMQ socket's descriptor tells that its state may have changed. */
static int
descriptor_of(void *socket)
{
    int fd = -1;
    size_t size = sizeof(fd);
    zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
    return fd;
}

static void
free_connection(gpointer data)
{
    connection_t *connection = data;
    if (connection->used) {
        g_ptr_array_remove_fast(connection->link->used, connection);
    }
    epoll_ctl(connection->link->epoll_fd, EPOLL_CTL_DEL,
              descriptor_of(connection->socket), NULL);
    zmq_close(connection->socket);
    g_free(connection);
}

static void
set_number(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_curve(const bv_link_t *link, void *socket, bool server)
{
    const bv_link_options_t *options = &link->options;
    if (options->public_key == NULL) {
        return;
    }
    if (server) {
        set_number(socket, ZMQ_CURVE_SERVER, 1);
        zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, options->secret_key, 40);
        return;
    }
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, options->public_key, 40);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, options->public_key, 40);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, options->secret_key, 40);
}

static void
set_common(void *socket)
{
    int64_t limit = MESSAGE_LIMIT;
    set_number(socket, ZMQ_LINGER, 0);
    set_number(socket, ZMQ_SNDHWM, SEND_HIGH_WATER);
    set_number(socket, ZMQ_RCVHWM, SEND_HIGH_WATER);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &limit, sizeof(limit));
}

static void
watch_connection(connection_t *connection)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = connection};
    epoll_ctl(connection->link->epoll_fd, EPOLL_CTL_ADD,
              descriptor_of(connection->socket), &event);
}

static connection_t *
connect_to(bv_link_t *link, const command_t *command)
{
    connection_t *connection = g_new0(connection_t, 1);
    g_strlcpy(connection->member, command->member, BV_NAME_BYTES);
    connection->incarnation = command->message->to_incarnation;
    connection->session = command->message->session;
    connection->socket = zmq_socket(link->zmq, ZMQ_DEALER);
    set_common(connection->socket);
    set_curve(link, connection->socket, false);
    char endpoint[96];
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:0;%s:%u",
               link->options.address, command->address, command->port);
    if (zmq_connect(connection->socket, endpoint) != 0) {
        bv_log(BV_LOG_WARN, "peer_connect_failed", "member", command->member,
               "endpoint", endpoint, "error", zmq_strerror(zmq_errno()), NULL);
    }
    connection->link = link;
    watch_connection(connection);
    g_hash_table_replace(link->connections, connection->member, connection);
    return connection;
}

static void
retire(bv_link_t *link, connection_t *connection)
{
    g_hash_table_steal(link->connections, connection->member);
    connection->heard_us = bv_clock_now_us();
    g_queue_push_tail(&link->retired, connection);
    if (link->retired.length > RETIRED_LIMIT) {
        free_connection(g_queue_pop_head(&link->retired));
    }
}

static void
close_idle(bv_link_t *link)
{
    int64_t before_us = bv_clock_now_us() - RETIRED_IDLE_US;
    GList *next;
    for (GList *item = link->retired.head; item != NULL; item = next) {
        connection_t *connection = item->data;
        next = item->next;
        if (connection->heard_us < before_us) {
            g_queue_delete_link(&link->retired, item);
            free_connection(connection);
        }
    }
}

/* The connection for a message; NULL when its session is of the past. */
static connection_t *
connection_for(bv_link_t *link, const command_t *command)
{
    const bv_peer_message_t *message = command->message;
    connection_t *connection =
        g_hash_table_lookup(link->connections, command->member);
    if (connection == NULL) {
        return connect_to(link, command);
    }
    if (connection->session < message->session) {
        bv_counter_add(BV_COUNT_PEER_REPLACED, 1);
        retire(link, connection);
        return connect_to(link, command);
    }
    return connection->incarnation == message->to_incarnation ? connection
                                                              : NULL;
}

static bool
receive_frame(void *socket, zmq_msg_t *frame)
{
    zmq_msg_init(frame);
    if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(frame);
        return false;
    }
    return true;
}

static void
skip_frames(void *socket, const zmq_msg_t *frame)
{
    bool more = zmq_msg_more(frame);
    while (more) {
        zmq_msg_t rest;
        if (!receive_frame(socket, &rest)) {
            return;
        }
        more = zmq_msg_more(&rest);
        zmq_msg_close(&rest);
    }
}

static void
deliver(bv_link_t *link, zmq_msg_t *frame, GBytes *route, uint64_t session)
{
    GError *error = NULL;
    bv_peer_message_t *message = bv_peer_message_decode(
        zmq_msg_data(frame), zmq_msg_size(frame), &error);
    if (message == NULL) {
        bv_counter_add(BV_COUNT_PEER_BAD, 1);
        bv_log(BV_LOG_WARN, "peer_message_bad", "error", error->message, NULL);
        g_error_free(error);
        return;
    }
    bv_counter_add(BV_COUNT_PEER_RECEIVED, 1);
    message->reply_identity = route != NULL ? g_bytes_ref(route) : NULL;
    message->link_session = session;
    link->options.on_message(link->options.context, message);
}

static bool
receive_routed(bv_link_t *link)
{
    zmq_msg_t identity;
    if (!receive_frame(link->router, &identity)) {
        return false;
    }
    zmq_msg_t frame;
    if (!zmq_msg_more(&identity) || !receive_frame(link->router, &frame)) {
        zmq_msg_close(&identity);
        return true;
    }
    GBytes *route =
        g_bytes_new(zmq_msg_data(&identity), zmq_msg_size(&identity));
    skip_frames(link->router, &frame);
    deliver(link, &frame, route, 0);
    g_bytes_unref(route);
    zmq_msg_close(&frame);
    zmq_msg_close(&identity);
    return true;
}

static bool
receive_direct(bv_link_t *link, connection_t *connection)
{
    zmq_msg_t frame;
    if (!receive_frame(connection->socket, &frame)) {
        return false;
    }
    skip_frames(connection->socket, &frame);
    connection->heard_us = bv_clock_now_us();
    deliver(link, &frame, NULL, connection->session);
    zmq_msg_close(&frame);
    return true;
}

static void
receive_all(bv_link_t *link, connection_t *connection)
{
    if (connection == NULL) {
        while (receive_routed(link)) {
        }
        return;
    }
    while (receive_direct(link, connection)) {
    }
}

static bool
send_body(void *socket, const bv_peer_message_t *message)
{
    GBytes *bytes = bv_peer_message_encode(message);
    gsize size;
    const void *data = g_bytes_get_data(bytes, &size);
    bool sent = zmq_send(socket, data, size, ZMQ_DONTWAIT) >= 0;
    bv_counter_add(sent ? BV_COUNT_PEER_SENT : BV_COUNT_RING_FULL, 1);
    g_bytes_unref(bytes);
    return sent;
}

static bool
send_message(bv_link_t *link, const command_t *command)
{
    connection_t *connection = connection_for(link, command);
    if (connection == NULL) {
        return true;
    }
    if (!connection->used) {
        connection->used = true;
        g_ptr_array_add(link->used, connection);
    }
    return send_body(connection->socket, command->message);
}

void
bv_link_receive_pending(bv_link_t *link)
{
    while (link->router_used || link->used->len > 0) {
        if (link->router_used) {
            link->router_used = false;
            receive_all(link, NULL);
        }
        if (link->used->len > 0) {
            connection_t *connection = link->used->pdata[link->used->len - 1];
            g_ptr_array_set_size(link->used, (gint)link->used->len - 1);
            connection->used = false;
            receive_all(link, connection);
        }
    }
}

void
bv_link_run(bv_link_t *link)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    int count = epoll_wait(link->epoll_fd, events, EVENTS_AT_ONCE, 0);
    for (int i = 0; i < count; i++) {
        receive_all(link, events[i].data.ptr);
    }
    close_idle(link);
}

void
bv_link_run_bound(bv_link_t *link)
{
    receive_all(link, NULL);
}

int
bv_link_fd(const bv_link_t *link)
{
    return link->epoll_fd;
}

int
bv_link_bound_fd(const bv_link_t *link)
{
    return descriptor_of(link->router);
}

bv_link_t *
bv_link_start(apr_pool_t *pool, const bv_link_options_t *options,
              GError **error)
{
    bv_link_t *link = apr_pcalloc(pool, sizeof(*link));
    link->options = *options;
    link->zmq = zmq_ctx_new();
    link->router = zmq_socket(link->zmq, ZMQ_ROUTER);
    set_common(link->router);
    set_curve(link, link->router, true);
    char endpoint[96];
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", options->address,
               options->port);
    if (zmq_bind(link->router, endpoint) != 0) {
        g_set_error(error, BV_PEER_ERROR, BV_PEER_ERROR_INVALID,
                    "cannot bind %s: %s", endpoint, zmq_strerror(zmq_errno()));
        zmq_close(link->router);
        zmq_ctx_term(link->zmq);
        return NULL;
    }
    link->connections =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_connection);
    g_queue_init(&link->retired);
    link->used = g_ptr_array_new();
    link->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    return link;
}

void
bv_link_stop(bv_link_t *link)
{
    g_clear_pointer(&link->connections, g_hash_table_destroy);
    g_queue_clear_full(&link->retired, free_connection);
    g_ptr_array_unref(link->used);
    zmq_close(link->router);
    zmq_ctx_term(link->zmq);
    close(link->epoll_fd);
}

bool
bv_link_send(bv_link_t *link, const char *member, const char *address,
             uint16_t port, bv_peer_message_t *message)
{
    command_t command = {member, address, port, message};
    bool sent = link->connections != NULL && send_message(link, &command);
    bv_peer_message_destroy(message);
    return sent;
}

bool
bv_link_answer(bv_link_t *link, bv_peer_message_t *message)
{
    gsize size;
    const void *route = g_bytes_get_data(message->reply_identity, &size);
    bool sent =
        link->connections != NULL &&
        zmq_send(link->router, route, size, ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0 &&
        send_body(link->router, message);
    link->router_used = true;
    bv_peer_message_destroy(message);
    return sent;
}

void
bv_link_disconnect(bv_link_t *link, const char *member)
{
    if (link->connections != NULL) {
        g_hash_table_remove(link->connections, member);
    }
}
