#include "berylvane/peer/link.h"

#include "berylvane/common/clock.h"
#include "berylvane/common/counters.h"
#include "berylvane/common/log.h"
#include "berylvane/peer/pack.h"

#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#define QUEUE_LIMIT_MESSAGES 10000
/*
 * Messages of a peer that ZeroMQ holds until they are received, if memory is
 * bounded; it reads one more. Each may have 8 MiB.
 */
#define RECEIVED_LIMIT_MESSAGES 2
#define MESSAGE_LIMIT_BYTES                                                   \
    (BV_PEER_BODY_LIMIT_BYTES + BV_PEER_PATH_LIMIT_BYTES +                    \
     BV_PEER_HEADERS_LIMIT_BYTES + 65536)
/* Bytes that are received from a socket before others have their turn. */
#define RECEIVED_AT_ONCE_BYTES (4 * 1024 * 1024)
/* When more replaced connections than this exist, the oldest is closed. */
#define REPLACED_LIMIT 64
/* A replaced connection is closed after it was idle for this time. */
#define REPLACED_IDLE_US (15 * BV_US_PER_S)
#define EVENTS_AT_ONCE 64

/* A message and the member that it is sent to. */
typedef struct {
    const char *member;
    const char *address;
    uint16_t port;
    const bv_peer_message_t *message;
} destination_t;

typedef struct {
    char member[BV_NAME_BYTES];
    void *socket;
    bv_link_t *link;
    uint64_t incarnation;
    uint64_t session;
    int64_t last_received_us;
    /*
     * bv_link_receive_pending() is to receive from it: a message was sent,
     * which may consume the event of the descriptor, or messages were left.
     */
    bool is_pending;
} connection_t;

struct bv_link {
    bv_link_options_t options;
    void *zmq_context;
    void *router;
    GHashTable *connections;
    /* Replaced connections, which only receive; oldest first. */
    GQueue replaced;
    /* Connections whose is_pending is set. */
    GPtrArray *pending_connections;
    bool router_is_pending;
    /* Bytes of the messages that ZeroMQ has not sent; changed atomically. */
    gsize queued_bytes;
    int epoll_fd;
};

/*
 * The descriptor of a ZeroMQ socket becomes readable when the state of the
 * socket may have changed.
 */
static int
socket_fd(void *socket)
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
    if (connection->is_pending) {
        g_ptr_array_remove_fast(connection->link->pending_connections,
                                connection);
    }
    epoll_ctl(connection->link->epoll_fd, EPOLL_CTL_DEL,
              socket_fd(connection->socket), NULL);
    zmq_close(connection->socket);
    g_free(connection);
}

static void
set_integer_option(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_curve_options(const bv_link_t *link, void *socket, bool is_server)
{
    const bv_link_options_t *options = &link->options;
    if (options->public_key == NULL) {
        return;
    }
    if (is_server) {
        set_integer_option(socket, ZMQ_CURVE_SERVER, 1);
        zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, options->secret_key, 40);
        return;
    }
    zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, options->public_key, 40);
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, options->public_key, 40);
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, options->secret_key, 40);
}

static void
set_common_options(const bv_link_t *link, void *socket)
{
    int64_t limit = MESSAGE_LIMIT_BYTES;
    int received_limit = link->options.bounds_received
                             ? RECEIVED_LIMIT_MESSAGES
                             : QUEUE_LIMIT_MESSAGES;
    set_integer_option(socket, ZMQ_LINGER, 0);
    set_integer_option(socket, ZMQ_SNDHWM, QUEUE_LIMIT_MESSAGES);
    set_integer_option(socket, ZMQ_RCVHWM, received_limit);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &limit, sizeof(limit));
}

static void
add_to_epoll(connection_t *connection)
{
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = connection};
    epoll_ctl(connection->link->epoll_fd, EPOLL_CTL_ADD,
              socket_fd(connection->socket), &event);
}

