#include "connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define READ_BYTES_DEFAULT ((size_t)(64 * 1024))
/* After so many full reads the other connections get their turn. */
#define READS_AT_ONCE 8
#define INPUT_EVENTS (EPOLLIN | EPOLLRDHUP)
#define END_EVENTS (EPOLLRDHUP | EPOLLHUP | EPOLLERR)

void
bv_target_poll_init(bv_target_poll_t *poll, size_t read_bytes)
{
    poll->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    poll->may_read = NULL;
    poll->read_bytes = read_bytes > 0 ? read_bytes : READ_BYTES_DEFAULT;
    poll->buffer = g_malloc(poll->read_bytes);
    g_queue_init(&poll->closed);
}

void
bv_target_poll_reap(bv_target_poll_t *poll)
{
    bv_target_connection_t *connection;
    while ((connection = g_queue_pop_head(&poll->closed)) != NULL) {
        g_free(connection);
    }
}

void
bv_target_poll_clear(bv_target_poll_t *poll)
{
    bv_target_poll_reap(poll);
    g_free(poll->buffer);
    close(poll->epoll_fd);
}

bool
bv_target_endpoint_equal(const bv_target_endpoint_t *a,
                         const bv_target_endpoint_t *b)
{
    return a->port == b->port && strcmp(a->address, b->address) == 0;
}

/* Returns the size of the socket address; 0 if `endpoint` has no number. */
static socklen_t
read_address(const bv_target_endpoint_t *endpoint,
             struct sockaddr_storage *address)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)address;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
    memset(address, 0, sizeof(*address));
    if (inet_pton(AF_INET, endpoint->address, &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint->port);
        return sizeof(*v4);
    }
    if (inet_pton(AF_INET6, endpoint->address, &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint->port);
        return sizeof(*v6);
    }
    return 0;
}

