#include "link.h"

#include "berylvane/common/clock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 512
#define PACKET_LIMIT_BYTES 65536
#define WAIT_LIMIT_US (100 * BV_US_PER_MS)
#define REGION_MASK 0xffffff00U

struct sockaddr_in
link_address(const link_t *link, int64_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, link->settings->address, &address.sin_addr);
    return address;
}

bool
link_is_far(const link_t *link, const struct sockaddr_in *caller)
{
    struct sockaddr_in link_ip_address = link_address(link, 0);
    uint32_t differing_bits = ntohl(link_ip_address.sin_addr.s_addr) ^
                              ntohl(caller->sin_addr.s_addr);
    return (differing_bits & REGION_MASK) != 0;
}

bool
link_is_cut(const link_t *link, bool far)
{
    return link->faults.cut || (far && link->faults.cut_far);
}

link_chunk_t *
link_chunk_create(link_t *link, int direction, bool far, const char *data,
                  size_t size)
{
    const link_faults_t *faults = &link->faults;
    link_chunk_t *chunk = g_malloc0(sizeof(*chunk) + size);
    int64_t now_us = bv_clock_now_us();
    int64_t start_us = MAX(now_us, link->idle_from_us[direction]);
    if (faults->bytes_per_s > 0) {
        start_us += (int64_t)size * BV_US_PER_S / faults->bytes_per_s;
        link->idle_from_us[direction] = start_us;
    }
    chunk->due_us = start_us + (far ? faults->far_delay_us : faults->delay_us);
    chunk->size = size;
    memcpy(chunk->data, data, size);
    link->stats.bytes += (int64_t)size;
    link->stats.far_bytes += far ? (int64_t)size : 0;
    return chunk;
}

static gint
compare_due(gconstpointer left, gconstpointer right, gpointer context)
{
    const link_chunk_t *left_chunk = left;
    const link_chunk_t *right_chunk = right;
    (void)context;
    return left_chunk->due_us < right_chunk->due_us
               ? -1
               : left_chunk->due_us > right_chunk->due_us;
}

/* Returns true with a probability of `percent`. */
static bool
draw_chance(link_t *link, int64_t percent)
{
    return g_rand_int_range(link->random, 0, 100) < percent;
}

/* Drops, queues or duplicates a packet, as the faults require. */
static void
queue_packet(link_t *link, const link_socket_t *socket, bool far,
             const char *data, size_t size)
{
    const link_faults_t *faults = &link->faults;
    if (link_is_cut(link, far) || draw_chance(link, faults->loss_percent)) {
        link->stats.lost++;
        return;
    }
    int copies = draw_chance(link, faults->duplicate_percent) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
        link_chunk_t *chunk = link_chunk_create(link, 0, far, data, size);
        chunk->relay = socket->relay;
        g_queue_insert_sorted(&link->packets, chunk, compare_due, NULL);
    }
}

void
link_packets_receive(link_t *link, const link_socket_t *socket)
{
    char data[PACKET_LIMIT_BYTES];
    for (;;) {
        struct sockaddr_in caller = {0};
        socklen_t length = sizeof(caller);
        ssize_t size = recvfrom(socket->fd, data, sizeof(data), MSG_DONTWAIT,
                                (struct sockaddr *)&caller, &length);
        if (size < 0) {
            return;
        }
        queue_packet(link, socket, link_is_far(link, &caller), data,
                     (size_t)size);
    }
}

static int
fd_of_relay(const link_t *link, const link_relay_t *relay)
{
    return link->sockets[relay - link->settings->relays].fd;
}

int64_t
link_packets_send_due(link_t *link)
{
    int64_t now_us = bv_clock_now_us();
    for (;;) {
        link_chunk_t *chunk = g_queue_peek_head(&link->packets);
        if (chunk == NULL) {
            return INT64_MAX;
        }
        if (chunk->due_us > now_us) {
            return chunk->due_us;
        }
        struct sockaddr_in address = link_address(link, chunk->relay->to_port);
        sendto(fd_of_relay(link, chunk->relay), chunk->data, chunk->size,
               MSG_DONTWAIT, (struct sockaddr *)&address, sizeof(address));
        g_free(g_queue_pop_head(&link->packets));
    }
}

static int
open_socket(const link_t *link, const link_relay_t *relay)
{
    bool tcp = relay->protocol == LINK_TCP;
    int enabled = 1;
    int fd = socket(
        AF_INET,
        (tcp ? SOCK_STREAM : SOCK_DGRAM) | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    struct sockaddr_in address = link_address(link, relay->port);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
        (!tcp || listen(fd, BACKLOG) == 0)) {
        return fd;
    }
    close(fd);
    return -1;
}

bool
link_open(link_t *link, GError **error)
{
    const link_settings_t *settings = link->settings;
    for (size_t i = 0; i < settings->relay_count; i++) {
        link_socket_t *socket = &link->sockets[i];
        socket->relay = &settings->relays[i];
        socket->fd = open_socket(link, socket->relay);
        if (socket->fd < 0) {
            g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
                        "cannot listen on %s:%d: %s", settings->address,
                        (int)socket->relay->port, g_strerror(errno));
            return false;
        }
    }
    return true;
}

/*
 * Opens or closes the TCP listening sockets. They are closed during a cut, so
 * that the kernel refuses connections.
 */
static void
set_listening(link_t *link, bool listening)
{
    for (size_t i = 0; i < link->settings->relay_count; i++) {
        link_socket_t *socket = &link->sockets[i];
        if (socket->relay->protocol != LINK_TCP ||
            listening == (socket->fd >= 0)) {
            continue;
        }
        if (listening) {
            socket->fd = open_socket(link, socket->relay);
            continue;
        }
        close(socket->fd);
        socket->fd = -1;
    }
}