static connection_t *
open_connection(bv_link_t *link, const destination_t *destination)
{
    connection_t *connection = g_new0(connection_t, 1);
    g_strlcpy(connection->member, destination->member, BV_NAME_BYTES);
    connection->incarnation = destination->message->to_incarnation;
    connection->session = destination->message->session;
    connection->socket = zmq_socket(link->zmq_context, ZMQ_DEALER);
    set_common_options(link, connection->socket);
    set_curve_options(link, connection->socket, false);
    char endpoint[96];
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:0;%s:%u",
               link->options.address, destination->address, destination->port);
    if (zmq_connect(connection->socket, endpoint) != 0) {
        bv_log(BV_LOG_WARN, "peer_connect_failed", "member",
               destination->member, "endpoint", endpoint, "error",
               zmq_strerror(zmq_errno()), NULL);
    }
    connection->link = link;
    add_to_epoll(connection);
    g_hash_table_replace(link->connections, connection->member, connection);
    return connection;
}

static void
move_to_replaced(bv_link_t *link, connection_t *connection)
{
    g_hash_table_steal(link->connections, connection->member);
    connection->last_received_us = bv_clock_now_us();
    g_queue_push_tail(&link->replaced, connection);
    if (link->replaced.length > REPLACED_LIMIT) {
        free_connection(g_queue_pop_head(&link->replaced));
    }
}

static void
close_idle_replaced(bv_link_t *link)
{
    int64_t idle_since_us = bv_clock_now_us() - REPLACED_IDLE_US;
    GList *next;
    for (GList *item = link->replaced.head; item != NULL; item = next) {
        connection_t *connection = item->data;
        next = item->next;
        if (connection->last_received_us < idle_since_us) {
            g_queue_delete_link(&link->replaced, item);
            free_connection(connection);
        }
    }
}

/*
 * Returns the connection for a message, which is opened if needed; NULL if the
 * connection is to another incarnation than the message.
 */