/* Returns -1, and sets `refusal`, if the system refuses the connection. */
static int
open_socket(const bv_target_endpoint_t *endpoint,
            bv_target_progress_t *refusal)
{
    struct sockaddr_storage address;
    socklen_t size = read_address(endpoint, &address);
    int is_on = 1;
    *refusal = BV_TARGET_NOT_SENT;
    if (size == 0) {
        return -1;
    }
    int fd = socket(address.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        if (errno == EMFILE || errno == ENFILE) {
            *refusal = BV_TARGET_NO_DESCRIPTORS;
        }
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &is_on, sizeof(is_on));
    if (connect(fd, (struct sockaddr *)&address, size) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

bv_target_connection_t *
bv_target_connection_open(bv_target_poll_t *poll,
                          const bv_target_endpoint_t *endpoint,
                          bv_target_progress_t *refusal)
{
    int fd = open_socket(endpoint, refusal);
    if (fd < 0) {
        return NULL;
    }
    bv_target_connection_t *connection = g_new0(bv_target_connection_t, 1);
    connection->poll = poll;
    connection->endpoint = *endpoint;
    connection->fd = fd;
    connection->link.data = connection;
    return connection;
}

static void
clear_request(bv_target_connection_t *connection)
{
    if (connection->owner == NULL) {
        return;
    }
    connection->owner = NULL;
    bv_response_parser_clear(&connection->response);
    g_string_free(connection->exchange.head, TRUE);
    g_clear_pointer(&connection->exchange.body, g_bytes_unref);
}

void
bv_target_connection_close(bv_target_connection_t *connection)
{
    clear_request(connection);
    close(connection->fd);
    connection->fd = -1;
    g_queue_push_tail(&connection->poll->closed, connection);
}

static bool
has_unwritten(const bv_target_connection_t *connection)
{
    const bv_target_exchange_t *exchange = &connection->exchange;
    size_t body_bytes =
        exchange->body != NULL ? g_bytes_get_size(exchange->body) : 0;
    return connection->written_bytes < exchange->head->len + body_bytes;
}

static size_t
list_unwritten(const bv_target_connection_t *connection, struct iovec *vectors)
{
    const GString *head = connection->exchange.head;
    size_t offset = connection->written_bytes;
    size_t count = 0;
    gsize size = 0;
    const char *body = NULL;
    if (offset < head->len) {
        vectors[count].iov_base = head->str + offset;
        vectors[count++].iov_len = head->len - offset;
        offset = head->len;
    }
    if (connection->exchange.body != NULL) {
        body = g_bytes_get_data(connection->exchange.body, &size);
    }
    offset -= head->len;
    if (offset < size) {
        vectors[count].iov_base = (void *)(body + offset);
        vectors[count++].iov_len = size - offset;
    }
    return count;
}

/* Writes until the request is written or the socket takes no more. */
static void
write_request(bv_target_connection_t *connection)
{
    while (has_unwritten(connection) && connection->write_error == 0) {
        struct iovec vectors[2];
        struct msghdr message = {.msg_iov = vectors};
        message.msg_iovlen = list_unwritten(connection, vectors);
        ssize_t written = sendmsg(connection->fd, &message, MSG_NOSIGNAL);
        if (written >= 0) {
            connection->written_bytes += (size_t)written;
        }
        else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return;
        }
        else if (errno != EINTR) {
            connection->write_error = errno;
        }
    }
}

/*
 * EPOLLOUT is watched only once it was needed: an edge-triggered socket that
 * can be written would else report that when it is added.
 */
static void
update_watch(bv_target_connection_t *connection)
{
    uint32_t needed = INPUT_EVENTS | EPOLLET;
    if (has_unwritten(connection) && connection->write_error == 0) {
        needed |= EPOLLOUT;
    }
    if ((connection->watched_events & needed) == needed) {
        return;
    }
    struct epoll_event event = {.events = needed, .data.ptr = connection};
    epoll_ctl(connection->poll->epoll_fd,
              connection->watched_events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
              connection->fd, &event);
    connection->watched_events = needed;
}

/* How a request ends whose first byte could not be written. */
static bv_target_progress_t
end_unsent(const bv_target_connection_t *connection)
{
    return connection->is_used ? BV_TARGET_LOST : BV_TARGET_NOT_SENT;
}

bv_target_progress_t
bv_target_connection_start(bv_target_connection_t *connection,
                           const bv_target_exchange_t *exchange, void *owner)
{
    connection->owner = owner;
    connection->exchange = *exchange;
    if (exchange->body != NULL) {
        g_bytes_ref(exchange->body);
    }
    connection->exchange.response.is_on_used_connection = connection->is_used;
    bv_response_parser_init(&connection->response,
                            &connection->exchange.response);
    connection->written_bytes = 0;
    write_request(connection);
    if (connection->write_error != 0 && connection->written_bytes == 0) {
        return end_unsent(connection);
    }
    update_watch(connection);
    return BV_TARGET_BUSY;
}

/*
 * Returns the error of a connection whose input has ended, or 0 if the target
 * has closed it in an orderly way. A write that fails takes the error of a
 * reset from the socket, after which a read returns 0 as at an orderly close.
 */
static int
error_at_end(const bv_target_connection_t *connection)
{
    int error = connection->write_error;
    socklen_t size = sizeof(error);
    if (error == 0) {
        getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    return error;
}

/*
 * Ends a response that was not complete when its connection ended. `error` is
 * that of the last read; 0 if it returned the end of the input.
 */
static bv_target_progress_t
end_input(bv_target_connection_t *connection, int error)
{
    bv_response_parser_t *response = &connection->response;
    bool is_lost =
        connection->is_used && !bv_response_parser_has_started(response);
    connection->is_at_end = true;
    if (error == 0) {
        error = error_at_end(connection);
    }
    if (error != 0) {
        bv_response_parser_fail(response, g_strerror(error));
    }
    else if (bv_response_parser_end(response) == BV_RESPONSE_COMPLETE) {
        return BV_TARGET_ANSWERED;
    }
    return is_lost ? BV_TARGET_LOST : BV_TARGET_BROKEN;
}

static bv_target_progress_t
parse_input(bv_target_connection_t *connection, size_t size)
{
    switch (bv_response_parser_feed(&connection->response,
                                    connection->poll->buffer, size)) {
    case BV_RESPONSE_COMPLETE:
        return BV_TARGET_ANSWERED;
    case BV_RESPONSE_BROKEN:
        return BV_TARGET_BROKEN;
    default:
        return BV_TARGET_BUSY;
    }
}

static bool
may_read(const bv_target_connection_t *connection)
{
    const bv_target_poll_t *poll = connection->poll;
    return poll->may_read == NULL || poll->may_read(poll->context, connection);
}

/* A short read shows that the socket is empty, unless its end is to be read.
 */
static bv_target_progress_t
read_response(bv_target_connection_t *connection)
{
    const bv_target_poll_t *poll = connection->poll;
    for (int reads = 0; reads < READS_AT_ONCE && may_read(connection);
         reads++) {
        ssize_t size;
        do {
            size = recv(connection->fd, poll->buffer, poll->read_bytes, 0);
        } while (size < 0 && errno == EINTR);
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return BV_TARGET_BUSY;
        }
        if (size <= 0) {
            return end_input(connection, size < 0 ? errno : 0);
        }
        bv_target_progress_t progress = parse_input(connection, (size_t)size);
        bool is_emptied =
            (size_t)size < poll->read_bytes && !connection->is_at_end;
        if (progress != BV_TARGET_BUSY || is_emptied) {
            return progress;
        }
    }
    return BV_TARGET_UNREAD;
}

/* Writes the first bytes of a request, once the connection is up. */
static bv_target_progress_t
start_writing(bv_target_connection_t *connection, uint32_t events)
{
    if ((events & (EPOLLOUT | END_EVENTS)) != 0) {
        write_request(connection);
    }
    return connection->written_bytes == 0 && connection->write_error != 0
               ? end_unsent(connection)
               : BV_TARGET_BUSY;
}

/* Input comes first: a write would hide how the connection has ended. */
static bv_target_progress_t
read_and_write(bv_target_connection_t *connection, uint32_t events)
{
    bv_target_progress_t progress = BV_TARGET_BUSY;
    if ((events & (EPOLLIN | END_EVENTS)) != 0) {
        progress = read_response(connection);
    }
    bool is_running =
        progress == BV_TARGET_BUSY || progress == BV_TARGET_UNREAD;
    if (!is_running || !has_unwritten(connection) ||
        (events & (EPOLLOUT | END_EVENTS)) == 0) {
        return progress;
    }
    write_request(connection);
    return connection->write_error != 0 ? read_response(connection) : progress;
}

bv_target_progress_t
bv_target_connection_handle_events(bv_target_connection_t *connection,
                                   uint32_t events)
{
    if ((events & END_EVENTS) != 0) {
        connection->is_at_end = true;
    }
    if (connection->written_bytes == 0) {
        bv_target_progress_t progress = start_writing(connection, events);
        if (connection->written_bytes == 0) {
            return progress;
        }
    }
    return read_and_write(connection, events);
}

bv_target_progress_t
bv_target_connection_read_on(bv_target_connection_t *connection)
{
    return read_response(connection);
}

bool
bv_target_connection_finish(bv_target_connection_t *connection)
{
    bool is_reusable = connection->response.is_connection_reusable &&
                       !has_unwritten(connection) && !connection->is_at_end;
    clear_request(connection);
    connection->is_used = true;
    return is_reusable;
}

bool
bv_target_connection_is_quiet(const bv_target_connection_t *connection)
{
    char byte;
    return recv(connection->fd, &byte, 1, MSG_PEEK) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}