static void
drop_conn(link_t *link, guint conn_index)
{
    link_conn_destroy(link->conns->pdata[conn_index]);
    g_ptr_array_remove_index_fast(link->conns, conn_index);
    link->stats.connections--;
}

/*
 * Closes the connections that are cut off, silences the others if requested,
 * and opens or closes the listening sockets.
 */
static void
apply_faults(link_t *link)
{
    for (guint i = link->conns->len; i > 0; i--) {
        link_conn_t *conn = link->conns->pdata[i - 1];
        if (link_is_cut(link, link_conn_is_far(conn))) {
            drop_conn(link, i - 1);
        }
        else if (link->faults.silence) {
            link_conn_silence(conn);
        }
    }
    link->faults.silence = false;
    set_listening(link, !link->faults.cut);
}

static char *
stats_text(const link_t *link)
{
    const link_stats_t *stats = &link->stats;
    json_t *json = json_pack(
        "{s:I, s:I, s:I, s:I}", "bytes", (json_int_t)stats->bytes, "far_bytes",
        (json_int_t)stats->far_bytes, "connections",
        (json_int_t)stats->connections, "lost", (json_int_t)stats->lost);
    char *text = json_dumps(json, 0);
    json_decref(json);
    return text;
}

static bool
handle_control(link_t *link, const bv_call_t *call)
{
    gsize size;
    const char *data = g_bytes_get_data(call->body, &size);
    json_t *root = json_loadb(data, size, 0, NULL);
    bv_findings_t *findings = bv_findings_create();
    link_faults_t faults = link->faults;
    bool is_accepted =
        link_faults_read(root, &faults, "control", "", findings);
    if (is_accepted) {
        link->faults = faults;
        apply_faults(link);
    }
    bv_findings_destroy(findings);
    json_decref(root);
    return is_accepted;
}

static void
handle_call(link_t *link, bv_call_t *call)
{
    bv_reply_t reply = {.status = 200, .outcome = BV_OUTCOME_RAN};
    if (strcmp(call->method, "POST") == 0 && !handle_control(link, call)) {
        reply.status = 400;
    }
    char *text = stats_text(link);
    reply.body = g_bytes_new(text, strlen(text));
    free(text);
    bv_call_reply(call, &reply);
    g_bytes_unref(reply.body);
}

static void
add_poll_item(link_t *link, int fd)
{
    struct pollfd item = {.fd = fd, .events = POLLIN};
    g_array_append_val(link->poll_items, item);
}

/* Sends due packets and fills the poll list; returns the next due time. */
static int64_t
prepare_poll(link_t *link)
{
    int64_t due_us = link_packets_send_due(link);
    g_array_set_size(link->poll_items, 0);
    add_poll_item(link, bv_ring_fd(link->calls));
    for (size_t i = 0; i < link->settings->relay_count; i++) {
        add_poll_item(link, link->sockets[i].fd);
    }
    for (guint i = 0; i < link->conns->len; i++) {
        int64_t conn_due_us =
            link_conn_prepare(link, link->conns->pdata[i], link->poll_items);
        due_us = MIN(due_us, conn_due_us);
    }
    return due_us;
}

/* Waits until a socket is ready or a chunk is due, at most 100 ms. */
static void
wait_for_events(link_t *link, int64_t due_us)
{
    int64_t wait_us = CLAMP(due_us - bv_clock_now_us(), 0, WAIT_LIMIT_US);
    struct timespec timeout = {.tv_nsec = wait_us * 1000};
    ppoll((struct pollfd *)(void *)link->poll_items->data,
          link->poll_items->len, &timeout, NULL);
}

static void
run_conns(link_t *link, const struct pollfd *items)
{
    for (guint i = link->conns->len; i > 0; i--) {
        link_conn_t *conn = link->conns->pdata[i - 1];
        if (!link_conn_run(link, conn, &items[2 * (size_t)(i - 1)])) {
            drop_conn(link, i - 1);
        }
    }
}

static void
run_sockets(link_t *link, const struct pollfd *items)
{
    for (size_t i = 0; i < link->settings->relay_count; i++) {
        const link_socket_t *socket = &link->sockets[i];
        if ((items[i].revents & POLLIN) == 0) {
            continue;
        }
        if (socket->relay->protocol == LINK_UDP) {
            link_packets_receive(link, socket);
            continue;
        }
        link_conn_t *conn = link_conn_accept(link, socket);
        if (conn != NULL) {
            g_ptr_array_add(link->conns, conn);
        }
    }
}

static void
handle_calls(link_t *link)
{
    bv_call_t *call;
    bv_ring_clear_event(link->calls);
    while ((call = bv_ring_pop(link->calls)) != NULL) {
        handle_call(link, call);
    }
}

void
link_run(link_t *link)
{
    while (!g_atomic_int_get(&link->stopping)) {
        wait_for_events(link, prepare_poll(link));
        const struct pollfd *items =
            (struct pollfd *)(void *)link->poll_items->data;
        run_conns(link, items + 1 + link->settings->relay_count);
        run_sockets(link, items + 1);
        handle_calls(link);
    }
}

void
link_close(link_t *link)
{
    while (link->conns->len > 0) {
        drop_conn(link, link->conns->len - 1);
    }
    for (size_t i = 0; i < link->settings->relay_count; i++) {
        if (link->sockets[i].fd >= 0) {
            close(link->sockets[i].fd);
        }
    }
    g_queue_clear_full(&link->packets, g_free);
}