static connection_t *
find_or_open_connection(bv_link_t *link, const destination_t *destination)
{
    const bv_peer_message_t *message = destination->message;
    connection_t *connection =
        g_hash_table_lookup(link->connections, destination->member);
    if (connection == NULL) {
        return open_connection(link, destination);
    }
    if (connection->session < message->session) {
        bv_counter_add(BV_COUNT_PEER_REPLACED, 1);
        move_to_replaced(link, connection);
        return open_connection(link, destination);
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
discard_remaining_frames(void *socket, const zmq_msg_t *frame)
{
    bool has_more = zmq_msg_more(frame);
    while (has_more) {
        zmq_msg_t rest;
        if (!receive_frame(socket, &rest)) {
            return;
        }
        has_more = zmq_msg_more(&rest);
        zmq_msg_close(&rest);
    }
}

static void
free_frame(gpointer data)
{
    zmq_msg_close(data);
    g_free(data);
}

/* Decodes a frame; the body of a large message takes over its content. */
static bv_peer_message_t *
decode(zmq_msg_t *frame, GError **error)
{
    size_t size = zmq_msg_size(frame);
    if (size < BV_UNPACK_SHARED_BYTES) {
        return bv_peer_message_decode(zmq_msg_data(frame), size, error);
    }
    zmq_msg_t *owned = g_new(zmq_msg_t, 1);
    zmq_msg_init(owned);
    zmq_msg_move(owned, frame);
    GBytes *bytes = g_bytes_new_with_free_func(zmq_msg_data(owned), size,
                                               free_frame, owned);
    bv_peer_message_t *message = bv_peer_message_decode_frame(bytes, error);
    g_bytes_unref(bytes);
    return message;
}

static void
decode_and_deliver(bv_link_t *link, zmq_msg_t *frame, GBytes *identity,
                   uint64_t session)
{
    GError *error = NULL;
    bv_peer_message_t *message = decode(frame, &error);
    if (message == NULL) {
        bv_counter_add(BV_COUNT_PEER_BAD, 1);
        bv_log(BV_LOG_WARN, "peer_message_bad", "error", error->message, NULL);
        g_error_free(error);
        return;
    }
    bv_counter_add(BV_COUNT_PEER_RECEIVED, 1);
    message->reply_identity = identity != NULL ? g_bytes_ref(identity) : NULL;
    message->link_session = session;
    link->options.on_message(link->options.context, message);
}

/* Adds the size of the message to `bytes`; returns false if there is none. */
static bool
receive_from_router(bv_link_t *link, size_t *bytes)
{
    zmq_msg_t identity_frame;
    if (!receive_frame(link->router, &identity_frame)) {
        return false;
    }
    zmq_msg_t frame;
    if (!zmq_msg_more(&identity_frame) ||
        !receive_frame(link->router, &frame)) {
        zmq_msg_close(&identity_frame);
        return true;
    }
    GBytes *identity = g_bytes_new(zmq_msg_data(&identity_frame),
                                   zmq_msg_size(&identity_frame));
    discard_remaining_frames(link->router, &frame);
    *bytes += zmq_msg_size(&frame);
    decode_and_deliver(link, &frame, identity, 0);
    g_bytes_unref(identity);
    zmq_msg_close(&frame);
    zmq_msg_close(&identity_frame);
    return true;
}

static bool
receive_from_connection(bv_link_t *link, connection_t *connection,
                        size_t *bytes)
{
    zmq_msg_t frame;
    if (!receive_frame(connection->socket, &frame)) {
        return false;
    }
    discard_remaining_frames(connection->socket, &frame);
    *bytes += zmq_msg_size(&frame);
    connection->last_received_us = bv_clock_now_us();
    decode_and_deliver(link, &frame, NULL, connection->session);
    zmq_msg_close(&frame);
    return true;
}

/* Makes sure that bv_link_receive_pending() receives from the connection. */
static void
mark_pending(bv_link_t *link, connection_t *connection)
{
    if (!connection->is_pending) {
        connection->is_pending = true;
        g_ptr_array_add(link->pending_connections, connection);
    }
}

/* Returns the bytes after which the turn of a socket ends. */
static size_t
turn_bytes(const bv_link_t *link)
{
    const bv_link_options_t *options = &link->options;
    return options->intake_bytes != NULL
               ? MIN(options->intake_bytes(options->context),
                     RECEIVED_AT_ONCE_BYTES)
               : RECEIVED_AT_ONCE_BYTES;
}

/* The descriptor would otherwise stay readable while nothing is received. */
static void
consume_event(void *socket)
{
    int events;
    size_t size = sizeof(events);
    zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
}

/*
 * Receives from `connection`, or from the router if that is NULL, up to the
 * end of its turn: large messages are handled before more are decoded.
 */
static void
receive_all(bv_link_t *link, connection_t *connection)
{
    size_t bytes = 0;
    size_t limit = turn_bytes(link);
    bool has_more = true;
    if (limit == 0) {
        consume_event(connection == NULL ? link->router : connection->socket);
    }
    while (has_more && bytes < limit) {
        has_more = connection == NULL
                       ? receive_from_router(link, &bytes)
                       : receive_from_connection(link, connection, &bytes);
    }
    if (has_more && connection == NULL) {
        link->router_is_pending = true;
    }
    else if (has_more) {
        mark_pending(link, connection);
    }
}

/* An encoded message that ZeroMQ has taken over. */
typedef struct {
    bv_link_t *link;
    GBytes *bytes;
} queued_t;

/* Called by ZeroMQ on any thread when the message was sent or dropped. */
static void
release_queued(void *data, void *hint)
{
    queued_t *queued = hint;
    (void)data;
    g_atomic_pointer_add(&queued->link->queued_bytes,
                         -(gssize)g_bytes_get_size(queued->bytes));
    g_bytes_unref(queued->bytes);
    g_free(queued);
}

static bool
send_encoded(bv_link_t *link, void *socket, const bv_peer_message_t *message)
{
    zmq_msg_t frame;
    gsize size;
    queued_t *queued = g_new(queued_t, 1);
    queued->link = link;
    queued->bytes = bv_peer_message_encode(message);
    void *data = (void *)g_bytes_get_data(queued->bytes, &size);
    g_atomic_pointer_add(&link->queued_bytes, (gssize)size);
    zmq_msg_init_data(&frame, data, size, release_queued, queued);
    bool sent = zmq_msg_send(&frame, socket, ZMQ_DONTWAIT) >= 0;
    if (!sent) {
        zmq_msg_close(&frame);
    }
    bv_counter_add(sent ? BV_COUNT_PEER_SENT : BV_COUNT_RING_FULL, 1);
    return sent;
}

static bool
send_message(bv_link_t *link, const destination_t *destination)
{
    connection_t *connection = find_or_open_connection(link, destination);
    if (connection == NULL) {
        return true;
    }
    mark_pending(link, connection);
    return send_encoded(link, connection->socket, destination->message);
}

void
bv_link_receive_pending(bv_link_t *link)
{
    if (link->router_is_pending) {
        link->router_is_pending = false;
        receive_all(link, NULL);
    }
    /* Connections that have more are added anew, behind these. */
    for (guint left = link->pending_connections->len; left > 0; left--) {
        connection_t *connection =
            g_ptr_array_remove_index(link->pending_connections, 0);
        connection->is_pending = false;
        receive_all(link, connection);
    }
}

bool
bv_link_has_pending(const bv_link_t *link)
{
    bool has_any =
        link->router_is_pending || link->pending_connections->len > 0;
    return has_any && turn_bytes(link) > 0;
}

size_t
bv_link_queued_bytes(const bv_link_t *link)
{
    /* GLib's atomic access takes no constant pointer. */
    return (size_t)g_atomic_pointer_get((gsize *)&link->queued_bytes);
}

void
bv_link_run(bv_link_t *link)
{
    struct epoll_event events[EVENTS_AT_ONCE];
    int count = epoll_wait(link->epoll_fd, events, EVENTS_AT_ONCE, 0);
    for (int i = 0; i < count; i++) {
        receive_all(link, events[i].data.ptr);
    }
    close_idle_replaced(link);
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
    return socket_fd(link->router);
}

bv_link_t *
bv_link_start(apr_pool_t *pool, const bv_link_options_t *options,
              GError **error)
{
    bv_link_t *link = apr_pcalloc(pool, sizeof(*link));
    link->options = *options;
    link->zmq_context = zmq_ctx_new();
    link->router = zmq_socket(link->zmq_context, ZMQ_ROUTER);
    set_common_options(link, link->router);
    set_curve_options(link, link->router, true);
    char endpoint[96];
    g_snprintf(endpoint, sizeof(endpoint), "tcp://%s:%u", options->address,
               options->port);
    if (zmq_bind(link->router, endpoint) != 0) {
        g_set_error(error, BV_PEER_ERROR, BV_PEER_ERROR_INVALID,
                    "cannot bind the peer socket to %s: %s", endpoint,
                    zmq_strerror(zmq_errno()));
        zmq_close(link->router);
        zmq_ctx_term(link->zmq_context);
        return NULL;
    }
    link->connections =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_connection);
    g_queue_init(&link->replaced);
    link->pending_connections = g_ptr_array_new();
    link->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    return link;
}

void
bv_link_stop(bv_link_t *link)
{
    g_clear_pointer(&link->connections, g_hash_table_destroy);
    g_queue_clear_full(&link->replaced, free_connection);
    g_ptr_array_unref(link->pending_connections);
    zmq_close(link->router);
    zmq_ctx_term(link->zmq_context);
    close(link->epoll_fd);
}

bool
bv_link_send(bv_link_t *link, const char *member, const char *address,
             uint16_t port, bv_peer_message_t *message)
{
    destination_t destination = {member, address, port, message};
    bool sent = link->connections != NULL && send_message(link, &destination);
    bv_peer_message_destroy(message);
    return sent;
}

bool
bv_link_answer(bv_link_t *link, bv_peer_message_t *message)
{
    gsize size;
    const void *identity = g_bytes_get_data(message->reply_identity, &size);
    bool sent = link->connections != NULL &&
                zmq_send(link->router, identity, size,
                         ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0 &&
                send_encoded(link, link->router, message);
    link->router_is_pending = true;
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
