#include "link.h"

#include "berylvane/common/clock.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define QUEUE_LIMIT_BYTES (4 * 1024 * 1024)

/* The bytes that are relayed from one end of a connection to the other. */
typedef struct {
    GQueue chunks;
    size_t queued_bytes;
    /* The receiving socket accepts no more bytes now. */
    bool blocked;
    /* The sending end has closed its direction. */
    bool ended;
    /* All bytes were sent and the receiving end was shut down for writing. */
    bool closed;
} flow_t;

/* End 0 is the caller, end 1 the instance; flow N carries bytes from end N. */
struct link_conn {
    int fds[2];
    flow_t flows[2];
    bool is_far;
    bool is_silent;
};

static void
set_no_delay(int fd)
{
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static int
connect_instance(const link_t *link, const link_relay_t *relay)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = link_address(link, relay->to_port);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    set_no_delay(fd);
    return fd;
}

link_conn_t *
link_conn_accept(link_t *link, const link_socket_t *socket)
{
    struct sockaddr_in caller = {0};
    socklen_t size = sizeof(caller);
    int fd =
        accept4(socket->fd, (struct sockaddr *)&caller, &size, SOCK_CLOEXEC);
    if (fd < 0) {
        return NULL;
    }
    bool far = link_is_far(link, &caller);
    int instance_fd =
        link_is_cut(link, far) ? -1 : connect_instance(link, socket->relay);
    if (instance_fd < 0) {
        close(fd);
        return NULL;
    }
    set_no_delay(fd);
    link_conn_t *conn = g_new0(link_conn_t, 1);
    conn->fds[0] = fd;
    conn->fds[1] = instance_fd;
    conn->is_far = far;
    g_queue_init(&conn->flows[0].chunks);
    g_queue_init(&conn->flows[1].chunks);
    link->stats.connections++;
    return conn;
}

static void
clear_flows(link_conn_t *conn)
{
    for (int i = 0; i < 2; i++) {
        g_queue_clear_full(&conn->flows[i].chunks, g_free);
        conn->flows[i].queued_bytes = 0;
        conn->flows[i].blocked = false;
    }
}

void
link_conn_destroy(link_conn_t *conn)
{
    clear_flows(conn);
    close(conn->fds[0]);
    close(conn->fds[1]);
    g_free(conn);
}

void
link_conn_silence(link_conn_t *conn)
{
    clear_flows(conn);
    conn->is_silent = true;
}

bool
link_conn_is_far(const link_conn_t *conn)
{
    return conn->is_far;
}

static bool
is_reading_held(const link_t *link, int end)
{
    return link->faults.hold_answers && end == 1;
}

int64_t
link_conn_prepare(const link_t *link, link_conn_t *conn, GArray *poll_items)
{
    int64_t due_us = INT64_MAX;
    for (int end = 0; end < 2; end++) {
        flow_t *read_flow = &conn->flows[end];
        const flow_t *written_flow = &conn->flows[1 - end];
        struct pollfd item = {.fd = conn->fds[end]};
        if (!read_flow->ended && read_flow->queued_bytes < QUEUE_LIMIT_BYTES &&
            !is_reading_held(link, end)) {
            item.events |= POLLIN;
        }
        if (written_flow->blocked) {
            item.events |= POLLOUT;
        }
        if (item.events == 0) {
            item.fd = -1;
        }
        g_array_append_val(poll_items, item);
        const link_chunk_t *first = g_queue_peek_head(&read_flow->chunks);
        if (first != NULL && !read_flow->blocked) {
            due_us = MIN(due_us, first->due_us);
        }
    }
    return due_us;
}

/*
 * Reads once from an end and queues the bytes; a silent connection drops them.
 * Returns false if the socket has an error.
 */
static bool
read_end(link_t *link, link_conn_t *conn, int end)
{
    char data[READ_BYTES];
    flow_t *flow = &conn->flows[end];
    ssize_t size = recv(conn->fds[end], data, sizeof(data), MSG_DONTWAIT);
    if (size < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    if (size == 0) {
        flow->ended = true;
        return true;
    }
    if (conn->is_silent) {
        return true;
    }
    link_chunk_t *chunk =
        link_chunk_create(link, end, conn->is_far, data, (size_t)size);
    g_queue_push_tail(&flow->chunks, chunk);
    flow->queued_bytes += chunk->size;
    return true;
}

/*
 * Writes the due chunks of the flow from end `start`, and closes the other end
 * for writing after the last byte. Returns false if the socket has an error.
 */
static bool
write_flow(link_conn_t *conn, int start)
{
    flow_t *flow = &conn->flows[start];
    int fd = conn->fds[1 - start];
    int64_t now_us = bv_clock_now_us();
    link_chunk_t *chunk = g_queue_peek_head(&flow->chunks);
    flow->blocked = false;
    while (chunk != NULL && chunk->due_us <= now_us) {
        ssize_t sent =
            send(fd, chunk->data + chunk->sent, chunk->size - chunk->sent,
                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0) {
            flow->blocked = errno == EAGAIN;
            return flow->blocked || errno == EINTR;
        }
        chunk->sent += (size_t)sent;
        flow->queued_bytes -= (size_t)sent;
        if (chunk->sent == chunk->size) {
            g_free(g_queue_pop_head(&flow->chunks));
            chunk = g_queue_peek_head(&flow->chunks);
        }
    }
    if (chunk == NULL && flow->ended && !flow->closed) {
        flow->closed = true;
        shutdown(fd, SHUT_WR);
    }
    return true;
}

/* Has both ends see a reset, which must not look like an orderly close. */
static void
reset_ends(link_conn_t *conn)
{
    struct linger linger = {.l_onoff = 1};
    for (int end = 0; end < 2; end++) {
        setsockopt(conn->fds[end], SOL_SOCKET, SO_LINGER, &linger,
                   sizeof(linger));
    }
}

bool
link_conn_run(link_t *link, link_conn_t *conn, const struct pollfd *items)
{
    const short readable = POLLIN | POLLHUP | POLLERR;
    for (int end = 0; end < 2; end++) {
        if ((items[end].revents & readable) != 0 &&
            !read_end(link, conn, end) && !conn->is_silent) {
            reset_ends(conn);
            return false;
        }
    }
    if (conn->is_silent) {
        return !(conn->flows[0].ended && conn->flows[1].ended);
    }
    if (!write_flow(conn, 0) || !write_flow(conn, 1)) {
        reset_ends(conn);
        return false;
    }
    return !(conn->flows[0].closed && conn->flows[1].closed);
}
